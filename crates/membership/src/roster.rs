//! The state of each member as this node sees it, and the precedence of updates.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::gossip::MemberUpdate;
use havenstage_types::ids::{LogOffset, NodeId};
use havenstage_types::member::{Member, MemberIdentity, MemberState, MembershipView};

/// Pings sent to a suspect before it is declared dead: its refutation may not have reached this
/// node.
const FINAL_PINGS: u32 = 2;

/// Time between two final pings, and between the last one and the declaration of death.
const FINAL_PING_INTERVAL: Duration = Duration::from_millis(800);

/// Timer of a suspected, unanswering or dead member.
#[derive(Debug, Clone, Copy)]
enum Timer {
    /// The member is declared dead at `expires_at` unless it refutes.
    Suspicion {
        expires_at: Moment,
        final_pings_left: u32,
    },
    /// The member has been dead since this time.
    Dead { since: Moment },
}

/// Id and address of a running member to send to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Peer {
    pub(crate) id: NodeId,
    pub(crate) address: SocketAddr,
}

/// The members as this node sees them, with the timers that change their states.
#[derive(Debug, Clone)]
pub(crate) struct Roster {
    self_id: NodeId,
    suspicion_timeout: Duration,
    view: MembershipView,
    timers: BTreeMap<NodeId, Timer>,
    running_count: usize,
}

impl Roster {
    /// Creates a roster that contains only this node.
    pub(crate) fn new(identity: MemberIdentity, suspicion_timeout: Duration) -> Self {
        let self_id = identity.id;
        let mut roster = Self {
            self_id,
            suspicion_timeout,
            view: MembershipView::default(),
            timers: BTreeMap::new(),
            running_count: 0,
        };
        roster.insert(&MemberUpdate {
            identity,
            state: MemberState::Alive,
            incarnation: 0,
            config_offset: LogOffset::default(),
        });
        roster
    }

    pub(crate) fn view(&self) -> &MembershipView {
        &self.view
    }

    pub(crate) fn member(&self, id: NodeId) -> Option<&Member> {
        self.view.members.get(&id)
    }

    pub(crate) fn state(&self, id: NodeId) -> Option<MemberState> {
        self.member(id).map(|member| member.state)
    }

    pub(crate) fn is_dead(&self, id: NodeId) -> bool {
        self.state(id) == Some(MemberState::Dead)
    }

    pub(crate) fn running_count(&self) -> usize {
        self.running_count
    }

    /// All running members except this node.
    pub(crate) fn peers(&self) -> Vec<Peer> {
        self.view
            .running()
            .filter(|member| member.identity.id != self.self_id)
            .map(peer_of)
            .collect()
    }

    /// The id and address of a member; `None` if it is dead or unknown.
    pub(crate) fn running_peer(&self, id: NodeId) -> Option<Peer> {
        let member = self.member(id)?;
        (member.state != MemberState::Dead).then(|| peer_of(member))
    }

    /// Addresses of dead members at which no running member is known.
    pub(crate) fn dead_addresses(&self) -> Vec<SocketAddr> {
        self.view
            .members
            .values()
            .filter(|member| member.state == MemberState::Dead)
            .map(|member| member.identity.peer_address)
            .filter(|address| !self.is_running_at(*address))
            .collect()
    }

    /// Whether a running member is known at an address.
    pub(crate) fn is_running_at(&self, address: SocketAddr) -> bool {
        self.view
            .running()
            .any(|member| member.identity.peer_address == address)
    }

    /// The running member that follows this node in the ring of ids.
    pub(crate) fn ring_successor(&self) -> Option<Peer> {
        let is_running = |member: &&Member| {
            member.state != MemberState::Dead && member.identity.id != self.self_id
        };
        let members = &self.view.members;
        members
            .range(self.self_id..)
            .map(|(_, member)| member)
            .find(is_running)
            .or_else(|| members.values().find(is_running))
            .map(peer_of)
    }

    /// The update that this node sends to others about a member.
    pub(crate) fn update_about(&self, id: NodeId) -> Option<MemberUpdate> {
        let member = self.member(id)?;
        Some(MemberUpdate {
            identity: member.identity.clone(),
            state: member.state,
            incarnation: member.incarnation,
            config_offset: member.config_offset,
        })
    }

    /// Whether an update has the state and incarnation that this node already has.
    pub(crate) fn agrees_with(&self, update: &MemberUpdate) -> bool {
        self.member(update.identity.id).is_some_and(|member| {
            member.state == update.state && member.incarnation == update.incarnation
        })
    }

    /// Applies an update about another member; returns whether the member is new or its state or
    /// incarnation changed.
    pub(crate) fn apply(&mut self, now: Moment, update: &MemberUpdate) -> bool {
        let id = update.identity.id;
        let Some(member) = self.view.members.get_mut(&id) else {
            self.insert(update);
            self.restart_timer(now, id);
            return true;
        };
        member.config_offset = member.config_offset.max(update.config_offset);
        if !supersedes(member, update) {
            return false;
        }
        if update.state == MemberState::Dead {
            self.running_count -= 1;
        }
        member.state = update.state;
        member.incarnation = update.incarnation;
        self.restart_timer(now, id);
        true
    }

    /// Marks a member that failed a probe as suspect and starts its timer; returns whether its state
    /// changed. A leaving member keeps its state, so that it does not get its roles back, but its
    /// timer starts too.
    pub(crate) fn suspect(&mut self, now: Moment, id: NodeId) -> bool {
        let timer = self.suspicion_timer(now);
        let Some(member) = self.view.members.get_mut(&id) else {
            return false;
        };
        if member.state == MemberState::Dead {
            return false;
        }
        let was_alive = member.state == MemberState::Alive;
        if was_alive {
            member.state = MemberState::Suspect;
        }
        self.timers.entry(id).or_insert(timer);
        was_alive
    }

    /// Records that a member answered a request sent at `asked_at`, so it was running then. A suspect
    /// still has to refute by a higher incarnation, but its timer restarts. The timer of a leaving
    /// member is known to this node only and is removed.
    pub(crate) fn record_answer(&mut self, asked_at: Moment, id: NodeId) {
        match self.state(id) {
            Some(MemberState::Leaving) => {
                self.timers.remove(&id);
            }
            Some(MemberState::Suspect) => {
                self.timers.insert(id, self.suspicion_timer(asked_at));
            }
            _ => {}
        }
    }

    fn suspicion_timer(&self, moment: Moment) -> Timer {
        Timer::Suspicion {
            expires_at: moment + self.suspicion_timeout,
            final_pings_left: FINAL_PINGS,
        }
    }

    /// Declares a member dead; returns whether its state changed.
    pub(crate) fn declare_dead(&mut self, now: Moment, id: NodeId) -> bool {
        let Some(member) = self.view.members.get_mut(&id) else {
            return false;
        };
        if member.state == MemberState::Dead {
            return false;
        }
        member.state = MemberState::Dead;
        self.running_count -= 1;
        self.restart_timer(now, id);
        true
    }

    /// Members whose suspicion timer has expired.
    pub(crate) fn expired_suspects(&self, now: Moment) -> Vec<NodeId> {
        let is_expired = |timer: &Timer| matches!(timer, Timer::Suspicion { expires_at, .. } if *expires_at <= now);
        self.timers
            .iter()
            .filter(|(_, timer)| is_expired(timer))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns the members whose suspicion timer expires soon and for which a final ping is due.
    pub(crate) fn take_final_pings(&mut self, now: Moment) -> Vec<NodeId> {
        let mut due = Vec::new();
        for (id, timer) in &mut self.timers {
            let Timer::Suspicion {
                expires_at,
                final_pings_left,
            } = timer
            else {
                continue;
            };
            if *final_pings_left > 0 && *expires_at <= now + FINAL_PING_INTERVAL * *final_pings_left
            {
                *final_pings_left -= 1;
                due.push(*id);
            }
        }
        due
    }

    /// Extends all suspicion timers by the time for which this process was suspended and could not
    /// receive refutations.
    pub(crate) fn extend_suspicions(&mut self, suspension: Duration) {
        for timer in self.timers.values_mut() {
            if let Timer::Suspicion { expires_at, .. } = timer {
                *expires_at = *expires_at + suspension;
            }
        }
    }

    /// Removes members that have been dead for longer than `retention`; returns them.
    pub(crate) fn forget_dead(&mut self, now: Moment, retention: Duration) -> Vec<NodeId> {
        let is_forgotten =
            |timer: &Timer| matches!(timer, Timer::Dead { since } if now.since(*since) > retention);
        let forgotten: Vec<NodeId> = self
            .timers
            .iter()
            .filter(|(_, timer)| is_forgotten(timer))
            .map(|(id, _)| *id)
            .collect();
        for id in &forgotten {
            self.timers.remove(id);
            self.view.members.remove(id);
        }
        forgotten
    }

    /// Records the configuration offset that a member reported as applied.
    pub(crate) fn record_config_offset(&mut self, id: NodeId, offset: LogOffset) {
        if let Some(member) = self.view.members.get_mut(&id) {
            member.config_offset = member.config_offset.max(offset);
        }
    }

    /// Raises this node's incarnation above the one in a suspicion of it.
    pub(crate) fn refute(&mut self, claimed_incarnation: u64) {
        if let Some(member) = self.view.members.get_mut(&self.self_id) {
            member.incarnation = member.incarnation.max(claimed_incarnation) + 1;
        }
    }

    /// Marks this node as leaving.
    pub(crate) fn leave(&mut self) {
        if let Some(member) = self.view.members.get_mut(&self.self_id) {
            member.state = MemberState::Leaving;
            member.incarnation += 1;
        }
    }

    fn insert(&mut self, update: &MemberUpdate) {
        let member = Member {
            identity: update.identity.clone(),
            state: update.state,
            incarnation: update.incarnation,
            config_offset: update.config_offset,
        };
        if member.state != MemberState::Dead {
            self.running_count += 1;
        }
        self.view.members.insert(update.identity.id, member);
    }

    fn restart_timer(&mut self, now: Moment, id: NodeId) {
        let timer = match self.state(id) {
            Some(MemberState::Suspect) => self.suspicion_timer(now),
            Some(MemberState::Dead) => Timer::Dead { since: now },
            _ => {
                self.timers.remove(&id);
                return;
            }
        };
        self.timers.insert(id, timer);
    }
}

/// Whether an update replaces a member's current state: dead is final, leaving is never reverted,
/// and otherwise the higher incarnation wins, then the later state in the order of `MemberState`.
fn supersedes(member: &Member, update: &MemberUpdate) -> bool {
    if member.state == MemberState::Dead {
        return false;
    }
    if update.state == MemberState::Dead {
        return true;
    }
    if member.state == MemberState::Leaving && update.state != MemberState::Leaving {
        return false;
    }
    (update.incarnation, update.state) > (member.incarnation, member.state)
}

fn peer_of(member: &Member) -> Peer {
    Peer {
        id: member.identity.id,
        address: member.identity.peer_address,
    }
}
