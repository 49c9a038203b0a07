//! Percentiles of one histogram and the spread of a figure over rounds.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Longest latency told apart, in nanoseconds: a minute.
const LONGEST_NS: u64 = 60_000_000_000;

/// Significant decimal digits kept of each latency.
const DIGITS: u8 = 3;

const NS_PER_US: f64 = 1_000.0;

/// Latencies in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Half of the requests took no longer.
    pub p50_us: f64,
    /// 99 in 100 took no longer.
    pub p99_us: f64,
    /// 999 in 1000 took no longer.
    pub p999_us: f64,
}

/// A figure over the rounds of a run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Lowest round.
    pub lowest: f64,
    /// Middle round, the upper one of two.
    pub median: f64,
    /// Highest round.
    pub highest: f64,
}

/// A histogram of nanoseconds.
pub(super) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_NS, DIGITS)
        .unwrap_or_else(|error| unreachable!("the bounds are constants: {error}"))
}

impl From<&Histogram<u64>> for Percentiles {
    fn from(latency: &Histogram<u64>) -> Self {
        let at = |quantile| latency.value_at_quantile(quantile) as f64 / NS_PER_US;
        Self {
            p50_us: at(0.5),
            p99_us: at(0.99),
            p999_us: at(0.999),
        }
    }
}

impl Percentiles {
    /// What is left of each when those of `base` are taken off.
    pub fn above(&self, base: &Self) -> Self {
        Self {
            p50_us: self.p50_us - base.p50_us,
            p99_us: self.p99_us - base.p99_us,
            p999_us: self.p999_us - base.p999_us,
        }
    }
}

impl Spread {
    /// The spread of a list; all zero when it is empty.
    pub fn of(figures: impl IntoIterator<Item = f64>) -> Self {
        let mut sorted: Vec<f64> = figures.into_iter().collect();
        sorted.sort_by(f64::total_cmp);
        let at = |index: usize| sorted.get(index).copied().unwrap_or_default();
        Self {
            lowest: at(0),
            median: at(sorted.len() / 2),
            highest: at(sorted.len().saturating_sub(1)),
        }
    }
}
