//! Stops requests that crash back ends from being sent again and again, by any node.
//!
//! [`crash_evidence`](crate::crash_evidence) detects that a back end ended while it ran a request. This module records
//! the end in the node's crash ledger at once, reports it to all nodes through the control stream, and decides whether
//! a request may be sent.

use std::collections::{BTreeSet, HashMap};
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use havenstage_rollout::Millis;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::crash_ledger::{EndedBackend, Fingerprint, OtherRequestsAtEnd, Suspicion};
use havenstage_rollout::ids::BackendId;
use log::{info, warn};
use tokio::sync::{Notify, watch};

use crate::context::Context;
use crate::log_writes::append_control;
use crate::metrics;
use crate::peer_notices;

/// Time after the end of a back end by which its next incarnation is listed: back ends restart after two seconds, write
/// a directory entry at once, and repeat it every 1.2 s.
const NEXT_INCARNATION_LISTED_MS: Millis = 4_000;
/// Maximum age of the last answer of the log or a directory at which this node's list of back ends counts as current.
const MAX_FRESH_CONTACT_AGE_MS: Millis = 1_000;

/// Pause before a record that the log did not accept is appended again.
const APPEND_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Maximum time that a broken send waits until the end under it is in the log: over ten times what an append takes.
const APPEND_WAIT_TIMEOUT: Duration = Duration::from_millis(50);
/// Further time that a broken send waits for a peer to confirm the end if the log refused it: three tries. The caller may
/// ask another node as soon as it has its answer, and this node may crash before the end is known elsewhere.
const PEER_WAIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum time that a request waits until the ends under it are reported: two further appends to the log.
pub(crate) const UNREPORTED_END_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of records that wait for an append while the log is unavailable; each holds some 100 bytes.
const MAX_WAITING_RECORDS: usize = 256;
/// Number of unreported ends under a request from which on this node holds it back. Unreported ends are lost if this
/// node crashes: with one end more, as many would be lost as bar a request, and the other nodes would count from zero.
/// A single unreported end doesn't hold a request back, otherwise each crash while the log is unavailable would cost
/// callers their answers.
const MAX_UNREPORTED_ENDS: usize = 2;

/// This node's sends of suspected requests that are in flight, and its records that other nodes do not know yet.
#[derive(Default)]
pub(crate) struct CrashGuard {
    /// Number of sends in flight for each suspected request.
    in_flight: Mutex<HashMap<Fingerprint, usize>>,
    /// Number of records that wait for an append.
    waiting_records: AtomicUsize,
    /// For each request, the back ends whose ends under it are reported neither to the log nor to a peer.
    unreported: Mutex<HashMap<Fingerprint, Vec<BackendId>>>,
    /// Notified each time an end is reported.
    end_reported: Notify,
}

/// Whether a request may be sent to a back end now.
pub(crate) enum Admission {
    /// It may be sent. If it is suspected, the slot is held until it is known whether the back end ended.
    Send(Option<SuspectSlot>),
    /// Only as a trial, which this node would have to claim: it is unknown whether the request is harmful.
    TrialOnly,
    /// Not yet: as many sends of it are in flight as back ends may still end under it.
    Wait,
    /// Not before the ends under it that only this node knows of are reported.
    EndsUnreported,
    /// No, except as a trial, which this node would have to claim: enough back ends ended under it to bar it.
    Barred,
}

/// Counts one send of a suspected request as in flight until it is dropped.
pub(crate) struct SuspectSlot {
    context: Arc<Context>,
    request: Fingerprint,
    trial: Option<TakenTrial>,
}

/// A claimed trial that a send makes.
struct TakenTrial {
    number: u32,
    /// Whether a back end may have run the request.
    may_have_run: bool,
}

impl SuspectSlot {
    /// Records that the request is about to be sent, or that no back end ran it after all.
    pub(crate) fn set_may_have_run(&mut self, may_have_run: bool) {
        if let Some(trial) = &mut self.trial {
            trial.may_have_run = may_have_run;
        }
    }
}

impl Drop for SuspectSlot {
    fn drop(&mut self) {
        if let Some(trial) = self.trial.take_if(|trial| !trial.may_have_run) {
            let mut control = self.context.control.lock();
            let crashes = control.state.crashes_mut();
            crashes.return_trial(&self.request, trial.number, &self.context.node);
        }
        let mut in_flight = self.context.crash_guard.lock_in_flight();
        if let Some(count) = in_flight.get_mut(&self.request) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.request);
            }
        }
    }
}

impl CrashGuard {
    /// How many back ends may still end under a request before it is held back.
    fn unreported_ends_left(&self, request: &Fingerprint) -> usize {
        // Records are dropped while the queue is full, and one of them may report an end under this request.
        if self.is_full() {
            return 0;
        }
        let unreported = self.lock_unreported();
        let ends = unreported.get(request).map_or(0, Vec::len);
        MAX_UNREPORTED_ENDS.saturating_sub(ends)
    }

    fn is_full(&self) -> bool {
        self.waiting_records.load(Ordering::Relaxed) >= MAX_WAITING_RECORDS
    }

    fn add_unreported_end(&self, request: &Fingerprint, backend: &BackendId) {
        let mut unreported = self.lock_unreported();
        let ends = unreported.entry(*request).or_default();
        if !ends.contains(backend) {
            ends.push(backend.clone());
        }
    }

    fn remove_unreported_end(&self, request: &Fingerprint, backend: &BackendId) {
        let mut unreported = self.lock_unreported();
        let Some(ends) = unreported.get_mut(request) else {
            return;
        };
        ends.retain(|other| other != backend);
        if ends.is_empty() {
            unreported.remove(request);
        }
        drop(unreported);
        self.end_reported.notify_waiters();
    }

    /// Waits until all ends under a request are reported.
    async fn wait_until_reported(&self, request: &Fingerprint) {
        loop {
            let mut end_reported = pin!(self.end_reported.notified());
            // Registers the wait before the check, so that no report between the two is missed.
            end_reported.as_mut().enable();
            if !self.lock_unreported().contains_key(request) {
                return;
            }
            end_reported.await;
        }
    }

    fn lock_unreported(&self) -> MutexGuard<'_, HashMap<Fingerprint, Vec<BackendId>>> {
        self.unreported
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_in_flight(&self) -> MutexGuard<'_, HashMap<Fingerprint, usize>> {
        self.in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the crash ledger holds no end, so that no request needs a check.
pub(crate) fn has_no_suspects(context: &Context) -> bool {
    context.control.lock().state.crashes().is_empty()
}

/// Back ends to which no suspected request and no item is sent, as they ended so recently that their next incarnations may
/// not be listed yet. The request could reach the next incarnation, which listens at the same address and has the same name. If
/// that ends, it would be taken for the end that is known already, and harmless requests that run there would have an end
/// without a cause.
pub(crate) fn recently_ended_backends(context: &Context) -> BTreeSet<BackendId> {
    let now = context.now();
    let control = context.control.lock();
    let crashes = control.state.crashes();
    let mut ended = crashes.ended_within(NEXT_INCARNATION_LISTED_MS, now);
    // Without a start time, the next incarnation has the same id, and is listed already if it is listed at all.
    ended.retain(|backend| backend.started_at().is_some());
    ended
}

/// How far a request is suspected of crashing back ends, by the ends known to this node.
pub(crate) fn suspicion(context: &Context, request: &Fingerprint) -> Suspicion {
    let now = context.now();
    context
        .control
        .lock()
        .state
        .crashes()
        .suspicion(request, now)
}

/// Decides whether a request may be sent now. Each send that is in flight on this node counts as if it failed, so that
/// several copies of a request that arrive together don't end more back ends than one copy would.
pub(crate) fn admit(context: &Arc<Context>, request: &Fingerprint) -> Admission {
    let runs_left = match suspicion(context, request) {
        Suspicion::None => return Admission::Send(None),
        Suspicion::TrialOnly { .. } => return admit_trial(context, request, Admission::TrialOnly),
        Suspicion::Barred { .. } => return admit_trial(context, request, Admission::Barred),
        Suspicion::Suspected { runs_left, .. } => runs_left,
    };
    let ends_left = context.crash_guard.unreported_ends_left(request);
    if ends_left == 0 {
        return Admission::EndsUnreported;
    }
    let runs_left = runs_left.min(ends_left);
    let mut in_flight = context.crash_guard.lock_in_flight();
    let count = in_flight.entry(*request).or_default();
    if *count >= runs_left {
        return Admission::Wait;
    }
    *count += 1;
    Admission::Send(Some(SuspectSlot {
        context: context.clone(),
        request: *request,
        trial: None,
    }))
}

/// Admits a request as a trial if this node has claimed one and has not made it; otherwise returns `refusal`.
fn admit_trial(context: &Arc<Context>, request: &Fingerprint, refusal: Admission) -> Admission {
    let taken = {
        let mut control = context.control.lock();
        let crashes = control.state.crashes_mut();
        crashes.take_trial(request, &context.node)
    };
    let Some(number) = taken else {
        return refusal;
    };
    let mut in_flight = context.crash_guard.lock_in_flight();
    *in_flight.entry(*request).or_default() += 1;
    Admission::Send(Some(SuspectSlot {
        context: context.clone(),
        request: *request,
        trial: Some(TakenTrial {
            number,
            may_have_run: false,
        }),
    }))
}

/// Logs and counts that a request is given up because the ends under it could not be reported in time. `id` is the id
/// of this try.
pub(crate) fn log_given_up_with_unreported_ends(
    context: &Context,
    request: &Fingerprint,
    id: &str,
) {
    let waiting = context.crash_guard.waiting_records.load(Ordering::Relaxed);
    let suspicion = suspicion(context, request);
    metrics::unreported_request_given_up();
    info!(event = "request_given_up_as_its_ends_are_untold", request = id,
        content = request.to_string().as_str(), suspicion = format!("{suspicion:?}").as_str(),
        words_waiting = waiting, contact_age_ms = context.contact_age(); "");
}

/// Records that a barred request was received again, and logs why it is not sent. `id` is the id of this try.
pub(crate) fn record_barred_retry(context: &Context, request: &Fingerprint, id: &str) {
    let now = context.now();
    let mut control = context.control.lock();
    let crashes = control.state.crashes_mut();
    crashes.record_retry(request, now);
    let Suspicion::Barred { ended, age_ms } = crashes.suspicion(request, now) else {
        return;
    };
    drop(control);
    metrics::barred_request_received();
    info!(event = "request_refused_as_barred", request = id, content = request.to_string().as_str(),
        ended = describe_ended_backends(&ended).as_str(), last_end_age_ms = age_ms; "");
}

/// Logs that a request is refused because it is run only as a trial, and none is due. `id` is the id of this try.
pub(crate) fn log_awaits_trial(context: &Context, request: &Fingerprint, id: &str) {
    let suspicion = suspicion(context, request);
    info!(event = "request_awaits_trial", request = id, content = request.to_string().as_str(),
        suspicion = format!("{suspicion:?}").as_str(); "");
}

/// Logs the requests that are barred since the last call, by ends that this node saw or read from the control stream.
pub(crate) fn log_newly_barred(context: &Context) {
    let now = context.now();
    let mut control = context.control.lock();
    let newly_barred = control.state.crashes_mut().take_newly_barred(now);
    let crashes = control.state.crashes();
    let barred_requests: Vec<BarredRequest> = newly_barred
        .into_iter()
        .map(|request| BarredRequest {
            request,
            suspicion: crashes.suspicion(&request, now),
            others_at_ends: crashes.others_at_ends(&request),
            ends_spread_ms: crashes.ends_spread_ms(&request),
        })
        .collect();
    let remembered = crashes.len();
    drop(control);
    for barred in barred_requests {
        if let Suspicion::Barred { ended, .. } = barred.suspicion {
            warn!(event = "request_barred", content = barred.request.to_string().as_str(),
                ended = describe_ended_backends(&ended).as_str(), spread_ms = barred.ends_spread_ms,
                company = describe_others_at_ends(&barred.others_at_ends).as_str(), remembered = remembered; "");
        }
    }
}

/// A request that was barred, with the data by which an operator can check whether that is right.
struct BarredRequest {
    request: Fingerprint,
    suspicion: Suspicion,
    others_at_ends: Vec<OtherRequestsAtEnd>,
    /// Milliseconds between its first and its latest end: near 0 if the back ends crashed together.
    ends_spread_ms: Millis,
}

/// Describes for each end how many other requests ran on the back end, and the maximum number of ends that any of them
/// has.
fn describe_others_at_ends(others_at_ends: &[OtherRequestsAtEnd]) -> String {
    let described = others_at_ends.iter().map(|end| {
        let (backend, others, max_ends) = (&end.backend, end.others, end.max_ends);
        format!("{backend}: {others} others with {max_ends} ends at most")
    });
    described.collect::<Vec<String>>().join(", ")
}

/// Removes requests without recent ends or retries from the crash ledger, and updates the metrics of suspects.
pub(crate) fn forget_old(context: &Context) {
    let now = context.now();
    let mut control = context.control.lock();
    let crashes = control.state.crashes_mut();
    crashes.forget_old(now);
    let (remembered, forgotten) = (crashes.len(), crashes.forgotten());
    drop(control);
    metrics::suspects(remembered, &forgotten);
}

fn describe_ended_backends(ended: &[EndedBackend]) -> String {
    let names = ended.iter().map(|ended| {
        let (backend, seen_by) = (&ended.backend, &ended.seen_by);
        format!("{backend} seen by {seen_by}")
    });
    names.collect::<Vec<String>>().join(", ")
}

/// Records and reports that a back end ended under a request. Waits a limited time until the report is in the log,
/// because the caller may ask another node as soon as it has its answer.
pub(crate) async fn record_backend_end(
    context: &Arc<Context>,
    request: Fingerprint,
    backend: &BackendId,
) {
    let ended = EndedBackend {
        backend: backend.clone(),
        seen_by: context.node.machine.clone(),
    };
    record_end(context, request, ended.clone());
    log_newly_barred(context);
    if let Some(append_state) = report_end(context, request, ended) {
        wait_briefly_for_reports(context, &request, append_state).await;
    }
}

fn record_end(context: &Context, request: Fingerprint, ended: EndedBackend) {
    let now = context.now();
    let mut control = context.control.lock();
    let crashes = control.state.crashes_mut();
    crashes.record_end(request, ended, now);
}

/// Records that a back end answered a request. The answer shows that the back end is alive, so the ends recorded for it
/// are retracted. A success also shows that the request is harmless and clears it; any other answer may have been given
/// before the back end began to run the request.
pub(crate) fn record_answer(
    context: &Arc<Context>,
    backend: &BackendId,
    is_success: bool,
    request: impl FnOnce() -> Fingerprint,
) {
    // Without any suspect there is nothing to clear or retract; the fingerprint is not even computed.
    if has_no_suspects(context) {
        return;
    }
    if is_success {
        clear_suspicion(context, backend, request());
    }
    record_live_backend(context, backend);
}

/// Records that a back end answered: the ends recorded for it are retracted.
pub(crate) fn record_live_backend(context: &Arc<Context>, backend: &BackendId) {
    if has_no_suspects(context) || may_be_next_incarnation(context, backend) {
        return;
    }
    let is_retracted = {
        let mut control = context.control.lock();
        control.state.crashes_mut().retract_ends_at(backend)
    };
    if is_retracted {
        warn!(event = "backend_lives_after_all", backend = backend.as_str(); "");
        let backend = backend.clone();
        append_until_written(context, ControlRecord::BackendLives { backend });
    }
}

/// Whether an answer under a back end's name may come from its next incarnation. A back end that reports its start time
/// gets a new id with each incarnation. So it is still the old one if its id is listed although the last end is long
/// enough ago for a next incarnation to be listed, and the list is up to date.
fn may_be_next_incarnation(context: &Context, backend: &BackendId) -> bool {
    if backend.started_at().is_none() {
        return false;
    }
    let is_listed = context.backends.lock().list.get(backend).is_some();
    let is_fresh = context.contact_age() < MAX_FRESH_CONTACT_AGE_MS;
    let control = context.control.lock();
    let age = control.state.crashes().last_end_age(backend, context.now());
    let would_be_listed = age.is_some_and(|age| age >= NEXT_INCARNATION_LISTED_MS);
    !(is_listed && is_fresh && would_be_listed)
}

fn clear_suspicion(context: &Arc<Context>, backend: &BackendId, request: Fingerprint) {
    clear(context, request, backend, "answer");
}

/// Clears a request whose ends say nothing about it, as back ends that did not run it ended with them. `backend` is the one
/// that it is meant for next.
pub(crate) fn clear_unfounded(context: &Arc<Context>, backend: &BackendId, request: Fingerprint) {
    clear(context, request, backend, "other_ends");
}

fn clear(context: &Arc<Context>, request: Fingerprint, backend: &BackendId, by: &'static str) {
    let is_cleared = {
        let mut control = context.control.lock();
        control.state.crashes_mut().clear(&request)
    };
    if is_cleared {
        info!(event = "request_cleared", content = request.to_string().as_str(),
            backend = backend.as_str(), by = by; "");
        append_until_written(context, ControlRecord::RequestCleared { request });
    }
}

/// Records an end that a peer reported because the log did not accept it from the peer, and appends it to the log from
/// here. Returns false, without recording the end, if the queue of waiting records is full.
pub(crate) fn record_end_from_peer(
    context: &Arc<Context>,
    request: Fingerprint,
    ended: &EndedBackend,
) -> bool {
    let is_known = {
        let control = context.control.lock();
        control.state.crashes().has_end_at(&request, &ended.backend)
    };
    if is_known {
        return true;
    }
    if context.crash_guard.is_full() {
        return false;
    }
    record_end(context, request, ended.clone());
    log_newly_barred(context);
    let ended = ended.clone();
    // Two machines know of the end, so the request is not held back for it.
    append_until_written(context, ControlRecord::BackendEnded { request, ended });
    true
}

/// Progress of a record's way into the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AppendState {
    /// The first append is in flight.
    FirstTry,
    /// At least one append failed; it is retried.
    Retrying,
    /// The record is in the log.
    Written,
}

/// Waits until all ends under a request are reported, those before the latest one too, but only for a limited time.
/// After that the request continues, and the reports go on in the background. `append_state` is that of the latest end.
async fn wait_briefly_for_reports(
    context: &Context,
    request: &Fingerprint,
    append_state: watch::Receiver<AppendState>,
) {
    let mut all_reported = pin!(context.crash_guard.wait_until_reported(request));
    let reported = tokio::time::timeout(APPEND_WAIT_TIMEOUT, &mut all_reported).await;
    let is_refused = *append_state.borrow() == AppendState::Retrying;
    if reported.is_err() && is_refused && peer_notices::has_recipients(context) {
        let _ = tokio::time::timeout(PEER_WAIT_TIMEOUT, all_reported).await;
    }
}

/// Reports an end through the log and, if the log does not accept it in time, also to a peer. Returns the progress of
/// its append, `None` if the queue of waiting records is full and the report is dropped.
fn report_end(
    context: &Arc<Context>,
    request: Fingerprint,
    ended: EndedBackend,
) -> Option<watch::Receiver<AppendState>> {
    let record = ControlRecord::BackendEnded {
        request,
        ended: ended.clone(),
    };
    let append_state = append_until_written(context, record)?;
    let mut watched_state = append_state.clone();
    context
        .crash_guard
        .add_unreported_end(&request, &ended.backend);
    let context = context.clone();
    tokio::spawn(async move {
        let first_try = watched_state.wait_for(|state| *state != AppendState::FirstTry);
        // After this time the request continues, even if no other node knows of the end.
        let _ = tokio::time::timeout(APPEND_WAIT_TIMEOUT, first_try).await;
        let is_written = *watched_state.borrow() == AppendState::Written;
        if !is_written && !peer_notices::has_recipients(&context) {
            warn!(event = "end_known_here_alone", content = request.to_string().as_str(),
                backend = ended.backend.as_str(), contact_age_ms = context.contact_age(); "");
        }
        tokio::select! {
            _ = watched_state.wait_for(|state| *state == AppendState::Written) => {}
            recipient = peer_notices::report_end(&context, request, &ended) => {
                info!(event = "end_told_to_peer", content = request.to_string().as_str(),
                    backend = ended.backend.as_str(), peer = recipient.to_string().as_str(); "");
                metrics::crash_reported("to_peer");
            }
        }
        context
            .crash_guard
            .remove_unreported_end(&request, &ended.backend);
    });
    Some(append_state)
}

/// Appends a record to the control stream in the background and retries until it is in the log. The number of waiting
/// records is limited: while it is reached, further records are dropped, with `None` as the result, and no suspected
/// request is sent.
fn append_until_written(
    context: &Arc<Context>,
    record: ControlRecord,
) -> Option<watch::Receiver<AppendState>> {
    let waiting_records = &context.crash_guard.waiting_records;
    if waiting_records.fetch_add(1, Ordering::Relaxed) >= MAX_WAITING_RECORDS {
        waiting_records.fetch_sub(1, Ordering::Relaxed);
        warn!(event = "crash_not_told", record = format!("{record:?}").as_str(), waiting = MAX_WAITING_RECORDS; "");
        metrics::crash_reported("dropped");
        return None;
    }
    let (state_sender, append_state) = watch::channel(AppendState::FirstTry);
    let context = context.clone();
    tokio::spawn(async move {
        while let Err(error) = append_control(&context, &record).await {
            state_sender.send_replace(AppendState::Retrying);
            warn!(event = "crash_not_told_yet", record = format!("{record:?}").as_str(),
                reason = error.to_string().as_str(); "");
            metrics::crash_reported("failed");
            tokio::time::sleep(APPEND_RETRY_PAUSE).await;
        }
        metrics::crash_reported("written");
        context
            .crash_guard
            .waiting_records
            .fetch_sub(1, Ordering::Relaxed);
        state_sender.send_replace(AppendState::Written);
    });
    Some(append_state)
}
