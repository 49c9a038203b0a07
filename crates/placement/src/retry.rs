//! Limits on retries of failed work: a retry budget in proportion to the successes, and exponential
//! backoff with full jitter.

use std::collections::VecDeque;
use std::time::Duration;

use havenstage_types::clock::Moment;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::settings::InvalidSetting;

/// Number of time slices into which the `ttl` of a budget is divided. Slices expire as a whole.
const SLICES_PER_TTL: u64 = 10;

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudgetSettings {
    /// How long successes and retries count towards the budget.
    pub ttl: Duration,
    /// Retries per second that are allowed regardless of the successes.
    pub min_retries_per_second: u32,
    /// Number of retries allowed for each success within `ttl`.
    pub retry_ratio: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(10),
            min_retries_per_second: 5,
            retry_ratio: 0.2,
        }
    }
}

impl RetryBudgetSettings {
    /// Checks the ranges of the settings.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is outside its range.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        InvalidSetting::unless(
            self.ttl >= Duration::from_secs(1),
            "retry.ttl",
            format!("{:?}", self.ttl),
            "at least 1s",
        )?;
        InvalidSetting::unless(
            (0.0..=10.0).contains(&self.retry_ratio),
            "retry.retry_ratio",
            self.retry_ratio,
            "0 to 10",
        )
    }
}

/// Numbers of successes and retries in one slice of time.
#[derive(Debug, Clone, Default)]
struct Slice {
    index: u64,
    successes: u64,
    retries: u64,
}

/// Allows retries in proportion to the recent successes, so that retries cannot multiply the load
/// on a system that is already failing.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    /// Creates a budget without recorded successes and retries.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            slices: VecDeque::new(),
        }
    }

    /// Counts a request that succeeded.
    pub fn record_success(&mut self, now: Moment) {
        self.slice(now).successes += 1;
    }

    /// Takes one retry out of the budget; returns `false` when none is left.
    pub fn try_retry(&mut self, now: Moment) -> bool {
        if self.available(now) < 1.0 {
            return false;
        }
        self.slice(now).retries += 1;
        true
    }

    /// Number of retries left at `now`; one retry needs at least 1.0.
    pub fn available(&mut self, now: Moment) -> f64 {
        self.remove_expired(now);
        let successes: u64 = self.slices.iter().map(|slice| slice.successes).sum();
        let retries: u64 = self.slices.iter().map(|slice| slice.retries).sum();
        let base_retries =
            f64::from(self.settings.min_retries_per_second) * self.settings.ttl.as_secs_f64();
        base_retries + successes as f64 * self.settings.retry_ratio - retries as f64
    }

    /// The slice that contains `now`, created if needed.
    fn slice(&mut self, now: Moment) -> &mut Slice {
        self.remove_expired(now);
        let index = self.slice_index(now);
        if self.slices.back().is_none_or(|last| last.index < index) {
            self.slices.push_back(Slice {
                index,
                ..Slice::default()
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    fn remove_expired(&mut self, now: Moment) {
        let current = self.slice_index(now);
        while self
            .slices
            .front()
            .is_some_and(|first| first.index + SLICES_PER_TTL <= current)
        {
            self.slices.pop_front();
        }
    }

    fn slice_index(&self, now: Moment) -> u64 {
        let ttl_ms = self.settings.ttl.as_millis() as u64;
        now.0 / (ttl_ms / SLICES_PER_TTL).max(1)
    }
}

/// Settings of a [`Backoff`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Upper bound of the first delay.
    pub base: Duration,
    /// Upper bound of every delay.
    pub max: Duration,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(50),
            max: Duration::from_secs(5),
        }
    }
}

impl BackoffSettings {
    /// Checks the ranges of the settings.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is outside its range.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        InvalidSetting::unless(
            !self.base.is_zero() && self.base <= self.max,
            "backoff.base",
            format!("{:?}", self.base),
            "above 0 and at most backoff.max",
        )
    }
}

/// Exponential backoff with full jitter: the n-th delay, counted from zero, is uniformly
/// distributed between zero and `min(max, base * 2^n)`.
#[derive(Debug, Clone)]
pub struct Backoff {
    settings: BackoffSettings,
    attempt: u32,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Creates a backoff whose random delays derive from `seed`.
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Self {
            settings,
            attempt: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the delay before the next attempt and raises the bound of the one after it.
    pub fn next_delay(&mut self) -> Duration {
        let factor = 2u32.saturating_pow(self.attempt);
        let bound = self
            .settings
            .base
            .saturating_mul(factor)
            .min(self.settings.max);
        self.attempt = self.attempt.saturating_add(1);
        self.random.random_range(Duration::ZERO..=bound)
    }

    /// Resets the delay bound to `base`; called after a success.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}
