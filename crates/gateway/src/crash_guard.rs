//! Keeps requests that end back ends from being sent on and on, by any node. An end under a request is noted here at
//! once and told to all nodes through the control stream; [`crash_evidence`](crate::crash_evidence) finds it.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use havenstage_rollout::Millis;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::crash_ledger::{EndedBackend, Fingerprint, OtherRequestsAtEnd, Suspicion};
use havenstage_rollout::ids::BackendId;
use log::{info, warn};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::context::Context;
use crate::log_writes::append_control;
use crate::metrics;
use crate::peer_notices;

/// Time after the end of a back end's life by which its next one is listed: back ends start again after two seconds
/// and write an entry at once, and each 1.2 s from then on.
const NEXT_LIFE_LISTED_MS: Millis = 4_000;
/// Age of the log's last answer up to which the list is taken to be read as it is written.
const FRESH_CONTACT_MS: Millis = 1_000;

/// Pause before a word for the other nodes that could not be written is written again.
const TELL_AGAIN_PAUSE: Duration = Duration::from_millis(200);
/// Longest time that a broken send waits for its word to be written: over ten times what an append takes.
const TELL_PATIENCE: Duration = Duration::from_millis(50);
/// Longest time that it waits besides for another node to hear it, where the log refuses it: two tries. The caller may
/// ask another node as soon as it has its answer, and this one may die.
const PEER_PATIENCE: Duration = Duration::from_millis(200);
/// Longest time for which a request waits for the ends under it to be told: two further tries at the log.
pub(crate) const UNREPORTED_END_TIMEOUT: Duration = Duration::from_millis(500);
/// Most words that wait to be written while the log is away; each holds some 100 bytes.
const MOST_WAITING: usize = 256;
/// Ends under a request that no other node knows of, from which on it is not sent here: they are forgotten if this
/// node dies, and with one more the others would begin anew after as many ends as bar a request. One alone is no
/// reason to keep a request back, else each crash while the log is away would cost its callers their answers.
const MOST_UNTOLD_ENDS: usize = 2;

/// Sends of suspected requests that are under way here, and words for other nodes.
#[derive(Default)]
pub(crate) struct CrashGuard {
    under_way: Mutex<HashMap<Fingerprint, usize>>,
    /// Words that wait to be written.
    waiting: AtomicUsize,
    /// Back ends of whose ends these tell, for each request.
    untold: Mutex<HashMap<Fingerprint, Vec<BackendId>>>,
}

/// Whether a request may be sent to a back end now.
pub(crate) enum Admission {
    /// It may be. The slot of a suspected request is held until its end is known.
    Send(Option<SuspectSlot>),
    /// Not by this node, which cannot tell whether it is harmful: another one tries it.
    LeftToAnother,
    /// Not yet: as many sends of it are under way as back ends may still end under it.
    Wait,
    /// Not before the ends under it that only this node knows of are told.
    EndsUnreported,
    /// It must not be sent any more.
    Barred,
}

/// Who else may send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sender {
    /// Any node to which its caller turns.
    Any,
    /// Only this one, as the owner of the batch for which it is sent. It would never be sent again if the owner left
    /// it to others.
    Owner,
}

/// Counts a send of a suspected request as under way.
pub(crate) struct SuspectSlot {
    context: Arc<Context>,
    request: Fingerprint,
}

impl Drop for SuspectSlot {
    fn drop(&mut self) {
        let mut under_way = self.context.crash_guard.lock_under_way();
        if let Some(count) = under_way.get_mut(&self.request) {
            *count -= 1;
            if *count == 0 {
                under_way.remove(&self.request);
            }
        }
    }
}

impl CrashGuard {
    /// Whether any request is kept back until the ends under it are told.
    pub(crate) fn has_held_back_requests(&self) -> bool {
        let untold = self.lock_untold();
        self.is_full() || untold.values().any(|ends| ends.len() >= MOST_UNTOLD_ENDS)
    }

    /// How many back ends may still end under a request before its ends must be told.
    fn ends_left(&self, request: &Fingerprint) -> usize {
        // A word that found no room is never told, and it may be one on this request.
        if self.is_full() {
            return 0;
        }
        let untold = self.lock_untold();
        let ends = untold.get(request).map_or(0, Vec::len);
        MOST_UNTOLD_ENDS.saturating_sub(ends)
    }

    fn is_full(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) >= MOST_WAITING
    }

    fn begin_to_tell(&self, request: &Fingerprint, backend: &BackendId) {
        let mut untold = self.lock_untold();
        let ends = untold.entry(*request).or_default();
        if !ends.contains(backend) {
            ends.push(backend.clone());
        }
    }

    fn told(&self, request: &Fingerprint, backend: &BackendId) {
        let mut untold = self.lock_untold();
        let Some(ends) = untold.get_mut(request) else {
            return;
        };
        ends.retain(|other| other != backend);
        if ends.is_empty() {
            untold.remove(request);
        }
    }

    fn lock_untold(&self) -> MutexGuard<'_, HashMap<Fingerprint, Vec<BackendId>>> {
        self.untold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_under_way(&self) -> MutexGuard<'_, HashMap<Fingerprint, usize>> {
        self.under_way
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether nothing is known against any request, so that none needs a look.
pub(crate) fn has_no_suspects(context: &Context) -> bool {
    context.control.lock().state.crashes().is_empty()
}

/// What is known against a request.
pub(crate) fn suspicion(context: &Context, request: &Fingerprint) -> Suspicion {
    let now = context.now();
    context
        .control
        .lock()
        .state
        .crashes()
        .suspicion(request, now)
}

/// Whether a request may be sent now. What is under way here counts as if it failed, so that several copies
/// of a request that come together don't end more back ends than one.
pub(crate) fn admit(context: &Arc<Context>, request: &Fingerprint, sender: Sender) -> Admission {
    let runs_left = match suspicion(context, request) {
        Suspicion::None => return Admission::Send(None),
        Suspicion::LeftToAnother { .. } if sender == Sender::Any => {
            return Admission::LeftToAnother;
        }
        Suspicion::LeftToAnother { .. } => 1,
        Suspicion::Barred { .. } => return Admission::Barred,
        Suspicion::Suspected { runs_left, .. } => runs_left,
    };
    let ends_left = context.crash_guard.ends_left(request);
    if ends_left == 0 {
        return Admission::EndsUnreported;
    }
    let runs_left = runs_left.min(ends_left);
    let mut under_way = context.crash_guard.lock_under_way();
    let count = under_way.entry(*request).or_default();
    if *count >= runs_left {
        return Admission::Wait;
    }
    *count += 1;
    Admission::Send(Some(SuspectSlot {
        context: context.clone(),
        request: *request,
    }))
}

/// Whether a suspected request is kept back until the ends under it are told.
pub(crate) fn is_held_back(context: &Context, request: &Fingerprint) -> bool {
    context.crash_guard.ends_left(request) == 0
        && !matches!(suspicion(context, request), Suspicion::None)
}

/// A request is given up as the ends under it could not be told: says so.
pub(crate) fn log_given_up_with_unreported_ends(
    context: &Context,
    request: &Fingerprint,
    id: &str,
) {
    let waiting = context.crash_guard.waiting.load(Ordering::Relaxed);
    let suspicion = suspicion(context, request);
    metrics::unreported_request_given_up();
    info!(event = "request_given_up_as_its_ends_are_untold", request = id,
        content = request.to_string().as_str(), suspicion = format!("{suspicion:?}").as_str(),
        words_waiting = waiting, contact_age_ms = context.contact_age(); "");
}

/// A barred request came again: tells why it is not sent. `id` is the id of this try.
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
        ended = name_all(&ended).as_str(), last_end_age_ms = age_ms; "");
}

/// A request that another node tries came here: tells that it is refused.
pub(crate) fn log_left_to_another(context: &Context, request: &Fingerprint, id: &str) {
    let suspicion = suspicion(context, request);
    info!(event = "request_left_to_another", request = id, content = request.to_string().as_str(),
        suspicion = format!("{suspicion:?}").as_str(); "");
}

/// Requests that were barred by what the control stream told since the last call.
pub(crate) fn log_newly_barred(context: &Context) {
    let now = context.now();
    let mut control = context.control.lock();
    let newly = control.state.crashes_mut().take_newly_barred(now);
    let crashes = control.state.crashes();
    let told: Vec<BarredRequest> = newly
        .into_iter()
        .map(|request| BarredRequest {
            request,
            suspicion: crashes.suspicion(&request, now),
            company: crashes.others_at_ends(&request),
        })
        .collect();
    let remembered = crashes.len();
    drop(control);
    for barred in told {
        if let Suspicion::Barred { ended, .. } = barred.suspicion {
            warn!(event = "request_barred", content = barred.request.to_string().as_str(),
                ended = name_all(&ended).as_str(),
                company = describe_company(&barred.company).as_str(), remembered = remembered; "");
        }
    }
}

/// A request that was barred, and what tells whether that is right.
struct BarredRequest {
    request: Fingerprint,
    suspicion: Suspicion,
    company: Vec<OtherRequestsAtEnd>,
}

/// For each end, how many other requests were there and the most ends that one of them has.
fn describe_company(company: &[OtherRequestsAtEnd]) -> String {
    let described = company.iter().map(|end| {
        let (backend, others, most_ends) = (&end.backend, end.others, end.max_ends);
        format!("{backend}: {others} others with {most_ends} ends at most")
    });
    described.collect::<Vec<String>>().join(", ")
}

/// Forgets requests of which nothing was heard for long, and counts.
pub(crate) fn forget_old(context: &Context) {
    let now = context.now();
    let mut control = context.control.lock();
    let crashes = control.state.crashes_mut();
    crashes.forget_old(now);
    let (remembered, forgotten) = (crashes.len(), crashes.forgotten());
    drop(control);
    metrics::suspects(remembered, &forgotten);
}

fn name_all(ended: &[EndedBackend]) -> String {
    let names = ended.iter().map(|ended| {
        let (backend, seen_by) = (&ended.backend, &ended.seen_by);
        format!("{backend} seen by {seen_by}")
    });
    names.collect::<Vec<String>>().join(", ")
}

/// Notes and tells that a back end ended under a request. Waits a moment for the word to stand in the log: the
/// caller may ask another node as soon as it has its answer.
pub(crate) async fn record_backend_end(
    context: &Arc<Context>,
    request: Fingerprint,
    backend: &BackendId,
) {
    let ended = EndedBackend {
        backend: backend.clone(),
        seen_by: context.node.machine.clone(),
    };
    note_ended(context, request, ended.clone());
    log_newly_barred(context);
    if let Some(telling) = tell_an_end(context, request, ended) {
        telling.wait_a_moment(context).await;
    }
}

fn note_ended(context: &Context, request: Fingerprint, ended: EndedBackend) {
    let now = context.now();
    let mut control = context.control.lock();
    let crashes = control.state.crashes_mut();
    crashes.record_end(request, ended, now);
}

/// A back end answered a request, so that the back end lives. If it answered with success, the request can be run; any
/// other answer may have been given before it began to run it.
pub(crate) fn record_answer(
    context: &Arc<Context>,
    backend: &BackendId,
    is_success: bool,
    request: impl FnOnce() -> Fingerprint,
) {
    // Nothing is worked out, not even the fingerprint, while nobody is suspected.
    if has_no_suspects(context) {
        return;
    }
    if is_success {
        clear(context, backend, request());
    }
    if may_be_next_life(context, backend) {
        return;
    }
    let lives_after_all = {
        let mut control = context.control.lock();
        control.state.crashes_mut().retract_ends_at(backend)
    };
    if lives_after_all {
        warn!(event = "backend_lives_after_all", backend = backend.as_str(); "");
        let backend = backend.clone();
        tell(context, ControlRecord::BackendLives { backend });
    }
}

/// Whether what answers under a back end's name may be its next life. One that tells when it started is listed anew by
/// then, if the list was read since.
fn may_be_next_life(context: &Context, backend: &BackendId) -> bool {
    if backend.started_at().is_none() {
        return false;
    }
    let is_listed = context.backends.lock().list.get(backend).is_some();
    let is_fresh = context.contact_age() < FRESH_CONTACT_MS;
    let control = context.control.lock();
    let age = control.state.crashes().last_end_age(backend, context.now());
    let would_show = age.is_some_and(|age| age >= NEXT_LIFE_LISTED_MS);
    !(is_listed && is_fresh && would_show)
}

fn clear(context: &Arc<Context>, backend: &BackendId, request: Fingerprint) {
    let is_cleared = {
        let mut control = context.control.lock();
        control.state.crashes_mut().clear(&request)
    };
    if is_cleared {
        info!(event = "request_cleared", content = request.to_string().as_str(),
            backend = backend.as_str(), by = "answer"; "");
        tell(context, ControlRecord::RequestCleared { request });
    }
}

/// Another node told of an end that the log did not take from it: goes by it, and writes it. False if there is no room
/// for it.
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
    note_ended(context, request, ended.clone());
    log_newly_barred(context);
    let ended = ended.clone();
    // Two machines know of it: nothing is kept back for it.
    tell(context, ControlRecord::BackendEnded { request, ended });
    true
}

/// How far a word is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    /// The first append is under way.
    NotYet,
    /// The log did not take it at once.
    LogFails,
    /// It stands in the log.
    Written,
}

/// An end that is being told.
struct Telling {
    /// Over as soon as it stands in the log, or another node knows it.
    task: JoinHandle<()>,
    told: watch::Receiver<Told>,
}

impl Telling {
    /// Waits for that, but not for long: without an answer the request goes on, and the word is told as soon as it can
    /// be.
    async fn wait_a_moment(mut self, context: &Context) {
        let is_told = tokio::time::timeout(TELL_PATIENCE, &mut self.task).await;
        let is_refused = *self.told.borrow() == Told::LogFails;
        if is_told.is_err() && is_refused && peer_notices::has_recipients(context) {
            let _ = tokio::time::timeout(PEER_PATIENCE, self.task).await;
        }
    }
}

/// Tells of an end.
fn tell_an_end(
    context: &Arc<Context>,
    request: Fingerprint,
    ended: EndedBackend,
) -> Option<Telling> {
    let record = ControlRecord::BackendEnded {
        request,
        ended: ended.clone(),
    };
    let told = tell(context, record)?;
    let mut writing = told.clone();
    context.crash_guard.begin_to_tell(&request, &ended.backend);
    let context = context.clone();
    let task = tokio::spawn(async move {
        let fails = writing.wait_for(|told| *told != Told::NotYet);
        // After this time the request goes on without the word's being known.
        let _ = tokio::time::timeout(TELL_PATIENCE, fails).await;
        let is_written = *writing.borrow() == Told::Written;
        if !is_written && !peer_notices::has_recipients(&context) {
            warn!(event = "end_known_here_alone", content = request.to_string().as_str(),
                backend = ended.backend.as_str(), contact_age_ms = context.contact_age(); "");
        }
        tokio::select! {
            _ = writing.wait_for(|told| *told == Told::Written) => {}
            recipient = peer_notices::report_end(&context, request, &ended) => {
                info!(event = "end_told_to_peer", content = request.to_string().as_str(),
                    backend = ended.backend.as_str(), peer = recipient.to_string().as_str(); "");
                metrics::crash_reported("to_peer");
            }
        }
        context.crash_guard.told(&request, &ended.backend);
    });
    Some(Telling { task, told })
}

/// Writes a word for the other nodes, again and again until it stands in the log. While the log is away only so many
/// words wait; more are dropped, and no suspected request is sent until there is room again.
fn tell(context: &Arc<Context>, record: ControlRecord) -> Option<watch::Receiver<Told>> {
    let waiting = &context.crash_guard.waiting;
    if waiting.fetch_add(1, Ordering::Relaxed) >= MOST_WAITING {
        waiting.fetch_sub(1, Ordering::Relaxed);
        warn!(event = "crash_not_told", record = format!("{record:?}").as_str(), waiting = MOST_WAITING; "");
        metrics::crash_reported("dropped");
        return None;
    }
    let (tell, told) = watch::channel(Told::NotYet);
    let context = context.clone();
    tokio::spawn(async move {
        while let Err(error) = append_control(&context, &record).await {
            tell.send_replace(Told::LogFails);
            warn!(event = "crash_not_told_yet", record = format!("{record:?}").as_str(),
                reason = error.to_string().as_str(); "");
            metrics::crash_reported("failed");
            tokio::time::sleep(TELL_AGAIN_PAUSE).await;
        }
        metrics::crash_reported("written");
        context.crash_guard.waiting.fetch_sub(1, Ordering::Relaxed);
        tell.send_replace(Told::Written);
    });
    Some(told)
}
