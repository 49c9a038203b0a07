//! Answers claimants: proposes to the group if this node leads it, or says who may.

use std::sync::Arc;
use std::time::Duration;

use havenstage_membership::ownership;
use havenstage_replication::ProposalAnswer;
use havenstage_types::claim::{Claim, ClaimCommand, ClaimOutcome};
use havenstage_types::ids::{AttemptId, IdempotencyKey};
use havenstage_types::peer::{PeerFailure, PeerResponseBody};

use super::hosted::HostedPartition;
use super::service::ReplicaService;

/// Time a proposal may take to be agreed on.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether the group has the command, or else what to answer.
type Agreed = Result<(), PeerResponseBody>;

impl ReplicaService {
    /// Claims a key for an attempt and answers once the group has decided.
    pub(crate) async fn claim(&self, claim: Claim) -> PeerResponseBody {
        let Some(hosted) = self.hosted_for_key(&claim.key) else {
            return PeerResponseBody::Failed(PeerFailure::NotOwner);
        };
        if let Some(known) = hosted.with(|state| state.known_verdict(&claim)) {
            return PeerResponseBody::Claim(known);
        }
        if let Err(answer) = agree(&hosted, ClaimCommand::Claim(claim.clone())).await {
            return answer;
        }
        let verdict = hosted.with(|state| state.verdict(&claim));
        verdict.map_or_else(undecided, PeerResponseBody::Claim)
    }

    /// Records that an attempt was abandoned.
    pub(crate) async fn abandon(
        &self,
        key: IdempotencyKey,
        attempt: AttemptId,
    ) -> PeerResponseBody {
        let command = ClaimCommand::Abandon {
            key: key.clone(),
            attempt,
        };
        self.record(&key, command).await
    }

    /// Records what came of an attempt.
    pub(crate) async fn complete(
        &self,
        key: IdempotencyKey,
        attempt: AttemptId,
        outcome: ClaimOutcome,
    ) -> PeerResponseBody {
        let command = ClaimCommand::Outcome {
            key: key.clone(),
            attempt,
            outcome,
        };
        self.record(&key, command).await
    }

    async fn record(&self, key: &IdempotencyKey, command: ClaimCommand) -> PeerResponseBody {
        let Some(hosted) = self.hosted_for_key(key) else {
            return PeerResponseBody::Failed(PeerFailure::NotOwner);
        };
        match agree(&hosted, command).await {
            Ok(()) => PeerResponseBody::Done,
            Err(answer) => answer,
        }
    }

    fn hosted_for_key(&self, key: &IdempotencyKey) -> Option<Arc<HostedPartition>> {
        let partition = ownership::partition_of(key, self.context.settings.partitions);
        self.hosted(partition)
    }
}

/// Has the group agree on a command.
async fn agree(hosted: &Arc<HostedPartition>, command: ClaimCommand) -> Agreed {
    if !hosted.with(super::partition::PartitionState::is_leader) {
        return Err(redirect(hosted));
    }
    let answer = tokio::time::timeout(PROPOSAL_TIMEOUT, hosted.propose(command)).await;
    match answer {
        Ok(ProposalAnswer::Logged | ProposalAnswer::Replicated) => Ok(()),
        Ok(ProposalAnswer::NotLeader) => Err(redirect(hosted)),
        Ok(ProposalAnswer::Interrupted | ProposalAnswer::Sealed | ProposalAnswer::OverBudget)
        | Err(_) => Err(undecided()),
    }
}

/// Names the group, and makes sure that it has a leader.
fn redirect(hosted: &Arc<HostedPartition>) -> PeerResponseBody {
    hosted.act(|state, now| ((), state.demand(now)));
    let route = hosted.with(super::partition::PartitionState::route);
    route.map_or_else(undecided, PeerResponseBody::Route)
}

fn undecided() -> PeerResponseBody {
    PeerResponseBody::Failed(PeerFailure::LogAway)
}
