//! Settings of a node that shape its behaviour. Addresses and file handling belong to the program.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::tuning::PlacementTuning;

/// Behaviour of a node. All durations are milliseconds in the settings file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeSettings {
    /// A node that has not heard the end of the configuration for this long refuses new work.
    pub freshness_bound_ms: u64,
    /// Longest wait of one read at the log's end. Word of the end is up to twice as old as this;
    /// once it is older than a third of the freshness bound, members are pinged for theirs. So a
    /// sixth of the bound is the most that leaves them in peace while the log answers.
    pub log_wait_ms: u64,
    /// Pause after a failed log request.
    pub log_retry_ms: u64,
    /// Patience with one request to another node.
    pub peer_timeout_ms: u64,
    /// Time between two reports asked of an engine.
    pub engine_poll_ms: u64,
    /// Time between two reads of the machine list.
    pub machine_poll_ms: u64,
    /// Deadline of a live request that names none.
    pub default_deadline_ms: u64,
    /// Longest wait of training work in an engine's queue before it asks elsewhere.
    pub training_patience_ms: u64,
    /// Number of partitions of the idempotency keys; the same on every node.
    pub partitions: u64,
    /// Number of decision streams; the same on every node.
    pub decision_shards: u64,
    /// Decisions kept in memory.
    pub recent_decisions: usize,
    /// Time between two batches of decisions sent to the log.
    pub decision_flush_ms: u64,
    /// Samples one job may have running at once on behalf of its owner.
    pub max_running_samples: usize,
    /// Samples of one job that wait for nothing but the log, at most, in one append.
    pub commit_batch: usize,
    /// Bytes of answers kept for repeats of repeatable requests.
    pub kept_answer_bytes: usize,
    /// Configuration records between two snapshots.
    pub snapshot_every: u64,
    /// Time a view must be stable before a member list is recorded.
    pub member_list_after_ms: u64,
    /// Executions of one request or sample before it is given up.
    pub max_executions: u32,
    /// Spread of a version swap over the engines of a pool.
    pub swap_spread_ms: u64,
    /// Fetches a second that the weight store allows, for spreading swaps.
    pub weight_fetches_per_second: u32,
    /// Placement, admission and job driving.
    pub placement: PlacementTuning,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            freshness_bound_ms: 10_000,
            log_wait_ms: 1_500,
            log_retry_ms: 500,
            peer_timeout_ms: 1_000,
            engine_poll_ms: 1_000,
            machine_poll_ms: 1_000,
            default_deadline_ms: 60_000,
            training_patience_ms: 1_000,
            partitions: 16,
            decision_shards: 4,
            recent_decisions: 20_000,
            decision_flush_ms: 1_000,
            max_running_samples: 4_096,
            commit_batch: 64,
            kept_answer_bytes: 16 * 1024 * 1024,
            snapshot_every: 1_000,
            member_list_after_ms: 3_000,
            max_executions: 12,
            swap_spread_ms: 5_000,
            weight_fetches_per_second: 200,
            placement: PlacementTuning::default(),
        }
    }
}

/// A setting outside its allowed range.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{key} is {value}, allowed: {allowed}")]
pub struct InvalidSetting {
    /// Key in the settings file.
    pub key: &'static str,
    /// Value given.
    pub value: String,
    /// Allowed range.
    pub allowed: &'static str,
}

impl NodeSettings {
    /// Checks every value against its allowed range.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        let ranges = [
            ("freshness_bound_ms", self.freshness_bound_ms, 1_000, 60_000),
            ("log_wait_ms", self.log_wait_ms, 10, 10_000),
            ("log_retry_ms", self.log_retry_ms, 10, 60_000),
            ("peer_timeout_ms", self.peer_timeout_ms, 10, 60_000),
            ("engine_poll_ms", self.engine_poll_ms, 10, 60_000),
            ("machine_poll_ms", self.machine_poll_ms, 10, 600_000),
            (
                "default_deadline_ms",
                self.default_deadline_ms,
                10,
                3_600_000,
            ),
            (
                "training_patience_ms",
                self.training_patience_ms,
                10,
                3_600_000,
            ),
            ("partitions", self.partitions, 1, 65_536),
            ("decision_shards", self.decision_shards, 1, 1_024),
            (
                "recent_decisions",
                self.recent_decisions as u64,
                1,
                10_000_000,
            ),
            ("decision_flush_ms", self.decision_flush_ms, 10, 600_000),
            (
                "max_running_samples",
                self.max_running_samples as u64,
                1,
                65_536,
            ),
            ("commit_batch", self.commit_batch as u64, 1, 4_096),
            (
                "kept_answer_bytes",
                self.kept_answer_bytes as u64,
                0,
                1 << 30,
            ),
            ("snapshot_every", self.snapshot_every, 10, 1_000_000),
            (
                "member_list_after_ms",
                self.member_list_after_ms,
                100,
                600_000,
            ),
            ("max_executions", u64::from(self.max_executions), 1, 1_000),
            ("swap_spread_ms", self.swap_spread_ms, 0, 600_000),
            (
                "weight_fetches_per_second",
                u64::from(self.weight_fetches_per_second),
                1,
                1_000_000,
            ),
        ];
        for (key, value, lowest, highest) in ranges {
            if value < lowest || value > highest {
                return Err(InvalidSetting {
                    key,
                    value: value.to_string(),
                    allowed: allowed_range(key),
                });
            }
        }
        self.placement.validate()?;
        if self.log_wait_ms * 3 > self.freshness_bound_ms {
            return Err(InvalidSetting {
                key: "log_wait_ms",
                value: self.log_wait_ms.to_string(),
                allowed: "at most a third of freshness_bound_ms",
            });
        }
        Ok(())
    }

    /// [`Self::freshness_bound_ms`] as a duration.
    pub fn freshness_bound(&self) -> Duration {
        Duration::from_millis(self.freshness_bound_ms)
    }

    /// [`Self::log_wait_ms`] as a duration.
    pub fn log_wait(&self) -> Duration {
        Duration::from_millis(self.log_wait_ms)
    }

    /// [`Self::log_retry_ms`] as a duration.
    pub fn log_retry(&self) -> Duration {
        Duration::from_millis(self.log_retry_ms)
    }

    /// [`Self::peer_timeout_ms`] as a duration.
    pub fn peer_timeout(&self) -> Duration {
        Duration::from_millis(self.peer_timeout_ms)
    }
}

fn allowed_range(key: &str) -> &'static str {
    match key {
        "freshness_bound_ms" => "1000 to 60000",
        "log_wait_ms" => "10 to 10000",
        "log_retry_ms" | "peer_timeout_ms" | "engine_poll_ms" => "10 to 60000",
        "machine_poll_ms" | "decision_flush_ms" => "10 to 600000",
        "default_deadline_ms" | "training_patience_ms" => "10 to 3600000",
        "partitions" | "max_running_samples" => "1 to 65536",
        "decision_shards" => "1 to 1024",
        "recent_decisions" => "1 to 10000000",
        "commit_batch" => "1 to 4096",
        "kept_answer_bytes" => "0 to 1073741824",
        "snapshot_every" => "10 to 1000000",
        "member_list_after_ms" => "100 to 600000",
        "max_executions" => "1 to 1000",
        "swap_spread_ms" => "0 to 600000",
        _ => "1 to 1000000",
    }
}
