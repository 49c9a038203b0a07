//! Where a claimant finds a partition's group.

use std::collections::BTreeMap;

use havenstage_membership::ownership;
use havenstage_types::ids::{NodeId, Partition};
use havenstage_types::member::MembershipView;
use havenstage_types::replica::{GroupMember, GroupRoute};

/// Nodes that are asked in turn when no member of the group answers. The members are among the
/// first of the ranking as long as the view has not changed much since the group was formed.
const RANKS_ASKED: usize = 6;

/// Routes learned from answers.
#[derive(Default)]
pub(crate) struct GroupRoutes {
    known: BTreeMap<Partition, KnownRoute>,
    /// Where to go on in the ranking.
    next_rank: BTreeMap<Partition, usize>,
}

struct KnownRoute {
    route: GroupRoute,
    /// A leader that did not answer is not believed in again.
    failed_leader: Option<NodeId>,
    /// Members asked without success since the last one.
    failures: usize,
}

impl GroupRoutes {
    /// Whom to ask next.
    pub(crate) fn target(
        &mut self,
        view: &MembershipView,
        partition: Partition,
    ) -> Option<GroupMember> {
        if let Some(member) = self.known.get(&partition).and_then(KnownRoute::target) {
            return Some(member);
        }
        self.known.remove(&partition);
        let ranked = ownership::ranked_for_partition(view, partition);
        let asked = ranked.len().min(RANKS_ASKED);
        let rank = self.next_rank.entry(partition).or_default();
        let member = ranked.get(*rank % asked.max(1))?;
        Some(GroupMember {
            id: member.identity.id,
            zone: member.identity.zone.clone(),
            peer_address: member.identity.peer_address,
        })
    }

    /// A node named the group. Returns whether there is somebody new to ask at once.
    pub(crate) fn learn(&mut self, partition: Partition, route: GroupRoute) -> bool {
        let known = self.known.get(&partition);
        if known.is_some_and(|known| known.route.group.generation > route.group.generation) {
            return false;
        }
        let same_group =
            known.filter(|known| known.route.group.generation == route.group.generation);
        let failed_leader = same_group.and_then(|known| known.failed_leader);
        let failures = same_group.map_or(0, |known| known.failures);
        let is_new_leader = route.leader.is_some() && route.leader != failed_leader;
        let learned = KnownRoute {
            route,
            failed_leader,
            failures: if is_new_leader { 0 } else { failures + 1 },
        };
        self.known.insert(partition, learned);
        is_new_leader
    }

    /// The node asked did not answer or knew nothing.
    pub(crate) fn failed(&mut self, partition: Partition, asked: NodeId) {
        match self.known.get_mut(&partition) {
            Some(known) => {
                known.failures += 1;
                if known.route.leader == Some(asked) {
                    known.failed_leader = known.route.leader.take();
                }
            }
            None => *self.next_rank.entry(partition).or_default() += 1,
        }
    }

    /// The node asked has decided; it is the leader.
    pub(crate) fn succeeded(&mut self, partition: Partition, asked: NodeId) {
        self.next_rank.remove(&partition);
        if let Some(known) = self.known.get_mut(&partition) {
            known.route.leader = Some(asked);
            known.failed_leader = None;
            known.failures = 0;
        }
    }
}

impl KnownRoute {
    /// The leader, or else the members in turn, each twice before the route is given up.
    fn target(&self) -> Option<GroupMember> {
        let members = &self.route.group.members;
        let leader = self
            .route
            .leader
            .and_then(|leader| self.route.group.member(leader));
        if let Some(leader) = leader {
            return Some(leader.clone());
        }
        if self.failures > members.len() * 2 {
            return None;
        }
        members.get(self.failures % members.len().max(1)).cloned()
    }
}
