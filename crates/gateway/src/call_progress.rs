//! A call in progress: chooses the back ends to which the call is sent, retries and hedges it, and gives it up at its
//! deadline. A call is sent to another back end only if its kind allows that or if it did not run.

use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use havenstage_clock::Instant;
use havenstage_clock::time_of_day::UnixMillis;
use havenstage_http_link::WholeAnswer;
use havenstage_rollout::crash_ledger::Fingerprint;
use havenstage_rollout::ids::{BackendId, PoolName};
use havenstage_rollout::residency::Residency;
use havenstage_rollout::route::{RequestKind, Route};
use http::StatusCode;
use log::info;

use crate::backends::CallTarget;
use crate::calls::{
    BARRED_STATUS, Call, CallOutcome, StreamingAnswer, refused, refused_without_backends,
    share_of_objective,
};
use crate::context::Context;
use crate::crash_evidence::{self, SendTarget};
use crate::crash_guard::{self, Admission, SuspectSlot};
use crate::metrics;
use crate::send::{self, SILENT, SendOutcome, SendTerms};
use crate::trial_claims;

/// Share of the objective after which a repeatable call without an answer is also sent to a second back end.
const HEDGE_SHARE: f64 = 0.5;
/// Share of the objective after which a call that no back end accepted is refused.
const REFUSE_SHARE: f64 = 0.2;
/// Pause before a call is sent again to back ends that all rejected it.
const REJECTED_RETRY_PAUSE: Duration = Duration::from_millis(8);
/// Pause after a search that found no back end for the second send. Without a pause the search repeats at once,
/// and a call that waits for a silent back end uses a whole processor: 2.50 s of processor time in a call of
/// 3.0 s, against 0.02 to 0.03 s with the pause.
const HEDGE_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// A stopping process answers the calls that it still accepts this long before it exits, so that the answers
/// can reach their callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Minimum time before the deadline for a send to be worth starting.
const MIN_SEND_TIME: Duration = Duration::from_millis(5);

type SendFuture<'a> = Pin<Box<dyn Future<Output = (BackendId, SendOutcome)> + Send + 'a>>;

/// A send whose outcome is not known yet.
struct InFlightSend {
    target: SendTarget,
    /// Wall-clock time at which the send started.
    started_at_wall: UnixMillis,
    /// Held while the send of a suspected request is in flight; limits the number of such sends.
    slot: Option<SuspectSlot>,
}

/// State of one call: its sends so far and their outcomes.
pub(crate) struct CallProgress<'a> {
    context: &'a Arc<Context>,
    route: &'a Route,
    call: &'a Call,
    pool: &'a PoolName,
    /// Regions in which the call may be served.
    residency: Residency,
    started_at: Instant,
    /// The earliest of the caller's deadline, the route's timeout and, while the process stops, the time by which it
    /// must answer.
    deadline: Instant,
    /// Time at which the second send is due, or the next search for a back end that can take it.
    hedge_at: Instant,
    /// Time until which the call waited for the outcome of another copy of it; its start if it did not wait.
    waited_for_duplicate_until: Instant,
    running_sends: FuturesUnordered<SendFuture<'a>>,
    in_flight: Vec<InFlightSend>,
    tried: Vec<BackendId>,
    /// Start of the first send that a back end has run or may have run.
    first_run_at: Option<UnixMillis>,
    /// Start of the wait for the reports of back ends that crashed under the call; `None` if it does not wait.
    unreported_since: Option<Instant>,
    sends: u32,
    may_have_run: u32,
    had_silent_send: bool,
    /// Number of answers with status 500.
    pub(crate) server_errors: u32,
    last_failure: Option<WholeAnswer>,
    outcomes: Vec<&'static str>,
    is_reported: bool,
}

impl<'a> CallProgress<'a> {
    pub(crate) fn new(
        context: &'a Arc<Context>,
        route: &'a Route,
        call: &'a Call,
        pool: &'a PoolName,
        started_at: Instant,
    ) -> Self {
        let timeout = started_at + Duration::from_millis(route.timeout_ms);
        // Without this bound, a call that waits for a back end is cut off without an answer when a stopping process
        // exits.
        let answer_by = match context.stop_deadline.get() {
            Some(ends_at) => *ends_at - ANSWER_MARGIN,
            None => call.deadline,
        };
        Self {
            context,
            route,
            call,
            pool,
            residency: residency_of(context, route, call),
            started_at,
            deadline: call.deadline.min(timeout).min(answer_by),
            hedge_at: started_at + share_of_objective(route, HEDGE_SHARE),
            waited_for_duplicate_until: started_at,
            running_sends: FuturesUnordered::new(),
            in_flight: Vec::new(),
            tried: Vec::new(),
            first_run_at: None,
            unreported_since: None,
            sends: 0,
            may_have_run: 0,
            had_silent_send: false,
            server_errors: 0,
            last_failure: None,
            outcomes: Vec::new(),
            is_reported: false,
        }
    }

    /// Sends the call, repeatedly if necessary, and returns its outcome.
    pub(crate) async fn run(&mut self) -> CallOutcome {
        loop {
            while self.running_sends.is_empty() {
                if let Some(outcome) = self.start_send_or_finish().await {
                    return outcome;
                }
            }
            tokio::select! {
                Some((backend, sent)) = self.running_sends.next(), if !self.running_sends.is_empty() => {
                    let ended = self.remove_in_flight(&backend);
                    if let Some(outcome) = self.record_outcome(sent, ended) {
                        return outcome;
                    }
                }
                () = havenstage_clock::sleep_until(self.hedge_at), if self.can_hedge() => {
                    if !self.start_send() {
                        self.hedge_at = Instant::now() + HEDGE_RETRY_PAUSE;
                    }
                }
                () = havenstage_clock::sleep_until(self.deadline) => return self.time_out(),
            }
        }
    }

    /// Starts a send when none is in flight, or returns the outcome with which the call ends instead.
    async fn start_send_or_finish(&mut self) -> Option<CallOutcome> {
        if Instant::now() + MIN_SEND_TIME >= self.deadline {
            return Some(self.time_out());
        }
        if self.may_have_run > 0 && !self.can_run_again() {
            return Some(self.take_failure());
        }
        if let Some(outcome) = self.check_admission().await {
            return Some(outcome);
        }
        if self.has_no_backends() {
            return Some(match self.may_have_run {
                0 => refused_without_backends(self.route),
                _ => self.take_failure(),
            });
        }
        if self.may_have_run == 0 && self.is_refusal_due() {
            // All known back ends reject the call.
            self.context.backends.want_more(self.pool);
            return Some(refused());
        }
        if !self.start_send() {
            tokio::time::sleep(REJECTED_RETRY_PAUSE).await;
        }
        None
    }

    /// Returns the outcome if this node must not send the call because of the back ends that crashed under it.
    async fn check_admission(&mut self) -> Option<CallOutcome> {
        let admission = self.admission();
        if matches!(admission, Admission::Send(_) | Admission::Wait) {
            return None;
        }
        if matches!(admission, Admission::EndsUnreported) && self.can_wait_for_reports() {
            return None;
        }
        let (request, id) = (self.call.fingerprint(), self.call.id_text());
        if matches!(admission, Admission::TrialOnly | Admission::Barred)
            && self.has_available_backend()
            && trial_claims::claim(self.context, &request, &id).await
        {
            return None;
        }
        match admission {
            Admission::Barred => {
                crash_guard::record_barred_retry(self.context, &request, &id);
                return Some(CallOutcome::Barred);
            }
            Admission::EndsUnreported => {
                crash_guard::log_given_up_with_unreported_ends(self.context, &request, &id)
            }
            _ => crash_guard::log_awaits_trial(self.context, &request, &id),
        }
        Some(match self.may_have_run {
            0 => refused(),
            _ => self.take_failure(),
        })
    }

    /// Whether the call may keep waiting until other nodes have received the reports of back ends that crashed
    /// under it.
    fn can_wait_for_reports(&mut self) -> bool {
        let since = *self.unreported_since.get_or_insert_with(Instant::now);
        since.elapsed() < crash_guard::UNREPORTED_END_TIMEOUT
    }

    fn can_run_again(&self) -> bool {
        self.route.kind.can_repeat() && self.may_have_run < self.route.attempts.max(1)
    }

    /// Whether the list of back ends is complete and none of them accepts the pool's calls now.
    fn has_no_backends(&self) -> bool {
        let target = self.target();
        let backends = self.context.backends.lock();
        let has_some = backends.allowed_for_call(&target).next().is_some();
        drop(backends);
        if has_some || !self.context.backends_are_listed() {
            return false;
        }
        self.context.backends.want_more(self.pool);
        self.context.backends.is_fully_listed()
    }

    /// Whether a back end would take a suspected call now, so that a trial of it is not claimed in vain.
    fn has_available_backend(&self) -> bool {
        let (now, draw) = (self.context.now(), self.context.draw());
        let ended = crash_guard::recently_ended_backends(self.context);
        let target = self.target();
        let backends = self.context.backends.lock();
        let best = backends.best_for_call(&target, &self.tried, &ended, now, draw);
        best.is_some()
    }

    fn target(&self) -> CallTarget<'_> {
        CallTarget {
            pool: self.pool,
            residency: &self.residency,
            sender: self.context.call_sender(),
        }
    }

    /// Whether the call was sent to every back end that accepts the pool's calls.
    fn were_all_tried(&self) -> bool {
        let target = self.target();
        let backends = self.context.backends.lock();
        let mut ready = backends.allowed_for_call(&target);
        ready.all(|id| self.tried.contains(id))
    }

    /// Whether a call that no back end accepted is refused now. A reward call is refused once every back end was
    /// tried: its node makes it again later, so that rejected reward calls don't crowd out those of callers.
    fn is_refusal_due(&mut self) -> bool {
        if self.call.batch.is_some() {
            return self.were_all_tried();
        }
        if matches!(self.admission(), Admission::Wait) {
            self.waited_for_duplicate_until = Instant::now();
            return self.started_at.elapsed() > self.duplicate_timeout();
        }
        let since = self.waited_for_duplicate_until;
        since.elapsed() > share_of_objective(self.route, REFUSE_SHARE)
    }

    /// Time for which the call waits for the outcome of another copy of it, at most its objective. If the other
    /// copy's caller left before a back end started that copy, this is known by then, and this call can be sent.
    fn duplicate_timeout(&self) -> Duration {
        let usual = share_of_objective(self.route, REFUSE_SHARE);
        let objective = share_of_objective(self.route, 1.0);
        usual.max(crash_evidence::OUTCOME_KNOWN_AFTER.min(objective))
    }

    fn can_hedge(&self) -> bool {
        self.route.kind == RequestKind::Repeatable
            && self.running_sends.len() == 1
            && self.may_have_run + 1 < self.route.attempts.max(1)
            && self.can_be_written()
            && matches!(self.admission(), Admission::Send(None))
    }

    /// Whether the call may be sent now, in view of the back ends that crashed under it.
    fn admission(&self) -> Admission {
        if !self.call.can_be_barred() || crash_guard::has_no_suspects(self.context) {
            return Admission::Send(None);
        }
        crash_guard::admit(self.context, &self.call.fingerprint())
    }

    fn can_be_written(&self) -> bool {
        self.call.write_by(self.context, self.deadline).is_some()
    }

    /// Starts a send to one more back end; false if the call may not be sent or no back end is available.
    fn start_send(&mut self) -> bool {
        if !self.can_be_written() {
            return false;
        }
        let Admission::Send(mut slot) = self.admission() else {
            return false;
        };
        let (now, draw) = (self.context.now(), self.context.draw());
        let backends = &self.context.backends;
        let ended = match slot {
            Some(_) => crash_guard::recently_ended_backends(self.context),
            None => BTreeSet::new(),
        };
        let target = self.target();
        let chosen = backends.choose_for_call(&target, &self.tried, &ended, now, draw);
        let Some(chosen) = chosen else {
            return false;
        };
        if self.tried.contains(&chosen.id) && !self.running_sends.is_empty() {
            return false;
        }
        if let Some(slot) = &mut slot {
            slot.set_may_have_run(true);
        }
        self.sends += 1;
        let is_again = self.tried.contains(&chosen.id);
        self.tried.push(chosen.id.clone());
        let pause = if is_again {
            REJECTED_RETRY_PAUSE
        } else {
            Duration::ZERO
        };
        let (context, call) = (self.context, self.call);
        let is_unanswered = self.had_silent_send || !self.running_sends.is_empty();
        let terms = SendTerms {
            deadline: self.deadline,
            unanswered_since: is_unanswered.then_some(self.started_at),
            gives_up_on_silence: self.route.kind == RequestKind::Stream { resumable: true },
        };
        let backend = chosen.id.clone();
        self.in_flight.push(InFlightSend {
            target: SendTarget::of(&chosen),
            started_at_wall: context.time_of_day.now(),
            slot,
        });
        self.running_sends.push(Box::pin(async move {
            tokio::time::sleep(pause).await;
            let outcome = send::send(context, chosen, call, &terms).await;
            (backend, outcome)
        }));
        true
    }

    fn remove_in_flight(&mut self, backend: &BackendId) -> Option<InFlightSend> {
        let at = self
            .in_flight
            .iter()
            .position(|send| send.target.backend == *backend)?;
        Some(self.in_flight.swap_remove(at))
    }

    /// Records the outcome of a send that has ended; returns the outcome of the call if that is decided by it.
    fn record_outcome(
        &mut self,
        sent: SendOutcome,
        ended: Option<InFlightSend>,
    ) -> Option<CallOutcome> {
        self.outcomes.push(sent.name());
        if let (Some(send), false) = (&ended, matches!(sent, SendOutcome::NotRun(_))) {
            self.record_possible_run(send.started_at_wall);
        }
        let mut slot = ended.and_then(|send| send.slot);
        if let (Some(slot), SendOutcome::NotRun(_)) = (&mut slot, &sent) {
            slot.set_may_have_run(false);
        }
        match sent {
            SendOutcome::Answered(answer) if answer.status.is_server_error() => {
                self.may_have_run += 1;
                // Only a 500 counts as a failure at the call: a back end that ran out of time or could not reach
                // another service answers with a different 5xx status.
                if answer.status == StatusCode::INTERNAL_SERVER_ERROR {
                    self.server_errors += 1;
                }
                self.last_failure = Some(answer);
                None
            }
            SendOutcome::Answered(answer) => Some(CallOutcome::Answered(answer)),
            SendOutcome::Streaming(started) => {
                Some(CallOutcome::Streaming(Box::new(StreamingAnswer {
                    call: self.call.clone(),
                    pool: self.pool.clone(),
                    residency: self.residency.clone(),
                    sends: self.sends,
                    deadline: self.deadline,
                    ends_at: self.started_at + Duration::from_millis(self.route.timeout_ms),
                    answer: started.answer,
                    backend: started.backend,
                    slot,
                })))
            }
            SendOutcome::NotRun(_) => None,
            SendOutcome::MayHaveRun(reason) => {
                self.may_have_run += 1;
                self.had_silent_send |= reason == SILENT;
                None
            }
        }
    }

    fn take_failure(&mut self) -> CallOutcome {
        match self.last_failure.take() {
            Some(answer) => CallOutcome::Answered(answer),
            None => CallOutcome::Failed {
                status: StatusCode::BAD_GATEWAY,
            },
        }
    }

    fn time_out(&mut self) -> CallOutcome {
        self.abandon_sends();
        let nothing_ran = self.may_have_run == 0 && self.running_sends.is_empty();
        match self.last_failure.take() {
            Some(answer) => CallOutcome::Answered(answer),
            None if nothing_ran => refused(),
            None => CallOutcome::Failed {
                status: StatusCode::GATEWAY_TIMEOUT,
            },
        }
    }

    /// Drops the sends in flight. Their back ends stay watched for a while, as one may be crashing under its send.
    fn abandon_sends(&mut self) {
        self.record_in_flight_sends();
        let judged_sends = self.in_flight.drain(..);
        for send in judged_sends.filter(|_| self.call.can_be_barred()) {
            let mut given_up = send::unanswered_send(self.call, send.target);
            given_up.slot = send.slot;
            crash_evidence::watch_given_up_send(self.context, given_up);
        }
    }

    /// Records that the sends in flight may have started to run.
    fn record_in_flight_sends(&mut self) {
        let first = self.in_flight.iter().map(|send| send.started_at_wall).min();
        if let Some(started_at_wall) = first {
            self.record_possible_run(started_at_wall);
        }
    }

    fn record_possible_run(&mut self, started_at_wall: UnixMillis) {
        let known = self.first_run_at.unwrap_or(UnixMillis::MAX);
        self.first_run_at = Some(known.min(started_at_wall));
    }

    /// Counts the call for its tenant's usage, dated at the first send that a back end may have run. Calls that
    /// the node makes for a batch are not counted.
    fn record_usage(&mut self) {
        self.record_in_flight_sends();
        let is_callers_own = self.call.batch.is_none();
        let tenant = self.call.tenant.as_ref().filter(|_| is_callers_own);
        if let (Some(tenant), Some(first_run_at)) = (tenant, self.first_run_at) {
            self.context.usage.record_request(tenant, first_run_at);
        }
    }

    /// Logs the outcome of the call and records it in metrics and usage.
    pub(crate) fn report(&mut self, outcome: &CallOutcome) {
        let (name, status) = match outcome {
            CallOutcome::Answered(answer) => ("answered", answer.status.as_u16()),
            CallOutcome::Streaming(streaming) => ("streaming", streaming.answer.status().as_u16()),
            CallOutcome::Refused { .. } => ("refused", 503),
            CallOutcome::Failed { status } => ("failed", status.as_u16()),
            CallOutcome::Barred => ("barred", BARRED_STATUS.as_u16()),
        };
        self.log_outcome(name, status);
    }

    fn log_outcome(&mut self, name: &'static str, status: u16) {
        self.is_reported = true;
        self.record_usage();
        let request = self.call.id_text();
        let content = self.call.fingerprint.get();
        let content = content.map_or(String::new(), Fingerprint::to_string);
        let tried = join_ids(&self.tried);
        self.outcomes
            .extend(std::iter::repeat_n("under_way", self.running_sends.len()));
        let sends = self.outcomes.join(",");
        let took_ms = self.started_at.elapsed().as_millis() as u64;
        let left_ms = self
            .deadline
            .saturating_duration_since(Instant::now())
            .as_millis() as u64;
        let routes = self.context.routes().map_or(0, |table| table.version());
        let backends_age_ms = self.context.backends.age_ms(self.context.now());
        metrics::call_ended(name, took_ms);
        info!(event = "call", request = request.as_str(), content = content.as_str(), route = self.route.name.as_str(),
            routes_version = routes, outcome = name, status = status, backends = tried.as_str(),
            sends = sends.as_str(), may_have_run = self.may_have_run, took_ms = took_ms,
            left_ms = left_ms, backends_age_ms = backends_age_ms; "");
    }
}

impl Drop for CallProgress<'_> {
    /// A call that is dropped before its outcome was reported was abandoned by its caller.
    fn drop(&mut self) {
        if !self.is_reported {
            self.abandon_sends();
            self.log_outcome("caller_left", 0);
        }
    }
}

/// Regions in which a call may be served. The restrictions of the route and of the tenant both apply.
fn residency_of(context: &Context, route: &Route, call: &Call) -> Residency {
    match context.routes() {
        Some(table) => table.residency(route, call.tenant.as_ref()),
        None => route.residency.clone(),
    }
}

fn join_ids(ids: &[BackendId]) -> String {
    let texts: Vec<&str> = ids.iter().map(BackendId::as_str).collect();
    texts.join(",")
}
