//! How the queue of one engine moves: what is granted, refused or preempted after each event.

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

/// How long after its grant a permit may be used to dispatch.
pub const DISPATCH_WINDOW: Duration = Duration::from_secs(1);

impl EngineAdmission {
    /// Brings the queue forward: grants what fits, then refuses what cannot wait, then lets
    /// training give way to the live work that is left.
    pub(super) fn advance(&mut self, now: Moment) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        if self.health.is_stopped() {
            return actions;
        }
        self.grant_from_queue(now, &mut actions);
        self.refuse_overflow(&mut actions);
        self.refuse_impatient(now, &mut actions);
        self.preempt_for_live(&mut actions);
        actions
    }

    fn grant_from_queue(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        while let Some(first) = self.queue.first() {
            let hopeless = self.hopeless(&first.request);
            if hopeless.is_none() && !self.fits(&first.request) {
                return;
            }
            let Some(entry) = self.queue.pop_first() else {
                return;
            };
            actions.push(match hopeless {
                Some(refusal) => self.refuse(entry.request.attempt, refusal),
                None => AdmissionAction::Grant(self.grant(now, &entry)),
            });
        }
    }

    /// Why the request can never run here as things stand, if so.
    fn hopeless(&self, request: &AdmitRequest) -> Option<Refusal> {
        // An engine without a known version is older than any bound.
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
        self.health.admits_one_more()
            && self.permits.running() < self.limits.max_running
            && self.permits.kv_tokens() + kv_tokens <= self.kv_budget_tokens()
            && (request.class.is_live() || self.training_fits())
            && !self.is_better_elsewhere(request)
    }

    fn is_better_elsewhere(&self, request: &AdmitRequest) -> bool {
        let may_ask_others = request.patience.is_zero();
        self.swapping_to.is_some() && request.class.is_live() && may_ask_others
    }

    /// Training keeps off the live reserve, and off an engine under KV pressure unless it is empty.
    fn training_fits(&self) -> bool {
        let pressed = self.kv.is_under_pressure(&self.limits) && self.permits.running() > 0;
        self.permits.training() < self.limits.training_slots() && !pressed
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
        self.health.granted(now, request.attempt);
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

    fn refuse_impatient(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        for attempt in self.queue.given_up(now) {
            self.queue.remove(attempt);
            actions.push(self.refuse_overloaded(attempt));
        }
    }

    fn preempt_for_live(&mut self, actions: &mut Vec<AdmissionAction>) {
        if !self.limits.preempt || !self.health.admits_one_more() || self.health.is_recovering() {
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

    pub(super) fn learn_from_end(
        &mut self,
        held: &HeldPermit,
        end: ReleaseReason,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let successes = self.limits.recovery_successes;
        self.health.ended(held, Some(end), successes);
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

    /// Ends a permit of which nobody will tell how it ended.
    pub(super) fn end_without_news(&mut self, now: Moment, attempt: AttemptId) {
        self.recently_ended.insert(now, attempt);
        if let Some(held) = self.permits.remove(attempt) {
            self.health
                .ended(&held, None, self.limits.recovery_successes);
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
