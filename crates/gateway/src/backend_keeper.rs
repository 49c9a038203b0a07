//! Keeps the list of back ends up to date in a fleet that is too large for every node to read the whole directory: from
//! its digest, or from the directory itself while the digest is not confirmed in time.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use havenstage_rollout::Millis;
use havenstage_rollout::backend_digest::{DigestState, DigestUpdate};
use havenstage_rollout::backend_source::{BackendSource, DigestStatus, SourceLimits, Step};
use log::info;

use crate::context::Context;
use crate::directories::{
    ChangesRead, DirectoryFollower, ENTRY_BYTES, directory_read_interval, log_backend_leaving,
};

/// Maximum age of the digest's last confirmation, as a share of `bounds.drain_in_force_ms`, the time after which no request
/// may reach a back end that drains. The rest is for the read of the directory that follows, and for the way of a request
/// to its back end.
const DIGEST_AGE_SHARE: f64 = 0.5;
/// Time without a confirmation after which a node lists the directory if it can't read changes. Within this time another
/// node can claim the order lease and list the directory.
const ABANDONED_AFTER_MS: Millis = 4_000;
/// Bytes that a node reads of the directory if no node writes a digest: a page of a listing.
const LISTING_BYTES: f64 = 250_000.0;
/// Share of the log's bandwidth that these listings may take.
const LISTING_SHARE: f64 = 0.5;
/// Maximum time over which the listings are spread, since a node's knowledge ages in the meantime.
const MAX_SPREAD_MS: f64 = 8_000.0;
/// Maximum wait for a change of the digest before the next step is chosen again.
const MAX_DIGEST_WAIT_MS: Millis = 1_000;

/// The list of back ends of a node, the source that it follows, and the reader of the directory.
pub(crate) struct BackendKeeper {
    context: Arc<Context>,
    directory: DirectoryFollower,
    source: BackendSource,
    /// This node's place, from 0 to 1, in the time over which the nodes spread their listings.
    listing_place: f64,
    logged_step: Option<&'static str>,
}

impl BackendKeeper {
    /// Creates the keeper; `directory` has read the directory up to `list_offset`, if it has read it at all.
    pub(crate) fn new(
        context: Arc<Context>,
        directory: DirectoryFollower,
        list_offset: Option<u64>,
    ) -> Self {
        let listing_place = rand::random();
        let limits = limits(&context, listing_place);
        let source = BackendSource::new(limits, list_offset, context.now());
        Self {
            context,
            directory,
            source,
            listing_place,
            logged_step: None,
        }
    }

    /// Keeps the list until the process ends. Another task reads the digest.
    pub(crate) async fn run(mut self) {
        let context = self.context.clone();
        loop {
            // Registered before the digest is applied, so that no change is missed in between.
            let changed = context.digest.changed();
            tokio::pin!(changed);
            changed.as_mut().enable();
            // The estimate of the fleet size, on which the limits depend, changes.
            self.source.set_limits(limits(&context, self.listing_place));
            self.apply_digest();
            let step = self.next_step();
            self.log_step(step);
            match step {
                Step::FollowDigest => self.wait_for_digest(changed).await,
                Step::ReadChanges { from } => self.read_changes(from).await,
                Step::ListDirectory => self.list_directory().await,
            }
        }
    }

    fn next_step(&self) -> Step {
        let status = digest_status(&self.context);
        self.source.next_step(&status, self.context.now())
    }

    /// Applies what is new in the digest, unless the list has come further.
    fn apply_digest(&mut self) {
        let context = &self.context;
        let readable_since = context.digest.readable_since(context.now());
        let (status, update) = {
            let mut digest = context.digest.lock();
            let status = status_of(&digest.state, readable_since);
            if digest.state.is_empty() || !self.source.may_apply(&status, context.now()) {
                return;
            }
            (status, digest.state.take_update())
        };
        apply_update(context, update);
        self.source.record_digest_applied(&status);
        if let Some(confirmed_at) = status.confirmed_at {
            context.backends.record_confirmation(confirmed_at);
        }
    }

    /// Waits until the digest changes, or until it may be too old.
    async fn wait_for_digest(&self, changed: impl Future<Output = ()>) {
        let current_until = self.source.current_until(&digest_status(&self.context));
        let left_ms = current_until.and_then(|until| until.checked_sub(self.context.now()));
        let wait_ms = left_ms.map_or(MAX_DIGEST_WAIT_MS, |left| {
            (left + 1).min(MAX_DIGEST_WAIT_MS)
        });
        // Whether the digest changed or the time is over, the next step is chosen anew.
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), changed).await;
    }

    async fn read_changes(&mut self, from: u64) {
        let reading = self.directory.read_changes(from);
        let read = unless_digest_is_current(&self.context, &self.source, reading).await;
        match read {
            Some(ChangesRead::Applied { next, remaining }) => {
                self.record_changes(next, remaining);
                if remaining == 0 {
                    let pause = tokio::time::sleep(directory_read_interval(&self.context));
                    unless_digest_is_current(&self.context, &self.source, pause).await;
                }
            }
            Some(ChangesRead::Dropped(_)) => {
                self.source.record_changes_unreadable(self.context.now());
            }
            Some(ChangesRead::Failed) | None => {}
        }
    }

    fn record_changes(&mut self, next: u64, remaining: u64) {
        self.source.record_changes_read(next);
        self.context.digest.lock().state.discard_changes();
        if !self.context.can_all_nodes_read(remaining * ENTRY_BYTES) {
            self.source.record_changes_unreadable(self.context.now());
        }
    }

    async fn list_directory(&mut self) {
        let listing = self.directory.read_listing();
        let listed = unless_digest_is_current(&self.context, &self.source, listing).await;
        if let Some(next) = listed {
            self.source.record_listed(next, self.context.now());
            self.context.digest.lock().state.discard_changes();
        }
    }

    /// Logs the source that the list follows from here on, if it is another one.
    fn log_step(&mut self, step: Step) {
        let name = match step {
            Step::FollowDigest => "digest",
            Step::ReadChanges { .. } => "directory_changes",
            Step::ListDirectory => "directory_listing",
        };
        if self.logged_step == Some(name) {
            return;
        }
        self.logged_step = Some(name);
        let status = digest_status(&self.context);
        let now = self.context.now();
        let digest_age_ms = status.confirmed_at.map(|at| now.saturating_sub(at));
        info!(event = "backends_source", source = name, digest_age_ms = digest_age_ms,
            digest_offset = status.directory_offset, list_offset = self.source.list_offset(); "");
    }
}

/// Limits of the digest's age. The time before a listing depends on the node's place, so that not all nodes list the
/// directory at once.
fn limits(context: &Context, listing_place: f64) -> SourceLimits {
    let drain_in_force_ms = context.settings.bounds.drain_in_force_ms as f64;
    let spread_ms = listing_time_ms(context) * listing_place;
    SourceLimits {
        max_digest_age_ms: (drain_in_force_ms * DIGEST_AGE_SHARE) as Millis,
        listing_delay_ms: ABANDONED_AFTER_MS + spread_ms as Millis,
    }
}

/// Time over which the listings of all nodes are spread: the time that the log's share of bandwidth needs for them.
fn listing_time_ms(context: &Context) -> f64 {
    let bytes_per_s = context.settings.log.read_bytes_per_s() * LISTING_SHARE;
    let time_ms = LISTING_BYTES * context.fleet_size() as f64 * 1_000.0 / bytes_per_s;
    time_ms.min(MAX_SPREAD_MS)
}

fn digest_status(context: &Context) -> DigestStatus {
    let readable_since = context.digest.readable_since(context.now());
    status_of(&context.digest.lock().state, readable_since)
}

fn status_of(digest: &DigestState, readable_since: Option<Millis>) -> DigestStatus {
    DigestStatus {
        confirmed_at: digest.confirmed_at(),
        directory_offset: digest.directory_offset(),
        is_complete: digest.is_complete(),
        readable_since,
    }
}

fn apply_update(context: &Context, update: DigestUpdate) {
    match update {
        DigestUpdate::Whole(backends) => {
            context.backends.replace(backends, context.now());
            context.backends.set_fully_listed(false);
            context.mark_backends_listed();
            context.control_changed.notify_one();
        }
        DigestUpdate::Changes(changes) if changes.is_empty() => {}
        DigestUpdate::Changes(changes) => {
            for change in changes {
                log_backend_leaving(context, &change, "digest");
                context.backends.apply(change, context.now());
            }
            context.control_changed.notify_one();
        }
    }
}

/// Completes `reading`, unless the digest becomes the source to follow meanwhile.
async fn unless_digest_is_current<T>(
    context: &Context,
    source: &BackendSource,
    reading: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        read = reading => Some(read),
        () = wait_until_digest_is_current(context, source) => None,
    }
}

async fn wait_until_digest_is_current(context: &Context, source: &BackendSource) {
    loop {
        let changed = context.digest.changed();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if source.follows_digest(&digest_status(context), context.now()) {
            return;
        }
        changed.await;
    }
}
