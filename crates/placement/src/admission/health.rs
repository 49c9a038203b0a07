//! Whether an engine may get new work, and how carefully: stops, the circuit breaker, and the
//! re-admission one at a time after a failure.

use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::decision::EngineStopReason;
use havenstage_types::ids::AttemptId;
use havenstage_types::peer::ReleaseReason;

use super::permits::HeldPermit;

/// How long a single request must have run before a good report counts it as a success; longer
/// than reports lag.
const PROBE_TIME: Duration = Duration::from_secs(3);

/// The health of one engine.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineHealth {
    stops: Vec<EngineStopReason>,
    unreachable_in_a_row: u32,
    boot: Option<u64>,
    /// Raised whenever careful re-admission begins; failures of older permits are old news.
    generation: u64,
    successes_needed: u32,
    probe: Option<(AttemptId, Moment)>,
}

impl EngineHealth {
    /// Adds a reason to stop; `false` when it was known.
    pub fn stop(&mut self, reason: EngineStopReason) -> bool {
        if self.stops.contains(&reason) {
            return false;
        }
        self.stops.push(reason);
        true
    }

    /// Takes a reason back; `true` when it was the last one and the engine gets work again.
    pub fn resume(&mut self, reason: EngineStopReason) -> bool {
        let was_stopped = self.is_stopped();
        self.stops.retain(|&other| other != reason);
        was_stopped && !self.is_stopped()
    }

    pub fn is_stopped(&self) -> bool {
        !self.stops.is_empty()
    }

    /// Whether `reason` stops the engine.
    pub fn is_stopped_by(&self, reason: EngineStopReason) -> bool {
        self.stops.contains(&reason)
    }

    /// Counts a failure to reach the engine; `true` when there were `limit` in a row.
    pub fn count_unreachable(&mut self, limit: u32) -> bool {
        self.unreachable_in_a_row = self.unreachable_in_a_row.saturating_add(1);
        self.unreachable_in_a_row >= limit
    }

    /// The engine answered.
    pub fn reached(&mut self) {
        self.unreachable_in_a_row = 0;
    }

    /// Remembers the boot id; `true` when the engine has restarted since the last report.
    pub fn observe_boot(&mut self, boot: u64) -> bool {
        let last = self.boot.replace(boot);
        last.is_some_and(|last| last != boot)
    }

    /// Begins to admit one at a time until `successes` went well.
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

    /// Whether one more request may start now.
    pub fn admits_one_more(&self) -> bool {
        let probe_runs = self.is_recovering() && self.probe.is_some();
        !self.is_stopped() && !probe_runs
    }

    pub fn granted(&mut self, now: Moment, attempt: AttemptId) {
        if self.is_recovering() {
            self.probe = Some((attempt, now));
        }
    }

    /// A permit ended; `None` when it ran out or its holder died, which proves nothing.
    pub fn ended(&mut self, held: &HeldPermit, end: Option<ReleaseReason>, successes: u32) {
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

    /// A report without pressure came: a request that has run for a while counts as a success.
    pub fn good_report(&mut self, now: Moment) {
        let proved = self
            .probe
            .is_some_and(|(_, granted_at)| now.since(granted_at) >= PROBE_TIME);
        if proved {
            self.probe = None;
            self.successes_needed -= 1;
        }
    }

    fn is_probe(&self, attempt: AttemptId) -> bool {
        self.probe.is_some_and(|(probe, _)| probe == attempt)
    }
}
