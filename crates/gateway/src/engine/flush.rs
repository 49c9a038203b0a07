//! Appends the progress and outcomes of items to the log, in groups.

use std::collections::BTreeSet;

use havenstage_clock::Instant;
use havenstage_rollout::Millis;
use havenstage_rollout::record::BatchRecord;
use log::warn;

use super::outbox::{AppendLimits, Outbox};
use super::{Engine, TaskEnd};

impl Engine {
    pub(super) fn flush_outboxes(&mut self) {
        let now = self.context.now();
        let tuning = &self.context.settings.tuning;
        let (flush_ms, progress_ms) = (tuning.flush_ms, tuning.progress_ms);
        let partitions: BTreeSet<usize> = self
            .items
            .values()
            .map(|item| item.partition)
            .chain(self.outboxes.keys().copied())
            .collect();
        for partition in partitions {
            let outbox = self.outbox(partition);
            let age = now.saturating_sub(outbox.last_append);
            let is_due = age >= progress_ms || (outbox.is_urgent && age >= flush_ms);
            if is_due {
                self.collect_progress(partition);
                self.append(partition, now);
            }
        }
    }

    pub(super) fn collect_progress(&mut self, partition: usize) {
        let mut records = Vec::new();
        for (key, item) in &mut self.items {
            if item.partition == partition {
                records.extend(item.take_progress(key));
            }
        }
        for record in records {
            self.queue_record(partition, &record);
        }
    }

    pub(super) fn append(&mut self, partition: usize, now: Millis) {
        let outbox = self.outbox(partition);
        if !outbox.can_begin_append(now) {
            return;
        }
        let records = outbox.begin_append(now);
        let context = self.context.clone();
        let sender = self.task_end_sender.clone();
        tokio::spawn(async move {
            let id = context.partitions.at(partition).id;
            let began = Instant::now();
            let appended = context.log.append(id, records).await;
            let took_ms = began.elapsed().as_millis() as u64;
            if let Err(error) = &appended {
                warn!(event = "results_not_written", partition = id.to_string().as_str(), took_ms = took_ms,
                    reason = error.to_string().as_str(); "");
            }
            let is_done = appended.is_ok();
            let _ = sender.send(TaskEnd::Append {
                partition,
                is_done,
                took_ms,
            });
        });
    }

    pub(super) fn queue_record(&mut self, partition: usize, record: &BatchRecord) {
        if !self.outbox(partition).push(record) {
            warn!(event = "record_too_large", batch = record.batch().as_str(); "");
        }
    }

    pub(super) fn outbox(&mut self, partition: usize) -> &mut Outbox {
        let log = &self.context.settings.log;
        let limits = AppendLimits {
            record_bytes: log.record_bytes,
            call_bytes: log.call_bytes,
        };
        self.outboxes
            .entry(partition)
            .or_insert_with(|| Outbox::new(limits))
    }
}
