//! The network between nodes.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use havenstage_types::gossip::GossipPacket;
use havenstage_types::peer::{PeerRequest, PeerResponse};
use thiserror::Error;

/// Sends to other nodes. Incoming traffic is handed to a [`PeerHandler`].
#[async_trait]
pub trait PeerNetwork: Send + Sync {
    /// Sends a request and waits for the answer, at most `timeout`.
    async fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, PeerError>;

    /// Sends a datagram; it may be lost, doubled or reordered.
    async fn gossip(&self, address: SocketAddr, packet: GossipPacket);
}

/// Takes what other nodes send.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Answers a request.
    async fn handle_request(&self, request: PeerRequest) -> PeerResponse;

    /// Takes a datagram.
    async fn handle_gossip(&self, from: SocketAddr, packet: GossipPacket);
}

/// Why a peer request got no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PeerError {
    /// Not one byte was sent.
    #[error("the peer refused the connection")]
    NotSent,
    /// No answer in time, or the connection broke; the peer may have acted.
    #[error("no answer from the peer")]
    NoAnswer,
    /// The answer could not be understood.
    #[error("the peer's answer is malformed")]
    Malformed,
}
