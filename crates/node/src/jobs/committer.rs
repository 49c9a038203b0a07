//! Appends records to one job's stream in batches: what arrives while one append is under way goes
//! with the next.

use std::sync::Arc;

use bytes::Bytes;
use havenstage_types::codec;
use havenstage_types::ids::{LogOffset, StreamName};
use havenstage_types::job::JobRecord;
use tokio::sync::{mpsc, oneshot};

use crate::context::NodeContext;

/// Records waiting for an append, at most.
const QUEUE: usize = 8_192;

/// Hands records to the append loop of one job.
#[derive(Clone)]
pub(crate) struct Committer {
    queue: mpsc::Sender<Pending>,
}

struct Pending {
    payload: Bytes,
    appended: oneshot::Sender<LogOffset>,
}

impl Committer {
    /// Starts the append loop; it ends when the last clone is dropped.
    pub(crate) fn start(context: Arc<NodeContext>, stream: StreamName) -> Self {
        let (queue, receiver) = mpsc::channel(QUEUE);
        let spawner = context.environment.spawner.clone();
        spawner.spawn(run(context, stream, receiver));
        Self { queue }
    }

    /// Appends a record whose repetition does no harm, as often as it takes, and returns the
    /// offset it got last.
    pub(crate) async fn append(&self, record: &JobRecord) -> Option<LogOffset> {
        let payload = codec::encode(record).ok()?;
        let (appended, offset) = oneshot::channel();
        self.queue.send(Pending { payload, appended }).await.ok()?;
        offset.await.ok()
    }
}

async fn run(context: Arc<NodeContext>, stream: StreamName, mut receiver: mpsc::Receiver<Pending>) {
    let mut batch = Vec::new();
    while receiver
        .recv_many(&mut batch, context.settings.commit_batch)
        .await
        > 0
    {
        let first = append_until_done(&context, &stream, &batch).await;
        for (index, pending) in batch.drain(..).enumerate() {
            // The one who waited may have gone.
            let _ = pending.appended.send(LogOffset(first.0 + index as u64));
        }
    }
}

async fn append_until_done(
    context: &NodeContext,
    stream: &StreamName,
    batch: &[Pending],
) -> LogOffset {
    loop {
        let payloads = batch
            .iter()
            .map(|pending| pending.payload.clone())
            .collect();
        match context.environment.log.append(stream, payloads).await {
            Ok(first) => return first,
            Err(error) => {
                log::debug!(stream = stream.as_str(); "append to be repeated: {error}");
                tokio::time::sleep(context.settings.log_retry()).await;
            }
        }
    }
}
