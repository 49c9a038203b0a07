//! The state machine of one engine's admission.

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

/// Admission at the home of one engine.
///
/// Every ask gets exactly one [`AdmissionAction::Grant`] or [`AdmissionAction::Refuse`], at once or
/// later; an ask repeated while the first one waits shares its answer.
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
    /// Version that was ordered and is not reported yet.
    pub(super) swapping_to: Option<VersionNumber>,
}

impl EngineAdmission {
    /// An engine nobody has heard of yet, without work.
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

    /// Replaces the limits. Work that runs is not cut off when they shrink.
    pub fn set_limits(&mut self, now: Moment, limits: AdmissionLimits) -> Vec<AdmissionAction> {
        self.limits = limits;
        self.advance(now)
    }

    /// Grants, queues or refuses a request. Asking again with an attempt that holds a permit gives
    /// the same permit.
    pub fn admit(&mut self, now: Moment, request: AdmitRequest) -> Vec<AdmissionAction> {
        if let Some(held) = self.permits.get(request.attempt) {
            return vec![AdmissionAction::Grant(held.permit.clone())];
        }
        if self.recently_ended.contains(request.attempt) {
            return vec![self.refuse(request.attempt, refusals::ask_ended())];
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

    /// Ends a permit, or an ask that still waits. Unknown attempts are remembered, in case their
    /// ask is still on the way.
    pub fn release(&mut self, now: Moment, request: &ReleaseRequest) -> Vec<AdmissionAction> {
        self.recently_ended.insert(now, request.attempt);
        let mut actions = Vec::new();
        if self.queue.remove(request.attempt).is_some() {
            actions.push(self.refuse(request.attempt, refusals::ask_ended()));
        }
        if let Some(held) = self.permits.remove(request.attempt) {
            self.release_rate.record(now);
            if let Some(tokens) = request.generated_tokens.filter(|_| !held.is_live) {
                self.observe_training_length(tokens);
            }
            self.learn_from_end(&held, request.end, &mut actions);
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Ends waits whose patience has passed and permits that are too old. Call it a few times a
    /// second.
    pub fn tick(&mut self, now: Moment) -> Vec<AdmissionAction> {
        self.recently_ended.forget_old(now);
        let max_age_ms = self.limits.max_permit_age.as_millis() as u64;
        if let Some(oldest) = now.0.checked_sub(max_age_ms) {
            for attempt in self.permits.granted_until(Moment(oldest)) {
                self.end_without_news(now, attempt);
            }
        }
        self.advance(now)
    }

    /// Notes that a version was ordered on the engine. Until the engine reports it, or reports that
    /// the swap failed, live work that does not want to wait is sent elsewhere: the engine will
    /// stand still while it loads.
    pub fn swap_ordered(&mut self, version: VersionNumber) {
        self.swapping_to = Some(version);
    }

    /// Takes in what the engine reports about itself.
    pub fn report(&mut self, now: Moment, report: &LoadReport) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.version = report.version;
        let ended =
            |version| report.version >= Some(version) || report.failed_swap == Some(version);
        if self.swapping_to.is_some_and(ended) {
            self.swapping_to = None;
        }
        self.kv.observe_report(report);
        self.health.reached();
        if self.health.observe_boot(report.boot) {
            self.health.begin_recovery(self.limits.recovery_successes);
        } else if !self.kv.is_under_pressure(&self.limits) {
            self.health.good_report(now);
        }
        if self.health.is_stopped_by(EngineStopReason::Unreachable) {
            self.health.begin_recovery(self.limits.recovery_successes);
            actions.extend(self.resume(now, EngineStopReason::Unreachable));
        }
        let by_report = if report.leaving {
            self.stop(now, EngineStopReason::EngineReport)
        } else {
            self.resume(now, EngineStopReason::EngineReport)
        };
        actions.extend(by_report);
        actions.extend(self.advance(now));
        actions
    }

    /// Counts a failed try of the home to get a report. After a number of failures in a row the
    /// engine is stopped as unreachable, until a report comes.
    pub fn unreachable(&mut self, now: Moment) -> Vec<AdmissionAction> {
        if self
            .health
            .count_unreachable(self.limits.unreachable_failures)
        {
            return self.stop(now, EngineStopReason::Unreachable);
        }
        Vec::new()
    }

    /// Takes in the number of tokens a finished training request generated, so that the projected
    /// KV use of the next ones fits.
    pub fn observe_training_length(&mut self, generated_tokens: u32) {
        self.kv.observe_training_length(generated_tokens);
    }

    /// Gives the engine no more new work and refuses what waits; what runs may finish.
    pub fn stop(&mut self, _now: Moment, reason: EngineStopReason) -> Vec<AdmissionAction> {
        if !self.health.stop(reason) {
            return Vec::new();
        }
        let mut actions = vec![AdmissionAction::EngineStopped(reason)];
        self.refuse_queue(&mut actions);
        actions
    }

    /// Takes back one reason to stop; the engine gets work again when no other is left.
    pub fn resume(&mut self, now: Moment, reason: EngineStopReason) -> Vec<AdmissionAction> {
        if !self.health.resume(reason) {
            return Vec::new();
        }
        let mut actions = vec![AdmissionAction::EngineResumed];
        actions.extend(self.advance(now));
        actions
    }

    /// Ends all permits and asks of a node that is dead.
    pub fn drop_holder(&mut self, now: Moment, node: NodeId) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        for attempt in self.queue.asked_by(node) {
            self.queue.remove(attempt);
            actions.push(self.refuse(attempt, refusals::ask_ended()));
        }
        for attempt in self.permits.held_by(node) {
            self.end_without_news(now, attempt);
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Requests running and queued.
    pub fn load(&self) -> u32 {
        self.in_flight() + self.queued()
    }

    /// Permits held.
    pub fn in_flight(&self) -> u32 {
        self.permits.running()
    }

    /// Permits held by training work.
    pub fn training_in_flight(&self) -> u32 {
        self.permits.training()
    }

    /// Requests waiting.
    pub fn queued(&self) -> u32 {
        self.queue.len()
    }

    /// KV tokens that the permits held are projected to use.
    pub fn kv_projected_tokens(&self) -> u64 {
        self.permits.kv_tokens()
    }

    /// KV tokens that projected use may reach.
    pub fn kv_budget_tokens(&self) -> u64 {
        self.kv.budget_tokens(&self.limits)
    }

    /// Whether the engine gets no new work.
    pub fn is_stopped(&self) -> bool {
        self.health.is_stopped()
    }

    /// Whether work is admitted one at a time after a failure.
    pub fn is_recovering(&self) -> bool {
        self.health.is_recovering()
    }

    /// Version last reported.
    pub fn version(&self) -> Option<VersionNumber> {
        self.version
    }
}
