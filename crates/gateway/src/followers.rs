//! Tasks that follow the directories and the streams, so that the node's knowledge stays fresh.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use havenstage_rollout::Millis;
use havenstage_rollout::backend::{BackendChange, BackendRecord};
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::ids::{BackendName, ZoneName};
use log::{info, warn};
use tokio::task::JoinSet;

use crate::checkpoints;
use crate::context::Context;
use crate::crash_guard;
use crate::edge::{DirectoryEntry, DirectoryKind, LogError};
use crate::log_writes::append_control;
use crate::metrics;
use crate::stream_view::{StreamState, StreamView};

/// Pause after which a failed call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Doublings of the pause after refusals of a log that is asked too much.
const MOST_DOUBLINGS: u32 = 4;
/// Longest wait between two reads of a directory.
const LONGEST_DIRECTORY_GAP: Duration = Duration::from_millis(700);
/// Calls that must fail in a row before a dependency counts as lost.
const FAILURES_UNTIL_LOST: u32 = 2;

/// Kept longer than promised, since nodes see a batch at different times.
const RETENTION_SLACK_MS: Millis = 10_000;
/// Time over which each known machine spreads the announcements of all: twice what the users' store
/// takes for an append (4 ms), so that half of the partition's time is left for other records.
const ANNOUNCE_SPREAD_MS: u64 = 8;
/// Pause between two looks for batches that may be forgotten.
const FORGET_PAUSE: Duration = Duration::from_secs(5);

/// Tells once when a dependency is lost, and once when it is back.
struct Dependency {
    name: String,
    failures: u32,
}

impl Dependency {
    fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            failures: 0,
        }
    }

    fn works(&mut self) {
        if self.failures >= FAILURES_UNTIL_LOST {
            info!(event = "dependency_regained", dependency = self.name.as_str(),
                failures = self.failures; "");
        }
        self.failures = 0;
    }

    /// Notes a failure and waits before the next call; longer with each refusal of a log that is
    /// asked too much, and not all nodes alike.
    async fn pause_after(&mut self, error: LogError) {
        self.fails(error);
        let doublings = if error.is_throttled() {
            self.failures.min(MOST_DOUBLINGS)
        } else {
            0
        };
        let pause = RETRY_PAUSE * (1 << doublings);
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
    }

    fn fails(&mut self, error: LogError) {
        self.failures += 1;
        if self.failures == FAILURES_UNTIL_LOST {
            warn!(event = "dependency_lost", dependency = self.name.as_str(),
                reason = error.to_string().as_str(); "");
        }
    }
}

/// Follows a directory: a listing first, then changes; a listing again when changes are lost.
pub async fn follow_directory(context: Arc<Context>, kind: DirectoryKind) {
    let mut dependency = Dependency::new(format!("directory {kind:?}"));
    let wait = context.settings.read_wait();
    let mut next: Option<u64> = None;
    let mut is_just_listed = false;
    loop {
        let Some(from) = next else {
            next = Some(read_listing(&context, kind, &mut dependency).await);
            is_just_listed = true;
            continue;
        };
        match context.directory.changes(kind, from, wait).await {
            Ok(page) => {
                dependency.works();
                context.saw_contact();
                next = Some(page.next);
                is_just_listed = false;
                for entry in page.entries {
                    take_entry(&context, entry, None);
                }
                context.control_changed.notify_one();
                tokio::time::sleep(directory_gap(&context)).await;
            }
            Err(error @ LogError::HistoryDropped { .. }) => {
                next = None;
                // A listing that did not help is not repeated at once.
                if is_just_listed {
                    dependency.pause_after(error).await;
                }
            }
            Err(error) => dependency.pause_after(error).await,
        }
    }
}

/// Wait between two reads of a directory: none among few machines, and never so long that a change
/// comes late.
fn directory_gap(context: &Context) -> Duration {
    Duration::from_millis(context.pace().gap_ms).min(LONGEST_DIRECTORY_GAP)
}

/// Reads a listing page by page; a page that fails is asked for again. Answers the offset from which
/// changes must be read: the end that the first page named, since pages are no snapshot.
async fn read_listing(context: &Context, kind: DirectoryKind, dependency: &mut Dependency) -> u64 {
    let mut listed = Listed::default();
    let mut first_end = None;
    let mut after: Option<String> = None;
    loop {
        match context.directory.list(kind, after.as_deref()).await {
            Ok(page) => {
                dependency.works();
                context.saw_contact();
                let end = *first_end.get_or_insert(page.end);
                for entry in page.entries {
                    take_entry(context, entry, Some(&mut listed));
                }
                after = page.more;
                if after.is_none() {
                    listed.take_up(context, kind);
                    context.control_changed.notify_one();
                    return end;
                }
            }
            Err(error) => dependency.pause_after(error).await,
        }
    }
}

/// What a listing has brought so far that replaces what was known, once it is whole.
#[derive(Default)]
struct Listed {
    backends: BTreeMap<BackendName, BackendRecord>,
    evacuated: BTreeSet<ZoneName>,
}

impl Listed {
    fn take_up(self, context: &Context, kind: DirectoryKind) {
        match kind {
            DirectoryKind::Backends => {
                info!(event = "backends_listed", count = self.backends.len(); "");
                context.backends.replace(self.backends, context.now());
                context.note_backends_listed();
            }
            DirectoryKind::Operators => {
                let known = context.backends.lock().list.evacuated().clone();
                for zone in known.difference(&self.evacuated) {
                    set_evacuated(context, zone, false);
                }
                for zone in &self.evacuated {
                    set_evacuated(context, zone, true);
                }
            }
        }
    }
}

/// Begins or ends the evacuation of a zone, and tells it.
fn set_evacuated(context: &Context, zone: &ZoneName, is_evacuated: bool) {
    let is_new = context
        .backends
        .set_evacuated(zone, is_evacuated, context.now());
    if is_new && tells_all(context, "zone_evacuated") {
        info!(event = "zone_evacuated", zone = zone.as_str(), is_evacuated = is_evacuated; "");
    }
}

/// Takes an entry; what replaces a whole list is gathered while there is a listing.
fn take_entry(context: &Context, entry: DirectoryEntry, listed: Option<&mut Listed>) {
    match entry {
        DirectoryEntry::Routing(config) => {
            let version = config.version;
            if context.set_routes(config) {
                info!(event = "routes_in_force", version = version; "");
            }
        }
        DirectoryEntry::NamedVersion { model, version } => {
            if context.name_version(model.clone(), version) && tells_all(context, "version_named") {
                info!(event = "version_named", model = model.as_str(), version = version; "");
            }
        }
        DirectoryEntry::UnreadableBackend(name) => {
            warn!(event = "entry_unreadable", entry = name.as_str(); "");
            // Whoever wrote it, it names nobody to send work to.
            let change = BackendChange { name, record: None };
            take_entry(context, DirectoryEntry::Backend(change), listed);
        }
        DirectoryEntry::Evacuation { zone, is_asked } => match listed {
            Some(listed) if is_asked => {
                listed.evacuated.insert(zone);
            }
            Some(listed) => {
                listed.evacuated.remove(&zone);
            }
            None => set_evacuated(context, &zone, is_asked),
        },
        DirectoryEntry::Backend(change) => match (listed, change.record.clone()) {
            (Some(listed), Some(record)) => {
                listed.backends.insert(change.name, record);
            }
            (Some(listed), None) => {
                listed.backends.remove(&change.name);
            }
            (None, _) => {
                report_backend(context, &change);
                context.backends.apply(change, context.now());
            }
        },
        DirectoryEntry::Unreadable(name) => {
            warn!(event = "entry_unreadable", entry = name.as_str(); "");
        }
    }
}

/// Whether a change that all nodes learn is told in a line of its own: by the nodes that run batches or
/// give orders, and by all where they are few. Others count it, so that the fleet's lines don't grow
/// with nodes times changes.
fn tells_all(context: &Context, change: &'static str) -> bool {
    let tells = context.takes_part() || context.pace().gap_ms == 0;
    if !tells {
        metrics::directory_changed(change);
    }
    tells
}

fn report_backend(context: &Context, change: &BackendChange) {
    let state = match &change.record {
        None => "removed",
        Some(record) if record.draining => "draining",
        Some(_) => return,
    };
    if !tells_all(context, "backend_leaves") {
        return;
    }
    info!(event = "backend_leaves", backend = change.name.as_str(), state = state; "");
}

/// Starts a task for each partition of batches that is to be followed, and ends with the process.
pub async fn follow_batches(context: Arc<Context>) {
    let Some(mut requests) = context.partitions.take_follow_requests() else {
        return;
    };
    // Calls need the directories only; where all nodes start at once, batches come after them.
    context.directories_known().await;
    let mut followers = JoinSet::new();
    loop {
        tokio::select! {
            Some(index) = requests.recv() => {
                followers.spawn(follow_partition(context.clone(), index));
            }
            Some(_) = followers.join_next() => {}
        }
    }
}

/// Follows a partition of batches as long as this node's work needs it or somebody asks about it.
async fn follow_partition(context: Arc<Context>, index: usize) {
    let view = context.partitions.at(index);
    let mut dependency = Dependency::new(view.id.to_string());
    while !view.end_following(context.now()) {
        catch_up(&context, view, &mut dependency).await;
        read_once(&context, view, &mut dependency, 0).await;
    }
}

/// Forgets what is past its retention, now and then.
pub async fn forget_old_batches(context: Arc<Context>) {
    let retention = (context.settings.bounds.retention_s * 1_000.0) as u64 + RETENTION_SLACK_MS;
    loop {
        tokio::time::sleep(FORGET_PAUSE).await;
        let Some(before) = context.now().checked_sub(retention) else {
            continue;
        };
        context.partitions.forget_before(before, context.now());
        context.control.lock().state.forget_batches_before(before);
        crash_guard::forget_old(&context);
        context.occupancy.lock().state.forget_before(before);
    }
}

/// Follows the places that other nodes take, while this node runs batches or gives orders.
pub async fn follow_occupancy(context: Arc<Context>) {
    let mut dependency = Dependency::new(context.occupancy.id.to_string());
    loop {
        context.wait_until_it_takes_part().await;
        read_once(&context, &context.occupancy, &mut dependency, 0).await;
    }
}

/// Reads what lies far behind, a few partitions at a time.
async fn catch_up<S: StreamState>(
    context: &Context,
    view: &StreamView<S>,
    dependency: &mut Dependency,
) {
    while view.is_behind(context.now()) {
        // Never closed.
        let Ok(turn) = context.catch_up.acquire().await else {
            return;
        };
        let log = context.log.as_ref();
        let confirmed = view.confirm(log, context.clock, Duration::ZERO).await;
        drop(turn);
        match confirmed {
            Ok(()) => {
                dependency.works();
                context.saw_contact();
            }
            Err(error) => {
                view.read_failed();
                dependency.pause_after(error).await;
            }
        }
    }
}

/// Says in the log that a node started here, so that all know how many machines read. Where many
/// start at once, they take turns: the partition takes its appends one after another, and signs of
/// life wait behind them.
async fn announce(context: &Context) {
    let machines = context.control.lock().state.machine_count() as u64;
    let spread = Duration::from_millis(machines * ANNOUNCE_SPREAD_MS);
    tokio::time::sleep(spread.mul_f64(rand::random())).await;
    let record = ControlRecord::Joined {
        machine: context.node.machine.clone(),
    };
    while let Err(error) = append_control(context, &record).await {
        warn!(event = "start_not_announced", reason = error.to_string().as_str(); "");
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Follows the control stream.
pub async fn follow_control(context: Arc<Context>) {
    let mut dependency = Dependency::new(context.control.id.to_string());
    checkpoints::restore_control(&context).await;
    catch_up(&context, &context.control, &mut dependency).await;
    context.note_control_read();
    let announcing = context.clone();
    tokio::spawn(async move { announce(&announcing).await });
    context.note_observed_versions();
    loop {
        let gap_ms = if context.is_busy() {
            0
        } else {
            context.pace().gap_ms
        };
        if read_once(&context, &context.control, &mut dependency, gap_ms).await
            == ReadOutcome::Dropped
        {
            checkpoints::restore_control(&context).await;
        }
        context.note_observed_versions();
        crash_guard::tell_newly_barred(&context);
        context.work.notify_one();
    }
}

/// What became of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadOutcome {
    /// It was answered.
    Answered,
    /// Records before those that are kept were asked for; they are skipped.
    Dropped,
    /// It failed, and a while has passed since.
    Failed,
}

/// Reads a stream once, after a gap since the read before.
async fn read_once<S: StreamState>(
    context: &Context,
    view: &StreamView<S>,
    dependency: &mut Dependency,
    gap_ms: Millis,
) -> ReadOutcome {
    view.wait_between_reads(Duration::from_millis(gap_ms), context.now())
        .await;
    let wait = context
        .settings
        .read_wait()
        .max(Duration::from_millis(gap_ms * 2));
    view.lock().usual_gap_ms = gap_ms + wait.as_millis() as u64;
    let asked = context.now();
    let from = view.lock().next;
    match context.log.read(view.id, from, wait).await {
        Ok(page) => {
            dependency.works();
            context.saw_contact();
            let outcome = view.take_page(page, asked, context.now());
            if outcome.unreadable > 0 {
                warn!(event = "records_unreadable", dependency = dependency.name.as_str(),
                    count = outcome.unreadable; "");
            }
            ReadOutcome::Answered
        }
        // One that leads no further is a failure: without a pause the same read would follow at once.
        Err(LogError::HistoryDropped { first }) if first > from => {
            view.skip_to(first, context.now());
            ReadOutcome::Dropped
        }
        Err(error) => {
            view.read_failed();
            dependency.pause_after(error).await;
            ReadOutcome::Failed
        }
    }
}
