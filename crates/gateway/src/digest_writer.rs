//! Keeps the digest of the directory of back ends, while this node holds the lease for orders and the directory is too
//! large for all nodes to read it themselves.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::Millis;
use havenstage_rollout::backend::{BackendChange, BackendList};
use havenstage_rollout::backend_digest::{DigestRecord, compute_changes};
use havenstage_rollout::ids::PoolName;
use havenstage_rollout::lease::Term;
use havenstage_rollout::stored::Stored;
use log::{info, warn};

use crate::context::{BACKEND_DIGEST, Context};
use crate::dependency::Dependency;
use crate::directories::ENTRY_BYTES;
use crate::edge::{DirectoryEntry, DirectoryKind, LogError};
use crate::log_writes::append;

/// Name under which the checkpoint of the digest is kept.
pub(crate) const CHECKPOINT: &str = "backends";
/// Pause between two looks whether the digest is to be kept by this node.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Time without a change after which it is said that the digest is kept: a fraction of the time after which readers
/// take it for abandoned.
const SAY_KEPT_AFTER: Duration = Duration::from_millis(1_000);
/// Longest wait for a change of the directory.
const DIRECTORY_WAIT: Duration = Duration::from_millis(500);
/// Bytes of changes that one call asks for: one node alone reads the whole directory.
const READ_BYTES: u32 = 256 * 1024;
/// Pause between two checkpoints.
const CHECKPOINT_PAUSE: Duration = Duration::from_secs(5);
/// Back ends of each pool at first: as many as take the calls of some hundred nodes.
const FIRST_WANTED: usize = 64;
/// Places in the digest for each item of the newest batches: half of a pool may be loading weights.
const PLACES_PER_ITEM: f64 = 2.0;
/// Pause between two doublings of a pool that is wanted larger: by then the last one is known to all.
const DOUBLING_PAUSE: Duration = Duration::from_secs(2);

/// Keeps the digest whenever it is this node's turn, until the process ends.
pub async fn write_digest(context: Arc<Context>) {
    loop {
        tokio::time::sleep(LOOK_PAUSE).await;
        let Some(term) = term_to_write(&context) else {
            continue;
        };
        info!(event = "digest_kept", term = term; "");
        let mut writer = DigestWriter::new(&context, term);
        if let Err(error) = writer.keep().await {
            warn!(event = "digest_interrupted", term = term, reason = error.to_string().as_str(); "");
        }
    }
}

/// The term under which this node keeps the digest now, if it does.
fn term_to_write(context: &Context) -> Option<Term> {
    let grant = context.lease_grant()?;
    let is_relied_on = grant.remaining_validity(context.now()).is_some();
    (is_relied_on && is_wanted(context)).then_some(grant.term)
}

/// Whether some node may follow the digest.
fn is_wanted(context: &Context) -> bool {
    let known = context.backends.lock().list.len() as u64;
    context.directory_is_large() || context.may_exceed_read_capacity(known * ENTRY_BYTES)
}

struct DigestWriter<'a> {
    context: &'a Context,
    term: Term,
    directory: BackendList,
    dependency: Dependency,
    wanted: Wanted,
    said_at: Instant,
    saved_at: Option<Instant>,
    has_unsaved: bool,
}

impl<'a> DigestWriter<'a> {
    fn new(context: &'a Context, term: Term) -> Self {
        Self {
            context,
            term,
            directory: BackendList::default(),
            dependency: Dependency::new("directory of all back ends"),
            wanted: Wanted::default(),
            said_at: Instant::now(),
            saved_at: None,
            has_unsaved: true,
        }
    }

    fn is_its_turn(&self) -> bool {
        term_to_write(self.context) == Some(self.term)
    }

    /// Keeps the digest until another node does.
    async fn keep(&mut self) -> Result<(), LogError> {
        // Whatever an earlier holder still writes does not count from here on, and what it wrote is known.
        self.write(DigestRecord::Kept { term: self.term }).await?;
        let Some(mut next) = self.list().await else {
            return Ok(());
        };
        info!(event = "directory_listed", count = self.directory.len(), term = self.term; "");
        while self.is_its_turn() {
            self.write_changes().await?;
            self.save().await;
            let directory = self.context.directory.as_ref();
            let kind = DirectoryKind::Backends;
            let read = directory.changes(kind, next, DIRECTORY_WAIT, READ_BYTES);
            match read.await {
                Ok(page) => {
                    self.dependency.record_success();
                    next = page.next;
                    self.take(page.entries);
                }
                Err(LogError::HistoryDropped { .. }) => match self.list().await {
                    Some(end) => next = end,
                    None => return Ok(()),
                },
                Err(error) => {
                    self.dependency
                        .pause_after(error, self.context.read_interval())
                        .await
                }
            }
        }
        Ok(())
    }

    /// Lists the whole directory; answers where its changes begin, or nothing once it is another node's turn.
    async fn list(&mut self) -> Option<u64> {
        let mut directory = BackendList::default();
        let mut first_end = None;
        let mut after: Option<String> = None;
        while self.is_its_turn() {
            let kind = DirectoryKind::Backends;
            match self.context.directory.list(kind, after.as_deref()).await {
                Ok(page) => {
                    self.dependency.record_success();
                    let end = *first_end.get_or_insert(page.end);
                    apply_entries(&mut directory, page.entries);
                    after = page.more;
                    if after.is_none() {
                        self.directory = directory;
                        return Some(end);
                    }
                }
                Err(error) => {
                    self.dependency
                        .pause_after(error, self.context.read_interval())
                        .await
                }
            }
        }
        None
    }

    fn take(&mut self, entries: Vec<DirectoryEntry>) {
        apply_entries(&mut self.directory, entries);
    }

    async fn write_changes(&mut self) -> Result<(), LogError> {
        let changes = {
            let view = self.context.digest.lock();
            self.wanted
                .follow(self.context, &view.state.wanted().clone());
            compute_changes(&view.state, &self.directory, |pool| self.wanted.of(pool))
        };
        if !changes.is_empty() {
            self.has_unsaved = true;
            let term = self.term;
            return self.write(DigestRecord::Changed { term, changes }).await;
        }
        if self.said_at.elapsed() >= SAY_KEPT_AFTER {
            return self.write(DigestRecord::Kept { term: self.term }).await;
        }
        Ok(())
    }

    /// Appends a record and reads the digest to its end.
    async fn write(&mut self, record: DigestRecord) -> Result<(), LogError> {
        self.said_at = Instant::now();
        append(self.context, BACKEND_DIGEST, &record).await?;
        let (log, clock) = (self.context.log.as_ref(), self.context.clock);
        self.context
            .digest
            .confirm(log, clock, Duration::ZERO)
            .await
    }

    /// Saves a checkpoint now and then, so that a node that starts reads it and a few seconds of records.
    async fn save(&mut self) {
        let is_due = self
            .saved_at
            .is_none_or(|at| at.elapsed() >= CHECKPOINT_PAUSE);
        if !is_due || !self.has_unsaved {
            return;
        }
        self.saved_at = Some(Instant::now());
        let checkpoint = {
            let view = self.context.digest.lock();
            view.is_between_values()
                .then(|| view.state.checkpoint(view.next))
        };
        let Some(checkpoint) = checkpoint else {
            return;
        };
        let encoded = checkpoint.encode();
        let bytes = encoded.len();
        let saved = self
            .context
            .checkpoints
            .save(CHECKPOINT, encoded.into())
            .await;
        self.has_unsaved = saved.is_err();
        let outcome = saved.map_or_else(|error| error.to_string(), |()| "written".to_owned());
        info!(event = "digest_checkpoint_written", next = checkpoint.next, bytes = bytes,
            entries = checkpoint.entries.len(), outcome = outcome.as_str(); "");
    }
}

fn apply_entries(directory: &mut BackendList, entries: Vec<DirectoryEntry>) {
    for entry in entries {
        match entry {
            DirectoryEntry::Backend(change) => {
                directory.apply(change);
            }
            DirectoryEntry::UnreadableBackend(name) => {
                warn!(event = "entry_unreadable", entry = name.as_str(); "");
                directory.apply(BackendChange { name, record: None });
            }
            DirectoryEntry::Routing(_)
            | DirectoryEntry::NamedVersion { .. }
            | DirectoryEntry::Evacuation { .. }
            | DirectoryEntry::Unreadable(_) => {}
        }
    }
}

/// How many back ends of each pool the digest is to have.
#[derive(Default)]
struct Wanted {
    /// For the items of the newest batches.
    for_work: BTreeMap<PoolName, usize>,
    /// As nodes asked for more.
    pools: BTreeMap<PoolName, AskedFor>,
}

/// What nodes asked of a pool.
struct AskedFor {
    size: usize,
    /// How often more was asked for when the size was last set.
    asked: u64,
    set_at: Instant,
}

impl Wanted {
    fn of(&self, pool: &PoolName) -> usize {
        let for_work = self.for_work.get(pool).copied().unwrap_or(0);
        let asked = self
            .pools
            .get(pool)
            .map_or(FIRST_WANTED, |asked| asked.size);
        asked.max(for_work)
    }

    fn follow(&mut self, context: &Context, wanted: &BTreeMap<PoolName, u64>) {
        for (pool, times) in wanted {
            let size = self.of(pool);
            let asked = self.pools.entry(pool.clone()).or_insert_with(|| AskedFor {
                size: FIRST_WANTED,
                asked: 0,
                set_at: Instant::now() - DOUBLING_PAUSE,
            });
            if *times > asked.asked && asked.set_at.elapsed() >= DOUBLING_PAUSE {
                info!(event = "digest_grows", pool = pool.as_str(), from = size, to = size * 2; "");
                *asked = AskedFor {
                    size: size * 2,
                    asked: *times,
                    set_at: Instant::now(),
                };
            }
        }
        self.follow_work(context);
    }

    fn follow_work(&mut self, context: &Context) {
        let Some(table) = context.routes() else {
            return;
        };
        let control = context.control.lock();
        let backends = context.backends.lock();
        for pool in table.pools_with_models() {
            let newest = pool
                .models
                .iter()
                .filter_map(|model| control.state.index().newest_of_model(model));
            let items: u64 = newest.map(|batch| u64::from(batch.items)).sum();
            let slots = backends.list.ready_in(&pool.name).map(|(_, r)| r.slots);
            let slots = slots.max().unwrap_or(1).max(1);
            let size = (items as f64 * PLACES_PER_ITEM / f64::from(slots)).ceil() as usize;
            let known = self.for_work.entry(pool.name.clone()).or_default();
            *known = (*known).max(size);
        }
    }
}

/// Time since a holder's record was last read, in milliseconds; `None` if there was none.
pub(crate) fn kept_age_ms(context: &Context) -> Option<Millis> {
    let kept_at = context.digest.lock().state.last_holder_record_at()?;
    Some(context.now().saturating_sub(kept_at))
}
