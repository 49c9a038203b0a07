//! One call of the live API, from its sending to its end.

use std::sync::Arc;
use std::time::Duration;

use havenstage_history::event::caller::{
    BrokenCause, CallAnswered, CallBroken, CallClass, CallId, CallRefused, CallSent, RefusalCode,
    ToldExecution,
};
use havenstage_history::event::engine::Finish;
use havenstage_history::event::{EventBody, EventSource};
use havenstage_history::fingerprint::Fingerprint;
use havenstage_types::ids::{CallerName, IdempotencyKey, PoolName, RequestId};
use havenstage_types::refusal::{BadRequest, Execution, Refusal, RefusalReason};
use havenstage_types::request::{
    AnswerEvent, AnswerSummary, CallerRequest, FinishReason, Repeatability,
};
use havenstage_types::resource::PriorityClass;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::world::World;
use crate::world::place::Place;
use crate::world::process::NodeProcess;

/// What a caller asks.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// The call.
    pub call: CallId,
    /// Pool asked for.
    pub pool: PoolName,
    /// Prompt.
    pub prompt: String,
    /// Most tokens wanted.
    pub max_tokens: u32,
    /// Key for repeats.
    pub key: Option<IdempotencyKey>,
    /// Whether it must run at most once.
    pub at_most_once: bool,
    /// Class asked for.
    pub class: PriorityClass,
    /// Time allowed.
    pub deadline: Duration,
    /// How long the caller waits for the end, counted from the sending.
    pub patience: Duration,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub enum CallEnd {
    /// By a whole answer.
    Answered(CallAnswer),
    /// By a refusal.
    Refused(Refusal),
    /// Without a final answer.
    Broken(BrokenCause),
}

/// A whole answer with its times.
#[derive(Debug, Clone, PartialEq)]
pub struct CallAnswer {
    /// All text.
    pub text: String,
    /// Facts about it.
    pub summary: AnswerSummary,
    /// Time from the sending to the first text.
    pub first_text: Option<Duration>,
    /// Time from the sending to the end.
    pub total: Duration,
}

/// What a node sends to a caller.
enum Reply {
    /// The answer begins; this is the request's id.
    Head(RequestId),
    Event(AnswerEvent),
    Refused(RequestId, Refusal),
    /// A refusal in the middle of an answer.
    Ended(Refusal),
}

type Replies = mpsc::UnboundedReceiver<(Instant, Reply)>;

/// Calls the node on a machine and records the sending and the end.
pub async fn call(world: &Arc<World>, machine: usize, request: CallRequest) -> CallEnd {
    let process = world.process(machine);
    let node = process.as_ref().map(|process| process.identity());
    record(world, &request, EventBody::CallSent(sent(&request, node)));
    let mut pending = PendingCall {
        world,
        place: Place::Node(machine),
        sent_at: Instant::now(),
        received: Received::default(),
    };
    world.network().carry(Place::Clients, pending.place).await;
    let end = match world.process(machine) {
        Some(process) => pending.follow(&process, &request).await,
        None => CallEnd::Broken(BrokenCause::NotConnected),
    };
    record(
        world,
        &request,
        pending.received.ending(&request.call, &end),
    );
    end
}

#[derive(Default)]
struct Received {
    request: Option<RequestId>,
    text: String,
    tokens: u32,
    first_text_at: Option<Instant>,
}

struct PendingCall<'world> {
    world: &'world Arc<World>,
    place: Place,
    sent_at: Instant,
    received: Received,
}

impl PendingCall<'_> {
    async fn follow(&mut self, process: &Arc<NodeProcess>, request: &CallRequest) -> CallEnd {
        let mut replies = serve(process, request);
        let give_up_at = self.sent_at + request.patience;
        let followed = async {
            loop {
                let reply = tokio::select! {
                    biased;
                    reply = replies.recv() => reply,
                    () = process.ended() => None,
                };
                let Some((sent_at, reply)) = reply else {
                    return CallEnd::Broken(self.lost(process));
                };
                let latency = self.world.network().latency(self.place, Place::Clients);
                sleep_until(sent_at + latency).await;
                if let Some(end) = self.take(reply) {
                    return end;
                }
            }
        };
        timeout_at(give_up_at, followed)
            .await
            .unwrap_or(CallEnd::Broken(BrokenCause::TimedOut))
    }

    fn lost(&self, process: &NodeProcess) -> BrokenCause {
        if process.is_ended() {
            BrokenCause::Reset
        } else {
            BrokenCause::StreamTruncated
        }
    }

    fn take(&mut self, reply: Reply) -> Option<CallEnd> {
        match reply {
            Reply::Head(request) => self.received.request = Some(request),
            Reply::Refused(request, refusal) => {
                self.received.request = Some(request);
                return Some(CallEnd::Refused(refusal));
            }
            Reply::Ended(refusal) => return Some(CallEnd::Refused(refusal)),
            Reply::Event(AnswerEvent::Text { text, token_count }) => {
                self.received.first_text_at.get_or_insert(Instant::now());
                self.received.text.push_str(&text);
                self.received.tokens += token_count;
            }
            Reply::Event(AnswerEvent::Finished(summary)) => {
                return Some(CallEnd::Answered(self.answer(summary)));
            }
        }
        None
    }

    fn answer(&self, summary: AnswerSummary) -> CallAnswer {
        let first_text_at = self.received.first_text_at;
        CallAnswer {
            text: self.received.text.clone(),
            summary,
            first_text: first_text_at.map(|first| first.duration_since(self.sent_at)),
            total: self.sent_at.elapsed(),
        }
    }
}

impl Received {
    fn ending(&self, call: &CallId, end: &CallEnd) -> EventBody {
        let call = call.clone();
        let request = self.request.clone();
        match end {
            CallEnd::Answered(answer) => EventBody::CallAnswered(CallAnswered {
                call,
                request,
                text: Fingerprint::of_text(&answer.text),
                token_count: self.tokens,
                segments: answer.summary.segments.clone(),
                finish: finish_of(answer.summary.finish),
            }),
            CallEnd::Refused(refusal) => EventBody::CallRefused(CallRefused {
                call,
                request,
                code: code_of(&refusal.reason),
                execution: told(refusal.execution),
                retry_after_ms: refusal
                    .retry_after
                    .map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
            }),
            CallEnd::Broken(cause) => EventBody::CallBroken(CallBroken {
                call,
                request,
                cause: *cause,
                received_tokens: self.tokens,
            }),
        }
    }
}

/// The node's side of a call: all of it runs inside the process.
fn serve(process: &Arc<NodeProcess>, request: &CallRequest) -> Replies {
    let (sender, replies) = mpsc::unbounded_channel();
    let node = process.node().clone();
    let request = caller_request(process.next_request_id(), request);
    let id = request.id.clone();
    let reply = move |reply| sender.send((Instant::now(), reply)).is_ok();
    let served = async move {
        let mut answer = match node.complete(request).await {
            Ok(answer) => answer,
            Err(refusal) => {
                reply(Reply::Refused(id, refusal));
                return;
            }
        };
        let mut listening = reply(Reply::Head(id));
        while listening {
            listening = match answer.recv().await {
                Some(Ok(event)) => reply(Reply::Event(event)),
                Some(Err(refusal)) => reply(Reply::Ended(refusal)),
                None => false,
            };
        }
    };
    let open = process.open_calls().track_future(served);
    process.spawner().spawn(open);
    replies
}

fn caller_request(id: RequestId, request: &CallRequest) -> CallerRequest {
    CallerRequest {
        id,
        caller: request.call.caller.clone(),
        pool: request.pool.clone(),
        prompt: request.prompt.clone(),
        max_tokens: request.max_tokens,
        idempotency_key: request.key.clone(),
        repeatability: if request.at_most_once {
            Repeatability::AtMostOnce
        } else {
            Repeatability::Repeatable
        },
        class: request.class,
        deadline: Some(request.deadline),
    }
}

fn sent(request: &CallRequest, node: Option<havenstage_types::ids::NodeId>) -> CallSent {
    CallSent {
        call: request.call.clone(),
        node,
        pool: request.pool.clone(),
        at_most_once: request.at_most_once,
        idempotency_key: request.key.clone(),
        prompt: Fingerprint::of_text(&request.prompt),
        class: match request.class {
            PriorityClass::Urgent => CallClass::Urgent,
            PriorityClass::Live => CallClass::Live,
            PriorityClass::Training => CallClass::Training,
        },
        deadline_ms: u64::try_from(request.deadline.as_millis()).ok(),
    }
}

fn record(world: &World, request: &CallRequest, body: EventBody) {
    let caller: CallerName = request.call.caller.clone();
    world.recorder().record(EventSource::Caller(caller), body);
}

fn finish_of(reason: FinishReason) -> Finish {
    match reason {
        FinishReason::Stop => Finish::Stop,
        FinishReason::Length => Finish::Length,
    }
}

fn told(execution: Execution) -> ToldExecution {
    match execution {
        Execution::NotRun => ToldExecution::NotRun,
        Execution::Ran => ToldExecution::Ran,
        Execution::Unknown => ToldExecution::Unknown,
    }
}

/// The names by which the HTTP API tells reasons.
fn code_of(reason: &RefusalReason) -> RefusalCode {
    let code = match reason {
        RefusalReason::ConfigStale => "config_stale",
        RefusalReason::Stopping => RefusalCode::STOPPING,
        RefusalReason::UnknownPool(_) => "unknown_pool",
        RefusalReason::UnknownJob(_) => "unknown_job",
        RefusalReason::NoEngine(_) => "no_engine",
        RefusalReason::Overloaded(_) => "overloaded",
        RefusalReason::CallerLimit => "caller_limit",
        RefusalReason::DeadlineExceeded => RefusalCode::DEADLINE_EXCEEDED,
        RefusalReason::EngineDraining(_) => "engine_draining",
        RefusalReason::EngineFailed(_) => "engine_failed",
        RefusalReason::EngineUnreachable(_) => "engine_unreachable",
        RefusalReason::VersionTooOld => "version_too_old",
        RefusalReason::LogAway => "log_away",
        RefusalReason::PeerUnreachable => "peer_unreachable",
        RefusalReason::OutcomeUnknown => "outcome_unknown",
        RefusalReason::KeyReused => "key_reused",
        RefusalReason::Preempted => RefusalCode::PREEMPTED,
        RefusalReason::BadRequest(BadRequest::BodyTooLarge { .. }) => "body_too_large",
        RefusalReason::BadRequest(BadRequest::Malformed { .. }) => "malformed",
        RefusalReason::BadRequest(BadRequest::Header { .. }) => "bad_header",
    };
    RefusalCode(code.to_owned())
}
