//! The real network between nodes, counted, with links that can be cut.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use async_trait::async_trait;
use havenstage_edge::peer::{PeerError, PeerNetwork};
use havenstage_peer_net::TcpUdpNetwork;
use havenstage_types::codec;
use havenstage_types::gossip::GossipPacket;
use havenstage_types::peer::{PeerRequest, PeerResponse};
use serde::Serialize;

use super::traffic::{NodeTraffic, TrafficKind};

/// Bytes in front of each request and answer: the length and the number of the request.
const FRAME_HEADER_BYTES: usize = 6;

/// Which addresses cannot reach which.
#[derive(Debug, Default)]
pub(super) struct Links {
    state: RwLock<LinkState>,
}

#[derive(Debug, Default)]
struct LinkState {
    /// Addresses cut off from all others.
    cut_off: BTreeSet<SocketAddr>,
    /// Addresses whose process has died.
    dead: BTreeSet<SocketAddr>,
}

impl Links {
    /// Cuts a group of addresses off from all others.
    pub(super) fn cut_off(&self, group: BTreeSet<SocketAddr>) {
        self.write().cut_off = group;
    }

    /// Ends the cut.
    pub(super) fn heal(&self) {
        self.write().cut_off.clear();
    }

    /// Nothing comes from this address any more.
    pub(super) fn kill(&self, address: SocketAddr) {
        self.write().dead.insert(address);
    }

    /// A new process has this address.
    pub(super) fn revive(&self, address: SocketAddr) {
        self.write().dead.remove(&address);
    }

    fn carries(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        let same_side = state.cut_off.contains(&from) == state.cut_off.contains(&to);
        same_side && !state.dead.contains(&from)
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, LinkState> {
        self.state.write().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One node's side of the network.
pub(super) struct CountedNetwork {
    network: TcpUdpNetwork,
    own: SocketAddr,
    links: Arc<Links>,
    traffic: Arc<NodeTraffic>,
}

impl CountedNetwork {
    pub(super) fn new(
        network: TcpUdpNetwork,
        own: SocketAddr,
        links: Arc<Links>,
        traffic: Arc<NodeTraffic>,
    ) -> Self {
        Self {
            network,
            own,
            links,
            traffic,
        }
    }
}

#[async_trait]
impl PeerNetwork for CountedNetwork {
    async fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, PeerError> {
        if !self.links.carries(self.own, address) {
            tokio::time::sleep(timeout).await;
            return Err(PeerError::NoAnswer);
        }
        let kind = TrafficKind::of_request(&request.body);
        let sent = FRAME_HEADER_BYTES + encoded_bytes(&request);
        let answer = self.network.call(address, request, timeout).await;
        let received = answer
            .as_ref()
            .map_or(0, |response| FRAME_HEADER_BYTES + encoded_bytes(response));
        self.traffic.count(kind, sent, received);
        answer
    }

    async fn gossip(&self, address: SocketAddr, packet: GossipPacket) {
        if !self.links.carries(self.own, address) {
            return;
        }
        let kind = TrafficKind::of_gossip(&packet.body);
        self.traffic.count(kind, encoded_bytes(&packet), 0);
        self.network.gossip(address, packet).await;
    }
}

fn encoded_bytes<T: Serialize>(message: &T) -> usize {
    codec::encode(message).map_or(0, |bytes| bytes.len())
}
