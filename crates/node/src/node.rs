//! The node's interface to callers, trainers and operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use havenstage_edge::peer::PeerHandler;
use havenstage_membership::MembershipInput;
use havenstage_types::config::{ChangeError, ChangeOutcome, ConfigChange, InForce};
use havenstage_types::decision::DecisionRecord;
use havenstage_types::ids::{
    JobName, LogOffset, ModelName, StepNumber, TrainerName, VersionNumber,
};
use havenstage_types::job::SampleBatch;
use havenstage_types::member::{Member, MemberIdentity};
use havenstage_types::refusal::{Refusal, RefusalReason};
use havenstage_types::request::{AnswerEvent, CallerRequest};
use havenstage_types::resource::{Resource, ResourceKey, ResourceKind};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::at_most_once::AtMostOnce;
use crate::claim_owner::{self, ClaimOwner};
use crate::context::NodeContext;
use crate::environment::Environment;
use crate::executor::Executor;
use crate::executor::running::RunningAttempts;
use crate::homes::{self, Homes};
use crate::jobs::{self, JobFollowers, JobOwners, SampleRunners, TrainerFeed};
use crate::kept_answers::KeptAnswers;
use crate::live::LiveService;
use crate::mechanisms::Mechanisms;
use crate::settings::NodeSettings;
use crate::{config_follower, config_recorder, decision_writer, member_service, operator};

/// A streamed answer. Its last event is [`AnswerEvent::Finished`] or a refusal.
pub type AnswerStream = mpsc::Receiver<Result<AnswerEvent, Refusal>>;

/// Longest time a planned stop waits for its last records to reach the log.
const STOP_FLUSH: Duration = Duration::from_secs(5);

/// One node of the system.
pub struct Node {
    pub(crate) context: Arc<NodeContext>,
    pub(crate) homes: Arc<Homes>,
    pub(crate) running: Arc<RunningAttempts>,
    pub(crate) claims: Arc<ClaimOwner>,
    pub(crate) kept_answers: KeptAnswers,
    pub(crate) samples: Arc<SampleRunners>,
    live: Arc<LiveService>,
    jobs: Arc<JobOwners>,
    feed: Arc<TrainerFeed>,
}

/// What became of an operator's change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeReport {
    /// What the fold decided.
    pub outcome: ChangeOutcome,
    /// How far it has spread; `None` when the operator did not wait or it was not accepted.
    pub in_force: Option<InForce>,
}

/// What a node tells operators about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Who it is.
    pub identity: MemberIdentity,
    /// Whether it takes new work; the reason when it does not.
    pub ready: Result<(), RefusalReason>,
    /// Offset of the first configuration record it has not applied.
    pub config_offset: LogOffset,
    /// Members as it sees them.
    pub members: Vec<Member>,
    /// Engines it is the home of.
    pub engines: Vec<EngineStatus>,
    /// Jobs it owns.
    pub jobs: Vec<JobStatus>,
    /// Requests and samples in flight at this node.
    pub in_flight: usize,
    /// Samples this node runs.
    pub running_samples: usize,
}

/// An engine as its home sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Its name.
    pub name: String,
    /// Version it last reported.
    pub version: Option<VersionNumber>,
    /// Permits in use and queued.
    pub load: u32,
    /// Whether it gets new work.
    pub accepts_work: bool,
}

/// A job as its owner sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Its name.
    pub name: JobName,
    /// Oldest step that is not acknowledged.
    pub step: StepNumber,
    /// Samples of that step without a committed sample.
    pub open_slots: u64,
    /// Samples running now.
    pub running: u64,
}

impl Node {
    /// Builds a node; nothing runs before [`Node::start`].
    pub fn new(
        settings: NodeSettings,
        identity: MemberIdentity,
        environment: Environment,
    ) -> Arc<Self> {
        Self::with_mechanisms(settings, identity, environment, Mechanisms::default())
    }

    /// [`Node::new`] with some mechanisms off. For the simulator only: without them promises are
    /// broken, which is what its tests show.
    pub fn with_mechanisms(
        settings: NodeSettings,
        identity: MemberIdentity,
        environment: Environment,
        mechanisms: Mechanisms,
    ) -> Arc<Self> {
        let kept_answers = KeptAnswers::new(settings.kept_answer_bytes);
        let context = NodeContext::new(settings, identity, environment, mechanisms);
        let running = Arc::new(RunningAttempts::default());
        let homes = Homes::new(context.clone(), running.clone());
        let executor = Executor::new(context.clone(), homes.clone(), running.clone());
        let at_most_once = AtMostOnce::new(context.clone());
        let followers = JobFollowers::new(context.clone());
        let node = Arc::new(Self {
            claims: ClaimOwner::new(context.clone()),
            kept_answers,
            live: LiveService::new(context.clone(), executor.clone(), at_most_once),
            samples: SampleRunners::new(context.clone(), executor, running.clone()),
            jobs: JobOwners::new(context.clone(), followers.clone()),
            feed: TrainerFeed::new(context.clone(), followers),
            homes,
            running,
            context,
        });
        let handler: Arc<dyn PeerHandler> = node.clone();
        node.context.set_local_handler(Arc::downgrade(&handler));
        node
    }

    /// Starts the node's tasks; `seeds` are peer addresses where other nodes may be found.
    pub fn start(self: &Arc<Self>, seeds: Vec<SocketAddr>) {
        let spawner = &self.context.environment.spawner;
        let context = &self.context;
        context.members.set_seeds(seeds.clone());
        spawner.spawn(member_service::run(context.clone()));
        spawner.spawn(member_service::join(context.clone(), seeds));
        spawner.spawn(config_follower::run(context.clone()));
        spawner.spawn(config_follower::run_peer_catch_up(context.clone()));
        spawner.spawn(config_recorder::run(context.clone()));
        spawner.spawn(decision_writer::run(context.clone()));
        spawner.spawn(homes::run(self.homes.clone()));
        spawner.spawn(homes::run_ticks(self.homes.clone()));
        spawner.spawn(homes::run_machine_list(self.homes.clone()));
        spawner.spawn(claim_owner::run(self.claims.clone()));
        spawner.spawn(jobs::run(self.jobs.clone()));
    }

    /// Who this node is now; it changes when the others had declared it dead.
    pub fn identity(&self) -> Arc<MemberIdentity> {
        self.context.members.identity()
    }

    /// Serves a live request. Returns once the first event is there, so that a refusal before it
    /// can become an HTTP status.
    pub async fn complete(
        self: &Arc<Self>,
        request: CallerRequest,
    ) -> Result<AnswerStream, Refusal> {
        self.live.complete(request).await
    }

    /// Proposes a change and answers when the fold has decided it; with `wait_in_force`, when it is
    /// in force everywhere or that time has passed.
    pub async fn apply(
        self: &Arc<Self>,
        change: ConfigChange,
        wait_in_force: Option<Duration>,
    ) -> Result<ChangeReport, ChangeError> {
        operator::apply(&self.context, change, wait_in_force).await
    }

    /// Publishes a weight version.
    pub async fn publish_version(
        self: &Arc<Self>,
        model: ModelName,
        number: VersionNumber,
        location: String,
        wait_in_force: Option<Duration>,
    ) -> Result<ChangeReport, ChangeError> {
        operator::publish_version(&self.context, model, number, location, wait_in_force).await
    }

    /// A resource as this node has it.
    pub fn get(&self, key: &ResourceKey) -> Option<Resource> {
        self.context.state().get(key).cloned()
    }

    /// All resources of a kind, by name.
    pub fn list(&self, kind: ResourceKind) -> Vec<Resource> {
        self.context.state().list(kind).cloned().collect()
    }

    /// Waits until this node has applied a configuration record at or after `from`, at most
    /// `wait`, and returns the offset of the first record not applied.
    pub async fn config_changed(&self, from: LogOffset, wait: Duration) -> LogOffset {
        let mut applied = self.context.config.subscribe();
        let beyond = applied.wait_for(|next| *next > from);
        // Either it has changed or the time has passed; the offset tells which.
        let _ = tokio::time::timeout(wait, beyond).await;
        self.context.config_offset()
    }

    /// A trainer's read of a step's samples, waiting up to `wait` for the first.
    pub async fn samples(
        self: &Arc<Self>,
        job: JobName,
        step: StepNumber,
        cursor: LogOffset,
        max: usize,
        wait: Duration,
    ) -> Result<SampleBatch, Refusal> {
        self.feed.samples(job, step, cursor, max, wait).await
    }

    /// A trainer's word that it has all samples of a step. Repeating it does no harm.
    pub async fn acknowledge(
        self: &Arc<Self>,
        job: JobName,
        step: StepNumber,
        trainer: TrainerName,
        version_in_use: VersionNumber,
    ) -> Result<(), Refusal> {
        self.feed
            .acknowledge(job, step, trainer, version_in_use)
            .await
    }

    /// Everything decided about a request, sample or engine, from all nodes and the log.
    pub async fn explain(self: &Arc<Self>, subject: &str) -> Vec<DecisionRecord> {
        decision_writer::explain(&self.context, subject).await
    }

    /// What the node knows about itself.
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            identity: (*self.identity()).clone(),
            ready: self.ready(),
            config_offset: self.context.config_offset(),
            members: self.context.view().members.values().cloned().collect(),
            engines: self.homes.status(),
            jobs: self.jobs.status(),
            in_flight: self.context.lifecycle.in_flight(),
            running_samples: self.samples.active(),
        }
    }

    /// Whether the node takes new work.
    pub fn ready(&self) -> Result<(), RefusalReason> {
        if self.context.lifecycle.is_stopping() {
            return Err(RefusalReason::Stopping);
        }
        self.context.check_dispatch()
    }

    /// Planned stop: takes no new work, hands its roles over, and returns when nothing is in
    /// flight any more.
    pub async fn stop(self: &Arc<Self>) {
        self.context.lifecycle.begin_stop();
        let environment = &self.context.environment;
        let leave = MembershipInput::Leave;
        self.context.members.input(environment, leave).await;
        if self.context.mechanisms.stop_waits {
            self.context.lifecycle.drained().await;
        }
        let flush = decision_writer::flush(&self.context);
        if tokio::time::timeout(STOP_FLUSH, flush).await.is_err() {
            let unsent = self.context.decisions.unsent();
            log::warn!(unsent = unsent; "stopped before all decisions were recorded");
        }
    }
}
