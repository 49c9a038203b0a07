//! Engines: the emulator's model on the virtual clock, recording what it runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use havenstage_emulator::{
    Engine, EngineOutput, EngineSettings, InvalidEngineSettings, OrderRefusal, SubmitRefusal,
};
use havenstage_history::event::engine::{
    BackEndLeaving, BackEndReturned, EngineVersionCurrent, ExecutionId, ExecutionOutcome, Finish,
    LeavingOrigin, WorkWhileLeaving,
};
use havenstage_history::event::{EventBody, EventSource};
use havenstage_types::engine::{EngineOrder, GenerateRequest, LoadReport, TokenChunk};
use havenstage_types::ids::{AttemptId, EngineName, PoolName, VersionNumber, Zone};
use havenstage_types::request::FinishReason;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use super::execution::RunningExecution;
use super::place::Place;
use super::services::SimulatedPlatform;
use crate::recorder::Recorder;

/// A chunk with the moment at which the engine put it out.
pub(super) type SentChunk = (Instant, TokenChunk);

/// Who an engine is and where it runs.
#[derive(Debug, Clone)]
pub struct EngineIdentity {
    /// Its name.
    pub name: EngineName,
    /// Its number among the engines of the world.
    pub index: usize,
    /// Pool it belongs to.
    pub pool: PoolName,
    /// Zone it runs in.
    pub zone: Zone,
    /// Its address.
    pub address: SocketAddr,
}

impl EngineIdentity {
    /// Its place in the network.
    pub fn place(&self) -> Place {
        Place::Engine(self.index)
    }
}

/// One engine.
#[derive(Debug)]
pub struct SimulatedEngine {
    identity: EngineIdentity,
    recorder: Arc<Recorder>,
    platform: Arc<SimulatedPlatform>,
    record_tokens: bool,
    state: Mutex<EngineState>,
    wake: Notify,
    answering: Notify,
}

#[derive(Debug)]
struct EngineState {
    model: Engine,
    boot: u64,
    next_sequence: u64,
    running: BTreeMap<AttemptId, RunningExecution>,
    down: bool,
    stalled: bool,
    failing_swaps: bool,
    leaving_since_ms: Option<u64>,
    last_work_while_leaving_ms: Option<u64>,
}

impl SimulatedEngine {
    /// Starts an engine.
    ///
    /// # Errors
    /// When the model refuses the settings.
    pub fn start(
        identity: EngineIdentity,
        settings: EngineSettings,
        seed: u64,
        recorder: Arc<Recorder>,
        platform: Arc<SimulatedPlatform>,
        record_tokens: bool,
    ) -> Result<Arc<Self>, InvalidEngineSettings> {
        let model = Engine::new(settings, seed)?;
        let LoadReport { boot, version, .. } = model.true_load();
        let engine = Arc::new(Self {
            identity,
            recorder,
            platform,
            record_tokens,
            state: Mutex::new(EngineState {
                model,
                boot,
                next_sequence: 1,
                running: BTreeMap::new(),
                down: false,
                stalled: false,
                failing_swaps: false,
                leaving_since_ms: None,
                last_work_while_leaving_ms: None,
            }),
            wake: Notify::new(),
            answering: Notify::new(),
        });
        engine.record_version(boot, version);
        tokio::spawn(drive(engine.clone()));
        Ok(engine)
    }

    /// Who it is.
    pub fn identity(&self) -> &EngineIdentity {
        &self.identity
    }

    /// Its report about itself, which lags behind the truth.
    pub fn load_report(&self) -> LoadReport {
        let now = self.recorder.clock().engine_time();
        self.lock().model.load_report(now)
    }

    /// Looks at the model, for instance at its own record of executions.
    pub fn with_model<T>(&self, look: impl FnOnce(&Engine) -> T) -> T {
        look(&self.lock().model)
    }

    /// Changes the model, for instance its speed.
    pub fn change_model<T>(&self, change: impl FnOnce(&mut Engine) -> T) -> T {
        let result = change(&mut self.lock().model);
        self.wake.notify_one();
        result
    }

    /// The process dies; what runs is lost. It refuses connections until [`Self::restart`].
    pub fn crash(self: &Arc<Self>) {
        self.step();
        let now = self.recorder.clock().engine_time();
        let mut state = self.lock();
        let running = std::mem::take(&mut state.running);
        state.model.crash(now);
        state.down = true;
        let was_leaving = state.leaving_since_ms.take().is_some();
        drop(state);
        if was_leaving {
            self.record(EventBody::BackEndReturned(BackEndReturned {
                engine: self.identity.name.clone(),
                origin: LeavingOrigin::Engine,
            }));
        }
        for execution in running.into_values() {
            self.record(execution.ended(ExecutionOutcome::Crashed, self.record_tokens));
        }
        self.wake.notify_one();
    }

    /// The process starts again, empty and with the version that its settings name.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.down = false;
        let LoadReport { boot, version, .. } = state.model.true_load();
        state.boot = boot;
        drop(state);
        self.record_version(boot, version);
        self.answering.notify_waiters();
        self.wake.notify_one();
    }

    /// Whether the process is dead.
    pub fn is_down(&self) -> bool {
        self.lock().down
    }

    /// Whether it takes requests but does not answer, nor compute.
    pub fn set_stalled(&self, stalled: bool) {
        self.lock().stalled = stalled;
        self.answering.notify_waiters();
        self.wake.notify_one();
    }

    /// Whether its version swaps fail.
    pub fn set_failing_swaps(&self, failing: bool) {
        self.lock().failing_swaps = failing;
    }

    /// It says that it is leaving and refuses new requests.
    pub fn leave(&self) {
        let clock = self.recorder.clock();
        let mut state = self.lock();
        if state.leaving_since_ms.is_some() || state.down {
            return;
        }
        state.leaving_since_ms = Some(clock.now_ms());
        state.model.leave(clock.engine_time());
        drop(state);
        self.record(EventBody::BackEndLeaving(BackEndLeaving {
            engine: self.identity.name.clone(),
            origin: LeavingOrigin::Engine,
        }));
        self.wake.notify_one();
    }

    /// Waits until the engine answers; `false` when its process is dead.
    pub(super) async fn answers(&self) -> bool {
        loop {
            let changed = self.answering.notified();
            {
                let state = self.lock();
                if state.down {
                    return false;
                }
                if !state.stalled {
                    return true;
                }
            }
            changed.await;
        }
    }

    /// Takes a request; its output comes through the receiver.
    pub(super) fn submit(
        self: &Arc<Self>,
        request: GenerateRequest,
    ) -> Result<mpsc::UnboundedReceiver<SentChunk>, SubmitRefusal> {
        self.step();
        let now = self.recorder.clock().engine_time();
        let attempt = request.attempt;
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut state = self.lock();
        let submitted = state.model.submit(now, request.clone());
        let execution = state.next_execution(&self.identity.name);
        if let Err(refusal) = submitted {
            let complaint = state.complaint(refusal, execution, self.recorder.clock().now_ms());
            drop(state);
            complaint.into_iter().for_each(|event| self.record(event));
            return Err(refusal);
        }
        let running = RunningExecution::new(execution, &request, sender);
        let started = running.started(&request);
        state.running.insert(attempt, running);
        drop(state);
        self.record(started);
        self.wake.notify_one();
        Ok(receiver)
    }

    /// Stops an execution; an unknown attempt is ignored.
    pub(super) fn cancel(self: &Arc<Self>, attempt: AttemptId) {
        self.step();
        let now = self.recorder.clock().engine_time();
        let mut state = self.lock();
        state.model.cancel(now, attempt);
        let cancelled = state.running.remove(&attempt);
        drop(state);
        if let Some(execution) = cancelled {
            self.record(execution.ended(ExecutionOutcome::Cancelled, self.record_tokens));
        }
        self.wake.notify_one();
    }

    /// Takes a fenced order.
    pub(super) fn order(&self, order: EngineOrder) -> Result<(), OrderRefusal> {
        let now = self.recorder.clock().engine_time();
        let ordered = self.lock().model.order(now, order);
        self.wake.notify_one();
        ordered
    }

    /// Moves the model on to the present and hands out what it put out.
    fn step(self: &Arc<Self>) {
        let now = self.recorder.clock().engine_time();
        let outputs = {
            let mut state = self.lock();
            if state.stalled {
                return;
            }
            state.model.advance(now)
        };
        for output in outputs {
            self.hand_out(output);
        }
    }

    fn hand_out(self: &Arc<Self>, output: EngineOutput) {
        match output {
            EngineOutput::Chunk { attempt, chunk } => self.put_out(attempt, chunk),
            EngineOutput::VersionLoaded(version) => {
                let boot = self.lock().boot;
                self.record_version(boot, Some(version));
            }
            EngineOutput::FetchWanted { version, .. } => self.fetch(version),
            // A crash is told by whoever caused it.
            EngineOutput::Broken { .. }
            | EngineOutput::Crashed { .. }
            | EngineOutput::SwapFailed(_)
            | EngineOutput::Cache(_) => {}
        }
    }

    fn put_out(&self, attempt: AttemptId, chunk: TokenChunk) {
        let finish = chunk.finish;
        let mut state = self.lock();
        let Some(execution) = state.running.get_mut(&attempt) else {
            return;
        };
        let listening = execution.put_out(chunk);
        if let Some(finish) = finish {
            let finished = state.running.remove(&attempt);
            drop(state);
            let outcome = ExecutionOutcome::Finished(finish_of(finish));
            if let Some(execution) = finished {
                self.record(execution.ended(outcome, self.record_tokens));
            }
        } else if !listening {
            drop(state);
            self.cancel_unheard(attempt);
        }
    }

    /// The client of an execution has gone.
    fn cancel_unheard(&self, attempt: AttemptId) {
        let now = self.recorder.clock().engine_time();
        let mut state = self.lock();
        state.model.cancel(now, attempt);
        let cancelled = state.running.remove(&attempt);
        drop(state);
        if let Some(execution) = cancelled {
            self.record(execution.ended(ExecutionOutcome::Cancelled, self.record_tokens));
        }
    }

    /// Fetches weights and tells the model how that went.
    fn fetch(self: &Arc<Self>, version: VersionNumber) {
        let engine = self.clone();
        let boot = self.lock().boot;
        tokio::spawn(async move {
            let fetched = engine.platform.fetch_weights().await;
            let now = engine.recorder.clock().engine_time();
            let mut state = engine.lock();
            if state.boot != boot || state.down {
                return;
            }
            let succeeds = fetched && !state.failing_swaps;
            state.model.fetch_finished(now, version, succeeds);
            drop(state);
            engine.wake.notify_one();
        });
    }

    fn record_version(&self, boot: u64, version: Option<VersionNumber>) {
        let Some(version) = version else {
            return;
        };
        self.record(EventBody::EngineVersionCurrent(EngineVersionCurrent {
            engine: self.identity.name.clone(),
            boot,
            version,
        }));
    }

    fn record(&self, body: EventBody) {
        let source = EventSource::Engine(self.identity.name.clone());
        self.recorder.record(source, body);
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EngineState {
    fn next_execution(&mut self, engine: &EngineName) -> ExecutionId {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        ExecutionId {
            engine: engine.clone(),
            boot: self.boot,
            sequence,
        }
    }

    fn complaint(
        &mut self,
        refusal: SubmitRefusal,
        execution: ExecutionId,
        now_ms: u64,
    ) -> Option<EventBody> {
        let since_ms = self.leaving_since_ms?;
        if refusal != SubmitRefusal::Leaving {
            return None;
        }
        self.last_work_while_leaving_ms = Some(now_ms);
        Some(EventBody::WorkWhileLeaving(WorkWhileLeaving {
            execution,
            leaving_for_ms: now_ms - since_ms,
        }))
    }
}

fn finish_of(reason: FinishReason) -> Finish {
    match reason {
        FinishReason::Stop => Finish::Stop,
        FinishReason::Length => Finish::Length,
    }
}

/// Drives the model: sleeps until its next event or until new input comes.
async fn drive(engine: Arc<SimulatedEngine>) {
    let clock = engine.recorder.clock();
    loop {
        engine.step();
        let next_event_at = {
            let state = engine.lock();
            if state.stalled {
                None
            } else {
                state.model.next_event_at()
            }
        };
        let woken = engine.wake.notified();
        match next_event_at {
            Some(time) => {
                // Being woken and reaching the deadline lead to the same next step.
                let _ = tokio::time::timeout_at(clock.instant_of(time), woken).await;
            }
            None => woken.await,
        }
    }
}
