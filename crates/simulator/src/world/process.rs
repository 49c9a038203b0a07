//! The process of a node: one run of the real node code behind a gate of its own.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use havenstage_node::node::Node;
use havenstage_node::spawner::TaskSpawner;
use havenstage_types::ids::{NodeId, RequestId};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// One run of a node process.
pub struct NodeProcess {
    machine: usize,
    node: Arc<Node>,
    spawner: TaskSpawner,
    ended: CancellationToken,
    frozen: AtomicBool,
    open_calls: TaskTracker,
    requests: AtomicU64,
    /// Every identity the process has had; it takes a new one when the others had declared it
    /// dead.
    identities: Mutex<Vec<NodeId>>,
}

impl NodeProcess {
    pub(super) fn new(machine: usize, node: Arc<Node>, spawner: TaskSpawner) -> Arc<Self> {
        let first = node.identity().id;
        Arc::new(Self {
            machine,
            node,
            spawner,
            ended: CancellationToken::new(),
            frozen: AtomicBool::new(false),
            open_calls: TaskTracker::new(),
            requests: AtomicU64::new(0),
            identities: Mutex::new(vec![first]),
        })
    }

    /// Number of the machine it runs on.
    pub fn machine(&self) -> usize {
        self.machine
    }

    /// The node.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Spawns tasks into the process. Whatever calls the node must run there, so that it stops
    /// with the process.
    pub fn spawner(&self) -> &TaskSpawner {
        &self.spawner
    }

    /// The identity it has now.
    pub fn identity(&self) -> NodeId {
        let current = self.node.identity().id;
        let mut identities = self.lock();
        if !identities.contains(&current) {
            identities.push(current);
        }
        current
    }

    /// All identities that anybody outside can have seen.
    pub fn identities(&self) -> Vec<NodeId> {
        self.identity();
        self.lock().clone()
    }

    /// An id for a caller's request, as the HTTP API would give it.
    pub fn next_request_id(&self) -> RequestId {
        let sequence = self.requests.fetch_add(1, Ordering::Relaxed) + 1;
        let node = self.identity().0;
        RequestId(format!("r-{node:016x}-{sequence:x}"))
    }

    /// Calls whose answers are still being sent; a planned stop waits for them.
    pub fn open_calls(&self) -> &TaskTracker {
        &self.open_calls
    }

    /// Returns when the process has ended.
    pub async fn ended(&self) {
        self.ended.cancelled().await;
    }

    /// Whether the process has ended.
    pub fn is_ended(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// Holds the process up; `false` when it was held up already.
    pub(super) fn freeze(&self) -> bool {
        self.spawner.hold();
        !self.frozen.swap(true, Ordering::Relaxed)
    }

    /// Lets the process go on; `false` when it was not held up.
    pub(super) fn wake(&self) -> bool {
        self.spawner.release();
        self.frozen.swap(false, Ordering::Relaxed)
    }

    /// Whether the process is held up now.
    pub fn is_frozen(&self) -> bool {
        self.frozen.load(Ordering::Relaxed)
    }

    pub(super) fn end(&self) {
        self.spawner.close();
        self.ended.cancel();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<NodeId>> {
        self.identities
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
