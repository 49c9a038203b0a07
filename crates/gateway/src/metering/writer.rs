//! Appends the usage counts of this node to the log.

use std::sync::Arc;
use std::time::Duration;

use havenstage_rollout::framing;
use havenstage_rollout::stored::Stored;
use havenstage_rollout::usage::UsageRecord;
use log::warn;
use xxhash_rust::xxh3::xxh3_64;

use crate::context::Context;
use crate::edge::{LogError, LogStream, StreamPartition};

/// Time for which counts are gathered before an append, for each known machine. All machines together thus make at
/// most 200 appends a second, an eighth of what the smallest log store accepts. Counts that were not appended are
/// lost if the node fails.
const GATHER_MS_PER_MACHINE: u64 = 5;
/// Least time for which counts are gathered before an append.
const MIN_GATHER_TIME: Duration = Duration::from_millis(200);
/// Pause after an append that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Appends new counts to the log until the process ends.
pub(crate) async fn write_usage(context: Arc<Context>) {
    loop {
        context.usage.counted().await;
        tokio::time::sleep(gather_time(&context)).await;
        while let Err(error) = write_once(&context).await {
            warn!(event = "usage_not_written", reason = error.to_string().as_str(); "");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Time for which counts are gathered before the next append.
fn gather_time(context: &Context) -> Duration {
    let machines = context.known_machines() as u64;
    let all_machines = Duration::from_millis(machines * GATHER_MS_PER_MACHINE);
    // A node that stops must append its last counts before its process ends.
    match context.is_stopping() {
        true => Duration::ZERO,
        false => all_machines.max(MIN_GATHER_TIME),
    }
}

/// Appends all counts that the log does not hold yet.
async fn write_once(context: &Context) -> Result<(), LogError> {
    let records = context.usage.unwritten_records(&context.node);
    if records.is_empty() {
        return Ok(());
    }
    let max_record_bytes = context.settings.log.record_bytes;
    let framed = records.iter().map(UsageRecord::encode);
    let framed = framed.flat_map(|encoded| framing::split(&encoded, max_record_bytes));
    context
        .log
        .append(partition_of_node(context), framed.collect())
        .await?;
    context
        .usage
        .mark_written(&records, context.time_of_day.now());
    Ok(())
}

/// The partition for the records of this node. Nodes are spread over the partitions, as each partition processes its
/// appends one after another.
fn partition_of_node(context: &Context) -> StreamPartition {
    let hash = xxh3_64(context.node.machine.as_str().as_bytes());
    StreamPartition {
        stream: LogStream::Usage,
        partition: (hash % u64::from(context.settings.log.partitions)) as u32,
    }
}
