//! The HTTP protocol that the service speaks with callers, trainers and engines.

mod completion;
mod names;
mod orders;
mod results;
mod submission;

use bytes::Bytes;
use havenstage_gateway::edge::{
    BackendReport, BatchCall, Dialect, HeaderNames, ResultPage, UnreadableSubmission, VersionOrder,
};
use havenstage_rollout::batch::{Item, Submission};
use havenstage_rollout::batch_state::ItemResult;
use havenstage_rollout::ids::{BatchId, ItemId};
use http::{Method, Request, Uri};
use http_body_util::Full;

pub use completion::{Choice, CompletionChunk, CompletionRequest, STREAM_END};
pub use names::{
    BATCHES_PATH, COMPLETIONS_PATH, ENGINE_ORDER_PATH, ENGINE_REPORT_PATH, READY_PATH, headers,
};
pub use orders::{EngineReportBody, LoadOrder};
pub use results::{Results, SampleResult, SampleState};
pub use submission::{BatchBody, SampleBody, ScoreBody};

/// Content type of all bodies.
const JSON: &str = "application/json";

/// Implements the gateway's [`Dialect`] with JSON bodies.
pub struct HavenstageDialect {
    headers: HeaderNames,
}

impl HavenstageDialect {
    /// Creates the dialect with the header names of [`headers`].
    pub fn new() -> Self {
        Self { headers: headers() }
    }
}

impl Default for HavenstageDialect {
    fn default() -> Self {
        Self::new()
    }
}

impl Dialect for HavenstageDialect {
    fn headers(&self) -> &HeaderNames {
        &self.headers
    }

    fn is_readiness_call(&self, method: &Method, path: &str) -> bool {
        *method == Method::GET && path == READY_PATH
    }

    /// `GET /v1/batches/ID/results?from=N`, `GET /v1/batches/ID/samples/SAMPLE` and `DELETE /v1/batches/ID`;
    /// POST submits a batch.
    fn batch_call(&self, method: &Method, uri: &Uri) -> Option<BatchCall> {
        let rest = uri.path().strip_prefix(BATCHES_PATH)?;
        if *method == Method::POST {
            return None;
        }
        let segments: Vec<&str> = rest.split('/').collect();
        Some(match (method, segments.as_slice()) {
            (&Method::GET, [batch, "results"]) => results_call(batch, uri),
            (&Method::GET, [batch, "samples", sample]) => BatchCall::ItemBody {
                batch: BatchId::from(*batch),
                item: ItemId::from(*sample),
            },
            (&Method::DELETE, [batch]) if !batch.is_empty() => BatchCall::End {
                batch: BatchId::from(*batch),
            },
            _ => BatchCall::Malformed,
        })
    }

    fn read_submission(
        &self,
        batch: BatchId,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Submission, UnreadableSubmission> {
        submission::read(batch, host, path, body)
    }

    /// Always 0: prompts are text, and only engines have the tokenizer that counts their tokens.
    fn prompt_tokens(&self, _: &Item) -> u32 {
        0
    }

    fn result_bytes(&self, result: &ItemResult) -> usize {
        results::max_bytes(result)
    }

    fn write_results(&self, page: &ResultPage<'_>) -> Bytes {
        results::write(page)
    }

    fn content_type(&self) -> &'static str {
        JSON
    }

    fn order_request(&self, order: &VersionOrder) -> Request<Full<Bytes>> {
        orders::order_request(order)
    }

    fn report_request(&self) -> Request<Full<Bytes>> {
        orders::report_request()
    }

    fn read_report(&self, body: &[u8]) -> Option<BackendReport> {
        orders::read_report(body)
    }
}

fn results_call(batch: &str, uri: &Uri) -> BatchCall {
    let query = uri.query().unwrap_or_default();
    let from = match query.split_once('=') {
        None if query.is_empty() => Ok(0),
        Some(("from", from)) => from.parse(),
        _ => return BatchCall::Malformed,
    };
    match from {
        Ok(from) => BatchCall::Read {
            batch: BatchId::from(batch),
            from,
        },
        Err(_) => BatchCall::Malformed,
    }
}
