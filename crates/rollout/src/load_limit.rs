//! Adaptive limit on concurrent loads of model weights.
//!
//! The weight store slows down when too many back ends load at once, and it does not report how many are
//! too many. The limit starts at a share of the back ends, shrinks while loads take clearly longer than
//! they would alone, and grows back: additive increase and multiplicative decrease.
//!
//! How long a load takes alone is estimated for each model from recent loads only, so that no single sample
//! and no change of the store decides for good.

use std::collections::{BTreeMap, VecDeque};

use crate::Millis;
use crate::ids::ModelName;

/// Back ends of a pool for each load that may run.
const BACKENDS_PER_LOAD: f64 = 5.0;
/// A load that takes more than this many times as long as it would alone was slowed down by others.
const SLOW_LOAD_FACTOR: f64 = 1.4;
/// Factor by which a slow load lowers the limit.
const DECREASE_FACTOR: f64 = 0.75;
/// Age at which a load no longer counts for the estimate.
const SAMPLE_WINDOW_MS: Millis = 30_000;
/// Number of the latest uncontended loads that count for the estimate.
const MAX_UNCONTENDED_SAMPLES: usize = 4;

/// A load that succeeded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadSample {
    /// The model whose weights were loaded; models differ in size.
    pub model: ModelName,
    /// Duration of the load in milliseconds.
    pub took_ms: Millis,
    /// The most loads that ran at a time while it ran, including itself.
    pub concurrent: usize,
}

/// The limit, adapted to the durations of recent loads.
#[derive(Debug, Clone)]
pub struct LoadLimit {
    minimum: usize,
    /// Share of the full limit that is allowed now, from 0 to 1.
    share: f64,
    durations: BTreeMap<ModelName, RecentDurations>,
    /// When the latest uncontended load ended; at first, when the first load did. `None` before it.
    last_uncontended: Option<Millis>,
}

impl LoadLimit {
    /// Creates a limit that never falls below `minimum` concurrent loads.
    pub fn new(minimum: usize) -> Self {
        Self {
            minimum,
            share: 1.0,
            durations: BTreeMap::new(),
            last_uncontended: None,
        }
    }

    /// Loads that may run at the same time in a pool of `backends` back ends.
    pub fn allowed(&self, backends: usize, now: Millis) -> usize {
        if self.needs_uncontended_load(now) {
            return self.minimum;
        }
        let full_limit = (backends as f64 / BACKENDS_PER_LOAD).round();
        ((full_limit * self.share) as usize).max(self.minimum)
    }

    /// Whether no uncontended load counts for the estimate any more. The limit is then at its minimum until one has ended, as
    /// contended loads alone would raise the estimate more and more.
    fn needs_uncontended_load(&self, now: Millis) -> bool {
        self.last_uncontended
            .is_some_and(|at| now.saturating_sub(at) > SAMPLE_WINDOW_MS)
    }

    /// Records a load that ended at `now`.
    pub fn record_load(&mut self, load: LoadSample, now: Millis) {
        let is_contended = load.concurrent > self.minimum;
        if !is_contended || self.last_uncontended.is_none() {
            self.last_uncontended = Some(now);
        }
        self.durations.retain(|_, durations| {
            durations.forget_old(now);
            !durations.is_empty()
        });
        let durations = self.durations.entry(load.model).or_default();
        durations.record(now, load.took_ms, is_contended);
        let alone_ms = durations.alone_ms().unwrap_or(load.took_ms);
        let is_slow = load.took_ms as f64 > alone_ms as f64 * SLOW_LOAD_FACTOR;
        if is_slow && is_contended {
            self.share = (self.share * DECREASE_FACTOR).max(self.least_share());
        } else {
            // One round of concurrent quick loads restores the share that one slow load takes away from a full one. Loads at
            // the minimum raise it too, to probe whether more of them are slowed down.
            let step = (1.0 - DECREASE_FACTOR) / load.concurrent.max(1) as f64;
            self.share = (self.share + step).min(1.0);
        }
    }

    /// A share below which the limit would need long to rise above its minimum again.
    fn least_share(&self) -> f64 {
        1.0 - DECREASE_FACTOR
    }
}

/// Durations of the recent loads of one model.
#[derive(Debug, Clone, Default)]
struct RecentDurations {
    /// The latest loads beside which no more than the minimum ran, oldest first.
    uncontended: VecDeque<Sample>,
    /// Loads of which none after them was quicker, oldest first: the first one is the quickest.
    quickest: VecDeque<Sample>,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Millis,
    took_ms: Millis,
}

impl RecentDurations {
    fn record(&mut self, now: Millis, took_ms: Millis, is_contended: bool) {
        let sample = Sample { at: now, took_ms };
        while self
            .quickest
            .pop_back_if(|slower| slower.took_ms >= took_ms)
            .is_some()
        {}
        self.quickest.push_back(sample);
        if is_contended {
            return;
        }
        self.uncontended.push_back(sample);
        if self.uncontended.len() > MAX_UNCONTENDED_SAMPLES {
            self.uncontended.pop_front();
        }
    }

    /// Duration of a load that is not slowed down by others: the quickest of the latest uncontended loads, or, without
    /// any, of all recent ones.
    fn alone_ms(&self) -> Option<Millis> {
        let uncontended = self.uncontended.iter().map(|sample| sample.took_ms);
        let quickest = self.quickest.front().map(|sample| sample.took_ms);
        uncontended.min().or(quickest)
    }

    fn forget_old(&mut self, now: Millis) {
        for samples in [&mut self.uncontended, &mut self.quickest] {
            samples.retain(|sample| now.saturating_sub(sample.at) <= SAMPLE_WINDOW_MS);
        }
    }

    fn is_empty(&self) -> bool {
        self.quickest.is_empty()
    }
}
