//! Callers of the live API: they come whether or not earlier ones were served, and repeat what
//! failed at another node.

use std::sync::Arc;
use std::time::Duration;

use havenstage_history::event::caller::{BrokenCause, CallId};
use havenstage_types::ids::{CallerName, IdempotencyKey, PoolName};
use havenstage_types::refusal::{Execution, Refusal};
use havenstage_types::resource::PriorityClass;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::call::{CallEnd, CallRequest, call};
use crate::random::SharedRandom;
use crate::world::World;

/// Longest wait before a repeat, whatever the refusal suggests.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// Wait before a repeat when nothing is suggested.
const DEFAULT_PAUSE: Duration = Duration::from_millis(300);

/// Time by which a caller outwaits its own deadline before it gives up.
const EXTRA_PATIENCE: Duration = Duration::from_secs(5);

/// What one group of callers does.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerSettings {
    /// Name of the callers.
    pub caller: CallerName,
    /// Pool they call.
    pub pool: PoolName,
    /// Mean time between two requests.
    pub mean_interval: Duration,
    /// Share of requests that must run at most once, of 1.
    pub at_most_once: f64,
    /// Share of the repeatable requests that carry a key, of 1.
    pub keyed: f64,
    /// Class asked for.
    pub class: PriorityClass,
    /// Most tokens of an answer.
    pub max_tokens: u32,
    /// Time allowed for one call.
    pub deadline: Duration,
    /// Calls made for one request, at most.
    pub max_calls: u32,
}

/// Sends requests until `until`, then waits for the last ones to end. Prompts are unique, so that
/// every execution can be assigned to its request.
pub async fn run(world: Arc<World>, settings: CallerSettings, until: Instant) {
    let random = SharedRandom::new(world.seed(), settings.caller.as_str());
    let random = Arc::new(random);
    let mut requests = JoinSet::new();
    let mut number = 0;
    loop {
        let pause = random.exponential(settings.mean_interval);
        if Instant::now() + pause >= until {
            break;
        }
        tokio::time::sleep(pause).await;
        number += 1;
        let request = LogicalRequest::draw(&settings, &random, number);
        requests.spawn(request.run(world.clone(), random.clone()));
    }
    while requests.join_next().await.is_some() {}
}

struct LogicalRequest {
    settings: CallerSettings,
    number: u64,
    at_most_once: bool,
    key: Option<IdempotencyKey>,
}

impl LogicalRequest {
    fn draw(settings: &CallerSettings, random: &SharedRandom, number: u64) -> Self {
        let at_most_once = random.chance(settings.at_most_once);
        let keyed = at_most_once || random.chance(settings.keyed);
        let key = format!("key-{}-{number}", settings.caller);
        Self {
            settings: settings.clone(),
            number,
            at_most_once,
            key: keyed.then_some(IdempotencyKey(key)),
        }
    }

    async fn run(self, world: Arc<World>, random: Arc<SharedRandom>) {
        let machines = world.machines().all().len() as u64;
        let mut machine = random.below(machines);
        for number in 1..=self.settings.max_calls {
            let request = self.call(number);
            let end = call(&world, machine as usize, request).await;
            let Some(pause) = self.pause_before_repeat(&end) else {
                return;
            };
            tokio::time::sleep(pause).await;
            machine = another(&random, machine, machines);
        }
    }

    fn call(&self, number: u32) -> CallRequest {
        let settings = &self.settings;
        CallRequest {
            call: CallId {
                caller: settings.caller.clone(),
                request: self.number,
                call: number,
            },
            pool: settings.pool.clone(),
            prompt: format!("prompt {} of {} today", self.number, settings.caller),
            max_tokens: settings.max_tokens,
            key: self.key.clone(),
            at_most_once: self.at_most_once,
            class: settings.class,
            deadline: settings.deadline,
            patience: settings.deadline + EXTRA_PATIENCE,
        }
    }

    /// How long to wait before the request is repeated; `None` when it is not.
    fn pause_before_repeat(&self, end: &CallEnd) -> Option<Duration> {
        match end {
            CallEnd::Answered(_) => None,
            CallEnd::Refused(refusal) => {
                let harmless = refusal.execution == Execution::NotRun || self.key.is_some();
                harmless.then(|| pause_of(refusal))
            }
            CallEnd::Broken(cause) => {
                let harmless = *cause == BrokenCause::NotConnected || self.key.is_some();
                harmless.then_some(DEFAULT_PAUSE)
            }
        }
    }
}

fn pause_of(refusal: &Refusal) -> Duration {
    refusal
        .retry_after
        .unwrap_or(DEFAULT_PAUSE)
        .min(LONGEST_PAUSE)
}

fn another(random: &SharedRandom, machine: u64, machines: u64) -> u64 {
    if machines < 2 {
        return machine;
    }
    let step = 1 + random.below(machines - 1);
    (machine + step) % machines
}
