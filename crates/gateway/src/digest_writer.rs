//! Writes the digest of the back-end directory, while this node holds the order lease and the directory is too large for
//! all nodes to read it themselves.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::backend::{BackendChange, BackendList};
use havenstage_rollout::backend_digest::{DigestRecord, DigestState, compute_changes};
use havenstage_rollout::ids::PoolName;
use havenstage_rollout::lease::Term;
use havenstage_rollout::stored::Stored;
use log::{info, warn};

use crate::context::{BACKEND_DIGEST, Context};
use crate::dependency::Dependency;
use crate::directories::ENTRY_BYTES;
use crate::edge::{DirectoryEntry, DirectoryKind, LogError};
use crate::log_writes::append_all;

/// Name of the digest's checkpoint in the checkpoint store.
pub(crate) const CHECKPOINT: &str = "backends";
/// Pause between two checks whether this node is to write the digest.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a change after which the digest is confirmed again, as a share of `bounds.drain_in_force_ms`: less than
/// half of the age up to which readers take it for up to date.
const CONFIRMATION_SHARE: f64 = 0.2;
/// Maximum wait for a change of the directory.
const DIRECTORY_WAIT: Duration = Duration::from_millis(500);
/// Bytes of changes that one call asks for; it may be large, since only one node reads the whole directory.
const READ_BYTES: u32 = 256 * 1024;
/// Pause between two checkpoints while the digest changes.
const CHECKPOINT_PAUSE: Duration = Duration::from_secs(5);
/// Age of a checkpoint after which it is saved again though nothing has changed. A node that missed records which the log
/// has dropped needs a checkpoint from which on all records are retained.
const MAX_CHECKPOINT_AGE: Duration = Duration::from_secs(10);
/// Initial number of back ends of each pool in the digest: enough for the calls of some hundred nodes.
const INITIAL_POOL_SIZE: usize = 64;
/// Slots in the digest for each item of the newest batches, since half of a pool may be loading weights.
const SLOTS_PER_ITEM: f64 = 2.0;
/// Pause between two doublings of a pool's size in the digest: by then all nodes know of the previous one.
const DOUBLING_PAUSE: Duration = Duration::from_secs(2);

/// Writes the digest whenever that is this node's task; runs until the process ends.
pub async fn write_digest(context: Arc<Context>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let Some(term) = term_to_write(&context) else {
            continue;
        };
        info!(event = "digest_kept", term = term; "");
        let mut writer = DigestWriter::new(&context, term);
        match writer.run().await {
            Ok(()) => info!(event = "digest_not_kept", term = term; ""),
            Err(error) => {
                warn!(event = "digest_interrupted", term = term, reason = error.to_string().as_str(); "");
            }
        }
    }
}

/// The lease term under which this node is to write the digest now, if it is.
fn term_to_write(context: &Context) -> Option<Term> {
    let grant = context.lease_grant()?;
    let is_valid = grant.remaining_validity(context.now()).is_some();
    (is_valid && is_needed(context)).then_some(grant.term)
}

/// Whether the directory is so large that some node may follow the digest.
fn is_needed(context: &Context) -> bool {
    let known = context.backends.lock().list.len() as u64;
    context.directory_is_large() || context.may_exceed_read_capacity(known * ENTRY_BYTES)
}

struct DigestWriter<'a> {
    context: &'a Context,
    term: Term,
    directory: BackendList,
    directory_reads: Dependency,
    digest_writes: Dependency,
    pool_sizes: PoolSizes,
    confirmed_at: Option<Instant>,
    saved_at: Option<Instant>,
    has_unsaved: bool,
}

impl<'a> DigestWriter<'a> {
    fn new(context: &'a Context, term: Term) -> Self {
        Self {
            context,
            term,
            directory: BackendList::default(),
            directory_reads: Dependency::new("directory of all back ends"),
            digest_writes: Dependency::new("writes of the digest of back ends"),
            pool_sizes: PoolSizes::default(),
            confirmed_at: None,
            saved_at: None,
            has_unsaved: true,
        }
    }

    /// Whether this node still holds the lease under this term, even if it is not valid at the moment.
    fn holds_term(&self) -> bool {
        let grant = self.context.lease_grant();
        grant.is_some_and(|grant| grant.term == self.term) && is_needed(self.context)
    }

    /// Reads the directory and writes its changes to the digest until this node's term ends.
    async fn run(&mut self) -> Result<(), LogError> {
        let term = self.term;
        // From these records on, readers ignore what earlier lease holders still write, and this node has read all that
        // they wrote before.
        self.write(&[DigestRecord::Began { term }, DigestRecord::Kept { term }])
            .await?;
        let mut next = None;
        while self.holds_term() {
            // Only a directory that was read is published: readers take the digest for up to date after each record.
            if let Some(read_to) = self.read_directory(next).await {
                next = Some(read_to);
                self.publish_if_valid(read_to).await;
            }
        }
        Ok(())
    }

    /// Publishes what was read, unless the lease is not valid at the moment. The directory is kept, as listing it again
    /// would take longer than most failures last.
    async fn publish_if_valid(&mut self, directory_offset: u64) {
        if term_to_write(self.context) != Some(self.term) {
            return;
        }
        match self.publish(directory_offset).await {
            Ok(()) => {
                self.digest_writes.record_success();
                self.save().await;
            }
            Err(error) => {
                self.digest_writes
                    .pause_after(error, self.context.read_interval())
                    .await;
            }
        }
    }

    /// Lists the directory, or reads its changes from `from` on. Returns the offset up to which it is read now, or `None` if
    /// the read failed or this node's term has ended.
    async fn read_directory(&mut self, from: Option<u64>) -> Option<u64> {
        let Some(from) = from else {
            return self.list().await;
        };
        let directory = self.context.directory.as_ref();
        let kind = DirectoryKind::Backends;
        let read = directory.changes(kind, from, DIRECTORY_WAIT, READ_BYTES);
        match read.await {
            Ok(page) => {
                self.directory_reads.record_success();
                apply_entries(&mut self.directory, page.entries);
                Some(page.next)
            }
            Err(LogError::HistoryDropped { .. }) => self.list().await,
            Err(error) => {
                self.directory_reads
                    .pause_after(error, self.context.read_interval())
                    .await;
                None
            }
        }
    }

    /// Lists the whole directory. Returns the offset from which its changes are to be read, or `None` once this node's term
    /// has ended.
    async fn list(&mut self) -> Option<u64> {
        let mut directory = BackendList::default();
        let mut first_end = None;
        let mut after: Option<String> = None;
        while self.holds_term() {
            let kind = DirectoryKind::Backends;
            match self.context.directory.list(kind, after.as_deref()).await {
                Ok(page) => {
                    self.directory_reads.record_success();
                    let end = *first_end.get_or_insert(page.end);
                    apply_entries(&mut directory, page.entries);
                    after = page.more;
                    if after.is_none() {
                        self.directory = directory;
                        info!(event = "directory_listed", count = self.directory.len(), term = self.term,
                            end = end; "");
                        return Some(end);
                    }
                }
                Err(error) => {
                    self.directory_reads
                        .pause_after(error, self.context.read_interval())
                        .await
                }
            }
        }
        None
    }

    /// Writes what has changed in the digest, now that the directory is read up to an offset, or confirms the digest when
    /// that is due.
    async fn publish(&mut self, directory_offset: u64) -> Result<(), LogError> {
        let update = {
            let view = self.context.digest.lock();
            let published_offset = view.state.directory_offset();
            // A listing may be older than what the former writer has published.
            if published_offset.is_some_and(|published| directory_offset < published) {
                return Ok(());
            }
            self.pool_sizes.update(self.context, view.state.wanted());
            self.update_of(&view.state)
        };
        let term = self.term;
        let confirmed = DigestRecord::Confirmed {
            term,
            directory_offset,
        };
        if let Some(update) = update {
            self.has_unsaved = true;
            self.confirm(&[update, confirmed]).await?;
        } else if self.is_confirmation_due() {
            self.confirm(&[confirmed, DigestRecord::Kept { term }])
                .await?;
        }
        Ok(())
    }

    /// The record that brings the digest up to date with the directory; `None` if it is. If this node has missed records, it
    /// doesn't know all entries that others have, and replaces them.
    fn update_of(&self, digest: &DigestState) -> Option<DigestRecord> {
        let (term, wanted) = (self.term, |pool: &PoolName| self.pool_sizes.of(pool));
        if !digest.is_complete() {
            let entries = compute_changes(&DigestState::default(), &self.directory, wanted);
            return Some(DigestRecord::Replaced { term, entries });
        }
        let changes = compute_changes(digest, &self.directory, wanted);
        (!changes.is_empty()).then_some(DigestRecord::Changed { term, changes })
    }

    fn is_confirmation_due(&self) -> bool {
        let drain_in_force = Duration::from_millis(self.context.settings.bounds.drain_in_force_ms);
        let interval = drain_in_force.mul_f64(CONFIRMATION_SHARE);
        self.confirmed_at.is_none_or(|at| at.elapsed() >= interval)
    }

    async fn confirm(&mut self, records: &[DigestRecord]) -> Result<(), LogError> {
        self.confirmed_at = Some(Instant::now());
        self.write(records).await
    }

    /// Appends records and reads the digest to its end.
    async fn write(&mut self, records: &[DigestRecord]) -> Result<(), LogError> {
        append_all(self.context, BACKEND_DIGEST, records).await?;
        let (log, clock) = (self.context.log.as_ref(), self.context.clock);
        self.context
            .digest
            .confirm(log, clock, Duration::ZERO)
            .await
    }

    /// Saves a checkpoint at regular intervals, so that a node that starts reads it and only a few seconds of records.
    async fn save(&mut self) {
        let pause = match self.has_unsaved {
            true => CHECKPOINT_PAUSE,
            false => MAX_CHECKPOINT_AGE,
        };
        if self.saved_at.is_some_and(|at| at.elapsed() < pause) {
            return;
        }
        self.saved_at = Some(Instant::now());
        let checkpoint = {
            let view = self.context.digest.lock();
            let can_save = view.is_between_values() && view.state.is_complete();
            can_save.then(|| view.state.checkpoint(view.next))
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

/// How many back ends of each pool the digest is to contain.
#[derive(Default)]
struct PoolSizes {
    /// Number needed for the items of the newest batches; it never falls.
    for_work: BTreeMap<PoolName, usize>,
    /// Number that results from the nodes' requests for more.
    requested: BTreeMap<PoolName, RequestedSize>,
}

/// The size of a pool in the digest that results from requests for more.
struct RequestedSize {
    size: usize,
    /// Number of requests for more when the size was last set.
    request_count: u64,
    set_at: Instant,
}

impl PoolSizes {
    fn of(&self, pool: &PoolName) -> usize {
        let for_work = self.for_work.get(pool).copied().unwrap_or(0);
        let size = self
            .requested
            .get(pool)
            .map_or(INITIAL_POOL_SIZE, |current| current.size);
        size.max(for_work)
    }

    fn update(&mut self, context: &Context, request_counts: &BTreeMap<PoolName, u64>) {
        for (pool, newest_count) in request_counts {
            let size = self.of(pool);
            let current = self
                .requested
                .entry(pool.clone())
                .or_insert_with(|| RequestedSize {
                    size: INITIAL_POOL_SIZE,
                    request_count: 0,
                    set_at: Instant::now() - DOUBLING_PAUSE,
                });
            if *newest_count > current.request_count && current.set_at.elapsed() >= DOUBLING_PAUSE {
                info!(event = "digest_grows", pool = pool.as_str(), from = size, to = size * 2; "");
                *current = RequestedSize {
                    size: size * 2,
                    request_count: *newest_count,
                    set_at: Instant::now(),
                };
            }
        }
        self.update_for_work(context);
    }

    fn update_for_work(&mut self, context: &Context) {
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
            let size = (items as f64 * SLOTS_PER_ITEM / f64::from(slots)).ceil() as usize;
            let known = self.for_work.entry(pool.name.clone()).or_default();
            *known = (*known).max(size);
        }
    }
}
