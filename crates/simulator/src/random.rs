//! Seeded random numbers that parts of the simulation share.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The seed of one named part of a simulation. Parts draw from generators of their own, so that a
/// change to one leaves the numbers of the others as they were.
pub fn seed_of(seed: u64, part: &str) -> u64 {
    xxh3_64_with_seed(part.as_bytes(), seed)
}

/// A generator behind a lock.
#[derive(Debug)]
pub struct SharedRandom {
    generator: Mutex<ChaCha8Rng>,
}

impl SharedRandom {
    /// The generator of the part `part` of the simulation with this seed.
    pub fn new(seed: u64, part: &str) -> Self {
        let generator = ChaCha8Rng::seed_from_u64(seed_of(seed, part));
        Self {
            generator: Mutex::new(generator),
        }
    }

    /// Any number.
    pub fn number(&self) -> u64 {
        self.lock().next_u64()
    }

    /// A number below `bound`; 0 when the bound is 0.
    pub fn below(&self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.lock().random_range(0..bound)
    }

    /// Whether an event of this probability happens.
    pub fn chance(&self, probability: f64) -> bool {
        self.lock().random_bool(probability.clamp(0.0, 1.0))
    }

    /// A duration from zero up to `longest`, in microseconds.
    pub fn duration_up_to(&self, longest: Duration) -> Duration {
        let longest = u64::try_from(longest.as_micros()).unwrap_or(u64::MAX - 1);
        Duration::from_micros(self.below(longest.saturating_add(1)))
    }

    /// An exponentially distributed duration.
    pub fn exponential(&self, mean: Duration) -> Duration {
        let uniform: f64 = self.lock().random();
        mean.mul_f64(-(1.0 - uniform).ln())
    }

    fn lock(&self) -> MutexGuard<'_, ChaCha8Rng> {
        self.generator
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
