//! A new weight version, until every engine of its model has it.

use std::time::{Duration, Instant};

use havenstage_types::ids::VersionNumber;

use super::config_changes::accepted;
use crate::scale::cluster::Cluster;
use crate::scale::error::ScaleError;
use crate::scale::platform::{FIRST_VERSION, LOOK_INTERVAL, model_name, version_location};
use crate::scale::report::VersionReport;

/// Longest wait for all engines.
const PATIENCE: Duration = Duration::from_secs(60);

/// Pool whose model gets a new version.
const POOL: usize = 0;

/// Publishes a version and waits for it.
pub(super) async fn publish(cluster: &mut Cluster) -> Result<VersionReport, ScaleError> {
    let node = cluster.random_node()?;
    let version = VersionNumber(FIRST_VERSION.0 + 1);
    let started = Instant::now();
    let publishing = cluster.spawn_on_nodes(async move {
        let location = version_location(POOL, version);
        node.publish_version(model_name(POOL), version, location, None)
            .await
    });
    accepted(publishing.await?)?;
    let settings = &cluster.settings;
    while !cluster.platform.pool_has_version(POOL, version, settings)
        && started.elapsed() < PATIENCE
    {
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    let engines = cluster.size.engines;
    Ok(VersionReport {
        engines: engines.div_ceil(settings.pools).min(engines),
        on_all_engines_seconds: started.elapsed().as_secs_f64(),
    })
}
