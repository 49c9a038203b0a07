//! Steps of trainers on engines whose time for a step grows with the tokens in their memory, in
//! virtual time: how long steps last under a way to place items.

use std::collections::{BTreeMap, HashSet};

use havenstage_rollout::expected_length::LengthHistory;
use havenstage_rollout::ids::{BatchId, GroupId, ItemId, ModelName};
use havenstage_rollout::residency::Residency;
use havenstage_rollout::schedule::{Candidate, TokenMemory, WaitingItem, sort_by_expected_end};

use super::draws::Draws;
use super::{backend, claim};

const SLICE_MS: f64 = 20.0;
const TOKENS_PER_EVENT: u32 = 68;
const MOST_EVENTS: f64 = 147.0;
const TRAINERS: usize = 4;
const GROUPS: usize = 18;
const GROUP_SIZE: usize = 8;
const NEEDED_SHARE: f64 = 0.9;
const STEP_EVERY_MS: f64 = 4_000.0;
const OPEN_STEPS: usize = 2;
/// Spread of what nodes measure of an engine's speed.
const GAP_NOISE: f64 = 0.04;

/// A pool of engines.
#[derive(Clone)]
pub struct Engines {
    pub speeds: Vec<f64>,
    pub memory_tokens: u32,
    pub prompt_tokens: u32,
    /// Trainers that share each engine: all, or just one whose model it holds.
    pub is_shared: bool,
    /// Whether trainers hand in their steps at the same moments.
    pub at_once: bool,
    /// Milliseconds of a step, for each run beside, and for each 1,000 tokens in memory.
    pub step_ms: (f64, f64, f64),
}

struct ModelItem {
    step: usize,
    group: usize,
    events: f64,
    made: f64,
    guess: u32,
    engine: Option<usize>,
    ended_at: Option<f64>,
}

struct Step {
    trainer: usize,
    from_ms: f64,
    items: std::ops::Range<usize>,
    took_ms: Option<f64>,
}

/// What came of a day.
#[derive(Debug)]
pub struct Outcome {
    /// Mean time of a step over that of its longest needed item on the best engine alone.
    pub over_bound: f64,
    /// Slices of an engine in which its memory was short.
    pub short_of_memory: u32,
    /// Mean time by which trainers are behind at the end.
    pub behind_ms: f64,
}

pub type Choose = fn(&WaitingItem, &[Candidate]) -> Option<usize>;

pub struct Model {
    engines: Engines,
    draws: Draws,
    items: Vec<ModelItem>,
    steps: Vec<Step>,
    history: LengthHistory,
    now_ms: f64,
    short_of_memory: u32,
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
            short_of_memory: 0,
        }
    }

    /// Plays so many steps of each trainer.
    pub fn play(mut self, steps: usize, choose: Choose) -> Outcome {
        let until_ms = STEP_EVERY_MS * steps as f64;
        while self.now_ms < until_ms {
            self.hand_in();
            self.place(choose);
            self.advance();
            self.now_ms += SLICE_MS;
        }
        self.outcome(steps)
    }

    fn hand_in(&mut self) {
        for trainer in 0..TRAINERS {
            let of_trainer = self.steps.iter().filter(|step| step.trainer == trainer);
            let handed_in = of_trainer.clone().count();
            let open = of_trainer.filter(|step| step.took_ms.is_none()).count();
            let offset_ms = match self.engines.at_once {
                true => 0.0,
                false => STEP_EVERY_MS * trainer as f64 / TRAINERS as f64,
            };
            let due_ms = STEP_EVERY_MS * handed_in as f64 + offset_ms;
            if self.now_ms >= due_ms && open < OPEN_STEPS {
                self.new_step(trainer);
            }
        }
    }

    fn new_step(&mut self, trainer: usize) {
        let first = self.items.len();
        for at in 0..GROUPS * GROUP_SIZE {
            let length = self.draws.length(13.0);
            let guess = length * self.draws.guess_factor();
            self.items.push(ModelItem {
                step: self.steps.len(),
                group: at / GROUP_SIZE,
                events: length.min(MOST_EVENTS).ceil(),
                made: 0.0,
                guess: (guess.min(MOST_EVENTS) * f64::from(TOKENS_PER_EVENT)).max(1.0) as u32,
                engine: None,
                ended_at: None,
            });
        }
        self.steps.push(Step {
            trainer,
            from_ms: self.now_ms,
            items: first..self.items.len(),
            took_ms: None,
        });
    }

    /// Items that are not whole, of the steps that are open.
    fn open(&self) -> Vec<usize> {
        let steps = self.steps.iter().filter(|step| step.took_ms.is_none());
        let items = steps.flat_map(|step| step.items.clone());
        items
            .filter(|at| self.items[*at].ended_at.is_none())
            .collect()
    }

    fn model_of(&self, trainer: usize) -> ModelName {
        ModelName::from(trainer.to_string())
    }

    fn models_on(&self, engine: usize) -> BTreeMap<ModelName, u64> {
        let trainers =
            (0..TRAINERS).filter(|trainer| self.engines.is_shared || engine % TRAINERS == *trainer);
        trainers
            .map(|trainer| (self.model_of(trainer), 0))
            .collect()
    }

    fn waiting_item(&self, at: usize) -> WaitingItem {
        let item = &self.items[at];
        let made = item.made as u32 * TOKENS_PER_EVENT;
        WaitingItem {
            batch: BatchId::from(item.step.to_string()),
            item: ItemId::from(at.to_string()),
            is_optional: false,
            claim: claim(0, "route"),
            expected_tokens: self.history.expected_remaining(item.guess, made),
            held_tokens: self.engines.prompt_tokens + made,
            batch_first_seen: self.steps[item.step].from_ms as u64,
            model: Some(self.model_of(self.steps[item.step].trainer)),
            minimum_version: 0,
            exact_version: None,
            group: Some(GroupId::from(format!("{} {}", item.step, item.group))),
            residency: Residency::anywhere(),
        }
    }

    fn place(&mut self, choose: Choose) {
        let open = self.open();
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

    /// The items that run on each engine.
    fn by_engine(&self, open: &[usize]) -> Vec<Vec<usize>> {
        let mut running = vec![Vec::new(); self.engines.speeds.len()];
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
            .map(|at| prompt + self.items[*at].made * f64::from(TOKENS_PER_EVENT));
        held.sum()
    }

    fn gap_ms(&self, engine: usize, running: &[usize]) -> f64 {
        let (base, per_run, per_thousand) = self.engines.step_ms;
        let tokens = self.tokens(running);
        let step_ms = base + per_run * running.len() as f64 + per_thousand * tokens / 1_000.0;
        step_ms * self.engines.speeds[engine] * f64::from(TOKENS_PER_EVENT)
    }

    fn advance(&mut self) {
        let open = self.open();
        for (engine, running) in self.by_engine(&open).into_iter().enumerate() {
            let gap_ms = self.gap_ms(engine, &running);
            if self.tokens(&running) > f64::from(self.engines.memory_tokens) {
                self.short_of_memory += 1;
            }
            for at in running {
                let item = &mut self.items[at];
                item.made += SLICE_MS / gap_ms;
                if item.made >= item.events {
                    item.ended_at = Some(self.now_ms);
                    let made = item.events as u32 * TOKENS_PER_EVENT;
                    self.history.record_finished(item.guess, made);
                }
            }
        }
        self.close_steps();
    }

    fn close_steps(&mut self) {
        for step in self.steps.iter_mut().filter(|step| step.took_ms.is_none()) {
            let items = &self.items[step.items.clone()];
            let whole = items
                .chunks(GROUP_SIZE)
                .filter(|group| group.iter().all(|item| item.ended_at.is_some()));
            if whole.count() >= needed_groups() {
                step.took_ms = Some(self.now_ms - step.from_ms);
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
        let best = self.engines.speeds.iter().copied().fold(f64::MAX, f64::min);
        let (base, per_run, _) = self.engines.step_ms;
        longest[needed_groups() - 1] * best * (base + per_run) * f64::from(TOKENS_PER_EVENT)
    }

    fn outcome(self, steps: usize) -> Outcome {
        let ended = self
            .steps
            .iter()
            .filter_map(|step| Some(step.took_ms? / self.bound_ms(step)));
        let over: Vec<f64> = ended.collect();
        let expected = steps * TRAINERS;
        let missing = expected.saturating_sub(self.steps.len());
        Outcome {
            over_bound: over.iter().sum::<f64>() / over.len() as f64,
            short_of_memory: self.short_of_memory,
            behind_ms: missing as f64 * STEP_EVERY_MS / TRAINERS as f64,
        }
    }
}

fn needed_groups() -> usize {
    (GROUPS as f64 * NEEDED_SHARE).round() as usize
}
