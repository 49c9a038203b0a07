//! Live requests at a steady rate, spread over all nodes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use havenstage_node::node::Node;
use havenstage_types::ids::{CallerName, IdempotencyKey, RequestId};
use havenstage_types::request::{AnswerEvent, CallerRequest, Repeatability};
use havenstage_types::resource::PriorityClass;
use hdrhistogram::Histogram;

use crate::scale::cluster::Cluster;
use crate::scale::error::ScaleError;
use crate::scale::platform::pool_name;
use crate::scale::report::{EventCost, LatencyReport, RateReport, WindowReport};
use crate::scale::window::Reading;

/// Deadline of every request.
const DEADLINE: Duration = Duration::from_secs(20);

/// Text of every prompt, after its number.
const PROMPT: &str = "The customer writes that the last two payments were made on time and asks \
    for the balance, the date of the next one and whether the plan can be stretched by a month.";

/// Largest latency recorded, in microseconds.
const LONGEST_MICROSECONDS: u64 = 60_000_000;

/// Kinds of requests measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// May run twice; carries no key.
    Repeatable,
    /// May run only once; carries a key.
    AtMostOnce,
}

/// Sends requests at the rate of the settings.
pub(super) async fn at_rate(
    cluster: &mut Cluster,
    kind: RequestKind,
    idle: Option<&WindowReport>,
) -> Result<RateReport, ScaleError> {
    let interval = Duration::from_secs_f64(1.0 / cluster.settings.requests_per_second);
    let reading = Reading::take(cluster)?;
    let deadline = Instant::now() + cluster.settings.window();
    let mut ticks = tokio::time::interval(interval);
    let mut running = Vec::new();
    while Instant::now() < deadline {
        ticks.tick().await;
        let node = cluster.random_node()?;
        let request = request(cluster, kind, running.len());
        running.push(cluster.spawn_on_nodes(serve(node, request)));
    }
    let started = running.len() as u64;
    let mut latencies = new_histogram();
    let mut done = 0;
    for request in running {
        if let Some(latency) = request.await? {
            done += 1;
            let microseconds = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            latencies.saturating_record(microseconds);
        }
    }
    let window = reading.until_now(cluster)?;
    let nodes = cluster.nodes.len();
    Ok(RateReport {
        done,
        failed: started - done,
        per_second: started as f64 / window.seconds,
        cost: idle.map(|idle| EventCost::of(idle, &window, nodes, started)),
        latency_seconds: Some(spread(&latencies)),
        window,
        ..RateReport::default()
    })
}

fn request(cluster: &Cluster, kind: RequestKind, number: usize) -> CallerRequest {
    let settings = &cluster.settings;
    let (prefix, key, repeatability) = match kind {
        RequestKind::Repeatable => ("repeatable", None, Repeatability::Repeatable),
        RequestKind::AtMostOnce => (
            "at-most-once",
            Some(IdempotencyKey(format!("scale-key-{number}"))),
            Repeatability::AtMostOnce,
        ),
    };
    CallerRequest {
        id: RequestId(format!("scale-{prefix}-{number}")),
        caller: CallerName::new("scale"),
        pool: pool_name(number % settings.pools.min(cluster.size.engines.max(1))),
        prompt: format!("{number}: {PROMPT}"),
        max_tokens: settings.answer_tokens,
        idempotency_key: key,
        repeatability,
        class: PriorityClass::Live,
        deadline: Some(DEADLINE),
    }
}

/// Runs a request; the time until its answer was whole, or `None` when it was refused.
async fn serve(node: Arc<Node>, request: CallerRequest) -> Option<Duration> {
    let started = Instant::now();
    let mut answer = node.complete(request).await.ok()?;
    while let Some(event) = answer.recv().await {
        match event {
            Ok(AnswerEvent::Finished(_)) => return Some(started.elapsed()),
            Ok(AnswerEvent::Text { .. }) => {}
            Err(_refused) => return None,
        }
    }
    None
}

fn new_histogram() -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, LONGEST_MICROSECONDS, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are constants in order"));
    histogram.auto(false);
    histogram
}

fn spread(latencies: &Histogram<u64>) -> LatencyReport {
    let seconds = |microseconds: u64| microseconds as f64 / 1e6;
    LatencyReport {
        median: seconds(latencies.value_at_quantile(0.5)),
        p99: seconds(latencies.value_at_quantile(0.99)),
        longest: seconds(latencies.max()),
    }
}
