//! Faults, listed or drawn from the seed.

use std::sync::Arc;
use std::time::Duration;

use havenstage_simulator::random::SharedRandom;
use havenstage_simulator::world::World;
use tokio::time::Instant;

use super::settings::{Experiment, FaultKind, FaultRates, FaultSettings, seconds};

const HOUR: Duration = Duration::from_secs(3_600);

/// All faults of an experiment in the order of their times.
pub(super) fn schedule(
    experiment: &Experiment,
    engines: usize,
    nodes: usize,
) -> Vec<FaultSettings> {
    let rates = &experiment.fault_rates;
    let kinds = [
        (
            FaultKind::EngineCrash,
            rates.engine_crashes_per_hour,
            engines,
        ),
        (FaultKind::NodeCrash, rates.node_crashes_per_hour, nodes),
        (
            FaultKind::SwapFailure,
            rates.swap_failures_per_hour,
            engines,
        ),
    ];
    let mut faults = experiment.faults.clone();
    for (kind, per_hour, targets) in kinds {
        let random = SharedRandom::new(experiment.seed, &format!("faults-{kind:?}"));
        faults.extend(draw(
            &random,
            kind,
            per_hour,
            targets,
            rates,
            experiment.duration_s,
        ));
    }
    faults.sort_by(|left, right| left.at_s.total_cmp(&right.at_s));
    faults
}

fn draw(
    random: &SharedRandom,
    kind: FaultKind,
    per_hour: f64,
    targets: usize,
    rates: &FaultRates,
    duration_s: f64,
) -> Vec<FaultSettings> {
    let mut faults = Vec::new();
    if per_hour <= 0.0 {
        return faults;
    }
    let mean = HOUR.div_f64(per_hour);
    let mut at = random.exponential(mean);
    while at < seconds(duration_s) {
        faults.push(FaultSettings {
            at_s: at.as_secs_f64(),
            kind,
            target: random.below(targets as u64) as u32,
            for_s: rates.for_s,
        });
        at += random.exponential(mean);
    }
    faults
}

/// Makes the faults happen; returns after the last one.
pub(super) async fn inject(world: Arc<World>, faults: Vec<FaultSettings>) {
    let began = Instant::now();
    for fault in faults {
        tokio::time::sleep_until(began + seconds(fault.at_s)).await;
        tokio::spawn(happen(world.clone(), fault));
    }
}

async fn happen(world: Arc<World>, fault: FaultSettings) {
    let length = seconds(fault.for_s);
    match fault.kind {
        FaultKind::EngineCrash => crash_engine(&world, fault.target, length).await,
        FaultKind::NodeCrash => crash_node(&world, fault.target, length).await,
        FaultKind::SwapFailure => fail_swaps(&world, fault.target, length).await,
    }
}

async fn crash_engine(world: &World, target: u32, length: Duration) {
    let engines = world.engines();
    let engine = &engines[target as usize % engines.len()];
    if engine.is_down() {
        return;
    }
    engine.crash();
    tokio::time::sleep(length).await;
    engine.restart();
}

async fn crash_node(world: &World, target: u32, length: Duration) {
    let machine = target as usize % world.machines().all().len();
    world.kill_node(machine);
    tokio::time::sleep(length).await;
    world.start_node(machine);
}

async fn fail_swaps(world: &World, target: u32, length: Duration) {
    let engines = world.engines();
    let engine = &engines[target as usize % engines.len()];
    engine.set_failing_swaps(true);
    tokio::time::sleep(length).await;
    engine.set_failing_swaps(false);
}
