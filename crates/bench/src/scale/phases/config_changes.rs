//! Configuration changes: how long until they are in force, and what they cost.

use std::sync::Arc;
use std::time::{Duration, Instant};

use havenstage_node::node::{ChangeReport, Node};
use havenstage_types::config::{ChangeError, ChangeOutcome, ConfigChange, Precondition};
use havenstage_types::ids::{ChangeId, LogOffset, Revision};
use havenstage_types::resource::{ResourceKey, ResourceKind, ResourceSpec};
use rand::Rng;
use tokio_util::sync::CancellationToken;

use crate::scale::cluster::Cluster;
use crate::scale::error::ScaleError;
use crate::scale::platform::engine_name;
use crate::scale::report::{ConfigChangesReport, EventCost, RateReport, WindowReport};
use crate::scale::window::Reading;

/// How long an operator waits for a change to be in force.
const IN_FORCE_PATIENCE: Duration = Duration::from_secs(60);

/// Longest wait of one look at a node's offset.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Time for the last node to apply a change after its acknowledgement.
const APPLY_GRACE: Duration = Duration::from_secs(3);

/// Changes single resources and times each until it is in force everywhere.
pub(super) async fn timed(cluster: &mut Cluster) -> Result<ConfigChangesReport, ScaleError> {
    let mut report = ConfigChangesReport::default();
    for number in 0..cluster.settings.timed_changes {
        let node = cluster.random_node()?;
        let change = engine_change(cluster, &node, &format!("timed-{number}"))?;
        let stop = CancellationToken::new();
        let watchers: Vec<_> = cluster
            .nodes
            .iter()
            .map(|hollow| {
                let from = hollow.node.status().config_offset;
                tokio::spawn(watch_offsets(hollow.node.clone(), from, stop.clone()))
            })
            .collect();
        let started = Instant::now();
        let applying = cluster
            .spawn_on_nodes(async move { node.apply(change, Some(IN_FORCE_PATIENCE)).await });
        let revision = accepted(applying.await?)?;
        report
            .acknowledged_seconds
            .push(started.elapsed().as_secs_f64());
        tokio::time::sleep(APPLY_GRACE).await;
        stop.cancel();
        let mut last = Duration::ZERO;
        for watcher in watchers {
            let seen = watcher.await?;
            last = last.max(applied_after(&seen, revision, started));
        }
        report.last_applied_seconds.push(last.as_secs_f64());
    }
    Ok(report)
}

/// Changes resources at a steady rate, without waiting for them to be in force.
pub(super) async fn at_rate(
    cluster: &mut Cluster,
    idle: Option<&WindowReport>,
) -> Result<RateReport, ScaleError> {
    let reading = Reading::take(cluster)?;
    let deadline = Instant::now() + cluster.settings.window();
    let mut ticks = tokio::time::interval(cluster.settings.change_interval());
    let mut changes = Vec::new();
    while Instant::now() < deadline {
        ticks.tick().await;
        let node = cluster.random_node()?;
        let change = engine_change(cluster, &node, &format!("rate-{}", changes.len()))?;
        changes.push(cluster.spawn_on_nodes(async move { node.apply(change, None).await }));
    }
    let started = changes.len() as u64;
    let mut done = 0;
    for change in changes {
        done += u64::from(accepted(change.await?).is_ok());
    }
    let window = reading.until_now(cluster)?;
    let nodes = cluster.nodes.len();
    Ok(RateReport {
        done,
        failed: started - done,
        per_second: started as f64 / window.seconds,
        cost: idle.map(|idle| EventCost::of(idle, &window, nodes, started)),
        window,
        ..RateReport::default()
    })
}

/// A change of one field of a random engine.
fn engine_change(cluster: &mut Cluster, node: &Node, id: &str) -> Result<ConfigChange, ScaleError> {
    let engine = cluster.rng.random_range(0..cluster.size.engines.max(1));
    let key = ResourceKey {
        kind: ResourceKind::Engine,
        name: engine_name(engine).0,
    };
    let resource = node.get(&key).ok_or(ScaleError::ChangeNotAccepted)?;
    let ResourceSpec::Engine(mut spec) = resource.spec else {
        return Err(ScaleError::ChangeNotAccepted);
    };
    spec.kv_capacity_tokens += 1;
    Ok(ConfigChange {
        id: ChangeId(id.to_owned()),
        key,
        precondition: Precondition::AtRevision(resource.revision),
        spec: Some(ResourceSpec::Engine(spec)),
    })
}

pub(super) fn accepted(report: Result<ChangeReport, ChangeError>) -> Result<Revision, ScaleError> {
    match report?.outcome {
        ChangeOutcome::Accepted(revision) => Ok(revision),
        _ => Err(ScaleError::ChangeNotAccepted),
    }
}

/// Notes when a node's offset changes, until stopped.
async fn watch_offsets(
    node: Arc<Node>,
    from: LogOffset,
    stop: CancellationToken,
) -> Vec<(Instant, LogOffset)> {
    let mut seen = Vec::new();
    let mut last = from;
    loop {
        let next = tokio::select! {
            () = stop.cancelled() => return seen,
            next = node.config_changed(last, WATCH_WAIT) => next,
        };
        if next > last {
            seen.push((Instant::now(), next));
            last = next;
        }
    }
}

/// Time until the change was applied; a node that never applied it counts with its whole watch.
fn applied_after(seen: &[(Instant, LogOffset)], revision: Revision, started: Instant) -> Duration {
    seen.iter()
        .find(|(_, offset)| offset.0 > revision.0)
        .map_or_else(|| started.elapsed(), |(at, _)| *at - started)
}
