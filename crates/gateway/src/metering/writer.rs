//! Appends what this node has counted.

use std::sync::Arc;
use std::time::Duration;

use havenstage_rollout::framing;
use havenstage_rollout::stored::Stored;
use havenstage_rollout::usage::UsageRecord;
use log::warn;
use xxhash_rust::xxh3::xxh3_64;

use crate::context::Context;
use crate::edge::{LogError, LogStream, StreamPartition};

/// Time for which counts are gathered, for each machine: all machines together make at most 200 appends a second,
/// an eighth of what the smallest store takes. A node that dies takes along what it has not written.
const GATHER_MS_PER_MACHINE: u64 = 5;
/// Shortest time for which counts are gathered.
const SHORTEST_GATHERING: Duration = Duration::from_millis(200);
/// Pause after an append that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Writes counts down as they grow, until the process ends.
pub(crate) async fn write_usage(context: Arc<Context>) {
    loop {
        context.usage.grown().await;
        tokio::time::sleep(gathering(&context)).await;
        while let Err(error) = write_once(&context).await {
            warn!(event = "usage_not_written", reason = error.to_string().as_str(); "");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

fn gathering(context: &Context) -> Duration {
    let machines = context.known_machines() as u64;
    let spread = Duration::from_millis(machines * GATHER_MS_PER_MACHINE);
    // What is left when a node stops must be written before its process ends.
    match context.is_stopping() {
        true => Duration::ZERO,
        false => spread.max(SHORTEST_GATHERING),
    }
}

async fn write_once(context: &Context) -> Result<(), LogError> {
    let records = context.usage.unwritten(&context.node);
    if records.is_empty() {
        return Ok(());
    }
    let most_bytes = context.settings.log.record_bytes;
    let framed = records.iter().map(UsageRecord::encode);
    let framed = framed.flat_map(|encoded| framing::split(&encoded, most_bytes));
    context
        .log
        .append(partition_of_node(context), framed.collect())
        .await?;
    context.usage.written(&records, context.time_of_day.now());
    Ok(())
}

/// Nodes are spread over the partitions, as each takes its appends one after another.
fn partition_of_node(context: &Context) -> StreamPartition {
    let hash = xxh3_64(context.node.machine.as_str().as_bytes());
    StreamPartition {
        stream: LogStream::Usage,
        partition: (hash % u64::from(context.settings.log.partitions)) as u32,
    }
}
