//! What a measurement found, as figures for programs and tables for people.

use std::fmt;

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde::{Deserialize, Serialize};

use super::caller::Slice;
use super::case::Case;
use super::process::MachineLoad;
use super::settings::LatencySettings;
use super::summary::{Percentiles, Spread, new_histogram};

const BYTES_PER_MIB: f64 = 1_048_576.0;

/// Everything a run found.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LatencyReport {
    /// How it was measured.
    pub settings: LatencySettings,
    /// Load of the machine before the run.
    pub load_before: MachineLoad,
    /// Load of the machine after the run, the run's own included.
    pub load_after: MachineLoad,
    /// Latency by case.
    pub latency: Vec<CaseReport>,
    /// Throughput by case.
    pub throughput: Vec<ThroughputReport>,
}

/// Latency of one case.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CaseReport {
    /// The case.
    pub case: Case,
    /// Requests measured.
    pub requests: u64,
    /// Requests without a whole answer.
    pub failures: u64,
    /// Over all rounds.
    pub latency: Percentiles,
    /// Above direct calls, over all rounds.
    pub added: Percentiles,
    /// Median of each round above that of the same round's direct calls, in microseconds.
    pub added_p50_us_by_round: Spread,
    /// 99th percentile of each round above that of the same round's direct calls, in microseconds.
    pub added_p99_us_by_round: Spread,
}

/// Throughput of one case.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ThroughputReport {
    /// The case.
    pub case: Case,
    /// Requests without a whole answer.
    pub failures: u64,
    /// Requests a second, by round.
    pub requests_per_second: Spread,
    /// Under this load, over all rounds.
    pub latency: Percentiles,
    /// CPU time the serving node used for one request, in microseconds, by round.
    pub cpu_us_per_request: Option<Spread>,
    /// Cores the serving node used, by round.
    pub cores: Option<Spread>,
    /// Resident memory of the node's process after the last round, in bytes.
    pub resident_bytes: Option<u64>,
}

/// What one slice of load cost the node that served it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeCost {
    /// CPU time for one request in microseconds.
    pub cpu_us_per_request: f64,
    /// Cores used on average.
    pub cores: f64,
    /// Resident memory of its process in bytes.
    pub resident_bytes: Option<u64>,
}

impl CaseReport {
    pub(super) fn new(case: Case, slices: &[Slice], direct: &[Slice]) -> Self {
        let latency = merged(slices);
        let added: Vec<Percentiles> = slices
            .iter()
            .zip(direct)
            .map(|(slice, base)| above(slice, base))
            .collect();
        Self {
            case,
            requests: slices.iter().map(|slice| slice.latency.len()).sum(),
            failures: slices.iter().map(|slice| slice.failures).sum(),
            added: latency.above(&merged(direct)),
            latency,
            added_p50_us_by_round: Spread::of(added.iter().map(|round| round.p50_us)),
            added_p99_us_by_round: Spread::of(added.iter().map(|round| round.p99_us)),
        }
    }
}

impl ThroughputReport {
    pub(super) fn new<'a>(
        case: Case,
        slices: impl Iterator<Item = &'a Slice> + Clone,
        costs: impl Iterator<Item = NodeCost>,
    ) -> Self {
        let costs: Vec<NodeCost> = costs.collect();
        let of_costs = |figure: fn(&NodeCost) -> f64| {
            (!costs.is_empty()).then(|| Spread::of(costs.iter().map(figure)))
        };
        Self {
            case,
            failures: slices.clone().map(|slice| slice.failures).sum(),
            requests_per_second: Spread::of(slices.clone().map(requests_per_second)),
            latency: merged(slices),
            cpu_us_per_request: of_costs(|cost| cost.cpu_us_per_request),
            cores: of_costs(|cost| cost.cores),
            resident_bytes: costs.last().and_then(|cost| cost.resident_bytes),
        }
    }
}

fn requests_per_second(slice: &Slice) -> f64 {
    slice.latency.len() as f64 / slice.elapsed.as_secs_f64()
}

fn above(slice: &Slice, base: &Slice) -> Percentiles {
    Percentiles::from(&slice.latency).above(&Percentiles::from(&base.latency))
}

fn merged<'a>(slices: impl IntoIterator<Item = &'a Slice>) -> Percentiles {
    let mut all = new_histogram();
    for slice in slices {
        // Both were made by `new_histogram`, so that the one holds what the other does.
        let _ = all.add(&slice.latency);
    }
    Percentiles::from(&all)
}

impl fmt::Display for LatencyReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "Latency in microseconds, {}:", self.way())?;
        writeln!(formatter, "{}\n", latency_table(&self.latency))?;
        writeln!(
            formatter,
            "Throughput with {} connections, {} rounds of {:.2} s a case:",
            self.settings.throughput_connections,
            self.settings.throughput_rounds,
            self.settings.throughput_slice().as_secs_f64()
        )?;
        writeln!(formatter, "{}\n", throughput_table(&self.throughput))?;
        writeln!(
            formatter,
            "Load of the machine over one minute: {} before, {} after.",
            self.load_before.one_minute, self.load_after.one_minute
        )
    }
}

impl LatencyReport {
    fn way(&self) -> String {
        format!(
            "closed loop, {} connection(s), {} rounds of {:.2} s a case",
            self.settings.latency_connections,
            self.settings.latency_rounds,
            self.settings.latency_slice().as_secs_f64()
        )
    }
}

fn latency_table(cases: &[CaseReport]) -> Table {
    let mut table = table(&[
        "case",
        "requests",
        "failed",
        "p50",
        "p99",
        "p99.9",
        "added p50",
        "added p99",
        "added p99.9",
        "added p50 by round",
        "added p99 by round",
    ]);
    for case in cases {
        table.add_row([
            case.case.to_string(),
            case.requests.to_string(),
            case.failures.to_string(),
            whole(case.latency.p50_us),
            whole(case.latency.p99_us),
            whole(case.latency.p999_us),
            whole(case.added.p50_us),
            whole(case.added.p99_us),
            whole(case.added.p999_us),
            range(&case.added_p50_us_by_round),
            range(&case.added_p99_us_by_round),
        ]);
    }
    table
}

fn throughput_table(cases: &[ThroughputReport]) -> Table {
    let mut table = table(&[
        "case",
        "failed",
        "requests/s by round",
        "p50 us",
        "p99 us",
        "node CPU us/request",
        "node cores",
        "node RSS MiB",
    ]);
    for case in cases {
        let cost = |spread: Option<Spread>, show: fn(&Spread) -> String| {
            spread.as_ref().map_or_else(|| "-".to_owned(), show)
        };
        table.add_row([
            case.case.to_string(),
            case.failures.to_string(),
            range(&case.requests_per_second),
            whole(case.latency.p50_us),
            whole(case.latency.p99_us),
            cost(case.cpu_us_per_request, range),
            cost(case.cores, |cores| format!("{:.2}", cores.median)),
            case.resident_bytes.map_or_else(
                || "-".to_owned(),
                |bytes| format!("{:.1}", bytes as f64 / BYTES_PER_MIB),
            ),
        ]);
    }
    table
}

fn table(headers: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header(headers);
    table
}

fn whole(figure: f64) -> String {
    format!("{figure:.0}")
}

/// Median, and lowest to highest.
fn range(spread: &Spread) -> String {
    format!(
        "{:.0} ({:.0} to {:.0})",
        spread.median, spread.lowest, spread.highest
    )
}
