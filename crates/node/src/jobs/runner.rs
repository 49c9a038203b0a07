//! Runs samples that owners of jobs assign to this node. A run goes on when the owner is lost: the
//! next owner assigns the sample to the same node again and joins the run.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use havenstage_types::ids::{JobName, SampleId, streams};
use havenstage_types::peer::{SampleAssignment, SampleEnd};
use tokio::sync::watch;

use super::committer::Committer;
use super::sample_run::SampleRun;
use crate::context::NodeContext;
use crate::executor::Executor;
use crate::executor::running::RunningAttempts;
use crate::locks::lock;

/// The samples this node runs.
pub(crate) struct SampleRunners {
    context: Arc<NodeContext>,
    executor: Arc<Executor>,
    running: Arc<RunningAttempts>,
    active: Mutex<BTreeMap<SampleId, watch::Receiver<Option<SampleEnd>>>>,
    committers: Mutex<BTreeMap<JobName, Committer>>,
}

impl SampleRunners {
    pub(crate) fn new(
        context: Arc<NodeContext>,
        executor: Arc<Executor>,
        running: Arc<RunningAttempts>,
    ) -> Arc<Self> {
        Arc::new(Self {
            context,
            executor,
            running,
            active: Mutex::new(BTreeMap::new()),
            committers: Mutex::new(BTreeMap::new()),
        })
    }

    /// Runs a sample, or joins its run under way, and returns how it ended.
    pub(crate) async fn run(self: &Arc<Self>, assignment: SampleAssignment) -> SampleEnd {
        let _in_flight = self.context.lifecycle.track();
        if self.context.lifecycle.is_stopping() {
            return SampleEnd::Suspended(assignment.progress);
        }
        let mut ended = self.join_or_start(assignment);
        let end = ended.wait_for(Option::is_some).await;
        end.ok()
            .and_then(|end| end.clone())
            .unwrap_or(SampleEnd::NotRunnable)
    }

    /// Number of samples running.
    pub(crate) fn active(&self) -> usize {
        lock(&self.active).len()
    }

    fn join_or_start(
        self: &Arc<Self>,
        assignment: SampleAssignment,
    ) -> watch::Receiver<Option<SampleEnd>> {
        let mut active = lock(&self.active);
        if let Some(ended) = active.get(&assignment.id) {
            return ended.clone();
        }
        let (sender, receiver) = watch::channel(None);
        active.insert(assignment.id.clone(), receiver.clone());
        let runners = self.clone();
        // Counted here, since the one who asked may go before the run has ended.
        let in_flight = self.context.lifecycle.track();
        self.context.environment.spawner.spawn(async move {
            let id = assignment.id.clone();
            let end = runners.sample_run(assignment).finish().await;
            lock(&runners.active).remove(&id);
            sender.send_replace(Some(end));
            drop(in_flight);
        });
        receiver
    }

    fn sample_run(&self, assignment: SampleAssignment) -> SampleRun {
        let committer = self.committer(&assignment.id.job);
        SampleRun::new(
            self.context.clone(),
            self.executor.clone(),
            self.running.clone(),
            committer,
            assignment,
        )
    }

    fn committer(&self, job: &JobName) -> Committer {
        let mut committers = lock(&self.committers);
        let state = self.context.state();
        committers.retain(|name, _| name == job || state.job(name).is_some());
        committers
            .entry(job.clone())
            .or_insert_with(|| Committer::start(self.context.clone(), streams::job(job)))
            .clone()
    }
}
