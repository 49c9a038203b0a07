//! Writes member lists and configuration snapshots to the log. One node does it at a time, chosen
//! by hashing; if two do, the fold keeps the first list and every snapshot is right.

use std::sync::Arc;
use std::time::Duration;

use havenstage_membership::ownership;
use havenstage_types::clock::Moment;
use havenstage_types::codec;
use havenstage_types::config::{ConfigRecord, MemberList};
use havenstage_types::ids::{LogOffset, streams};
use havenstage_types::member::MemberIdentity;

use crate::context::NodeContext;

/// Time between two looks at what is to be recorded.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Records what is due, for ever.
pub(crate) async fn run(context: Arc<NodeContext>) {
    let mut recorder = Recorder::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        recorder.check(&context).await;
    }
}

#[derive(Default)]
struct Recorder {
    candidate: Vec<MemberIdentity>,
    stable_since: Moment,
    last_snapshot: LogOffset,
}

impl Recorder {
    async fn check(&mut self, context: &NodeContext) {
        let view = context.view();
        let owners: Vec<MemberIdentity> = view
            .owners()
            .map(|member| member.identity.clone())
            .collect();
        let now = context.now();
        if owners != self.candidate {
            self.candidate = owners;
            self.stable_since = now;
        }
        if ownership::config_recorder(&view) != Some(context.node_id()) {
            return;
        }
        let required = Duration::from_millis(context.settings.member_list_after_ms);
        if now.since(self.stable_since) >= required {
            self.record_members(context).await;
        }
        self.record_snapshot(context).await;
    }

    async fn record_members(&self, context: &NodeContext) {
        let state = context.state();
        let current = state.members();
        // A node that has not heard the log's end might name members over a newer list.
        if current.members == self.candidate || context.check_dispatch_or_first(current).is_err() {
            return;
        }
        let list = MemberList {
            epoch: current.epoch + 1,
            members: self.candidate.clone(),
        };
        let Ok(payload) = codec::encode(&ConfigRecord::Members(list)) else {
            return;
        };
        let appended = context
            .environment
            .log
            .append(&streams::config(), vec![payload])
            .await;
        if let Err(error) = appended {
            log::warn!("member list not recorded: {error}");
        }
    }

    async fn record_snapshot(&mut self, context: &NodeContext) {
        let state = context.state();
        let reached = state.next_offset();
        if reached.0 < self.last_snapshot.0 + context.settings.snapshot_every {
            return;
        }
        let Ok(payload) = codec::encode(&state.snapshot()) else {
            return;
        };
        let appended = context
            .environment
            .log
            .append(&streams::config_snapshots(), vec![payload])
            .await;
        match appended {
            Ok(_) => self.last_snapshot = reached,
            Err(error) => log::warn!("snapshot not recorded: {error}"),
        }
    }
}

impl NodeContext {
    /// Like [`NodeContext::check_dispatch`], but the very first member list may be written by a
    /// node that has only heard the log.
    fn check_dispatch_or_first(
        &self,
        current: &MemberList,
    ) -> Result<(), havenstage_types::refusal::RefusalReason> {
        if current.epoch == 0 {
            return Ok(());
        }
        self.check_dispatch()
    }
}
