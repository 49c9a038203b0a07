//! Where nodes that run batches answer other nodes, as they tell in the control stream.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::ids::{MachineName, NodeId};

/// The address of a node in a checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// The node.
    pub node: NodeId,
    /// Where it answers.
    pub address: SocketAddr,
}

/// The addresses of the newest life of each machine that told one.
#[derive(Debug, Default)]
pub struct PeerAddresses(BTreeMap<MachineName, KnownPeer>);

#[derive(Debug)]
struct KnownPeer {
    life: u32,
    address: SocketAddr,
    /// When a sign of its life was last read.
    heard: Millis,
}

impl PeerAddresses {
    /// A node told its address.
    pub fn record_address(&mut self, node: NodeId, address: SocketAddr, now: Millis) {
        let peer = KnownPeer {
            life: node.life,
            address,
            heard: now,
        };
        self.0.insert(node.machine, peer);
    }

    /// A node told that it is alive.
    pub fn record_heartbeat(&mut self, node: &NodeId, now: Millis) {
        let known = self.0.get_mut(&node.machine);
        if let Some(known) = known.filter(|known| known.life == node.life) {
            known.heard = now;
        }
    }

    /// Where a node answers, and when a sign of its life was last read.
    pub fn of(&self, node: &NodeId) -> Option<(SocketAddr, Millis)> {
        let known = self.0.get(&node.machine)?;
        (known.life == node.life).then_some((known.address, known.heard))
    }

    /// Forgets nodes that were not heard of since `before`.
    pub fn forget_before(&mut self, before: Millis) {
        self.0.retain(|_, known| known.heard >= before);
    }

    /// All addresses, without times.
    pub fn checkpoint(&self) -> Vec<PeerAddress> {
        let known = self.0.iter();
        known
            .map(|(machine, known)| PeerAddress {
                node: NodeId {
                    machine: machine.clone(),
                    life: known.life,
                },
                address: known.address,
            })
            .collect()
    }

    /// The addresses of a checkpoint, heard of now.
    pub fn restored(peers: Vec<PeerAddress>, now: Millis) -> Self {
        let mut addresses = Self::default();
        for PeerAddress { node, address } in peers {
            addresses.record_address(node, address, now);
        }
        addresses
    }
}
