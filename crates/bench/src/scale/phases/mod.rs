//! What is measured at each size, one module for each kind of event.

mod config_changes;
mod node_death;
mod requests;
mod training;
mod version;
mod zone_cut;

use super::cluster::Cluster;
use super::error::ScaleError;
use super::report::{SizeReport, WindowReport};
use super::settings::Phase;
use super::window::Reading;

/// Runs one phase and puts its figures into the report.
pub(super) async fn run(
    phase: Phase,
    cluster: &mut Cluster,
    report: &mut SizeReport,
) -> Result<(), ScaleError> {
    let idle = report.idle.clone();
    let idle = idle.as_ref();
    match phase {
        Phase::Idle => report.idle = Some(idle_window(cluster).await?),
        Phase::ConfigChanges => {
            report.config_changes = Some(config_changes::timed(cluster).await?);
        }
        Phase::ChangeRate => {
            report.change_rate = Some(config_changes::at_rate(cluster, idle).await?);
        }
        Phase::Version => report.version = Some(version::publish(cluster).await?),
        Phase::Requests => {
            let kind = requests::RequestKind::Repeatable;
            report.requests = Some(requests::at_rate(cluster, kind, idle).await?);
        }
        Phase::AtMostOnceRequests => {
            let kind = requests::RequestKind::AtMostOnce;
            report.at_most_once_requests = Some(requests::at_rate(cluster, kind, idle).await?);
        }
        Phase::TrainingStep => {
            report.training_step = Some(training::step(cluster, idle).await?);
        }
        Phase::NodeDeath => report.node_death = Some(node_death::deaths(cluster).await?),
        Phase::Replacements => {
            report.replacements = Some(node_death::replacements(cluster, idle).await?);
        }
        Phase::ZoneCut => report.zone_cut = Some(zone_cut::cut_and_return(cluster).await?),
    }
    Ok(())
}

async fn idle_window(cluster: &Cluster) -> Result<WindowReport, ScaleError> {
    let reading = Reading::take(cluster)?;
    tokio::time::sleep(cluster.settings.window()).await;
    reading.until_now(cluster)
}
