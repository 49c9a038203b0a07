//! The engines this node is the home of: admission to each, its version orders and its reports.
//! The home is the one place that sends work to an engine its way, so it knows the load exactly.

mod engine_home;
mod knowledge;
mod poller;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use havenstage_config::ConfigState;
use havenstage_membership::ownership;
use havenstage_placement::admission::{AdmissionAction, AdmissionLimits};
use havenstage_types::clock::Moment;
use havenstage_types::decision::{Decision, EngineStopReason};
use havenstage_types::engine::EngineEndpoint;
use havenstage_types::ids::{AttemptId, EngineName, NodeId};
use havenstage_types::peer::{
    AdmitRequest, PeerFailure, PeerRequestBody, PeerResponseBody, ReleaseRequest,
};
use havenstage_types::resource::{EngineDesiredState, EngineSpec, PoolSpec};
use tokio::sync::{oneshot, watch};

use crate::context::NodeContext;
use crate::executor::live_engines_of;
use crate::executor::running::RunningAttempts;
use crate::locks::lock;
use crate::node::EngineStatus;
use engine_home::EngineHome;
pub(crate) use knowledge::run_machine_list;
use knowledge::{ListKnowledge, uninformed};

/// Time between two looks at queues whose patience may have passed.
const TICK: Duration = Duration::from_millis(100);

/// All engines this node is the home of.
pub(crate) struct Homes {
    context: Arc<NodeContext>,
    running: Arc<RunningAttempts>,
    engines: Mutex<BTreeMap<EngineName, EngineHome>>,
    leaving_machines: Mutex<BTreeSet<SocketAddr>>,
    list: watch::Sender<ListKnowledge>,
}

impl Homes {
    pub(crate) fn new(context: Arc<NodeContext>, running: Arc<RunningAttempts>) -> Arc<Self> {
        Arc::new(Self {
            context,
            running,
            engines: Mutex::new(BTreeMap::new()),
            leaving_machines: Mutex::new(BTreeSet::new()),
            list: knowledge::nothing_known(),
        })
    }

    /// Answers an ask for a permit, waiting in the engine's queue if it must.
    pub(crate) async fn admit(&self, request: AdmitRequest) -> PeerResponseBody {
        if !self.is_informed(&request).await {
            return uninformed(request.engine);
        }
        let Some(answer) = self.enqueue(request) else {
            return PeerResponseBody::Failed(PeerFailure::NotOwner);
        };
        // The sender is dropped when this node stops being the engine's home.
        answer
            .await
            .unwrap_or(PeerResponseBody::Failed(PeerFailure::NotOwner))
    }

    fn enqueue(&self, request: AdmitRequest) -> Option<oneshot::Receiver<PeerResponseBody>> {
        let now = self.context.now();
        let engine = request.engine.clone();
        let mut engines = lock(&self.engines);
        let home = engines.get_mut(&engine)?;
        let receiver = home.wait_for(request.attempt);
        let actions = home.admission.admit(now, request);
        self.perform(&engine, home, actions);
        Some(receiver)
    }

    /// Ends a permit or an ask.
    pub(crate) fn release(&self, request: &ReleaseRequest) {
        let now = self.context.now();
        self.with_home(&request.engine, |home| home.admission.release(now, request));
    }

    /// Drops what a dead node held.
    fn drop_holder(&self, node: NodeId) {
        let now = self.context.now();
        for engine in self.names() {
            self.with_home(&engine, |home| home.admission.drop_holder(now, node));
        }
    }

    fn with_home(
        &self,
        engine: &EngineName,
        act: impl FnOnce(&mut EngineHome) -> Vec<AdmissionAction>,
    ) {
        let mut engines = lock(&self.engines);
        if let Some(home) = engines.get_mut(engine) {
            let actions = act(home);
            self.perform(engine, home, actions);
        }
    }

    fn names(&self) -> Vec<EngineName> {
        lock(&self.engines).keys().cloned().collect()
    }

    fn perform(&self, engine: &EngineName, home: &mut EngineHome, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Grant(permit) => {
                    home.answer(permit.attempt, PeerResponseBody::Admitted(permit));
                }
                AdmissionAction::Refuse {
                    attempt,
                    refusal,
                    load,
                } => home.answer(attempt, PeerResponseBody::Refused { refusal, load }),
                AdmissionAction::Preempt { attempt } => self.preempt(attempt),
                AdmissionAction::EngineStopped(reason) => {
                    log::info!(engine = engine.as_str(), reason:? = reason; "engine gets no new work");
                    self.context
                        .decide(engine.as_str(), Decision::EngineStopped(reason));
                }
                AdmissionAction::EngineResumed => {
                    log::info!(engine = engine.as_str(); "engine gets new work again");
                    self.context
                        .decide(engine.as_str(), Decision::EngineResumed);
                }
            }
        }
    }

    fn preempt(&self, attempt: AttemptId) {
        if attempt.node == self.context.node_id() {
            self.running.preempt(attempt);
            return;
        }
        let context = self.context.clone();
        self.context.environment.spawner.spawn(async move {
            let body = PeerRequestBody::Preempt(attempt);
            if let Err(error) = context.call(attempt.node, body).await {
                log::debug!(attempt:% = attempt; "preemption not delivered: {error}");
            }
        });
    }

    /// Engines as operators see them.
    pub(crate) fn status(&self) -> Vec<EngineStatus> {
        lock(&self.engines)
            .iter()
            .map(|(name, home)| EngineStatus {
                name: name.0.clone(),
                version: home.admission.version(),
                load: home.admission.load(),
                accepts_work: !home.admission.is_stopped(),
            })
            .collect()
    }

    /// Takes over engines that now belong here and gives up the ones that no longer do.
    fn reconcile(self: &Arc<Self>) {
        let state = self.context.state();
        let view = self.context.view();
        let own = self.context.node_id();
        let mut wanted: BTreeMap<EngineName, &EngineSpec> = BTreeMap::new();
        for (name, spec) in state.engines() {
            if ownership::home_of_engine(&view, &name, &spec.zone) == Some(own) {
                wanted.insert(name, spec);
            }
        }
        let mut engines = lock(&self.engines);
        engines.retain(|name, home| home.is_still_wanted(wanted.get(name).copied()));
        for (name, spec) in wanted {
            self.adopt(&mut engines, &state, &name, spec);
        }
    }

    fn adopt(
        self: &Arc<Self>,
        engines: &mut BTreeMap<EngineName, EngineHome>,
        state: &ConfigState,
        name: &EngineName,
        spec: &EngineSpec,
    ) {
        let Some(pool) = state.pool(&spec.pool) else {
            return;
        };
        let limits = self.limits(state, name, pool, spec);
        let now = self.context.now();
        if !engines.contains_key(name) {
            let endpoint = EngineEndpoint {
                name: name.clone(),
                address: spec.address,
            };
            log::info!(engine = name.as_str(); "engine taken over");
            let poller = self
                .context
                .environment
                .spawner
                .spawn(poller::run(self.clone(), endpoint.clone()));
            engines.insert(
                name.clone(),
                EngineHome::new(endpoint, limits.clone(), poller),
            );
        }
        if let Some(home) = engines.get_mut(name) {
            let mut actions = home.set_limits(now, limits);
            actions.extend(self.stop_or_resume(now, home, spec));
            self.perform(name, home, actions);
        }
    }

    fn limits(
        &self,
        state: &ConfigState,
        name: &EngineName,
        pool: &PoolSpec,
        spec: &EngineSpec,
    ) -> AdmissionLimits {
        let tuning = &self.context.settings.placement;
        let mut limits = AdmissionLimits::from((pool, spec));
        limits.training_projection = tuning.training_projection;
        limits.kv_safety_percent = tuning.kv_safety_percent;
        limits.recovery_successes = tuning.recovery_successes;
        let for_live = live_engines_of(state, &spec.pool, tuning.live_engines_percent);
        if for_live.contains(name) {
            let training = tuning.training_on_live_engines_percent.min(100);
            limits.live_reserve_percent = limits.live_reserve_percent.max(100 - training);
        }
        limits
    }

    /// Applies what the operator and the machine list say about an engine.
    fn stop_or_resume(
        &self,
        now: Moment,
        home: &mut EngineHome,
        spec: &EngineSpec,
    ) -> Vec<AdmissionAction> {
        if !self.context.mechanisms.leaving_is_heeded {
            return Vec::new();
        }
        let draining = spec.desired_state == EngineDesiredState::Draining;
        let leaving = lock(&self.leaving_machines).contains(&spec.address);
        let mut actions = home.set_stopped(now, EngineStopReason::Operator, draining);
        actions.extend(home.set_stopped(now, EngineStopReason::MachineList, leaving));
        actions
    }

    fn tick(&self) {
        let now = self.context.now();
        for engine in self.names() {
            self.with_home(&engine, |home| home.admission.tick(now));
        }
    }
}

/// Follows configuration and membership, for ever.
pub(crate) async fn run(homes: Arc<Homes>) {
    let mut config = homes.context.config.subscribe();
    let mut view = homes.context.members.subscribe();
    loop {
        homes.reconcile();
        homes.drop_dead_holders();
        tokio::select! {
            biased;
            changed = config.changed() => if changed.is_err() { return },
            changed = view.changed() => if changed.is_err() { return },
        }
    }
}

/// Ends waits whose patience has passed, for ever.
pub(crate) async fn run_ticks(homes: Arc<Homes>) {
    loop {
        tokio::time::sleep(TICK).await;
        homes.forget_list_if_stale();
        homes.tick();
    }
}

impl Homes {
    fn drop_dead_holders(&self) {
        let view = self.context.view();
        let dead: Vec<NodeId> = view
            .members
            .values()
            .filter(|member| member.state == havenstage_types::member::MemberState::Dead)
            .map(|member| member.identity.id)
            .collect();
        for node in dead {
            self.drop_holder(node);
        }
    }
}
