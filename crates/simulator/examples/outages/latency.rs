//! What a claim adds to a request: the time to the first text of requests that run at most once,
//! less that of the same requests without a claim, in an otherwise idle deployment.

use std::sync::Arc;
use std::time::Duration;

use havenstage_history::event::caller::CallId;
use havenstage_node::settings::ClaimStore;
use havenstage_simulator::clients::call::{CallEnd, CallRequest, call};
use havenstage_simulator::deployment::Deployment;
use havenstage_simulator::runtime;
use havenstage_simulator::scenario::Scenario;
use havenstage_simulator::world::World;
use havenstage_simulator::world::log::LogFault;
use havenstage_types::ids::{CallerName, IdempotencyKey};
use havenstage_types::resource::PriorityClass;
use tokio::time::sleep;

const CALLS: u64 = 300;
const SEED: u64 = 1;
const SETTLE: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(300);
const FAULT: u64 = 1;

/// Prints the figures of both deployments.
pub fn print() {
    println!(
        "deployment, store, log: added milliseconds (median, 99th percentile) of {CALLS} calls"
    );
    for deployment in Deployment::ALL {
        for (store, fault, name) in [
            (ClaimStore::Log, None, "up"),
            (ClaimStore::Replicas, None, "up"),
            (ClaimStore::Replicas, Some(LogFault::Silent), "down"),
            (
                ClaimStore::Replicas,
                Some(LogFault::Slow(2_000)),
                "2 s appends",
            ),
            (ClaimStore::Log, Some(LogFault::Slow(400)), "0.4 s appends"),
            (
                ClaimStore::Replicas,
                Some(LogFault::Slow(400)),
                "0.4 s appends",
            ),
        ] {
            let measured = runtime::run(SEED, measure(deployment, store, fault));
            match measured {
                Ok((median, high)) => {
                    println!("{deployment}, {store:?}, {name}: {median:.2}, {high:.2}");
                }
                Err(error) => eprintln!("{error}"),
            }
        }
    }
}

async fn measure(deployment: Deployment, store: ClaimStore, fault: Option<LogFault>) -> (f64, f64) {
    let mut scenario = Scenario::new(deployment);
    scenario.world.node.claim_store = store;
    scenario.world.network.jitter = Duration::ZERO;
    let world = Arc::new(World::new(scenario.world.clone(), SEED).expect("valid settings"));
    world.create_resources();
    world.start_all_nodes();
    assert!(world.until_ready(SETTLE).await, "nodes are ready");
    sleep(SETTLE).await;
    if let Some(fault) = fault {
        world.log().begin_fault(FAULT, fault);
        sleep(SETTLE).await;
    }
    let mut plain = Vec::new();
    let mut claimed = Vec::new();
    for number in 0..CALLS {
        plain.extend(first_text(&world, &scenario, number, false).await);
        claimed.extend(first_text(&world, &scenario, number, true).await);
    }
    let base = percentile(&mut plain, 50);
    (
        percentile(&mut claimed, 50) - base,
        percentile(&mut claimed, 99) - base,
    )
}

async fn first_text(
    world: &Arc<World>,
    scenario: &Scenario,
    number: u64,
    at_most_once: bool,
) -> Option<f64> {
    sleep(PAUSE).await;
    let kind = if at_most_once { "once" } else { "plain" };
    let machines = world.machines().all().len() as u64;
    let request = CallRequest {
        call: CallId {
            caller: CallerName(format!("caller-{kind}")),
            request: number,
            call: 1,
        },
        pool: scenario.callers[2].pool.clone(),
        prompt: format!("prompt {number:06} {kind:>5}"),
        max_tokens: 8,
        key: at_most_once.then(|| IdempotencyKey(format!("key-{number}"))),
        at_most_once,
        class: PriorityClass::Live,
        deadline: Duration::from_secs(20),
        patience: Duration::from_secs(25),
    };
    match call(world, (number % machines) as usize, request).await {
        CallEnd::Answered(answer) => answer.first_text.map(|time| time.as_secs_f64() * 1_000.0),
        _ => None,
    }
}

fn percentile(times: &mut [f64], percent: usize) -> f64 {
    times.sort_by(f64::total_cmp);
    let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));
    times.get(index).copied().unwrap_or(f64::NAN)
}
