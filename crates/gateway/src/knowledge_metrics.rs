//! What this node knows of the fleet and how old that is, as gauges: an operator sees from one node's metrics why a
//! fleet does not become ready.

use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;
use crate::metrics;

/// Pause between two looks: metrics are fetched every few seconds.
const LOOK_PAUSE: Duration = Duration::from_secs(2);

/// Keeps the gauges up to date until the process ends.
pub async fn report(context: Arc<Context>) {
    loop {
        let backends = context.backends.lock().list.len();
        metrics::knowledge(metrics::Knowledge {
            machines: context.fleet_size(),
            backends,
            follows_digest: context.directory_is_large(),
            routes_age_ms: context.operators_age_ms(),
            log_age_ms: context.contact_age(),
            held_answer_bytes: context.answers.bytes(),
        });
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}
