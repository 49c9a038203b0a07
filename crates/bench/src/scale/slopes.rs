//! Straight lines through figures, by least squares.

use serde::{Deserialize, Serialize};

use super::report::SizeReport;

/// Figures of a size that lines are drawn through.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Idle processor time of a node, percent of a core.
    IdleCpuPercent,
    /// Idle control bytes of a node, bytes a second.
    IdleControlBytes,
    /// Memory of a node, bytes.
    MemoryBytes,
    /// Processor time of one configuration change, microseconds at each node.
    ChangeCpuMicroseconds,
    /// Control bytes of one configuration change at each node.
    ChangeControlBytes,
    /// Processor time of one replacement, microseconds at each node.
    ReplacementCpuMicroseconds,
    /// Control bytes of one replacement at each node.
    ReplacementControlBytes,
    /// Processor time of one live request, microseconds of all nodes.
    RequestCpuMicroseconds,
    /// Control bytes of one live request, of all nodes.
    RequestControlBytes,
    /// Longest time until a change was acknowledged as in force, seconds.
    ChangeInForceSeconds,
    /// Longest time until a dead node was out of every view, seconds.
    DeathOutOfViewsSeconds,
}

impl Metric {
    /// All metrics.
    pub const ALL: [Metric; 11] = [
        Metric::IdleCpuPercent,
        Metric::IdleControlBytes,
        Metric::MemoryBytes,
        Metric::ChangeCpuMicroseconds,
        Metric::ChangeControlBytes,
        Metric::ReplacementCpuMicroseconds,
        Metric::ReplacementControlBytes,
        Metric::RequestCpuMicroseconds,
        Metric::RequestControlBytes,
        Metric::ChangeInForceSeconds,
        Metric::DeathOutOfViewsSeconds,
    ];

    /// The metric's value at a size, if it was measured.
    pub fn of(self, report: &SizeReport) -> Option<f64> {
        let nodes = report.size.nodes as f64;
        let idle = report.idle.as_ref();
        let change = report.change_rate.as_ref().and_then(|rate| rate.cost);
        let replacement = report.replacements.as_ref().and_then(|rate| rate.cost);
        let request = report.requests.as_ref().and_then(|rate| rate.cost);
        match self {
            Self::IdleCpuPercent => idle.map(|idle| idle.cpu_percent_per_node),
            Self::IdleControlBytes => idle.map(|idle| idle.control_bytes_per_second),
            Self::MemoryBytes => Some(report.memory_bytes_per_node),
            Self::ChangeCpuMicroseconds => change.map(|cost| cost.cpu_microseconds / nodes),
            Self::ChangeControlBytes => change.map(|cost| cost.control_bytes / nodes),
            Self::ReplacementCpuMicroseconds => {
                replacement.map(|cost| cost.cpu_microseconds / nodes)
            }
            Self::ReplacementControlBytes => replacement.map(|cost| cost.control_bytes / nodes),
            Self::RequestCpuMicroseconds => request.map(|cost| cost.cpu_microseconds),
            Self::RequestControlBytes => request.map(|cost| cost.control_bytes),
            Self::ChangeInForceSeconds => report
                .config_changes
                .as_ref()
                .and_then(|changes| longest(&changes.acknowledged_seconds)),
            Self::DeathOutOfViewsSeconds => report
                .node_death
                .as_ref()
                .and_then(|deaths| longest(&deaths.out_of_every_view_seconds)),
        }
    }
}

fn longest(seconds: &[f64]) -> Option<f64> {
    seconds.iter().copied().reduce(f64::max)
}

/// A line `intercept + per_node * nodes`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// What it is about.
    pub metric: Metric,
    /// Value at no nodes.
    pub intercept: f64,
    /// Gain for each node.
    pub per_node: f64,
    /// Share of the variance that the line explains, from 0 to 1.
    pub r_squared: f64,
    /// Sizes it goes through.
    pub points: usize,
}

impl Slope {
    /// The line's value at so many nodes.
    pub fn at(&self, nodes: f64) -> f64 {
        self.intercept + self.per_node * nodes
    }
}

/// Lines for all metrics measured at two sizes or more.
pub fn of_sizes(sizes: &[SizeReport]) -> Vec<Slope> {
    Metric::ALL
        .into_iter()
        .filter_map(|metric| {
            let points: Vec<(f64, f64)> = sizes
                .iter()
                .filter_map(|report| Some((report.size.nodes as f64, metric.of(report)?)))
                .collect();
            let line = least_squares(&points)?;
            Some(Slope {
                metric,
                intercept: line.intercept,
                per_node: line.slope,
                r_squared: line.r_squared,
                points: points.len(),
            })
        })
        .collect()
}

/// A straight line through points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Value at zero.
    pub intercept: f64,
    /// Gain for each unit.
    pub slope: f64,
    /// Share of the variance that the line explains, from 0 to 1.
    pub r_squared: f64,
}

/// The line with the least sum of squared errors; `None` with fewer than two different places.
pub fn least_squares(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    if points.len() < 2 {
        return None;
    }
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let spread_y: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let shared: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    if spread_x == 0.0 {
        return None;
    }
    let slope = shared / spread_x;
    let r_squared = if spread_y == 0.0 {
        1.0
    } else {
        shared.powi(2) / (spread_x * spread_y)
    };
    Some(Line {
        intercept: mean_y - slope * mean_x,
        slope,
        r_squared,
    })
}
