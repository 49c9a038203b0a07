//! State that all parts of a gateway node share.

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
    CheckpointStore, Dialect, Directory, LogStream, NodeClock, NodeDependencies, SharedLog,
    StreamPartition,
};
use crate::held_answers::HeldAnswers;
use crate::intake::Intake;
use crate::lease_grant::LeaseGrant;
use crate::metering::UsageCounter;
use crate::operations::OperationsApi;
use crate::peer_notices::PeerSocket;
use crate::peers::Peers;
use crate::received_answers::ReceivedAnswers;
use crate::reward_limiter::RewardLimiter;
use crate::settings::Settings;
use crate::stream_view::StreamView;
use crate::trial_claims::TrialClaims;

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

/// Time that a call waits for the first configuration: short, as the caller waits for its answer.
const ROUTES_WAIT_TIMEOUT: Duration = Duration::from_millis(35);

/// Time that a call waits for the first complete read of the control stream, so that a node that has just started
/// sends no request that other nodes have barred.
const CONTROL_WAIT_TIMEOUT: Duration = Duration::from_millis(100);

/// The only partition of the digest of back ends in use.
pub const BACKEND_DIGEST: StreamPartition = StreamPartition {
    stream: LogStream::BackendDigest,
    partition: 0,
};

/// Time for which a node that ran batches still counts as busy and reads all streams without delay.
const BUSY_WINDOW_MS: Millis = 5_000;
/// Streams that every node reads: the control stream and the two directories.
const ALWAYS_FOLLOWED_STREAMS: usize = 3;
/// Newest batches of a trainer that a batch owner reads: a training step may carry over items of earlier batches.
const FOLLOWED_BATCHES_PER_TRAINER: usize = 4;
/// Timeout of a read of the log in a small fleet, whose reads take milliseconds: if the log does not answer, the
/// next read may reach it.
const SMALL_FLEET_READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bytes that a node reads when it starts: checkpoints, routes and some seconds of records in a fleet of 985 nodes.
/// A read may queue behind those of all other nodes, and the log serves it even after the reader has given up. With
/// a timeout of one second, a restart of 985 nodes kept the log overloaded permanently, because every node
/// requested the same records again.
const STARTUP_READ_BYTES: f64 = 190_000.0;
/// Upper bound of the read timeout: the log refuses reads that would queue for longer.
const MAX_READ_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time within which all nodes together must be able to read the data that each of them reads when it starts.
const SHARED_READ_TIME: Duration = Duration::from_secs(2);
/// Time within which the log can answer one read of every node, if all nodes read at once. It is well below the read
/// timeout, as otherwise the log would send the same bytes again and again.
const SHARED_ANSWER_TIME: Duration = Duration::from_millis(250);
/// Lower bound of the bytes of one read: about ten entries.
const MIN_READ_BYTES: u32 = 8 * 1024;
/// Upper bound of the bytes of one read.
const MAX_READ_BYTES: u32 = 256 * 1024;
/// Time after the first complete read of the control stream in which the estimate of the fleet size is unreliable.
const FLEET_SIZE_SETTLING_TIME: Duration = Duration::from_millis(500);
/// Upper bound of the interval between two reads during that time, so that a node of a small fleet does not sleep
/// through its first seconds.
const MAX_INITIAL_READ_INTERVAL_MS: Millis = 100;
/// Time that a directory may take to answer beyond the requested wait while everything works.
const DIRECTORY_READ_SLACK_MS: Millis = 500;
/// Age up to which a node's report of the slots that it uses counts.
const MAX_OCCUPANCY_AGE_MS: Millis = 2_500;
/// Age up to which a node's report of event gaps counts: the speed of a back end changes more slowly than its slots.
const MAX_EVENT_GAP_AGE_MS: Millis = 30_000;
/// Concurrent reads of partitions that lag far behind: they share the node's network link with answers to callers.
const MAX_CATCH_UP_READS: usize = 4;

/// State and services shared by all tasks of a node.
pub struct Context {
    /// Settings that the node was started with.
    pub settings: Settings,
    /// Identifies this node and this run of its process.
    pub node: NodeId,
    /// Clock in milliseconds that also counts the time for which the machine was suspended.
    pub clock: NodeClock,
    /// The shared log.
    pub log: Arc<dyn SharedLog>,
    /// Stores and loads checkpoints of streams.
    pub checkpoints: Arc<dyn CheckpointStore>,
    /// The directories that operators and back ends write to.
    pub directory: Arc<dyn Directory>,
    /// Protocol that callers and back ends speak: headers, paths and bodies.
    pub dialect: Arc<dyn Dialect>,
    /// The platform's operations API, to which usage and pool sizes are sent; `None` where the platform has none.
    pub operations: Option<Arc<dyn OperationsApi>>,
    /// Wall clock that assigns usage to accounting windows.
    pub time_of_day: TimeOfDay,
    /// Counts requests of each tenant that back ends have begun for this node.
    pub usage: UsageCounter,
    lease_grant: Mutex<Option<LeaseGrant>>,
    /// Known back ends, with their health and load as this node sees them.
    pub backends: Arc<Backends>,
    /// Views of the partitions of the batch streams.
    pub partitions: BatchPartitions,
    /// View of the control stream: open batches, their owners, and the orders of all nodes.
    pub control: StreamView<ControlState>,
    /// Slots in use on each back end, as reported by the nodes that run batches.
    pub occupancy: StreamView<Occupancy>,
    /// Digest of the directory of back ends, used when the directory is too large for every node to read.
    pub digest: StreamView<DigestState>,
    /// Limits the concurrent reads of partitions that lag far behind.
    pub catch_up_permits: Semaphore,
    /// Wakes the task that sends orders to back ends.
    pub control_changed: Arc<Notify>,
    /// Wakes the task that runs items.
    pub work: Arc<Notify>,
    /// Answers that callers have not received completely yet, and their memory.
    pub answers: Arc<HeldAnswers>,
    /// The memory of answers of back ends that are being received.
    pub received_answers: Arc<ReceivedAnswers>,
    /// Bounds of what is taken from clients at a time.
    pub intake: Intake,
    /// Whether callers' connections can be accepted.
    pub accept_health: AcceptHealth,
    /// Connections to other nodes, and this node's own address for them.
    pub peers: Peers,
    pub(crate) crash_guard: CrashGuard,
    pub(crate) trial_claims: TrialClaims,
    pub(crate) watched_sends: WatchedSends,
    /// Socket that receives datagrams of other nodes; set once if the node listens for them.
    pub(crate) peer_socket: OnceLock<PeerSocket>,
    pub(crate) reward_limiter: RewardLimiter,
    /// Set once the node has been told to stop.
    pub stopping: AtomicBool,
    /// Instant by which the process exits; set when the node is told to stop.
    pub stop_deadline: OnceLock<Instant>,
    /// Set when the node must release the leases of its batches.
    pub releasing: AtomicBool,
    /// Set once all leases of batches have been released.
    pub released: AtomicBool,
    routes: RwLock<Option<Arc<RouteTable>>>,
    routes_changed: Notify,
    named: Mutex<BTreeMap<ModelName, Version>>,
    draw_counter: AtomicU64,
    last_contact_ms: AtomicU64,
    operators_read_at_ms: AtomicU64,
    directory_is_large: AtomicBool,
    busy_until_ms: AtomicU64,
    backends_listed: watch::Sender<bool>,
    control_read: watch::Sender<bool>,
    control_read_at: OnceLock<Instant>,
    participation: watch::Sender<bool>,
}

impl Context {
    /// Creates a context in which no routes, back ends or records are known yet.
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
        let received_answers = ReceivedAnswers::new(settings.memory_bytes());
        let intake = Intake::new(&settings);
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
            catch_up_permits: Semaphore::new(MAX_CATCH_UP_READS),
            last_contact_ms: AtomicU64::new(0),
            operators_read_at_ms: AtomicU64::new(0),
            directory_is_large: AtomicBool::new(false),
            busy_until_ms: AtomicU64::new(0),
            backends_listed: watch::Sender::new(false),
            control_read: watch::Sender::new(false),
            control_read_at: OnceLock::new(),
            participation: watch::Sender::new(false),
            answers,
            received_answers,
            intake,
            accept_health: AcceptHealth::default(),
            peers: Peers::default(),
            crash_guard: CrashGuard::default(),
            trial_claims: TrialClaims::default(),
            watched_sends: WatchedSends::default(),
            peer_socket: OnceLock::new(),
            reward_limiter: RewardLimiter::new(clock),
            stopping: AtomicBool::new(false),
            stop_deadline: OnceLock::new(),
            releasing: AtomicBool::new(false),
            released: AtomicBool::new(false),
            routes: RwLock::new(None),
            routes_changed: Notify::new(),
            named: Mutex::new(BTreeMap::new()),
            draw_counter: AtomicU64::new(rand::random()),
        })
    }

    /// Milliseconds on the steady clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The view of the partition that holds a batch.
    pub fn partition_of(&self, batch: &BatchId) -> &BatchView {
        self.partitions.of(batch)
    }

    /// Whether this node holds the lease of a batch, as far as it has read the batch's partition.
    pub fn holds(&self, batch: &BatchId) -> bool {
        let inner = self.partition_of(batch).lock();
        let state = inner.state.batch(batch);
        state.is_some_and(|state| state.lease.is_held_by(&self.node))
    }

    /// The routes in force; `None` until the first configuration has been read.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The routes in force; waits up to `ROUTES_WAIT_TIMEOUT` for the first configuration.
    pub async fn wait_for_routes(&self) -> Option<Arc<RouteTable>> {
        let known = self.routes_changed.notified();
        tokio::pin!(known);
        known.as_mut().enable();
        if let Some(table) = self.routes() {
            return Some(table);
        }
        let _ = tokio::time::timeout(ROUTES_WAIT_TIMEOUT, known).await;
        self.routes()
    }

    /// Puts a configuration in force unless the same or a newer one already is; returns whether it was put in force.
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
        self.routes_changed.notify_waiters();
        is_newer
    }

    /// Applies the versions of back ends that were observed in the control stream.
    pub fn apply_observed_versions(&self) {
        let observed = self.control.lock().state.take_observed();
        let mut backends = self.backends.lock();
        for seen in observed {
            backends.record_version(&seen.backend, &seen.model, seen.version);
        }
    }

    /// Records the version that a trainer requests for a model; returns whether it is newer than the known one.
    pub fn record_named_version(&self, model: ModelName, version: Version) -> bool {
        let mut named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        let known = named.entry(model).or_insert(0);
        let is_newer = *known < version;
        *known = (*known).max(version);
        drop(named);
        self.control_changed.notify_one();
        is_newer
    }

    /// The newest version that was requested for each model.
    pub fn named_versions(&self) -> BTreeMap<ModelName, Version> {
        self.named
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Whether this node holds the lease of any open batch.
    pub fn holds_batches(&self) -> bool {
        let open = self.open_batches();
        open.iter().any(|notice| self.holds(&notice.batch))
    }

    /// Notices of the batches that still have items to run.
    fn open_batches(&self) -> Vec<BatchNotice> {
        let control = self.control.lock();
        let open = control.state.index().open();
        open.map(|batch| batch.notice.clone()).collect()
    }

    /// Estimated number of machines in the fleet.
    pub fn fleet_size(&self) -> usize {
        let read_for = self.control_read_for();
        self.control.lock().state.fleet().estimate(read_for)
    }

    /// Number of machines for work that is due soon: while the estimate of the fleet size is unreliable, only the
    /// machines that are known.
    pub fn known_machines(&self) -> usize {
        if self.control_read_for() < FLEET_SIZE_SETTLING_TIME {
            return self.control.lock().state.machine_count();
        }
        self.fleet_size()
    }

    /// How often this node may read the log, given the number of machines that share it.
    pub fn pace(&self) -> Pace {
        let machines = self.fleet_size();
        let mut pace = pacing::pace(
            machines,
            ALWAYS_FOLLOWED_STREAMS,
            self.settings.log.reads_per_s,
        );
        if self.control_read_for() < FLEET_SIZE_SETTLING_TIME {
            pace.read_interval_ms = pace.read_interval_ms.min(MAX_INITIAL_READ_INTERVAL_MS);
        }
        pace
    }

    /// Usual time between two reads of a stream; zero in a small fleet.
    pub fn read_interval(&self) -> Duration {
        Duration::from_millis(self.pace().read_interval_ms)
    }

    /// Sets the timeout of log reads to the time that the reads of the whole fleet may take together.
    pub fn adapt_read_timeout(&self) {
        let start_bytes = STARTUP_READ_BYTES * self.fleet_size() as f64;
        let start = Duration::from_secs_f64(start_bytes / self.settings.log.read_bytes_per_s());
        let timeout = SMALL_FLEET_READ_TIMEOUT + start;
        self.log.set_read_timeout(timeout.min(MAX_READ_TIMEOUT));
    }

    /// Time since the control stream was first read to its end; zero before that.
    fn control_read_for(&self) -> Duration {
        let read_at = self.control_read_at.get();
        read_at.map_or(Duration::ZERO, Instant::elapsed)
    }

    /// Chooses the partitions of batches that this node reads: those of the batches that it runs or that are assigned
    /// to it, and those of earlier batches of the same trainers.
    pub fn choose_followed_partitions(&self) {
        let own = self.own_batches();
        let control = self.control.lock();
        let sends_orders = control.state.lease().is_held_by(&self.node);
        let needed: BTreeSet<usize> = own
            .iter()
            .flat_map(|notice| {
                control
                    .state
                    .index()
                    .newest_of_same_trainer(notice, FOLLOWED_BATCHES_PER_TRAINER)
            })
            .chain(own.iter())
            .map(|notice| self.partitions.index_of(&notice.batch))
            .collect();
        drop(control);
        let is_participating = sends_orders || self.is_busy();
        self.participation.send_if_modified(|before| {
            let is_changed = *before != is_participating;
            *before = is_participating;
            is_changed
        });
        self.partitions.set_needed(needed);
    }

    /// Open batches that this node runs, or that are assigned to it.
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

    /// Equal share of a pool's slots for each node that runs batches, counting this one; rounded up.
    pub fn fair_slot_share(&self, pool: &PoolName) -> u32 {
        let control = self.control.lock();
        let open = control.state.index().open();
        let others = open.filter_map(|batch| batch.owner.holder());
        let owners: BTreeSet<&NodeId> = others.chain([&self.node]).collect();
        let owners = owners.len() as u32;
        let backends = self.backends.lock();
        let slots: u32 = backends
            .list
            .ready_in(pool)
            .map(|(_, record)| record.slots)
            .sum();
        slots.div_ceil(owners)
    }

    /// The sender as which slow start counts this node's calls to a cold back end.
    pub fn call_sender(&self) -> Sender<'_> {
        Sender::Call {
            machine: &self.node.machine,
            machines: self.fleet_size(),
        }
    }

    /// The nodes that own open batches, as far as this node has read the control stream.
    pub fn batch_owners(&self) -> Vec<NodeId> {
        let control = self.control.lock();
        let open = control.state.index().open();
        let owners: BTreeSet<&NodeId> = open.filter_map(|batch| batch.owner.holder()).collect();
        owners.into_iter().cloned().collect()
    }

    /// The region of this node; `None` if the settings do not assign one to its zone.
    pub fn own_region(&self) -> Option<RegionName> {
        let region = self.settings.regions.get(&self.settings.zone);
        region.map(|region| RegionName::from(region.as_str()))
    }

    /// Regions in which a batch may run and be stored; anywhere if its route is not known.
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

    /// Whether this node runs batches or sends orders.
    pub fn is_participating(&self) -> bool {
        *self.participation.borrow()
    }

    /// Waits until this node runs batches or sends orders.
    pub async fn wait_until_participating(&self) {
        let mut participation = self.participation.subscribe();
        // The sender lives as long as `self`.
        let _ = participation
            .wait_for(|is_participating| *is_participating)
            .await;
    }

    /// Items that run on each back end, as recently reported by the nodes for which `counts` returns true.
    pub fn occupied(&self, counts: impl Fn(&NodeId) -> bool) -> BTreeMap<BackendId, u32> {
        let since = self.now().saturating_sub(MAX_OCCUPANCY_AGE_MS);
        self.occupancy.lock().state.running(since, counts)
    }

    /// Tokens that running items are expected to occupy on each back end when they end, as recently reported by the
    /// nodes for which `counts` returns true.
    pub fn expected_tokens(&self, counts: impl Fn(&NodeId) -> bool) -> BTreeMap<BackendId, u32> {
        let since = self.now().saturating_sub(MAX_OCCUPANCY_AGE_MS);
        let occupancy = self.occupancy.lock();
        let mut tokens: BTreeMap<BackendId, u32> = BTreeMap::new();
        for (backend, detail) in occupancy.state.details(since, counts) {
            let of_backend = tokens.entry(backend.clone()).or_default();
            *of_backend = of_backend.saturating_add(detail.expected_tokens);
        }
        tokens
    }

    /// Typical gap between two events of a stream for each back end, in milliseconds: the median of the recent reports
    /// of the nodes for which `counts` returns true.
    pub fn reported_event_gaps_ms(
        &self,
        counts: impl Fn(&NodeId) -> bool,
    ) -> BTreeMap<BackendId, f64> {
        let since = self.now().saturating_sub(MAX_EVENT_GAP_AGE_MS);
        let occupancy = self.occupancy.lock();
        let mut gaps_by_backend: BTreeMap<BackendId, Vec<f64>> = BTreeMap::new();
        for (backend, detail) in occupancy.state.details(since, counts) {
            if let Some(gap_us) = detail.event_gap_us {
                let gaps_ms = gaps_by_backend.entry(backend.clone()).or_default();
                gaps_ms.push(f64::from(gap_us) / 1_000.0);
            }
        }
        let medians = gaps_by_backend
            .into_iter()
            .map(|(backend, gaps_ms)| Some((backend, median(gaps_ms)?)));
        medians.flatten().collect()
    }

    /// Whether this node runs batches, or ran one within the last 5 s.
    pub fn is_busy(&self) -> bool {
        self.busy_until_ms.load(Ordering::Relaxed) > self.now()
    }

    /// Records that this node runs batches now.
    pub fn mark_busy(&self) {
        self.busy_until_ms
            .fetch_max(self.now() + BUSY_WINDOW_MS, Ordering::Relaxed);
    }

    /// Whether the directory of back ends is too large for every node to read it directly.
    pub fn directory_is_large(&self) -> bool {
        self.directory_is_large.load(Ordering::Relaxed)
    }

    /// Records that the directory of back ends is too large for every node to read it directly.
    pub fn mark_directory_large(&self) {
        self.directory_is_large.store(true, Ordering::Relaxed);
    }

    /// Whether the log can deliver this many bytes to every node within [`SHARED_READ_TIME`].
    pub fn can_all_nodes_read(&self, bytes: u64) -> bool {
        self.can_all_nodes_read_within(bytes, SHARED_READ_TIME)
    }

    /// Whether another node may conclude that the log cannot deliver this many bytes to every node. Each node has its
    /// own estimate of the fleet size, so this check uses half of the time.
    pub fn may_exceed_read_capacity(&self, bytes: u64) -> bool {
        !self.can_all_nodes_read_within(bytes, SHARED_READ_TIME / 2)
    }

    fn can_all_nodes_read_within(&self, bytes: u64, time: Duration) -> bool {
        let fleet_bytes = bytes as f64 * self.fleet_size() as f64;
        let bytes_per_s = self.settings.log.read_bytes_per_s();
        fleet_bytes <= bytes_per_s * time.as_secs_f64()
    }

    /// Bytes that one read may request, so that all nodes can read at the same time.
    pub fn shared_read_bytes(&self) -> u32 {
        let bytes_per_s = self.settings.log.read_bytes_per_s();
        let share = bytes_per_s * SHARED_ANSWER_TIME.as_secs_f64() / self.fleet_size() as f64;
        (share as u32).clamp(MIN_READ_BYTES, MAX_READ_BYTES)
    }

    /// Records that the operators' directory was read to its end.
    pub fn record_operators_read(&self) {
        let now = self.now();
        self.operators_read_at_ms.fetch_max(now, Ordering::Relaxed);
    }

    /// Time since the operators' directory was last read to its end.
    pub fn operators_age_ms(&self) -> Millis {
        let read_at = self.operators_read_at_ms.load(Ordering::Relaxed);
        self.now().saturating_sub(read_at)
    }

    /// Upper bound of [`operators_age_ms`](Self::operators_age_ms) while everything works: each read waits for a change,
    /// and the next one follows after the read interval.
    pub fn max_operators_age_ms(&self) -> Millis {
        let gap_ms = self.pace().read_interval_ms;
        self.settings.tuning.read_wait_ms + 2 * gap_ms + DIRECTORY_READ_SLACK_MS
    }

    /// Records that the back ends have been listed.
    pub fn mark_backends_listed(&self) {
        self.backends_listed.send_replace(true);
    }

    /// Records that the control stream was read to its end, for the first time or again.
    pub fn mark_control_read(&self) {
        self.control_read_at.get_or_init(Instant::now);
        self.control_read.send_replace(true);
    }

    /// Waits until the control stream has been read to its end once, but no longer than `CONTROL_WAIT_TIMEOUT`: a node
    /// forwards calls even when the log is unavailable.
    pub async fn wait_for_control_read(&self) {
        let mut control_read = self.control_read.subscribe();
        if *control_read.borrow_and_update() {
            return;
        }
        let is_read = control_read.wait_for(|is_read| *is_read);
        let _ = tokio::time::timeout(CONTROL_WAIT_TIMEOUT, is_read).await;
    }

    /// Whether the back ends have been listed.
    pub fn backends_are_listed(&self) -> bool {
        *self.backends_listed.borrow()
    }

    /// Waits until the back ends have been listed and the routes are known.
    pub async fn wait_for_directories(&self) {
        // The sender lives as long as `self`.
        let _ = self
            .backends_listed
            .subscribe()
            .wait_for(|is_listed| *is_listed)
            .await;
        while self.wait_for_routes().await.is_none() {}
    }

    /// A number that differs from call to call, used to break ties; it starts at a random value.
    pub fn draw(&self) -> u64 {
        self.draw_counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Records that the log or a directory answered now.
    pub fn record_contact(&self) {
        self.last_contact_ms
            .fetch_max(self.now(), Ordering::Relaxed);
    }

    /// Milliseconds since the log or a directory last answered.
    pub fn contact_age(&self) -> Millis {
        self.now()
            .saturating_sub(self.last_contact_ms.load(Ordering::Relaxed))
    }

    /// This node's grant of the order lease; `None` if it does not hold the lease.
    pub fn lease_grant(&self) -> Option<LeaseGrant> {
        let grant = self.lease_grant.lock();
        grant.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets or clears this node's grant of the order lease.
    pub fn set_lease_grant(&self, grant: Option<LeaseGrant>) {
        *self
            .lease_grant
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = grant;
    }

    /// Whether the node has been told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
