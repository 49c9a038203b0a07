//! How the membership state machine takes datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::gossip::{GossipBody, GossipPacket, MemberUpdate};
use havenstage_types::ids::{LogOffset, NodeId};
use havenstage_types::member::MemberState;

use crate::machine::{Membership, encoded_bytes};
use crate::message::MembershipAction;
use crate::probes::{Purpose, Question};
use crate::roster::Peer;

/// Time after a pause of this process in which it accepts any verdict on itself.
const WAKE_MEMORY: Duration = Duration::from_secs(60);

/// Times a member held dead is told so before its going on overrules the verdict.
const VERDICTS_BEFORE_YIELDING: u32 = 3;

/// Probe intervals that must pass between the first time and the yielding.
const VERDICT_INTERVALS: u32 = 3;

/// How often, and since when, a member held dead was told so.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VerdictTold {
    first: Moment,
    times: u32,
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
            .note_config_offset(packet.from, packet.config_offset);
        self.notice_behind(now, packet.from, packet.config_offset);
        let sender = Peer {
            id: packet.from,
            address,
        };
        self.introduce(now, sender);
        self.answer(now, sender, &packet);
    }

    /// A member held dead still sends: tell it, unless its own verdict on us counts.
    fn receive_from_dead(&mut self, now: Moment, address: SocketAddr, packet: &GossipPacket) {
        let carries_verdict = packet.updates.iter().any(|update| self.is_verdict(update));
        if carries_verdict && !self.outranks(packet) {
            self.become_dead();
            return;
        }
        if !carries_verdict && self.is_overruled(now, packet) {
            self.become_dead();
            return;
        }
        let is_bare_news = packet.body == GossipBody::Updates;
        if is_bare_news && !carries_verdict {
            return;
        }
        self.note_verdict_told(now, packet.from);
        let verdict = self.roster.update_about(packet.from);
        let verdict = verdict.into_iter().collect();
        self.send_updates(now, address, GossipBody::Updates, verdict);
    }

    fn is_verdict(&self, update: &MemberUpdate) -> bool {
        update.identity.id == self.self_id && update.state == MemberState::Dead
    }

    /// Whether this side of a healed cut stays: the larger one, or the one with the lower id.
    fn outranks(&self, packet: &GossipPacket) -> bool {
        let own = u32::try_from(self.roster.running_count()).unwrap_or(u32::MAX);
        let theirs = packet.running_members;
        own > theirs || (own == theirs && self.self_id < packet.from)
    }

    /// Whether a verdict is only that of the smaller side of a cut, of which word has not reached
    /// us: the sender counts far fewer members than we do. If our side agreed with it, our side
    /// would say so too. A process that was frozen knows too little to overrule anybody.
    fn overrules(&self, now: Moment, packet: &GossipPacket) -> bool {
        let woke_lately = self
            .woken_at
            .is_some_and(|woken_at| now.since(woken_at) < WAKE_MEMORY);
        let own = self.roster.running_count() as u64;
        let theirs = u64::from(packet.running_members);
        !woke_lately && own * 2 > theirs * 3
    }

    /// Whether a member held dead overrules our verdict: it was told several times, goes on as
    /// before, and counts far more members than we do. Its side never declared us dead, so that
    /// nothing but our own giving way brings the two views together.
    fn is_overruled(&self, now: Moment, packet: &GossipPacket) -> bool {
        let own = self.roster.running_count() as u64;
        let theirs = u64::from(packet.running_members);
        let told = self.verdicts_told.get(&packet.from);
        let was_told = told.is_some_and(|told| {
            let long_enough = VERDICT_INTERVALS * self.settings.probe_interval;
            told.times >= VERDICTS_BEFORE_YIELDING && now.since(told.first) >= long_enough
        });
        was_told && theirs * 2 > own * 3
    }

    fn note_verdict_told(&mut self, now: Moment, member: NodeId) {
        let roster = &self.roster;
        self.verdicts_told.retain(|id, _| roster.is_dead(*id));
        let first_time = VerdictTold {
            first: now,
            times: 0,
        };
        self.verdicts_told.entry(member).or_insert(first_time).times += 1;
    }

    /// A member list that we asked for is not passed on: its members are known already.
    fn is_member_list(&self, now: Moment, address: SocketAddr, packet: &GossipPacket) -> bool {
        let Some((asked, asked_at)) = self.member_list_asked else {
            return false;
        };
        let is_answer = packet.body == GossipBody::Updates && asked == address;
        is_answer && now.since(asked_at) < self.settings.probe_interval
    }

    fn apply_updates(&mut self, now: Moment, address: SocketAddr, packet: &GossipPacket) {
        let is_member_list = self.is_member_list(now, address, packet);
        for update in &packet.updates {
            if self.is_verdict(update) {
                if self.overrules(now, packet) {
                    continue;
                }
                self.become_dead();
                return;
            }
            if update.identity.id == self.self_id {
                self.refute_if_suspected(now, address, update);
                continue;
            }
            self.apply_update(now, update, is_member_list);
        }
    }

    /// News goes on to others; news heard again needs to go on the less.
    fn apply_update(&mut self, now: Moment, update: &MemberUpdate, is_member_list: bool) {
        let id = update.identity.id;
        if self.roster.knows(update) {
            self.updates.sent(id, self.transmission_limit());
        }
        if !self.roster.apply(now, update) {
            return;
        }
        if is_member_list {
            self.tell_view_changed();
        } else {
            self.note_change(id);
        }
    }

    /// Tells the sender of a suspicion at once that we live, also when we refuted it before.
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

    fn notice_behind(&mut self, now: Moment, peer: NodeId, offset: LogOffset) {
        if offset <= self.applied || now < self.schedule.next_behind {
            return;
        }
        self.schedule.next_behind = now + self.settings.probe_interval;
        self.actions.push(MembershipAction::ConfigBehind { peer });
    }

    /// Asks an unknown sender who it is, at most once in a probe interval.
    fn introduce(&mut self, now: Moment, sender: Peer) {
        let is_known = self.roster.member(sender.id).is_some();
        if is_known || now < self.schedule.next_introduction {
            return;
        }
        self.schedule.next_introduction = now + self.settings.probe_interval;
        self.send_updates(now, sender.address, GossipBody::Join, Vec::new());
    }

    fn answer(&mut self, now: Moment, sender: Peer, packet: &GossipPacket) {
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
        let Some(question) = self.questions.answer(sequence) else {
            return;
        };
        self.note_evidence(question.sent_at, packet);
        match question.purpose {
            Purpose::Indirect { probe } => {
                self.questions.answer(probe);
                self.roster.answered(question.sent_at, question.target);
            }
            Purpose::Probe { .. } | Purpose::Hear => {
                self.note_direct_answer(now, question, packet.from);
            }
            Purpose::Relay { asker, sequence } => {
                let is_target = self.note_direct_answer(now, question, packet.from);
                if is_target {
                    self.send_updates(now, asker, GossipBody::Ack { sequence }, Vec::new());
                }
            }
        }
    }

    /// Dates what an answer says by the moment its question was sent.
    fn note_evidence(&mut self, asked_at: Moment, packet: &GossipPacket) {
        self.freshness
            .heard_member(asked_at, packet.from, packet.config_offset);
        if let Some(age) = packet.log_word_age {
            let age = Duration::from_millis(u64::from(age));
            self.freshness
                .relayed_log_word(asked_at, age, packet.config_offset);
        }
    }

    /// Returns whether the member asked is the one that answered. If another process answered at
    /// its address, the member asked is gone.
    fn note_direct_answer(&mut self, now: Moment, question: Question, answerer: NodeId) -> bool {
        if question.target == answerer {
            self.roster.answered(question.sent_at, answerer);
            return true;
        }
        if self.roster.declare_dead(now, question.target) {
            self.note_change(question.target);
        }
        false
    }

    fn relay_probe(&mut self, now: Moment, asker: SocketAddr, sequence: u64, target: NodeId) {
        if let Some(peer) = self.roster.running_peer(target) {
            self.ping(now, peer, Purpose::Relay { asker, sequence });
        }
    }

    /// A newcomer, which names itself, gets all running members; a member that only asks who we
    /// are gets our identity.
    fn answer_join(&mut self, now: Moment, sender: Peer, packet: &GossipPacket) {
        let is_newcomer = packet
            .updates
            .iter()
            .any(|update| update.identity.id == sender.id);
        let told: Vec<NodeId> = if is_newcomer {
            self.roster
                .view()
                .running()
                .map(|member| member.identity.id)
                .filter(|id| *id != sender.id)
                .collect()
        } else {
            vec![self.self_id]
        };
        self.send_all(now, sender.address, &told);
    }

    fn send_all(&mut self, now: Moment, to: SocketAddr, members: &[NodeId]) {
        let mut chunk = Vec::new();
        let mut room = self.update_room();
        for id in members {
            let Some(update) = self.roster.update_about(*id) else {
                continue;
            };
            let bytes = encoded_bytes(&update);
            if bytes > room {
                let full = std::mem::take(&mut chunk);
                self.send_updates(now, to, GossipBody::Updates, full);
                room = self.update_room();
            }
            room = room.saturating_sub(bytes);
            chunk.push(update);
        }
        self.send_updates(now, to, GossipBody::Updates, chunk);
    }
}
