//! Counters, gauges and histograms of a node, served in the Prometheus text format.

use std::net::SocketAddr;
use std::time::Duration;

use havenstage_rollout::access::Denied;
use havenstage_rollout::crash_ledger::ForgottenRequests;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use thiserror::Error;

/// Bucket bounds of the latency histograms, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 12] = [
    1.0, 5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 2_000.0, 8_000.0, 30_000.0,
];
/// Histogram of the age that the knowledge of a batch had when a run of one of its items was started.
const KNOWLEDGE_AGE: &str = "gateway_run_knowledge_age_ms";
/// Bucket bounds of [`KNOWLEDGE_AGE`], in milliseconds. They are denser around 2 s, two thirds of the default
/// `bounds.end_in_force_ms`, up to which runs are started, and around 2.55 s, 85 % of it, up to which their requests
/// are written.
const KNOWLEDGE_AGE_BOUNDS_MS: [f64; 12] = [
    50.0, 100.0, 200.0, 400.0, 800.0, 1_200.0, 1_600.0, 2_000.0, 2_250.0, 2_550.0, 3_000.0, 8_000.0,
];

/// The metrics recorder cannot be installed.
#[derive(Debug, Error)]
#[error("cannot collect the metrics for {address}: {reason}")]
pub struct MetricsError {
    /// Address on which the metrics would be served.
    pub address: SocketAddr,
    /// Error of the metrics library.
    pub reason: String,
}

/// Installs the metrics recorder; the handle renders the collected metrics. Fails if a recorder is installed already.
pub fn start(address: SocketAddr) -> Result<PrometheusHandle, MetricsError> {
    let failed = |reason: String| MetricsError { address, reason };
    PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_ms".into()), &LATENCY_BOUNDS_MS)
        .map_err(|error| failed(error.to_string()))?
        .set_buckets_for_metric(
            Matcher::Full(KNOWLEDGE_AGE.into()),
            &KNOWLEDGE_AGE_BOUNDS_MS,
        )
        .map_err(|error| failed(error.to_string()))?
        .install_recorder()
        .map_err(|error| failed(error.to_string()))
}

/// Counts a caller's call that ended, with its outcome and duration.
pub fn call_ended(outcome: &'static str, took_ms: u64) {
    counter!("gateway_calls_total", "outcome" => outcome).increment(1);
    histogram!("gateway_call_ms", "outcome" => outcome).record(took_ms as f64);
}

/// Counts a caller that was rejected because it gave no key or an unknown one.
pub fn caller_denied(denied: Denied) {
    let reason = match denied {
        Denied::NoKey => "no_key",
        Denied::UnknownKey => "unknown_key",
    };
    counter!("gateway_callers_denied", "reason" => reason).increment(1);
}

/// What a node knows of the fleet, and how old that is.
#[derive(Debug, Clone, Copy)]
pub struct Knowledge {
    /// Estimated number of machines in the fleet.
    pub machines: usize,
    /// Number of back ends that the node knows.
    pub backends: usize,
    /// Whether the back ends come from the digest of the directory.
    pub follows_digest: bool,
    /// Time since the list of back ends was confirmed to be up to date, in milliseconds; `None` before the first time.
    pub backends_age_ms: Option<u64>,
    /// Age of the routes, in milliseconds.
    pub routes_age_ms: u64,
    /// Time since the log last answered, in milliseconds.
    pub log_age_ms: u64,
    /// Bytes of answers that callers have not received yet.
    pub held_answer_bytes: usize,
    /// Bytes of callers' requests that are being received or answered, with what is decoded from them.
    pub held_request_bytes: usize,
    /// Open connections of callers.
    pub caller_connections: usize,
}

/// Sets the gauges of what a node knows of the fleet now.
pub fn knowledge(known: Knowledge) {
    gauge!("gateway_fleet_machines").set(known.machines as f64);
    gauge!("gateway_backends_known").set(known.backends as f64);
    gauge!("gateway_follows_digest").set(f64::from(u8::from(known.follows_digest)));
    if let Some(age_ms) = known.backends_age_ms {
        gauge!("gateway_backends_age_ms").set(age_ms as f64);
    }
    gauge!("gateway_routes_age_ms").set(known.routes_age_ms as f64);
    gauge!("gateway_log_age_ms").set(known.log_age_ms as f64);
    gauge!("gateway_held_answer_bytes").set(known.held_answer_bytes as f64);
    gauge!("gateway_held_request_bytes").set(known.held_request_bytes as f64);
    gauge!("gateway_caller_connections").set(known.caller_connections as f64);
}

/// Counts a caller's connection that was closed because the caller read its answer too slowly while memory was short.
pub fn slow_reader_closed() {
    counter!("gateway_slow_readers_closed_total").increment(1);
}

/// Counts a call about batches that ended, with its kind, status and duration.
pub fn batch_call_ended(kind: &'static str, status: u16, took_ms: u64) {
    counter!("gateway_batch_calls_total", "kind" => kind, "status" => status.to_string())
        .increment(1);
    histogram!("gateway_batch_call_ms", "kind" => kind).record(took_ms as f64);
}

/// Records the age of the knowledge of a batch with which a run of one of its items was started.
pub fn run_started(known_age_ms: u64) {
    histogram!(KNOWLEDGE_AGE).record(known_age_ms as f64);
}

/// Counts an item that was placed on a back end whose memory is expected to run out, as no other had a free slot.
pub fn placed_short_of_memory() {
    counter!("gateway_items_placed_short_of_memory_total").increment(1);
}

/// Counts a run of an item that ended, with its outcome and duration.
pub fn run_ended(outcome: &'static str, took_ms: u64) {
    counter!("gateway_runs_total", "outcome" => outcome).increment(1);
    histogram!("gateway_run_ms", "outcome" => outcome).record(took_ms as f64);
}

/// Counts a circuit breaker that opened for a back end; `cause` says how the last run there ended.
pub fn breaker_opened(cause: &'static str) {
    counter!("gateway_breakers_opened_total", "cause" => cause).increment(1);
}

/// Counts a back end that gets no work for a while because another one was found at its address.
pub fn backend_replaced() {
    counter!("gateway_backends_replaced_total").increment(1);
}

/// Counts a run that was ended because its back end stopped sending events.
pub fn run_stalled(reason: &'static str) {
    counter!("gateway_runs_stalled_total", "reason" => reason).increment(1);
}

/// Counts an append of results to the log, with its outcome and duration.
pub fn results_written(outcome: &'static str, took_ms: u64) {
    counter!("gateway_appends_total", "outcome" => outcome).increment(1);
    histogram!("gateway_append_ms", "outcome" => outcome).record(took_ms as f64);
}

/// Counts a call to the shared log that ended, and the `bytes` of records that it read or appended.
pub fn log_called(stream: &'static str, call: &'static str, is_done: bool, bytes: usize) {
    let outcome = if is_done { "done" } else { "failed" };
    counter!("gateway_log_calls_total", "stream" => stream, "call" => call, "outcome" => outcome)
        .increment(1);
    counter!("gateway_log_bytes_total", "stream" => stream, "call" => call).increment(bytes as u64);
}

/// Counts a change of a directory that this node learned but does not log.
pub fn directory_changed(change: &'static str) {
    counter!("gateway_directory_changes_total", "change" => change).increment(1);
}

/// Counts a request for a pool's size, with the outcome.
pub fn size_ordered(outcome: &'static str) {
    counter!("gateway_size_orders", "outcome" => outcome).increment(1);
}

/// Counts a report of usage, with the outcome.
pub fn usage_reported(outcome: &'static str) {
    counter!("gateway_usage_reports", "outcome" => outcome).increment(1);
}

/// Counts an order to a back end, with the outcome.
pub fn order_answered(outcome: &'static str) {
    counter!("gateway_orders_total", "outcome" => outcome).increment(1);
}

/// Counts a request whose connection broke after the request was written; `evidence` says what the node then found
/// out about the back end.
pub fn send_broke(evidence: &'static str) {
    counter!("gateway_sends_broken_total", "evidence" => evidence).increment(1);
}

/// Counts a claim of a trial of a suspected request, by whether this node holds the trial.
pub fn trial_claimed(is_held: bool) {
    let outcome = if is_held { "held" } else { "not_held" };
    counter!("gateway_trials_claimed_total", "outcome" => outcome).increment(1);
}

/// Counts a received request that is barred from back ends because it crashes them.
pub fn barred_request_received() {
    counter!("gateway_barred_requests_total").increment(1);
}

/// Counts a request that was given up because the ends of back ends that ran it could not be reported to other nodes.
pub fn unreported_request_given_up() {
    counter!("gateway_untold_requests_total").increment(1);
}

/// Counts a crash report to other nodes, about a request or a back end; the outcome is written, failed or dropped,
/// or `to_peer` if it was sent to a peer.
pub fn crash_reported(outcome: &'static str) {
    counter!("gateway_crash_words_total", "outcome" => outcome).increment(1);
}

/// Adds the time for which the machine was suspended.
pub fn machine_suspended(time: Duration) {
    counter!("gateway_suspended_ms_total").increment(time.as_millis() as u64);
}

/// Counts a datagram received from another node, with the outcome.
pub fn peer_notice(outcome: &'static str) {
    counter!("gateway_peer_notices_total", "outcome" => outcome).increment(1);
}

/// Sets the number of requests that are suspected or barred now, and the totals of forgotten ones by reason.
pub fn suspects(remembered: usize, forgotten: &ForgottenRequests) {
    gauge!("gateway_suspects").set(remembered as f64);
    let by_reason = [
        ("cleared", forgotten.cleared),
        ("expired", forgotten.expired),
        ("evicted", forgotten.evicted),
        ("disproved", forgotten.disproved),
    ];
    for (reason, count) in by_reason {
        counter!("gateway_suspects_forgotten_total", "reason" => reason).absolute(count);
    }
}

/// Counts a question to the owner of a batch on behalf of a caller, with its outcome and duration.
pub fn owner_asked(question: &'static str, outcome: &'static str, took_ms: u64) {
    counter!("gateway_owner_questions_total", "question" => question, "outcome" => outcome)
        .increment(1);
    histogram!("gateway_owner_question_ms", "question" => question).record(took_ms as f64);
}

/// Counts a question of another node that was answered or declined, and the bytes of the answer.
pub fn peer_answered(outcome: &'static str, bytes: usize) {
    counter!("gateway_peer_answers_total", "outcome" => outcome).increment(1);
    counter!("gateway_peer_answer_bytes_total").increment(bytes as u64);
}

/// Sets the number of items that this node runs now.
pub fn items_running(count: usize) {
    gauge!("gateway_items_running").set(count as f64);
}
