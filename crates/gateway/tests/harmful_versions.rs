//! A version whose weights crash the engines that load them is not loaded by all engines of a model.
//!
//! The test guards against a holder of the order lease that orders such a version from one engine after the other and
//! from each of their next incarnations. That happens if an order without an answer counts against the engine alone and
//! not against the version: 8 of 8 engines ended within 6 s.

mod support;

use std::time::Duration;

use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::ids::ModelName;
use support::deployment::{Deployment, wait_until};
use support::dialect::MODEL;

/// Maximum number of engines that end: three before the version counts as harmful, and one that then loads it as a
/// test.
const MAX_ENDS: usize = 4;
const HARMFUL_VERSION: u64 = 2;

fn name_version(deployment: &Deployment, version: u64) {
    let model = ModelName::from(MODEL);
    let named = DirectoryEntry::NamedVersion { model, version };
    deployment.log.write_operators(named);
}

fn count_ended(deployment: &Deployment) -> usize {
    let engines = deployment.engines.iter();
    engines.filter(|engine| engine.has_ended()).count()
}

#[tokio::test]
async fn a_version_that_ends_engines_is_not_ordered_from_all() {
    let deployment = Deployment::start(8, 0).await;
    for engine in &deployment.engines {
        engine.behave(|behaviour| behaviour.ends_on_version = Some(HARMFUL_VERSION));
    }
    let _nodes = [deployment.node("a").await, deployment.node("b").await];
    name_version(&deployment, HARMFUL_VERSION);
    wait_until("engines ended", || count_ended(&deployment) >= 3).await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let ended = count_ended(&deployment);
    assert!(ended <= MAX_ENDS, "{ended} engines ended");
    name_version(&deployment, HARMFUL_VERSION + 1);
    wait_until("the others load the next version", || {
        let mut running_engines = deployment
            .engines
            .iter()
            .filter(|engine| !engine.has_ended());
        running_engines.all(|engine| {
            let orders = engine.orders();
            orders.last().is_some_and(|order| order.contains(" 3 "))
        })
    })
    .await;
}
