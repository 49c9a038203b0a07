//! A zone that is cut off from the others, and comes back. The platform's log stays reachable from
//! both sides.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use havenstage_types::ids::NodeId;

use crate::scale::cluster::Cluster;
use crate::scale::error::ScaleError;
use crate::scale::platform::LOOK_INTERVAL;
use crate::scale::report::ZoneCutReport;
use crate::scale::window::Reading;

/// Cuts the zone of the first node off, waits, and lets it come back.
pub(super) async fn cut_and_return(cluster: &mut Cluster) -> Result<ZoneCutReport, ScaleError> {
    let zone = cluster.nodes.first().ok_or(ScaleError::NoNodes)?.zone;
    let (cut, rest) = sides(cluster, zone);
    let addresses = cluster
        .nodes
        .iter()
        .filter(|node| node.zone == zone)
        .map(|node| node.address)
        .collect();
    let reading = Reading::take(cluster)?;
    let started = Instant::now();
    cluster.links.cut_off(addresses);
    let cut_time = Duration::from_millis(cluster.settings.cut_ms);
    let mut apart = None;
    while started.elapsed() < cut_time {
        tokio::time::sleep(LOOK_INTERVAL).await;
        if apart.is_none() && are_apart(cluster, &cut, &rest) {
            apart = Some(started.elapsed());
        }
    }
    cluster.links.heal();
    let joined = cluster.converged().await?;
    let window = reading.until_now(cluster)?;
    let now: BTreeSet<NodeId> = cluster.nodes.iter().map(|node| node.id()).collect();
    let before: BTreeSet<NodeId> = cut.union(&rest).copied().collect();
    Ok(ZoneCutReport {
        nodes_cut_off: cut.len(),
        sides_apart_seconds: apart.unwrap_or(cut_time).as_secs_f64(),
        joined_again_seconds: joined.as_secs_f64(),
        new_identities: now.difference(&before).count(),
        window,
    })
}

/// The nodes of the zone and all others.
fn sides(cluster: &Cluster, zone: usize) -> (BTreeSet<NodeId>, BTreeSet<NodeId>) {
    let (cut, rest): (Vec<_>, Vec<_>) = cluster.nodes.iter().partition(|node| node.zone == zone);
    let ids = |nodes: Vec<&crate::scale::hollow_node::HollowNode>| {
        nodes.into_iter().map(|node| node.id()).collect()
    };
    (ids(cut), ids(rest))
}

fn are_apart(cluster: &Cluster, cut: &BTreeSet<NodeId>, rest: &BTreeSet<NodeId>) -> bool {
    cluster.views().iter().all(|(id, view)| {
        let own_side = if cut.contains(id) { cut } else { rest };
        view.is_subset(own_side)
    })
}
