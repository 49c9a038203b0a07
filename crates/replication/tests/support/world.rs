//! The event loop: nodes, network, log and callers on one virtual clock.

use std::collections::{BTreeMap, BTreeSet};

use havenstage_replication::group::choose_members;
use havenstage_replication::{BatchEnd, Replica, ReplicaSettings};
use havenstage_types::claim::{ClaimCommand, ClaimRecord};
use havenstage_types::clock::Moment;
use havenstage_types::ids::{LogOffset, NodeId, Zone};
use havenstage_types::member::{Member, MemberIdentity, MemberState};
use havenstage_types::replica::{GroupMember, ReplicaEnvelope, ReplicaGroup};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::callers::{Ask, Caller, Next, Reply};
use super::checks::Facts;
use super::faults::Fault;
use super::log::{LogMode, TestLog};
use super::node::{Effect, TestNode};

const READ_BATCH: usize = 512;
const READ_PAUSE_MS: u64 = 100;
const TEND_MS: u64 = 1_000;
const ASK_TIMEOUT_MS: u64 = 1_500;
const APPEND_TIMEOUT_MS: u64 = 4_000;
const LATEST_APPEND_MS: u64 = 20_000;

/// Something that happens at a time.
enum Event {
    Tick(NodeId),
    Tend(NodeId),
    Read(NodeId),
    ReadAnswer {
        node: NodeId,
        sent_at: u64,
        records: Vec<(LogOffset, ClaimRecord)>,
        end: LogOffset,
    },
    ReadFailed(NodeId),
    Envelope(ReplicaEnvelope<ClaimCommand>),
    Append(ClaimRecord),
    BatchEnded {
        node: NodeId,
        batch: (LogOffset, u64),
        end: BatchEnd,
    },
    CallerAsks(usize),
    Ask {
        node: NodeId,
        caller: usize,
        ask: u64,
        what: Ask,
    },
    Reply {
        caller: usize,
        ask: u64,
        reply: Reply,
    },
    Fault(Fault),
}

pub struct World {
    pub now: u64,
    pub nodes: BTreeMap<NodeId, TestNode>,
    pub log: TestLog,
    pub callers: Vec<Caller>,
    pub facts: Facts,
    pub random: ChaCha8Rng,
    /// Pairs whose first cannot send to the second.
    pub cuts: BTreeSet<(NodeId, NodeId)>,
    /// Nodes that cannot reach the log.
    pub cut_from_log: BTreeSet<NodeId>,
    /// Nodes that are held up until a time.
    pub frozen: BTreeMap<NodeId, u64>,
    /// Callers whose process is held up until a time.
    pub frozen_callers: BTreeMap<usize, u64>,
    pub one_way_ms: u64,
    pub loss: f64,
    pub messages: u64,
    queue: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_node: u64,
    next_ticks: BTreeMap<NodeId, u64>,
    settings: ReplicaSettings,
}

impl World {
    /// `nodes_per_zone` nodes in each of three zones, the log up.
    pub fn new(seed: u64, nodes_per_zone: u64, settings: ReplicaSettings) -> Self {
        let mut world = Self {
            now: 0,
            nodes: BTreeMap::new(),
            log: TestLog::new(),
            callers: Vec::new(),
            facts: Facts::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            cuts: BTreeSet::new(),
            cut_from_log: BTreeSet::new(),
            frozen: BTreeMap::new(),
            frozen_callers: BTreeMap::new(),
            one_way_ms: 2,
            loss: 0.0,
            messages: 0,
            queue: BTreeMap::new(),
            next_event: 0,
            next_node: 1,
            next_ticks: BTreeMap::new(),
            settings,
        };
        for _ in 0..nodes_per_zone {
            for zone in 0..3 {
                world.start_node(zone);
            }
        }
        world
    }

    pub fn start_node(&mut self, zone: u64) -> NodeId {
        let id = NodeId(self.next_node);
        self.next_node += 1;
        let identity = MemberIdentity {
            id,
            name: format!("node-{id}"),
            zone: Zone::new(format!("zone-{zone}")),
            peer_address: ([127, 0, 0, 1], id.0 as u16).into(),
            http_address: ([127, 0, 0, 1], id.0 as u16).into(),
        };
        let member = Member {
            identity,
            state: MemberState::Alive,
            incarnation: 0,
            config_offset: LogOffset(0),
        };
        self.nodes
            .insert(id, TestNode::new(member, self.settings.clone()));
        self.at(self.now + 1, Event::Read(id));
        self.at(self.now + 100 + id.0, Event::Tend(id));
        id
    }

    pub fn add_caller(&mut self, at: u64, key: u64, crashes: bool) -> usize {
        let number = self.callers.len();
        let caller = Caller::new(number, key, at, crashes, self.settings.clone());
        self.callers.push(caller);
        self.at(at, Event::CallerAsks(number));
        number
    }

    pub fn schedule(&mut self, at: u64, fault: Fault) {
        self.at(at, Event::Fault(fault));
    }

    /// Runs until `end`.
    pub fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = self.now.max(at);
            self.take(event);
        }
        self.now = end;
    }

    fn at(&mut self, at: u64, event: Event) {
        self.queue.insert((at, self.next_event), event);
        self.next_event += 1;
    }

    fn take(&mut self, event: Event) {
        let node = match &event {
            Event::Tick(node) | Event::Tend(node) | Event::Read(node) => Some(*node),
            Event::ReadAnswer { node, .. } | Event::ReadFailed(node) => Some(*node),
            Event::BatchEnded { node, .. } | Event::Ask { node, .. } => Some(*node),
            Event::Envelope(envelope) => Some(envelope.to),
            _ => None,
        };
        let caller = match &event {
            Event::CallerAsks(caller) | Event::Reply { caller, .. } => Some(*caller),
            _ => None,
        };
        let node_until = node.and_then(|node| self.frozen.get(&node)).copied();
        let caller_until = caller.and_then(|caller| self.frozen_callers.get(&caller));
        let until = node_until.max(caller_until.copied());
        if let Some(until) = until.filter(|until| *until > self.now) {
            self.at(until, event);
            return;
        }
        match event {
            Event::Tick(node) => self.tick(node),
            Event::Tend(node) => self.tend(node),
            Event::Read(node) => self.read(node),
            Event::ReadAnswer {
                node,
                sent_at,
                records,
                end,
            } => {
                self.on_node(node, |node, now| {
                    node.take_read(now, Moment(sent_at), &records, end)
                });
                self.at(self.now + READ_PAUSE_MS, Event::Read(node));
            }
            Event::ReadFailed(node) => self.at(self.now + 200, Event::Read(node)),
            Event::Envelope(envelope) => {
                self.on_node(envelope.to, |node, now| node.take_envelope(now, envelope));
            }
            Event::Append(record) => self.log.append(self.now, record),
            Event::BatchEnded { node, batch, end } => {
                self.on_node(node, |node, now| node.batch_ended(now, batch, end));
            }
            Event::CallerAsks(caller) => self.caller_asks(caller),
            Event::Ask {
                node,
                caller,
                ask,
                what,
            } => {
                self.on_node(node, |node, now| node.take_ask(now, caller, ask, what));
            }
            Event::Reply { caller, ask, reply } => self.reply(caller, ask, reply),
            Event::Fault(fault) => fault.apply(self),
        }
    }

    fn on_node(&mut self, id: NodeId, act: impl FnOnce(&mut TestNode, Moment) -> Vec<Effect>) {
        let Some(mut node) = self.nodes.remove(&id) else {
            return;
        };
        let now = Moment(self.now);
        let effects = act(&mut node, now);
        let next_tick = node
            .replica
            .as_ref()
            .and_then(|replica| replica.next_tick(now));
        self.nodes.insert(id, node);
        for effect in effects {
            self.perform(id, effect);
        }
        if let Some(next_tick) = next_tick {
            self.schedule_tick(id, next_tick.0.max(self.now + 1));
        }
    }

    fn schedule_tick(&mut self, node: NodeId, at: u64) {
        let scheduled = self.next_ticks.get(&node).copied();
        if scheduled.is_some_and(|scheduled| scheduled > self.now && scheduled <= at) {
            return;
        }
        self.next_ticks.insert(node, at);
        self.at(at, Event::Tick(node));
    }

    fn perform(&mut self, from: NodeId, effect: Effect) {
        match effect {
            Effect::Send(envelope) => self.send(from, envelope),
            Effect::Append { batch, record } => self.append(from, batch, record),
            Effect::Reply { caller, ask, reply } => {
                let delay = self.delay();
                self.at(self.now + delay, Event::Reply { caller, ask, reply });
            }
            Effect::Replace { previous, members } => self.replace(from, &previous, members),
            Effect::Committed(generation, index, entry) => {
                self.facts.committed(generation, index, entry);
            }
        }
    }

    /// Has the members that answer leave their group, and forms another.
    fn replace(&mut self, from: NodeId, previous: &ReplicaGroup, members: Vec<GroupMember>) {
        let present = self.present_for(from);
        let mut vouched_by = None;
        for member in previous.members.iter().map(|member| member.id) {
            if !present.contains(&member) {
                continue;
            }
            let mut vouches = false;
            self.on_node(member, |node, now| {
                let (answer, effects) = node.retire(now, previous);
                vouches = answer;
                effects
            });
            if vouches {
                vouched_by = Some(member);
            }
        }
        let record = ClaimRecord::GroupFormed {
            previous: Some(previous.generation),
            members,
            vouched_by,
        };
        self.append(from, None, record);
    }

    fn delay(&mut self) -> u64 {
        let latest = self.one_way_ms * 2;
        self.random.random_range(self.one_way_ms..=latest)
    }

    fn send(&mut self, from: NodeId, envelope: ReplicaEnvelope<ClaimCommand>) {
        self.messages += 1;
        if self.cuts.contains(&(from, envelope.to)) || self.random.random_bool(self.loss) {
            return;
        }
        let delay = self.delay();
        if self.random.random_bool(self.loss) {
            let again = delay + self.random.random_range(0..2_000);
            self.at(self.now + again, Event::Envelope(envelope.clone()));
        }
        self.at(self.now + delay, Event::Envelope(envelope));
    }

    fn append(&mut self, from: NodeId, batch: Option<(LogOffset, u64)>, record: ClaimRecord) {
        let is_cut = self.cut_from_log.contains(&from);
        let mode = if is_cut { LogMode::Down } else { self.log.mode };
        let (arrives, answers) = match mode {
            LogMode::Up => (Some(5), Some(10)),
            LogMode::Down => (None, None),
            LogMode::Slow => (Some(1_900), Some(2_000)),
            LogMode::LosingAnswers => self.lossy_append(&record),
        };
        if let Some(after) = arrives {
            self.at(self.now + after, Event::Append(record));
        }
        let (after, end) = match answers {
            Some(after) => (after, BatchEnd::Taken),
            None => (APPEND_TIMEOUT_MS, BatchEnd::Failed),
        };
        if let Some(batch) = batch {
            let node = from;
            self.at(self.now + after, Event::BatchEnded { node, batch, end });
        }
    }

    /// An append that may take effect late, twice or never, and whose answer may be lost.
    fn lossy_append(&mut self, record: &ClaimRecord) -> (Option<u64>, Option<u64>) {
        let late = self.random.random_range(5..LATEST_APPEND_MS);
        match self.random.random_range(0..4) {
            0 => (Some(5), Some(10)),
            1 => (Some(5), None),
            2 => {
                self.at(self.now + late, Event::Append(record.clone()));
                (Some(5), None)
            }
            _ => (Some(late), None),
        }
    }

    fn read(&mut self, node: NodeId) {
        let Some(reader) = self.nodes.get(&node) else {
            return;
        };
        let from = reader.ledger.next_offset();
        let is_cut = self.cut_from_log.contains(&node);
        if is_cut || self.log.mode == LogMode::Down {
            self.at(self.now + 500, Event::ReadFailed(node));
            return;
        }
        let answer = Event::ReadAnswer {
            node,
            sent_at: self.now,
            records: self.log.read(from, READ_BATCH),
            end: self.log.end(),
        };
        self.at(self.now + 4, answer);
    }

    /// Ticks that were overtaken by an earlier one are ignored.
    fn tick(&mut self, node: NodeId) {
        let is_awaited = self.next_ticks.get(&node).is_some_and(|at| *at <= self.now);
        if is_awaited {
            self.next_ticks.remove(&node);
            self.on_node(node, |node, now| node.tick(now));
        }
    }

    fn tend(&mut self, id: NodeId) {
        if !self.nodes.contains_key(&id) {
            return;
        }
        self.at(self.now + TEND_MS, Event::Tend(id));
        let present = self.present_for(id);
        let is_owner = present.first() == Some(&id);
        let members = present.iter().filter_map(|other| self.nodes.get(other));
        let candidates = choose_members(members.map(|node| &node.member));
        self.on_node(id, |node, now| {
            node.tend(now, is_owner, &present, candidates.as_deref())
        });
    }

    /// Nodes that a node believes to run: those it can speak with.
    fn present_for(&self, id: NodeId) -> Vec<NodeId> {
        let speaks = |other: &NodeId| {
            let is_cut = self.cuts.contains(&(id, *other)) || self.cuts.contains(&(*other, id));
            !is_cut && !self.frozen.contains_key(other)
        };
        self.nodes
            .keys()
            .copied()
            .filter(|other| *other == id || speaks(other))
            .collect()
    }

    fn caller_asks(&mut self, number: usize) {
        let now = self.now;
        let Some((ask, what)) = self.callers[number].next_ask(now) else {
            return;
        };
        let hint = self.callers[number]
            .hint
            .filter(|hint| self.nodes.contains_key(hint));
        let target = hint.unwrap_or_else(|| self.any_node());
        let delay = self.delay();
        let node = target;
        let caller = number;
        self.at(
            now + delay,
            Event::Ask {
                node,
                caller,
                ask,
                what,
            },
        );
        let reply = Reply::Failed(None);
        self.at(now + ASK_TIMEOUT_MS, Event::Reply { caller, ask, reply });
    }

    fn any_node(&mut self) -> NodeId {
        let position = self.random.random_range(0..self.nodes.len());
        self.nodes.keys().nth(position).copied().unwrap()
    }

    fn reply(&mut self, number: usize, ask: u64, reply: Reply) {
        let caller = &mut self.callers[number];
        if caller.ask != ask || caller.has_ended() {
            return;
        }
        if let Reply::Recorded = reply {
            self.facts.acknowledged(caller);
        }
        // Later replies to the same ask are ignored.
        caller.ask += 1;
        let next = caller.take_reply(self.now, reply);
        if let Next::AskAgain { after } = next {
            self.at(self.now + after, Event::CallerAsks(number));
        }
    }

    /// The node that leads the newest group.
    pub fn leader(&self) -> Option<NodeId> {
        let leads = |node: &&TestNode| node.replica.as_ref().is_some_and(Replica::is_leader);
        let generation = |node: &&TestNode| {
            node.replica
                .as_ref()
                .map(|replica| replica.group().generation)
        };
        let leaders = self.nodes.values().filter(leads);
        leaders.max_by_key(generation).map(TestNode::id)
    }

    /// Members of the group that the leader belongs to, the leader first.
    pub fn group_members(&self) -> Vec<NodeId> {
        let Some(leader) = self.leader() else {
            return Vec::new();
        };
        let replica = self.nodes[&leader].replica.as_ref().unwrap();
        let members = replica.group().members.iter().map(|member| member.id);
        let others = members.filter(|member| *member != leader);
        std::iter::once(leader).chain(others).collect()
    }
}
