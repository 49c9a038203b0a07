//! Looks after a partition's group: forms the first one, replaces members that are gone, and
//! replaces a group that was lost.

use std::sync::Arc;
use std::time::Duration;

use havenstage_membership::ownership;
use havenstage_replication::ReplicaInput;
use havenstage_replication::group::choose_members;
use havenstage_replication::tender::TendingStep;
use havenstage_types::claim::ClaimRecord;
use havenstage_types::ids::NodeId;
use havenstage_types::peer::{PeerRequestBody, PeerResponseBody};
use havenstage_types::replica::{GroupMember, ReplicaEnvelope, ReplicaGroup, ReplicaMessage};

use super::hosted::HostedPartition;
use super::partition::Surroundings;

/// Times a member that seems to run is asked to leave its group before its silence is taken for an
/// answer.
const RETIRE_ROUNDS: u32 = 5;

/// Pause between two rounds.
const RETIRE_PAUSE: Duration = Duration::from_secs(1);

/// Looks once and does what is due.
pub(super) async fn tend(hosted: &Arc<HostedPartition>) {
    let context = &hosted.context;
    let view = context.view();
    let ranked = ownership::ranked_for_partition(&view, hosted.partition);
    let present: Vec<NodeId> = ranked.iter().map(|member| member.identity.id).collect();
    let candidates = choose_members(ranked.iter().copied());
    let is_owner = present.first() == Some(&context.node_id());
    let log_confirmed_at = hosted.log_confirmed_at();
    let step = hosted.act(|state, now| {
        let surroundings = Surroundings {
            is_owner,
            present: &present,
            candidates: candidates.as_deref(),
            log_confirmed_at,
        };
        (state.tend(now, &surroundings), Vec::new())
    });
    match step {
        None => {}
        Some(TendingStep::Form { members }) => {
            append_group(hosted, None, members, None).await;
        }
        Some(TendingStep::Demand) => {
            hosted.act(|state, now| ((), state.demand(now)));
        }
        Some(TendingStep::AnswerDoubt) => {
            hosted.act(|state, now| ((), state.input(now, ReplicaInput::Doubted)));
        }
        Some(TendingStep::Doubt { generation }) => {
            let record = ClaimRecord::GroupDoubted { generation };
            // Should it not arrive, the group is doubted again.
            let _ = hosted.append(&record).await;
        }
        Some(TendingStep::Replace { previous, members }) => {
            replace(hosted, &previous, members, &present).await;
        }
        Some(TendingStep::Seal { successor }) => {
            let seal = ReplicaInput::Seal { successor };
            hosted.act(|state, now| ((), state.input(now, seal)));
        }
        Some(TendingStep::SettleLoss { generation }) => {
            let settle = ReplicaInput::SettleLoss { generation };
            hosted.act(|state, now| ((), state.input(now, settle)));
        }
    }
}

/// Replaces a group whose majority is gone. Members that still answer, although the view holds
/// them dead, are counted first: a group with a majority is left alone.
async fn replace(
    hosted: &Arc<HostedPartition>,
    previous: &ReplicaGroup,
    members: Vec<GroupMember>,
    present: &[NodeId],
) {
    if count_answering(hosted, previous).await >= previous.majority() {
        return;
    }
    let vouched_by = retire_members(hosted, previous, present).await;
    log::warn!(
        partition = hosted.partition.0, generation = previous.generation.0,
        vouched = vouched_by.is_some();
        "replacing a group that lost its majority"
    );
    append_group(hosted, Some(previous), members, vouched_by).await;
}

async fn append_group(
    hosted: &HostedPartition,
    previous: Option<&ReplicaGroup>,
    members: Vec<GroupMember>,
    vouched_by: Option<NodeId>,
) {
    let record = ClaimRecord::GroupFormed {
        previous: previous.map(|previous| previous.generation),
        members,
        vouched_by,
    };
    // Whatever the answer, the next look at the stream shows whether the group was formed.
    let _ = hosted.append(&record).await;
}

async fn count_answering(hosted: &HostedPartition, group: &ReplicaGroup) -> usize {
    let asked = group.members.iter().map(|member| async move {
        let envelope = ReplicaEnvelope {
            partition: hosted.partition,
            group: group.clone(),
            from: member.id,
            to: member.id,
            message: ReplicaMessage::Wake,
        };
        let body = PeerRequestBody::Replica(Box::new(envelope));
        let timeout = hosted.context.settings.peer_timeout();
        let answer = hosted.context.call_member(member, body, timeout).await;
        matches!(answer, Ok(PeerResponseBody::Replica(_)))
    });
    let answers = futures::future::join_all(asked).await;
    answers.into_iter().filter(|answers| *answers).count()
}

/// Has the members that can be reached leave the group; returns one that vouches.
async fn retire_members(
    hosted: &HostedPartition,
    group: &ReplicaGroup,
    present: &[NodeId],
) -> Option<NodeId> {
    for _ in 0..RETIRE_ROUNDS {
        let asked = group
            .members
            .iter()
            .map(|member| retire(hosted, group, member));
        let answers = futures::future::join_all(asked).await;
        let answered = group.members.iter().zip(&answers);
        if let Some((member, _)) = answered
            .clone()
            .find(|(_, vouches)| **vouches == Some(true))
        {
            return Some(member.id);
        }
        let mut silent = answered.filter(|(_, vouches)| vouches.is_none());
        if !silent.any(|(member, _)| present.contains(&member.id)) {
            return None;
        }
        tokio::time::sleep(RETIRE_PAUSE).await;
    }
    None
}

/// Whether the member vouches; `None` when it does not answer.
async fn retire(
    hosted: &HostedPartition,
    group: &ReplicaGroup,
    member: &GroupMember,
) -> Option<bool> {
    let body = PeerRequestBody::RetireReplica {
        partition: hosted.partition,
        group: group.clone(),
        member: member.id,
    };
    let timeout = hosted.context.settings.peer_timeout();
    match hosted.context.call_member(member, body, timeout).await {
        Ok(PeerResponseBody::ReplicaRetired { vouches }) => Some(vouches),
        _ => None,
    }
}
