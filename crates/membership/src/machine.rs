//! The membership state machine: its state, its entry point and how it sends.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::codec;
use havenstage_types::config::MemberList;
use havenstage_types::gossip::{GossipBody, GossipPacket, MemberUpdate};
use havenstage_types::ids::{LogOffset, NodeId};
use havenstage_types::member::{MemberIdentity, MemberState, MembershipView};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::budget::ByteBudget;
use crate::freshness::{Freshness, StaleConfig};
use crate::message::{MembershipAction, MembershipInput};
use crate::packets::VerdictTold;
use crate::probes::{ProbeOrder, Purpose, Questions};
use crate::roster::{Peer, Roster};
use crate::settings::MembershipSettings;
use crate::update_queue::UpdateQueue;

/// Room kept in a datagram for the packet's own fields.
const PACKET_HEADER_BYTES: usize = 64;

/// One node's part in the membership protocol.
#[derive(Debug, Clone)]
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    pub(crate) self_id: NodeId,
    pub(crate) self_address: SocketAddr,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) roster: Roster,
    pub(crate) freshness: Freshness,
    pub(crate) questions: Questions,
    pub(crate) updates: UpdateQueue,
    pub(crate) budget: ByteBudget,
    pub(crate) probe_order: ProbeOrder,
    pub(crate) hearing_order: ProbeOrder,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) schedule: Schedule,
    pub(crate) applied: LogOffset,
    /// An offset that an operator waits for.
    pub(crate) awaited: Option<LogOffset>,
    /// When each member was last pinged.
    pub(crate) last_asked: BTreeMap<NodeId, Moment>,
    /// Who was asked for the member list last, and when.
    pub(crate) member_list_asked: Option<(SocketAddr, Moment)>,
    pub(crate) declared_dead: bool,
    /// Members held dead that still send.
    pub(crate) verdicts_told: BTreeMap<NodeId, VerdictTold>,
    /// When this process last found that it had not run for a while.
    pub(crate) woken_at: Option<Moment>,
    pub(crate) actions: Vec<MembershipAction>,
}

/// When periodic work is due.
#[derive(Debug, Clone, Default)]
pub(crate) struct Schedule {
    /// `None` until the first event.
    pub(crate) next_tick: Option<Moment>,
    pub(crate) next_probe: Moment,
    pub(crate) next_reconnect: Moment,
    pub(crate) next_join: Moment,
    pub(crate) joins_left: u32,
    pub(crate) next_behind: Moment,
    pub(crate) next_introduction: Moment,
    /// Thousandths of pings that are owed to hear members.
    pub(crate) hearing_owed: u64,
}

impl Membership {
    /// A member that knows only itself. `seed` feeds all random choices. The settings must have
    /// passed [`MembershipSettings::validate`].
    pub fn new(identity: MemberIdentity, settings: MembershipSettings, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let self_id = identity.id;
        let mut updates = UpdateQueue::new(rng.random());
        updates.add(self_id);
        Self {
            self_id,
            self_address: identity.peer_address,
            questions: Questions::new(&mut rng),
            rng,
            roster: Roster::new(identity, settings.suspicion_timeout),
            freshness: Freshness::new(settings.freshness_bound),
            updates,
            budget: ByteBudget::new(
                settings.update_bytes_per_second,
                settings.update_burst_bytes,
            ),
            probe_order: ProbeOrder::default(),
            hearing_order: ProbeOrder::default(),
            seeds: Vec::new(),
            schedule: Schedule::default(),
            applied: LogOffset::default(),
            awaited: None,
            last_asked: BTreeMap::new(),
            member_list_asked: None,
            declared_dead: false,
            verdicts_told: BTreeMap::new(),
            woken_at: None,
            actions: Vec::new(),
            settings,
        }
    }

    /// Takes an event and returns what to do. `now` must never go back.
    pub fn handle(&mut self, now: Moment, input: MembershipInput) -> Vec<MembershipAction> {
        if !self.declared_dead {
            self.notice_stall(now);
        }
        if !self.declared_dead {
            self.dispatch(now, input);
        }
        std::mem::take(&mut self.actions)
    }

    /// The members as this node sees them.
    pub fn view(&self) -> &MembershipView {
        self.roster.view()
    }

    /// When the next [`MembershipInput::Tick`] is due.
    pub fn next_tick(&self) -> Moment {
        self.schedule.next_tick.unwrap_or_default()
    }

    /// What this node knows about how recent its configuration is.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Checks whether this node may take new work; see [`Freshness::check`].
    pub fn check_fresh(
        &self,
        now: Moment,
        applied: LogOffset,
        last_named: &MemberList,
    ) -> Result<(), StaleConfig> {
        let late = self
            .schedule
            .next_tick
            .map_or(Duration::ZERO, |due| now.since(due));
        if self.is_stall(late) {
            // Frozen until a moment ago and not ticked since: what was known before may be undone.
            let mut freshness = self.freshness.clone();
            freshness.forget_before(now);
            return freshness.check(now, applied, last_named, self.self_id);
        }
        self.freshness.check(now, applied, last_named, self.self_id)
    }

    fn dispatch(&mut self, now: Moment, input: MembershipInput) {
        match input {
            MembershipInput::Tick => self.tick(now),
            MembershipInput::Packet { from, packet } => self.receive(now, from, packet),
            MembershipInput::Seeds(seeds) => self.set_seeds(now, seeds),
            MembershipInput::ConfigApplied(offset) => self.config_applied(offset),
            MembershipInput::LogWord { asked_at, end } => self.freshness.log_word(asked_at, end),
            MembershipInput::AwaitConfig(offset) => self.awaited = self.awaited.max(Some(offset)),
            MembershipInput::Leave => self.leave(now),
        }
    }

    fn config_applied(&mut self, offset: LogOffset) {
        self.applied = self.applied.max(offset);
        self.roster.note_config_offset(self.self_id, self.applied);
    }

    fn leave(&mut self, now: Moment) {
        if self.roster.state(self.self_id) == Some(MemberState::Leaving) {
            return;
        }
        self.roster.leave();
        self.note_change(self.self_id);
        self.gossip_updates(now);
    }

    /// A member's state changed: pass it on and tell the caller.
    pub(crate) fn note_change(&mut self, member: NodeId) {
        self.updates.add(member);
        self.tell_view_changed();
    }

    /// Tells the caller once.
    pub(crate) fn tell_view_changed(&mut self) {
        let is_told = self.actions.contains(&MembershipAction::ViewChanged);
        if !is_told {
            self.actions.push(MembershipAction::ViewChanged);
        }
    }

    /// The others' verdict is final.
    pub(crate) fn become_dead(&mut self) {
        self.declared_dead = true;
        self.roster.declare_dead(Moment::default(), self.self_id);
        self.tell_view_changed();
        self.actions.push(MembershipAction::DeclaredDead);
    }

    /// Pings a member.
    pub(crate) fn ping(&mut self, now: Moment, peer: Peer, purpose: Purpose) {
        self.last_asked.insert(peer.id, now);
        let sequence = self.questions.ask(now, peer.id, purpose);
        self.send(now, peer, GossipBody::Ping { sequence });
    }

    /// Sends to a member, with pending news.
    pub(crate) fn send(&mut self, now: Moment, peer: Peer, body: GossipBody) {
        let updates = self.select_updates(peer.id);
        self.send_updates(now, peer.address, body, updates);
    }

    /// Sends exactly the given news.
    pub(crate) fn send_updates(
        &mut self,
        now: Moment,
        to: SocketAddr,
        body: GossipBody,
        updates: Vec<MemberUpdate>,
    ) {
        let packet = GossipPacket {
            from: self.self_id,
            config_offset: self.applied,
            log_word_age: self.log_word_age_to_relay(now),
            running_members: u32::try_from(self.roster.running_count()).unwrap_or(u32::MAX),
            body,
            updates,
        };
        self.actions.push(MembershipAction::Send { to, packet });
    }

    /// Word that is older than the bound is of no use to anybody.
    fn log_word_age_to_relay(&self, now: Moment) -> Option<u32> {
        let age = self.freshness.applied_log_word_age(now, self.applied)?;
        if age > self.settings.freshness_bound {
            return None;
        }
        u32::try_from(age.as_millis()).ok()
    }

    /// Random peers, without repetition.
    pub(crate) fn random_peers(&mut self, count: usize, except: Option<NodeId>) -> Vec<Peer> {
        let mut peers = self.roster.peers();
        peers.retain(|peer| Some(peer.id) != except);
        peers
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect()
    }

    /// Bytes of news that fit into one datagram.
    pub(crate) fn update_room(&self) -> usize {
        self.settings.max_packet_bytes - PACKET_HEADER_BYTES
    }

    /// News for a recipient: what is urgent for it, and queued news as far as the packet and the
    /// budget allow. Queued news would be wasted on a suspect.
    fn select_updates(&mut self, recipient: NodeId) -> Vec<MemberUpdate> {
        let urgent = self.urgent_updates(recipient);
        let mut room = self.update_room();
        let fitting = self.fitting_updates(urgent.iter().copied(), &mut room);
        let mut selected = self.count_sent(fitting);
        let is_suspect = self.roster.state(recipient) == Some(MemberState::Suspect);
        if is_suspect || self.updates.is_empty() {
            return selected;
        }
        room = room.min(self.budget.available());
        let queued = self
            .updates
            .in_order()
            .filter(|id| *id != recipient && !urgent.contains(id));
        let fitting = self.fitting_updates(queued, &mut room);
        selected.extend(self.count_sent(fitting));
        selected
    }

    /// The news about members, in order, up to the first that does not fit, with their sizes.
    fn fitting_updates(
        &self,
        members: impl Iterator<Item = NodeId>,
        room: &mut usize,
    ) -> Vec<(MemberUpdate, usize)> {
        let mut fitting = Vec::new();
        for update in members.filter_map(|id| self.roster.update_about(id)) {
            let bytes = encoded_bytes(&update);
            if bytes > *room {
                break;
            }
            *room -= bytes;
            fitting.push((update, bytes));
        }
        fitting
    }

    fn count_sent(&mut self, updates: Vec<(MemberUpdate, usize)>) -> Vec<MemberUpdate> {
        let limit = self.transmission_limit();
        for (update, bytes) in &updates {
            self.budget.spend(*bytes);
            self.updates.sent(update.identity.id, limit);
        }
        updates.into_iter().map(|(update, _)| update).collect()
    }

    /// What a recipient must hear first is any suspicion against itself, so that it can refute; a
    /// leaving sender repeats its own state, since no probe would reveal it.
    fn urgent_updates(&self, recipient: NodeId) -> Vec<NodeId> {
        let mut urgent = Vec::new();
        if self.roster.state(recipient) == Some(MemberState::Suspect) {
            urgent.push(recipient);
        }
        if self.roster.state(self.self_id) == Some(MemberState::Leaving) {
            urgent.push(self.self_id);
        }
        urgent
    }

    pub(crate) fn transmission_limit(&self) -> u32 {
        let members = self.roster.running_count() as f64;
        let rounds = (members + 1.0).ln().ceil() as u32;
        self.settings.retransmit_factor * rounds.max(1)
    }
}

/// Encoded size of one piece of news; news that cannot be encoded never fits.
pub(crate) fn encoded_bytes(update: &MemberUpdate) -> usize {
    codec::encode(update).map_or(usize::MAX, |bytes| bytes.len())
}
