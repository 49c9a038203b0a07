//! One node: follows the stream, hosts at most one replica, answers callers.

use std::collections::BTreeMap;

use havenstage_ledger::FoldError;
use havenstage_ledger::claims::ClaimLedger;
use havenstage_replication::tender::{GroupTender, PartitionOverview, TendingStep};
use havenstage_replication::{
    LogRead, ProposalAnswer, ProposalId, Replica, ReplicaAction, ReplicaInput, ReplicaSettings,
};
use havenstage_types::claim::{ClaimCommand, ClaimRecord, ClaimVerdict};
use havenstage_types::clock::Moment;
use havenstage_types::ids::{EntryIndex, LogOffset, NodeId, Partition};
use havenstage_types::member::Member;
use havenstage_types::replica::{GroupMember, ReplicaEnvelope, ReplicaGroup, SequencedEntry};

use super::callers::{Ask, Reply};

/// Something a node wants from the world.
pub enum Effect {
    Send(ReplicaEnvelope<ClaimCommand>),
    Append {
        batch: Option<(LogOffset, u64)>,
        record: ClaimRecord,
    },
    Reply {
        caller: usize,
        ask: u64,
        reply: Reply,
    },
    Replace {
        previous: ReplicaGroup,
        members: Vec<GroupMember>,
    },
    Committed(LogOffset, EntryIndex, SequencedEntry<ClaimCommand>),
}

#[derive(Clone)]
struct PendingAsk {
    caller: usize,
    ask: u64,
    command: ClaimCommand,
}

pub struct TestNode {
    pub member: Member,
    pub ledger: ClaimLedger,
    pub replica: Option<Replica<ClaimCommand>>,
    pub confirmed_at: Option<Moment>,
    pub rebuilds: u32,
    newest_hosted: Option<LogOffset>,
    tender: GroupTender,
    pending: BTreeMap<ProposalId, PendingAsk>,
    next_proposal: u64,
    settings: ReplicaSettings,
}

impl TestNode {
    pub fn new(member: Member, settings: ReplicaSettings) -> Self {
        Self {
            member,
            ledger: ClaimLedger::default(),
            replica: None,
            confirmed_at: None,
            rebuilds: 0,
            newest_hosted: None,
            tender: GroupTender::default(),
            pending: BTreeMap::new(),
            next_proposal: 0,
            settings,
        }
    }

    pub fn id(&self) -> NodeId {
        self.member.identity.id
    }

    /// A read of the log that was sent at `sent_at` was answered.
    pub fn take_read(
        &mut self,
        now: Moment,
        sent_at: Moment,
        records: &[(LogOffset, ClaimRecord)],
        end: LogOffset,
    ) -> Vec<Effect> {
        for (offset, record) in records {
            match self.ledger.apply(*offset, record) {
                Ok(()) => {}
                Err(FoldError::AheadOfLog { .. }) => {
                    self.ledger = ClaimLedger::default();
                    self.rebuilds += 1;
                    return self.sync_replica(now);
                }
                Err(FoldError::Gap { .. }) => return Vec::new(),
            }
        }
        if self.ledger.next_offset() >= end {
            self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        }
        let mut effects = self.sync_replica(now);
        let Some(group) = self.ledger.group() else {
            return effects;
        };
        let read = LogRead {
            confirmed_at: self.confirmed_at,
            logged: group.logged,
            logged_term: group.logged_term,
            outage_step: group.outage_step,
        };
        let hosts_it = self
            .replica
            .as_ref()
            .is_some_and(|replica| replica.group().generation == group.generation);
        if hosts_it {
            effects.extend(self.input(now, ReplicaInput::LogRead(read)));
        }
        effects
    }

    /// Hosts the replica that the log says it should.
    fn sync_replica(&mut self, now: Moment) -> Vec<Effect> {
        let Some(group) = self.ledger.group().map(|group| group.description()) else {
            return Vec::new();
        };
        let hosted = self
            .replica
            .as_ref()
            .map(|replica| replica.group().generation);
        if hosted >= Some(group.generation) {
            return Vec::new();
        }
        let mut effects = self.drop_replica();
        let leads = group.members.first().map(|member| member.id) == Some(self.id());
        if self.host(now, group) && leads {
            effects.extend(self.input(now, ReplicaInput::Demand));
        }
        effects
    }

    /// Creates a replica, at most once for each group.
    fn host(&mut self, now: Moment, group: ReplicaGroup) -> bool {
        let generation = group.generation;
        if group.member(self.id()).is_none() || self.newest_hosted >= Some(generation) {
            return false;
        }
        self.newest_hosted = Some(generation);
        let seed = self.id().0 ^ (generation.0 << 16);
        let replica = Replica::new(self.settings.clone(), self.id(), group, seed, now);
        self.replica = Some(replica.unwrap());
        true
    }

    fn drop_replica(&mut self) -> Vec<Effect> {
        self.replica = None;
        let interrupted = std::mem::take(&mut self.pending);
        interrupted
            .into_values()
            .map(|ask| Effect::Reply {
                caller: ask.caller,
                ask: ask.ask,
                reply: Reply::Failed(None),
            })
            .collect()
    }

    pub fn take_envelope(
        &mut self,
        now: Moment,
        envelope: ReplicaEnvelope<ClaimCommand>,
    ) -> Vec<Effect> {
        if envelope.to != self.id() {
            return Vec::new();
        }
        let generation = envelope.group.generation;
        let mut effects = Vec::new();
        if self.newest_hosted < Some(generation) {
            effects = self.drop_replica();
            self.host(now, envelope.group);
        }
        let is_hosted = self
            .replica
            .as_ref()
            .is_some_and(|replica| replica.group().generation == generation);
        if is_hosted {
            let message = ReplicaInput::Message {
                from: envelope.from,
                message: envelope.message,
            };
            effects.extend(self.input(now, message));
        }
        effects
    }

    /// A caller asks for something to be recorded.
    pub fn take_ask(&mut self, now: Moment, caller: usize, ask: u64, what: Ask) -> Vec<Effect> {
        if let Some(known) = self.known_verdict(&what) {
            let reply = Reply::Verdict(known);
            return vec![Effect::Reply { caller, ask, reply }];
        }
        let leads = self.replica.as_ref().is_some_and(Replica::is_leader);
        if !leads {
            let reply = Reply::Failed(self.leader_hint());
            let mut effects = vec![Effect::Reply { caller, ask, reply }];
            if self.replica.is_some() {
                effects.extend(self.input(now, ReplicaInput::Demand));
            }
            return effects;
        }
        let proposal = ProposalId(self.next_proposal);
        self.next_proposal += 1;
        let command = what.command;
        let pending = PendingAsk {
            caller,
            ask,
            command: command.clone(),
        };
        self.pending.insert(proposal, pending);
        self.input(now, ReplicaInput::Propose { proposal, command })
    }

    /// A verdict that needs no record. A grant always needs one: what the fold holds may not be
    /// acknowledged yet.
    fn known_verdict(&self, what: &Ask) -> Option<ClaimVerdict> {
        let ClaimCommand::Claim(claim) = &what.command else {
            return None;
        };
        self.replica
            .as_ref()
            .filter(|replica| replica.is_leader())?;
        let verdict = self
            .ledger
            .verdict(&claim.key, claim.attempt, claim.fingerprint);
        verdict.filter(|verdict| *verdict != ClaimVerdict::Granted)
    }

    fn leader_hint(&self) -> Option<NodeId> {
        let leader = self.replica.as_ref().and_then(|replica| replica.leader());
        if let Some(leader) = leader {
            return Some(leader.id);
        }
        if self.replica.is_some() {
            return None;
        }
        let group = self.ledger.group()?;
        group.members.first().map(|member| member.id)
    }

    pub fn batch_ended(
        &mut self,
        now: Moment,
        batch: (LogOffset, u64),
        end: havenstage_replication::BatchEnd,
    ) -> Vec<Effect> {
        let (generation, batch) = batch;
        let hosted = self
            .replica
            .as_ref()
            .map(|replica| replica.group().generation);
        if hosted != Some(generation) {
            return Vec::new();
        }
        self.input(now, ReplicaInput::BatchEnded { batch, end })
    }

    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        if self.replica.is_none() {
            return Vec::new();
        }
        self.input(now, ReplicaInput::Tick)
    }

    /// Leaves a group for good; returns whether it vouches for it.
    pub fn retire(&mut self, now: Moment, group: &ReplicaGroup) -> (bool, Vec<Effect>) {
        let mut effects = Vec::new();
        if self.newest_hosted < Some(group.generation) {
            effects = self.drop_replica();
            self.host(now, group.clone());
        }
        let hosted = self.replica.as_mut();
        let replica = hosted.filter(|replica| replica.group().generation == group.generation);
        let vouches = replica.is_some_and(|replica| replica.retire(now));
        effects.extend(self.input(now, ReplicaInput::Tick));
        (vouches, effects)
    }

    /// Looks after the group; `present` are the nodes it believes to run.
    pub fn tend(
        &mut self,
        now: Moment,
        is_owner: bool,
        present: &[NodeId],
        candidates: Option<&[GroupMember]>,
    ) -> Vec<Effect> {
        let group = self.ledger.group().map(|group| group.description());
        let replica = self.replica.as_ref();
        let retired = replica.map(Replica::retired_members).unwrap_or_default();
        let present: Vec<NodeId> = present
            .iter()
            .copied()
            .filter(|member| !retired.contains(member))
            .collect();
        let overview = PartitionOverview {
            group: group.as_ref(),
            open_loss: self.ledger.open_loss(),
            is_doubted: self.ledger.group().is_some_and(|group| group.is_doubted),
            is_owner,
            is_member: replica.is_some(),
            is_leader: replica.is_some_and(Replica::is_leader),
            is_log_prompt: replica.is_some_and(|replica| replica.is_log_prompt(now)),
            log_confirmed_at: self.confirmed_at,
            present: &present,
            candidates,
        };
        match self.tender.step(now, &self.settings, &overview) {
            None => Vec::new(),
            Some(TendingStep::Form { members }) => {
                let record = ClaimRecord::GroupFormed {
                    previous: None,
                    members,
                    vouched_by: None,
                };
                vec![Effect::Append {
                    batch: None,
                    record,
                }]
            }
            Some(TendingStep::Demand) => self.input(now, ReplicaInput::Demand),
            Some(TendingStep::AnswerDoubt) => self.input(now, ReplicaInput::Doubted),
            Some(TendingStep::Doubt { generation }) => {
                let record = ClaimRecord::GroupDoubted { generation };
                vec![Effect::Append {
                    batch: None,
                    record,
                }]
            }
            Some(TendingStep::Replace { previous, members }) => {
                vec![Effect::Replace { previous, members }]
            }
            Some(TendingStep::Seal { successor }) => {
                self.input(now, ReplicaInput::Seal { successor })
            }
            Some(TendingStep::SettleLoss { generation }) => {
                self.input(now, ReplicaInput::SettleLoss { generation })
            }
        }
    }

    fn input(&mut self, now: Moment, input: ReplicaInput<ClaimCommand>) -> Vec<Effect> {
        let Some(replica) = &mut self.replica else {
            return Vec::new();
        };
        let group = replica.group().clone();
        let actions = replica.handle(now, input);
        actions
            .into_iter()
            .filter_map(|action| self.perform(&group, action))
            .collect()
    }

    fn perform(
        &mut self,
        group: &ReplicaGroup,
        action: ReplicaAction<ClaimCommand>,
    ) -> Option<Effect> {
        let generation = group.generation;
        match action {
            ReplicaAction::Send { to, message } => Some(Effect::Send(ReplicaEnvelope {
                partition: Partition(0),
                group: group.clone(),
                from: self.id(),
                to,
                message,
            })),
            ReplicaAction::Committed { index, entry } => {
                let is_next = self.ledger.apply_entry(generation, index, &entry);
                assert!(is_next, "entry {index} of {generation} is not the next one");
                Some(Effect::Committed(generation, index, entry))
            }
            ReplicaAction::WriteBatch {
                batch,
                first_index,
                entries,
            } => Some(Effect::Append {
                batch: Some((generation, batch)),
                record: ClaimRecord::Batch {
                    generation,
                    first_index,
                    entries,
                },
            }),
            ReplicaAction::Answer { proposal, answer } => self.answer(proposal, answer),
        }
    }

    fn answer(&mut self, proposal: ProposalId, answer: ProposalAnswer) -> Option<Effect> {
        let ask = self.pending.remove(&proposal)?;
        let reply = match answer {
            ProposalAnswer::Logged | ProposalAnswer::Replicated => self.accepted(&ask.command),
            _ => Reply::Failed(self.leader_hint()),
        };
        Some(Effect::Reply {
            caller: ask.caller,
            ask: ask.ask,
            reply,
        })
    }

    fn accepted(&self, command: &ClaimCommand) -> Reply {
        let ClaimCommand::Claim(claim) = command else {
            return Reply::Recorded;
        };
        let verdict = self
            .ledger
            .verdict(&claim.key, claim.attempt, claim.fingerprint);
        verdict.map_or(Reply::Failed(None), Reply::Verdict)
    }
}
