//! The state machine of one engine's admission.

use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::decision::EngineStopReason;
use havenstage_types::engine::LoadReport;
use havenstage_types::ids::{AttemptId, EngineName, NodeId, VersionNumber};
use havenstage_types::peer::{AdmitRequest, Permit, ReleaseReason, ReleaseRequest};
use havenstage_types::refusal::Refusal;

use super::action::AdmissionAction;
use super::health::EngineHealth;
use super::kv_budget::KvBudget;
use super::limits::AdmissionLimits;
use super::permits::{HeldPermit, PermitTable};
use super::preemption::{Shortage, choose_victims};
use super::queue::{AdmissionQueue, QueuedRequest};
use super::recently_ended::RecentlyEnded;
use super::refusals;
use super::release_rate::ReleaseRate;

/// How long after its grant a permit may be used to dispatch.
pub const DISPATCH_WINDOW: Duration = Duration::from_secs(1);

/// Admission at the home of one engine.
///
/// Every ask gets exactly one [`AdmissionAction::Grant`] or [`AdmissionAction::Refuse`], at once or
/// later; an ask repeated while the first one waits shares its answer.
#[derive(Debug, Clone)]
pub struct EngineAdmission {
    engine: EngineName,
    limits: AdmissionLimits,
    version: Option<VersionNumber>,
    health: EngineHealth,
    kv: KvBudget,
    queue: AdmissionQueue,
    permits: PermitTable,
    recently_ended: RecentlyEnded,
    release_rate: ReleaseRate,
    grants: u64,
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

    /// Takes in what the engine reports about itself.
    pub fn report(&mut self, now: Moment, report: &LoadReport) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.version = report.version;
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

    /// Brings the queue forward: grants what fits, then refuses what cannot wait, then lets
    /// training give way to the live work that is left.
    fn advance(&mut self, now: Moment) -> Vec<AdmissionAction> {
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

    fn learn_from_end(
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
    fn end_without_news(&mut self, now: Moment, attempt: AttemptId) {
        self.recently_ended.insert(now, attempt);
        if let Some(held) = self.permits.remove(attempt) {
            self.health
                .ended(&held, None, self.limits.recovery_successes);
        }
    }

    fn refuse_queue(&mut self, actions: &mut Vec<AdmissionAction>) {
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

    fn stopped_refusal(&self) -> Refusal {
        let unreachable = self.health.is_stopped_by(EngineStopReason::Unreachable);
        refusals::stopped(&self.engine, unreachable)
    }

    fn refuse(&self, attempt: AttemptId, refusal: Refusal) -> AdmissionAction {
        AdmissionAction::Refuse {
            attempt,
            refusal,
            load: self.load(),
        }
    }
}
