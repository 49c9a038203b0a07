//! The course of a measurement: warm-up, latency in alternating slices, throughput likewise.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::caller::{Caller, Slice};
use super::case::{Case, Path};
use super::process::{CpuMeter, MachineLoad};
use super::report::{CaseReport, LatencyReport, NodeCost, ThroughputReport};
use super::settings::LatencySettings;
use super::{LatencyError, Targets};

/// Rounds of one case, in order.
type Rounds<T> = BTreeMap<Case, Vec<T>>;

/// One throughput slice and what it cost the node that served it.
struct Served {
    slice: Slice,
    cost: Option<NodeCost>,
}

/// Measures everything.
pub(super) async fn run(
    settings: &LatencySettings,
    targets: &Targets,
    home: &CpuMeter,
    front: &CpuMeter,
) -> Result<LatencyReport, LatencyError> {
    let load_before = MachineLoad::read()?;
    let caller = Arc::new(Caller::new(settings, targets));
    warm_up(&caller, settings).await?;
    let latency = latency_rounds(&caller, settings).await;
    let throughput = throughput_rounds(&caller, settings, home, front).await?;
    Ok(LatencyReport {
        settings: settings.clone(),
        load_before,
        load_after: MachineLoad::read()?,
        latency: latency_reports(&latency),
        throughput: throughput_reports(&throughput),
    })
}

async fn warm_up(caller: &Caller, settings: &LatencySettings) -> Result<(), LatencyError> {
    for case in Case::LATENCY {
        for _ in 0..settings.warm_up_requests {
            caller
                .call(case)
                .await
                .map_err(|error| LatencyError::NotServed {
                    case,
                    reason: error.to_string(),
                })?;
        }
    }
    Ok(())
}

async fn latency_rounds(caller: &Arc<Caller>, settings: &LatencySettings) -> Rounds<Slice> {
    let mut cases = Case::LATENCY;
    let mut rounds: Rounds<Slice> = BTreeMap::new();
    for _ in 0..settings.latency_rounds {
        for case in cases {
            let slice = caller
                .load(case, settings.latency_connections, settings.latency_slice())
                .await;
            rounds.entry(case).or_default().push(slice);
        }
        cases.rotate_left(1);
    }
    rounds
}

async fn throughput_rounds(
    caller: &Arc<Caller>,
    settings: &LatencySettings,
    home: &CpuMeter,
    front: &CpuMeter,
) -> Result<Rounds<Served>, LatencyError> {
    let mut cases = Case::THROUGHPUT;
    let mut rounds: Rounds<Served> = BTreeMap::new();
    for _ in 0..settings.throughput_rounds {
        for case in cases {
            let node = match case.path {
                Path::Direct => None,
                Path::OneHop => Some(home),
                Path::TwoHop => Some(front),
            };
            let served = serve(caller, settings, case, node).await?;
            rounds.entry(case).or_default().push(served);
        }
        cases.rotate_left(1);
    }
    Ok(rounds)
}

async fn serve(
    caller: &Arc<Caller>,
    settings: &LatencySettings,
    case: Case,
    node: Option<&CpuMeter>,
) -> Result<Served, LatencyError> {
    let used = |node: Option<&CpuMeter>| node.map_or(Ok(None), CpuMeter::used);
    let before = used(node)?;
    let slice = caller
        .load(
            case,
            settings.throughput_connections,
            settings.throughput_slice(),
        )
        .await;
    let after = used(node)?;
    let resident_bytes = node.map_or(Ok(None), CpuMeter::resident_bytes)?;
    let cost = match (before, after) {
        (Some(before), Some(after)) => {
            Some(cost(&slice, after.saturating_sub(before), resident_bytes))
        }
        _ => None,
    };
    Ok(Served { slice, cost })
}

fn cost(slice: &Slice, cpu: Duration, resident_bytes: Option<u64>) -> NodeCost {
    let requests = slice.latency.len().max(1) as f64;
    NodeCost {
        cpu_us_per_request: cpu.as_secs_f64() * 1e6 / requests,
        cores: cpu.as_secs_f64() / slice.elapsed.as_secs_f64(),
        resident_bytes,
    }
}

fn latency_reports(rounds: &Rounds<Slice>) -> Vec<CaseReport> {
    let direct = rounds.get(&Case::DIRECT).map_or(&[][..], Vec::as_slice);
    Case::LATENCY
        .iter()
        .filter_map(|case| Some(CaseReport::new(*case, rounds.get(case)?, direct)))
        .collect()
}

fn throughput_reports(rounds: &Rounds<Served>) -> Vec<ThroughputReport> {
    Case::THROUGHPUT
        .iter()
        .filter_map(|case| {
            let served = rounds.get(case)?;
            let slices = served.iter().map(|served| &served.slice);
            let costs = served.iter().filter_map(|served| served.cost);
            Some(ThroughputReport::new(*case, slices, costs))
        })
        .collect()
}
