//! Follows the directories that operators and back ends write to: first a listing, then changes.
//!
//! The directory of back ends grows with the fleet that reads it. When it is too large for every node to read, the
//! nodes follow its digest instead, which one node maintains ([`digest_writer`](crate::digest_writer)).

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use havenstage_rollout::backend::{BackendChange, BackendRecord};
use havenstage_rollout::ids::{BackendName, PoolName, ZoneName};
use log::{info, warn};

use crate::backend_keeper::BackendKeeper;
use crate::context::Context;
use crate::dependency::Dependency;
use crate::digest_reader;
use crate::edge::{DirectoryEntry, DirectoryKind, ListingPage, LogError};
use crate::metrics;

/// Longest interval between two reads of a directory.
const MAX_DIRECTORY_READ_INTERVAL: Duration = Duration::from_millis(700);

/// Back ends of each pool that a node lists when it cannot list all: enough for the calls of some hundred nodes.
const SUFFICIENT_BACKENDS_PER_POOL: usize = 64;
/// Typical bytes of a back end's entry, with its models; entries range from 250 to 600 bytes.
pub(crate) const ENTRY_BYTES: u64 = 400;

/// Follows the operators' directory.
pub async fn follow_operators(context: Arc<Context>) {
    let mut follower = DirectoryFollower::new(context, DirectoryKind::Operators);
    loop {
        follower.step().await;
    }
}

/// Follows the directory of back ends while it is small enough for every node to read, and its digest otherwise.
pub async fn follow_backends(context: Arc<Context>) {
    let mut follower = DirectoryFollower::new(context.clone(), DirectoryKind::Backends);
    if digest_reader::restore_from_checkpoint(&context).await {
        context.mark_directory_large();
    }
    while !context.directory_is_large() {
        follower.step().await;
    }
    info!(event = "directory_too_large", machines = context.fleet_size(); "");
    let list_offset = follower.next;
    let keeper = BackendKeeper::new(context.clone(), follower, list_offset);
    tokio::join!(
        digest_reader::follow(&context),
        digest_reader::request_more_backends(&context),
        keeper.run(),
    );
}

/// Outcome of a read of the directory's changes.
pub(crate) enum ChangesRead {
    /// The changes before `next` were applied, and `remaining` more can be read.
    Applied { next: u64, remaining: u64 },
    /// The directory no longer has the changes.
    Dropped(LogError),
    /// The read failed, and the pause before a retry has passed.
    Failed,
}

/// Reads one directory and tracks how far it was read.
pub(crate) struct DirectoryFollower {
    context: Arc<Context>,
    kind: DirectoryKind,
    dependency: Dependency,
    /// Offset from which changes are read; `None` before a listing.
    next: Option<u64>,
    /// The last name that was listed, if the rest of the listing was skipped.
    last_listed: Option<String>,
    /// Whether no changes have been read since the listing.
    is_just_listed: bool,
}

impl DirectoryFollower {
    fn new(context: Arc<Context>, kind: DirectoryKind) -> Self {
        Self {
            dependency: Dependency::new(format!("directory {kind:?}")),
            context,
            kind,
            next: None,
            last_listed: None,
            is_just_listed: false,
        }
    }

    /// Lists the directory, or reads its changes once.
    async fn step(&mut self) {
        let Some(from) = self.next else {
            self.next = Some(self.read_listing().await);
            self.is_just_listed = true;
            return;
        };
        match self.read_changes(from).await {
            ChangesRead::Applied { next, remaining } => {
                self.next = Some(next);
                self.is_just_listed = false;
                self.check_directory_size(remaining);
                self.check_known_size();
                if remaining > 0 {
                    self.prepare_catch_up();
                    return;
                }
                tokio::time::sleep(directory_read_interval(&self.context)).await;
            }
            ChangesRead::Dropped(error) => {
                self.next = None;
                // A new listing did not help, so the next one waits.
                if self.is_just_listed {
                    self.dependency
                        .pause_after(error, self.context.read_interval())
                        .await;
                }
            }
            ChangesRead::Failed => {}
        }
    }

    /// Reads changes from an offset on, and applies them.
    pub(crate) async fn read_changes(&mut self, from: u64) -> ChangesRead {
        let context = self.context.clone();
        let wait = context.settings.read_wait();
        let max_bytes = context.shared_read_bytes();
        let directory = context.directory.as_ref();
        match directory.changes(self.kind, from, wait, max_bytes).await {
            Ok(page) => {
                self.dependency.record_success();
                context.record_contact();
                for entry in page.entries {
                    apply_entry(&context, entry, None);
                }
                context.control_changed.notify_one();
                if page.remaining == 0 {
                    self.record_read();
                }
                ChangesRead::Applied {
                    next: page.next,
                    remaining: page.remaining,
                }
            }
            Err(error @ LogError::HistoryDropped { .. }) => ChangesRead::Dropped(error),
            Err(error) => {
                self.dependency
                    .pause_after(error, context.read_interval())
                    .await;
                ChangesRead::Failed
            }
        }
    }

    /// Records that the directory was read to its end.
    fn record_read(&self) {
        let context = &self.context;
        match self.kind {
            DirectoryKind::Operators => context.record_operators_read(),
            DirectoryKind::Backends => context.backends.record_confirmation(context.now()),
        }
    }

    /// Prepares the next read, which follows at once. Only the newest entries of the operators' directory matter, so it
    /// is listed again: reading changes would fetch every configuration of a quick succession, each of them in full.
    fn prepare_catch_up(&mut self) {
        if self.kind == DirectoryKind::Operators {
            self.next = None;
        }
    }

    /// Reads a listing page by page until it is complete or, in a large directory, has enough back ends of each pool. A
    /// page that fails is requested again. Returns the offset from which changes must be read: the end that the first
    /// page gave, since the pages are not one snapshot.
    pub(crate) async fn read_listing(&mut self) -> u64 {
        let mut listed = Listing::default();
        let mut first_end = None;
        self.last_listed = None;
        loop {
            let page = self.read_page().await;
            let end = *first_end.get_or_insert(page.end);
            for entry in page.entries {
                apply_entry(&self.context, entry, Some(&mut listed));
            }
            self.last_listed = page.more;
            let is_complete = self.last_listed.is_none();
            self.check_directory_size(listed.backends.len() as u64);
            let is_enough = self.context.directory_is_large() && listed.is_enough(&self.context);
            if is_complete || is_enough {
                listed.apply(&self.context, self.kind, is_complete);
                self.record_read();
                self.context.control_changed.notify_one();
                return end;
            }
        }
    }

    /// Marks the directory of back ends as large if it has more entries than all nodes can read.
    fn check_directory_size(&self, entries: u64) {
        let is_backends = self.kind == DirectoryKind::Backends;
        if is_backends && !self.context.can_all_nodes_read(entries * ENTRY_BYTES) {
            self.context.mark_directory_large();
        }
    }

    /// Checks the number of back ends that are already known, since entries may have arrived one by one. Without this
    /// check, nodes that start before the back ends read the directory, while later nodes follow a digest that the
    /// earlier ones see no reason to maintain. Among 300 machines, a trainer whose batches were run by such a later node
    /// lost a third of its steps.
    fn check_known_size(&self) {
        let known = self.context.backends.lock().list.len();
        self.check_directory_size(known as u64);
    }

    async fn read_page(&mut self) -> ListingPage {
        loop {
            let after = self.last_listed.as_deref();
            match self.context.directory.list(self.kind, after).await {
                Ok(page) => {
                    self.dependency.record_success();
                    self.context.record_contact();
                    return page;
                }
                Err(error) => {
                    self.dependency
                        .pause_after(error, self.context.read_interval())
                        .await
                }
            }
        }
    }
}

/// Interval between two reads of a directory: zero in a small fleet, and bounded so that changes are seen in time.
pub(crate) fn directory_read_interval(context: &Context) -> Duration {
    Duration::from_millis(context.pace().read_interval_ms).min(MAX_DIRECTORY_READ_INTERVAL)
}

/// Entries that a listing has returned so far; they replace the known ones when the listing ends.
#[derive(Default)]
struct Listing {
    backends: BTreeMap<BackendName, BackendRecord>,
    evacuated: BTreeSet<ZoneName>,
}

impl Listing {
    /// Whether the rest of the listing can be skipped: each configured pool has enough back ends.
    fn is_enough(&self, context: &Context) -> bool {
        let Some(table) = context.routes() else {
            return !self.backends.is_empty();
        };
        let mut listed: HashMap<&PoolName, usize> = HashMap::new();
        let ready = self.backends.values().filter(|record| !record.draining);
        for record in ready {
            *listed.entry(&record.pool).or_default() += 1;
        }
        let mut pools = table.pool_names();
        pools.all(|pool| {
            listed
                .get(pool)
                .is_some_and(|count| *count >= SUFFICIENT_BACKENDS_PER_POOL)
        })
    }

    fn apply(self, context: &Context, kind: DirectoryKind, is_complete: bool) {
        match kind {
            DirectoryKind::Backends => {
                info!(event = "backends_listed", count = self.backends.len(), is_whole = is_complete; "");
                context.backends.replace(self.backends, context.now());
                context.backends.set_fully_listed(is_complete);
                context.mark_backends_listed();
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

/// Begins or ends the evacuation of a zone and logs the change.
fn set_evacuated(context: &Context, zone: &ZoneName, is_evacuated: bool) {
    let is_new = context
        .backends
        .set_evacuated(zone, is_evacuated, context.now());
    if is_new && logs_change(context, "zone_evacuated") {
        info!(event = "zone_evacuated", zone = zone.as_str(), is_evacuated = is_evacuated; "");
    }
}

/// Applies an entry. During a listing, back ends and evacuations are collected in `listed` instead.
fn apply_entry(context: &Context, entry: DirectoryEntry, listed: Option<&mut Listing>) {
    match entry {
        DirectoryEntry::Routing(config) => {
            let version = config.version;
            if context.set_routes(config) {
                info!(event = "routes_in_force", version = version; "");
            }
        }
        DirectoryEntry::NamedVersion { model, version } => {
            if context.record_named_version(model.clone(), version)
                && logs_change(context, "version_named")
            {
                info!(event = "version_named", model = model.as_str(), version = version; "");
            }
        }
        DirectoryEntry::UnreadableBackend(name) => {
            warn!(event = "entry_unreadable", entry = name.as_str(); "");
            // An unreadable entry has no address to send work to, so it counts as removed.
            let change = BackendChange { name, record: None };
            apply_entry(context, DirectoryEntry::Backend(change), listed);
        }
        DirectoryEntry::Evacuation { zone, is_requested } => match listed {
            Some(listed) if is_requested => {
                listed.evacuated.insert(zone);
            }
            Some(listed) => {
                listed.evacuated.remove(&zone);
            }
            None => set_evacuated(context, &zone, is_requested),
        },
        DirectoryEntry::Backend(change) => match (listed, change.record.clone()) {
            (Some(listed), Some(record)) => {
                listed.backends.insert(change.name, record);
            }
            (Some(listed), None) => {
                listed.backends.remove(&change.name);
            }
            (None, _) => {
                log_backend_leaving(context, &change, "directory");
                context.backends.apply(change, context.now());
            }
        },
        DirectoryEntry::Unreadable(name) => {
            warn!(event = "entry_unreadable", entry = name.as_str(); "");
        }
    }
}

/// Whether this node logs a change that all nodes learn. Nodes that run batches or send orders do, and all nodes in a
/// small fleet. Other nodes only count the change, so that the log volume of the fleet does not grow with the number
/// of nodes times changes.
fn logs_change(context: &Context, change: &'static str) -> bool {
    let is_logged = context.is_participating() || context.pace().read_interval_ms == 0;
    if !is_logged {
        metrics::directory_changed(change);
    }
    is_logged
}

/// Logs that a back end drains or was removed, and by which source this node learned of it.
pub(crate) fn log_backend_leaving(context: &Context, change: &BackendChange, source: &'static str) {
    let state = match &change.record {
        None => "removed",
        Some(record) if record.draining => "draining",
        Some(_) => return,
    };
    if !logs_change(context, "backend_leaves") {
        return;
    }
    info!(event = "backend_leaves", backend = change.name.as_str(), state = state, source = source; "");
}
