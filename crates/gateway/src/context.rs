//! What all parts of a gateway node share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, RwLock};
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_clock::time_of_day::TimeOfDay;
use havenstage_rollout::Millis;
use havenstage_rollout::back_end_speed::median;
use havenstage_rollout::backend_digest::DigestState;
use havenstage_rollout::batch_index::BatchNotice;
use havenstage_rollout::control::ControlState;
use havenstage_rollout::ids::{
    BackendId, BatchId, ModelName, NodeId, PoolName, RegionName, TenantName, Version,
};
use havenstage_rollout::occupancy::Occupancy;
use havenstage_rollout::pacing::{self, Pace};
use havenstage_rollout::residency::Residency;
use havenstage_rollout::route::{RouteTable, RoutingConfig};
use havenstage_rollout::slow_start::Sender;
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::{Notify, Semaphore, watch};

use crate::accept_health::AcceptHealth;
use crate::backends::Backends;
use crate::batch_partitions::{BatchPartitions, BatchView};
use crate::counted_log::CountedLog;
use crate::crash_evidence::WatchedSends;
use crate::crash_guard::CrashGuard;
use crate::edge::{
    CheckpointStore, Dialect, Directory, DirectoryKind, LogStream, NodeClock, NodeDependencies,
    SharedLog, StreamPartition,
};
use crate::held_answers::HeldAnswers;
use crate::lease_grant::LeaseGrant;
use crate::metering::UsageCounter;
use crate::operations::OperationsApi;
use crate::peer_notices::PeerSocket;
use crate::peers::Peers;
use crate::reward_limiter::RewardLimiter;
use crate::settings::Settings;
use crate::stream_view::StreamView;

/// The only partition of the control stream in use.
pub const CONTROL: StreamPartition = StreamPartition {
    stream: LogStream::Control,
    partition: 0,
};
/// The only partition of occupancy in use.
pub const OCCUPANCY: StreamPartition = StreamPartition {
    stream: LogStream::Occupancy,
    partition: 0,
};

/// Time that a call waits for the first configuration; callers want an answer soon.
const ROUTES_PATIENCE: Duration = Duration::from_millis(35);

/// Time that a call waits for the control stream to be read for the first time, so that a node that has just
/// started sends no request that others have barred.
const CONTROL_PATIENCE: Duration = Duration::from_millis(100);

/// The only partition of the digest of back ends in use.
pub const BACKEND_DIGEST: StreamPartition = StreamPartition {
    stream: LogStream::BackendDigest,
    partition: 0,
};

/// Time after running a batch in which a node reads all streams at once.
const BUSY_MS: Millis = 5_000;
/// Streams that every node follows: orders and two directories.
const ALWAYS_FOLLOWED: usize = 3;
/// Batches of a trainer that its owner follows: a step may carry items of the ones before it.
const FOLLOWED_OF_TRAINER: usize = 4;
/// Time after which a read of the log is given up in a small fleet, whose reads take milliseconds: where the log says
/// nothing, the next one may reach it.
const SMALL_FLEET_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bytes that a node reads when it starts, reckoned from the sizes of checkpoints, routes and some seconds of records in
/// a fleet of 985. A read may wait behind those of all others, and the log answers it whether it is waited for or not: given up after one second, each restart of 985 nodes kept the log
/// overloaded for good, as everything was asked for again.
const START_BYTES: f64 = 190_000.0;
/// Longest time that a read is waited for: the log refuses what would wait longer.
const LONGEST_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time within which all nodes can read what they read each time that the fleet starts.
const SHARED_READ_TIME: Duration = Duration::from_secs(2);
/// Time within which all nodes have their answers, if all ask at once: well within the time after which an answer is
/// not waited for any more, or the log would give the same bytes again and again.
const SHARED_ANSWER_TIME: Duration = Duration::from_millis(250);
/// Bounds of what a node asks for at once: some ten entries at least.
const LEAST_READ_BYTES: u32 = 8 * 1024;
const MOST_READ_BYTES: u32 = 256 * 1024;
/// Time after a start in which the size of the fleet is hardly known.
const FLEET_UNKNOWN_FOR: Duration = Duration::from_millis(500);
/// Longest gap between two reads meanwhile: a node of a small fleet must not sleep through its first seconds.
const LONGEST_GAP_AT_FIRST_MS: Millis = 100;
/// Time that an answer of the directory may take besides the wait that it was asked for, while nothing is wrong.
const READ_SLACK_MS: Millis = 500;
/// Age up to which a node's word on the places that it takes counts.
const OCCUPANCY_COUNTS_MS: Millis = 2_500;
/// Age up to which counts what a node tells of the speeds of back ends, which lasts longer than its places.
const TOLD_GAPS_COUNT_MS: Millis = 30_000;
/// Reads of batches that lie far behind, at one time: they share the node's link with its answers.
const CATCH_UP_READS: usize = 4;

/// Shared by all parts of a node.
pub struct Context {
    /// Settings.
    pub settings: Settings,
    /// This life of the node's process.
    pub node: NodeId,
    /// Milliseconds on the clock that counts suspended time.
    pub clock: NodeClock,
    /// The shared log.
    pub log: Arc<dyn SharedLog>,
    /// Checkpoints of streams.
    pub checkpoints: Arc<dyn CheckpointStore>,
    /// The directories.
    pub directory: Arc<dyn Directory>,
    /// The dialect of callers and back ends.
    pub dialect: Arc<dyn Dialect>,
    /// The platform's interface for operations, where there is one.
    pub operations: Option<Arc<dyn OperationsApi>>,
    /// Time of day, by which usage is accounted.
    pub time_of_day: TimeOfDay,
    /// Requests of tenants that back ends began for this node.
    pub usage: UsageCounter,
    lease_grant: Mutex<Option<LeaseGrant>>,
    /// Back ends.
    pub backends: Arc<Backends>,
    /// Partitions of batches.
    pub partitions: BatchPartitions,
    /// Which batches there are, who runs them, and orders given by anyone.
    pub control: StreamView<ControlState>,
    /// Places taken on back ends, as the nodes that run batches tell.
    pub occupancy: StreamView<Occupancy>,
    /// The digest of the directory of back ends, where that is too large for all nodes to read.
    pub digest: StreamView<DigestState>,
    /// Turns for reading batches that lie far behind.
    pub catch_up: Semaphore,
    /// Wakes the task that gives orders.
    pub control_changed: Arc<Notify>,
    /// Wakes the task that runs items.
    pub work: Arc<Notify>,
    /// Answers that callers have not taken yet.
    pub answers: Arc<HeldAnswers>,
    /// How the taking of callers' connections goes.
    pub accept_health: AcceptHealth,
    /// Other nodes that run batches.
    pub peers: Peers,
    pub(crate) crash_guard: CrashGuard,
    pub(crate) watched_sends: WatchedSends,
    /// Where datagrams of other nodes come in, if the node listens for them.
    pub(crate) peer_socket: OnceLock<PeerSocket>,
    pub(crate) reward_limiter: RewardLimiter,
    /// Set once the node was told to stop.
    pub stopping: AtomicBool,
    /// When the process ends, once the node was told to stop.
    pub ends_at: OnceLock<Instant>,
    /// Set when batches are to be released.
    pub releasing: AtomicBool,
    /// Set once all batches were released.
    pub released: AtomicBool,
    routes: RwLock<Option<Arc<RouteTable>>>,
    routes_known: Notify,
    named: Mutex<BTreeMap<ModelName, Version>>,
    draws: AtomicU64,
    last_contact: AtomicU64,
    operators_read_at: AtomicU64,
    directory_is_large: AtomicBool,
    busy_until: AtomicU64,
    backends_listed: watch::Sender<bool>,
    control_read: watch::Sender<bool>,
    control_read_at: OnceLock<Instant>,
    takes_part: watch::Sender<bool>,
}

impl Context {
    /// A context that knows nothing yet.
    pub fn new(settings: Settings, node: NodeId, dependencies: NodeDependencies) -> Arc<Self> {
        let NodeDependencies {
            log,
            checkpoints,
            directory,
            dialect,
            operations,
        } = dependencies;
        let window_ms = settings.metering().map(|metering| metering.window_ms);
        let regions = settings.region_map();
        let answers = HeldAnswers::new(settings.memory_bytes());
        let clock = NodeClock::start();
        let work = Arc::new(Notify::new());
        let control_changed = Arc::new(Notify::new());
        let partitions = BatchPartitions::new(&settings.log, &work);
        Arc::new(Self {
            settings,
            node: node.clone(),
            clock,
            log: Arc::new(CountedLog::new(log)),
            checkpoints,
            directory,
            dialect,
            operations,
            time_of_day: TimeOfDay::start(),
            usage: UsageCounter::new(window_ms),
            lease_grant: Mutex::default(),
            backends: Backends::new(work.clone(), regions),
            partitions,
            control: StreamView::new(
                CONTROL,
                ControlState::new(node.machine.clone()),
                control_changed.clone(),
            ),
            occupancy: StreamView::new(OCCUPANCY, Occupancy::default(), work.clone()),
            digest: StreamView::new(
                BACKEND_DIGEST,
                DigestState::default(),
                control_changed.clone(),
            ),
            control_changed,
            work,
            catch_up: Semaphore::new(CATCH_UP_READS),
            last_contact: AtomicU64::new(0),
            operators_read_at: AtomicU64::new(0),
            directory_is_large: AtomicBool::new(false),
            busy_until: AtomicU64::new(0),
            backends_listed: watch::Sender::new(false),
            control_read: watch::Sender::new(false),
            control_read_at: OnceLock::new(),
            takes_part: watch::Sender::new(false),
            answers,
            accept_health: AcceptHealth::default(),
            peers: Peers::default(),
            crash_guard: CrashGuard::default(),
            watched_sends: WatchedSends::default(),
            peer_socket: OnceLock::new(),
            reward_limiter: RewardLimiter::new(clock),
            stopping: AtomicBool::new(false),
            ends_at: OnceLock::new(),
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
    pub fn partition_of(&self, batch: &BatchId) -> &BatchView {
        self.partitions.of(batch)
    }

    /// Whether this node holds the lease of a batch, as far as it has read the batch's partition.
    pub fn holds(&self, batch: &BatchId) -> bool {
        let inner = self.partition_of(batch).lock();
        let state = inner.state.batch(batch);
        state.is_some_and(|state| state.lease.is_held_by(&self.node))
    }

    /// The routes in force, once a configuration is known.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The routes in force; a node that has just started waits a moment for them.
    pub async fn wait_for_routes(&self) -> Option<Arc<RouteTable>> {
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
            let table = Arc::new(RouteTable::replacing(config, routes.as_deref()));
            *routes = Some(table.clone());
            drop(routes);
            self.backends.set_cold_limits(table.cold_limits());
        }
        self.routes_known.notify_waiters();
        is_newer
    }

    /// Believes what the control stream tells of versions.
    pub fn apply_observed_versions(&self) {
        let observed = self.control.lock().state.take_observed();
        let mut backends = self.backends.lock();
        for seen in observed {
            backends.record_version(&seen.backend, &seen.model, seen.version);
        }
    }

    /// A trainer named a version.
    pub fn record_named_version(&self, model: ModelName, version: Version) -> bool {
        let mut named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        let known = named.entry(model).or_insert(0);
        let is_newer = *known < version;
        *known = (*known).max(version);
        drop(named);
        self.control_changed.notify_one();
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
        let open = self.open_batches();
        open.iter().any(|notice| self.holds(&notice.batch))
    }

    /// The batches of which something is left to be done.
    fn open_batches(&self) -> Vec<BatchNotice> {
        let control = self.control.lock();
        let open = control.state.index().open();
        open.map(|batch| batch.notice.clone()).collect()
    }

    /// How many machines there are, about.
    pub fn fleet_size(&self) -> usize {
        let read_for = self.control_read_for();
        self.control.lock().state.fleet().estimate(read_for)
    }

    /// The same for work that is due soon: while the size of the fleet is hardly known only the machines that are.
    pub fn known_machines(&self) -> usize {
        if self.control_read_for() < FLEET_UNKNOWN_FOR {
            return self.control.lock().state.machine_count();
        }
        self.fleet_size()
    }

    /// How often this node reads, among all machines.
    pub fn pace(&self) -> Pace {
        let machines = self.fleet_size();
        let mut pace = pacing::pace(machines, ALWAYS_FOLLOWED, self.settings.log.reads_per_s);
        if self.control_read_for() < FLEET_UNKNOWN_FOR {
            pace.read_interval_ms = pace.read_interval_ms.min(LONGEST_GAP_AT_FIRST_MS);
        }
        pace
    }

    /// Usual time between two reads of a stream; none in a small fleet.
    pub fn read_interval(&self) -> Duration {
        Duration::from_millis(self.pace().read_interval_ms)
    }

    /// Has reads of the log wait for their answers as long as those of the whole fleet may take together.
    pub fn adapt_read_timeout(&self) {
        let start_bytes = START_BYTES * self.fleet_size() as f64;
        let start = Duration::from_secs_f64(start_bytes / self.settings.log.read_bytes_per_s());
        let timeout = SMALL_FLEET_TIMEOUT + start;
        self.log.set_read_timeout(timeout.min(LONGEST_TIMEOUT));
    }

    /// Time since the control stream was first read to its end.
    fn control_read_for(&self) -> Duration {
        let read_at = self.control_read_at.get();
        read_at.map_or(Duration::ZERO, Instant::elapsed)
    }

    /// Decides which partitions of batches this node needs: those of the batches that it runs, or
    /// that are given to it, and of the same trainers' batches before them.
    pub fn choose_followed_partitions(&self) {
        let own = self.own_batches();
        let control = self.control.lock();
        let gives_orders = control.state.lease().is_held_by(&self.node);
        let needed: BTreeSet<usize> = own
            .iter()
            .flat_map(|notice| {
                control
                    .state
                    .index()
                    .newest_of_same_trainer(notice, FOLLOWED_OF_TRAINER)
            })
            .chain(own.iter())
            .map(|notice| self.partitions.index_of(&notice.batch))
            .collect();
        drop(control);
        let takes_part = gives_orders || self.is_busy();
        self.takes_part.send_if_modified(|before| {
            let is_changed = *before != takes_part;
            *before = takes_part;
            is_changed
        });
        self.partitions.set_needed(needed);
    }

    /// Open batches that this node runs, or that were given to it.
    fn own_batches(&self) -> Vec<BatchNotice> {
        let control = self.control.lock();
        let open: Vec<(BatchNotice, bool)> = control
            .state
            .index()
            .open()
            .map(|batch| (batch.notice.clone(), batch.owner.is_held_by(&self.node)))
            .collect();
        drop(control);
        let own = open
            .into_iter()
            .filter(|(notice, is_given)| *is_given || self.holds(&notice.batch));
        own.map(|(notice, _)| notice).collect()
    }

    /// The even share of a pool's places for each node that runs batches, this one among them.
    pub fn fair_slot_share(&self, pool: &PoolName) -> u32 {
        let control = self.control.lock();
        let open = control.state.index().open();
        let others = open.filter_map(|batch| batch.owner.holder());
        let owners: BTreeSet<&NodeId> = others.chain([&self.node]).collect();
        let owners = owners.len() as u32;
        let backends = self.backends.lock();
        let places: u32 = backends
            .list
            .ready_in(pool)
            .map(|(_, record)| record.slots)
            .sum();
        places.div_ceil(owners)
    }

    /// What this node's calls are to a cold back end.
    pub fn call_sender(&self) -> Sender<'_> {
        Sender::Call {
            machine: &self.node.machine,
            machines: self.fleet_size(),
        }
    }

    /// The nodes that run batches, as far as is known here.
    pub fn batch_owners(&self) -> Vec<NodeId> {
        let control = self.control.lock();
        let open = control.state.index().open();
        let owners: BTreeSet<&NodeId> = open.filter_map(|batch| batch.owner.holder()).collect();
        owners.into_iter().cloned().collect()
    }

    /// The region of this node, if it is known.
    pub fn own_region(&self) -> Option<RegionName> {
        let region = self.settings.regions.get(&self.settings.zone);
        region.map(|region| RegionName::from(region.as_str()))
    }

    /// Where a batch may run and be kept; anywhere if its route is not known.
    pub fn batch_residency(
        &self,
        host: &str,
        path: &str,
        tenant: Option<&TenantName>,
    ) -> Residency {
        let table = self.routes();
        let table = table.as_ref();
        table.map_or_else(Residency::anywhere, |table| {
            let route = table.batch_route(host, path);
            route.map_or_else(Residency::anywhere, |route| table.residency(route, tenant))
        })
    }

    /// Whether this node runs batches or gives orders.
    pub fn is_participating(&self) -> bool {
        *self.takes_part.borrow()
    }

    /// Waits until this node runs batches or gives orders.
    pub async fn wait_until_participating(&self) {
        let mut takes_part = self.takes_part.subscribe();
        // The sender lives as long as `self`.
        let _ = takes_part.wait_for(|takes_part| *takes_part).await;
    }

    /// Items that run on each back end, of the nodes that `counts` takes, as they tell.
    pub fn occupied(&self, counts: impl Fn(&NodeId) -> bool) -> BTreeMap<BackendId, u32> {
        let since = self.now().saturating_sub(OCCUPANCY_COUNTS_MS);
        self.occupancy.lock().state.running(since, counts)
    }

    /// Tokens that items are expected to hold on each back end when they end, of the nodes that `counts`
    /// takes, as they tell.
    pub fn expected_tokens(&self, counts: impl Fn(&NodeId) -> bool) -> BTreeMap<BackendId, u32> {
        let since = self.now().saturating_sub(OCCUPANCY_COUNTS_MS);
        let occupancy = self.occupancy.lock();
        let mut tokens: BTreeMap<BackendId, u32> = BTreeMap::new();
        for (backend, detail) in occupancy.state.details(since, counts) {
            let of_backend = tokens.entry(backend.clone()).or_default();
            *of_backend = of_backend.saturating_add(detail.expected_tokens);
        }
        tokens
    }

    /// Lasting gap between events of each back end, in milliseconds, as the nodes that `counts` takes tell.
    pub fn reported_event_gaps_ms(
        &self,
        counts: impl Fn(&NodeId) -> bool,
    ) -> BTreeMap<BackendId, f64> {
        let since = self.now().saturating_sub(TOLD_GAPS_COUNT_MS);
        let occupancy = self.occupancy.lock();
        let mut told: BTreeMap<BackendId, Vec<f64>> = BTreeMap::new();
        for (backend, detail) in occupancy.state.details(since, counts) {
            if let Some(gap_us) = detail.event_gap_us {
                let gaps_ms = told.entry(backend.clone()).or_default();
                gaps_ms.push(f64::from(gap_us) / 1_000.0);
            }
        }
        let medians = told
            .into_iter()
            .map(|(backend, gaps_ms)| Some((backend, median(gaps_ms)?)));
        medians.flatten().collect()
    }

    /// Whether this node runs batches, or ran one a moment ago.
    pub fn is_busy(&self) -> bool {
        self.busy_until.load(Ordering::Relaxed) > self.now()
    }

    /// This node runs batches at this moment.
    pub fn mark_busy(&self) {
        self.busy_until
            .fetch_max(self.now() + BUSY_MS, Ordering::Relaxed);
    }

    /// Whether the directory of back ends is too large for all nodes to read it themselves.
    pub fn directory_is_large(&self) -> bool {
        self.directory_is_large.load(Ordering::Relaxed)
    }

    /// The directory of back ends was found to be too large for all nodes to read it themselves.
    pub fn mark_directory_large(&self) {
        self.directory_is_large.store(true, Ordering::Relaxed);
    }

    /// Whether the log can give so many bytes to every node within [`SHARED_READ_TIME`].
    pub fn can_all_nodes_read(&self, bytes: u64) -> bool {
        self.can_all_nodes_read_within(bytes, SHARED_READ_TIME)
    }

    /// Whether some node may find that the log cannot: each has its own estimate of how many there are.
    pub fn may_exceed_read_capacity(&self, bytes: u64) -> bool {
        !self.can_all_nodes_read_within(bytes, SHARED_READ_TIME / 2)
    }

    fn can_all_nodes_read_within(&self, bytes: u64, time: Duration) -> bool {
        let fleet_bytes = bytes as f64 * self.fleet_size() as f64;
        let bytes_per_s = self.settings.log.read_bytes_per_s();
        fleet_bytes <= bytes_per_s * time.as_secs_f64()
    }

    /// Bytes that a node may ask for at once, so that all nodes can at the same time.
    pub fn shared_read_bytes(&self) -> u32 {
        let bytes_per_s = self.settings.log.read_bytes_per_s();
        let share = bytes_per_s * SHARED_ANSWER_TIME.as_secs_f64() / self.fleet_size() as f64;
        (share as u32).clamp(LEAST_READ_BYTES, MOST_READ_BYTES)
    }

    /// A directory was read to its end.
    pub fn record_directory_read(&self, kind: DirectoryKind) {
        if kind == DirectoryKind::Operators {
            let now = self.now();
            self.operators_read_at.fetch_max(now, Ordering::Relaxed);
        }
    }

    /// Time since the operators' directory was last read to its end.
    pub fn operators_age_ms(&self) -> Millis {
        let read_at = self.operators_read_at.load(Ordering::Relaxed);
        self.now().saturating_sub(read_at)
    }

    /// The same while nothing is wrong, at most: each read waits for a change, and the next one follows after a gap.
    pub fn longest_operators_age_ms(&self) -> Millis {
        let gap_ms = self.pace().read_interval_ms;
        self.settings.tuning.read_wait_ms + 2 * gap_ms + READ_SLACK_MS
    }

    /// The back ends have been listed.
    pub fn mark_backends_listed(&self) {
        self.backends_listed.send_replace(true);
    }

    /// The control stream was read to its end, for the first time or again.
    pub fn mark_control_read(&self) {
        self.control_read_at.get_or_init(Instant::now);
        self.control_read.send_replace(true);
    }

    /// Waits until the control stream was read to its end once. A node that has just started waits a moment
    /// only: where the log is away it passes calls on all the same.
    pub async fn wait_for_control_read(&self) {
        let mut control_read = self.control_read.subscribe();
        if *control_read.borrow_and_update() {
            return;
        }
        let is_read = control_read.wait_for(|is_read| *is_read);
        let _ = tokio::time::timeout(CONTROL_PATIENCE, is_read).await;
    }

    /// Whether the back ends have been listed.
    pub fn backends_are_listed(&self) -> bool {
        *self.backends_listed.borrow()
    }

    /// Waits until the back ends have been listed and routes are known.
    pub async fn wait_for_directories(&self) {
        // The sender lives as long as `self`.
        let _ = self
            .backends_listed
            .subscribe()
            .wait_for(|is_listed| *is_listed)
            .await;
        while self.wait_for_routes().await.is_none() {}
    }

    /// A number that differs from call to call.
    pub fn draw(&self) -> u64 {
        self.draws.fetch_add(1, Ordering::Relaxed)
    }

    /// The log or a directory answered.
    pub fn record_contact(&self) {
        self.last_contact.fetch_max(self.now(), Ordering::Relaxed);
    }

    /// Milliseconds since the log or a directory last answered.
    pub fn contact_age(&self) -> Millis {
        self.now()
            .saturating_sub(self.last_contact.load(Ordering::Relaxed))
    }

    /// The lease for orders, if this node holds it.
    pub fn lease_grant(&self) -> Option<LeaseGrant> {
        let grant = self.lease_grant.lock();
        grant.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// This node holds the lease for orders, or does not any more.
    pub fn set_lease_grant(&self, grant: Option<LeaseGrant>) {
        *self
            .lease_grant
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = grant;
    }

    /// Whether the node was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
