//! Sends decisions to the log in batches and finds them again.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use havenstage_types::codec;
use havenstage_types::decision::{Decision, DecisionRecord};
use havenstage_types::ids::{LogOffset, streams};
use havenstage_types::peer::{PeerRequestBody, PeerResponseBody};

use crate::context::NodeContext;

/// Batches looked through from a decision stream's end when a subject is explained.
const BATCHES_SCANNED: u64 = 20_000;

/// Batches asked of the log in one read.
const BATCHES_PER_READ: usize = 512;

/// Decisions in one record of a decision stream, at most.
const DECISIONS_PER_BATCH: usize = 1_000;

impl NodeContext {
    /// Records a decision of this node.
    pub(crate) fn decide(&self, subject: impl Into<String>, decision: Decision) {
        let wall_clock_ms = self.environment.clock.wall_clock_ms();
        self.decisions
            .record(self.node_id(), wall_clock_ms, subject.into(), decision);
    }
}

/// Sends unsent decisions to the log, for ever.
pub(crate) async fn run(context: Arc<NodeContext>) {
    let interval = Duration::from_millis(context.settings.decision_flush_ms);
    loop {
        tokio::time::sleep(interval).await;
        flush(&context).await;
    }
}

/// Sends unsent decisions to the log once.
pub(crate) async fn flush(context: &NodeContext) {
    for (shard, records) in context.decisions.take_unsent() {
        send_shard(context, shard, records).await;
    }
}

async fn send_shard(context: &NodeContext, shard: u64, records: Vec<DecisionRecord>) {
    let payloads: Result<Vec<_>, _> = records
        .chunks(DECISIONS_PER_BATCH)
        .map(|chunk| codec::encode(&chunk))
        .collect();
    let Ok(payloads) = payloads else {
        log::error!("decisions cannot be encoded");
        return;
    };
    let appended = context
        .environment
        .log
        .append(&streams::decisions(shard), payloads)
        .await;
    if let Err(error) = appended {
        log::debug!("decisions not recorded yet: {error}");
        context.decisions.put_back(records);
    }
}

/// Everything known about a subject: from this node, the log and the nodes that still run.
pub(crate) async fn explain(context: &NodeContext, subject: &str) -> Vec<DecisionRecord> {
    let (mut found, recorded) =
        futures::join!(ask_members(context, subject), read_log(context, subject));
    found.extend(recorded);
    found.extend(context.decisions.about(subject));
    found.sort_by_key(|record| (record.wall_clock_ms, record.node, record.sequence));
    found.dedup_by_key(|record| (record.node, record.sequence));
    found
}

async fn ask_members(context: &NodeContext, subject: &str) -> Vec<DecisionRecord> {
    let own = context.node_id();
    let view = context.view();
    let asked = view
        .running()
        .filter(|member| member.identity.id != own)
        .map(|member| {
            let body = PeerRequestBody::Explain {
                subject: subject.to_owned(),
            };
            context.call(member.identity.id, body)
        });
    let answers = join_all(asked).await;
    answers
        .into_iter()
        .filter_map(|answer| match answer {
            Ok(PeerResponseBody::Decisions(records)) => Some(records),
            _ => None,
        })
        .flatten()
        .collect()
}

async fn read_log(context: &NodeContext, subject: &str) -> Vec<DecisionRecord> {
    let stream = streams::decisions(context.decisions.shard_of(subject));
    let log = &context.environment.log;
    let mut found = Vec::new();
    let Ok(at_end) = log
        .read(&stream, LogOffset(u64::MAX), 1, Duration::ZERO)
        .await
    else {
        return found;
    };
    let mut from = LogOffset(at_end.end.0.saturating_sub(BATCHES_SCANNED));
    while from < at_end.end {
        let Ok(batch) = log
            .read(&stream, from, BATCHES_PER_READ, Duration::ZERO)
            .await
        else {
            return found;
        };
        let Some(last) = batch.records.last() else {
            return found;
        };
        from = LogOffset(last.offset.0 + 1);
        for record in &batch.records {
            let decisions: Vec<DecisionRecord> = codec::decode(&record.payload).unwrap_or_default();
            found.extend(decisions.into_iter().filter(|one| one.subject == subject));
        }
    }
    found
}
