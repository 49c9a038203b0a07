//! Counters and latency histograms, served as text.

use std::net::SocketAddr;
use std::time::Duration;

use havenstage_rollout::access::Denied;
use havenstage_rollout::crash_ledger::ForgottenRequests;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use thiserror::Error;

/// Bounds of the latency histograms, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 12] = [
    1.0, 5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 2_000.0, 8_000.0, 30_000.0,
];
/// Name of the histogram of how old the knowledge was on which runs were started.
const KNOWLEDGE_AGE: &str = "gateway_run_knowledge_age_ms";
/// Its bounds, in milliseconds: closer around 2 s, two thirds of the usual `bounds.end_in_force_ms`, up to
/// which runs are started, and around 2.55 s, 85 % of it, up to which their requests are written.
const KNOWLEDGE_AGE_BOUNDS_MS: [f64; 12] = [
    50.0, 100.0, 200.0, 400.0, 800.0, 1_200.0, 1_600.0, 2_000.0, 2_250.0, 2_550.0, 3_000.0, 8_000.0,
];

/// Metrics cannot be collected.
#[derive(Debug, Error)]
#[error("metrics cannot be collected at {address}: {reason}")]
pub struct MetricsError {
    /// Address they would be served on.
    pub address: SocketAddr,
    /// Why.
    pub reason: String,
}

/// Starts collecting; the handle renders what was collected.
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

/// A call ended.
pub fn call_ended(outcome: &'static str, took_ms: u64) {
    counter!("gateway_calls_total", "outcome" => outcome).increment(1);
    histogram!("gateway_call_ms", "outcome" => outcome).record(took_ms as f64);
}

/// A caller was turned away for want of a key that somebody holds.
pub fn caller_denied(denied: Denied) {
    let reason = match denied {
        Denied::NoKey => "no_key",
        Denied::UnknownKey => "unknown_key",
    };
    counter!("gateway_callers_denied", "reason" => reason).increment(1);
}

/// What a node knows of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Knowledge {
    /// Machines, about.
    pub machines: usize,
    /// Back ends that are known.
    pub backends: usize,
    /// Whether these are from the digest of the directory.
    pub follows_digest: bool,
    /// Age of the routes, in milliseconds.
    pub routes_age_ms: u64,
    /// Time since the log last answered, in milliseconds.
    pub log_age_ms: u64,
    /// Bytes of answers that callers have not taken yet.
    pub held_answer_bytes: usize,
}

/// Takes what a node knows of the fleet now.
pub fn knowledge(known: Knowledge) {
    gauge!("gateway_fleet_machines").set(known.machines as f64);
    gauge!("gateway_backends_known").set(known.backends as f64);
    gauge!("gateway_follows_digest").set(f64::from(u8::from(known.follows_digest)));
    gauge!("gateway_routes_age_ms").set(known.routes_age_ms as f64);
    gauge!("gateway_log_age_ms").set(known.log_age_ms as f64);
    gauge!("gateway_held_answer_bytes").set(known.held_answer_bytes as f64);
}

/// A caller's connection was closed, as its answer was taken too slowly and memory was short.
pub fn slow_reader_closed() {
    counter!("gateway_slow_readers_closed_total").increment(1);
}

/// A call on batches ended.
pub fn batch_call_ended(kind: &'static str, status: u16, took_ms: u64) {
    counter!("gateway_batch_calls_total", "kind" => kind, "status" => status.to_string())
        .increment(1);
    histogram!("gateway_batch_call_ms", "kind" => kind).record(took_ms as f64);
}

/// A run of an item was started on knowledge of its batch that was so old.
pub fn run_started(known_age_ms: u64) {
    histogram!(KNOWLEDGE_AGE).record(known_age_ms as f64);
}

/// An item was placed where the memory is expected to run out, for want of another place.
pub fn placed_short_of_memory() {
    counter!("gateway_items_placed_short_of_memory_total").increment(1);
}

/// A run of an item ended.
pub fn run_ended(outcome: &'static str, took_ms: u64) {
    counter!("gateway_runs_total", "outcome" => outcome).increment(1);
    histogram!("gateway_run_ms", "outcome" => outcome).record(took_ms as f64);
}

/// A back end gets no items for a while after a run ended there so.
pub fn breaker_opened(cause: &'static str) {
    counter!("gateway_breakers_opened_total", "cause" => cause).increment(1);
}

/// A run was ended as its back end fell silent.
pub fn run_stalled(reason: &'static str) {
    counter!("gateway_runs_stalled_total", "reason" => reason).increment(1);
}

/// Results were written to the log, or not.
pub fn results_written(outcome: &'static str, took_ms: u64) {
    counter!("gateway_appends_total", "outcome" => outcome).increment(1);
    histogram!("gateway_append_ms", "outcome" => outcome).record(took_ms as f64);
}

/// A call to the shared log ended; `bytes` of records were read or appended.
pub fn log_called(stream: &'static str, call: &'static str, is_done: bool, bytes: usize) {
    let outcome = if is_done { "done" } else { "failed" };
    counter!("gateway_log_calls_total", "stream" => stream, "call" => call, "outcome" => outcome)
        .increment(1);
    counter!("gateway_log_bytes_total", "stream" => stream, "call" => call).increment(bytes as u64);
}

/// A change of a directory was learned that concerns other nodes more than this one.
pub fn directory_changed(change: &'static str) {
    counter!("gateway_directory_changes_total", "change" => change).increment(1);
}

/// An order of a pool's size was answered, or was not.
pub fn size_ordered(outcome: &'static str) {
    counter!("gateway_size_orders", "outcome" => outcome).increment(1);
}

/// A report of usage was answered, or was not.
pub fn usage_reported(outcome: &'static str) {
    counter!("gateway_usage_reports", "outcome" => outcome).increment(1);
}

/// An order was answered.
pub fn order_answered(outcome: &'static str) {
    counter!("gateway_orders_total", "outcome" => outcome).increment(1);
}

/// A send broke off after it was written; `evidence` says what was found of its back end.
pub fn send_broke(evidence: &'static str) {
    counter!("gateway_sends_broken_total", "evidence" => evidence).increment(1);
}

/// A request came that must not be sent any more.
pub fn barred_request_received() {
    counter!("gateway_barred_requests_total").increment(1);
}

/// A request was given up as the ends under it could not be told to other nodes.
pub fn unreported_request_given_up() {
    counter!("gateway_untold_requests_total").increment(1);
}

/// A word for the other nodes about a request or a back end was written, failed or was dropped.
pub fn crash_reported(outcome: &'static str) {
    counter!("gateway_crash_words_total", "outcome" => outcome).increment(1);
}

/// The machine was suspended for so long.
pub fn machine_suspended(time: Duration) {
    counter!("gateway_suspended_ms_total").increment(time.as_millis() as u64);
}

/// A datagram of another node came.
pub fn peer_notice(outcome: &'static str) {
    counter!("gateway_peer_notices_total", "outcome" => outcome).increment(1);
}

/// Requests that are suspected or barred, and how those before were forgotten.
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

/// The node that runs a batch was asked about it for a caller.
pub fn owner_asked(question: &'static str, outcome: &'static str, took_ms: u64) {
    counter!("gateway_owner_questions_total", "question" => question, "outcome" => outcome)
        .increment(1);
    histogram!("gateway_owner_question_ms", "question" => question).record(took_ms as f64);
}

/// A question of another node was answered, or declined.
pub fn peer_answered(outcome: &'static str, bytes: usize) {
    counter!("gateway_peer_answers_total", "outcome" => outcome).increment(1);
    counter!("gateway_peer_answer_bytes_total").increment(bytes as u64);
}

/// Items that run on this node now.
pub fn items_running(count: usize) {
    gauge!("gateway_items_running").set(count as f64);
}
