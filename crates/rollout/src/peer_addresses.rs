//! Addresses at which nodes that run batches answer other nodes, as they announce them in the control stream.
//!
//! An incarnation is one start of a node's process, identified by `life`, a random number.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::ids::{MachineName, NodeId};

/// The address of a node in a checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// The node, including its incarnation.
    pub node: NodeId,
    /// Address at which it answers questions of other nodes.
    pub address: SocketAddr,
}

/// The announced address of the newest incarnation on each machine.
#[derive(Debug, Default)]
pub struct PeerAddresses(BTreeMap<MachineName, KnownPeer>);

#[derive(Debug)]
struct KnownPeer {
    life: u32,
    address: SocketAddr,
    /// When its last heartbeat was read.
    last_heartbeat_at: Millis,
}

impl PeerAddresses {
    /// Records the address that a node announced, which replaces that of any other incarnation on its machine.
    pub fn record_address(&mut self, node: NodeId, address: SocketAddr, now: Millis) {
        let peer = KnownPeer {
            life: node.life,
            address,
            last_heartbeat_at: now,
        };
        self.0.insert(node.machine, peer);
    }

    /// Records a heartbeat of a node; ignored if its address is not known.
    pub fn record_heartbeat(&mut self, node: &NodeId, now: Millis) {
        let known = self.0.get_mut(&node.machine);
        if let Some(known) = known.filter(|known| known.life == node.life) {
            known.last_heartbeat_at = now;
        }
    }

    /// Address of a node, and when its last heartbeat was read; `None` if the address is not known, or belongs to
    /// another incarnation.
    pub fn of(&self, node: &NodeId) -> Option<(SocketAddr, Millis)> {
        let known = self.0.get(&node.machine)?;
        (known.life == node.life).then_some((known.address, known.last_heartbeat_at))
    }

    /// Removes nodes whose last heartbeat was read before `before`.
    pub fn forget_before(&mut self, before: Millis) {
        self.0.retain(|_, known| known.last_heartbeat_at >= before);
    }

    /// All addresses for a checkpoint, without the times of their heartbeats.
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

    /// Restores the addresses of a checkpoint, as if a heartbeat of each node had been read at `now`.
    pub fn restored(peers: Vec<PeerAddress>, now: Millis) -> Self {
        let mut addresses = Self::default();
        for PeerAddress { node, address } in peers {
            addresses.record_address(node, address, now);
        }
        addresses
    }
}
