//! Members: the nodes of the deployment as gossip and the log know them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{LogOffset, NodeId, Zone};

/// Who a member is; fixed for the life of its process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberIdentity {
    /// Identity of the process run.
    pub id: NodeId,
    /// Name from the settings, for people.
    pub name: String,
    /// Zone of the machine.
    pub zone: Zone,
    /// UDP address for gossip and TCP address for peer requests (the same IP and port).
    pub peer_address: SocketAddr,
    /// HTTP address for callers, trainers and operators.
    pub http_address: SocketAddr,
}

/// Whether a member is believed to be running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a probe; still owns its roles until declared dead.
    Suspect,
    /// Stopping as planned; finishes its work and owns no roles.
    Leaving,
    /// Gone. A process declared dead that still runs must come back with a new identity.
    Dead,
}

/// A member as one node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Who it is.
    pub identity: MemberIdentity,
    /// What this node believes about it.
    pub state: MemberState,
    /// Raised by the member itself to refute a suspicion.
    pub incarnation: u64,
    /// Highest configuration offset it has reported to have applied.
    pub config_offset: LogOffset,
}

/// All members as one node sees them at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MembershipView {
    /// Members by identity, this node included.
    pub members: BTreeMap<NodeId, Member>,
}

impl MembershipView {
    /// Members that may own roles: alive or only suspected.
    pub fn owners(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
    }

    /// Members that still run, leaving ones included.
    pub fn running(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.state != MemberState::Dead)
    }
}
