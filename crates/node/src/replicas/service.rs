//! The partitions this node hosts.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use havenstage_membership::ownership;
use havenstage_types::ids::{NodeId, Partition};
use havenstage_types::peer::{PeerFailure, PeerResponseBody};
use havenstage_types::replica::{ReplicaEnvelope, ReplicaGroup};

use super::hosted::HostedPartition;
use super::partition::PartitionState;
use crate::context::NodeContext;
use crate::locks::lock;

/// Pause between two looks at which partitions should be hosted.
const HOSTING_INTERVAL: Duration = Duration::from_secs(1);

/// Hosts partitions and answers for them.
pub(crate) struct ReplicaService {
    pub(super) context: Arc<NodeContext>,
    partitions: Mutex<BTreeMap<Partition, PartitionSlot>>,
}

/// A partition's state, which is never dropped, since it remembers which groups this process must
/// not join again; and its tasks while it is hosted.
struct PartitionSlot {
    state: Arc<Mutex<PartitionState>>,
    hosted: Option<Arc<HostedPartition>>,
}

impl ReplicaService {
    pub(crate) fn new(context: Arc<NodeContext>) -> Arc<Self> {
        Arc::new(Self {
            context,
            partitions: Mutex::new(BTreeMap::new()),
        })
    }

    /// The partition if it is hosted, or hosted from now on because this node owns it.
    pub(super) fn hosted(&self, partition: Partition) -> Option<Arc<HostedPartition>> {
        let owns = self.owns(partition);
        let mut partitions = lock(&self.partitions);
        if owns {
            return Some(self.host(&mut partitions, partition));
        }
        partitions.get(&partition)?.hosted.clone()
    }

    fn host(
        &self,
        partitions: &mut BTreeMap<Partition, PartitionSlot>,
        partition: Partition,
    ) -> Arc<HostedPartition> {
        let slot = partitions
            .entry(partition)
            .or_insert_with(|| self.slot(partition));
        let state = &slot.state;
        let hosted = slot.hosted.get_or_insert_with(|| {
            HostedPartition::start(self.context.clone(), partition, state.clone())
        });
        hosted.clone()
    }

    fn slot(&self, partition: Partition) -> PartitionSlot {
        let settings = self.context.settings.replica_settings();
        let seed = self.context.next_seed();
        PartitionSlot {
            state: Arc::new(Mutex::new(PartitionState::new(partition, settings, seed))),
            hosted: None,
        }
    }

    pub(super) fn owns(&self, partition: Partition) -> bool {
        let view = self.context.view();
        ownership::owner_of_partition(&view, partition) == Some(self.context.node_id())
    }

    /// Takes a message of another member of a group.
    pub(crate) fn take_envelope(
        &self,
        envelope: ReplicaEnvelope<havenstage_types::claim::ClaimCommand>,
    ) -> PeerResponseBody {
        let id = self.context.node_id();
        let Some(hosted) = self.hosted_for_member(envelope.partition, envelope.to) else {
            return PeerResponseBody::Failed(PeerFailure::NotOwner);
        };
        let answers = hosted.act(|state, now| match state.take_envelope(id, now, envelope) {
            Some((answers, effects)) => (Some(answers), effects),
            None => (None, Vec::new()),
        });
        let not_here = PeerResponseBody::Failed(PeerFailure::NotOwner);
        answers.map_or(not_here, PeerResponseBody::Replica)
    }

    /// Leaves a group for good.
    pub(crate) fn retire(
        &self,
        partition: Partition,
        group: &ReplicaGroup,
        member: NodeId,
    ) -> PeerResponseBody {
        let id = self.context.node_id();
        let Some(hosted) = self.hosted_for_member(partition, member) else {
            return PeerResponseBody::Failed(PeerFailure::NotOwner);
        };
        let vouches = hosted.act(|state, now| match state.retire(id, now, group, member) {
            Some((vouches, effects)) => (Some(vouches), effects),
            None => (None, Vec::new()),
        });
        let not_here = PeerResponseBody::Failed(PeerFailure::NotOwner);
        vouches.map_or(not_here, |vouches| PeerResponseBody::ReplicaRetired {
            vouches,
        })
    }

    /// The partition for a message to one of its members. One that is meant for this node may be
    /// the first it hears of the group.
    fn hosted_for_member(
        &self,
        partition: Partition,
        member: NodeId,
    ) -> Option<Arc<HostedPartition>> {
        let mut partitions = lock(&self.partitions);
        if member == self.context.node_id() {
            return Some(self.host(&mut partitions, partition));
        }
        partitions.get(&partition)?.hosted.clone()
    }

    /// Whether this node is a member of any group.
    pub(crate) fn is_member(&self) -> bool {
        let partitions = lock(&self.partitions);
        let mut states = partitions.values().map(|slot| &slot.state);
        states.any(|state| lock(state).is_member())
    }

    /// Hosts what this node owns and stops hosting what it neither owns nor is a member of.
    fn adjust(&self) {
        let count = self.context.settings.partitions;
        for partition in (0..count).map(Partition) {
            let owns = self.owns(partition);
            let mut partitions = lock(&self.partitions);
            if owns {
                self.host(&mut partitions, partition);
                continue;
            }
            let Some(slot) = partitions.get_mut(&partition) else {
                continue;
            };
            let is_member = lock(&slot.state).is_member();
            if !is_member && let Some(hosted) = slot.hosted.take() {
                hosted.stop();
            }
        }
    }
}

/// Keeps to what the view says, for ever.
pub(crate) async fn run(service: Arc<ReplicaService>) {
    loop {
        service.adjust();
        tokio::time::sleep(HOSTING_INTERVAL).await;
    }
}
