//! The admission state machine of one engine.

use havenstage_types::clock::Moment;
use havenstage_types::decision::EngineStopReason;
use havenstage_types::engine::LoadReport;
use havenstage_types::ids::{EngineName, NodeId, VersionNumber};
use havenstage_types::peer::{AdmitRequest, ReleaseRequest};

use super::action::AdmissionAction;
use super::health::EngineHealth;
use super::kv_budget::KvBudget;
use super::limits::AdmissionLimits;
use super::permits::PermitTable;
use super::queue::AdmissionQueue;
use super::recently_ended::RecentlyEnded;
use super::refusals;
use super::release_rate::ReleaseRate;

/// Admission control of one engine, run by the engine's home node.
///
/// Every admission request gets exactly one [`AdmissionAction::Grant`] or
/// [`AdmissionAction::Refuse`], immediately or later. A request repeated while the first one is
/// queued shares its answer.
#[derive(Debug, Clone)]
pub struct EngineAdmission {
    pub(super) engine: EngineName,
    pub(super) limits: AdmissionLimits,
    pub(super) version: Option<VersionNumber>,
    pub(super) health: EngineHealth,
    pub(super) kv: KvBudget,
    pub(super) queue: AdmissionQueue,
    pub(super) permits: PermitTable,
    pub(super) recently_ended: RecentlyEnded,
    pub(super) release_rate: ReleaseRate,
    pub(super) grants: u64,
    /// Version that the engine was ordered to load and has neither reported nor failed to load.
    pub(super) swapping_to: Option<VersionNumber>,
}

impl EngineAdmission {
    /// Creates the state of an engine that has not reported yet and has no work.
    pub fn new(engine: EngineName, limits: AdmissionLimits) -> Self {
        Self {
            engine,
            limits,
            version: None,
            health: EngineHealth::default(),
            kv: KvBudget::default(),
            queue: AdmissionQueue::default(),
            permits: PermitTable::default(),
            recently_ended: RecentlyEnded::default(),
            release_rate: ReleaseRate::default(),
            grants: 0,
            swapping_to: None,
        }
    }

    /// Replaces the limits. Running work continues when the limits shrink.
    pub fn set_limits(&mut self, now: Moment, limits: AdmissionLimits) -> Vec<AdmissionAction> {
        self.limits = limits;
        self.advance(now)
    }

    /// Grants, queues or refuses a request. A repeated request of an attempt that holds a permit
    /// gets the same permit.
    pub fn admit(&mut self, now: Moment, request: AdmitRequest) -> Vec<AdmissionAction> {
        if let Some(held) = self.permits.get(request.attempt) {
            return vec![AdmissionAction::Grant(held.permit.clone())];
        }
        if self.recently_ended.contains(request.attempt) {
            return vec![self.refuse(request.attempt, refusals::request_ended())];
        }
        if self.health.is_stopped() {
            return vec![self.refuse(request.attempt, self.stopped_refusal())];
        }
        if !self.queue.renew(now, &request) {
            let longest_first = self.limits.longest_training_first;
            self.queue.push(now, request, longest_first);
        }
        self.advance(now)
    }

    /// Ends a permit or a queued request. Unknown attempts are remembered too, because their
    /// admission request may still be in flight.
    pub fn release(&mut self, now: Moment, request: &ReleaseRequest) -> Vec<AdmissionAction> {
        self.recently_ended.insert(now, request.attempt);
        let mut actions = Vec::new();
        if self.queue.remove(request.attempt).is_some() {
            actions.push(self.refuse(request.attempt, refusals::request_ended()));
        }
        if let Some(held) = self.permits.remove(request.attempt) {
            self.release_rate.record(now);
            if let Some(tokens) = request.generated_tokens.filter(|_| !held.is_live) {
                self.observe_training_length(tokens);
            }
            self.record_permit_end(&held, request.end, &mut actions);
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Refuses queued requests whose maximum wait has passed and ends permits older than
    /// [`AdmissionLimits::max_permit_age`]. Called a few times a second.
    pub fn tick(&mut self, now: Moment) -> Vec<AdmissionAction> {
        self.recently_ended.remove_expired(now);
        let max_age_ms = self.limits.max_permit_age.as_millis() as u64;
        if let Some(oldest) = now.0.checked_sub(max_age_ms) {
            for attempt in self.permits.granted_at_or_before(Moment(oldest)) {
                self.end_without_outcome(now, attempt);
            }
        }
        self.advance(now)
    }

    /// Records that the engine was ordered to load `version`. Until the engine reports that version
    /// or a failed swap, live requests with zero `patience` are not granted, so that they try
    /// another engine: an engine serves nothing while it loads.
    pub fn record_swap_order(&mut self, version: VersionNumber) {
        self.swapping_to = Some(version);
    }

    /// Applies a load report of the engine: its version, KV use, boot id and whether it is leaving.
    /// A report also closes the circuit breaker.
    pub fn record_report(&mut self, now: Moment, report: &LoadReport) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.version = report.version;
        let has_ended =
            |version| report.version >= Some(version) || report.failed_swap == Some(version);
        if self.swapping_to.is_some_and(has_ended) {
            self.swapping_to = None;
        }
        self.kv.observe_report(report);
        self.health.record_contact();
        if self.health.observe_boot(report.boot) {
            self.health.begin_recovery(self.limits.recovery_successes);
        } else if !self.kv.is_under_pressure(&self.limits) {
            self.health.record_healthy_report(now);
        }
        if self.health.is_stopped_by(EngineStopReason::Unreachable) {
            self.health.begin_recovery(self.limits.recovery_successes);
            actions.extend(self.resume(now, EngineStopReason::Unreachable));
        }
        let stop_or_resume = if report.leaving {
            self.stop(now, EngineStopReason::EngineReport)
        } else {
            self.resume(now, EngineStopReason::EngineReport)
        };
        actions.extend(stop_or_resume);
        actions.extend(self.advance(now));
        actions
    }

    /// Counts a failed attempt of the home node to fetch a report. After
    /// [`AdmissionLimits::unreachable_failures`] failures in a row the engine is stopped as
    /// unreachable until it reports again.
    pub fn record_unreachable(&mut self, now: Moment) -> Vec<AdmissionAction> {
        if self
            .health
            .count_unreachable(self.limits.unreachable_failures)
        {
            return self.stop(now, EngineStopReason::Unreachable);
        }
        Vec::new()
    }

    /// Records the number of tokens that a finished training request generated. The projected KV
    /// use of later training requests is based on it.
    pub fn observe_training_length(&mut self, generated_tokens: u32) {
        self.kv.observe_training_length(generated_tokens);
    }

    /// Stops new work for the engine and refuses the queued requests. Running requests may finish.
    pub fn stop(&mut self, _now: Moment, reason: EngineStopReason) -> Vec<AdmissionAction> {
        if !self.health.stop(reason) {
            return Vec::new();
        }
        let mut actions = vec![AdmissionAction::EngineStopped(reason)];
        self.refuse_queue(&mut actions);
        actions
    }

    /// Removes one stop reason. The engine receives work again when no other reason is left.
    pub fn resume(&mut self, now: Moment, reason: EngineStopReason) -> Vec<AdmissionAction> {
        if !self.health.resume(reason) {
            return Vec::new();
        }
        let mut actions = vec![AdmissionAction::EngineResumed];
        actions.extend(self.advance(now));
        actions
    }

    /// Ends all permits and queued requests of a dead node.
    pub fn drop_holder(&mut self, now: Moment, node: NodeId) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        for attempt in self.queue.requested_by(node) {
            self.queue.remove(attempt);
            actions.push(self.refuse(attempt, refusals::request_ended()));
        }
        for attempt in self.permits.held_by(node) {
            self.end_without_outcome(now, attempt);
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Number of requests running and queued.
    pub fn load(&self) -> u32 {
        self.in_flight() + self.queued()
    }

    /// Number of permits held, which is the number of running requests.
    pub fn in_flight(&self) -> u32 {
        self.permits.running()
    }

    /// Number of permits held by training requests.
    pub fn training_in_flight(&self) -> u32 {
        self.permits.training()
    }

    /// Number of requests in the queue.
    pub fn queued(&self) -> u32 {
        self.queue.len()
    }

    /// KV tokens that the requests with permits are projected to use together.
    pub fn kv_projected_tokens(&self) -> u64 {
        self.permits.kv_tokens()
    }

    /// Upper bound of the projected KV use, in tokens.
    pub fn kv_budget_tokens(&self) -> u64 {
        self.kv.budget_tokens(&self.limits)
    }

    /// Whether the engine receives no new work.
    pub fn is_stopped(&self) -> bool {
        self.health.is_stopped()
    }

    /// Whether requests are admitted one at a time because the engine failed or restarted.
    pub fn is_recovering(&self) -> bool {
        self.health.is_recovering()
    }

    /// Version that the engine last reported; `None` when it has reported none.
    pub fn version(&self) -> Option<VersionNumber> {
        self.version
    }
}
