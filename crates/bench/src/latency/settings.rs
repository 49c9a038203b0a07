//! Settings of the measurement.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::case::Case;

/// Share of the time spent on latency, in percent; the rest goes to throughput.
const LATENCY_PERCENT: u32 = 70;

/// How long and with what the system is measured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LatencySettings {
    /// Seconds of the whole measurement, without warm-up.
    pub seconds: u32,
    /// Times that latency of every case is measured; the order turns by one each time.
    pub latency_rounds: u32,
    /// Times that throughput of every path is measured.
    pub throughput_rounds: u32,
    /// Connections that put load on at once while latency is measured.
    pub latency_connections: u32,
    /// Connections that put load on at once while throughput is measured.
    pub throughput_connections: u32,
    /// Requests of each case sent before anything is measured.
    pub warm_up_requests: u32,
    /// Bytes of each prompt.
    pub prompt_bytes: usize,
    /// Tokens of each answer.
    pub answer_tokens: u32,
}

impl Default for LatencySettings {
    fn default() -> Self {
        Self {
            seconds: 60,
            latency_rounds: 10,
            throughput_rounds: 3,
            latency_connections: 1,
            throughput_connections: 64,
            warm_up_requests: 200,
            prompt_bytes: 256,
            answer_tokens: 16,
        }
    }
}

/// A setting outside its allowed range.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{field} is {value}, allowed: {allowed}")]
pub struct InvalidLatencySettings {
    /// Name of the field.
    pub field: &'static str,
    /// Value given.
    pub value: u64,
    /// Allowed range.
    pub allowed: &'static str,
}

impl LatencySettings {
    /// Checks every field against its allowed range.
    pub fn validate(&self) -> Result<(), InvalidLatencySettings> {
        let ranges = [
            ("seconds", u64::from(self.seconds), 86_400, "1 to 86400"),
            (
                "latency_rounds",
                u64::from(self.latency_rounds),
                1_000,
                "1 to 1000",
            ),
            (
                "throughput_rounds",
                u64::from(self.throughput_rounds),
                1_000,
                "1 to 1000",
            ),
            (
                "latency_connections",
                u64::from(self.latency_connections),
                1_024,
                "1 to 1024",
            ),
            (
                "throughput_connections",
                u64::from(self.throughput_connections),
                1_024,
                "1 to 1024",
            ),
            (
                "warm_up_requests",
                u64::from(self.warm_up_requests),
                1_000_000,
                "1 to 1000000",
            ),
            (
                "prompt_bytes",
                self.prompt_bytes as u64,
                1_000_000,
                "1 to 1000000",
            ),
            (
                "answer_tokens",
                u64::from(self.answer_tokens),
                4_096,
                "1 to 4096",
            ),
        ];
        for (field, value, highest, allowed) in ranges {
            if !(1..=highest).contains(&value) {
                return Err(InvalidLatencySettings {
                    field,
                    value,
                    allowed,
                });
            }
        }
        Ok(())
    }

    /// Length of one slice of the latency measurement.
    pub fn latency_slice(&self) -> Duration {
        let all = Duration::from_secs(u64::from(self.seconds)) * LATENCY_PERCENT / 100;
        all / (self.latency_rounds * Case::LATENCY.len() as u32)
    }

    /// Length of one slice of the throughput measurement.
    pub fn throughput_slice(&self) -> Duration {
        let all = Duration::from_secs(u64::from(self.seconds)) * (100 - LATENCY_PERCENT) / 100;
        all / (self.throughput_rounds * Case::THROUGHPUT.len() as u32)
    }
}
