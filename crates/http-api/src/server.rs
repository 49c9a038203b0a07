//! Serves the interface on a listener.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use axum::response::{IntoResponse, Response};
use axum::serve::ListenerExt;
use havenstage_http_server::{
    BodyError, BodyLimits, BodyMemory, Connections, RouterLimits, RouterServer, max_descriptors,
};
use havenstage_node::node::Node;
use http::request::Parts;
use tokio::net::{TcpListener, TcpStream};

use crate::error::ApiError;
use crate::router::router;
use crate::settings::HttpApiSettings;
use crate::state::ApiState;

/// Time within which a body must be received.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of the head of a request in bytes.
const HEAD_BYTES: usize = 16 * 1024;
/// Time for which a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// One part of the descriptors in so many is for connections of callers.
const DESCRIPTOR_PART: usize = 2;

/// Serves until `shutdown` completes, and then until every response under way has been sent.
/// Long polls are ended at `shutdown`; answers to callers are not.
pub async fn serve(
    listener: TcpListener,
    node: Arc<Node>,
    settings: HttpApiSettings,
    shutdown: impl Future<Output = ()> + Send + 'static,
) {
    let server_limits = limits(&settings);
    let bodies = BodyMemory::new(to_usize(settings.max_held_body_bytes));
    let connections = to_usize(settings.max_connections).min(max_descriptors() / DESCRIPTOR_PART);
    let connections = Connections::new("callers", connections);
    let state = ApiState::new(node, settings);
    let router = router(state.clone());
    let shutdown = async move {
        shutdown.await;
        state.end_long_polls();
    };
    RouterServer::new(router, server_limits, bodies, connections, refuse_body)
        .serve(listener.tap_io(send_at_once), shutdown)
        .await;
}

fn limits(settings: &HttpApiSettings) -> RouterLimits {
    RouterLimits {
        body: BodyLimits {
            max_bytes: to_usize(settings.max_body_bytes),
            timeout: BODY_TIMEOUT,
        },
        head_bytes: HEAD_BYTES,
        idle_timeout: IDLE_TIMEOUT,
    }
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

fn refuse_body(_: &Parts, error: BodyError) -> Response {
    ApiError::from(error).into_response()
}

/// Lets a small event of a stream leave before the one ahead of it has been acknowledged.
fn send_at_once(connection: &mut TcpStream) {
    if let Err(error) = connection.set_nodelay(true) {
        log::debug!("a connection keeps its delay: {error}");
    }
}
