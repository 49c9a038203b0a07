//! Running estimate of the length of finished outputs, in tokens.

/// Weight of the newest length in the mean.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the newest difference in the mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Number of mean deviations that the cautious estimate lies above the mean.
const CAUTIOUS_DEVIATIONS: f64 = 2.0;

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
    /// Updates the estimate with the length of one finished output, in tokens.
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

    /// The mean length in tokens; `None` before the first observation.
    pub fn mean(&self) -> Option<u32> {
        self.state.map(|state| state.mean.round() as u32)
    }

    /// A length in tokens that most outputs stay below; `None` before the first observation.
    pub fn cautious(&self) -> Option<u32> {
        self.state
            .map(|state| (state.mean + CAUTIOUS_DEVIATIONS * state.deviation).ceil() as u32)
    }
}
