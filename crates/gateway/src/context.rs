//! What all parts of a gateway node share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use havenstage_rollout::Millis;
use havenstage_rollout::fold::{BatchState, PartitionState};
use havenstage_rollout::ids::{BackendId, BatchId, ModelName, NodeId, Version, partition_of};
use havenstage_rollout::orders::OrderState;
use havenstage_rollout::pacing::{self, Pace};
use havenstage_rollout::route::{RouteTable, RoutingConfig};
use std::collections::BTreeMap;
use tokio::sync::{Notify, Semaphore, watch};

use crate::backends::Backends;
use crate::edge::{Dialect, Directory, LogStream, SharedLog, SteadyClock, StreamPartition};
use crate::settings::Settings;
use crate::stream_view::StreamView;

/// The only partition of orders in use.
pub const ORDERS: StreamPartition = StreamPartition {
    stream: LogStream::Orders,
    partition: 0,
};

/// Time that a call waits for the first configuration; callers want an answer soon.
const ROUTES_PATIENCE: Duration = Duration::from_millis(35);

/// Time after running a batch in which a node reads all streams at once.
const BUSY_MS: Millis = 5_000;
/// Streams that every node follows: orders and two directories.
const ALWAYS_FOLLOWED: usize = 3;
/// Reads of batches that lie far behind, at one time: they share the node's link with its answers.
const CATCH_UP_READS: usize = 4;

/// Shared by all parts of a node.
pub struct Context {
    /// Settings.
    pub settings: Settings,
    /// This life of the node's process.
    pub node: NodeId,
    /// Steady clock.
    pub clock: SteadyClock,
    /// The shared log.
    pub log: Arc<dyn SharedLog>,
    /// The directories.
    pub directory: Arc<dyn Directory>,
    /// The dialect of callers and back ends.
    pub dialect: Arc<dyn Dialect>,
    /// Back ends.
    pub backends: Arc<Backends>,
    /// Partitions of batches.
    pub partitions: Vec<StreamView<PartitionState>>,
    /// Orders given by anyone.
    pub orders: StreamView<OrderState>,
    /// Turns for reading batches that lie far behind.
    pub catch_up: Semaphore,
    /// Wakes the task that gives orders.
    pub orders_changed: Arc<Notify>,
    /// Wakes the task that runs items.
    pub work: Arc<Notify>,
    /// Set once the node was told to stop.
    pub stopping: AtomicBool,
    /// Set when batches are to be released.
    pub releasing: AtomicBool,
    /// Set once all batches were released.
    pub released: AtomicBool,
    routes: RwLock<Option<Arc<RouteTable>>>,
    routes_known: Notify,
    named: Mutex<BTreeMap<ModelName, Version>>,
    draws: AtomicU64,
    last_contact: AtomicU64,
    busy_until: AtomicU64,
    backends_listed: watch::Sender<bool>,
    follows_all: watch::Sender<bool>,
}

impl Context {
    /// A context that knows nothing yet.
    pub fn new(
        settings: Settings,
        node: NodeId,
        log: Arc<dyn SharedLog>,
        directory: Arc<dyn Directory>,
        dialect: Arc<dyn Dialect>,
    ) -> Arc<Self> {
        let work = Arc::new(Notify::new());
        let orders_changed = Arc::new(Notify::new());
        let partitions = (0..settings.log.partitions)
            .map(|partition| StreamPartition {
                stream: LogStream::Batches,
                partition,
            })
            .map(|id| StreamView::new(id, PartitionState::default(), work.clone()))
            .collect();
        Arc::new(Self {
            settings,
            node: node.clone(),
            clock: SteadyClock::start(),
            log,
            directory,
            dialect,
            backends: Backends::new(work.clone()),
            partitions,
            orders: StreamView::new(
                ORDERS,
                OrderState::new(node.machine.clone()),
                orders_changed.clone(),
            ),
            orders_changed,
            work,
            catch_up: Semaphore::new(CATCH_UP_READS),
            last_contact: AtomicU64::new(0),
            busy_until: AtomicU64::new(0),
            backends_listed: watch::Sender::new(false),
            follows_all: watch::Sender::new(false),
            stopping: AtomicBool::new(false),
            releasing: AtomicBool::new(false),
            released: AtomicBool::new(false),
            routes: RwLock::new(None),
            routes_known: Notify::new(),
            named: Mutex::new(BTreeMap::new()),
            draws: AtomicU64::new(rand::random()),
        })
    }

    /// Milliseconds on the steady clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The partition that holds a batch.
    pub fn partition_of(&self, batch: &BatchId) -> &StreamView<PartitionState> {
        &self.partitions[partition_of(batch, self.settings.log.partitions) as usize]
    }

    /// The routes in force, once a configuration is known.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The routes in force; a node that has just started waits a moment for them.
    pub async fn routes_soon(&self) -> Option<Arc<RouteTable>> {
        let known = self.routes_known.notified();
        tokio::pin!(known);
        known.as_mut().enable();
        if let Some(table) = self.routes() {
            return Some(table);
        }
        let _ = tokio::time::timeout(ROUTES_PATIENCE, known).await;
        self.routes()
    }

    /// Puts a configuration in force unless a newer one is; answers whether it is new.
    pub fn set_routes(&self, config: RoutingConfig) -> bool {
        let mut routes = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        let is_newer = routes
            .as_ref()
            .is_none_or(|table| table.version() < config.version);
        if is_newer {
            *routes = Some(Arc::new(RouteTable::new(config)));
        }
        drop(routes);
        self.routes_known.notify_waiters();
        is_newer
    }

    /// Believes what the stream of orders tells of versions.
    pub fn note_observed_versions(&self) {
        let observed = self.orders.lock().state.take_observed();
        let mut backends = self.backends.lock();
        for seen in observed {
            backends.saw_version(&seen.backend, &seen.model, seen.version);
        }
    }

    /// A trainer named a version.
    pub fn name_version(&self, model: ModelName, version: Version) -> bool {
        let mut named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        let known = named.entry(model).or_insert(0);
        let is_newer = *known < version;
        *known = (*known).max(version);
        drop(named);
        self.orders_changed.notify_one();
        is_newer
    }

    /// The newest named version of each model.
    pub fn named_versions(&self) -> BTreeMap<ModelName, Version> {
        self.named
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Whether this node runs items of any batch.
    pub fn holds_batches(&self) -> bool {
        self.partitions.iter().any(|view| {
            let inner = view.lock();
            let mut open = inner.state.batches().filter(|batch| !batch.is_closed());
            open.any(|batch| batch.lease.is_held_by(&self.node))
        })
    }

    /// How often this node reads, among all machines that ever joined.
    pub fn pace(&self) -> Pace {
        let machines = self.orders.lock().state.machine_count();
        pacing::pace(machines, ALWAYS_FOLLOWED, self.settings.log.reads_per_s)
    }

    /// Decides whether this node follows all batches: those that run batches or give orders do; the
    /// others follow what they are asked about.
    pub fn choose_what_to_follow(&self) {
        let orders = self.orders.lock();
        let gives_orders = orders.state.lease().is_held_by(&self.node);
        drop(orders);
        let follows_all = gives_orders || self.is_busy();
        self.follows_all.send_if_modified(|before| {
            let is_changed = *before != follows_all;
            *before = follows_all;
            is_changed
        });
    }

    /// Waits until this node follows a partition of batches.
    pub async fn wait_until_followed(&self, view: &StreamView<PartitionState>) {
        let mut follows_all = self.follows_all.subscribe();
        while !*follows_all.borrow_and_update() && !view.is_wanted(self.now()) {
            tokio::select! {
                // The sender lives as long as `self`.
                _ = follows_all.changed() => {}
                () = view.wait_until_wanted() => {}
            }
        }
    }

    /// Whether this node follows a partition of batches, as far as the log lets it.
    pub fn is_followed(&self, view: &StreamView<PartitionState>) -> bool {
        *self.follows_all.borrow() || view.is_wanted(self.now())
    }

    /// Whether all batches are known up to this time.
    pub fn knows_all_batches(&self) -> bool {
        let now = self.now();
        self.partitions.iter().all(|view| !view.is_behind(now))
    }

    /// Whether this node runs batches, or ran one a moment ago.
    pub fn is_busy(&self) -> bool {
        self.busy_until.load(Ordering::Relaxed) > self.now()
    }

    /// This node runs batches at this moment.
    pub fn note_busy(&self) {
        self.busy_until
            .fetch_max(self.now() + BUSY_MS, Ordering::Relaxed);
    }

    /// The back ends have been listed.
    pub fn note_backends_listed(&self) {
        self.backends_listed.send_replace(true);
    }

    /// Waits until the back ends have been listed and routes are known.
    pub async fn directories_known(&self) {
        // The sender lives as long as `self`.
        let _ = self
            .backends_listed
            .subscribe()
            .wait_for(|is_listed| *is_listed)
            .await;
        while self.routes_soon().await.is_none() {}
    }

    /// A number that differs from call to call.
    pub fn draw(&self) -> u64 {
        self.draws.fetch_add(1, Ordering::Relaxed)
    }

    /// The log or a directory answered.
    pub fn saw_contact(&self) {
        self.last_contact.fetch_max(self.now(), Ordering::Relaxed);
    }

    /// Milliseconds since the log or a directory last answered.
    pub fn contact_age(&self) -> Millis {
        self.now()
            .saturating_sub(self.last_contact.load(Ordering::Relaxed))
    }

    /// Whether the node was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}

/// Items that run on each back end as the log tells, in open batches that `counts` takes.
pub fn running_items(
    context: &Context,
    counts: impl Fn(&BatchState) -> bool,
) -> BTreeMap<BackendId, u32> {
    let mut running = BTreeMap::new();
    let followed = context
        .partitions
        .iter()
        .filter(|view| context.is_followed(view));
    for view in followed {
        let inner = view.lock();
        let open = inner
            .state
            .batches()
            .filter(|batch| !batch.is_closed() && counts(batch));
        for batch in open {
            let unfinished = batch.items.iter().filter(|item| item.result.is_none());
            for backend in unfinished.filter_map(|item| item.backend.clone()) {
                *running.entry(backend).or_default() += 1;
            }
        }
    }
    running
}
