//! Appends of single values to streams of the shared log.

use std::sync::Arc;
use std::time::Duration;

use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::framing;
use havenstage_rollout::stored::Stored;
use log::warn;

use crate::context::{CONTROL, Context};
use crate::edge::{Appended, LogError, StreamPartition};

/// Appends a value, split into records of the size that the log allows.
pub async fn append<T: Stored>(
    context: &Context,
    partition: StreamPartition,
    value: &T,
) -> Result<Appended, LogError> {
    append_all(context, partition, std::slice::from_ref(value)).await
}

/// Appends values in one call: all of them or none.
pub async fn append_all<T: Stored>(
    context: &Context,
    partition: StreamPartition,
    values: &[T],
) -> Result<Appended, LogError> {
    let record_bytes = context.settings.log.record_bytes;
    let records = values
        .iter()
        .flat_map(|value| framing::split(&value.encode(), record_bytes));
    context.log.append(partition, records.collect()).await
}

/// Appends a record to the control stream.
pub async fn append_control(
    context: &Context,
    record: &ControlRecord,
) -> Result<Appended, LogError> {
    append(context, CONTROL, record).await
}

/// Appends a record to the control stream and reads the stream to its end, so that this node knows all that precedes
/// the record.
pub async fn append_control_and_read(
    context: &Context,
    record: &ControlRecord,
) -> Result<(), LogError> {
    append_control(context, record).await?;
    let (log, clock) = (context.log.as_ref(), context.clock);
    context.control.confirm(log, clock, Duration::ZERO).await
}

/// Appends a heartbeat of the order lease holder. Each copy in the stream counts as elapsed time, so the append must
/// not be retried.
pub async fn append_heartbeat(
    context: &Context,
    record: &ControlRecord,
) -> Result<Appended, LogError> {
    let records = framing::split(&record.encode(), context.settings.log.record_bytes);
    context.log.append_once(CONTROL, records).await
}

/// Appends a value of a kind that is written again soon, so that a failure is only logged.
pub async fn append_or_warn<T: Stored>(
    context: Arc<Context>,
    partition: StreamPartition,
    value: T,
) {
    if let Err(error) = append(&context, partition, &value).await {
        warn!(event = "record_not_written", partition = partition.to_string().as_str(),
            value = T::DESCRIPTION, reason = error.to_string().as_str(); "");
    }
}
