//! Follows the directories that operators and back ends write: a listing first, then changes.
//!
//! The directory of back ends grows with the fleet that reads it. Where all nodes cannot read it any more they follow
//! its digest, which one node keeps ([`digest_writer`](crate::digest_writer)).

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::backend::{BackendChange, BackendRecord};
use havenstage_rollout::ids::{BackendName, PoolName, ZoneName};
use log::{info, warn};

use crate::context::Context;
use crate::dependency::Dependency;
use crate::digest_reader::{self, DIRECTORY_FALLBACK_DURATION};
use crate::edge::{DirectoryEntry, DirectoryKind, ListingPage, LogError};
use crate::metrics;

/// Longest wait between two reads of a directory.
const LONGEST_DIRECTORY_GAP: Duration = Duration::from_millis(700);

/// Back ends of each pool that a node lists where it cannot list all: as many as take the calls of some hundred nodes.
const ENOUGH_BACKENDS: usize = 64;
/// Bytes of an entry of a back end, with its models; some have 250 and some 600.
pub(crate) const ENTRY_BYTES: u64 = 400;

/// Follows the operators' directory.
pub async fn follow_operators(context: Arc<Context>) {
    let mut follower = DirectoryFollower::new(context, DirectoryKind::Operators);
    loop {
        follower.step().await;
    }
}

/// Follows the directory of back ends itself while all nodes can, and else its digest.
pub async fn follow_backends(context: Arc<Context>) {
    let mut follower = DirectoryFollower::new(context.clone(), DirectoryKind::Backends);
    if digest_reader::restore_from_checkpoint(&context).await {
        context.mark_directory_large();
        digest_reader::follow(&context).await;
        follower.follow_for_a_while().await;
    }
    while !context.directory_is_large() {
        follower.step().await;
    }
    info!(event = "directory_too_large", machines = context.fleet_size(); "");
    loop {
        digest_reader::follow(&context).await;
        // Nobody keeps it, so each node lists what it needs.
        follower.next = None;
        follower.follow_for_a_while().await;
    }
}

/// A directory as far as it was read.
struct DirectoryFollower {
    context: Arc<Context>,
    kind: DirectoryKind,
    dependency: Dependency,
    /// Offset from which changes are read; `None` before a listing.
    next: Option<u64>,
    /// The last name that was listed, where the rest was left unlisted.
    unlisted_after: Option<String>,
    /// Whether nothing was read since the listing.
    is_just_listed: bool,
}

impl DirectoryFollower {
    fn new(context: Arc<Context>, kind: DirectoryKind) -> Self {
        Self {
            dependency: Dependency::new(format!("directory {kind:?}")),
            context,
            kind,
            next: None,
            unlisted_after: None,
            is_just_listed: false,
        }
    }

    /// Follows the directory for as long as a digest is likely to be missing.
    async fn follow_for_a_while(&mut self) {
        let until = Instant::now() + DIRECTORY_FALLBACK_DURATION;
        while Instant::now() < until {
            self.step().await;
        }
    }

    /// Lists the directory, or reads its changes once.
    async fn step(&mut self) {
        let Some(from) = self.next else {
            self.next = Some(self.read_listing().await);
            self.is_just_listed = true;
            return;
        };
        let context = self.context.clone();
        let wait = context.settings.read_wait();
        let most_bytes = context.shared_read_bytes();
        let directory = context.directory.as_ref();
        match directory.changes(self.kind, from, wait, most_bytes).await {
            Ok(page) => {
                self.dependency.record_success();
                context.record_contact();
                self.next = Some(page.next);
                self.is_just_listed = false;
                for entry in page.entries {
                    take_entry(&context, entry, None);
                }
                self.look_at_size(page.remaining);
                self.look_at_known_size();
                context.control_changed.notify_one();
                if page.remaining > 0 {
                    self.catch_up();
                    return;
                }
                context.record_directory_read(self.kind);
                tokio::time::sleep(directory_gap(&context)).await;
            }
            Err(error @ LogError::HistoryDropped { .. }) => {
                self.next = None;
                // A listing that did not help is not repeated at once.
                if self.is_just_listed {
                    self.dependency
                        .pause_after(error, self.context.read_interval())
                        .await;
                }
            }
            Err(error) => {
                self.dependency
                    .pause_after(error, self.context.read_interval())
                    .await
            }
        }
    }

    /// Reads on at once. Of the operators' directory only the newest entries count, so that it is listed anew: in a quick
    /// succession of configurations each one is as large as the last.
    fn catch_up(&mut self) {
        if self.kind == DirectoryKind::Operators {
            self.next = None;
        }
    }

    /// Reads a listing page by page until it is whole or brought as much as all nodes can read; a page that fails is
    /// asked for again. Answers the offset from which changes must be read: the end that the first page named, since
    /// pages are no snapshot.
    async fn read_listing(&mut self) -> u64 {
        let mut listed = Listed::default();
        let mut first_end = None;
        self.unlisted_after = None;
        loop {
            let page = self.read_page().await;
            let end = *first_end.get_or_insert(page.end);
            for entry in page.entries {
                take_entry(&self.context, entry, Some(&mut listed));
            }
            self.unlisted_after = page.more;
            let is_whole = self.unlisted_after.is_none();
            self.look_at_size(listed.backends.len() as u64);
            let is_enough = self.context.directory_is_large() && listed.is_enough(&self.context);
            if is_whole || is_enough {
                listed.take_up(&self.context, self.kind, is_whole);
                self.context.record_directory_read(self.kind);
                self.context.control_changed.notify_one();
                return end;
            }
        }
    }

    /// Notes if there are more entries than all nodes can read.
    fn look_at_size(&self, entries: u64) {
        let is_backends = self.kind == DirectoryKind::Backends;
        if is_backends && !self.context.can_all_nodes_read(entries * ENTRY_BYTES) {
            self.context.mark_directory_large();
        }
    }

    /// The same of what is known already: entries may have come one by one. Without this the nodes that started before
    /// the back ends read the directory, and those that started after them a digest that the former had no reason to
    /// keep: a trainer whose owner was one of the latter lost a third of its steps, among 300 machines.
    fn look_at_known_size(&self) {
        let known = self.context.backends.lock().list.len();
        self.look_at_size(known as u64);
    }

    async fn read_page(&mut self) -> ListingPage {
        loop {
            let after = self.unlisted_after.as_deref();
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

/// Wait between two reads of a directory: none among few machines, and never so long that a change
/// comes late.
fn directory_gap(context: &Context) -> Duration {
    Duration::from_millis(context.pace().read_interval_ms).min(LONGEST_DIRECTORY_GAP)
}

/// What a listing has brought so far that replaces what was known, once it is whole.
#[derive(Default)]
struct Listed {
    backends: BTreeMap<BackendName, BackendRecord>,
    evacuated: BTreeSet<ZoneName>,
}

impl Listed {
    /// Whether the rest of the listing may be left for later: each pool that is configured has enough back ends.
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
                .is_some_and(|count| *count >= ENOUGH_BACKENDS)
        })
    }

    fn take_up(self, context: &Context, kind: DirectoryKind, is_whole: bool) {
        match kind {
            DirectoryKind::Backends => {
                info!(event = "backends_listed", count = self.backends.len(), is_whole = is_whole; "");
                context.backends.replace(self.backends, context.now());
                context.backends.set_listed_whole(is_whole);
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
            if context.record_named_version(model.clone(), version)
                && tells_all(context, "version_named")
            {
                info!(event = "version_named", model = model.as_str(), version = version; "");
            }
        }
        DirectoryEntry::UnreadableBackend(name) => {
            warn!(event = "entry_unreadable", entry = name.as_str(); "");
            // Whoever wrote it, it names nobody to send work to.
            let change = BackendChange { name, record: None };
            take_entry(context, DirectoryEntry::Backend(change), listed);
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
    let tells = context.is_participating() || context.pace().read_interval_ms == 0;
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
