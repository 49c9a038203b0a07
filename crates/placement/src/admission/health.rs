//! Whether an engine may receive new work: stop reasons, the circuit breaker, and recovery, in
//! which requests are admitted one at a time after a failure.

use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::decision::EngineStopReason;
use havenstage_types::ids::AttemptId;
use havenstage_types::peer::ReleaseReason;

use super::permits::HeldPermit;

/// How long a probe request must have run before a report without KV pressure counts it as a
/// success. Longer than the lag of reports, so that the report covers the probe.
const MIN_PROBE_RUN_TIME: Duration = Duration::from_secs(3);

/// Stop reasons, circuit breaker and recovery state of one engine.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineHealth {
    stops: Vec<EngineStopReason>,
    unreachable_in_a_row: u32,
    boot: Option<u64>,
    /// Incremented whenever recovery begins. Failures of permits from an older generation do not
    /// restart the recovery.
    generation: u64,
    /// Successes still needed before recovery ends; zero when the engine is not recovering.
    successes_needed: u32,
    /// The one request that runs during recovery, with the time of its grant.
    probe: Option<(AttemptId, Moment)>,
}

impl EngineHealth {
    /// Adds a stop reason; returns `false` when it was present already.
    pub fn stop(&mut self, reason: EngineStopReason) -> bool {
        if self.stops.contains(&reason) {
            return false;
        }
        self.stops.push(reason);
        true
    }

    /// Removes a stop reason; returns `true` when it was the last one, so that work resumes.
    pub fn resume(&mut self, reason: EngineStopReason) -> bool {
        let was_stopped = self.is_stopped();
        self.stops.retain(|&other| other != reason);
        was_stopped && !self.is_stopped()
    }

    pub fn is_stopped(&self) -> bool {
        !self.stops.is_empty()
    }

    pub fn is_stopped_by(&self, reason: EngineStopReason) -> bool {
        self.stops.contains(&reason)
    }

    /// Counts a failure to reach the engine; returns `true` from the `limit`-th in a row on.
    pub fn count_unreachable(&mut self, limit: u32) -> bool {
        self.unreachable_in_a_row = self.unreachable_in_a_row.saturating_add(1);
        self.unreachable_in_a_row >= limit
    }

    /// Resets the count of failures to reach the engine.
    pub fn record_contact(&mut self) {
        self.unreachable_in_a_row = 0;
    }

    /// Stores the boot id; returns `true` when the engine has restarted since the last report.
    pub fn observe_boot(&mut self, boot: u64) -> bool {
        let last = self.boot.replace(boot);
        last.is_some_and(|last| last != boot)
    }

    /// Starts recovery: requests are admitted one at a time until `successes` have succeeded.
    pub fn begin_recovery(&mut self, successes: u32) {
        self.generation += 1;
        self.successes_needed = successes;
        self.probe = None;
    }

    pub fn generation(&self) -> u64 {
        self.generation
    }

    pub fn is_recovering(&self) -> bool {
        self.successes_needed > 0
    }

    /// Whether one more request may start now: the engine is not stopped and no probe is running.
    pub fn can_admit(&self) -> bool {
        let has_running_probe = self.is_recovering() && self.probe.is_some();
        !self.is_stopped() && !has_running_probe
    }

    /// Makes the granted attempt the probe if the engine is recovering.
    pub fn record_grant(&mut self, now: Moment, attempt: AttemptId) {
        if self.is_recovering() {
            self.probe = Some((attempt, now));
        }
    }

    /// Applies the end of a permit. `end` is `None` when the permit expired or its holder died,
    /// which counts neither as a success nor as a failure.
    pub fn record_end(&mut self, held: &HeldPermit, end: Option<ReleaseReason>, successes: u32) {
        if end == Some(ReleaseReason::EngineFailed) && held.generation == self.generation {
            self.begin_recovery(successes);
            return;
        }
        if !self.is_probe(held.permit.attempt) {
            return;
        }
        self.probe = None;
        match end {
            Some(ReleaseReason::Ended) => self.successes_needed -= 1,
            Some(_) => self.successes_needed = successes,
            None => {}
        }
    }

    /// Applies a report without KV pressure: a probe that has run for [`MIN_PROBE_RUN_TIME`] counts
    /// as a success.
    pub fn record_healthy_report(&mut self, now: Moment) {
        let has_succeeded = self
            .probe
            .is_some_and(|(_, granted_at)| now.since(granted_at) >= MIN_PROBE_RUN_TIME);
        if has_succeeded {
            self.probe = None;
            self.successes_needed -= 1;
        }
    }

    fn is_probe(&self, attempt: AttemptId) -> bool {
        self.probe.is_some_and(|(probe, _)| probe == attempt)
    }
}
