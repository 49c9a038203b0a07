//! Decides when a partition gets its first group, another group, or its free keys back.

use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::ids::{LogOffset, NodeId};
use havenstage_types::replica::{GroupMember, ReplicaGroup};

use crate::settings::ReplicaSettings;

/// What one node knows of a partition.
#[derive(Debug, Clone)]
pub struct PartitionOverview<'a> {
    /// The group in force as the node has read the log.
    pub group: Option<&'a ReplicaGroup>,
    /// Generation whose forming revealed a loss that is not settled.
    pub open_loss: Option<LogOffset>,
    /// Whether the node owns the partition by its view.
    pub is_owner: bool,
    /// Whether the group is doubted in the log.
    pub is_doubted: bool,
    /// Whether the node is a member of the group.
    pub is_member: bool,
    /// Whether the node leads the group.
    pub is_leader: bool,
    /// Whether the log takes the group's entries without delay.
    pub is_log_prompt: bool,
    /// When the last read that reached the log's end was sent.
    pub log_confirmed_at: Option<Moment>,
    /// Members of the group that run and stay.
    pub present: &'a [NodeId],
    /// Members a new group should have; `None` when there are no nodes.
    pub candidates: Option<&'a [GroupMember]>,
}

/// What should be done for a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TendingStep {
    /// Append a record that forms the first group.
    Form {
        /// Members of the group.
        members: Vec<GroupMember>,
    },
    /// See to it that the group this node is a member of has a leader.
    Demand,
    /// Have the group that this node is a member of show in the log that it is alive.
    AnswerDoubt,
    /// Append a record that doubts the group.
    Doubt {
        /// Generation of the group.
        generation: LogOffset,
    },
    /// Have the members of the group that still answer leave it for good, and append a record that
    /// forms another; it names a member that vouches, or else says that records may be lost.
    Replace {
        /// Group to be replaced.
        previous: ReplicaGroup,
        /// Members of the new group.
        members: Vec<GroupMember>,
    },
    /// Have the group that this node leads hand over.
    Seal {
        /// Members of the next group.
        successor: Vec<GroupMember>,
    },
    /// Have the group that this node leads record that the loss is settled.
    SettleLoss {
        /// Generation whose forming revealed the loss.
        generation: LogOffset,
    },
}

/// Watches one partition on one node.
#[derive(Debug, Clone, Default)]
pub struct GroupTender {
    member_missing_since: Option<Moment>,
    majority_missing_since: Option<Moment>,
    doubted_since: Option<Moment>,
    /// When this node last doubted the group.
    doubted_at: Option<Moment>,
    /// The open loss and when this node first read of it, which is after it was recorded.
    loss_read: Option<(LogOffset, Moment)>,
}

impl GroupTender {
    /// Looks at the partition and says what should be done now.
    pub fn step(
        &mut self,
        now: Moment,
        settings: &ReplicaSettings,
        overview: &PartitionOverview<'_>,
    ) -> Option<TendingStep> {
        self.note_loss(now, overview.open_loss);
        let Some(group) = overview.group else {
            return first_group(now, settings, overview);
        };
        self.note_missing(now, group, overview.present);
        self.doubted_since = missing_since(self.doubted_since, !overview.is_doubted, now);
        self.settle_loss(now, settings, overview)
            .or_else(|| self.seal(now, settings, group, overview))
            .or_else(|| self.serve_group(now, settings, overview))
            .or_else(|| self.replace_lost(now, settings, group, overview))
    }

    fn note_loss(&mut self, now: Moment, open_loss: Option<LogOffset>) {
        let known = self.loss_read.map(|(generation, _)| generation);
        if known != open_loss {
            self.loss_read = open_loss.map(|generation| (generation, now));
        }
    }

    fn note_missing(&mut self, now: Moment, group: &ReplicaGroup, present: &[NodeId]) {
        let is_present = |member: &&GroupMember| present.contains(&member.id);
        let present_count = group.members.iter().filter(is_present).count();
        let is_whole = present_count == group.members.len();
        let has_majority = present_count >= group.majority();
        self.member_missing_since = missing_since(self.member_missing_since, is_whole, now);
        self.majority_missing_since = missing_since(self.majority_missing_since, has_majority, now);
    }

    fn settle_loss(
        &self,
        now: Moment,
        settings: &ReplicaSettings,
        overview: &PartitionOverview<'_>,
    ) -> Option<TendingStep> {
        let (generation, read_at) = self.loss_read?;
        let is_over = now >= read_at + settings.loss_window();
        (is_over && overview.is_leader).then_some(TendingStep::SettleLoss { generation })
    }

    /// Replaces missing members, and grows a group that is not full. A sealed group serves nobody
    /// until the log has taken its end, so it is sealed only while the log is prompt.
    fn seal(
        &self,
        now: Moment,
        settings: &ReplicaSettings,
        group: &ReplicaGroup,
        overview: &PartitionOverview<'_>,
    ) -> Option<TendingStep> {
        let candidates = overview.candidates?;
        let is_missing = has_lasted(self.member_missing_since, settings.replace_after, now);
        let can_replace = is_missing && candidates.len() >= group.members.len();
        let can_grow = candidates.len() > group.members.len();
        if !(can_replace || can_grow) || !overview.is_leader || !overview.is_log_prompt {
            return None;
        }
        let successor = candidates.to_vec();
        Some(TendingStep::Seal { successor })
    }

    /// A member answers doubts and, when another member is missing, sees to it that there is a
    /// leader to replace it.
    fn serve_group(
        &self,
        now: Moment,
        settings: &ReplicaSettings,
        overview: &PartitionOverview<'_>,
    ) -> Option<TendingStep> {
        if !overview.is_member || self.majority_missing_since.is_some() {
            return None;
        }
        if overview.is_doubted {
            return Some(TendingStep::AnswerDoubt);
        }
        let is_missing = has_lasted(self.member_missing_since, settings.replace_after, now);
        (is_missing && !overview.is_leader).then_some(TendingStep::Demand)
    }

    /// A node that cannot reach a majority may itself be the one that is cut off. So it first asks
    /// through the log, where a group that is alive can answer.
    fn replace_lost(
        &mut self,
        now: Moment,
        settings: &ReplicaSettings,
        group: &ReplicaGroup,
        overview: &PartitionOverview<'_>,
    ) -> Option<TendingStep> {
        let is_missing = has_lasted(self.majority_missing_since, settings.doubt_after, now);
        if !is_missing || !overview.is_owner || !is_log_near(now, settings, overview) {
            return None;
        }
        let members = overview.candidates?.to_vec();
        if !overview.is_doubted {
            return self.doubt(now, settings, group);
        }
        let is_lost = has_lasted(self.doubted_since, settings.lost_after, now);
        let previous = group.clone();
        is_lost.then_some(TendingStep::Replace { previous, members })
    }

    /// Doubts the group, but not again soon after it has answered.
    fn doubt(
        &mut self,
        now: Moment,
        settings: &ReplicaSettings,
        group: &ReplicaGroup,
    ) -> Option<TendingStep> {
        let pause = settings.doubt_after + settings.lost_after;
        if self.doubted_at.is_some_and(|at| now < at + pause) {
            return None;
        }
        self.doubted_at = Some(now);
        Some(TendingStep::Doubt {
            generation: group.generation,
        })
    }
}

fn first_group(
    now: Moment,
    settings: &ReplicaSettings,
    overview: &PartitionOverview<'_>,
) -> Option<TendingStep> {
    if !overview.is_owner || !is_log_near(now, settings, overview) {
        return None;
    }
    Some(TendingStep::Form {
        members: overview.candidates?.to_vec(),
    })
}

/// Whether the node has lately read the stream to its end.
fn is_log_near(now: Moment, settings: &ReplicaSettings, overview: &PartitionOverview<'_>) -> bool {
    let confirmed_at = overview.log_confirmed_at;
    confirmed_at.is_some_and(|at| now.since(at) <= settings.replace_after)
}

fn missing_since(since: Option<Moment>, is_there: bool, now: Moment) -> Option<Moment> {
    if is_there { None } else { since.or(Some(now)) }
}

fn has_lasted(since: Option<Moment>, duration: Duration, now: Moment) -> bool {
    since.is_some_and(|since| now >= since + duration)
}
