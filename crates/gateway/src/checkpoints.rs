//! Checkpoints of the control stream: written by the order lease holder, read by nodes that start, so that a start costs
//! the same however long the stream is.

use std::sync::Arc;
use std::time::Duration;

use havenstage_rollout::checkpoint::ControlCheckpoint;
use havenstage_rollout::control::ControlState;
use havenstage_rollout::stored::{Stored, UnreadableValue};
use log::{info, warn};
use thiserror::Error;

use crate::context::Context;
use crate::edge::LogError;

/// Name of the checkpoint in the checkpoint store.
const CHECKPOINT_NAME: &str = "control";
/// Pause between two checkpoints: besides the checkpoint, a node that starts reads only a few seconds of records.
const WRITE_PAUSE: Duration = Duration::from_secs(5);
/// Upper bound of the bytes of the checkpoint's name, which is stored with it in one record.
const KEY_ALLOWANCE_BYTES: usize = 64;
/// Attempts to read a checkpoint before a node reads all records instead, which are ten times as many bytes: while a
/// whole fleet starts, the log refuses some of the first attempts.
const MAX_LOAD_ATTEMPTS: u32 = 8;
/// Base of the pause between attempts; it doubles with each attempt, including the first.
const LOAD_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Maximum number of doublings of that pause.
const MAX_DOUBLINGS: u32 = 4;

/// Why no checkpoint was loaded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
enum LoadError {
    /// The store could not be read.
    #[error(transparent)]
    Store(#[from] LogError),
    /// The stored value is not a valid checkpoint.
    #[error(transparent)]
    Unreadable(#[from] UnreadableValue),
}

/// Writes a checkpoint at regular intervals while this node holds the order lease.
pub async fn write_checkpoints(context: Arc<Context>) {
    loop {
        tokio::time::sleep(WRITE_PAUSE).await;
        let Some(checkpoint) = current_checkpoint(&context) else {
            continue;
        };
        let encoded = checkpoint.encode();
        let bytes = encoded.len();
        if bytes + KEY_ALLOWANCE_BYTES > context.settings.log.record_bytes {
            warn!(event = "checkpoint_too_large", bytes = bytes; "");
            continue;
        }
        let saved = context
            .checkpoints
            .save(CHECKPOINT_NAME, encoded.into())
            .await;
        let outcome = saved.map_or_else(|error| error.to_string(), |()| "written".to_owned());
        info!(event = "checkpoint_written", next = checkpoint.next, bytes = bytes,
            outcome = outcome.as_str(); "");
    }
}

/// The state of the control stream as a checkpoint, if this node holds the order lease and has read the stream to its
/// end.
fn current_checkpoint(context: &Context) -> Option<ControlCheckpoint> {
    if context.control.is_behind(context.now()) {
        return None;
    }
    let inner = context.control.lock();
    let holds_order_lease = inner.state.lease().is_held_by(&context.node);
    let is_between_values = inner.is_between_values();
    (holds_order_lease && is_between_values).then(|| inner.state.checkpoint(inner.next))
}

/// Restores the control state from the newest checkpoint, if that is ahead of what this node has read. Without a
/// checkpoint the node reads all records that are kept, which takes longer and leads to the same state.
pub async fn restore_control(context: &Context) {
    let mut attempts = 0;
    let loaded = loop {
        attempts += 1;
        match load(context).await {
            Err(LoadError::Store(_)) if attempts < MAX_LOAD_ATTEMPTS => {
                pause_before_retry(attempts).await
            }
            loaded => break loaded,
        }
    };
    match loaded {
        Ok(None) => {}
        Ok(Some(checkpoint)) => {
            let next = checkpoint.next;
            let machine = context.node.machine.clone();
            let state = ControlState::restored(machine, checkpoint, context.now());
            let is_taken = context.control.restore(state, next);
            info!(event = "checkpoint_read", next = next, is_taken = is_taken; "");
        }
        Err(error) => {
            warn!(event = "checkpoint_not_read", reason = error.to_string().as_str(); "");
        }
    }
}

/// Waits before a checkpoint is read again, after `attempts` failed attempts. The pause is random, so that nodes don't
/// retry at the same time.
pub(crate) async fn pause_before_retry(attempts: u32) {
    let pause = LOAD_RETRY_PAUSE * (1 << attempts.min(MAX_DOUBLINGS));
    tokio::time::sleep(pause.mul_f64(rand::random())).await;
}

async fn load(context: &Context) -> Result<Option<ControlCheckpoint>, LoadError> {
    match context.checkpoints.load(CHECKPOINT_NAME).await? {
        Some(value) => Ok(Some(ControlCheckpoint::decode(&value)?)),
        None => Ok(None),
    }
}
