//! The membership state machine: its state, its entry point and the sending of packets.

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
use crate::packets::DeathNotices;
use crate::probes::{PendingRequests, ProbeOrder, Purpose};
use crate::roster::{Peer, Roster};
use crate::settings::MembershipSettings;
use crate::update_queue::UpdateQueue;

/// Bytes reserved in a datagram for the packet's fields other than updates.
const PACKET_HEADER_BYTES: usize = 64;

/// Membership protocol state of one node.
#[derive(Debug, Clone)]
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    pub(crate) self_id: NodeId,
    pub(crate) self_address: SocketAddr,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) roster: Roster,
    pub(crate) freshness: Freshness,
    pub(crate) pending_requests: PendingRequests,
    pub(crate) updates: UpdateQueue,
    pub(crate) budget: ByteBudget,
    pub(crate) probe_order: ProbeOrder,
    pub(crate) poll_order: ProbeOrder,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) schedule: Schedule,
    pub(crate) applied: LogOffset,
    /// Offset that an operator waits for all members to apply.
    pub(crate) awaited_offset: Option<LogOffset>,
    /// When each member was last pinged.
    pub(crate) last_pinged: BTreeMap<NodeId, Moment>,
    /// Address to which the last member list request was sent, and when.
    pub(crate) member_list_request: Option<(SocketAddr, Moment)>,
    pub(crate) declared_dead: bool,
    /// Death declarations sent to members that this node considers dead but that still send.
    pub(crate) death_notices: BTreeMap<NodeId, DeathNotices>,
    /// When this process last detected that it had been suspended.
    pub(crate) resumed_at: Option<Moment>,
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
    pub(crate) next_behind_report: Moment,
    pub(crate) next_identity_request: Moment,
    /// Polls due, in units of 1 / `PARTS_PER_POLL` of a poll.
    pub(crate) due_poll_parts: u64,
}

impl Membership {
    /// Creates a member that knows only itself. `seed` seeds all random choices. The settings must have
    /// passed [`MembershipSettings::validate`].
    pub fn new(identity: MemberIdentity, settings: MembershipSettings, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let self_id = identity.id;
        let mut updates = UpdateQueue::new(rng.random());
        updates.add(self_id);
        Self {
            self_id,
            self_address: identity.peer_address,
            pending_requests: PendingRequests::new(&mut rng),
            rng,
            roster: Roster::new(identity, settings.suspicion_timeout),
            freshness: Freshness::new(settings.freshness_bound),
            updates,
            budget: ByteBudget::new(
                settings.update_bytes_per_second,
                settings.update_burst_bytes,
            ),
            probe_order: ProbeOrder::default(),
            poll_order: ProbeOrder::default(),
            seeds: Vec::new(),
            schedule: Schedule::default(),
            applied: LogOffset::default(),
            awaited_offset: None,
            last_pinged: BTreeMap::new(),
            member_list_request: None,
            declared_dead: false,
            death_notices: BTreeMap::new(),
            resumed_at: None,
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles an event and returns the actions to perform. `now` must never decrease.
    pub fn handle(&mut self, now: Moment, input: MembershipInput) -> Vec<MembershipAction> {
        if !self.declared_dead {
            self.detect_suspension(now);
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

    /// Evidence of how recent this node's configuration is.
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
        if self.is_suspension(late) {
            // The process was suspended and has not ticked since: earlier evidence may be outdated.
            let mut freshness = self.freshness.clone();
            freshness.discard_before(now);
            return freshness.check(now, applied, last_named, self.self_id);
        }
        self.freshness.check(now, applied, last_named, self.self_id)
    }

    fn dispatch(&mut self, now: Moment, input: MembershipInput) {
        match input {
            MembershipInput::Tick => self.tick(now),
            MembershipInput::Packet { from, packet } => self.receive(now, from, packet),
            MembershipInput::Seeds(seeds) => self.set_seeds(now, seeds),
            MembershipInput::ConfigApplied(offset) => self.record_config_applied(offset),
            MembershipInput::LogEndReport { asked_at, end } => {
                self.freshness.record_log_end(asked_at, end)
            }
            MembershipInput::AwaitConfig(offset) => {
                self.awaited_offset = self.awaited_offset.max(Some(offset))
            }
            MembershipInput::Leave => self.leave(now),
        }
    }

    fn record_config_applied(&mut self, offset: LogOffset) {
        self.applied = self.applied.max(offset);
        self.roster.record_config_offset(self.self_id, self.applied);
    }

    fn leave(&mut self, now: Moment) {
        if self.roster.state(self.self_id) == Some(MemberState::Leaving) {
            return;
        }
        self.roster.leave();
        self.record_change(self.self_id);
        self.gossip_updates(now);
    }

    /// Queues a member's changed state for gossip and reports the change to the caller.
    pub(crate) fn record_change(&mut self, member: NodeId) {
        self.updates.add(member);
        self.report_view_changed();
    }

    /// Adds one [`MembershipAction::ViewChanged`] to the pending actions.
    pub(crate) fn report_view_changed(&mut self) {
        let is_reported = self.actions.contains(&MembershipAction::ViewChanged);
        if !is_reported {
            self.actions.push(MembershipAction::ViewChanged);
        }
    }

    /// Accepts that the other members declared this node dead, which is final.
    pub(crate) fn accept_self_death(&mut self) {
        self.declared_dead = true;
        self.roster.declare_dead(Moment::default(), self.self_id);
        self.report_view_changed();
        self.actions.push(MembershipAction::DeclaredDead);
    }

    pub(crate) fn ping(&mut self, now: Moment, peer: Peer, purpose: Purpose) {
        self.last_pinged.insert(peer.id, now);
        let sequence = self.pending_requests.add(now, peer.id, purpose);
        self.send(now, peer, GossipBody::Ping { sequence });
    }

    /// Sends a packet with pending updates to a member.
    pub(crate) fn send(&mut self, now: Moment, peer: Peer, body: GossipBody) {
        let updates = self.select_updates(peer.id);
        self.send_updates(now, peer.address, body, updates);
    }

    /// Sends a packet with exactly the given updates.
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
            log_word_age: self.relayable_log_end_age(now),
            running_members: u32::try_from(self.roster.running_count()).unwrap_or(u32::MAX),
            body,
            updates,
        };
        self.actions.push(MembershipAction::Send { to, packet });
    }

    /// Age in milliseconds of the log end report to relay; `None` if it is older than the bound,
    /// as no receiver could use it.
    fn relayable_log_end_age(&self, now: Moment) -> Option<u32> {
        let age = self.freshness.applied_log_end_age(now, self.applied)?;
        if age > self.settings.freshness_bound {
            return None;
        }
        u32::try_from(age.as_millis()).ok()
    }

    /// Chooses up to `count` distinct random peers.
    pub(crate) fn random_peers(&mut self, count: usize, except: Option<NodeId>) -> Vec<Peer> {
        let mut peers = self.roster.peers();
        peers.retain(|peer| Some(peer.id) != except);
        peers
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect()
    }

    /// Maximum bytes of updates in one datagram.
    pub(crate) fn max_update_bytes(&self) -> usize {
        self.settings.max_packet_bytes - PACKET_HEADER_BYTES
    }

    /// Selects the updates for a recipient: its urgent updates, and queued updates as far as the
    /// packet and the budget allow. A suspect gets no queued updates, as it may not be running.
    fn select_updates(&mut self, recipient: NodeId) -> Vec<MemberUpdate> {
        let urgent = self.urgent_updates(recipient);
        let mut bytes_left = self.max_update_bytes();
        let fitting = self.fitting_updates(urgent.iter().copied(), &mut bytes_left);
        let mut selected = self.record_sent_updates(fitting);
        let is_suspect = self.roster.state(recipient) == Some(MemberState::Suspect);
        if is_suspect || self.updates.is_empty() {
            return selected;
        }
        bytes_left = bytes_left.min(self.budget.available());
        let queued = self
            .updates
            .in_order()
            .filter(|id| *id != recipient && !urgent.contains(id));
        let fitting = self.fitting_updates(queued, &mut bytes_left);
        selected.extend(self.record_sent_updates(fitting));
        selected
    }

    /// Updates about members with their encoded sizes, in order, up to the first that does not fit.
    fn fitting_updates(
        &self,
        members: impl Iterator<Item = NodeId>,
        bytes_left: &mut usize,
    ) -> Vec<(MemberUpdate, usize)> {
        let mut fitting = Vec::new();
        for update in members.filter_map(|id| self.roster.update_about(id)) {
            let bytes = encoded_bytes(&update);
            if bytes > *bytes_left {
                break;
            }
            *bytes_left -= bytes;
            fitting.push((update, bytes));
        }
        fitting
    }

    fn record_sent_updates(&mut self, updates: Vec<(MemberUpdate, usize)>) -> Vec<MemberUpdate> {
        let limit = self.transmission_limit();
        for (update, bytes) in &updates {
            self.budget.spend(*bytes);
            self.updates.record_sent(update.identity.id, limit);
        }
        updates.into_iter().map(|(update, _)| update).collect()
    }

    /// Members whose updates a recipient gets first: itself if it is suspected, so that it can
    /// refute; and this node if it is leaving, since no probe would reveal that state.
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

/// Encoded size of an update; `usize::MAX` if it cannot be encoded, so that it never fits.
pub(crate) fn encoded_bytes(update: &MemberUpdate) -> usize {
    codec::encode(update).map_or(usize::MAX, |bytes| bytes.len())
}
