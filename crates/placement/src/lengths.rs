//! A running estimate of how many tokens finished answers had.

/// Weight of the newest length in the running mean.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the newest difference in the running mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// How many mean deviations above the mean the cautious estimate lies.
const CAUTION: f64 = 2.0;

/// Exponentially weighted mean and mean deviation of finished lengths, in tokens, weighted like
/// the round-trip estimate of TCP (RFC 6298).
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RunningLength {
    state: Option<MeanAndDeviation>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct MeanAndDeviation {
    mean: f64,
    deviation: f64,
}

impl RunningLength {
    /// Takes in the length of one finished answer.
    pub fn observe(&mut self, tokens: u32) {
        let tokens = f64::from(tokens);
        let next = match self.state {
            None => MeanAndDeviation {
                mean: tokens,
                deviation: tokens / 2.0,
            },
            Some(old) => MeanAndDeviation {
                mean: old.mean + MEAN_WEIGHT * (tokens - old.mean),
                deviation: old.deviation
                    + DEVIATION_WEIGHT * ((tokens - old.mean).abs() - old.deviation),
            },
        };
        self.state = Some(next);
    }

    /// The mean length, or `None` before the first observation.
    pub fn mean(&self) -> Option<u32> {
        self.state.map(|state| state.mean.round() as u32)
    }

    /// A length that most answers stay below, or `None` before the first observation.
    pub fn cautious(&self) -> Option<u32> {
        self.state
            .map(|state| (state.mean + CAUTION * state.deviation).ceil() as u32)
    }
}
