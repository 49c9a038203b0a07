//! Settings of a replica group; the same on all nodes.

use std::time::Duration;

use thiserror::Error;

/// Clocks are taken to differ in rate by less than one part in this.
const CLOCK_MARGIN: u32 = 100;

/// Times and sizes of a replica group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// Time between two heartbeats of a leader that has work, and before an unanswered append is
    /// sent again.
    pub heartbeat_interval: Duration,
    /// Shortest time after which a follower that has work doubts a silent leader. The longest is
    /// twice this; each wait is drawn at random between the two.
    pub election_timeout: Duration,
    /// How long one demand for a leader lasts.
    pub demand_duration: Duration,
    /// A committed entry that the log has not taken for this long is acknowledged on a majority
    /// alone.
    pub outage_after: Duration,
    /// How long the log must have been prompt before an outage ends, so that a slow log does not
    /// make every other request wait.
    pub calm_after: Duration,
    /// How long entries are acknowledged on a majority alone after the log last confirmed that the
    /// group is in force.
    pub outage_limit: Duration,
    /// Entries in one append to a member or one batch to the log, at most.
    pub max_batch_entries: usize,
    /// Bytes of commands in one append or batch, at most; one command always fits.
    pub max_batch_bytes: usize,
    /// Bytes of entries kept in memory above which no new work is taken.
    pub memory_budget_bytes: usize,
    /// Entries kept after the log has them, for members that are behind.
    pub kept_logged_entries: usize,
    /// Average pause between two batches while there is a backlog.
    pub flush_pause: Duration,
    /// Shortest pause after a failed append to the log; doubles up to [`Self::max_flush_retry`].
    pub flush_retry: Duration,
    /// Longest pause after a failed append to the log.
    pub max_flush_retry: Duration,
    /// Time in which a batch the log took must be read back before it is sent again.
    pub read_back_timeout: Duration,
    /// A member that knows committed entries and hears no leader for this long flushes them itself.
    pub takeover_after: Duration,
    /// How long a member must be missing before its group is replaced.
    pub replace_after: Duration,
    /// A leader that has not read the log to its end for this long has the members consent to an
    /// outage, although nobody asked for anything yet.
    pub unread_after: Duration,
    /// How long a majority must be missing before the group is doubted in the log.
    pub doubt_after: Duration,
    /// How long a doubt must go unanswered before the group is replaced.
    pub lost_after: Duration,
    /// A grant must be used within this time of being asked for.
    pub grant_validity: Duration,
    /// How long after it was granted a request may still be repeated by its caller. It bounds what
    /// can be promised after a group was lost with records that the log has not got.
    pub repeat_horizon: Duration,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            election_timeout: Duration::from_millis(1_500),
            demand_duration: Duration::from_secs(5),
            outage_after: Duration::from_millis(500),
            calm_after: Duration::from_secs(30),
            outage_limit: Duration::from_secs(75 * 60),
            max_batch_entries: 256,
            max_batch_bytes: 256 * 1024,
            memory_budget_bytes: 16 * 1024 * 1024,
            kept_logged_entries: 256,
            flush_pause: Duration::from_millis(50),
            flush_retry: Duration::from_millis(250),
            max_flush_retry: Duration::from_secs(5),
            read_back_timeout: Duration::from_secs(5),
            takeover_after: Duration::from_secs(10),
            replace_after: Duration::from_secs(5),
            unread_after: Duration::from_secs(6),
            doubt_after: Duration::from_secs(15),
            lost_after: Duration::from_secs(15),
            grant_validity: Duration::from_secs(120),
            repeat_horizon: Duration::from_secs(60 * 60),
        }
    }
}

/// Why settings cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidReplicaSettings {
    /// A time or size that must be positive is zero.
    #[error("{field} must not be zero")]
    Zero {
        /// The field.
        field: &'static str,
    },
    /// One time must be shorter than another.
    #[error("{shorter} must be shorter than {longer}")]
    Order {
        /// The field that must be the shorter one.
        shorter: &'static str,
        /// The field that must be the longer one.
        longer: &'static str,
    },
}

impl ReplicaSettings {
    /// How long after a loss was recorded a key without a record is answered as unknown: as long as
    /// the lost group may have gone on granting, and then as long as its callers may repeat. One
    /// part in [`CLOCK_MARGIN`] is added, since clocks do not run alike.
    pub fn loss_window(&self) -> Duration {
        let window = self.outage_limit + self.grant_validity + self.repeat_horizon;
        window + window / CLOCK_MARGIN
    }

    /// Checks the ranges.
    pub fn validate(&self) -> Result<(), InvalidReplicaSettings> {
        let sizes = [
            ("max_batch_entries", self.max_batch_entries),
            ("max_batch_bytes", self.max_batch_bytes),
            ("memory_budget_bytes", self.memory_budget_bytes),
        ];
        let times = [
            ("heartbeat_interval", self.heartbeat_interval),
            ("flush_retry", self.flush_retry),
            ("read_back_timeout", self.read_back_timeout),
        ];
        let zero_size = sizes.into_iter().find(|(_, size)| *size == 0);
        let zero_time = times.into_iter().find(|(_, time)| time.is_zero());
        let zero_field = zero_size.map(|(field, _)| field);
        if let Some(field) = zero_field.or(zero_time.map(|(field, _)| field)) {
            return Err(InvalidReplicaSettings::Zero { field });
        }
        self.validate_order()
    }

    fn validate_order(&self) -> Result<(), InvalidReplicaSettings> {
        let orders = [
            (
                ("heartbeat_interval", self.heartbeat_interval),
                ("election_timeout", self.election_timeout),
            ),
            (
                ("flush_retry", self.flush_retry),
                ("max_flush_retry", self.max_flush_retry),
            ),
            (
                ("outage_after", self.outage_after),
                ("outage_limit", self.outage_limit),
            ),
        ];
        for ((shorter, short), (longer, long)) in orders {
            if short >= long {
                return Err(InvalidReplicaSettings::Order { shorter, longer });
            }
        }
        Ok(())
    }
}
