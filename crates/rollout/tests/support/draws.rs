//! Random item lengths and length estimates, reproducible for a given seed.

use xxhash_rust::xxh3::xxh3_64;

/// Standard deviation of the logarithm of the lengths.
const LENGTH_SIGMA: f64 = 0.9;
/// Share of items that are much longer than the others.
const LONG_SHARE: f64 = 0.08;
/// Factor by which these items are longer.
const LONG_FACTOR: f64 = 5.0;
/// Standard deviation of the logarithm of the ratio of estimate to length.
const ESTIMATE_SIGMA: f64 = 0.5;

pub struct Draws {
    seed: u64,
    drawn: u64,
}

impl Draws {
    pub fn new(seed: u64) -> Self {
        Self { seed, drawn: 0 }
    }

    pub fn uniform(&mut self) -> f64 {
        self.drawn += 1;
        let hash = xxh3_64(&[self.seed.to_le_bytes(), self.drawn.to_le_bytes()].concat());
        (hash >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn normal(&mut self) -> f64 {
        let (radius, angle) = (1.0 - self.uniform(), self.uniform());
        (-2.0 * radius.ln()).sqrt() * (std::f64::consts::TAU * angle).cos()
    }

    /// Number of events of an item, not yet limited to the maximum length.
    pub fn length(&mut self, median: f64) -> f64 {
        let factor = if self.uniform() < LONG_SHARE {
            LONG_FACTOR
        } else {
            1.0
        };
        (median * factor * (LENGTH_SIGMA * self.normal()).exp()).max(1.0)
    }

    pub fn estimate_factor(&mut self) -> f64 {
        (ESTIMATE_SIGMA * self.normal()).exp()
    }
}
