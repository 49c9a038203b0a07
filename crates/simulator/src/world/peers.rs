//! The network between nodes, as one node uses it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use havenstage_edge::peer::{PeerError, PeerHandler, PeerNetwork};
use havenstage_types::codec;
use havenstage_types::gossip::GossipPacket;
use havenstage_types::peer::{PeerRequest, PeerResponse};
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::machines::Machines;
use super::network::Network;
use super::place::Place;
use super::process::NodeProcess;

/// A node's way to the others.
#[derive(Clone)]
pub struct SimulatedPeers {
    machines: Arc<Machines>,
    network: Arc<Network>,
    place: Place,
    address: SocketAddr,
}

impl SimulatedPeers {
    /// The peers of the node at `place`, which has this address itself.
    pub fn new(
        machines: Arc<Machines>,
        network: Arc<Network>,
        place: Place,
        address: SocketAddr,
    ) -> Self {
        Self {
            machines,
            network,
            place,
            address,
        }
    }

    /// Makes a connection; fails if there is nobody, or silence for too long. A new connection that
    /// meets silence was never made, an old one may have carried the request.
    async fn connect(&self, address: SocketAddr, patience: Duration) -> Result<Place, PeerError> {
        let there = self.machines.place_of(address).ok_or(PeerError::NotSent)?;
        if self.network.is_connected(self.place, there) {
            return Ok(there);
        }
        tokio::time::sleep(patience.min(self.network.settings().connect_timeout)).await;
        if self.network.is_connected(self.place, there) {
            return Ok(there);
        }
        Err(match self.network.is_old_connection() {
            true => PeerError::NoAnswer,
            false => PeerError::NotSent,
        })
    }
}

#[async_trait]
impl PeerNetwork for SimulatedPeers {
    async fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        patience: Duration,
    ) -> Result<PeerResponse, PeerError> {
        let there = self.connect(address, patience).await?;
        self.network.count_request(encoded_len(&request));
        let (sender, answer) = oneshot::channel();
        let peers = self.clone();
        // The request goes on by itself whatever becomes of its sender.
        tokio::spawn(async move {
            if !peers.network.carry(peers.place, there).await {
                return;
            }
            let result = match peers.machines.process_at(address) {
                Some(process) => answer_in(&process, request).await,
                None => Err(PeerError::NotSent),
            };
            if let Ok(response) = &result {
                peers.network.count_request(encoded_len(response));
            }
            if peers.network.carry(there, peers.place).await {
                // The one who asked may have gone.
                let _ = sender.send(result);
            }
        });
        match timeout(patience, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(PeerError::NoAnswer),
        }
    }

    async fn gossip(&self, address: SocketAddr, packet: GossipPacket) {
        let Some(there) = self.machines.place_of(address) else {
            return;
        };
        self.network.count_datagram_bytes(encoded_len(&packet));
        for delay in self.network.datagram(self.place, there) {
            let machines = self.machines.clone();
            let packet = packet.clone();
            let from = self.address;
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                if let Some(process) = machines.process_at(address) {
                    take_datagram(&process, from, packet);
                }
            });
        }
    }
}

/// Length of a message as the real network encodes it.
fn encoded_len(message: &impl Serialize) -> usize {
    codec::encode(message).map_or(0, |bytes| bytes.len())
}

/// Lets a process answer. The connection breaks when the process ends first.
async fn answer_in(
    process: &Arc<NodeProcess>,
    request: PeerRequest,
) -> Result<PeerResponse, PeerError> {
    let node = process.node().clone();
    let answered = process
        .spawner()
        .spawn(async move { node.handle_request(request).await });
    tokio::select! {
        biased;
        answer = answered => answer.ok().flatten().ok_or(PeerError::NoAnswer),
        () = process.ended() => Err(PeerError::NoAnswer),
    }
}

fn take_datagram(process: &Arc<NodeProcess>, from: SocketAddr, packet: GossipPacket) {
    let node = process.node().clone();
    process
        .spawner()
        .spawn(async move { node.handle_gossip(from, packet).await });
}
