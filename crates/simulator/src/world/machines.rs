//! The machines of the nodes and what runs on them now.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use havenstage_types::ids::Zone;

use super::place::Place;
use super::process::NodeProcess;

/// A machine that runs a node.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Zone it stands in.
    pub zone: Zone,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub http_address: SocketAddr,
}

/// All machines of nodes.
pub struct Machines {
    machines: Vec<Machine>,
    by_address: BTreeMap<SocketAddr, usize>,
    processes: Mutex<Vec<Option<Arc<NodeProcess>>>>,
}

impl Machines {
    /// Machines on which nothing runs yet.
    pub fn new(machines: Vec<Machine>) -> Arc<Self> {
        let by_address = machines
            .iter()
            .enumerate()
            .map(|(index, machine)| (machine.peer_address, index))
            .collect();
        let processes = Mutex::new(vec![None; machines.len()]);
        Arc::new(Self {
            machines,
            by_address,
            processes,
        })
    }

    /// All machines, in order of their numbers.
    pub fn all(&self) -> &[Machine] {
        &self.machines
    }

    /// The place of the machine with this peer address.
    pub fn place_of(&self, address: SocketAddr) -> Option<Place> {
        self.by_address.get(&address).copied().map(Place::Node)
    }

    /// The process that runs on a machine now.
    pub fn process(&self, machine: usize) -> Option<Arc<NodeProcess>> {
        self.lock().get(machine).cloned().flatten()
    }

    /// The process that listens at this peer address now.
    pub fn process_at(&self, address: SocketAddr) -> Option<Arc<NodeProcess>> {
        self.process(*self.by_address.get(&address)?)
    }

    /// All processes that run now.
    pub fn processes(&self) -> Vec<Arc<NodeProcess>> {
        self.lock().iter().flatten().cloned().collect()
    }

    pub(super) fn set_process(&self, machine: usize, process: Option<Arc<NodeProcess>>) {
        if let Some(slot) = self.lock().get_mut(machine) {
            *slot = process;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Option<Arc<NodeProcess>>>> {
        self.processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
