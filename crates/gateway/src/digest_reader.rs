//! Reads the digest of the back-end directory. One node, the order lease holder, writes the digest, because the directory
//! is too large for all nodes to read.

use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::backend_digest::{DigestCheckpoint, DigestRecord, DigestState};
use havenstage_rollout::ids::PoolName;
use havenstage_rollout::stored::Stored;
use log::{info, warn};

use crate::checkpoints;
use crate::context::{BACKEND_DIGEST, Context};
use crate::dependency::Dependency;
use crate::digest_writer::CHECKPOINT;
use crate::followers::{ReadOutcome, read_once};
use crate::log_writes::append_or_warn;

/// Attempts to read the digest's checkpoint before the directory is read instead.
const MAX_LOAD_ATTEMPTS: u32 = 8;
/// Mean pause between two attempts to restore a checkpoint that includes dropped records: a fraction of the time in which
/// the writer saves the next one.
const RESTORE_PAUSE: Duration = Duration::from_secs(2);
/// Requests for more back ends per second, if all nodes of the fleet need more.
const FLEET_REQUESTS_PER_S: f64 = 16.0;
/// Pause between two decisions whether this node requests more back ends.
const REQUEST_PAUSE: Duration = Duration::from_secs(1);

/// Loads the digest's checkpoint; false if there is no readable checkpoint.
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
            true
        }
        Err(error) => {
            warn!(event = "checkpoint_not_read", reason = error.to_string().as_str(); "");
            false
        }
    }
}

/// Reads the digest until the process ends. After records were dropped before they were read here, a checkpoint is restored
/// that includes them.
pub(crate) async fn follow(context: &Context) {
    let mut dependency = Dependency::new(context.digest.id.to_string());
    let mut next_restore_at: Option<Instant> = None;
    loop {
        let interval_ms = context.pace().read_interval_ms;
        let outcome = read_once(context, &context.digest, &mut dependency, interval_ms).await;
        let is_incomplete = !context.digest.lock().state.is_complete();
        let is_retry_due = next_restore_at.is_none_or(|at| Instant::now() >= at);
        if outcome == ReadOutcome::Dropped || (is_incomplete && is_retry_due) {
            restore_from_checkpoint(context).await;
            next_restore_at =
                Some(Instant::now() + RESTORE_PAUSE.mul_f64(0.5 + rand::random::<f64>()));
        }
    }
}

/// Appends a request for more back ends when all known ones of a pool are occupied. Each node does so with a probability
/// that falls with the size of the fleet, which bounds the requests of all nodes together.
pub(crate) async fn request_more_backends(context: &Arc<Context>) {
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
