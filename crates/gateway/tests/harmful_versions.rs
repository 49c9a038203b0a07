//! Symptom: all engines of a model end, one after the other and again in each next life.
//!
//! Sequence: a trainer names a version whose weights end the process that loads them. The holder of the orders
//! lease orders it from the next engine, and from the next life of each.
//!
//! Cause: an order that got no answer counted against its engine alone; nothing was kept of the version.
//!
//! What settled it: 8 of 8 engines ended within 6 s.

mod support;

use std::time::Duration;

use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::ids::ModelName;
use support::deployment::{Deployment, wait_until};
use support::dialect::MODEL;

/// Engines that may end under a version before it counts as harmful, and one that tries it then.
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
        engine.behave(|told| told.ends_on_version = Some(HARMFUL_VERSION));
    }
    let _nodes = [deployment.node("a").await, deployment.node("b").await];
    name_version(&deployment, HARMFUL_VERSION);
    wait_until("engines ended", || count_ended(&deployment) >= 3).await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let ended = count_ended(&deployment);
    assert!(ended <= MAX_ENDS, "{ended} engines ended");
    name_version(&deployment, HARMFUL_VERSION + 1);
    wait_until("the others load the next version", || {
        let mut living = deployment
            .engines
            .iter()
            .filter(|engine| !engine.has_ended());
        living.all(|engine| {
            let orders = engine.orders();
            orders.last().is_some_and(|order| order.contains(" 3 "))
        })
    })
    .await;
}
