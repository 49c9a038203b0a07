//! A call on its way: to which back ends it is sent, and when it is given up. It goes to another back end
//! only where its kind allows or where it did not run.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use havenstage_clock::Instant;
use havenstage_clock::time_of_day::UnixMillis;
use havenstage_http_link::{Link, WholeAnswer};
use havenstage_rollout::crash_ledger::Fingerprint;
use havenstage_rollout::ids::{BackendId, PoolName};
use havenstage_rollout::residency::Residency;
use havenstage_rollout::route::{RequestKind, Route};
use http::StatusCode;
use log::info;

use crate::backends::CallTarget;
use crate::calls::{
    BARRED_STATUS, Call, CallOutcome, StreamingAnswer, refused, refused_for_want_of_back_ends,
    share_of_objective,
};
use crate::context::Context;
use crate::crash_evidence;
use crate::crash_guard::{self, Admission, Sender, SuspectSlot};
use crate::metrics;
use crate::send::{self, SILENT, SendOutcome, SendTerms};

/// Share of the objective after which a repeatable call is also sent to a second back end.
const HEDGE_SHARE: f64 = 0.5;
/// Share of the objective after which a call that nobody took is refused.
const REFUSE_SHARE: f64 = 0.2;
/// Pause before back ends that all turned a call away are asked again.
const TURNED_AWAY_PAUSE: Duration = Duration::from_millis(8);
/// Pause after a look that found no back end for the second send. Without it the look is repeated at
/// once, and a call that waits for a silent back end takes a whole processor (2.50 s of processor time
/// in a call of 3.0 s; 0.02 to 0.03 s with it).
const HEDGE_AGAIN_PAUSE: Duration = Duration::from_millis(50);
/// Time before a stopping process ends at which the calls that came to it since are answered: for the answer's
/// way to its caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Least time that a send must have left to be worth it.
const LEAST_SEND_TIME: Duration = Duration::from_millis(5);

type SendFuture<'a> = Pin<Box<dyn Future<Output = (BackendId, SendOutcome)> + Send + 'a>>;

/// A send whose outcome is not known yet.
struct SendUnderWay {
    backend: BackendId,
    link: Link,
    /// When it was begun, by the time of day.
    began_at: UnixMillis,
    /// Held while a suspected request runs.
    slot: Option<SuspectSlot>,
}

/// A call on its way: what it was sent to so far, and what came of that.
pub(crate) struct CallProgress<'a> {
    context: &'a Arc<Context>,
    route: &'a Route,
    call: &'a Call,
    pool: &'a PoolName,
    /// Where it may be served.
    residency: Residency,
    began: Instant,
    ends: Instant,
    /// When the second send is due, or the next look for a back end that can take it.
    hedge_at: Instant,
    /// Until when it waited for another copy of it; its beginning if it did not.
    waited_for_copy_until: Instant,
    running: FuturesUnordered<SendFuture<'a>>,
    under_way: Vec<SendUnderWay>,
    tried: Vec<BackendId>,
    /// When the first send was begun that a back end has run, or may have run.
    ran_since: Option<UnixMillis>,
    /// Since when it waits for the ends under it to be told.
    unreported_since: Option<Instant>,
    sends: u32,
    may_have_run: u32,
    fell_silent: bool,
    /// Answers of back ends that they failed.
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
        began: Instant,
    ) -> Self {
        let timeout = began + Duration::from_millis(route.timeout_ms);
        // Without it a call that waited for a back end was cut off, with no answer, when a stopping process ended.
        let answer_by = match context.ends_at.get() {
            Some(ends_at) => *ends_at - ANSWER_MARGIN,
            None => call.deadline,
        };
        Self {
            context,
            route,
            call,
            pool,
            residency: residency_of(context, route, call),
            began,
            ends: call.deadline.min(timeout).min(answer_by),
            hedge_at: began + share_of_objective(route, HEDGE_SHARE),
            waited_for_copy_until: began,
            running: FuturesUnordered::new(),
            under_way: Vec::new(),
            tried: Vec::new(),
            ran_since: None,
            unreported_since: None,
            sends: 0,
            may_have_run: 0,
            fell_silent: false,
            server_errors: 0,
            last_failure: None,
            outcomes: Vec::new(),
            is_reported: false,
        }
    }

    /// Sends the call, again if need be, and answers how it ended.
    pub(crate) async fn run(&mut self) -> CallOutcome {
        loop {
            while self.running.is_empty() {
                if let Some(outcome) = self.begin_or_give_up().await {
                    return outcome;
                }
            }
            tokio::select! {
                Some((backend, sent)) = self.running.next(), if !self.running.is_empty() => {
                    let ended = self.no_longer_under_way(&backend);
                    if let Some(outcome) = self.take(sent, ended) {
                        return outcome;
                    }
                }
                () = havenstage_clock::sleep_until(self.hedge_at), if self.may_hedge() => {
                    if !self.begin() {
                        self.hedge_at = Instant::now() + HEDGE_AGAIN_PAUSE;
                    }
                }
                () = havenstage_clock::sleep_until(self.ends) => return self.out_of_time(),
            }
        }
    }

    /// Starts a send when none is running, or answers how the call ends instead.
    async fn begin_or_give_up(&mut self) -> Option<CallOutcome> {
        if Instant::now() + LEAST_SEND_TIME >= self.ends {
            return Some(self.out_of_time());
        }
        if self.may_have_run > 0 && !self.may_run_again() {
            return Some(self.ended_in_failure());
        }
        if let Some(outcome) = self.kept_back() {
            return Some(outcome);
        }
        if self.lacks_back_ends() {
            return Some(match self.may_have_run {
                0 => refused_for_want_of_back_ends(self.route),
                _ => self.ended_in_failure(),
            });
        }
        if self.may_have_run == 0 && self.has_waited_enough() {
            // All that are known turn it away.
            self.context.backends.want_more(self.pool);
            return Some(refused());
        }
        if !self.begin() {
            tokio::time::sleep(TURNED_AWAY_PAUSE).await;
        }
        None
    }

    /// How the call ends if it must not be sent by this node, in view of the back ends that ended under it.
    fn kept_back(&mut self) -> Option<CallOutcome> {
        let admission = self.admission();
        if matches!(admission, Admission::Send(_) | Admission::Wait) {
            return None;
        }
        if matches!(admission, Admission::EndsUnreported) && self.waits_to_be_told() {
            return None;
        }
        let (request, id) = (self.call.fingerprint(), self.call.id_text());
        match admission {
            Admission::Barred => {
                crash_guard::record_barred_retry(self.context, &request, &id);
                return Some(CallOutcome::Barred);
            }
            Admission::EndsUnreported => {
                crash_guard::log_given_up_with_unreported_ends(self.context, &request, &id)
            }
            _ => crash_guard::log_left_to_another(self.context, &request, &id),
        }
        Some(match self.may_have_run {
            0 => refused(),
            _ => self.ended_in_failure(),
        })
    }

    /// Whether it may wait on until the ends under it are told to other nodes.
    fn waits_to_be_told(&mut self) -> bool {
        let since = *self.unreported_since.get_or_insert_with(Instant::now);
        since.elapsed() < crash_guard::UNREPORTED_END_TIMEOUT
    }

    fn may_run_again(&self) -> bool {
        self.route.kind.can_repeat() && self.may_have_run < self.route.attempts.max(1)
    }

    /// Whether it is known that nobody takes the pool's calls at this moment.
    fn lacks_back_ends(&self) -> bool {
        let target = self.target();
        let backends = self.context.backends.lock();
        let has_some = backends.allowed_for_call(&target).next().is_some();
        drop(backends);
        if has_some || !self.context.backends_are_listed() {
            return false;
        }
        self.context.backends.want_more(self.pool);
        self.context.backends.is_listed_whole()
    }

    /// Where it may go.
    fn target(&self) -> CallTarget<'_> {
        CallTarget {
            pool: self.pool,
            residency: &self.residency,
            sender: self.context.call_sender(),
        }
    }

    /// Whether every back end that takes the pool's calls was asked.
    fn were_all_tried(&self) -> bool {
        let target = self.target();
        let backends = self.context.backends.lock();
        let mut ready = backends.allowed_for_call(&target);
        ready.all(|id| self.tried.contains(id))
    }

    /// Whether a call that nobody took is refused now. A reward call waits in its node for the next turn, so that
    /// turned away calls don't crowd out those of callers.
    fn has_waited_enough(&mut self) -> bool {
        if self.call.batch.is_some() {
            return self.were_all_tried();
        }
        if matches!(self.admission(), Admission::Wait) {
            self.waited_for_copy_until = Instant::now();
            return self.began.elapsed() > self.copy_patience();
        }
        let since = self.waited_for_copy_until;
        since.elapsed() > share_of_objective(self.route, REFUSE_SHARE)
    }

    /// Time for which it waits to learn what came of another copy of it, but not past its objective. A copy whose caller left
    /// before a back end began it takes no more than that, and the call can be sent then.
    fn copy_patience(&self) -> Duration {
        let usual = share_of_objective(self.route, REFUSE_SHARE);
        let objective = share_of_objective(self.route, 1.0);
        usual.max(crash_evidence::OUTCOME_KNOWN_AFTER.min(objective))
    }

    fn may_hedge(&self) -> bool {
        self.route.kind == RequestKind::Repeatable
            && self.running.len() == 1
            && self.may_have_run + 1 < self.route.attempts.max(1)
            && self.may_be_written()
            && matches!(self.admission(), Admission::Send(None))
    }

    /// Whether it may be sent now, in view of the back ends that ended under it.
    fn admission(&self) -> Admission {
        if crash_guard::has_no_suspects(self.context) {
            return Admission::Send(None);
        }
        let sender = match self.call.batch {
            Some(_) => Sender::Owner,
            None => Sender::Any,
        };
        crash_guard::admit(self.context, &self.call.fingerprint(), sender)
    }

    fn may_be_written(&self) -> bool {
        self.call.write_by(self.context, self.ends).is_some()
    }

    /// Sends the call to one more back end; false if there is none to be had.
    fn begin(&mut self) -> bool {
        if !self.may_be_written() {
            return false;
        }
        let Admission::Send(slot) = self.admission() else {
            return false;
        };
        let (now, draw) = (self.context.now(), self.context.draw());
        let backends = &self.context.backends;
        let target = self.target();
        let Some(chosen) = backends.choose_for_call(&target, &self.tried, now, draw) else {
            return false;
        };
        if self.tried.contains(&chosen.id) && !self.running.is_empty() {
            return false;
        }
        self.sends += 1;
        let is_again = self.tried.contains(&chosen.id);
        self.tried.push(chosen.id.clone());
        let pause = if is_again {
            TURNED_AWAY_PAUSE
        } else {
            Duration::ZERO
        };
        let (context, call) = (self.context, self.call);
        let is_unanswered = self.fell_silent || !self.running.is_empty();
        let terms = SendTerms {
            ends: self.ends,
            unanswered_since: is_unanswered.then_some(self.began),
            ends_when_silent: self.route.kind == RequestKind::Stream { resumable: true },
        };
        let backend = chosen.id.clone();
        self.under_way.push(SendUnderWay {
            backend: backend.clone(),
            link: chosen.link.clone(),
            began_at: context.time_of_day.now(),
            slot,
        });
        self.running.push(Box::pin(async move {
            tokio::time::sleep(pause).await;
            let outcome = send::send(context, chosen, call, &terms).await;
            (backend, outcome)
        }));
        true
    }

    fn no_longer_under_way(&mut self, backend: &BackendId) -> Option<SendUnderWay> {
        let at = self
            .under_way
            .iter()
            .position(|send| send.backend == *backend)?;
        Some(self.under_way.swap_remove(at))
    }

    /// Takes the outcome of a send that has ended.
    fn take(&mut self, sent: SendOutcome, ended: Option<SendUnderWay>) -> Option<CallOutcome> {
        self.outcomes.push(sent.name());
        if let (Some(send), false) = (&ended, matches!(sent, SendOutcome::NotRun(_))) {
            self.may_have_run_since(send.began_at);
        }
        let slot = ended.and_then(|send| send.slot);
        match sent {
            SendOutcome::Answered(answer) if answer.status.is_server_error() => {
                self.may_have_run += 1;
                // A back end that ran out of time, or could not reach another one, has not failed at it.
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
                    ends: self.ends,
                    answer: started.answer,
                    backend: started.backend,
                    slot,
                })))
            }
            SendOutcome::NotRun(_) => None,
            SendOutcome::MayHaveRun(reason) => {
                self.may_have_run += 1;
                self.fell_silent |= reason == SILENT;
                None
            }
        }
    }

    fn ended_in_failure(&mut self) -> CallOutcome {
        match self.last_failure.take() {
            Some(answer) => CallOutcome::Answered(answer),
            None => CallOutcome::Failed {
                status: StatusCode::BAD_GATEWAY,
            },
        }
    }

    fn out_of_time(&mut self) -> CallOutcome {
        self.give_up_sends();
        let nothing_ran = self.may_have_run == 0 && self.running.is_empty();
        match self.last_failure.take() {
            Some(answer) => CallOutcome::Answered(answer),
            None if nothing_ran => refused(),
            None => CallOutcome::Failed {
                status: StatusCode::GATEWAY_TIMEOUT,
            },
        }
    }

    /// The sends that are under way are dropped, though a back end may end under one just now.
    fn give_up_sends(&mut self) {
        self.note_runs_under_way();
        for send in self.under_way.drain(..) {
            let mut given_up = send::unanswered(self.call, send.backend, send.link);
            given_up.slot = send.slot;
            crash_evidence::watch_given_up_send(self.context, given_up);
        }
    }

    /// What is under way may run by now.
    fn note_runs_under_way(&mut self) {
        let first = self.under_way.iter().map(|send| send.began_at).min();
        if let Some(began_at) = first {
            self.may_have_run_since(began_at);
        }
    }

    fn may_have_run_since(&mut self, began_at: UnixMillis) {
        let known = self.ran_since.unwrap_or(UnixMillis::MAX);
        self.ran_since = Some(known.min(began_at));
    }

    /// Counts the call for its tenant, once, from when a back end first began it.
    fn meter(&mut self) {
        self.note_runs_under_way();
        let is_callers_own = self.call.batch.is_none();
        let tenant = self.call.tenant.as_ref().filter(|_| is_callers_own);
        if let (Some(tenant), Some(ran_since)) = (tenant, self.ran_since) {
            self.context.usage.record_request(tenant, ran_since);
        }
    }

    /// Tells how the call ended.
    pub(crate) fn report(&mut self, outcome: &CallOutcome) {
        let (name, status) = match outcome {
            CallOutcome::Answered(answer) => ("answered", answer.status.as_u16()),
            CallOutcome::Streaming(streaming) => ("streaming", streaming.answer.status().as_u16()),
            CallOutcome::Refused { .. } => ("refused", 503),
            CallOutcome::Failed { status } => ("failed", status.as_u16()),
            CallOutcome::Barred => ("barred", BARRED_STATUS.as_u16()),
        };
        self.write_line(name, status);
    }

    fn write_line(&mut self, name: &'static str, status: u16) {
        self.is_reported = true;
        self.meter();
        let request = self.call.id_text();
        let content = self.call.fingerprint.get();
        let content = content.map_or(String::new(), Fingerprint::to_string);
        let tried = join_ids(&self.tried);
        self.outcomes
            .extend(std::iter::repeat_n("under_way", self.running.len()));
        let sends = self.outcomes.join(",");
        let took_ms = self.began.elapsed().as_millis() as u64;
        let left_ms = self
            .ends
            .saturating_duration_since(Instant::now())
            .as_millis() as u64;
        let routes = self.context.routes().map_or(0, |table| table.version());
        metrics::call_ended(name, took_ms);
        info!(event = "call", request = request.as_str(), content = content.as_str(), route = self.route.name.as_str(),
            routes_version = routes, outcome = name, status = status, backends = tried.as_str(),
            sends = sends.as_str(), may_have_run = self.may_have_run, took_ms = took_ms,
            left_ms = left_ms; "");
    }
}

impl Drop for CallProgress<'_> {
    /// A call that is dropped before it ended was given up by its caller.
    fn drop(&mut self) {
        if !self.is_reported {
            self.give_up_sends();
            self.write_line("caller_left", 0);
        }
    }
}

/// Where a call may be served: its route and its tenant both bind.
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
