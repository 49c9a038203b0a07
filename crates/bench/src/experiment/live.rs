//! Live callers with bursts and shared prompt prefixes.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use havenstage_history::event::caller::CallId;
use havenstage_simulator::clients::call::{CallEnd, CallRequest, call};
use havenstage_simulator::random::SharedRandom;
use havenstage_simulator::world::World;
use havenstage_types::ids::{CallerName, PoolName};
use havenstage_types::refusal::Execution;
use havenstage_types::resource::PriorityClass;
use hdrhistogram::Histogram;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::resources::pool_of;
use super::settings::{LiveSettings, seconds};

/// Calls made for one request, at most.
const MAX_CALLS: u32 = 6;

/// Wait before a repeat when a refusal suggests none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(200);

/// Longest wait before a repeat.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Time by which a caller outwaits its own deadline.
const EXTRA_PATIENCE: Duration = Duration::from_secs(5);

/// Significant digits that histograms keep.
const DIGITS: u8 = 3;

/// What a group of callers saw.
#[derive(Debug, Clone)]
pub(super) struct LiveRecord {
    /// Milliseconds to the first text.
    pub first_text_ms: Histogram<u64>,
    /// Milliseconds to the end.
    pub total_ms: Histogram<u64>,
    /// Requests sent.
    pub requests: u64,
    /// Calls beyond the first of a request.
    pub repeats: u64,
    /// Requests that got no whole answer.
    pub unanswered: u64,
}

impl LiveRecord {
    fn new() -> Option<Self> {
        Some(Self {
            first_text_ms: Histogram::new(DIGITS).ok()?,
            total_ms: Histogram::new(DIGITS).ok()?,
            requests: 0,
            repeats: 0,
            unanswered: 0,
        })
    }
}

/// Sends requests until stopped, then waits for the last ones to end. `None` when no histogram
/// can be made.
pub(super) async fn run(
    world: Arc<World>,
    settings: LiveSettings,
    stop: CancellationToken,
) -> Option<LiveRecord> {
    let record = Arc::new(Mutex::new(LiveRecord::new()?));
    let arrivals = SharedRandom::new(world.seed(), &format!("arrivals-{}", settings.name));
    let callers = Callers {
        pool: pool_of(&world, settings.pool).name.clone(),
        random: SharedRandom::new(world.seed(), &format!("callers-{}", settings.name)),
        settings: settings.clone(),
        record: record.clone(),
        world,
    };
    let callers = Arc::new(callers);
    let began = Instant::now();
    let mut requests = JoinSet::new();
    let mut number = 0;
    loop {
        let pause = next_pause(&settings, &arrivals, began.elapsed());
        tokio::select! {
            biased;
            () = stop.cancelled() => break,
            () = tokio::time::sleep(pause) => {}
        }
        number += 1;
        requests.spawn(callers.clone().request(number));
    }
    while requests.join_next().await.is_some() {}
    drop(callers);
    let record = record.lock().unwrap_or_else(PoisonError::into_inner);
    Some(record.clone())
}

/// Time to the next request: exponential at the rate of this moment.
fn next_pause(settings: &LiveSettings, random: &SharedRandom, elapsed: Duration) -> Duration {
    let factor = settings.burst.map_or(1.0, |burst| {
        let phase = elapsed.as_secs_f64() % burst.every_s;
        // Bursts come at the end of each interval, so that a run does not begin with one.
        if phase >= burst.every_s - burst.length_s {
            burst.factor
        } else {
            1.0
        }
    });
    random.exponential(seconds(1.0 / (settings.rate_per_s * factor)))
}

struct Callers {
    world: Arc<World>,
    pool: PoolName,
    settings: LiveSettings,
    random: SharedRandom,
    record: Arc<Mutex<LiveRecord>>,
}

impl Callers {
    async fn request(self: Arc<Self>, number: u64) {
        let prompt = self.prompt(number);
        let machines = self.world.machines().all().len() as u64;
        let first_machine = self.random.below(machines);
        let sent_at = Instant::now();
        self.note(|record| record.requests += 1);
        for repeat in 0..MAX_CALLS {
            let machine = (first_machine + u64::from(repeat)) % machines;
            let request = self.call_request(number, repeat + 1, prompt.clone());
            let called_at = Instant::now();
            let end = call(&self.world, machine as usize, request).await;
            if let CallEnd::Answered(answer) = &end {
                let before = called_at.duration_since(sent_at);
                let first_text = before + answer.first_text.unwrap_or(answer.total);
                return self.note_answer(first_text, before + answer.total);
            }
            let Some(pause) = pause_before_repeat(&end) else {
                break;
            };
            self.note(|record| record.repeats += 1);
            tokio::time::sleep(pause).await;
        }
        self.note(|record| record.unanswered += 1);
    }

    fn prompt(&self, number: u64) -> String {
        let name = &self.settings.name;
        let prefix = self.random.below(u64::from(self.settings.prefixes));
        let start = (0..self.settings.prefix_words).map(|word| format!("{name}{prefix}w{word}"));
        let own = (0..self.settings.own_words).map(|word| format!("{name}n{number}w{word}"));
        start.chain(own).collect::<Vec<_>>().join(" ")
    }

    fn call_request(&self, number: u64, call: u32, prompt: String) -> CallRequest {
        let deadline = seconds(self.settings.deadline_s);
        CallRequest {
            call: CallId {
                caller: CallerName(self.settings.name.clone()),
                request: number,
                call,
            },
            pool: self.pool.clone(),
            prompt,
            max_tokens: self.settings.max_tokens,
            key: None,
            at_most_once: false,
            class: PriorityClass::Live,
            deadline,
            patience: deadline + EXTRA_PATIENCE,
        }
    }

    fn note_answer(&self, first_text: Duration, total: Duration) {
        self.note(|record| {
            record
                .first_text_ms
                .saturating_record(milliseconds(first_text));
            record.total_ms.saturating_record(milliseconds(total));
        });
    }

    fn note(&self, change: impl FnOnce(&mut LiveRecord)) {
        change(&mut self.record.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// How long to wait before the request is repeated; `None` when that could run it twice.
fn pause_before_repeat(end: &CallEnd) -> Option<Duration> {
    match end {
        CallEnd::Refused(refusal) if refusal.execution == Execution::NotRun => {
            let suggested = refusal.retry_after.unwrap_or(DEFAULT_PAUSE);
            Some(suggested.min(LONGEST_PAUSE))
        }
        // Live calls of experiments only ask; asking again does no harm.
        CallEnd::Broken(_) | CallEnd::Refused(_) => Some(DEFAULT_PAUSE),
        CallEnd::Answered(_) => None,
    }
}
