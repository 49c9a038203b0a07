//! Serves the interface on a listener.

use std::future::Future;
use std::io;
use std::sync::Arc;

use axum::serve::ListenerExt;
use havenstage_node::node::Node;
use tokio::net::{TcpListener, TcpStream};

use crate::router::router;
use crate::settings::HttpApiSettings;
use crate::state::ApiState;

/// Serves until `shutdown` completes, and then until every response under way has been sent.
/// Long polls are ended at `shutdown`; answers to callers are not.
pub async fn serve(
    listener: TcpListener,
    node: Arc<Node>,
    settings: HttpApiSettings,
    shutdown: impl Future<Output = ()> + Send + 'static,
) -> io::Result<()> {
    let state = ApiState::new(node, settings);
    let router = router(state.clone());
    let shutdown = async move {
        shutdown.await;
        state.end_long_polls();
    };
    axum::serve(listener.tap_io(send_at_once), router)
        .with_graceful_shutdown(shutdown)
        .await
}

/// Lets a small event of a stream leave before the one ahead of it has been acknowledged.
fn send_at_once(connection: &mut TcpStream) {
    if let Err(error) = connection.set_nodelay(true) {
        log::debug!("a connection keeps its delay: {error}");
    }
}
