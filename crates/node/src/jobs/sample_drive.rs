//! The owner's side of one slot: assigns it to a node, waits, and assigns it again until the job's
//! stream has a sample for it.

use std::sync::Arc;
use std::time::Duration;

use havenstage_membership::ownership;
use havenstage_placement::retry::{Backoff, BackoffSettings};
use havenstage_types::decision::Decision;
use havenstage_types::ids::{LogOffset, NodeId, SampleId};
use havenstage_types::member::MemberState;
use havenstage_types::peer::{
    PeerRequestBody, PeerResponseBody, SampleAssignment, SampleEnd, SampleProgress,
};

use super::owner::OwnedJob;
use crate::context::NodeContext;
use crate::locks::lock;

/// Longest time one assignment is waited for; the node joins the run under way when asked again.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_secs(40 * 60);

/// Drives one slot of an owned job.
pub(super) struct SampleDrive {
    context: Arc<NodeContext>,
    owned: Arc<OwnedJob>,
}

impl SampleDrive {
    pub(super) fn new(context: Arc<NodeContext>, owned: Arc<OwnedJob>) -> Self {
        Self { context, owned }
    }

    /// Returns when the slot is filled.
    pub(super) async fn run(self, mut assignment: SampleAssignment) {
        let mut backoff = Backoff::new(BackoffSettings::default(), self.context.next_seed());
        while self.is_slot_open(&assignment.id) {
            match self.assign(assignment.clone()).await {
                Some(SampleEnd::Committed {
                    offset,
                    token_count,
                }) => {
                    lock(&self.owned.lengths).observe(assignment.prompt_index, token_count);
                    self.read_back(&assignment.id, offset).await;
                    assignment.progress = SampleProgress::default();
                    backoff.reset();
                }
                Some(SampleEnd::Suspended(progress)) => assignment.progress = progress,
                Some(SampleEnd::NotRunnable) | None => {}
            }
            if self.is_slot_open(&assignment.id) {
                tokio::time::sleep(backoff.next_delay()).await;
            }
        }
        lock(&self.owned.active).remove(&assignment.id);
        self.owned.slot_freed.notify_one();
    }

    /// Assigns the sample and waits for its end; `None` when the node was lost.
    async fn assign(&self, assignment: SampleAssignment) -> Option<SampleEnd> {
        let runner = ownership::runner_of_sample(&self.context.view(), &assignment.id)?;
        let body = PeerRequestBody::RunSample(Box::new(assignment));
        let call = self.context.call_within(runner, body, ASSIGNMENT_TIMEOUT);
        tokio::select! {
            biased;
            answer = call => match answer {
                Ok(PeerResponseBody::SampleEnded(end)) => Some(end),
                _ => None,
            },
            () = self.lost(runner) => None,
        }
    }

    /// Returns when the node is known to be dead.
    async fn lost(&self, node: NodeId) {
        let mut view = self.context.members.subscribe();
        // The sender lives as long as the node itself.
        let _ = view
            .wait_for(|view| {
                view.members
                    .get(&node)
                    .is_none_or(|member| member.state == MemberState::Dead)
            })
            .await;
    }

    /// Waits until the commit has been read back and records whether it counts.
    async fn read_back(&self, id: &SampleId, offset: LogOffset) {
        let follower = &self.owned.followed.follower;
        follower.reached(LogOffset(offset.0 + 1)).await;
        let attempt = follower.with(|fold| fold.ledger.filled_by(id.step, id.index));
        if let Some(attempt) = attempt {
            let decision = Decision::Committed { attempt };
            self.context.decide(id.to_string(), decision);
        }
    }

    fn is_slot_open(&self, id: &SampleId) -> bool {
        self.owned
            .followed
            .follower
            .with(|fold| fold.ledger.is_open(id.step, id.index))
    }
}
