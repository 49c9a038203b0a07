//! Rates between two moments.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use havenstage_standin::log_service::LogRecord;
use havenstage_types::ids::NodeId;

use super::NODE_THREAD_NAME;
use super::cluster::Cluster;
use super::error::ScaleError;
use super::hollow_node::NodeTotals;
use super::process::{self, ThreadTime};
use super::report::{KindRate, WindowReport};
use super::traffic::TrafficKind;

/// Everything that is counted, at one moment.
pub(super) struct Reading {
    at: Instant,
    time: ThreadTime,
    nodes: BTreeMap<NodeId, NodeTotals>,
    log: LogRecord,
}

impl Reading {
    /// Reads all counters.
    pub(super) fn take(cluster: &Cluster) -> Result<Self, ScaleError> {
        Ok(Self {
            at: Instant::now(),
            time: process::time_of_threads(NODE_THREAD_NAME)?,
            nodes: cluster
                .nodes
                .iter()
                .map(|node| (node.id(), node.totals()))
                .collect(),
            log: cluster.platform.log_record(),
        })
    }

    /// Rates since this reading, of the nodes that are there in both.
    pub(super) fn until_now(&self, cluster: &Cluster) -> Result<WindowReport, ScaleError> {
        let now = Self::take(cluster)?;
        let elapsed = now.at - self.at;
        let seconds = elapsed.as_secs_f64();
        let pairs: Vec<(&NodeTotals, &NodeTotals)> = now
            .nodes
            .iter()
            .filter_map(|(id, totals)| Some((self.nodes.get(id)?, totals)))
            .collect();
        let counted = pairs.len().max(1) as f64;
        let time = now.time.since(self.time);
        let node_count = cluster.nodes.len().max(1) as f64;
        let control: Vec<f64> = pairs
            .iter()
            .map(|(earlier, later)| {
                later.control_bytes.saturating_sub(earlier.control_bytes) as f64 / seconds
            })
            .collect();
        let log_rate = |later: u64, earlier: u64| later.saturating_sub(earlier) as f64 / seconds;
        Ok(WindowReport {
            seconds,
            cpu_percent_per_node: percent(time.running, elapsed) / node_count,
            cpu_wait_percent_per_node: percent(time.waiting, elapsed) / node_count,
            control_bytes_per_second: control.iter().sum::<f64>() / counted,
            highest_control_bytes_per_second: control.iter().copied().fold(0.0, f64::max),
            kinds: kind_rates(&pairs, seconds * counted),
            log_reads_per_second: log_rate(now.log.reads, self.log.reads),
            log_appends_per_second: log_rate(now.log.appends, self.log.appends),
            log_appended_bytes_per_second: log_rate(
                now.log.appended_bytes,
                self.log.appended_bytes,
            ),
        })
    }
}

fn percent(part: Duration, whole: Duration) -> f64 {
    100.0 * part.as_secs_f64() / whole.as_secs_f64()
}

/// Rates by kind; `node_seconds` is the length of the window times the number of nodes.
fn kind_rates(
    pairs: &[(&NodeTotals, &NodeTotals)],
    node_seconds: f64,
) -> BTreeMap<TrafficKind, KindRate> {
    let mut rates: BTreeMap<TrafficKind, KindRate> = BTreeMap::new();
    for (earlier, later) in pairs {
        for (kind, totals) in &later.kinds {
            let before = earlier.kinds.get(kind).copied().unwrap_or_default();
            let rate = rates.entry(*kind).or_default();
            let per_second = |now: u64, then: u64| now.saturating_sub(then) as f64 / node_seconds;
            rate.messages_per_second += per_second(totals.messages, before.messages);
            rate.sent_bytes_per_second += per_second(totals.sent_bytes, before.sent_bytes);
            rate.received_bytes_per_second +=
                per_second(totals.received_bytes, before.received_bytes);
        }
    }
    rates
}
