//! Inputs and actions of the membership state machine.

use std::net::SocketAddr;

use havenstage_types::clock::Moment;
use havenstage_types::gossip::GossipPacket;
use havenstage_types::ids::{LogOffset, NodeId};

/// An event for [`Membership::handle`](crate::Membership::handle).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipInput {
    /// The time returned by [`Membership::next_tick`](crate::Membership::next_tick) has come.
    Tick,
    /// A datagram arrived.
    Packet {
        /// Address it came from.
        from: SocketAddr,
        /// The datagram.
        packet: GossipPacket,
    },
    /// Peer addresses from the settings or the machine list; replaces the earlier ones.
    Seeds(Vec<SocketAddr>),
    /// This node has applied the configuration up to this offset. Applied offsets and log ends
    /// use the same numbering, so that "applied equals end" means that no record is missing.
    ConfigApplied(LogOffset),
    /// The log service returned the end of the configuration stream.
    LogEndReport {
        /// When the request was sent to the log.
        asked_at: Moment,
        /// Offset of the end of the stream.
        end: LogOffset,
    },
    /// An operator waits until every member has applied this offset: ping those that have not
    /// reported it, at most once a second each.
    AwaitConfig(LogOffset),
    /// This node shuts down as planned: it gives up its roles but continues to answer.
    Leave,
}

/// An action that the caller of [`Membership::handle`](crate::Membership::handle) must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send {
        /// Address to send to.
        to: SocketAddr,
        /// The datagram.
        packet: GossipPacket,
    },
    /// A member joined, died or changed its state.
    ViewChanged,
    /// A peer has applied configuration that this node lacks; ask it for the records. At most one
    /// in a probe interval.
    ConfigBehind {
        /// Peer to ask for the records.
        peer: NodeId,
    },
    /// The other members declared this node dead, which is final. The state machine ignores all
    /// further inputs; the process must create a new one with a new node id.
    DeclaredDead,
}
