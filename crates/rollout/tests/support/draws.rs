//! Draws of lengths and guesses, the same for the same seed.

use xxhash_rust::xxh3::xxh3_64;

/// Spread of lengths around their median, as a standard deviation of their logarithms.
const LENGTH_SPREAD: f64 = 0.9;
/// Share of items that are much longer, and how much.
const LONG_SHARE: f64 = 0.08;
const LONG_FACTOR: f64 = 5.0;
/// Spread of guesses around the length.
const GUESS_SPREAD: f64 = 0.5;

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

    /// Events of an item, before the greatest length cuts it.
    pub fn length(&mut self, median: f64) -> f64 {
        let factor = if self.uniform() < LONG_SHARE {
            LONG_FACTOR
        } else {
            1.0
        };
        (median * factor * (LENGTH_SPREAD * self.normal()).exp()).max(1.0)
    }

    pub fn guess_factor(&mut self) -> f64 {
        (GUESS_SPREAD * self.normal()).exp()
    }
}
