//! Simulates training steps in virtual time on engines whose decode step gets slower with the tokens in
//! memory, to measure how long training steps last under a placement policy.

use std::collections::{BTreeMap, HashSet};

use havenstage_rollout::expected_length::LengthHistory;
use havenstage_rollout::ids::{BatchId, GroupId, ItemId, ModelName};
use havenstage_rollout::residency::Residency;
use havenstage_rollout::schedule::{Candidate, TokenMemory, WaitingItem, sort_by_expected_end};

use super::draws::Draws;
use super::{backend, claim};

const SLICE_MS: f64 = 20.0;
const TOKENS_PER_EVENT: u32 = 68;
const MAX_EVENTS: f64 = 147.0;
const TRAINERS: usize = 4;
const GROUPS: usize = 18;
const GROUP_SIZE: usize = 8;
/// Share of a step's groups that must complete before the step does.
const REQUIRED_SHARE: f64 = 0.9;
/// Interval at which a trainer submits steps.
const STEP_INTERVAL_MS: f64 = 4_000.0;
/// Maximum number of unfinished steps of a trainer.
const MAX_OPEN_STEPS: usize = 2;
/// Standard deviation of the measured event gap of an engine, relative to the actual one.
const GAP_NOISE: f64 = 0.04;

/// A pool of engines and how trainers use it.
#[derive(Clone)]
pub struct Engines {
    /// Factor on the decode step time of each engine; lower is faster.
    pub step_time_factors: Vec<f64>,
    pub memory_tokens: u32,
    pub prompt_tokens: u32,
    /// Whether each engine serves the models of all trainers, or only the model of one.
    pub serves_all_trainers: bool,
    /// Whether all trainers submit their steps at the same times.
    pub submit_together: bool,
    /// Decode step time in milliseconds: base, per running item, and per 1,000 tokens in memory.
    pub step_ms: (f64, f64, f64),
}

struct SimulatedItem {
    step: usize,
    group: usize,
    events: f64,
    generated_events: f64,
    estimated_tokens: u32,
    engine: Option<usize>,
    ended_at: Option<f64>,
}

struct Step {
    trainer: usize,
    submitted_ms: f64,
    items: std::ops::Range<usize>,
    duration_ms: Option<f64>,
}

/// Result of a simulation.
#[derive(Debug)]
pub struct Outcome {
    /// Mean ratio of a step's duration to its lower bound: its longest required item, alone on the fastest engine.
    pub relative_to_bound: f64,
    /// Number of time slices, summed over engines, in which an engine exceeded its memory.
    pub memory_shortages: u32,
    /// Mean time by which trainers are behind schedule at the end.
    pub lag_ms: f64,
}

/// A placement policy: returns the position of the chosen candidate.
pub type Choose = fn(&WaitingItem, &[Candidate]) -> Option<usize>;

pub struct Model {
    engines: Engines,
    draws: Draws,
    items: Vec<SimulatedItem>,
    steps: Vec<Step>,
    history: LengthHistory,
    now_ms: f64,
    memory_shortages: u32,
}

impl Model {
    pub fn new(engines: Engines, seed: u64) -> Self {
        Self {
            engines,
            draws: Draws::new(seed),
            items: Vec::new(),
            steps: Vec::new(),
            history: LengthHistory::default(),
            now_ms: 0.0,
            memory_shortages: 0,
        }
    }

    /// Simulates `steps` submission intervals.
    pub fn run(mut self, steps: usize, choose: Choose) -> Outcome {
        let until_ms = STEP_INTERVAL_MS * steps as f64;
        while self.now_ms < until_ms {
            self.submit_due_steps();
            self.place_waiting(choose);
            self.advance_slice();
            self.now_ms += SLICE_MS;
        }
        self.outcome(steps)
    }

    fn submit_due_steps(&mut self) {
        for trainer in 0..TRAINERS {
            let of_trainer = self.steps.iter().filter(|step| step.trainer == trainer);
            let submitted = of_trainer.clone().count();
            let open = of_trainer.filter(|step| step.duration_ms.is_none()).count();
            let offset_ms = match self.engines.submit_together {
                true => 0.0,
                false => STEP_INTERVAL_MS * trainer as f64 / TRAINERS as f64,
            };
            let due_ms = STEP_INTERVAL_MS * submitted as f64 + offset_ms;
            if self.now_ms >= due_ms && open < MAX_OPEN_STEPS {
                self.submit_step(trainer);
            }
        }
    }

    fn submit_step(&mut self, trainer: usize) {
        let first = self.items.len();
        for at in 0..GROUPS * GROUP_SIZE {
            let length = self.draws.length(13.0);
            let estimate = length * self.draws.estimate_factor();
            self.items.push(SimulatedItem {
                step: self.steps.len(),
                group: at / GROUP_SIZE,
                events: length.min(MAX_EVENTS).ceil(),
                generated_events: 0.0,
                estimated_tokens: (estimate.min(MAX_EVENTS) * f64::from(TOKENS_PER_EVENT)).max(1.0)
                    as u32,
                engine: None,
                ended_at: None,
            });
        }
        self.steps.push(Step {
            trainer,
            submitted_ms: self.now_ms,
            items: first..self.items.len(),
            duration_ms: None,
        });
    }

    /// Unfinished items of the open steps.
    fn open_items(&self) -> Vec<usize> {
        let steps = self.steps.iter().filter(|step| step.duration_ms.is_none());
        let items = steps.flat_map(|step| step.items.clone());
        items
            .filter(|at| self.items[*at].ended_at.is_none())
            .collect()
    }

    fn model_of(&self, trainer: usize) -> ModelName {
        ModelName::from(trainer.to_string())
    }

    fn models_on(&self, engine: usize) -> BTreeMap<ModelName, u64> {
        let trainers = (0..TRAINERS)
            .filter(|trainer| self.engines.serves_all_trainers || engine % TRAINERS == *trainer);
        trainers
            .map(|trainer| (self.model_of(trainer), 0))
            .collect()
    }

    fn waiting_item(&self, at: usize) -> WaitingItem {
        let item = &self.items[at];
        let generated_tokens = item.generated_events as u32 * TOKENS_PER_EVENT;
        WaitingItem {
            batch: BatchId::from(item.step.to_string()),
            item: ItemId::from(at.to_string()),
            is_optional: false,
            claim: claim(0, "route"),
            expected_tokens: self
                .history
                .expected_remaining(item.estimated_tokens, generated_tokens),
            held_tokens: self.engines.prompt_tokens + generated_tokens,
            batch_first_seen: self.steps[item.step].submitted_ms as u64,
            waiting_since: self.steps[item.step].submitted_ms as u64,
            model: Some(self.model_of(self.steps[item.step].trainer)),
            minimum_version: 0,
            exact_version: None,
            group: Some(GroupId::from(format!("{} {}", item.step, item.group))),
            residency: Residency::anywhere(),
        }
    }

    fn place_waiting(&mut self, choose: Choose) {
        let open = self.open_items();
        if open.iter().all(|at| self.items[*at].engine.is_some()) {
            return;
        }
        let mut candidates = self.candidates(&open);
        let waiting = open
            .into_iter()
            .filter(|at| self.items[*at].engine.is_none());
        let mut waiting: Vec<WaitingItem> = waiting.map(|at| self.waiting_item(at)).collect();
        sort_by_expected_end(&mut waiting, self.now_ms as u64, 0.7);
        for item in waiting {
            let Some(engine) = choose(&item, &candidates) else {
                continue;
            };
            candidates[engine].add_item(&item);
            let at: usize = item.item.as_str().parse().unwrap();
            self.items[at].engine = Some(engine);
        }
    }

    fn candidates(&mut self, open: &[usize]) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (engine, running) in self.by_engine(open).iter().enumerate() {
            let gap_ms = self.gap_ms(engine, running);
            candidates.push(Candidate {
                backend: backend(&format!("{engine:02}")),
                region: None,
                running: 0,
                slots: 8,
                memory: TokenMemory {
                    capacity: Some(self.engines.memory_tokens),
                    ..TokenMemory::default()
                },
                event_gap_ms: gap_ms * (1.0 + GAP_NOISE * self.draws.normal()),
                is_half_open: false,
                models: self.models_on(engine),
                groups: HashSet::new(),
            });
        }
        for at in open {
            if let Some(engine) = self.items[*at].engine {
                candidates[engine].add_item(&self.waiting_item(*at));
            }
        }
        candidates
    }

    /// Positions of the items that run on each engine.
    fn by_engine(&self, open: &[usize]) -> Vec<Vec<usize>> {
        let mut running = vec![Vec::new(); self.engines.step_time_factors.len()];
        for at in open {
            if let Some(engine) = self.items[*at].engine {
                running[engine].push(*at);
            }
        }
        running
    }

    fn tokens(&self, running: &[usize]) -> f64 {
        let prompt = f64::from(self.engines.prompt_tokens);
        let held = running
            .iter()
            .map(|at| prompt + self.items[*at].generated_events * f64::from(TOKENS_PER_EVENT));
        held.sum()
    }

    fn gap_ms(&self, engine: usize, running: &[usize]) -> f64 {
        let (base, per_run, per_thousand) = self.engines.step_ms;
        let tokens = self.tokens(running);
        let step_ms = base + per_run * running.len() as f64 + per_thousand * tokens / 1_000.0;
        step_ms * self.engines.step_time_factors[engine] * f64::from(TOKENS_PER_EVENT)
    }

    fn advance_slice(&mut self) {
        let open = self.open_items();
        for (engine, running) in self.by_engine(&open).into_iter().enumerate() {
            let gap_ms = self.gap_ms(engine, &running);
            if self.tokens(&running) > f64::from(self.engines.memory_tokens) {
                self.memory_shortages += 1;
            }
            for at in running {
                let item = &mut self.items[at];
                item.generated_events += SLICE_MS / gap_ms;
                if item.generated_events >= item.events {
                    item.ended_at = Some(self.now_ms);
                    let generated_tokens = item.events as u32 * TOKENS_PER_EVENT;
                    self.history
                        .record_finished(item.estimated_tokens, generated_tokens);
                }
            }
        }
        self.close_steps();
    }

    fn close_steps(&mut self) {
        for step in self
            .steps
            .iter_mut()
            .filter(|step| step.duration_ms.is_none())
        {
            let items = &self.items[step.items.clone()];
            let complete = items
                .chunks(GROUP_SIZE)
                .filter(|group| group.iter().all(|item| item.ended_at.is_some()));
            if complete.count() >= required_groups() {
                step.duration_ms = Some(self.now_ms - step.submitted_ms);
            }
        }
    }

    fn bound_ms(&self, step: &Step) -> f64 {
        let items = &self.items[step.items.clone()];
        let groups = items.chunks(GROUP_SIZE);
        let mut longest: Vec<f64> = groups
            .map(|group| group.iter().map(|item| item.events).fold(0.0, f64::max))
            .collect();
        longest.sort_by(f64::total_cmp);
        let fastest = self
            .engines
            .step_time_factors
            .iter()
            .copied()
            .fold(f64::MAX, f64::min);
        let (base, per_run, _) = self.engines.step_ms;
        longest[required_groups() - 1] * fastest * (base + per_run) * f64::from(TOKENS_PER_EVENT)
    }

    fn outcome(self, steps: usize) -> Outcome {
        let completed = self
            .steps
            .iter()
            .filter_map(|step| Some(step.duration_ms? / self.bound_ms(step)));
        let ratios: Vec<f64> = completed.collect();
        let expected = steps * TRAINERS;
        let missing = expected.saturating_sub(self.steps.len());
        Outcome {
            relative_to_bound: ratios.iter().sum::<f64>() / ratios.len() as f64,
            memory_shortages: self.memory_shortages,
            lag_ms: missing as f64 * STEP_INTERVAL_MS / TRAINERS as f64,
        }
    }
}

fn required_groups() -> usize {
    (GROUPS as f64 * REQUIRED_SHARE).round() as usize
}
