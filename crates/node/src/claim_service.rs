//! The node's side of claims, by the store that decides them.

use std::sync::Arc;
use std::time::Duration;

use havenstage_types::claim::{Claim, ClaimOutcome};
use havenstage_types::ids::{AttemptId, IdempotencyKey};
use havenstage_types::peer::{PeerFailure, PeerRequestBody, PeerResponseBody};

use crate::claim_owner::{self, ClaimOwner};
use crate::context::NodeContext;
use crate::replicas::{self, ReplicaService};
use crate::settings::ClaimStore;

/// Pause between two looks at whether this node's groups have moved.
const LEAVE_POLL: Duration = Duration::from_millis(200);

/// Decides claims in the log, or in replica groups.
#[derive(Clone)]
pub(crate) enum ClaimService {
    Log(Arc<ClaimOwner>),
    Replicas(Arc<ReplicaService>),
}

impl ClaimService {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        match context.settings.claim_store {
            ClaimStore::Log => Self::Log(ClaimOwner::new(context)),
            ClaimStore::Replicas => Self::Replicas(ReplicaService::new(context)),
        }
    }

    pub(crate) async fn claim(&self, claim: Claim) -> PeerResponseBody {
        match self {
            Self::Log(owner) => owner.claim(claim).await,
            Self::Replicas(service) => service.claim(claim).await,
        }
    }

    pub(crate) async fn abandon(
        &self,
        key: IdempotencyKey,
        attempt: AttemptId,
    ) -> PeerResponseBody {
        match self {
            Self::Log(owner) => owner.abandon(key, attempt).await,
            Self::Replicas(service) => service.abandon(key, attempt).await,
        }
    }

    pub(crate) async fn complete(
        &self,
        key: IdempotencyKey,
        attempt: AttemptId,
        outcome: ClaimOutcome,
    ) -> PeerResponseBody {
        match self {
            Self::Log(owner) => owner.complete(key, attempt, outcome).await,
            Self::Replicas(service) => service.complete(key, attempt, outcome).await,
        }
    }

    /// Answers what only members of replica groups ask of each other.
    pub(crate) fn answer_member(&self, body: PeerRequestBody) -> PeerResponseBody {
        match (self, body) {
            (Self::Replicas(service), PeerRequestBody::Replica(envelope)) => {
                service.take_envelope(*envelope)
            }
            (
                Self::Replicas(service),
                PeerRequestBody::RetireReplica {
                    partition,
                    group,
                    member,
                },
            ) => service.retire(partition, &group, member),
            _ => PeerResponseBody::Failed(PeerFailure::NotOwner),
        }
    }

    /// Waits until this node, which is leaving, is a member of no group any more.
    pub(crate) async fn left_groups(&self) {
        let Self::Replicas(service) = self else {
            return;
        };
        while service.is_member() {
            tokio::time::sleep(LEAVE_POLL).await;
        }
    }
}

/// Keeps the service in step with the members, for ever.
pub(crate) async fn run(service: ClaimService) {
    match service {
        ClaimService::Log(owner) => claim_owner::run(owner).await,
        ClaimService::Replicas(service) => replicas::run(service).await,
    }
}
