//! Counts requests and measures the time to their response head.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use axum::extract::MatchedPath;
use http::{Request, Response};
use tokio::time::Instant;
use tower::{Layer, Service};

/// Metric: responses by route and status.
pub const RESPONSES: &str = "havenstage_http_responses_total";
/// Metric: seconds from a request to the head of its response.
pub const RESPONSE_SECONDS: &str = "havenstage_http_response_seconds";

/// Route label of requests that no route matched, so that paths made up by clients do not become
/// labels.
const NO_ROUTE: &str = "none";

/// Wraps services in [`RecordRequests`].
#[derive(Debug, Clone, Copy, Default)]
pub struct NewRecordRequests;

impl<S> Layer<S> for NewRecordRequests {
    type Service = RecordRequests<S>;

    fn layer(&self, inner: S) -> Self::Service {
        RecordRequests { inner }
    }
}

/// Records each response of the inner service.
#[derive(Debug, Clone)]
pub struct RecordRequests<S> {
    inner: S,
}

impl<S, B, R> Service<Request<B>> for RecordRequests<S>
where
    S: Service<Request<B>, Response = Response<R>>,
    S::Future: Send + 'static,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<S::Response, S::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let route = request
            .extensions()
            .get::<MatchedPath>()
            .map_or_else(|| NO_ROUTE.to_owned(), |path| path.as_str().to_owned());
        let start = Instant::now();
        let response = self.inner.call(request);
        Box::pin(async move {
            let response = response.await?;
            let status = response.status().as_str().to_owned();
            metrics::counter!(RESPONSES, "route" => route.clone(), "status" => status).increment(1);
            metrics::histogram!(RESPONSE_SECONDS, "route" => route).record(start.elapsed());
            Ok(response)
        })
    }
}
