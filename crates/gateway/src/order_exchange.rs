//! HTTP exchanges with a back end about its versions: orders and report requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use havenstage_http_link::{LinkError, SendOptions, WholeAnswer};
use havenstage_rollout::ids::BackendId;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;

use crate::context::Context;
use crate::edge::{self, BackendReport};

/// Timeout of a report request.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest accepted answer to an order or a report request.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Requests a report of the versions and activity of a back end; `None` if no valid one came in time.
pub(crate) async fn request_report(
    context: &Arc<Context>,
    backend: &BackendId,
) -> Option<BackendReport> {
    let request = context.dialect.report_request();
    let sending = SendOptions::within(REPORT_TIMEOUT);
    let answer = exchange(context, backend, request, sending, REPORT_TIMEOUT).await;
    // The callers treat all reasons for a missing report alike.
    let answer = answer.ok()?;
    let is_good = answer.status == StatusCode::OK;
    is_good
        .then(|| context.dialect.read_report(&answer.body))
        .flatten()
        .filter(|report| is_same_incarnation(report, backend))
}

/// Whether a report is from the known incarnation of the back end. A back end that restarts may keep its name
/// but has lost all versions and orders. If either start time is unknown, the report passes.
fn is_same_incarnation(report: &BackendReport, backend: &BackendId) -> bool {
    let reported = report.started_at.zip(backend.started_at());
    reported.is_none_or(|(reported, known)| reported == known)
}

/// Sends a request that only the known back end is to accept, and reads the whole answer. The request names the
/// expected back end in a header; if another one turns it away, that is recorded.
pub(crate) async fn exchange(
    context: &Arc<Context>,
    backend: &BackendId,
    mut request: Request<Full<Bytes>>,
    sending: SendOptions,
    timeout: Duration,
) -> Result<WholeAnswer, LinkError> {
    let chosen = context.backends.take(backend).ok_or(LinkError::NotSent)?;
    let expected = HeaderValue::from_str(backend.name()).map_err(|_| LinkError::NotSent)?;
    request
        .headers_mut()
        .insert(context.dialect.headers().expected_backend.clone(), expected);
    let exchange = async {
        let answer = chosen.link.send_as(request, sending).await?;
        answer.whole(MAX_ANSWER_BYTES).await
    };
    let answer = tokio::time::timeout(timeout, exchange).await;
    let answer = answer.unwrap_or(Err(LinkError::TimedOut))?;
    if edge::is_misdirected(answer.status) {
        context.backends.record_replaced(backend, context.now());
    }
    Ok(answer)
}
