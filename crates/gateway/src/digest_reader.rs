//! Follows the digest of the directory of back ends, in place of the directory.

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
use crate::digest_writer::{CHECKPOINT, kept_age_ms};
use crate::followers::{ReadOutcome, read_once};
use crate::log_writes::append_repeated;

/// Time without a word of its holder after which the digest is taken for abandoned: another node claims the lease for
/// orders and lists the directory within it.
const ABANDONED_AFTER_MS: Millis = 4_000;
/// Time for which a node reads the directory itself once the digest was abandoned, before it looks for a digest again.
pub(crate) const READ_DIRECTORY_FOR: Duration = Duration::from_secs(4);
/// Tries to read its checkpoint before the directory is read instead.
const LOAD_TRIES: u32 = 8;
/// Bytes that a node reads of the directory where nobody keeps a digest: a page of a listing.
const LISTED_BYTES: f64 = 250_000.0;
/// Share of the log's bandwidth that these listings may take.
const LISTING_SHARE: f64 = 0.5;
/// Longest time over which they are spread: what a node knows grows older meanwhile.
const LONGEST_SPREAD_MS: f64 = 8_000.0;
/// Nodes that ask for more back ends in a second, of a whole fleet that wants more.
const ASKERS_PER_S: f64 = 16.0;
/// Pause between two looks whether this node asks.
const ASK_PAUSE: Duration = Duration::from_secs(1);

/// Whether some node keeps a digest that can be taken up: its checkpoint is there.
pub(crate) async fn take_up(context: &Context) -> bool {
    for tries in 1..=LOAD_TRIES {
        match context.checkpoints.load(CHECKPOINT).await {
            Ok(None) => return false,
            Ok(Some(value)) => return restore(context, &value),
            Err(error) => {
                warn!(event = "checkpoint_not_read", reason = error.to_string().as_str(); "");
                checkpoints::pause_after_try(tries).await;
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
            replace_all(context);
            true
        }
        Err(error) => {
            warn!(event = "checkpoint_not_read", reason = error.to_string().as_str(); "");
            false
        }
    }
}

/// Takes the whole digest for the list of back ends.
fn replace_all(context: &Context) {
    let all = context.digest.lock().state.all();
    if all.is_empty() {
        return;
    }
    context.backends.replace(all, context.now());
    context.backends.set_fully_listed(false);
    context.mark_backends_listed();
    context.control_changed.notify_one();
}

/// Follows the digest until its holder was silent for too long.
pub(crate) async fn follow(context: &Arc<Context>) {
    let mut dependency = Dependency::new(context.digest.id.to_string());
    let began = context.now();
    // Not all nodes list the directory at once: the next holder may be there before most do.
    let patience_ms =
        ABANDONED_AFTER_MS + (listing_time_ms(context) * rand::random::<f64>()) as Millis;
    let mut has_all = false;
    let asking = context.clone();
    let asker = tokio::spawn(async move { ask_for_more(&asking).await });
    loop {
        let gap_ms = context.pace().read_interval_ms;
        match read_once(context, &context.digest, &mut dependency, gap_ms).await {
            ReadOutcome::Dropped => {
                take_up(context).await;
            }
            ReadOutcome::Answered if has_all => apply_changes(context),
            ReadOutcome::Answered => {
                replace_all(context);
                has_all = !context.digest.lock().state.is_empty();
            }
            ReadOutcome::Failed => {}
        }
        if is_abandoned(context, began, patience_ms) {
            break;
        }
    }
    asker.abort();
}

fn apply_changes(context: &Context) {
    let changes = context.digest.lock().state.take_changes();
    let has_changes = !changes.is_empty();
    for change in changes {
        context.backends.apply(change, context.now());
    }
    if has_changes {
        context.control_changed.notify_one();
    }
}

/// Whether the digest could be read and nobody kept it for long. While it cannot be read, nor can the directory.
fn is_abandoned(context: &Context, since: Millis, patience_ms: Millis) -> bool {
    let now = context.now();
    let silent_ms = kept_age_ms(context).unwrap_or(Millis::MAX);
    let silent_ms = silent_ms.min(now.saturating_sub(since));
    let readable_ms = match context.digest.readable_since(now) {
        Some(readable_since) => now.saturating_sub(readable_since),
        None => 0,
    };
    let is_abandoned = silent_ms.min(readable_ms) > patience_ms;
    if is_abandoned {
        warn!(event = "digest_abandoned", silent_ms = silent_ms; "");
    }
    is_abandoned
}

/// Time over which the listings of all nodes are spread: what the log needs for them.
fn listing_time_ms(context: &Context) -> f64 {
    let bytes_per_s = context.settings.log.read_bytes_per_s() * LISTING_SHARE;
    let time_ms = LISTED_BYTES * context.fleet_size() as f64 * 1_000.0 / bytes_per_s;
    time_ms.min(LONGEST_SPREAD_MS)
}

/// Says that all back ends of a pool are taken, whenever this node finds that, for a few of the nodes that do.
async fn ask_for_more(context: &Arc<Context>) {
    loop {
        let pool: PoolName = context.backends.more_wanted().await;
        let share = ASKERS_PER_S / context.fleet_size() as f64;
        if rand::random::<f64>() < share {
            info!(event = "more_back_ends_wanted", pool = pool.as_str(); "");
            let record = DigestRecord::MoreWanted { pool };
            append_repeated(context.clone(), BACKEND_DIGEST, record).await;
        }
        tokio::time::sleep(ASK_PAUSE).await;
    }
}
