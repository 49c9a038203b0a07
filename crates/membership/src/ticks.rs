//! What the membership state machine does by itself as time passes.

use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::gossip::GossipBody;
use havenstage_types::ids::NodeId;
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
        self.check_probes(now);
        self.start_probes(now);
        self.hear_members(now);
        self.ask_awaited(now);
        self.gossip_updates(now);
        self.join(now);
        self.reconnect(now);
    }

    /// Silence while this process was frozen proves nothing about the others; but they may have
    /// declared it dead, or even have forgotten that they did.
    pub(crate) fn notice_stall(&mut self, now: Moment) {
        let Some(due) = self.schedule.next_tick else {
            self.schedule.next_tick = Some(now);
            return;
        };
        let stall = now.since(due);
        if stall <= self.settings.probe_interval {
            return;
        }
        if stall >= self.settings.dead_retention {
            self.become_dead();
            return;
        }
        self.schedule.next_tick = Some(now);
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
        }
    }

    fn declare_overdue_dead(&mut self, now: Moment) {
        for id in self.roster.overdue_suspects(now) {
            if self.roster.declare_dead(now, id) {
                self.note_change(id);
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

    fn hear_next_member(&mut self, now: Moment) {
        let roster = &self.roster;
        let next = self
            .hearing_order
            .next(&mut self.rng, || ids(&roster.peers()));
        let next = next.and_then(|id| self.roster.running_peer(id));
        if let Some(peer) = next {
            self.ping(now, peer, Purpose::Hear);
        }
    }

    fn ask_awaited(&mut self, now: Moment) {
        let Some(mut awaited) = self.awaited else {
            return;
        };
        let lagging: Vec<Peer> =
            self.lagging_after(awaited.last_asked, |offset| offset < awaited.offset);
        if lagging.is_empty() {
            self.awaited = None;
            return;
        }
        let ticks = AWAIT_INTERVAL.as_millis() / self.settings.tick_interval.as_millis().max(1);
        let share = lagging.len().div_ceil((ticks as usize).max(1));
        for peer in lagging.into_iter().take(share.min(AWAIT_PINGS_PER_TICK)) {
            awaited.last_asked = peer.id;
            self.ping(now, peer, Purpose::Hear);
        }
        self.awaited = Some(awaited);
    }

    /// Running peers whose offset lags, in order of ids from the one after `id`.
    fn lagging_after(
        &self,
        id: NodeId,
        lags: impl Fn(havenstage_types::ids::LogOffset) -> bool,
    ) -> Vec<Peer> {
        let members = &self.roster.view().members;
        let after = members.range((Bound::Excluded(id), Bound::Unbounded));
        let up_to = members.range(..=id);
        after
            .chain(up_to)
            .filter(|(member_id, member)| **member_id != self.self_id && lags(member.config_offset))
            .filter_map(|(member_id, _)| self.roster.running_peer(*member_id))
            .collect()
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
            self.send_join(now, seed);
            return;
        };
        self.schedule.next_join = now + REPEATED_JOIN_DELAY;
        if self.schedule.joins_left > 0 {
            self.schedule.joins_left -= 1;
            self.send_join(now, Some(peer.address));
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
