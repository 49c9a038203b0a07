//! Simulates callers, nodes and back ends on a virtual clock to compare policies for refusing calls. It models the
//! policies of the module `calls` and does not run its code. It prints one line for each case:
//!
//! ```sh
//! cargo run --release -p havenstage-gateway --example refusal_model
//! ```

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

/// Number of back ends, slots of each, and calls that each queues when its slots are used.
const BACKENDS: usize = 8;
const SLOTS: usize = 4;
const MAX_QUEUED_CALLS: usize = 2;
/// Most attempts of a caller.
const MAX_ATTEMPTS: u32 = 4;
/// Pause before a call is sent to the same back end again, and network delay to a back end, in milliseconds.
const RETRY_PAUSE_MS: f64 = 8.0;
const NETWORK_DELAY_MS: f64 = 0.5;
/// Least time before its deadline at which a call is still sent, in milliseconds.
const MIN_REMAINING_MS: f64 = 5.0;
/// Simulated time in which callers arrive, in milliseconds.
const DURATION_MS: f64 = 30_000.0;
/// Load outside bursts and outages, relative to the capacity.
const USUAL_LOAD: f64 = 0.7;
/// Seeds with which each case runs.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=20;

/// Requirements of callers and the mean duration of answers, in milliseconds.
struct Setting {
    name: &'static str,
    objective: f64,
    deadline: f64,
    mean_answer: f64,
    nodes: usize,
}

#[derive(Clone, Copy)]
enum Load {
    /// This multiple of the capacity for 1.5 s of each 5 s.
    Bursts(f64),
    /// This multiple of the capacity all the time.
    Steady(f64),
    /// All back ends are unavailable for this many milliseconds of each 10 s.
    Outages(f64),
}

#[derive(Clone, Copy)]
enum RetryAfter {
    After(f64),
    /// When a slot is expected to be free for this caller: refused callers are spaced by the rate of answers.
    ByRate,
}

#[derive(Clone, Copy)]
struct Policy {
    name: &'static str,
    /// Share of the objective for which a node holds and retries a rejected call before it refuses the caller.
    hold: f64,
    retry_after: RetryAfter,
    /// Share of the objective after which a caller retries that was refused at once because no back end is available;
    /// if `None`, such calls are held like rejected ones.
    retry_after_outage: Option<f64>,
}

struct Caller {
    arrived_at: f64,
    deadline: f64,
    attempts: u32,
    node: usize,
    began_at: f64,
    sent_backends: u32,
    held: f64,
    end: Option<(f64, bool)>,
}

#[derive(Clone, Copy)]
enum Event {
    Arrive(usize),
    Send(usize),
    ReachBackend(usize, usize),
    Answer(usize, usize),
}

#[derive(Default)]
struct Backend {
    busy: usize,
    waiting: VecDeque<usize>,
    speed: f64,
}

#[derive(Default, Clone)]
struct Node {
    in_flight: [u32; BACKENDS],
    answers: VecDeque<f64>,
    last_retry_at: f64,
}

struct Model<'a> {
    setting: &'a Setting,
    load: Load,
    policy: Policy,
    random: ChaCha8Rng,
    /// Pending events: the time in nanoseconds and the index in `events`.
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Event>,
    callers: Vec<Caller>,
    backends: Vec<Backend>,
    nodes: Vec<Node>,
}

impl<'a> Model<'a> {
    fn new(setting: &'a Setting, load: Load, policy: Policy, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let backends = (0..BACKENDS).map(|_| Backend {
            speed: random.random_range(0.8..1.25),
            ..Backend::default()
        });
        Self {
            backends: backends.collect(),
            setting,
            load,
            policy,
            random,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            callers: Vec::new(),
            nodes: vec![Node::default(); setting.nodes],
        }
    }

    fn schedule(&mut self, time: f64, event: Event) {
        self.queue
            .push(Reverse(((time * 1e6) as u64, self.events.len())));
        self.events.push(event);
    }

    fn load_at(&self, time: f64) -> f64 {
        match self.load {
            Load::Bursts(load) if time % 5_000.0 < 1_500.0 => load,
            Load::Steady(load) => load,
            Load::Bursts(_) | Load::Outages(_) => USUAL_LOAD,
        }
    }

    fn is_outage(&self, time: f64) -> bool {
        let since = time % 10_000.0 - 3_000.0;
        matches!(self.load, Load::Outages(away) if (0.0..away).contains(&since))
    }

    fn run(mut self) -> Vec<Caller> {
        let capacity = (BACKENDS * SLOTS) as f64 / self.setting.mean_answer;
        let mut time = 0.0;
        while time < DURATION_MS {
            let gap = Exp::new(capacity * self.load_at(time)).expect("a positive rate");
            time += gap.sample(&mut self.random);
            self.schedule(time, Event::Arrive(self.callers.len()));
            self.callers.push(Caller {
                arrived_at: time,
                deadline: time + self.setting.deadline,
                attempts: 0,
                node: 0,
                began_at: time,
                sent_backends: 0,
                held: 0.0,
                end: None,
            });
        }
        while let Some(Reverse((time, event))) = self.queue.pop() {
            let time = time as f64 / 1e6;
            match self.events[event] {
                Event::Arrive(caller) => self.arrive(time, caller),
                Event::Send(caller) => self.send_call(time, caller),
                Event::ReachBackend(caller, backend) => self.reach_backend(time, caller, backend),
                Event::Answer(caller, backend) => self.answer(time, caller, backend),
            }
        }
        self.callers
    }

    fn arrive(&mut self, time: f64, caller: usize) {
        let node = self.random.random_range(0..self.setting.nodes);
        let call = &mut self.callers[caller];
        call.node = node;
        call.attempts += 1;
        call.began_at = time;
        call.sent_backends = 0;
        self.send_call(time, caller);
    }

    fn send_call(&mut self, time: f64, caller: usize) {
        let call = &self.callers[caller];
        let hold = self.policy.hold * self.setting.objective;
        if time + MIN_REMAINING_MS >= call.deadline || time - call.began_at > hold {
            let retry_after = self.retry_after(time, call.node);
            return self.refuse(time, caller, retry_after);
        }
        if self.is_outage(time) {
            return match self.policy.retry_after_outage {
                Some(share) => {
                    self.refuse(time, caller, (share * self.setting.objective).max(50.0))
                }
                None => self.schedule(time + RETRY_PAUSE_MS, Event::Send(caller)),
            };
        }
        let backend = self.choose(caller);
        let call = &mut self.callers[caller];
        let is_again = call.sent_backends & (1 << backend) != 0;
        call.sent_backends |= 1 << backend;
        let pause = if is_again { RETRY_PAUSE_MS } else { 0.0 };
        self.schedule(
            time + pause + NETWORK_DELAY_MS,
            Event::ReachBackend(caller, backend),
        );
    }

    /// Prefers a back end that this call was not sent to yet, then the one with the fewest calls of this node.
    fn choose(&mut self, caller: usize) -> usize {
        let call = &self.callers[caller];
        let in_flight = self.nodes[call.node].in_flight;
        let sent = call.sent_backends;
        let first = self.random.random_range(0..BACKENDS);
        (0..BACKENDS)
            .map(|at| (first + at) % BACKENDS)
            .min_by_key(|at| (sent & (1 << at) != 0, in_flight[*at]))
            .expect("there are back ends")
    }

    fn reach_backend(&mut self, time: f64, caller: usize, backend: usize) {
        let node = self.callers[caller].node;
        if self.backends[backend].busy < SLOTS {
            self.nodes[node].in_flight[backend] += 1;
            self.begin(time, caller, backend);
        } else if self.backends[backend].waiting.len() < MAX_QUEUED_CALLS {
            self.nodes[node].in_flight[backend] += 1;
            self.backends[backend].waiting.push_back(caller);
        } else {
            self.schedule(time + NETWORK_DELAY_MS, Event::Send(caller));
        }
    }

    fn begin(&mut self, time: f64, caller: usize, backend: usize) {
        self.backends[backend].busy += 1;
        let spread = LogNormal::new(-0.125, 0.5).expect("a positive deviation");
        let took = spread.sample(&mut self.random) * self.setting.mean_answer;
        let took = took * self.backends[backend].speed;
        self.schedule(time + took, Event::Answer(caller, backend));
    }

    fn answer(&mut self, time: f64, caller: usize, backend: usize) {
        self.backends[backend].busy -= 1;
        let (node, deadline) = (self.callers[caller].node, self.callers[caller].deadline);
        self.nodes[node].in_flight[backend] -= 1;
        self.nodes[node].answers.push_back(time);
        self.callers[caller].end = Some((time.min(deadline), time <= deadline));
        while let Some(next) = self.backends[backend].waiting.pop_front() {
            let call = &mut self.callers[next];
            if time < call.deadline {
                return self.begin(time, next, backend);
            }
            call.end = Some((call.deadline, false));
            let node = call.node;
            self.nodes[node].in_flight[backend] -= 1;
        }
    }

    fn retry_after(&mut self, time: f64, node: usize) -> f64 {
        if let RetryAfter::After(pause) = self.policy.retry_after {
            return pause;
        }
        let node = &mut self.nodes[node];
        while node.answers.front().is_some_and(|at| *at < time - 1_000.0) {
            node.answers.pop_front();
        }
        let gap = 1_000.0 / node.answers.len().max(1) as f64;
        let next = (node.last_retry_at + gap).clamp(time + 50.0, time + 1_000.0);
        node.last_retry_at = next;
        next - time
    }

    fn refuse(&mut self, time: f64, caller: usize, retry_after: f64) {
        let call = &mut self.callers[caller];
        call.held += time - call.began_at;
        let left = call.deadline - time;
        if call.attempts >= MAX_ATTEMPTS || left < 20.0 {
            call.end = Some((time, false));
            return;
        }
        self.schedule(time + retry_after.min(left / 3.0), Event::Arrive(caller));
    }
}

/// Share of calls served within the objective, share served at all, and mean time in milliseconds for which calls
/// that were not served were held.
fn figures(setting: &Setting, load: Load, policy: Policy, seed: u64) -> [f64; 3] {
    let callers = Model::new(setting, load, policy, seed).run();
    let ends = callers.iter().filter_map(|call| Some((call, call.end?)));
    let served: Vec<f64> = ends
        .clone()
        .filter(|(_, (_, is_served))| *is_served)
        .map(|(call, (time, _))| time - call.arrived_at)
        .collect();
    let on_time = served.iter().filter(|took| **took <= setting.objective);
    let lost: Vec<f64> = ends
        .filter(|(_, (_, is_served))| !is_served)
        .map(|(call, _)| call.held)
        .collect();
    let count = callers.len() as f64;
    let held = lost.iter().sum::<f64>() / lost.len().max(1) as f64;
    [
        on_time.count() as f64 / count,
        served.len() as f64 / count,
        held,
    ]
}

fn compare(settings: &[Setting], loads: &[(&str, Load)], policies: &[Policy]) {
    for setting in settings {
        for (load_name, load) in loads {
            for policy in policies {
                let runs = SEEDS.map(|seed| figures(setting, *load, *policy, seed));
                let runs: Vec<[f64; 3]> = runs.collect();
                let mean = |at: usize| {
                    let sum: f64 = runs.iter().map(|run| run[at]).sum();
                    sum / runs.len() as f64
                };
                println!(
                    "{:14} {:14} {:22} on time {:.3} served {:.3} held {:4.0} ms",
                    setting.name,
                    load_name,
                    policy.name,
                    mean(0),
                    mean(1),
                    mean(2)
                );
            }
        }
    }
}

fn setting(name: &'static str, times: [f64; 3], nodes: usize) -> Setting {
    let [objective, deadline, mean_answer] = times;
    Setting {
        name,
        objective,
        deadline,
        mean_answer,
        nodes,
    }
}

fn main() {
    let settings = [
        setting("400/1200/60", [400.0, 1_200.0, 60.0], 6),
        setting("1000/2000/150", [1_000.0, 2_000.0, 150.0], 6),
        setting("400/800/120", [400.0, 800.0, 120.0], 12),
    ];
    let held = Policy {
        name: "held",
        hold: 0.2,
        retry_after: RetryAfter::After(50.0),
        retry_after_outage: None,
    };
    let at_once = |name, share| Policy {
        name,
        retry_after_outage: Some(share),
        ..held
    };
    let gone = [
        ("gone 0.1 s", Load::Outages(100.0)),
        ("gone 0.4 s", Load::Outages(400.0)),
        ("gone 2 s", Load::Outages(2_000.0)),
    ];
    let shares = [
        held,
        at_once("at once, 50 ms", 0.0),
        at_once("at once, 0.2", 0.2),
        at_once("at once, 0.25", 0.25),
        at_once("at once, 0.3", 0.3),
    ];
    compare(&settings, &gone, &shares);
    let overload = [
        ("bursts of 1.6", Load::Bursts(1.6)),
        ("steady 1.25", Load::Steady(1.25)),
        ("steady 0.95", Load::Steady(0.95)),
    ];
    let back = |name, retry_after| Policy {
        name,
        retry_after,
        ..held
    };
    let returns = [
        back("back after 50 ms", RetryAfter::After(50.0)),
        back("back after 100 ms", RetryAfter::After(100.0)),
        back("back after 200 ms", RetryAfter::After(200.0)),
        back("back after 400 ms", RetryAfter::After(400.0)),
        back("back by the rate", RetryAfter::ByRate),
    ];
    compare(&settings, &overload, &returns);
    let hold = |name, hold| Policy { name, hold, ..held };
    let holds = [
        hold("held 0.2", 0.2),
        hold("held 0.125", 0.125),
        hold("held 0.1", 0.1),
        Policy {
            retry_after: RetryAfter::After(100.0),
            ..hold("held 0.1, back 100 ms", 0.1)
        },
    ];
    compare(&settings, &overload, &holds);
}
