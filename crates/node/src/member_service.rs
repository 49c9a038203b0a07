//! Drives the membership state machine: feeds it packets and time, sends what it asks for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};

use havenstage_edge::machine_list::MachineRole;
use havenstage_membership::freshness::StaleConfig;
use havenstage_membership::{Membership, MembershipAction, MembershipInput, MembershipSettings};
use havenstage_types::clock::Moment;
use havenstage_types::config::MemberList;
use havenstage_types::gossip::GossipPacket;
use havenstage_types::ids::{LogOffset, NodeId};
use havenstage_types::member::{MemberIdentity, MembershipView};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::environment::Environment;
use crate::locks::lock;
use crate::settings::NodeSettings;

/// Peers that were seen ahead of this node, at most this many waiting to be asked.
const BEHIND_QUEUE: usize = 16;

/// The node's membership.
pub(crate) struct MemberService {
    identity: RwLock<Arc<MemberIdentity>>,
    membership: Mutex<Membership>,
    view: watch::Sender<Arc<MembershipView>>,
    behind: mpsc::Sender<NodeId>,
    behind_receiver: Mutex<Option<mpsc::Receiver<NodeId>>>,
    settings: MembershipSettings,
    seeds: Mutex<Vec<SocketAddr>>,
    /// Members this process has seen running, under whatever identity of its own, and when last.
    seen: Mutex<BTreeMap<NodeId, (SocketAddr, Instant)>>,
    seed: u64,
}

impl MemberService {
    pub(crate) fn new(identity: MemberIdentity, settings: &NodeSettings, seed: u64) -> Self {
        let membership_settings = MembershipSettings {
            freshness_bound: settings.freshness_bound(),
            ..MembershipSettings::default()
        };
        let membership = Membership::new(identity.clone(), membership_settings.clone(), seed);
        let view = Arc::new(membership.view().clone());
        let (behind, behind_receiver) = mpsc::channel(BEHIND_QUEUE);
        Self {
            identity: RwLock::new(Arc::new(identity)),
            membership: Mutex::new(membership),
            view: watch::Sender::new(view),
            behind,
            behind_receiver: Mutex::new(Some(behind_receiver)),
            settings: membership_settings,
            seeds: Mutex::new(Vec::new()),
            seen: Mutex::new(BTreeMap::new()),
            seed,
        }
    }

    pub(crate) fn identity(&self) -> Arc<MemberIdentity> {
        self.identity
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn view(&self) -> Arc<MembershipView> {
        self.view.borrow().clone()
    }

    /// Changes whenever the view does.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<MembershipView>> {
        self.view.subscribe()
    }

    /// Peers seen ahead of this node; can be taken once.
    pub(crate) fn take_behind(&self) -> Option<mpsc::Receiver<NodeId>> {
        lock(&self.behind_receiver).take()
    }

    pub(crate) fn check_fresh(
        &self,
        now: Moment,
        applied: LogOffset,
        last_named: &MemberList,
    ) -> Result<(), StaleConfig> {
        lock(&self.membership).check_fresh(now, applied, last_named)
    }

    /// A peer's answer showed how far it has applied the configuration.
    pub(crate) fn note_offset(&self, node: NodeId, offset: LogOffset) {
        let own = self.identity().id;
        // A request to itself tells a node nothing new.
        if node != own && offset > self.reported_offset(own) {
            let _ = self.behind.try_send(node);
        }
    }

    /// Configuration offset that membership knows of a member.
    fn reported_offset(&self, node: NodeId) -> LogOffset {
        lock(&self.membership)
            .view()
            .members
            .get(&node)
            .map_or(LogOffset(0), |member| member.config_offset)
    }

    /// Remembers where other nodes may be found.
    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *lock(&self.seeds) = seeds;
    }

    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        lock(&self.seeds).clone()
    }

    pub(crate) fn next_tick(&self) -> Moment {
        lock(&self.membership).next_tick()
    }

    /// Feeds one input and carries out what follows from it.
    pub(crate) async fn input(&self, environment: &Environment, input: MembershipInput) {
        let now = environment.clock.now();
        let actions = lock(&self.membership).handle(now, input);
        for action in actions {
            self.perform(environment, action).await;
        }
    }

    async fn perform(&self, environment: &Environment, action: MembershipAction) {
        match action {
            MembershipAction::Send { to, packet } => environment.peers.gossip(to, packet).await,
            MembershipAction::ViewChanged => self.publish_view(),
            MembershipAction::ConfigBehind { peer } => {
                let _ = self.behind.try_send(peer);
            }
            MembershipAction::DeclaredDead => self.rejoin(environment),
        }
    }

    /// Takes a packet from another node.
    pub(crate) async fn packet(
        &self,
        environment: &Environment,
        from: SocketAddr,
        packet: GossipPacket,
    ) {
        self.input(environment, MembershipInput::Packet { from, packet })
            .await;
    }

    /// Members seen running within the time for which dead ones are remembered. Unlike the view
    /// they outlive a change of this process's own identity.
    pub(crate) fn seen(&self) -> Vec<(NodeId, SocketAddr)> {
        let seen = lock(&self.seen);
        seen.iter()
            .map(|(id, (address, _))| (*id, *address))
            .collect()
    }

    fn note_seen(&self, view: &MembershipView) {
        let now = Instant::now();
        let retention = self.settings.dead_retention;
        let mut seen = lock(&self.seen);
        for member in view.running() {
            seen.insert(member.identity.id, (member.identity.peer_address, now));
        }
        seen.retain(|_, (_, last)| now.duration_since(*last) < retention);
    }

    fn publish_view(&self) {
        let view = Arc::new(lock(&self.membership).view().clone());
        self.note_seen(&view);
        self.view.send_replace(view);
    }

    /// The others declared this process dead: come back under a new identity, owning nothing.
    fn rejoin(&self, environment: &Environment) {
        let old = self.identity();
        let mut identity = (*old).clone();
        identity.id = next_identity(old.id, self.seed, environment.clock.now());
        log::warn!(node = old.id.0, rejoined_as = identity.id.0; "declared dead, joining anew");
        let mut membership = Membership::new(
            identity.clone(),
            self.settings.clone(),
            self.seed ^ identity.id.0,
        );
        let now = environment.clock.now();
        let known: Vec<SocketAddr> = self
            .view()
            .running()
            .filter(|member| member.identity.id != old.id)
            .map(|member| member.identity.peer_address)
            .chain(self.seeds())
            .collect();
        membership.handle(now, MembershipInput::Seeds(known));
        // The configuration is kept, only the identity is new.
        let applied = MembershipInput::ConfigApplied(self.reported_offset(old.id));
        membership.handle(now, applied);
        *self
            .identity
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = Arc::new(identity);
        *lock(&self.membership) = membership;
        self.publish_view();
    }
}

/// A new identity from the old one, the node's seed and its clock.
fn next_identity(old: NodeId, seed: u64, now: Moment) -> NodeId {
    let mut bytes = [0_u8; 24];
    bytes[..8].copy_from_slice(&old.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&seed.to_le_bytes());
    bytes[16..].copy_from_slice(&now.0.to_le_bytes());
    NodeId::from_random(xxhash_rust::xxh3::xxh3_64(&bytes))
}

/// Keeps time for the membership state machine and reads the machine list for seeds.
pub(crate) async fn run(context: Arc<crate::context::NodeContext>) {
    loop {
        let now = context.now();
        let wait = context.members.next_tick().since(now);
        tokio::time::sleep(wait.max(MIN_TICK)).await;
        context
            .members
            .input(&context.environment, MembershipInput::Tick)
            .await;
    }
}

/// Shortest pause between two ticks.
const MIN_TICK: std::time::Duration = std::time::Duration::from_millis(10);

/// Tells membership where other nodes may be found: the settings' seeds and the machine list.
pub(crate) async fn join(context: Arc<crate::context::NodeContext>, seeds: Vec<SocketAddr>) {
    let environment = &context.environment;
    let input = MembershipInput::Seeds(seeds);
    context.members.input(environment, input).await;
    let interval = std::time::Duration::from_millis(context.settings.machine_poll_ms);
    loop {
        if let Ok(machines) = environment.machines.machines().await {
            let nodes = machines
                .into_iter()
                .filter(|machine| machine.role == MachineRole::Node)
                .map(|machine| machine.address)
                .collect();
            let input = MembershipInput::Seeds(nodes);
            context.members.input(environment, input).await;
        }
        tokio::time::sleep(interval).await;
    }
}
