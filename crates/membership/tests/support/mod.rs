//! In-memory network of members with a virtual clock, seeded loss and delay, network partitions and
//! suspended processes.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use havenstage_membership::{Membership, MembershipAction, MembershipInput, MembershipSettings};
use havenstage_types::clock::Moment;
use havenstage_types::config::MemberList;
use havenstage_types::gossip::{GossipBody, GossipPacket, MemberUpdate};
use havenstage_types::ids::{LogOffset, NodeId, Zone};
use havenstage_types::member::{MemberIdentity, MemberState};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const ZONES: [&str; 3] = ["bilbao-a", "bilbao-b", "oviedo-c"];

/// Index of a node in the network, in order of its start.
pub type Index = usize;

pub struct Node {
    pub membership: Membership,
    pub identity: MemberIdentity,
    pub running: bool,
    pub suspended_until: Option<Moment>,
    pub declared_dead_at: Option<Moment>,
    pub behind_reports: Vec<(Moment, NodeId)>,
    pub bytes_sent: u64,
    pub packets_sent: u64,
    /// Address to which the node sent its last join request.
    last_join_address: Option<SocketAddr>,
    /// Inputs that arrived while the process was suspended.
    backlog: Vec<MembershipInput>,
}

enum Event {
    Tick(Index),
    Packet(Index, SocketAddr, GossipPacket),
}

pub struct Network {
    pub now: Moment,
    pub nodes: Vec<Node>,
    pub loss: f64,
    /// Zones without a connection to any other zone.
    pub isolated_zones: BTreeSet<String>,
    /// Nodes that can reach the log, and the log's end; `None` if no node can.
    pub log: Option<(BTreeSet<Index>, LogOffset)>,
    settings: MembershipSettings,
    rng: ChaCha8Rng,
    addresses: BTreeMap<SocketAddr, Index>,
    events: BTreeMap<(Moment, u64), Event>,
    event_count: u64,
}

impl Network {
    pub fn new(seed: u64) -> Self {
        let settings = MembershipSettings::default();
        settings.validate().expect("the default settings are valid");
        Self {
            now: Moment(0),
            nodes: Vec::new(),
            loss: 0.0,
            isolated_zones: BTreeSet::new(),
            log: None,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            addresses: BTreeMap::new(),
            events: BTreeMap::new(),
            event_count: 0,
        }
    }

    /// Creates a network in which `count` nodes have discovered each other.
    pub fn converged(count: usize, seed: u64) -> Self {
        let mut network = Self::new(seed);
        network.log = Some(((0..count).collect(), LogOffset(0)));
        for _ in 0..count {
            network.start();
        }
        network.run_until("all members known", Duration::from_secs(60), |network| {
            network.agrees_on_all()
        });
        network.run_for(Duration::from_secs(20));
        network
    }

    /// Creates a network whose nodes get the member list directly, which saves a large network the
    /// time of discovery.
    pub fn with_known_members(count: usize, seed: u64) -> Self {
        let mut network = Self::new(seed);
        network.log = Some(((0..count).collect(), LogOffset(0)));
        for _ in 0..count {
            network.start();
        }
        for index in 0..count {
            network.deliver_member_list(index);
        }
        network.run_for(Duration::from_secs(20));
        assert!(network.agrees_on_all());
        network
    }

    fn deliver_member_list(&mut self, index: Index) {
        let identities = self.nodes.iter().map(|node| node.identity.clone());
        let alive = identities.map(|identity| MemberUpdate {
            identity,
            state: MemberState::Alive,
            incarnation: 0,
            config_offset: LogOffset(0),
        });
        let updates: Vec<MemberUpdate> = alive.collect();
        let join_address = self.nodes[index]
            .last_join_address
            .expect("a node asks to join");
        let packet = GossipPacket {
            from: self.id(self.addresses[&join_address]),
            config_offset: LogOffset(0),
            log_word_age: None,
            running_members: 1,
            body: GossipBody::Updates,
            updates,
        };
        let from = join_address;
        self.input(index, MembershipInput::Packet { from, packet });
    }

    /// Starts a node at a new address; it knows the first three addresses.
    pub fn start(&mut self) -> Index {
        let number = u16::try_from(self.nodes.len()).expect("few nodes");
        self.start_at(SocketAddr::from(([10, 0, 0, 1], 1_000 + number)))
    }

    pub fn start_at(&mut self, address: SocketAddr) -> Index {
        let index = self.nodes.len();
        let identity = MemberIdentity {
            id: NodeId(self.rng.random()),
            name: format!("node-{index:03}"),
            zone: Zone::new(ZONES[usize::from(address.port()) % ZONES.len()]),
            peer_address: address,
            http_address: SocketAddr::from((address.ip(), address.port() + 10_000)),
        };
        let seed = self.rng.random();
        let membership = Membership::new(identity.clone(), self.settings.clone(), seed);
        self.nodes.push(Node {
            membership,
            identity,
            running: true,
            suspended_until: None,
            declared_dead_at: None,
            behind_reports: Vec::new(),
            bytes_sent: 0,
            packets_sent: 0,
            last_join_address: None,
            backlog: Vec::new(),
        });
        self.addresses.insert(address, index);
        let seeds = (0..3).map(|port| SocketAddr::from(([10, 0, 0, 1], 1_000 + port)));
        self.input(index, MembershipInput::Seeds(seeds.collect()));
        let first_tick = Duration::from_millis(self.rng.random_range(0..200));
        self.schedule(self.now + first_tick, Event::Tick(index));
        index
    }

    pub fn crash(&mut self, index: Index) {
        self.nodes[index].running = false;
    }

    pub fn suspend(&mut self, index: Index, duration: Duration) {
        self.nodes[index].suspended_until = Some(self.now + duration);
    }

    pub fn input(&mut self, index: Index, input: MembershipInput) {
        let actions = self.nodes[index].membership.handle(self.now, input);
        for action in actions {
            self.perform(index, action);
        }
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until `done` returns true, checked every 100 ms; returns the virtual time it took.
    pub fn run_until(
        &mut self,
        what: &str,
        limit: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Duration {
        let start = self.now;
        while !done(self) {
            let elapsed = self.now.since(start);
            assert!(elapsed < limit, "not within {limit:?}: {what}");
            self.run_for(Duration::from_millis(100));
        }
        self.now.since(start)
    }

    /// Nodes that run and were not declared dead.
    pub fn running_nodes(&self) -> Vec<Index> {
        let is_running = |index: &Index| {
            self.nodes[*index].running && self.nodes[*index].declared_dead_at.is_none()
        };
        (0..self.nodes.len()).filter(is_running).collect()
    }

    pub fn zone(&self, index: Index) -> &str {
        self.nodes[index].identity.zone.as_str()
    }

    pub fn id(&self, index: Index) -> NodeId {
        self.nodes[index].identity.id
    }

    pub fn state_seen(&self, by: Index, of: Index) -> Option<MemberState> {
        let view = self.nodes[by].membership.view();
        view.members.get(&self.id(of)).map(|member| member.state)
    }

    /// Whether `by` sees exactly `others` as alive and no other member as running.
    pub fn sees_exactly(&self, by: Index, others: &[Index]) -> bool {
        let running_count = self.nodes[by].membership.view().running().count();
        if running_count != others.len() {
            return false;
        }
        let expected: BTreeSet<NodeId> = others.iter().map(|index| self.id(*index)).collect();
        let view = self.nodes[by].membership.view();
        let running: BTreeSet<NodeId> = view.running().map(|member| member.identity.id).collect();
        running == expected && others.iter().all(|of| self.sees_alive(by, *of))
    }

    pub fn sees_alive(&self, by: Index, of: Index) -> bool {
        self.state_seen(by, of) == Some(MemberState::Alive)
    }

    pub fn agrees_on_all(&self) -> bool {
        let running_nodes = self.running_nodes();
        running_nodes
            .iter()
            .all(|by| self.sees_exactly(*by, &running_nodes))
    }

    pub fn member_list(&self) -> MemberList {
        let mut members: Vec<_> = self
            .nodes
            .iter()
            .map(|node| node.identity.clone())
            .collect();
        members.sort();
        MemberList { epoch: 1, members }
    }

    pub fn is_fresh(&self, index: Index, named: &MemberList) -> bool {
        let membership = &self.nodes[index].membership;
        membership
            .check_fresh(self.now, LogOffset(0), named)
            .is_ok()
    }

    /// Measures the bytes and packets that nodes send per second over `duration`.
    pub fn measure_sent(&mut self, duration: Duration) -> SentRates {
        let totals = |network: &Self| -> Vec<(u64, u64)> {
            let nodes = network.nodes.iter();
            nodes
                .map(|node| (node.bytes_sent, node.packets_sent))
                .collect()
        };
        let before = totals(self);
        self.run_for(duration);
        let after = totals(self);
        let seconds = duration.as_secs_f64();
        let rates = before.iter().zip(&after).map(|(before, after)| {
            let bytes = (after.0 - before.0) as f64 / seconds;
            let packets = (after.1 - before.1) as f64 / seconds;
            (bytes, packets)
        });
        let rates: Vec<(f64, f64)> = rates.collect();
        SentRates {
            highest_bytes: rates.iter().map(|rate| rate.0).fold(0.0, f64::max),
            mean_bytes: rates.iter().map(|rate| rate.0).sum::<f64>() / rates.len() as f64,
            highest_packets: rates.iter().map(|rate| rate.1).fold(0.0, f64::max),
        }
    }

    fn step(&mut self, end: Moment) -> bool {
        let Some(entry) = self.events.first_entry() else {
            return false;
        };
        if entry.key().0 > end {
            return false;
        }
        let ((at, _), event) = entry.remove_entry();
        self.now = at;
        match event {
            Event::Tick(index) => self.tick(index),
            Event::Packet(index, from, packet) => {
                self.deliver(index, MembershipInput::Packet { from, packet });
            }
        }
        true
    }

    fn tick(&mut self, index: Index) {
        let node = &mut self.nodes[index];
        if !node.running || node.declared_dead_at.is_some() {
            return;
        }
        if let Some(resume_at) = node.suspended_until.filter(|until| *until > self.now) {
            self.schedule(resume_at, Event::Tick(index));
            return;
        }
        node.suspended_until = None;
        // A resumed process may handle its timer before the datagrams received while suspended.
        let backlog = std::mem::take(&mut node.backlog);
        self.query_log(index);
        self.input(index, MembershipInput::Tick);
        for input in backlog {
            self.input(index, input);
        }
        let next = self.nodes[index].membership.next_tick();
        let next = next.max(self.now + Duration::from_millis(1));
        self.schedule(next, Event::Tick(index));
    }

    fn query_log(&mut self, index: Index) {
        let Some((reachable_from, end)) = &self.log else {
            return;
        };
        if reachable_from.contains(&index) {
            let end = *end;
            let asked_at = self.now;
            self.input(index, MembershipInput::LogEndReport { asked_at, end });
        }
    }

    fn deliver(&mut self, index: Index, input: MembershipInput) {
        let node = &mut self.nodes[index];
        if !node.running {
            return;
        }
        if node.suspended_until.is_some_and(|until| until > self.now) {
            node.backlog.push(input);
            return;
        }
        self.input(index, input);
    }

    fn perform(&mut self, index: Index, action: MembershipAction) {
        let now = self.now;
        let node = &mut self.nodes[index];
        match action {
            MembershipAction::Send { to, packet } => self.transmit(index, to, packet),
            MembershipAction::ViewChanged => {}
            MembershipAction::ConfigBehind { peer } => node.behind_reports.push((now, peer)),
            MembershipAction::DeclaredDead => node.declared_dead_at = Some(now),
        }
    }

    fn transmit(&mut self, from: Index, to: SocketAddr, packet: GossipPacket) {
        let bytes = postcard::to_stdvec(&packet).expect("a packet is encodable");
        assert!(bytes.len() <= 1_200, "a packet of {} bytes", bytes.len());
        let node = &mut self.nodes[from];
        node.bytes_sent += bytes.len() as u64;
        node.packets_sent += 1;
        if packet.body == GossipBody::Join {
            node.last_join_address = Some(to);
        }
        let sender = node.identity.peer_address;
        let is_lost = self.rng.random_bool(self.loss);
        let delay = Duration::from_millis(self.rng.random_range(0..=3));
        let Some(receiver) = self.addresses.get(&to).copied() else {
            return;
        };
        if !is_lost && !self.is_disconnected(from, receiver) {
            self.schedule(self.now + delay, Event::Packet(receiver, sender, packet));
        }
    }

    fn is_disconnected(&self, one: Index, other: Index) -> bool {
        let (one, other) = (self.zone(one), self.zone(other));
        one != other && (self.isolated_zones.contains(one) || self.isolated_zones.contains(other))
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }
}

/// Rates per second at which nodes send; the maximum over nodes, and the mean of the bytes.
#[derive(Debug)]
pub struct SentRates {
    pub highest_bytes: f64,
    pub mean_bytes: f64,
    pub highest_packets: f64,
}
