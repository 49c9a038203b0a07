//! One run: the scenario under a schedule of faults, judged at its end.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use havenstage_history::checker::{CheckReport, Promise, check};
use havenstage_history::event::HistoryEvent;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout};

use super::RunError;
use super::measures::{Measures, TakeOverWatch};
use crate::clients::{observer, operators, trainer};
use crate::deployment::Deployment;
use crate::faults::schedule::Schedule;
use crate::faults::{generator, injector};
use crate::runtime;
use crate::scenario::{Scenario, run_callers};
use crate::world::World;
use crate::world::log::StreamCounts;

/// Time in which a world without faults must become ready.
const READY_PATIENCE: Duration = Duration::from_secs(60);

/// Time in which a planned stop at the end of a run must come to its end.
const STOP_PATIENCE: Duration = Duration::from_secs(120);

/// Time for the last events to arrive before the history is judged.
const SETTLE: Duration = Duration::from_secs(2);

/// What may differ from the usual run of a seed.
#[derive(Debug, Clone, Default)]
pub struct RunOptions {
    /// Changes to the usual scenario of the deployment.
    pub scenario: Option<Scenario>,
    /// Faults instead of those drawn from the seed.
    pub schedule: Option<Schedule>,
}

/// What came of a run.
#[derive(Debug, Clone)]
pub struct RunOutcome {
    /// Its seed.
    pub seed: u64,
    /// Its faults.
    pub schedule: Schedule,
    /// Its history.
    pub events: Vec<HistoryEvent>,
    /// The checker's verdict.
    pub check: CheckReport,
    /// Everything that was broken.
    pub violations: Vec<RunViolation>,
    /// Times that were measured.
    pub measures: Measures,
    /// Log traffic, by kind of stream.
    pub log: BTreeMap<String, StreamCounts>,
    /// Virtual time it took, in milliseconds.
    pub simulated_ms: u64,
}

/// One thing that a run broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunViolation {
    /// What kind of thing.
    pub kind: ViolationKind,
    /// What the checker says.
    pub detail: String,
}

/// Kinds of what a run can break.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolationKind {
    /// A promise.
    Promise(Promise),
    /// The history contradicts itself.
    Recording,
    /// The nodes did not become ready although nothing was wrong.
    NotReady,
    /// The job did not come to its end although all faults were taken away.
    JobNotDrained,
    /// Callers were still waiting at the end.
    CallersNotDone,
    /// A planned stop did not come to its end although all faults were taken away.
    StopHangs,
}

impl fmt::Display for RunViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            ViolationKind::Promise(promise) => write!(formatter, "{promise}: {}", self.detail),
            kind => write!(formatter, "{kind:?}: {}", self.detail),
        }
    }
}

/// Runs a seed: its schedule is drawn from it unless the options name one.
///
/// # Errors
/// When the run cannot be set up.
pub fn run_seed(
    seed: u64,
    deployment: Deployment,
    options: &RunOptions,
) -> Result<RunOutcome, RunError> {
    let scenario = match &options.scenario {
        Some(scenario) => scenario.clone(),
        None => Scenario::new(deployment),
    };
    let schedule = match &options.schedule {
        Some(schedule) => schedule.clone(),
        None => generator::generate(seed, &scenario.targets()),
    };
    runtime::run(seed, run(seed, scenario, schedule))?
}

async fn run(seed: u64, scenario: Scenario, schedule: Schedule) -> Result<RunOutcome, RunError> {
    let world = Arc::new(World::new(scenario.world.clone(), seed)?);
    scenario.create_resources(&world);
    world.start_all_nodes();
    let mut run = Run {
        world,
        scenario,
        schedule,
        violations: Vec::new(),
    };
    if run.world.until_ready(READY_PATIENCE).await {
        let watch = TakeOverWatch::start(run.world.clone());
        run.load_and_drain().await;
        run.stop_one_node().await;
        let measures = watch.finish(&run.world);
        return Ok(run.judge(seed, measures));
    }
    run.violate(ViolationKind::NotReady, "at the start");
    Ok(run.judge(seed, Measures::default()))
}

struct Run {
    world: Arc<World>,
    scenario: Scenario,
    schedule: Schedule,
    violations: Vec<RunViolation>,
}

impl Run {
    async fn load_and_drain(&mut self) {
        let drained_by = Instant::now() + self.scenario.load_time + self.scenario.drain_time;
        let reader =
            operators::run_reader(self.world.clone(), self.scenario.read_interval, drained_by);
        let reader = tokio::spawn(reader);
        let trainer = trainer::run(self.world.clone(), self.scenario.trainer());
        let trainer = tokio::spawn(trainer);
        let callers = self.start_callers();
        let faults_over = Instant::now() + self.scenario.load_time;
        injector::run(self.world.clone(), &self.schedule).await;
        sleep_until(faults_over).await;
        injector::heal(&self.world);
        self.finish(callers, drained_by, ViolationKind::CallersNotDone)
            .await;
        self.finish(trainer, drained_by, ViolationKind::JobNotDrained)
            .await;
        reader.abort();
        if !self.world.until_ready(READY_PATIENCE).await {
            self.violate(ViolationKind::NotReady, "after all faults were taken away");
        }
        tokio::time::sleep(SETTLE).await;
    }

    fn start_callers(&self) -> JoinHandle<()> {
        let world = self.world.clone();
        let scenario = self.scenario.clone();
        tokio::spawn(async move { run_callers(world, &scenario).await })
    }

    async fn finish<T>(&mut self, task: JoinHandle<T>, by: Instant, otherwise: ViolationKind) {
        let patience = by.saturating_duration_since(Instant::now());
        let task_abort = task.abort_handle();
        if timeout(patience, task).await.is_err() {
            task_abort.abort();
            self.violate(otherwise, "after all faults were taken away");
        }
    }

    /// A planned stop in quiet must come to its end.
    async fn stop_one_node(&mut self) {
        let stopped = self.world.stop_node(0);
        if timeout(STOP_PATIENCE, stopped).await.is_err() {
            self.violate(ViolationKind::StopHangs, "in quiet");
        }
    }

    fn violate(&mut self, kind: ViolationKind, detail: &str) {
        let detail = detail.to_owned();
        self.violations.push(RunViolation { kind, detail });
    }

    fn judge(mut self, seed: u64, measures: Measures) -> RunOutcome {
        let job = &self.scenario.job;
        observer::observe(&self.world, &job.name, job.spec.staleness_bound);
        let events = self.world.recorder().events();
        let check = check(&events, &self.scenario.bounds());
        for fault in &check.recording_faults {
            let detail = fault.to_string();
            let kind = ViolationKind::Recording;
            self.violations.push(RunViolation { kind, detail });
        }
        for (promise, findings) in &check.promises {
            let kind = ViolationKind::Promise(*promise);
            let broken = findings.violations.iter().map(|violation| RunViolation {
                kind,
                detail: violation.to_string(),
            });
            self.violations.extend(broken);
        }
        RunOutcome {
            seed,
            schedule: self.schedule,
            check,
            violations: self.violations,
            measures: measures.with_history(&events, &self.world),
            log: self.world.log().counts(),
            simulated_ms: self.world.recorder().clock().now_ms(),
            events,
        }
    }
}
