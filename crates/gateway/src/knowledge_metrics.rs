//! Gauges of what this node knows of the fleet and how old that knowledge is, so that an operator sees from one node's
//! metrics why a fleet does not become ready.

use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;
use crate::metrics;

/// Pause between two updates of the gauges: metrics are fetched every few seconds.
const UPDATE_INTERVAL: Duration = Duration::from_secs(2);

/// Updates the gauges at regular intervals until the process ends.
pub async fn report(context: Arc<Context>) {
    loop {
        let backends = context.backends.lock().list.len();
        metrics::knowledge(metrics::Knowledge {
            machines: context.fleet_size(),
            backends,
            follows_digest: context.directory_is_large(),
            backends_age_ms: context.backends.age_ms(context.now()),
            routes_age_ms: context.operators_age_ms(),
            log_age_ms: context.contact_age(),
            held_answer_bytes: context.answers.bytes(),
            held_request_bytes: context.intake.bodies.held_bytes(),
            caller_connections: context.intake.callers.open(),
        });
        tokio::time::sleep(UPDATE_INTERVAL).await;
    }
}
