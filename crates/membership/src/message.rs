//! What goes into the membership state machine and what comes out.

use std::net::SocketAddr;

use havenstage_types::clock::Moment;
use havenstage_types::gossip::GossipPacket;
use havenstage_types::ids::{LogOffset, NodeId};

/// An event for [`Membership::handle`](crate::Membership::handle).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipInput {
    /// The moment named by [`Membership::next_tick`](crate::Membership::next_tick) has come.
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
    /// must count alike, so that "applied equals end" means that nothing is missing.
    ConfigApplied(LogOffset),
    /// The log service named the end of the configuration stream.
    LogWord {
        /// When the log was asked.
        asked_at: Moment,
        /// The end it named.
        end: LogOffset,
    },
    /// An operator waits until every member has applied this offset: ask those that have not
    /// reported it, at most once a second each.
    AwaitConfig(LogOffset),
    /// This node stops as planned: it gives up its roles but goes on answering.
    Leave,
}

/// What the caller of [`Membership::handle`](crate::Membership::handle) has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send {
        /// Address to send to.
        to: SocketAddr,
        /// The datagram.
        packet: GossipPacket,
    },
    /// A member came, went or changed its state.
    ViewChanged,
    /// A peer has applied configuration that this node lacks; ask it for the records. At most one
    /// in a probe interval.
    ConfigBehind {
        /// The peer.
        peer: NodeId,
    },
    /// The others declared this node dead, which is final. The state machine does nothing more;
    /// the process must start a new one with a new node id.
    DeclaredDead,
}
