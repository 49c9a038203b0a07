//! Follows the configuration stream, from the log while it answers and from peers otherwise.

use std::sync::Arc;
use std::time::Duration;

use havenstage_config::ConfigEvent;
use havenstage_membership::MembershipInput;
use havenstage_types::codec;
use havenstage_types::config::ConfigSnapshot;
use havenstage_types::ids::{LogOffset, NodeId, streams};
use havenstage_types::peer::{PeerRequestBody, PeerResponseBody, RawRecord};

use crate::context::NodeContext;

/// Records asked of the log in one read.
const RECORDS_PER_READ: usize = 512;

/// Restores the last snapshot, then follows the log's configuration stream for ever.
pub(crate) async fn run(context: Arc<NodeContext>) {
    restore_snapshot(&context).await;
    // The first read does not wait: the node serves as soon as it knows the end.
    let mut wait = Duration::ZERO;
    loop {
        if follow_once(&context, wait).await.is_err() {
            tokio::time::sleep(context.settings.log_retry()).await;
        }
        wait = context.settings.log_wait();
    }
}

/// Asks peers that are ahead for what this node lacks.
pub(crate) async fn run_peer_catch_up(context: Arc<NodeContext>) {
    let Some(mut behind) = context.members.take_behind() else {
        return;
    };
    while let Some(peer) = behind.recv().await {
        catch_up_from(&context, peer).await;
    }
}

async fn restore_snapshot(context: &NodeContext) {
    match last_snapshot(context).await {
        Ok(Some(snapshot)) => {
            log::info!(through = snapshot.through.0; "configuration restored from a snapshot");
            context.config.restore(snapshot);
        }
        Ok(None) => {}
        Err(error) => log::warn!("no snapshot read: {error}"),
    }
}

/// The newest record of the snapshot stream, found through the stream's end.
async fn last_snapshot(
    context: &NodeContext,
) -> Result<Option<ConfigSnapshot>, havenstage_edge::log_service::LogError> {
    let stream = streams::config_snapshots();
    let log = &context.environment.log;
    let no_wait = Duration::ZERO;
    let end = log
        .read(&stream, LogOffset(u64::MAX), 1, no_wait)
        .await?
        .end;
    if end.0 == 0 {
        return Ok(None);
    }
    let batch = log.read(&stream, LogOffset(end.0 - 1), 1, no_wait).await?;
    let snapshot = batch
        .records
        .first()
        .and_then(|record| codec::decode(&record.payload).ok());
    Ok(snapshot)
}

async fn follow_once(
    context: &NodeContext,
    wait: Duration,
) -> Result<(), havenstage_edge::log_service::LogError> {
    let asked_at = context.now();
    let batch = context
        .environment
        .log
        .read(
            &streams::config(),
            context.config_offset(),
            RECORDS_PER_READ,
            wait,
        )
        .await?;
    apply_records(context, &batch.records).await;
    let word = MembershipInput::LogEndReport {
        asked_at,
        end: batch.end,
    };
    context.members.input(&context.environment, word).await;
    Ok(())
}

/// Applies records and tells membership how far the configuration now reaches.
async fn apply_records(context: &NodeContext, records: &[RawRecord]) {
    if records.is_empty() {
        return;
    }
    let events = context.config.apply(records);
    for event in &events {
        log_event(event);
    }
    report_applied(context).await;
}

async fn report_applied(context: &NodeContext) {
    let applied = MembershipInput::ConfigApplied(context.config_offset());
    context.members.input(&context.environment, applied).await;
}

fn log_event(event: &ConfigEvent) {
    match event {
        ConfigEvent::Put(key) => {
            log::info!(kind:% = key.kind, name = key.name.as_str(); "configuration applied");
        }
        ConfigEvent::Deleted(key) => {
            log::info!(kind:% = key.kind, name = key.name.as_str(); "configuration deleted");
        }
        ConfigEvent::Rejected(id) => log::info!(change = id.as_str(); "change rejected"),
        ConfigEvent::Members => log::debug!("member list applied"),
    }
}

async fn catch_up_from(context: &NodeContext, peer: NodeId) {
    loop {
        let from = context.config_offset();
        let body = PeerRequestBody::ConfigRecords { from };
        let Ok(PeerResponseBody::ConfigRecords { snapshot, records }) =
            context.call(peer, body).await
        else {
            return;
        };
        if let Some(snapshot) = snapshot {
            context.config.restore(snapshot);
        }
        context.config.apply(&records);
        if context.config_offset() == from {
            return;
        }
        report_applied(context).await;
    }
}
