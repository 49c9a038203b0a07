//! Lives of nodes and the faults that excuse a call without a final answer.

use std::collections::BTreeMap;

use havenstage_types::ids::{CallerName, NodeId};

use crate::event::fault::FaultKind;
use crate::event::{EventBody, HistoryEvent};

/// When an open period ends: later than any event.
const NEVER_MS: u64 = u64::MAX;

/// A period, both ends included.
#[derive(Debug, Clone, Copy)]
struct Period {
    from_ms: u64,
    to_ms: u64,
}

impl Period {
    fn overlaps(&self, from_ms: u64, to_ms: u64) -> bool {
        self.from_ms <= to_ms && from_ms <= self.to_ms
    }
}

/// What is known of the faults in a history.
#[derive(Debug, Default)]
pub(super) struct FaultIndex {
    /// Periods in which a node was dead by force or frozen.
    node_faults: BTreeMap<NodeId, Vec<Period>>,
    caller_cuts: Vec<(CallerName, NodeId, Period)>,
}

impl FaultIndex {
    /// Gathers the faults of `events`.
    pub fn new(events: &[HistoryEvent]) -> Self {
        let mut ordered: Vec<_> = events.iter().collect();
        ordered.sort_by_key(|event| event.at_ms);
        let ends = fault_ends(&ordered);
        let mut index = Self::default();
        for event in ordered {
            index.apply(event, &ends);
        }
        index
    }

    /// Whether a fault outside the system can explain that a call between `from_ms` and `to_ms`
    /// got no final answer. A call whose node is unknown is excused by the fault of any node.
    pub fn excuse_call(
        &self,
        caller: &CallerName,
        node: Option<NodeId>,
        from_ms: u64,
        to_ms: u64,
    ) -> bool {
        let same_node = |other: NodeId| node.is_none_or(|node| node == other);
        let node_fault = self
            .node_faults
            .iter()
            .filter(|(other, _)| same_node(**other))
            .flat_map(|(_, periods)| periods)
            .any(|period| period.overlaps(from_ms, to_ms));
        let cut = self.caller_cuts.iter().any(|(who, other, period)| {
            who == caller && same_node(*other) && period.overlaps(from_ms, to_ms)
        });
        node_fault || cut
    }

    fn apply(&mut self, event: &HistoryEvent, ends: &BTreeMap<u64, u64>) {
        let open = Period {
            from_ms: event.at_ms,
            to_ms: NEVER_MS,
        };
        match &event.body {
            EventBody::NodeKilled(killed) => {
                self.node_faults.entry(killed.node).or_default().push(open);
            }
            EventBody::NodeFrozen(frozen) => {
                self.node_faults.entry(frozen.node).or_default().push(open);
            }
            EventBody::NodeWoken(woken) => {
                let periods = self.node_faults.get_mut(&woken.node);
                if let Some(last) = periods.and_then(|periods| periods.last_mut()) {
                    last.to_ms = event.at_ms;
                }
            }
            EventBody::FaultBegan(began) => {
                if let FaultKind::CallerCut { caller, node } = &began.fault_kind {
                    let to_ms = ends.get(&began.fault).copied().unwrap_or(NEVER_MS);
                    let period = Period { to_ms, ..open };
                    self.caller_cuts.push((caller.clone(), *node, period));
                }
            }
            _ => {}
        }
    }
}

fn fault_ends(events: &[&HistoryEvent]) -> BTreeMap<u64, u64> {
    events
        .iter()
        .filter_map(|event| match &event.body {
            EventBody::FaultEnded(ended) => Some((ended.fault, event.at_ms)),
            _ => None,
        })
        .collect()
}
