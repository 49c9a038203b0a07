//! Faults that the harness injects.

use havenstage_types::ids::{CallerName, EngineName, NodeId, Zone};
use serde::{Deserialize, Serialize};

/// A fault was injected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultBegan {
    /// The harness's number of the fault.
    pub fault: u64,
    /// What was done.
    pub fault_kind: FaultKind,
}

/// An injected fault was taken away.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultEnded {
    /// The harness's number of the fault.
    pub fault: u64,
}

/// Kinds of injected faults. Killing and freezing nodes have events of their own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Two zones cannot reach each other.
    ZoneCut(Zone, Zone),
    /// A caller cannot reach a node, or is not reached by it. Only this fault and the death or
    /// freeze of the node itself excuse a call that got no final answer.
    CallerCut {
        /// The caller.
        caller: CallerName,
        /// The node.
        node: NodeId,
    },
    /// The log service does not answer.
    LogDown,
    /// The log service answers late.
    LogSlow,
    /// The log service carries out appends whose answers are lost.
    LogAnswersLost,
    /// The weight store does not answer.
    WeightStoreDown,
    /// An engine process dies.
    EngineCrash(EngineName),
    /// An engine does not answer.
    EngineStalled(EngineName),
    /// Version swaps of an engine fail.
    SwapFails(EngineName),
    /// The machine list lags.
    MachineListLag,
    /// Messages between nodes are delayed, lost, repeated or swapped.
    NodeNetworkUnreliable,
}
