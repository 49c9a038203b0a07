//! Periodic work of the membership state machine.

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

/// Full member lists that a joining node requests after the first: it may have missed updates that
/// were gossiped while it joined.
const REPEATED_JOINS: u32 = 1;

/// Time from a joining node's first member list to the next request.
const REPEATED_JOIN_DELAY: Duration = Duration::from_secs(3);

/// Time between two pings to a member whose offset an operator waits for.
const AWAIT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of members pinged in one tick because an operator waits.
const AWAIT_PINGS_PER_TICK: usize = 16;

/// Members pinged at once after a suspension, so that this process soon learns whether it was
/// declared dead.
const RESUME_PINGS: usize = 3;

/// Parts of a poll; polls per tick are counted in these parts, since fewer than one may be due.
const PARTS_PER_POLL: u64 = 1_000;

impl Membership {
    pub(crate) fn tick(&mut self, now: Moment) {
        self.schedule.next_tick = Some(now + self.settings.tick_interval);
        self.budget.refill(now);
        self.freshness.discard_expired(now);
        self.forget_dead(now);
        self.declare_expired_suspects_dead(now);
        self.send_final_pings(now);
        self.check_probes(now);
        self.start_probes(now);
        self.poll_members(now);
        self.ping_lagging_members(now);
        self.gossip_updates(now);
        self.join(now);
        self.reconnect(now);
    }

    /// Whether a tick that is late by this time shows that the process was suspended.
    pub(crate) fn is_suspension(&self, late: Duration) -> bool {
        late > self.settings.probe_interval
    }

    /// Detects that this process was suspended. Missing answers during that time are no evidence
    /// against other members, but those may have declared this node dead, and after
    /// `dead_retention` even have removed its entry.
    pub(crate) fn detect_suspension(&mut self, now: Moment) {
        let Some(due) = self.schedule.next_tick else {
            self.schedule.next_tick = Some(now);
            return;
        };
        let suspension = now.since(due);
        if !self.is_suspension(suspension) {
            return;
        }
        if suspension >= self.settings.dead_retention {
            self.accept_self_death();
            return;
        }
        self.schedule.next_tick = Some(now);
        self.resumed_at = Some(now);
        self.freshness.discard_before(now);
        self.pending_requests.clear();
        self.roster.extend_suspicions(suspension);
        for peer in self.random_peers(RESUME_PINGS, None) {
            self.ping(now, peer, Purpose::Poll);
        }
    }

    pub(crate) fn set_seeds(&mut self, now: Moment, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.seeds.retain(|seed| *seed != self.self_address);
        self.schedule.next_join = now;
        self.join(now);
    }

    /// Sends pending updates to a few random members.
    pub(crate) fn gossip_updates(&mut self, now: Moment) {
        for peer in self.choose_gossip_targets() {
            self.send(now, peer, GossipBody::Updates);
        }
    }

    fn choose_gossip_targets(&mut self) -> Vec<Peer> {
        if self.updates.is_empty() || self.budget.available() < self.max_update_bytes() {
            return Vec::new();
        }
        self.random_peers(self.settings.gossip_fanout, None)
    }

    fn forget_dead(&mut self, now: Moment) {
        let retention = self.settings.dead_retention;
        for id in self.roster.forget_dead(now, retention) {
            self.updates.remove(id);
            self.last_pinged.remove(&id);
        }
    }

    fn declare_expired_suspects_dead(&mut self, now: Moment) {
        for id in self.roster.expired_suspects(now) {
            if self.roster.declare_dead(now, id) {
                self.record_change(id);
            }
        }
    }

    /// Pings suspects whose timers expire soon. The ping contains the suspicion, and a member that
    /// has refuted it answers with its state.
    fn send_final_pings(&mut self, now: Moment) {
        for id in self.roster.take_final_pings(now) {
            if let Some(peer) = self.roster.running_peer(id) {
                self.ping(now, peer, Purpose::Poll);
            }
        }
    }

    fn check_probes(&mut self, now: Moment) {
        let timeout = self.settings.probe_timeout;
        for (probe, target) in self.pending_requests.take_probes_to_repeat(now, timeout) {
            self.probe_indirectly(now, probe, target);
        }
        let interval = self.settings.probe_interval;
        for target in self.pending_requests.take_expired(now, interval) {
            if self.roster.suspect(now, target) {
                self.record_change(target);
            }
        }
    }

    fn probe_indirectly(&mut self, now: Moment, probe: u64, target: NodeId) {
        let helpers = self.random_peers(self.settings.indirect_probes, Some(target));
        for helper in helpers {
            let purpose = Purpose::Indirect { probe };
            let sequence = self.pending_requests.add(now, target, purpose);
            self.send(now, helper, GossipBody::PingRequest { sequence, target });
        }
    }

    /// Probes the next member in random order, and the next one in the ring of ids, so that each
    /// member is probed by another one at least once per probe interval.
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

    /// Without a report of the log's end from the last third of the freshness bound, pings enough
    /// members that a majority answers within the bound.
    fn poll_members(&mut self, now: Moment) {
        let bound = self.settings.freshness_bound;
        let log_end_age = self.freshness.log_end_age(now);
        if log_end_age.is_some_and(|age| age <= bound / 3) {
            self.schedule.due_poll_parts = 0;
            return;
        }
        self.schedule.due_poll_parts += self.poll_parts_per_tick();
        while self.schedule.due_poll_parts >= PARTS_PER_POLL {
            self.schedule.due_poll_parts -= PARTS_PER_POLL;
            self.poll_next_member(now);
        }
    }

    /// Parts of a poll due per tick, such that three quarters of all known members, including dead
    /// ones, or all running ones if these are fewer, are pinged in three quarters of the bound.
    fn poll_parts_per_tick(&self) -> u64 {
        let known = self.roster.view().members.len();
        let running = self.roster.running_count().saturating_sub(1);
        let targets = running.min(known * 3 / 4 + 1) as u64;
        let window = self.settings.freshness_bound.as_millis() as u64 * 3 / 4;
        let tick = self.settings.tick_interval.as_millis() as u64;
        targets * tick * PARTS_PER_POLL / window.max(1)
    }

    /// Pings the next member in random order that is not suspected and was not pinged within half
    /// the freshness bound.
    fn poll_next_member(&mut self, now: Moment) {
        for _ in 0..self.roster.running_count() {
            let roster = &self.roster;
            let next = self.poll_order.next(&mut self.rng, || ids(&roster.peers()));
            let peer = next.and_then(|id| self.peer_to_poll(now, id));
            if let Some(peer) = peer {
                self.ping(now, peer, Purpose::Poll);
                return;
            }
        }
    }

    fn peer_to_poll(&self, now: Moment, id: NodeId) -> Option<Peer> {
        let is_suspect = self.roster.state(id) == Some(MemberState::Suspect);
        let interval = self.settings.freshness_bound / 2;
        if is_suspect || self.was_pinged_within(now, id, interval) {
            return None;
        }
        self.roster.running_peer(id)
    }

    fn was_pinged_within(&self, now: Moment, id: NodeId, interval: Duration) -> bool {
        let last_pinged = self.last_pinged.get(&id);
        last_pinged.is_some_and(|pinged_at| now.since(*pinged_at) < interval)
    }

    fn ping_lagging_members(&mut self, now: Moment) {
        let Some(offset) = self.awaited_offset else {
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
            self.awaited_offset = None;
        }
        let due: Vec<Peer> = lagging
            .into_iter()
            .filter(|id| !self.was_pinged_within(now, *id, AWAIT_INTERVAL))
            .filter_map(|id| self.roster.running_peer(id))
            .take(AWAIT_PINGS_PER_TICK)
            .collect();
        for peer in due {
            self.ping(now, peer, Purpose::Poll);
        }
    }

    /// Requests the member list from seeds until another member is known, and then once more from a
    /// member.
    fn join(&mut self, now: Moment) {
        if now < self.schedule.next_join {
            return;
        }
        let peers = self.random_peers(1, None);
        let Some(peer) = peers.first().copied() else {
            self.schedule.joins_left = REPEATED_JOINS;
            self.schedule.next_join = now + self.settings.probe_interval;
            let seed = self.seeds.choose(&mut self.rng).copied();
            self.request_member_list(now, seed);
            return;
        };
        self.schedule.next_join = now + REPEATED_JOIN_DELAY;
        if self.schedule.joins_left > 0 {
            self.schedule.joins_left -= 1;
            self.request_member_list(now, Some(peer.address));
        }
    }

    /// Sends a join request to one address of a dead member, or of a seed at which no running member
    /// is known, in case a network partition has ended.
    fn reconnect(&mut self, now: Moment) {
        if now < self.schedule.next_reconnect {
            return;
        }
        self.schedule.next_reconnect = now + self.settings.reconnect_interval;
        let mut addresses: Vec<SocketAddr> = self.roster.dead_addresses();
        let roster = &self.roster;
        let unknown_seeds = self
            .seeds
            .iter()
            .filter(|seed| !roster.is_running_at(**seed));
        addresses.extend(unknown_seeds);
        let address = addresses.choose(&mut self.rng).copied();
        self.send_join(now, address);
    }

    fn request_member_list(&mut self, now: Moment, from: Option<SocketAddr>) {
        self.member_list_request = from.map(|address| (address, now));
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
