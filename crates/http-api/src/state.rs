//! What all handlers share.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use havenstage_node::node::Node;
use havenstage_types::ids::{ChangeId, RequestId};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::sync::watch;

use crate::settings::HttpApiSettings;

/// Upper bounds of histogram buckets, in seconds: from a refusal to a long answer.
const SECONDS_BUCKETS: [f64; 12] = [
    0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0, 300.0,
];

/// Shared by all handlers; clones share everything.
#[derive(Clone)]
pub struct ApiState {
    shared: Arc<Shared>,
}

struct Shared {
    node: Arc<Node>,
    settings: HttpApiSettings,
    next_sequence: AtomicU64,
    stopping: watch::Sender<bool>,
    metrics: PrometheusHandle,
}

impl ApiState {
    /// State for one node. The first call in a process installs the metrics recorder.
    pub fn new(node: Arc<Node>, settings: HttpApiSettings) -> Self {
        let shared = Shared {
            node,
            settings,
            next_sequence: AtomicU64::new(1),
            stopping: watch::Sender::new(false),
            metrics: process_metrics(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// The node.
    pub fn node(&self) -> &Arc<Node> {
        &self.shared.node
    }

    /// The settings.
    pub fn settings(&self) -> &HttpApiSettings {
        &self.shared.settings
    }

    /// All metrics of the process in the Prometheus text format.
    pub fn render_metrics(&self) -> String {
        self.shared.metrics.render()
    }

    /// An id for a caller's request, unique in the deployment as the node's identity is.
    pub fn new_request_id(&self) -> RequestId {
        RequestId(self.unique_name("r"))
    }

    /// An id for a change whose client chose none.
    pub fn new_change_id(&self) -> ChangeId {
        ChangeId(self.unique_name("c"))
    }

    /// Ends all long polls; called when the server shuts down.
    pub fn end_long_polls(&self) {
        self.shared.stopping.send_replace(true);
    }

    /// Completes when long polls are to end.
    pub async fn long_polls_ended(&self) {
        let mut stopping = self.shared.stopping.subscribe();
        // The sender lives in `self`, so that waiting cannot fail.
        let _ = stopping.wait_for(|stopping| *stopping).await;
    }

    fn unique_name(&self, prefix: &str) -> String {
        let sequence = self.shared.next_sequence.fetch_add(1, Ordering::Relaxed);
        let node = self.shared.node.identity().id.0;
        format!("{prefix}-{node:016x}-{sequence:x}")
    }
}

/// The recorder is one for the whole process, and so is its handle.
fn process_metrics() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE.get_or_init(install_recorder).clone()
}

fn install_recorder() -> PrometheusHandle {
    let builder = PrometheusBuilder::new()
        .set_buckets(&SECONDS_BUCKETS)
        .unwrap_or_else(|_empty| PrometheusBuilder::new());
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::warn!("another metrics recorder is installed; /metrics stays empty");
    }
    handle
}
