//! Which process runs on each machine, as the processes say when they start.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{MachineName, NodeId};

/// The processes that were started on each machine.
#[derive(Debug, Default)]
pub struct MachineLives {
    machines: BTreeMap<MachineName, Lives>,
}

/// Processes of one machine.
#[derive(Debug)]
struct Lives {
    newest: u32,
    /// All that ever joined: a record that is read again must not bring an earlier one back.
    seen: BTreeSet<u32>,
}

impl MachineLives {
    /// A process started.
    pub fn joined(&mut self, node: NodeId) {
        let lives = self.machines.entry(node.machine).or_insert_with(|| Lives {
            newest: node.life,
            seen: BTreeSet::new(),
        });
        if lives.seen.insert(node.life) {
            lives.newest = node.life;
        }
    }

    /// Machines on which a process ever started.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Whether a process has joined and another one started on its machine later: a machine runs one
    /// at a time, so it is gone.
    pub fn is_replaced(&self, node: &NodeId) -> bool {
        self.machines
            .get(&node.machine)
            .is_some_and(|lives| lives.newest != node.life && lives.seen.contains(&node.life))
    }
}
