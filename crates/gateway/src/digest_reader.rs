//! Follows the digest of the back-end directory, in place of the directory itself. One node, the order lease holder,
//! writes the digest, because the directory is too large for all nodes to read.

use std::sync::Arc;
use std::time::Duration;

use havenstage_rollout::Millis;
use havenstage_rollout::backend_digest::{DigestCheckpoint, DigestRecord, DigestState};
use havenstage_rollout::ids::PoolName;
use havenstage_rollout::stored::Stored;
use log::{info, warn};

use crate::checkpoints;
use crate::context::{BACKEND_DIGEST, Context};
use crate::dependency::Dependency;
use crate::digest_writer::{CHECKPOINT, confirmation_age_ms};
use crate::directories::log_backend_leaving;
use crate::followers::{ReadOutcome, read_once};
use crate::log_writes::append_or_warn;

/// Time without a confirmation by the digest's writer after which the digest counts as abandoned. Within this time another
/// node can claim the order lease and list the directory.
const ABANDONED_AFTER_MS: Millis = 4_000;
/// Time for which a node reads the directory itself after the digest was abandoned, before it looks for a digest again.
pub(crate) const DIRECTORY_FALLBACK_DURATION: Duration = Duration::from_secs(4);
/// Attempts to read the digest's checkpoint before the directory is read instead.
const MAX_LOAD_ATTEMPTS: u32 = 8;
/// Bytes that a node reads of the directory if no node writes a digest: a page of a listing.
const LISTING_BYTES: f64 = 250_000.0;
/// Share of the log's bandwidth that these listings may take.
const LISTING_SHARE: f64 = 0.5;
/// Maximum time over which the listings are spread, since a node's knowledge ages in the meantime.
const MAX_SPREAD_MS: f64 = 8_000.0;
/// Requests for more back ends per second, if all nodes of the fleet need more.
const FLEET_REQUESTS_PER_S: f64 = 16.0;
/// Pause between two decisions whether this node requests more back ends.
const REQUEST_PAUSE: Duration = Duration::from_secs(1);

/// Loads the digest's checkpoint and replaces the list of back ends with it; false if there is no readable checkpoint.
pub(crate) async fn restore_from_checkpoint(context: &Context) -> bool {
    for attempts in 1..=MAX_LOAD_ATTEMPTS {
        match context.checkpoints.load(CHECKPOINT).await {
            Ok(None) => return false,
            Ok(Some(value)) => return restore(context, &value),
            Err(error) => {
                warn!(event = "checkpoint_not_read", reason = error.to_string().as_str(); "");
                checkpoints::pause_before_retry(attempts).await;
            }
        }
    }
    false
}

fn restore(context: &Context, value: &[u8]) -> bool {
    match DigestCheckpoint::decode(value) {
        Ok(checkpoint) => {
            let (next, count) = (checkpoint.next, checkpoint.entries.len());
            let is_taken = context
                .digest
                .restore(DigestState::restored(checkpoint), next);
            info!(event = "digest_read", next = next, count = count, is_taken = is_taken; "");
            replace_backends(context);
            true
        }
        Err(error) => {
            warn!(event = "checkpoint_not_read", reason = error.to_string().as_str(); "");
            false
        }
    }
}

/// Replaces the list of back ends by the whole digest, unless the digest is empty.
fn replace_backends(context: &Context) {
    let all = context.digest.lock().state.all();
    if all.is_empty() {
        return;
    }
    context.backends.replace(all, context.now());
    context.backends.set_fully_listed(false);
    context.mark_backends_listed();
    context.control_changed.notify_one();
}

/// Follows the digest until its writer has been silent for too long.
pub(crate) async fn follow(context: &Arc<Context>) {
    let mut dependency = Dependency::new(context.digest.id.to_string());
    let began = context.now();
    // Random, so that not all nodes list the directory at once: the next writer may start before most of them do.
    let timeout_ms =
        ABANDONED_AFTER_MS + (listing_time_ms(context) * rand::random::<f64>()) as Millis;
    let mut has_all = false;
    let requester_context = context.clone();
    let requester = tokio::spawn(async move { request_more_backends(&requester_context).await });
    loop {
        let interval_ms = context.pace().read_interval_ms;
        match read_once(context, &context.digest, &mut dependency, interval_ms).await {
            ReadOutcome::Dropped => {
                restore_from_checkpoint(context).await;
            }
            ReadOutcome::Answered if has_all => apply_changes(context),
            ReadOutcome::Answered => {
                replace_backends(context);
                has_all = !context.digest.lock().state.is_empty();
            }
            ReadOutcome::Failed => {}
        }
        record_confirmation(context);
        if is_abandoned(context, began, timeout_ms) {
            break;
        }
    }
    requester.abort();
}

/// Records when the writer of the digest last confirmed it.
fn record_confirmation(context: &Context) {
    if let Some(at) = context.digest.lock().state.confirmed_at() {
        context.backends.record_confirmation(at);
    }
}

fn apply_changes(context: &Context) {
    let changes = context.digest.lock().state.take_changes();
    let has_changes = !changes.is_empty();
    for change in changes {
        log_backend_leaving(context, &change, "digest");
        context.backends.apply(change, context.now());
    }
    if has_changes {
        context.control_changed.notify_one();
    }
}

/// Whether the digest has been readable for longer than the timeout, but its writer has not confirmed it for as long. While
/// the digest can't be read, the directory can't be read either, so a node doesn't switch then.
fn is_abandoned(context: &Context, since: Millis, timeout_ms: Millis) -> bool {
    let now = context.now();
    let silent_ms = confirmation_age_ms(context).unwrap_or(Millis::MAX);
    let silent_ms = silent_ms.min(now.saturating_sub(since));
    let readable_ms = match context.digest.readable_since(now) {
        Some(readable_since) => now.saturating_sub(readable_since),
        None => 0,
    };
    let is_abandoned = silent_ms.min(readable_ms) > timeout_ms;
    if is_abandoned {
        warn!(event = "digest_abandoned", silent_ms = silent_ms; "");
    }
    is_abandoned
}

/// Time over which the listings of all nodes are spread: the time that the log's share of bandwidth needs for them.
fn listing_time_ms(context: &Context) -> f64 {
    let bytes_per_s = context.settings.log.read_bytes_per_s() * LISTING_SHARE;
    let time_ms = LISTING_BYTES * context.fleet_size() as f64 * 1_000.0 / bytes_per_s;
    time_ms.min(MAX_SPREAD_MS)
}

/// Appends a request for more back ends when all known ones of a pool are occupied. Each node does so with a probability
/// that falls with the size of the fleet, which bounds the requests of all nodes together.
async fn request_more_backends(context: &Arc<Context>) {
    loop {
        let pool: PoolName = context.backends.more_wanted().await;
        let share = FLEET_REQUESTS_PER_S / context.fleet_size() as f64;
        if rand::random::<f64>() < share {
            info!(event = "more_back_ends_wanted", pool = pool.as_str(); "");
            let record = DigestRecord::MoreWanted { pool };
            append_or_warn(context.clone(), BACKEND_DIGEST, record).await;
        }
        tokio::time::sleep(REQUEST_PAUSE).await;
    }
}
