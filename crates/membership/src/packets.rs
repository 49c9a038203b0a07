//! Handling of received packets in the membership state machine.

use std::net::SocketAddr;
use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::gossip::{GossipBody, GossipPacket, MemberUpdate};
use havenstage_types::ids::{LogOffset, NodeId};
use havenstage_types::member::MemberState;

use crate::machine::{Membership, encoded_bytes};
use crate::message::MembershipAction;
use crate::probes::{PendingRequest, Purpose};
use crate::roster::Peer;

/// Time after a suspension of this process during which it accepts any declaration of its death.
const RESUME_GRACE: Duration = Duration::from_secs(60);

/// Number of death notices that a dead member must get before this node may yield to it.
const MIN_NOTICES_BEFORE_YIELDING: u32 = 3;

/// Probe intervals that must pass between the first death notice and yielding.
const MIN_NOTICE_PROBE_INTERVALS: u32 = 3;

/// Death notices sent to a member that this node considers dead but that still sends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DeathNotices {
    first_sent_at: Moment,
    count: u32,
}

impl Membership {
    pub(crate) fn receive(&mut self, now: Moment, address: SocketAddr, packet: GossipPacket) {
        if packet.from == self.self_id {
            return;
        }
        if self.roster.is_dead(packet.from) {
            self.receive_from_dead(now, address, &packet);
            return;
        }
        self.apply_updates(now, address, &packet);
        if self.declared_dead {
            return;
        }
        self.roster
            .record_config_offset(packet.from, packet.config_offset);
        self.report_if_behind(now, packet.from, packet.config_offset);
        let sender = Peer {
            id: packet.from,
            address,
        };
        self.request_identity(now, sender);
        self.handle_body(now, sender, &packet);
    }

    /// Handles a packet from a member that this node considers dead: sends the member a death
    /// notice, unless the member's own declaration that this node is dead takes precedence.
    fn receive_from_dead(&mut self, now: Moment, address: SocketAddr, packet: &GossipPacket) {
        let declares_self_dead = packet
            .updates
            .iter()
            .any(|update| self.is_self_death_declaration(update));
        if declares_self_dead && !self.outranks(packet) {
            self.accept_self_death();
            return;
        }
        if !declares_self_dead && self.must_yield_to(now, packet) {
            self.accept_self_death();
            return;
        }
        let has_only_updates = packet.body == GossipBody::Updates;
        if has_only_updates && !declares_self_dead {
            return;
        }
        self.record_death_notice(now, packet.from);
        let death_notice = self.roster.update_about(packet.from);
        let death_notice = death_notice.into_iter().collect();
        self.send_updates(now, address, GossipBody::Updates, death_notice);
    }

    fn is_self_death_declaration(&self, update: &MemberUpdate) -> bool {
        update.identity.id == self.self_id && update.state == MemberState::Dead
    }

    /// Whether this side keeps running after a network partition: the larger side does, and if both
    /// are equal, the side of the lower node id.
    fn outranks(&self, packet: &GossipPacket) -> bool {
        let own = u32::try_from(self.roster.running_count()).unwrap_or(u32::MAX);
        let theirs = packet.running_members;
        own > theirs || (own == theirs && self.self_id < packet.from)
    }

    /// Whether this node ignores a declaration of its death because the sender counts less than two
    /// thirds of the members that this node counts. The declaration then comes from the smaller
    /// side of a network partition that this node has not detected; if its own side agreed, members
    /// of its own side would send the declaration too. A process that was suspended recently has
    /// too little information to ignore a declaration.
    fn ignores_death_declaration(&self, now: Moment, packet: &GossipPacket) -> bool {
        let resumed_recently = self
            .resumed_at
            .is_some_and(|resumed_at| now.since(resumed_at) < RESUME_GRACE);
        let own = self.roster.running_count() as u64;
        let theirs = u64::from(packet.running_members);
        !resumed_recently && own * 2 > theirs * 3
    }

    /// Whether this node must yield to a member that it considers dead: the member got several death
    /// notices, continues to send, and counts more than one and a half times the members that this
    /// node counts. Its side never declared this node dead, so the two views converge only if this
    /// node yields.
    fn must_yield_to(&self, now: Moment, packet: &GossipPacket) -> bool {
        let own = self.roster.running_count() as u64;
        let theirs = u64::from(packet.running_members);
        let notices = self.death_notices.get(&packet.from);
        let has_enough_notices = notices.is_some_and(|notices| {
            let min_time = MIN_NOTICE_PROBE_INTERVALS * self.settings.probe_interval;
            notices.count >= MIN_NOTICES_BEFORE_YIELDING
                && now.since(notices.first_sent_at) >= min_time
        });
        has_enough_notices && theirs * 2 > own * 3
    }

    fn record_death_notice(&mut self, now: Moment, member: NodeId) {
        let roster = &self.roster;
        self.death_notices.retain(|id, _| roster.is_dead(*id));
        let no_notices = DeathNotices {
            first_sent_at: now,
            count: 0,
        };
        self.death_notices.entry(member).or_insert(no_notices).count += 1;
    }

    /// Whether a packet answers this node's member list request. The updates in such a packet are
    /// not gossiped, as other members know them already.
    fn is_requested_member_list(
        &self,
        now: Moment,
        address: SocketAddr,
        packet: &GossipPacket,
    ) -> bool {
        let Some((requested_address, requested_at)) = self.member_list_request else {
            return false;
        };
        let is_answer = packet.body == GossipBody::Updates && requested_address == address;
        is_answer && now.since(requested_at) < self.settings.probe_interval
    }

    fn apply_updates(&mut self, now: Moment, address: SocketAddr, packet: &GossipPacket) {
        let is_requested_member_list = self.is_requested_member_list(now, address, packet);
        for update in &packet.updates {
            if self.is_self_death_declaration(update) {
                if self.ignores_death_declaration(now, packet) {
                    continue;
                }
                self.accept_self_death();
                return;
            }
            if update.identity.id == self.self_id {
                self.refute_if_suspected(now, address, update);
                continue;
            }
            self.apply_update(now, update, is_requested_member_list);
        }
    }

    /// Applies an update and queues it for gossip. An update that this node already has counts as
    /// one transmission, since another member has spread it.
    fn apply_update(&mut self, now: Moment, update: &MemberUpdate, is_requested_member_list: bool) {
        let id = update.identity.id;
        if self.roster.agrees_with(update) {
            self.updates.record_sent(id, self.transmission_limit());
        }
        if !self.roster.apply(now, update) {
            return;
        }
        if is_requested_member_list {
            self.report_view_changed();
        } else {
            self.record_change(id);
        }
    }

    /// Answers a suspicion of this node with its own state at once, also if it refuted that
    /// suspicion before.
    fn refute_if_suspected(&mut self, now: Moment, address: SocketAddr, update: &MemberUpdate) {
        if update.state != MemberState::Suspect {
            return;
        }
        let own = self.roster.member(self.self_id);
        let own_incarnation = own.map_or(0, |member| member.incarnation);
        if update.incarnation >= own_incarnation {
            self.roster.refute(update.incarnation);
            self.updates.add(self.self_id);
        }
        let refutation = self.roster.update_about(self.self_id);
        let refutation = refutation.into_iter().collect();
        self.send_updates(now, address, GossipBody::Updates, refutation);
    }

    fn report_if_behind(&mut self, now: Moment, peer: NodeId, offset: LogOffset) {
        if offset <= self.applied || now < self.schedule.next_behind_report {
            return;
        }
        self.schedule.next_behind_report = now + self.settings.probe_interval;
        self.actions.push(MembershipAction::ConfigBehind { peer });
    }

    /// Requests the identity of an unknown sender, at most once per probe interval.
    fn request_identity(&mut self, now: Moment, sender: Peer) {
        let is_known = self.roster.member(sender.id).is_some();
        if is_known || now < self.schedule.next_identity_request {
            return;
        }
        self.schedule.next_identity_request = now + self.settings.probe_interval;
        self.send_updates(now, sender.address, GossipBody::Join, Vec::new());
    }

    fn handle_body(&mut self, now: Moment, sender: Peer, packet: &GossipPacket) {
        match &packet.body {
            GossipBody::Ping { sequence } => {
                let sequence = *sequence;
                self.send(now, sender, GossipBody::Ack { sequence });
            }
            GossipBody::Ack { sequence } => self.receive_ack(now, *sequence, packet),
            GossipBody::PingRequest { sequence, target } => {
                self.relay_probe(now, sender.address, *sequence, *target);
            }
            GossipBody::Join => self.answer_join(now, sender, packet),
            GossipBody::Updates => {}
        }
    }

    fn receive_ack(&mut self, now: Moment, sequence: u64, packet: &GossipPacket) {
        let Some(request) = self.pending_requests.take(sequence) else {
            return;
        };
        self.record_evidence(request.sent_at, packet);
        match request.purpose {
            Purpose::Indirect { probe } => {
                self.pending_requests.take(probe);
                self.roster.record_answer(request.sent_at, request.target);
            }
            Purpose::Probe { .. } | Purpose::Poll => {
                self.record_direct_answer(now, request, packet.from);
            }
            Purpose::Relay {
                requester,
                sequence,
            } => {
                let is_target = self.record_direct_answer(now, request, packet.from);
                if is_target {
                    self.send_updates(now, requester, GossipBody::Ack { sequence }, Vec::new());
                }
            }
        }
    }

    /// Records the freshness evidence in an answer, dated by the time the request was sent.
    fn record_evidence(&mut self, asked_at: Moment, packet: &GossipPacket) {
        self.freshness
            .record_member_report(asked_at, packet.from, packet.config_offset);
        if let Some(age) = packet.log_word_age {
            let age = Duration::from_millis(u64::from(age));
            self.freshness
                .record_relayed_log_end(asked_at, age, packet.config_offset);
        }
    }

    /// Returns whether the pinged member itself answered. If another process answered at its
    /// address, the pinged member is declared dead.
    fn record_direct_answer(
        &mut self,
        now: Moment,
        request: PendingRequest,
        answerer: NodeId,
    ) -> bool {
        if request.target == answerer {
            self.roster.record_answer(request.sent_at, answerer);
            return true;
        }
        if self.roster.declare_dead(now, request.target) {
            self.record_change(request.target);
        }
        false
    }

    fn relay_probe(&mut self, now: Moment, requester: SocketAddr, sequence: u64, target: NodeId) {
        if let Some(peer) = self.roster.running_peer(target) {
            self.ping(
                now,
                peer,
                Purpose::Relay {
                    requester,
                    sequence,
                },
            );
        }
    }

    /// Answers a joining member, whose request contains its own identity, with all running members;
    /// answers a request without an identity with this node's identity.
    fn answer_join(&mut self, now: Moment, sender: Peer, packet: &GossipPacket) {
        let is_joining = packet
            .updates
            .iter()
            .any(|update| update.identity.id == sender.id);
        let members: Vec<NodeId> = if is_joining {
            self.roster
                .view()
                .running()
                .map(|member| member.identity.id)
                .filter(|id| *id != sender.id)
                .collect()
        } else {
            vec![self.self_id]
        };
        self.send_member_updates(now, sender.address, &members);
    }

    fn send_member_updates(&mut self, now: Moment, to: SocketAddr, members: &[NodeId]) {
        let mut chunk = Vec::new();
        let mut bytes_left = self.max_update_bytes();
        for id in members {
            let Some(update) = self.roster.update_about(*id) else {
                continue;
            };
            let bytes = encoded_bytes(&update);
            if bytes > bytes_left {
                let full = std::mem::take(&mut chunk);
                self.send_updates(now, to, GossipBody::Updates, full);
                bytes_left = self.max_update_bytes();
            }
            bytes_left = bytes_left.saturating_sub(bytes);
            chunk.push(update);
        }
        self.send_updates(now, to, GossipBody::Updates, chunk);
    }
}
