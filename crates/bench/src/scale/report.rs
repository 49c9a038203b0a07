//! What a scale run found.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::settings::{ClusterSize, ScaleSettings};
use super::slopes::{self, Slope};
use super::traffic::TrafficKind;

/// What a scale run found.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScaleReport {
    /// Settings of the run; of the first one when reports were joined.
    pub settings: ScaleSettings,
    /// Processors of the machine. Other work may have run on them too; see
    /// [`WindowReport::cpu_wait_percent_per_node`].
    pub processors: usize,
    /// One entry for each size.
    pub sizes: Vec<SizeReport>,
    /// Straight lines through the figures of the sizes.
    pub slopes: Vec<Slope>,
}

impl ScaleReport {
    /// A report with the slopes worked out.
    pub fn new(settings: ScaleSettings, processors: usize, sizes: Vec<SizeReport>) -> Self {
        let slopes = slopes::of_sizes(&sizes);
        Self {
            settings,
            processors,
            sizes,
            slopes,
        }
    }

    /// Joins reports of single sizes into one; `None` when there is none.
    pub fn joined(reports: Vec<ScaleReport>) -> Option<Self> {
        let first = reports.first()?;
        let settings = first.settings.clone();
        let processors = first.processors;
        let mut sizes: Vec<SizeReport> = reports
            .into_iter()
            .flat_map(|report| report.sizes)
            .collect();
        sizes.sort_by_key(|report| (report.size.nodes, report.size.engines));
        Some(Self::new(settings, processors, sizes))
    }
}

/// Figures of one size. A phase that was not asked for is `None`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct SizeReport {
    /// Nodes and engines.
    pub size: ClusterSize,
    /// Seconds from the last node's start until all agreed.
    pub converge_seconds: f64,
    /// Memory that this process gained for each node, connections of the stand-ins included.
    pub memory_bytes_per_node: f64,
    /// See [`Phase::Idle`](super::settings::Phase::Idle).
    pub idle: Option<WindowReport>,
    /// See [`Phase::ConfigChanges`](super::settings::Phase::ConfigChanges).
    pub config_changes: Option<ConfigChangesReport>,
    /// See [`Phase::ChangeRate`](super::settings::Phase::ChangeRate).
    pub change_rate: Option<RateReport>,
    /// See [`Phase::Version`](super::settings::Phase::Version).
    pub version: Option<VersionReport>,
    /// See [`Phase::Requests`](super::settings::Phase::Requests).
    pub requests: Option<RateReport>,
    /// See [`Phase::AtMostOnceRequests`](super::settings::Phase::AtMostOnceRequests).
    pub at_most_once_requests: Option<RateReport>,
    /// See [`Phase::TrainingStep`](super::settings::Phase::TrainingStep).
    pub training_step: Option<TrainingReport>,
    /// See [`Phase::NodeDeath`](super::settings::Phase::NodeDeath).
    pub node_death: Option<NodeDeathReport>,
    /// See [`Phase::Replacements`](super::settings::Phase::Replacements).
    pub replacements: Option<RateReport>,
    /// See [`Phase::ZoneCut`](super::settings::Phase::ZoneCut).
    pub zone_cut: Option<ZoneCutReport>,
}

/// Rates in one window, for each node unless said otherwise.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct WindowReport {
    /// Length of the window.
    pub seconds: f64,
    /// Processor time of the nodes' threads, in percent of one processor.
    pub cpu_percent_per_node: f64,
    /// Time that the nodes' threads waited for a busy processor, in percent of one processor.
    pub cpu_wait_percent_per_node: f64,
    /// Control bytes sent and received, HTTP heads included, without TCP, UDP and IP headers.
    pub control_bytes_per_second: f64,
    /// The same of the node that had the most.
    pub highest_control_bytes_per_second: f64,
    /// By kind of message, as far as the node began it.
    pub kinds: BTreeMap<TrafficKind, KindRate>,
    /// Reads asked of the log by all nodes together.
    pub log_reads_per_second: f64,
    /// Appends asked of the log by all nodes together.
    pub log_appends_per_second: f64,
    /// Payload bytes appended by all nodes together.
    pub log_appended_bytes_per_second: f64,
}

/// Rate of one kind of message.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct KindRate {
    /// Messages begun.
    pub messages_per_second: f64,
    /// Bytes sent in them.
    pub sent_bytes_per_second: f64,
    /// Bytes of their answers.
    pub received_bytes_per_second: f64,
}

/// Times of single configuration changes, one entry for each change.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ConfigChangesReport {
    /// Until the operator was told that the change is in force everywhere.
    pub acknowledged_seconds: Vec<f64>,
    /// Until the last node had applied it.
    pub last_applied_seconds: Vec<f64>,
}

/// What a steady rate of events costs.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RateReport {
    /// Events done as asked.
    pub done: u64,
    /// Events not done as asked.
    pub failed: u64,
    /// Events a second, of all nodes together.
    pub per_second: f64,
    /// Rates while the events went on.
    pub window: WindowReport,
    /// What was added to the idle rates, divided by the events; `None` without an idle window.
    pub cost: Option<EventCost>,
    /// Seconds from an event's start to its end: median, 99th percentile and longest.
    pub latency_seconds: Option<LatencyReport>,
    /// Seconds after the last event until all nodes agreed again.
    pub agreed_after_seconds: Option<f64>,
}

/// What one event costs.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct EventCost {
    /// Processor time in microseconds, of all nodes together.
    pub cpu_microseconds: f64,
    /// Control bytes sent and received, of all nodes together.
    pub control_bytes: f64,
    /// Log appends.
    pub log_appends: f64,
    /// Payload bytes appended to the log.
    pub log_bytes: f64,
}

impl EventCost {
    /// What `window` had more than `idle`, over `events` events of `nodes` nodes.
    pub fn of(idle: &WindowReport, window: &WindowReport, nodes: usize, events: u64) -> Self {
        let per_event = window.seconds / events.max(1) as f64;
        let of_all_nodes = nodes as f64 * per_event;
        let cpu = window.cpu_percent_per_node - idle.cpu_percent_per_node;
        Self {
            cpu_microseconds: cpu / 100.0 * 1e6 * of_all_nodes,
            control_bytes: (window.control_bytes_per_second - idle.control_bytes_per_second)
                * of_all_nodes,
            log_appends: (window.log_appends_per_second - idle.log_appends_per_second) * per_event,
            log_bytes: (window.log_appended_bytes_per_second - idle.log_appended_bytes_per_second)
                * per_event,
        }
    }
}

/// Spread of latencies in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct LatencyReport {
    /// Median.
    pub median: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Longest.
    pub longest: f64,
}

/// A new weight version.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct VersionReport {
    /// Engines of the model.
    pub engines: usize,
    /// From the operator's call until every engine has the version; fetch and load take no time.
    pub on_all_engines_seconds: f64,
}

/// One step of a training job.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct TrainingReport {
    /// Samples of the step.
    pub samples: u64,
    /// From the job's acceptance until the trainer has the whole step.
    pub seconds: f64,
    /// Rates meanwhile.
    pub window: WindowReport,
    /// Cost of a sample; `None` without an idle window.
    pub cost: Option<EventCost>,
}

/// Deaths of nodes, one entry for each.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct NodeDeathReport {
    /// Until no node gives the dead node roles any more.
    pub out_of_every_view_seconds: Vec<f64>,
    /// Until its engines have homes again.
    pub engines_rehomed_seconds: Vec<f64>,
    /// From the start of the node that replaces it until it is in every view.
    pub replacement_in_every_view_seconds: Vec<f64>,
}

/// A zone's cut and return.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ZoneCutReport {
    /// Nodes of the zone.
    pub nodes_cut_off: usize,
    /// From the cut until each side gives roles only to its own nodes.
    pub sides_apart_seconds: f64,
    /// From the return until all nodes agree on all members.
    pub joined_again_seconds: f64,
    /// Nodes that came back under a new identity.
    pub new_identities: usize,
    /// Rates from the cut to the agreement.
    pub window: WindowReport,
}

impl Default for ClusterSize {
    fn default() -> Self {
        Self {
            nodes: 1,
            engines: 0,
        }
    }
}
