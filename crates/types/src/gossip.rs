//! Datagrams of the membership protocol (SWIM: probe, indirect probe, piggybacked updates).

use serde::{Deserialize, Serialize};

use crate::ids::{LogOffset, NodeId};
use crate::member::{MemberIdentity, MemberState};

/// One datagram between members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipPacket {
    /// Sender.
    pub from: NodeId,
    /// Highest configuration offset the sender has applied.
    pub config_offset: LogOffset,
    /// How long ago, in milliseconds, the sender knew `config_offset` to be the end of the log;
    /// `None` when it never did. Ages add up as the word is passed on.
    pub log_word_age: Option<u32>,
    /// How many members the sender believes to run, itself included. After a cut heals, the side
    /// that counts fewer members gives way.
    pub running_members: u32,
    /// Probe, answer or plain update.
    pub body: GossipBody,
    /// News about members that the sender passes on.
    pub updates: Vec<MemberUpdate>,
}

/// What a datagram asks or answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipBody {
    /// Answer me.
    Ping {
        /// Number to be echoed.
        sequence: u64,
    },
    /// Answer to a ping.
    Ack {
        /// Number of the ping.
        sequence: u64,
    },
    /// Probe this member for me.
    PingRequest {
        /// Number to be echoed to the asker.
        sequence: u64,
        /// Member to probe.
        target: NodeId,
    },
    /// I am new: send me what you know.
    Join,
    /// Only updates.
    Updates,
}

/// News about one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Who it is about.
    pub identity: MemberIdentity,
    /// State claimed.
    pub state: MemberState,
    /// Incarnation the claim is about.
    pub incarnation: u64,
    /// Highest configuration offset it has reported.
    pub config_offset: LogOffset,
}
