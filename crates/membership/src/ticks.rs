//! What the membership state machine does by itself as time passes.

use std::net::SocketAddr;

use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::gossip::GossipBody;
use havenstage_types::ids::NodeId;
use havenstage_types::member::MemberState;
use rand::seq::IndexedRandom;

use crate::machine::Membership;
use crate::probes::Purpose;
use crate::roster::Peer;

/// Full member lists a newcomer asks for after the first: gossip in flight while it joined may
/// have missed it.
const REPEATED_JOINS: u32 = 1;

/// Time between a newcomer's first member list and the next.
const REPEATED_JOIN_DELAY: Duration = Duration::from_secs(3);

/// Time between two questions to a member that an operator waits for.
const AWAIT_INTERVAL: Duration = Duration::from_secs(1);

/// Members asked at most in one tick because an operator waits.
const AWAIT_PINGS_PER_TICK: usize = 16;

/// Members pinged at once after this process was frozen, to learn soon what became of it.
const WAKE_PINGS: usize = 3;

/// Parts of a ping in which the rate of pings is counted.
const HEARING_PARTS: u64 = 1_000;

impl Membership {
    pub(crate) fn tick(&mut self, now: Moment) {
        self.schedule.next_tick = Some(now + self.settings.tick_interval);
        self.budget.refill(now);
        self.freshness.forget_old(now);
        self.forget_dead(now);
        self.declare_overdue_dead(now);
        self.give_last_chances(now);
        self.check_probes(now);
        self.start_probes(now);
        self.hear_members(now);
        self.ask_awaited(now);
        self.gossip_updates(now);
        self.join(now);
        self.reconnect(now);
    }

    /// Whether a tick that is so late shows that the process was frozen.
    pub(crate) fn is_stall(&self, late: Duration) -> bool {
        late > self.settings.probe_interval
    }

    /// Silence while this process was frozen proves nothing about the others; but they may have
    /// declared it dead, or even have forgotten that they did.
    pub(crate) fn notice_stall(&mut self, now: Moment) {
        let Some(due) = self.schedule.next_tick else {
            self.schedule.next_tick = Some(now);
            return;
        };
        let stall = now.since(due);
        if !self.is_stall(stall) {
            return;
        }
        if stall >= self.settings.dead_retention {
            self.become_dead();
            return;
        }
        self.schedule.next_tick = Some(now);
        self.woken_at = Some(now);
        self.freshness.forget_before(now);
        self.questions.clear();
        self.roster.extend_suspicions(stall);
        for peer in self.random_peers(WAKE_PINGS, None) {
            self.ping(now, peer, Purpose::Hear);
        }
    }

    pub(crate) fn set_seeds(&mut self, now: Moment, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.seeds.retain(|seed| *seed != self.self_address);
        self.schedule.next_join = now;
        self.join(now);
    }

    /// Sends pending news to a few random members.
    pub(crate) fn gossip_updates(&mut self, now: Moment) {
        for peer in self.random_peers_with_news() {
            self.send(now, peer, GossipBody::Updates);
        }
    }

    fn random_peers_with_news(&mut self) -> Vec<Peer> {
        if self.updates.is_empty() || self.budget.available() < self.update_room() {
            return Vec::new();
        }
        self.random_peers(self.settings.gossip_fanout, None)
    }

    fn forget_dead(&mut self, now: Moment) {
        let retention = self.settings.dead_retention;
        for id in self.roster.forget_dead(now, retention) {
            self.updates.remove(id);
            self.last_asked.remove(&id);
        }
    }

    fn declare_overdue_dead(&mut self, now: Moment) {
        for id in self.roster.overdue_suspects(now) {
            if self.roster.declare_dead(now, id) {
                self.note_change(id);
            }
        }
    }

    /// The ping carries the suspicion, and a member that has refuted it answers with its state.
    fn give_last_chances(&mut self, now: Moment) {
        for id in self.roster.take_last_chances(now) {
            if let Some(peer) = self.roster.running_peer(id) {
                self.ping(now, peer, Purpose::Hear);
            }
        }
    }

    fn check_probes(&mut self, now: Moment) {
        let timeout = self.settings.probe_timeout;
        for (probe, target) in self.questions.take_probes_to_repeat(now, timeout) {
            self.repeat_probe(now, probe, target);
        }
        let interval = self.settings.probe_interval;
        for target in self.questions.take_failed(now, interval) {
            if self.roster.suspect(now, target) {
                self.note_change(target);
            }
        }
    }

    fn repeat_probe(&mut self, now: Moment, probe: u64, target: NodeId) {
        let helpers = self.random_peers(self.settings.indirect_probes, Some(target));
        for helper in helpers {
            let purpose = Purpose::Indirect { probe };
            let sequence = self.questions.ask(now, target, purpose);
            self.send(now, helper, GossipBody::PingRequest { sequence, target });
        }
    }

    /// Probes the next member in random order, and the next one in the ring of ids: so each
    /// member is probed by some other at least once in a probe interval.
    fn start_probes(&mut self, now: Moment) {
        if now < self.schedule.next_probe {
            return;
        }
        self.schedule.next_probe = now + self.settings.probe_interval;
        let successor = self.roster.ring_successor();
        if let Some(peer) = successor {
            self.ping(now, peer, Purpose::Probe { repeated: false });
        }
        let roster = &self.roster;
        let next = self
            .probe_order
            .next(&mut self.rng, || ids(&roster.peers()));
        let next = next.and_then(|id| self.roster.running_peer(id));
        if let Some(peer) = next.filter(|peer| Some(*peer) != successor) {
            self.ping(now, peer, Purpose::Probe { repeated: false });
        }
    }

    /// While the log has been silent for a third of the bound, pings so many members that a
    /// majority is heard within the bound.
    fn hear_members(&mut self, now: Moment) {
        let bound = self.settings.freshness_bound;
        let word_age = self.freshness.log_word_age(now);
        if word_age.is_some_and(|age| age <= bound / 3) {
            self.schedule.hearing_owed = 0;
            return;
        }
        self.schedule.hearing_owed += self.hearing_parts_per_tick();
        while self.schedule.hearing_owed >= HEARING_PARTS {
            self.schedule.hearing_owed -= HEARING_PARTS;
            self.hear_next_member(now);
        }
    }

    /// Three quarters of all members known, dead ones included, or all that run if these are
    /// fewer, are pinged in three quarters of the bound.
    fn hearing_parts_per_tick(&self) -> u64 {
        let known = self.roster.view().members.len();
        let running = self.roster.running_count().saturating_sub(1);
        let targets = running.min(known * 3 / 4 + 1) as u64;
        let window = self.settings.freshness_bound.as_millis() as u64 * 3 / 4;
        let tick = self.settings.tick_interval.as_millis() as u64;
        targets * tick * HEARING_PARTS / window.max(1)
    }

    /// Pings the next member in random order that is likely to answer and was not asked of late.
    fn hear_next_member(&mut self, now: Moment) {
        for _ in 0..self.roster.running_count() {
            let roster = &self.roster;
            let next = self
                .hearing_order
                .next(&mut self.rng, || ids(&roster.peers()));
            let peer = next.and_then(|id| self.peer_worth_hearing(now, id));
            if let Some(peer) = peer {
                self.ping(now, peer, Purpose::Hear);
                return;
            }
        }
    }

    fn peer_worth_hearing(&self, now: Moment, id: NodeId) -> Option<Peer> {
        let is_suspect = self.roster.state(id) == Some(MemberState::Suspect);
        let interval = self.settings.freshness_bound / 2;
        if is_suspect || self.was_asked_within(now, id, interval) {
            return None;
        }
        self.roster.running_peer(id)
    }

    fn was_asked_within(&self, now: Moment, id: NodeId, interval: Duration) -> bool {
        let last_asked = self.last_asked.get(&id);
        last_asked.is_some_and(|asked_at| now.since(*asked_at) < interval)
    }

    fn ask_awaited(&mut self, now: Moment) {
        let Some(offset) = self.awaited else {
            return;
        };
        let lagging: Vec<NodeId> = self
            .roster
            .view()
            .running()
            .filter(|member| member.config_offset < offset)
            .map(|member| member.identity.id)
            .filter(|id| *id != self.self_id)
            .collect();
        if lagging.is_empty() {
            self.awaited = None;
        }
        let due: Vec<Peer> = lagging
            .into_iter()
            .filter(|id| !self.was_asked_within(now, *id, AWAIT_INTERVAL))
            .filter_map(|id| self.roster.running_peer(id))
            .take(AWAIT_PINGS_PER_TICK)
            .collect();
        for peer in due {
            self.ping(now, peer, Purpose::Hear);
        }
    }

    /// Asks a seed for the members until one has answered, and then a member once more.
    fn join(&mut self, now: Moment) {
        if now < self.schedule.next_join {
            return;
        }
        let peers = self.random_peers(1, None);
        let Some(peer) = peers.first().copied() else {
            self.schedule.joins_left = REPEATED_JOINS;
            self.schedule.next_join = now + self.settings.probe_interval;
            let seed = self.seeds.choose(&mut self.rng).copied();
            self.ask_member_list(now, seed);
            return;
        };
        self.schedule.next_join = now + REPEATED_JOIN_DELAY;
        if self.schedule.joins_left > 0 {
            self.schedule.joins_left -= 1;
            self.ask_member_list(now, Some(peer.address));
        }
    }

    /// Tries one address where a member was, or should be, in case a cut has healed.
    fn reconnect(&mut self, now: Moment) {
        if now < self.schedule.next_reconnect {
            return;
        }
        self.schedule.next_reconnect = now + self.settings.reconnect_interval;
        let mut silent: Vec<SocketAddr> = self.roster.dead_addresses();
        let roster = &self.roster;
        let unknown_seeds = self
            .seeds
            .iter()
            .filter(|seed| !roster.is_running_at(**seed));
        silent.extend(unknown_seeds);
        let address = silent.choose(&mut self.rng).copied();
        self.send_join(now, address);
    }

    fn ask_member_list(&mut self, now: Moment, from: Option<SocketAddr>) {
        self.member_list_asked = from.map(|address| (address, now));
        self.send_join(now, from);
    }

    fn send_join(&mut self, now: Moment, to: Option<SocketAddr>) {
        let introduction: Vec<_> = self.roster.update_about(self.self_id).into_iter().collect();
        if let Some(address) = to {
            self.send_updates(now, address, GossipBody::Join, introduction);
        }
    }
}

fn ids(peers: &[Peer]) -> Vec<NodeId> {
    peers.iter().map(|peer| peer.id).collect()
}
