//! Queue processing of one engine: which requests are granted, refused or preempted after each
//! event.

use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::decision::EngineStopReason;
use havenstage_types::ids::AttemptId;
use havenstage_types::peer::{AdmitRequest, Permit, ReleaseReason};
use havenstage_types::refusal::Refusal;

use super::action::AdmissionAction;
use super::engine::EngineAdmission;
use super::permits::HeldPermit;
use super::preemption::{Shortage, choose_victims};
use super::queue::QueuedRequest;
use super::refusals;

/// Time after its grant within which a permit must be used to dispatch the request.
pub const DISPATCH_WINDOW: Duration = Duration::from_secs(1);

impl EngineAdmission {
    /// Processes the queue: grants the requests that fit, refuses those that exceed the queue
    /// limit or their maximum wait, then preempts training for the live requests that remain.
    pub(super) fn advance(&mut self, now: Moment) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        if self.health.is_stopped() {
            return actions;
        }
        self.grant_from_queue(now, &mut actions);
        self.refuse_overflow(&mut actions);
        self.refuse_expired(now, &mut actions);
        self.preempt_for_live(&mut actions);
        actions
    }

    fn grant_from_queue(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        while let Some(first) = self.queue.first() {
            let permanent_refusal = self.permanent_refusal(&first.request);
            if permanent_refusal.is_none() && !self.fits(&first.request) {
                return;
            }
            let Some(entry) = self.queue.pop_first() else {
                return;
            };
            actions.push(match permanent_refusal {
                Some(refusal) => self.refuse(entry.request.attempt, refusal),
                None => AdmissionAction::Grant(self.grant(now, &entry)),
            });
        }
    }

    /// The refusal for a request that could not run even on an idle engine: its version bound is
    /// above the engine's current version, or its projected KV use exceeds the whole budget.
    fn permanent_refusal(&self, request: &AdmitRequest) -> Option<Refusal> {
        // `None` sorts before `Some`: an engine without a known version is older than any bound.
        if self.version < request.oldest_version {
            return Some(refusals::version_too_old());
        }
        if self.kv.projected_tokens(request, &self.limits) > self.kv_budget_tokens() {
            return Some(refusals::overloaded(&self.limits.pool, None));
        }
        None
    }

    fn fits(&self, request: &AdmitRequest) -> bool {
        let kv_tokens = self.kv.projected_tokens(request, &self.limits);
        self.health.can_admit()
            && self.permits.running() < self.limits.max_running
            && self.permits.kv_tokens() + kv_tokens <= self.kv_budget_tokens()
            && (request.class.is_live() || self.has_room_for_training())
            && !self.is_better_elsewhere(request)
    }

    /// Whether a live request that does not wait should use another engine because this one is
    /// about to stop serving while it loads a version.
    fn is_better_elsewhere(&self, request: &AdmitRequest) -> bool {
        let can_try_elsewhere = request.patience.is_zero();
        self.swapping_to.is_some() && request.class.is_live() && can_try_elsewhere
    }

    /// Whether one more training request may run: outside the live reserve, and under KV pressure
    /// only on an engine that runs nothing.
    fn has_room_for_training(&self) -> bool {
        let has_pressure = self.kv.is_under_pressure(&self.limits) && self.permits.running() > 0;
        self.permits.training() < self.limits.training_slots() && !has_pressure
    }

    fn grant(&mut self, now: Moment, entry: &QueuedRequest) -> Permit {
        let request = &entry.request;
        let queued = now.since(entry.arrived_at);
        let permit = Permit {
            attempt: request.attempt,
            engine: self.engine.clone(),
            version: self.version,
            dispatch_within: queued + DISPATCH_WINDOW,
            load: self.load() + 1,
            queued_ms: queued.as_millis() as u64,
        };
        self.grants += 1;
        self.permits.insert(HeldPermit {
            permit: permit.clone(),
            is_live: request.class.is_live(),
            kv_tokens: self.kv.projected_tokens(request, &self.limits),
            granted_at: now,
            grant_sequence: self.grants,
            generation: self.health.generation(),
            preempted: false,
        });
        self.health.record_grant(now, request.attempt);
        permit
    }

    fn refuse_overflow(&mut self, actions: &mut Vec<AdmissionAction>) {
        while self.queue.len() > self.limits.max_queued {
            let Some(last) = self.queue.pop_last() else {
                return;
            };
            actions.push(self.refuse_overloaded(last.request.attempt));
        }
    }

    fn refuse_expired(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        for attempt in self.queue.expired(now) {
            self.queue.remove(attempt);
            actions.push(self.refuse_overloaded(attempt));
        }
    }

    fn preempt_for_live(&mut self, actions: &mut Vec<AdmissionAction>) {
        if !self.limits.preempt || !self.health.can_admit() || self.health.is_recovering() {
            return;
        }
        let (waiting, waiting_kv) = self.queue.live().fold((0, 0), |(count, kv), entry| {
            let tokens = self.kv.projected_tokens(&entry.request, &self.limits);
            (count + 1, kv + tokens)
        });
        if waiting == 0 {
            return;
        }
        let budget = self.kv_budget_tokens();
        let max_running = self.limits.max_running;
        let shortage = Shortage::new(&self.permits, waiting, waiting_kv, max_running, budget);
        for attempt in choose_victims(&self.permits, shortage) {
            self.permits.mark_preempted(attempt);
            actions.push(AdmissionAction::Preempt { attempt });
        }
    }

    /// Updates the health of the engine from the end of a permit. Opens the circuit breaker when
    /// too many attempts in a row could not reach the engine.
    pub(super) fn record_permit_end(
        &mut self,
        held: &HeldPermit,
        end: ReleaseReason,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let successes = self.limits.recovery_successes;
        self.health.record_end(held, Some(end), successes);
        if end != ReleaseReason::EngineUnreachable {
            return;
        }
        if self
            .health
            .count_unreachable(self.limits.unreachable_failures)
            && self.health.stop(EngineStopReason::Unreachable)
        {
            actions.push(AdmissionAction::EngineStopped(
                EngineStopReason::Unreachable,
            ));
            self.refuse_queue(actions);
        }
    }

    /// Ends a permit whose outcome will never be reported: it expired or its holder died.
    pub(super) fn end_without_outcome(&mut self, now: Moment, attempt: AttemptId) {
        self.recently_ended.insert(now, attempt);
        if let Some(held) = self.permits.remove(attempt) {
            self.health
                .record_end(&held, None, self.limits.recovery_successes);
        }
    }

    pub(super) fn refuse_queue(&mut self, actions: &mut Vec<AdmissionAction>) {
        while let Some(entry) = self.queue.pop_first() {
            actions.push(self.refuse(entry.request.attempt, self.stopped_refusal()));
        }
    }

    fn refuse_overloaded(&self, attempt: AttemptId) -> AdmissionAction {
        let retry_after = self.release_rate.retry_after(self.queue.len());
        self.refuse(
            attempt,
            refusals::overloaded(&self.limits.pool, Some(retry_after)),
        )
    }

    pub(super) fn stopped_refusal(&self) -> Refusal {
        let unreachable = self.health.is_stopped_by(EngineStopReason::Unreachable);
        refusals::stopped(&self.engine, unreachable)
    }

    pub(super) fn refuse(&self, attempt: AttemptId, refusal: Refusal) -> AdmissionAction {
        AdmissionAction::Refuse {
            attempt,
            refusal,
            load: self.load(),
        }
    }
}
