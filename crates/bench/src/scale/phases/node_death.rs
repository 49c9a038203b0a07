//! Deaths and replacements of nodes.

use std::time::{Duration, Instant};

use crate::scale::cluster::{Cluster, KilledNode};
use crate::scale::error::ScaleError;
use crate::scale::platform::LOOK_INTERVAL;
use crate::scale::report::{EventCost, NodeDeathReport, RateReport, WindowReport};
use crate::scale::window::Reading;

/// Deaths that are timed.
const DEATHS: usize = 2;

/// Longest wait for the others to notice.
const PATIENCE: Duration = Duration::from_secs(60);

/// Kills nodes one by one, times what follows, and replaces them.
pub(super) async fn deaths(cluster: &mut Cluster) -> Result<NodeDeathReport, ScaleError> {
    let mut report = NodeDeathReport::default();
    for _ in 0..DEATHS.min(cluster.nodes.len() - 1) {
        let started = Instant::now();
        let killed = cluster.kill_random()?;
        let (out_of_views, rehomed) = until_replaced(cluster, &killed, started).await;
        report
            .out_of_every_view_seconds
            .push(out_of_views.as_secs_f64());
        report.engines_rehomed_seconds.push(rehomed.as_secs_f64());
        cluster.platform.unlist_node(killed.address);
        cluster.start_node().await?;
        let joined = cluster.converged().await?;
        report
            .replacement_in_every_view_seconds
            .push(joined.as_secs_f64());
    }
    Ok(report)
}

/// Times until the killed node is out of every view, and until its engines have homes again.
async fn until_replaced(
    cluster: &Cluster,
    killed: &KilledNode,
    started: Instant,
) -> (Duration, Duration) {
    let mut out_of_views = None;
    let mut rehomed = None;
    while started.elapsed() < PATIENCE && (out_of_views.is_none() || rehomed.is_none()) {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let is_gone = || {
            !cluster
                .views()
                .values()
                .any(|view| view.contains(&killed.id))
        };
        if out_of_views.is_none() && is_gone() {
            out_of_views = Some(started.elapsed());
        }
        let has_homes = || killed.engines.is_subset(&cluster.engines_with_home());
        if rehomed.is_none() && has_homes() {
            rehomed = Some(started.elapsed());
        }
    }
    let elapsed = started.elapsed();
    (out_of_views.unwrap_or(elapsed), rehomed.unwrap_or(elapsed))
}

/// Replaces nodes at the rate of the settings: each dies and another starts at once.
pub(super) async fn replacements(
    cluster: &mut Cluster,
    idle: Option<&WindowReport>,
) -> Result<RateReport, ScaleError> {
    let reading = Reading::take(cluster)?;
    let deadline = Instant::now() + cluster.settings.window();
    let mut ticks = tokio::time::interval(cluster.settings.replacement_interval());
    let mut done = 0;
    while Instant::now() < deadline {
        ticks.tick().await;
        let killed = cluster.kill_random()?;
        cluster.platform.unlist_node(killed.address);
        cluster.start_node().await?;
        done += 1;
    }
    let last = Instant::now();
    let agreed = cluster.converged().await;
    let window = reading.until_now(cluster)?;
    let nodes = cluster.nodes.len();
    Ok(RateReport {
        done,
        per_second: done as f64 / window.seconds,
        cost: idle.map(|idle| EventCost::of(idle, &window, nodes, done)),
        agreed_after_seconds: agreed.is_ok().then(|| last.elapsed().as_secs_f64()),
        window,
        ..RateReport::default()
    })
}
