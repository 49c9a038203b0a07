//! Live callers. Some of their requests must run at most once, and some are repeated at another
//! node under the same key, after the answer or while the first call is still open.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use havenstage_history::event::caller::{BrokenCause, CallClass, CallId};
use havenstage_types::ids::{CallerName, IdempotencyKey, PoolName};
use havenstage_types::refusal::Execution;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::call::{Call, CallClient, CallEnd};
use super::nodes::{DemoNode, Nodes};

/// Time between two requests of a caller.
const INTERVAL: Duration = Duration::from_millis(160);

/// Most tokens of an answer.
const MAX_TOKENS: u32 = 64;

/// Calls made for one request, at most.
const MAX_CALLS: u32 = 6;

/// Number that the first repeat of an answered request has; above those of retries.
const FIRST_REPEAT: u32 = MAX_CALLS + 1;

/// Wait before a repeat that is sent while the first call is open.
const REPEAT_DELAY: Duration = Duration::from_millis(30);

/// Wait before a retry when the refusal suggests none, and the longest wait.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// The kinds of requests, each tenth of them the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Plan {
    /// Repeatable, without a key.
    Plain,
    /// Repeatable, with a key, repeated at another node after the answer.
    RepeatedByKey,
    /// At most once.
    Once,
    /// At most once, repeated at another node after the answer.
    OnceAndAgain,
    /// At most once, repeated at another node while the first call is open.
    OnceAndAtTheSameTime,
}

impl Plan {
    fn of(number: u64) -> Self {
        match number % 10 {
            0 => Self::OnceAndAgain,
            3 => Self::OnceAndAtTheSameTime,
            5 => Self::RepeatedByKey,
            6 => Self::Once,
            _ => Self::Plain,
        }
    }

    fn is_at_most_once(self) -> bool {
        !matches!(self, Self::Plain | Self::RepeatedByKey)
    }
}

/// What callers count themselves.
#[derive(Debug, Clone, Default)]
pub struct CallerRecord {
    /// Requests made, each with one call or more.
    pub requests: u64,
    /// Requests that got a whole answer.
    pub answered: u64,
    /// Requests that ended by a refusal, by its code.
    pub refused: BTreeMap<String, u64>,
    /// Requests that got no final answer.
    pub unanswered: u64,
    /// Calls that were made again because an earlier one was refused or not connected.
    pub retries: u64,
    /// Repeats under the same key.
    pub repeats: u64,
    /// Times of answered calls, repeats left out.
    pub totals: Vec<Duration>,
    /// Times to the first text of streamed answers.
    pub first_texts: Vec<Duration>,
}

/// One group of callers.
pub struct Callers {
    /// Calls nodes.
    pub client: CallClient,
    /// Nodes.
    pub nodes: Arc<Nodes>,
    /// Name.
    pub caller: CallerName,
    /// Class that the priority rules give it.
    pub class: CallClass,
    /// Pools, called in turn.
    pub pools: Vec<PoolName>,
    /// What is asked, in turn.
    pub prompts: Vec<String>,
    /// What they count.
    pub record: Arc<Mutex<CallerRecord>>,
}

impl Callers {
    /// Sends requests until told to stop, then waits for the last ones to end.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let callers = Arc::new(self);
        let mut requests = JoinSet::new();
        let mut number = 0;
        while !*stop.borrow_and_update() {
            number += 1;
            let callers = callers.clone();
            requests.spawn(async move { callers.request(number).await });
            // Either the time has passed or the end has come; the loop's head tells which.
            let _ = tokio::time::timeout(INTERVAL, stop.changed()).await;
        }
        while requests.join_next().await.is_some() {}
    }

    async fn request(&self, number: u64) {
        let plan = Plan::of(number);
        let call = self.draw(number, plan);
        let first = self.nodes.next().clone();
        if plan == Plan::OnceAndAtTheSameTime {
            let repeat = async {
                tokio::time::sleep(REPEAT_DELAY).await;
                self.repeat(&call, &first).await;
            };
            tokio::join!(self.pursue(&call, &first), repeat);
            return;
        }
        let answered = self.pursue(&call, &first).await;
        if answered && matches!(plan, Plan::OnceAndAgain | Plan::RepeatedByKey) {
            self.repeat(&call, &first).await;
        }
    }

    fn draw(&self, number: u64, plan: Plan) -> Call {
        let index = number as usize;
        let caller = &self.caller;
        let prompt = &self.prompts[index % self.prompts.len()];
        let key = format!("{caller}-{number}");
        Call {
            id: CallId {
                caller: caller.clone(),
                request: number,
                call: 1,
            },
            pool: self.pools[index % self.pools.len()].clone(),
            prompt: format!("{prompt} (request {number} of {caller})"),
            max_tokens: MAX_TOKENS,
            key: (plan != Plan::Plain).then_some(IdempotencyKey(key)),
            at_most_once: plan.is_at_most_once(),
            streamed: number.is_multiple_of(2),
            class: self.class,
        }
    }

    /// Calls until there is an answer or a refusal that another call cannot help; says whether
    /// there is an answer.
    async fn pursue(&self, call: &Call, first: &Arc<DemoNode>) -> bool {
        let mut node = first;
        let mut call = call.clone();
        loop {
            let end = self.client.call(node, &call).await;
            let pause = pause_before_retry(&end, call.key.is_some());
            let Some(pause) = pause.filter(|_| call.id.call < MAX_CALLS) else {
                self.lock().take(&end);
                return matches!(end, CallEnd::Answered { .. });
            };
            self.lock().retries += 1;
            tokio::time::sleep(pause).await;
            call.id.call += 1;
            node = self.nodes.next_but(node);
        }
    }

    /// Sends the same request under the same key to another node. The checker judges the answer.
    async fn repeat(&self, call: &Call, first: &DemoNode) {
        let mut call = call.clone();
        call.id.call = FIRST_REPEAT;
        self.lock().repeats += 1;
        self.client.call(self.nodes.next_but(first), &call).await;
    }

    fn lock(&self) -> MutexGuard<'_, CallerRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallerRecord {
    fn take(&mut self, end: &CallEnd) {
        self.requests += 1;
        match end {
            CallEnd::Answered { first_text, total } => {
                self.answered += 1;
                self.totals.push(*total);
                self.first_texts.extend(first_text);
            }
            CallEnd::Refused(detail) => *self.refused.entry(detail.code.clone()).or_default() += 1,
            CallEnd::Broken(_) => self.unanswered += 1,
        }
    }
}

/// How long to wait before another call; `None` when there is an answer, or when nobody knows
/// whether the request ran and no key protects it.
fn pause_before_retry(end: &CallEnd, has_key: bool) -> Option<Duration> {
    match end {
        CallEnd::Answered { .. } => None,
        CallEnd::Refused(detail) => {
            let suggested = detail.retry_after_ms.map(Duration::from_millis);
            let pause = suggested.unwrap_or(RETRY_PAUSE).min(LONGEST_PAUSE);
            let passing = detail.execution == Execution::NotRun;
            passing.then_some(pause)
        }
        CallEnd::Broken(BrokenCause::NotConnected) => Some(RETRY_PAUSE),
        CallEnd::Broken(_) => has_key.then_some(RETRY_PAUSE),
    }
}
