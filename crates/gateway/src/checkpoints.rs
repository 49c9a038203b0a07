//! Checkpoints of the control stream: written by the node that gives orders, read by nodes that start,
//! so that a start costs the same however long the stream is.

use std::sync::Arc;
use std::time::Duration;

use havenstage_rollout::checkpoint::ControlCheckpoint;
use havenstage_rollout::control::ControlState;
use havenstage_rollout::stored::{Stored, UnreadableValue};
use log::{info, warn};
use thiserror::Error;

use crate::context::Context;
use crate::edge::LogError;

/// Name under which the checkpoint is kept.
const NAME: &str = "control";
/// Pause between two checkpoints: what a node that starts reads besides is a few seconds of records.
const WRITE_PAUSE: Duration = Duration::from_secs(5);
/// Bytes that its name takes beside it in the one record that holds a checkpoint.
const KEY_ALLOWANCE: usize = 64;
/// Tries to read a checkpoint before a node reads all records instead, which are ten times as many bytes: where a whole
/// fleet starts, the log refuses some of the first tries.
const LOAD_TRIES: u32 = 8;
/// Pause after the first try; doubles with each.
const LOAD_PAUSE: Duration = Duration::from_millis(150);
/// Doublings of the pause, at most.
const MOST_DOUBLINGS: u32 = 4;

/// Why no checkpoint was taken up.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
enum LoadError {
    /// It could not be read from the store.
    #[error(transparent)]
    Store(#[from] LogError),
    /// What the store has is not one.
    #[error(transparent)]
    Unreadable(#[from] UnreadableValue),
}

/// Writes a checkpoint now and then while this node gives orders.
pub async fn write_checkpoints(context: Arc<Context>) {
    loop {
        tokio::time::sleep(WRITE_PAUSE).await;
        let Some(checkpoint) = take(&context) else {
            continue;
        };
        let encoded = checkpoint.encode();
        let bytes = encoded.len();
        if bytes + KEY_ALLOWANCE > context.settings.log.record_bytes {
            warn!(event = "checkpoint_too_large", bytes = bytes; "");
            continue;
        }
        let saved = context.checkpoints.save(NAME, encoded.into()).await;
        let outcome = saved.map_or_else(|error| error.to_string(), |()| "written".to_owned());
        info!(event = "checkpoint_written", next = checkpoint.next, bytes = bytes,
            outcome = outcome.as_str(); "");
    }
}

/// The state of the control stream, if this node gives orders and has read it to its end.
fn take(context: &Context) -> Option<ControlCheckpoint> {
    if context.control.is_behind(context.now()) {
        return None;
    }
    let inner = context.control.lock();
    let gives_orders = inner.state.lease().is_held_by(&context.node);
    let is_whole = inner.is_between_values();
    (gives_orders && is_whole).then(|| inner.state.checkpoint(inner.next))
}

/// Takes the newest checkpoint up if it is ahead of what this node has read. Without one the node reads
/// all records that are kept, which takes longer and leads to the same state.
pub async fn restore_control(context: &Context) {
    let mut tries = 0;
    let loaded = loop {
        tries += 1;
        match load(context).await {
            Err(LoadError::Store(_)) if tries < LOAD_TRIES => pause_before_retry(tries).await,
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

/// Waits before a checkpoint is asked for again; not all nodes alike.
pub(crate) async fn pause_before_retry(tries: u32) {
    let pause = LOAD_PAUSE * (1 << tries.min(MOST_DOUBLINGS));
    tokio::time::sleep(pause.mul_f64(rand::random())).await;
}

async fn load(context: &Context) -> Result<Option<ControlCheckpoint>, LoadError> {
    match context.checkpoints.load(NAME).await? {
        Some(value) => Ok(Some(ControlCheckpoint::decode(&value)?)),
        None => Ok(None),
    }
}
