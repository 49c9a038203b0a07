//! One partition on one node: the fold of its stream and, while the node is a member of the group
//! in force, the replica that runs ahead of it. No I/O.

use std::collections::BTreeMap;

use havenstage_ledger::FoldError;
use havenstage_ledger::claims::ClaimLedger;
use havenstage_replication::tender::{GroupTender, PartitionOverview, TendingStep};
use havenstage_replication::{
    BatchEnd, LogRead, ProposalAnswer, ProposalId, Replica, ReplicaAction, ReplicaInput,
    ReplicaSettings,
};
use havenstage_types::claim::{Claim, ClaimCommand, ClaimRecord, ClaimVerdict};
use havenstage_types::clock::Moment;
use havenstage_types::ids::{LogOffset, NodeId, Partition};
use havenstage_types::replica::{
    GroupMember, GroupRoute, ReplicaEnvelope, ReplicaGroup, ReplicaMessage,
};
use tokio::sync::oneshot;

/// Something to be done outside.
pub(super) enum Effect {
    /// Send a message to a member.
    Send(Box<ReplicaEnvelope<ClaimCommand>>),
    /// Append a batch to the stream.
    WriteBatch {
        generation: LogOffset,
        batch: u64,
        record: ClaimRecord,
    },
}

/// What a node that looks after a partition sees around it.
pub(super) struct Surroundings<'a> {
    pub(super) is_owner: bool,
    pub(super) present: &'a [NodeId],
    pub(super) candidates: Option<&'a [GroupMember]>,
    pub(super) log_confirmed_at: Option<Moment>,
}

/// Fold, replica and tender of one partition.
pub(super) struct PartitionState {
    partition: Partition,
    settings: ReplicaSettings,
    seed: u64,
    ledger: ClaimLedger,
    replica: Option<Replica<ClaimCommand>>,
    /// Newest group of which this process was a member. It is never hosted anew, since its memory
    /// would be gone.
    newest_hosted: Option<LogOffset>,
    tender: GroupTender,
    pending: BTreeMap<ProposalId, oneshot::Sender<ProposalAnswer>>,
    next_proposal: u64,
}

impl PartitionState {
    pub(super) fn new(partition: Partition, settings: ReplicaSettings, seed: u64) -> Self {
        Self {
            partition,
            settings,
            seed,
            ledger: ClaimLedger::default(),
            replica: None,
            newest_hosted: None,
            tender: GroupTender::default(),
            pending: BTreeMap::new(),
            next_proposal: 0,
        }
    }

    /// Offset of the next record of the stream.
    pub(super) fn next_offset(&self) -> LogOffset {
        self.ledger.next_offset()
    }

    /// Applies a record of the stream.
    pub(super) fn apply(&mut self, offset: LogOffset, record: &ClaimRecord) {
        match self.ledger.apply(offset, record) {
            // The rest of the records read is of no use any more: the stream is read anew.
            Ok(()) | Err(FoldError::Gap { .. }) => {}
            Err(error @ FoldError::AheadOfLog { .. }) => {
                log::warn!(partition = self.partition.0; "{error}, reading the stream anew");
                self.ledger = ClaimLedger::default();
                self.drop_replica();
            }
        }
    }

    /// Moves past a record that cannot be decoded.
    pub(super) fn skip(&mut self, offset: LogOffset) {
        // A gap is read anew, as in `apply`.
        let _ = self.ledger.skip(offset);
    }

    /// Records were applied, or the end of the stream was confirmed.
    pub(super) fn note_read(
        &mut self,
        id: NodeId,
        now: Moment,
        confirmed_at: Option<Moment>,
    ) -> Vec<Effect> {
        let mut effects = self.follow_group(id, now);
        let Some(group) = self.ledger.group() else {
            return effects;
        };
        let generation = group.generation;
        let read = LogRead {
            confirmed_at,
            logged: group.logged,
            logged_term: group.logged_term,
            outage_step: group.outage_step,
        };
        if self.hosted_generation() == Some(generation) {
            effects.extend(self.input(now, ReplicaInput::LogRead(read)));
        }
        effects
    }

    /// Drops a replica whose group was replaced, and hosts one if this node is a member now.
    fn follow_group(&mut self, id: NodeId, now: Moment) -> Vec<Effect> {
        let Some(group) = self.ledger.group().map(|group| group.description()) else {
            return Vec::new();
        };
        if self.hosted_generation() >= Some(group.generation) {
            return Vec::new();
        }
        self.drop_replica();
        let should_lead = group.members.first().map(|member| member.id) == Some(id);
        if self.host(id, now, group) && should_lead {
            return self.input(now, ReplicaInput::Demand);
        }
        Vec::new()
    }

    /// Creates a replica, at most once for each group.
    fn host(&mut self, id: NodeId, now: Moment, group: ReplicaGroup) -> bool {
        let generation = group.generation;
        if group.member(id).is_none() || self.newest_hosted >= Some(generation) {
            return false;
        }
        let seed = self.seed ^ generation.0;
        match Replica::new(self.settings.clone(), id, group, seed, now) {
            Ok(replica) => {
                self.newest_hosted = Some(generation);
                self.replica = Some(replica);
                true
            }
            Err(error) => {
                log::error!(partition = self.partition.0; "replica settings: {error}");
                false
            }
        }
    }

    /// Those who wait for an answer learn that there is none.
    fn drop_replica(&mut self) {
        self.replica = None;
        self.pending.clear();
    }

    fn hosted_generation(&self) -> Option<LogOffset> {
        let replica = self.replica.as_ref()?;
        Some(replica.group().generation)
    }

    /// Hosts the group if this node may; returns whether the named member is hosted here.
    fn hosts_member(
        &mut self,
        id: NodeId,
        now: Moment,
        group: &ReplicaGroup,
        member: NodeId,
    ) -> bool {
        if member == id && self.newest_hosted < Some(group.generation) {
            self.drop_replica();
            self.host(id, now, group.clone());
        }
        // A process that was declared dead has another identity but still this member's memory.
        self.replica.as_ref().is_some_and(|replica| {
            replica.id() == member && replica.group().generation == group.generation
        })
    }

    /// Takes a message of another member and returns the answers to it; `None` when the member
    /// meant is not here.
    pub(super) fn take_envelope(
        &mut self,
        id: NodeId,
        now: Moment,
        envelope: ReplicaEnvelope<ClaimCommand>,
    ) -> Option<(Vec<ReplicaMessage<ClaimCommand>>, Vec<Effect>)> {
        if !self.hosts_member(id, now, &envelope.group, envelope.to) {
            return None;
        }
        let from = envelope.from;
        let message = envelope.message;
        let effects = self.input(now, ReplicaInput::Message { from, message });
        let mut answers = Vec::new();
        let mut others = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send(envelope) if envelope.to == from => answers.push(envelope.message),
                other => others.push(other),
            }
        }
        Some((answers, others))
    }

    /// Takes what a member answered to a message.
    pub(super) fn take_answer(
        &mut self,
        now: Moment,
        generation: LogOffset,
        from: NodeId,
        message: ReplicaMessage<ClaimCommand>,
    ) -> Vec<Effect> {
        if self.hosted_generation() != Some(generation) {
            return Vec::new();
        }
        self.input(now, ReplicaInput::Message { from, message })
    }

    /// Leaves a group for good; `None` when the member meant is not here.
    pub(super) fn retire(
        &mut self,
        id: NodeId,
        now: Moment,
        group: &ReplicaGroup,
        member: NodeId,
    ) -> Option<(bool, Vec<Effect>)> {
        if !self.hosts_member(id, now, group, member) {
            return None;
        }
        let vouches = self.replica.as_mut()?.retire(now);
        Some((vouches, self.input(now, ReplicaInput::Tick)))
    }

    /// Proposes a command to the group.
    pub(super) fn propose(
        &mut self,
        now: Moment,
        command: ClaimCommand,
    ) -> (oneshot::Receiver<ProposalAnswer>, Vec<Effect>) {
        let (sender, receiver) = oneshot::channel();
        let proposal = ProposalId(self.next_proposal);
        self.next_proposal += 1;
        self.pending.insert(proposal, sender);
        let effects = self.input(now, ReplicaInput::Propose { proposal, command });
        (receiver, effects)
    }

    /// Somebody looks for the leader.
    pub(super) fn demand(&mut self, now: Moment) -> Vec<Effect> {
        self.input(now, ReplicaInput::Demand)
    }

    /// Whether this node leads the group.
    pub(super) fn is_leader(&self) -> bool {
        self.replica.as_ref().is_some_and(Replica::is_leader)
    }

    /// Whether this node is a member of the group, as far as it knows.
    pub(super) fn is_member(&self) -> bool {
        self.replica.is_some()
    }

    /// What the group holds about a claim.
    pub(super) fn verdict(&self, claim: &Claim) -> Option<ClaimVerdict> {
        self.ledger
            .verdict(&claim.key, claim.attempt, claim.fingerprint)
    }

    /// A verdict that needs no record. A grant always needs one, since what the fold holds may not
    /// be acknowledged yet.
    pub(super) fn known_verdict(&self, claim: &Claim) -> Option<ClaimVerdict> {
        let verdict = self.verdict(claim).filter(|_| self.is_leader());
        verdict.filter(|verdict| *verdict != ClaimVerdict::Granted)
    }

    /// Where claimants should go.
    pub(super) fn route(&self) -> Option<GroupRoute> {
        if let Some(replica) = &self.replica {
            return Some(GroupRoute {
                group: replica.group().clone(),
                leader: replica.leader().map(|leader| leader.id),
            });
        }
        let group = self.ledger.group()?;
        Some(GroupRoute {
            group: group.description(),
            leader: group.members.first().map(|member| member.id),
        })
    }

    pub(super) fn batch_ended(
        &mut self,
        now: Moment,
        generation: LogOffset,
        batch: u64,
        end: BatchEnd,
    ) -> Vec<Effect> {
        if self.hosted_generation() != Some(generation) {
            return Vec::new();
        }
        self.input(now, ReplicaInput::BatchEnded { batch, end })
    }

    pub(super) fn tick(&mut self, now: Moment) -> Vec<Effect> {
        self.input(now, ReplicaInput::Tick)
    }

    /// When [`Self::tick`] is wanted.
    pub(super) fn next_tick(&self, now: Moment) -> Option<Moment> {
        self.replica.as_ref()?.next_tick(now)
    }

    /// What should be done to look after the group.
    pub(super) fn tend(
        &mut self,
        now: Moment,
        surroundings: &Surroundings<'_>,
    ) -> Option<TendingStep> {
        let group = self.ledger.group().map(|group| group.description());
        let replica = self.replica.as_ref();
        let retired = replica.map(Replica::retired_members).unwrap_or_default();
        let present = surroundings.present.iter().copied();
        let present: Vec<NodeId> = present.filter(|member| !retired.contains(member)).collect();
        let overview = PartitionOverview {
            group: group.as_ref(),
            open_loss: self.ledger.open_loss(),
            is_doubted: self.ledger.group().is_some_and(|group| group.is_doubted),
            is_owner: surroundings.is_owner,
            is_member: replica.is_some(),
            is_leader: self.is_leader(),
            is_log_prompt: replica.is_some_and(|replica| replica.is_log_prompt(now)),
            log_confirmed_at: surroundings.log_confirmed_at,
            present: &present,
            candidates: surroundings.candidates,
        };
        self.tender.step(now, &self.settings, &overview)
    }

    /// Feeds the replica, if there is one.
    pub(super) fn input(&mut self, now: Moment, input: ReplicaInput<ClaimCommand>) -> Vec<Effect> {
        let Some(replica) = &mut self.replica else {
            return Vec::new();
        };
        let group = replica.group().clone();
        let from = replica.id();
        let actions = replica.handle(now, input);
        let performed = actions
            .into_iter()
            .filter_map(|action| self.perform(&group, from, action));
        performed.collect()
    }

    fn perform(
        &mut self,
        group: &ReplicaGroup,
        from: NodeId,
        action: ReplicaAction<ClaimCommand>,
    ) -> Option<Effect> {
        let generation = group.generation;
        match action {
            ReplicaAction::Send { to, message } => Some(Effect::Send(Box::new(ReplicaEnvelope {
                partition: self.partition,
                group: group.clone(),
                from,
                to,
                message,
            }))),
            ReplicaAction::Committed { index, entry } => {
                // An entry that the log already brought is not applied again.
                self.ledger.apply_entry(generation, index, &entry);
                None
            }
            ReplicaAction::WriteBatch {
                batch,
                first_index,
                entries,
            } => Some(Effect::WriteBatch {
                generation,
                batch,
                record: ClaimRecord::Batch {
                    generation,
                    first_index,
                    entries,
                },
            }),
            ReplicaAction::Answer { proposal, answer } => {
                if let Some(waiting) = self.pending.remove(&proposal) {
                    // Whoever asked may have stopped waiting.
                    let _ = waiting.send(answer);
                }
                None
            }
        }
    }
}
