//! What one node believes about each member, and which news beats which.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::gossip::MemberUpdate;
use havenstage_types::ids::{LogOffset, NodeId};
use havenstage_types::member::{Member, MemberIdentity, MemberState, MembershipView};

/// Before its death a suspect is asked this many times more: it may have refuted, and the word may
/// have missed us.
const LAST_CHANCES: u32 = 2;

/// Time between two last chances, and between the last one and the death.
const LAST_CHANCE_INTERVAL: Duration = Duration::from_millis(800);

/// Timer of a member that is not simply alive.
#[derive(Debug, Clone, Copy)]
enum Timer {
    /// Declared dead at a moment unless it refutes.
    Dying { dead_at: Moment, chances_left: u32 },
    /// Dead since a moment.
    Dead { since: Moment },
}

/// A running member to send to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Peer {
    pub(crate) id: NodeId,
    pub(crate) address: SocketAddr,
}

/// The members as this node sees them.
#[derive(Debug, Clone)]
pub(crate) struct Roster {
    self_id: NodeId,
    suspicion_timeout: Duration,
    view: MembershipView,
    timers: BTreeMap<NodeId, Timer>,
    running_count: usize,
}

impl Roster {
    /// A roster that holds only this node.
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

    /// All running members but this node.
    pub(crate) fn peers(&self) -> Vec<Peer> {
        self.view
            .running()
            .filter(|member| member.identity.id != self.self_id)
            .map(peer_of)
            .collect()
    }

    /// The address of a running member.
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

    /// What this node would tell others about a member.
    pub(crate) fn update_about(&self, id: NodeId) -> Option<MemberUpdate> {
        let member = self.member(id)?;
        Some(MemberUpdate {
            identity: member.identity.clone(),
            state: member.state,
            incarnation: member.incarnation,
            config_offset: member.config_offset,
        })
    }

    /// Whether this node believes exactly what the news says.
    pub(crate) fn knows(&self, update: &MemberUpdate) -> bool {
        self.member(update.identity.id).is_some_and(|member| {
            member.state == update.state && member.incarnation == update.incarnation
        })
    }

    /// Takes news about another member; returns whether it was news.
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

    /// A member failed a probe of ours; returns whether its state changed. A leaving member keeps
    /// its state, so that it does not get its roles back, but its time runs all the same.
    pub(crate) fn suspect(&mut self, now: Moment, id: NodeId) -> bool {
        let timer = self.dying_from(now);
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

    /// A member answered what we asked at `asked_at`, so it ran then. A suspect still has to refute
    /// by a higher incarnation, but it gets its full time again. A leaving member's timer is only
    /// ours and ends.
    pub(crate) fn answered(&mut self, asked_at: Moment, id: NodeId) {
        match self.state(id) {
            Some(MemberState::Leaving) => {
                self.timers.remove(&id);
            }
            Some(MemberState::Suspect) => {
                self.timers.insert(id, self.dying_from(asked_at));
            }
            _ => {}
        }
    }

    fn dying_from(&self, moment: Moment) -> Timer {
        Timer::Dying {
            dead_at: moment + self.suspicion_timeout,
            chances_left: LAST_CHANCES,
        }
    }

    /// A member is certainly gone; returns whether that is news.
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

    /// Suspects whose time is over.
    pub(crate) fn overdue_suspects(&self, now: Moment) -> Vec<NodeId> {
        let is_overdue =
            |timer: &Timer| matches!(timer, Timer::Dying { dead_at, .. } if *dead_at <= now);
        self.timers
            .iter()
            .filter(|(_, timer)| is_overdue(timer))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Suspects whose time is nearly over and that are to be asked again now.
    pub(crate) fn take_last_chances(&mut self, now: Moment) -> Vec<NodeId> {
        let mut chances = Vec::new();
        for (id, timer) in &mut self.timers {
            let Timer::Dying {
                dead_at,
                chances_left,
            } = timer
            else {
                continue;
            };
            if *chances_left > 0 && *dead_at <= now + LAST_CHANCE_INTERVAL * *chances_left {
                *chances_left -= 1;
                chances.push(*id);
            }
        }
        chances
    }

    /// This process did not run for a while, so suspects could not refute: give them the time.
    pub(crate) fn extend_suspicions(&mut self, stall: Duration) {
        for timer in self.timers.values_mut() {
            if let Timer::Dying { dead_at, .. } = timer {
                *dead_at = *dead_at + stall;
            }
        }
    }

    /// Forgets members that have been dead for longer than `retention`; returns them.
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

    /// A member reported its applied configuration offset.
    pub(crate) fn note_config_offset(&mut self, id: NodeId, offset: LogOffset) {
        if let Some(member) = self.view.members.get_mut(&id) {
            member.config_offset = member.config_offset.max(offset);
        }
    }

    /// Raises this node's own incarnation above a claim about it.
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
            Some(MemberState::Suspect) => self.dying_from(now),
            Some(MemberState::Dead) => Timer::Dead { since: now },
            _ => {
                self.timers.remove(&id);
                return;
            }
        };
        self.timers.insert(id, timer);
    }
}

/// Whether news beats what is believed: dead is final, leaving is never taken back, and otherwise
/// the higher incarnation wins, then the worse state.
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
