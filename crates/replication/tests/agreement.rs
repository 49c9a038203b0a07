//! Three members whose clocks run apart and whose messages are lost, doubled and reordered at will
//! never commit two entries at one index.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use havenstage_replication::{BatchEnd, LogRead, ProposalId, Replica, ReplicaAction, ReplicaInput};
use havenstage_types::claim::ClaimCommand;
use havenstage_types::clock::Moment;
use havenstage_types::ids::{AttemptId, EntryIndex, IdempotencyKey, LogOffset, NodeId, Term, Zone};
use havenstage_types::replica::{
    AppendEntries, AppendReply, AppendResult, EntryPayload, GroupMember, OutageStep, ReplicaGroup,
    ReplicaMessage, SequenceEnd, SequencedEntry,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

type Member = Replica<ClaimCommand>;
type Message = ReplicaMessage<ClaimCommand>;

const RUNS: u64 = 400;
const STEPS: usize = 1_500;

fn group() -> ReplicaGroup {
    let members = (1..=3).map(|id| GroupMember {
        id: NodeId(id),
        zone: Zone(format!("zone-{id}")),
        peer_address: ([127, 0, 0, 1], id as u16).into(),
    });
    ReplicaGroup {
        generation: LogOffset(0),
        members: members.collect(),
    }
}

fn member(id: u64, seed: u64) -> Member {
    let mut member = Replica::new(
        support::settings(),
        NodeId(id),
        group(),
        seed + id,
        Moment(0),
    )
    .unwrap();
    member.handle(Moment(0), empty_log());
    member
}

fn empty_log() -> ReplicaInput<ClaimCommand> {
    ReplicaInput::LogRead(LogRead {
        confirmed_at: Some(Moment(0)),
        logged: EntryIndex(0),
        logged_term: Term(0),
        outage_step: None,
    })
}

fn command(number: u64) -> ClaimCommand {
    ClaimCommand::Abandon {
        key: IdempotencyKey::new("key"),
        attempt: AttemptId {
            node: NodeId(9),
            sequence: number,
        },
    }
}

struct Cluster {
    random: ChaCha8Rng,
    members: BTreeMap<NodeId, (Member, Moment)>,
    in_flight: VecDeque<(NodeId, NodeId, Message)>,
    committed: BTreeMap<EntryIndex, SequencedEntry<ClaimCommand>>,
    leaders: BTreeMap<Term, NodeId>,
    proposals: u64,
}

impl Cluster {
    fn new(seed: u64) -> Self {
        let members = (1..=3).map(|id| (NodeId(id), (member(id, seed), Moment(0))));
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            members: members.collect(),
            in_flight: VecDeque::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            proposals: 0,
        }
    }

    fn step(&mut self) {
        let id = NodeId(self.random.random_range(1..=3));
        match self.random.random_range(0..20) {
            0 => self.pass_time(id, 3_000),
            1 | 2 => self.pass_time(id, 400),
            3 => self.input(id, ReplicaInput::Demand),
            4..=6 => {
                self.proposals += 1;
                let proposal = ProposalId(self.proposals);
                let command = command(self.proposals);
                self.input(id, ReplicaInput::Propose { proposal, command });
            }
            7 => {
                let position = self.random.random_range(0..=self.in_flight.len());
                self.in_flight.remove(position);
            }
            _ => self.deliver(),
        }
    }

    fn pass_time(&mut self, id: NodeId, longest_ms: u64) {
        let passed = Duration::from_millis(self.random.random_range(0..longest_ms));
        if let Some((_, now)) = self.members.get_mut(&id) {
            *now = *now + passed;
        }
        self.input(id, ReplicaInput::Tick);
    }

    fn deliver(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let is_in_order = self.random.random_bool(0.7);
        let latest = if is_in_order { 1 } else { self.in_flight.len() };
        let position = self.random.random_range(0..latest);
        let (from, to, message) = self.in_flight[position].clone();
        if self.random.random_bool(0.9) {
            self.in_flight.remove(position);
        }
        self.input(to, ReplicaInput::Message { from, message });
    }

    fn input(&mut self, id: NodeId, input: ReplicaInput<ClaimCommand>) {
        let (member, now) = self.members.get_mut(&id).unwrap();
        for action in member.handle(*now, input) {
            match action {
                ReplicaAction::Send { to, message } => {
                    self.note_leader(id, &message);
                    self.in_flight.push_back((id, to, message));
                }
                ReplicaAction::Committed { index, entry } => {
                    let known = self.committed.entry(index).or_insert(entry.clone());
                    assert_eq!(*known, entry, "two entries committed at {index}");
                }
                _ => {}
            }
        }
    }

    fn note_leader(&mut self, id: NodeId, message: &Message) {
        if let ReplicaMessage::Append(append) = message {
            let leader = self.leaders.entry(append.term).or_insert(id);
            assert_eq!(*leader, id, "two leaders in term {}", append.term);
        }
    }
}

#[test]
fn no_two_entries_are_committed_at_one_index() {
    let mut committed = 0;
    let mut terms = 0;
    for seed in 0..RUNS {
        let mut cluster = Cluster::new(seed);
        for _ in 0..STEPS {
            cluster.step();
        }
        committed += cluster.committed.len();
        terms += cluster.leaders.len();
    }
    assert!(
        committed > 10_000,
        "only {committed} entries were committed"
    );
    assert!(terms > 1_000, "only {terms} terms had a leader");
}

fn answers(member: &mut Member, from: u64, message: Message) -> Vec<Message> {
    let from = NodeId(from);
    let actions = member.handle(Moment(0), ReplicaInput::Message { from, message });
    let sent = actions.into_iter().filter_map(|action| match action {
        ReplicaAction::Send { to, message } if to == from => Some(message),
        _ => None,
    });
    sent.collect()
}

fn end(term: u64, index: u64) -> SequenceEnd {
    SequenceEnd {
        term: Term(term),
        index: EntryIndex(index),
    }
}

fn vote(term: u64, end: SequenceEnd) -> Message {
    let term = Term(term);
    ReplicaMessage::Vote { term, end }
}

fn is_granted(member: &mut Member, from: u64, message: Message) -> bool {
    let answers = answers(member, from, message);
    let [ReplicaMessage::VoteReply { granted, .. }] = answers[..] else {
        panic!("not one vote: {answers:?}");
    };
    granted
}

fn append(term: u64, previous: SequenceEnd, entries: &[u64]) -> Message {
    let entries = entries.iter().map(|entry_term| SequencedEntry {
        term: Term(*entry_term),
        payload: EntryPayload::TermStart,
    });
    ReplicaMessage::Append(AppendEntries {
        term: Term(term),
        round: 0,
        previous,
        entries: entries.collect(),
        committed: EntryIndex(0),
        logged: EntryIndex(0),
    })
}

fn append_result(member: &mut Member, from: u64, message: Message) -> AppendResult {
    let answers = answers(member, from, message);
    let [ReplicaMessage::AppendReply(reply)] = &answers[..] else {
        panic!("not one reply: {answers:?}");
    };
    reply.result
}

#[test]
fn a_member_votes_once_in_a_term() {
    let mut member = member(1, 0);
    assert!(is_granted(&mut member, 2, vote(1, end(0, 0))));
    assert!(is_granted(&mut member, 2, vote(1, end(0, 0))));
    assert!(!is_granted(&mut member, 3, vote(1, end(0, 0))));
    assert!(is_granted(&mut member, 3, vote(2, end(0, 0))));
}

#[test]
fn a_member_votes_only_for_a_sequence_as_complete_as_its_own() {
    let mut member = member(1, 0);
    append_result(&mut member, 2, append(2, end(0, 0), &[1, 2]));
    assert!(!is_granted(&mut member, 3, vote(3, end(2, 1))));
    assert!(!is_granted(&mut member, 3, vote(4, end(1, 9))));
    assert!(is_granted(&mut member, 3, vote(5, end(2, 2))));
}

#[test]
fn entries_must_follow_what_the_member_has() {
    let mut member = member(1, 0);
    let missing = append_result(&mut member, 2, append(1, end(1, 3), &[1]));
    assert_eq!(missing, AppendResult::Mismatch(EntryIndex(0)));
    let taken = append_result(&mut member, 2, append(1, end(0, 0), &[1, 1, 1]));
    assert_eq!(taken, AppendResult::Matched(EntryIndex(3)));
    let other_term = append_result(&mut member, 3, append(3, end(2, 3), &[3]));
    assert_eq!(other_term, AppendResult::Mismatch(EntryIndex(0)));
    let overwritten = append_result(&mut member, 3, append(3, end(1, 1), &[3]));
    assert_eq!(overwritten, AppendResult::Matched(EntryIndex(2)));
}

#[test]
fn a_leader_of_an_earlier_term_is_refused() {
    let mut member = member(1, 0);
    append_result(&mut member, 2, append(2, end(0, 0), &[2]));
    let stale = append_result(&mut member, 3, append(1, end(0, 0), &[1]));
    assert_eq!(stale, AppendResult::StaleTerm);
}

#[test]
fn a_member_that_left_takes_nothing_more() {
    let mut untouched = member(1, 0);
    assert!(untouched.retire(Moment(0)));
    let left = answers(&mut untouched, 2, append(1, end(0, 0), &[1]));
    assert_eq!(left, [ReplicaMessage::Retired]);
    let vote = answers(&mut untouched, 2, vote(9, end(9, 9)));
    assert_eq!(vote, [ReplicaMessage::Retired]);
}

#[test]
fn the_end_of_an_outage_counts_only_once_the_log_has_it() {
    let steps = [OutageStep::Begun, OutageStep::Agreed, OutageStep::Ended];
    let entries = steps.map(|step| SequencedEntry {
        term: Term(1),
        payload: EntryPayload::Outage(step),
    });
    let outage = ReplicaMessage::Append(AppendEntries {
        term: Term(1),
        round: 0,
        previous: end(0, 0),
        entries: entries.to_vec(),
        committed: EntryIndex(3),
        logged: EntryIndex(0),
    });
    let mut unlogged = member(1, 0);
    answers(&mut unlogged, 2, outage.clone());
    assert!(!unlogged.clone().retire(Moment(0)));
    let read = |logged, step| {
        ReplicaInput::LogRead(LogRead {
            confirmed_at: None,
            logged: EntryIndex(logged),
            logged_term: Term(1),
            outage_step: Some(step),
        })
    };
    unlogged.handle(Moment(0), read(2, OutageStep::Agreed));
    assert!(!unlogged.clone().retire(Moment(0)));
    unlogged.handle(Moment(0), read(3, OutageStep::Ended));
    assert!(unlogged.retire(Moment(0)));
}

#[test]
fn a_member_that_hears_a_leader_would_not_vote_for_another() {
    let mut member = member(1, 0);
    append_result(&mut member, 2, append(1, end(0, 0), &[1]));
    let pre_vote = ReplicaMessage::PreVote {
        term: Term(2),
        end: end(1, 1),
    };
    let answers = answers(&mut member, 3, pre_vote);
    let [ReplicaMessage::PreVoteReply { granted, .. }] = answers[..] else {
        panic!("not one reply: {answers:?}");
    };
    assert!(!granted);
}

#[test]
fn a_member_that_has_not_read_the_log_does_not_stand_for_election() {
    let settings = support::settings();
    let mut member: Member = Replica::new(settings, NodeId(1), group(), 0, Moment(0)).unwrap();
    member.handle(Moment(0), ReplicaInput::Demand);
    let actions = member.handle(Moment(4_000), ReplicaInput::Tick);
    assert_eq!(actions, []);
    member.handle(Moment(4_000), empty_log());
    member.handle(Moment(4_000), ReplicaInput::Demand);
    let actions = member.handle(Moment(8_000), ReplicaInput::Tick);
    assert_eq!(actions.len(), 2, "{actions:?}");
}

/// A follower that knows one committed entry, and what it does at a time.
fn orphan() -> Member {
    let mut member = member(1, 0);
    let committed = ReplicaMessage::Append(AppendEntries {
        term: Term(1),
        round: 0,
        previous: end(0, 0),
        entries: vec![SequencedEntry {
            term: Term(1),
            payload: EntryPayload::TermStart,
        }],
        committed: EntryIndex(1),
        logged: EntryIndex(0),
    });
    answers(&mut member, 2, committed);
    member
}

fn batch_at(member: &mut Member, at: u64) -> Option<u64> {
    let actions = member.handle(Moment(at), ReplicaInput::Tick);
    actions.into_iter().find_map(|action| match action {
        ReplicaAction::WriteBatch { batch, .. } => Some(batch),
        _ => None,
    })
}

#[test]
fn a_member_without_a_leader_flushes_what_it_knows_to_be_committed() {
    let mut member = orphan();
    assert_eq!(batch_at(&mut member, 9_000), None);
    assert!(batch_at(&mut member, 10_000).is_some());
}

#[test]
fn failed_appends_are_repeated_ever_more_rarely() {
    let mut member = orphan();
    let mut now = 10_000;
    let mut waits = Vec::new();
    for _ in 0..8 {
        let failed_at = now;
        let mut batch = batch_at(&mut member, now);
        while batch.is_none() && now < 100_000 {
            now += 10;
            batch = batch_at(&mut member, now);
        }
        let batch = batch.unwrap();
        waits.push(now - failed_at);
        let end = BatchEnd::Failed;
        member.handle(Moment(now), ReplicaInput::BatchEnded { batch, end });
    }
    assert!(waits[1] >= 125, "{waits:?}");
    assert!(waits[7] >= 2_500, "{waits:?}");
    assert!(waits.iter().all(|wait| *wait <= 5_010), "{waits:?}");
}

fn reply(term: u64, round: u64, matched: u64) -> Message {
    ReplicaMessage::AppendReply(AppendReply {
        term: Term(term),
        round,
        result: AppendResult::Matched(EntryIndex(matched)),
        logged: EntryIndex(0),
    })
}

fn committed_by(member: &mut Member, message: Message) -> Vec<EntryIndex> {
    let from = NodeId(2);
    let actions = member.handle(Moment(9_000), ReplicaInput::Message { from, message });
    let committed = actions.into_iter().filter_map(|action| match action {
        ReplicaAction::Committed { index, .. } => Some(index),
        _ => None,
    });
    committed.collect()
}

#[test]
fn entries_of_earlier_terms_are_committed_only_with_one_of_the_leaders_own() {
    let mut member = member(1, 0);
    append_result(&mut member, 2, append(1, end(0, 0), &[1]));
    member.handle(Moment(9_000), ReplicaInput::Tick);
    let term = Term(2);
    let granted = true;
    committed_by(&mut member, ReplicaMessage::PreVoteReply { term, granted });
    committed_by(&mut member, ReplicaMessage::VoteReply { term, granted });
    assert!(member.is_leader());
    assert_eq!(committed_by(&mut member, reply(2, 0, 1)), []);
    let both = [EntryIndex(1), EntryIndex(2)];
    assert_eq!(committed_by(&mut member, reply(2, 1, 2)), both);
}
