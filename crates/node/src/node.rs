//! The node's interface to callers, trainers and operators.

use std::sync::Arc;
use std::time::Duration;

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

use crate::environment::Environment;
use crate::settings::NodeSettings;

/// A streamed answer. Its last event is [`AnswerEvent::Finished`] or a refusal.
pub type AnswerStream = mpsc::Receiver<Result<AnswerEvent, Refusal>>;

/// One node of the system.
pub struct Node {
    identity: MemberIdentity,
    _settings: NodeSettings,
    _environment: Environment,
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
    /// Requests in flight from callers of this node.
    pub in_flight: usize,
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
        Arc::new(Self {
            identity,
            _settings: settings,
            _environment: environment,
        })
    }

    /// Starts the node's tasks.
    pub fn start(self: &Arc<Self>) {}

    /// Who this node is.
    pub fn identity(&self) -> &MemberIdentity {
        &self.identity
    }

    /// Serves a live request. Returns once the first event is there, so that a refusal before it
    /// can become an HTTP status.
    pub async fn complete(
        self: &Arc<Self>,
        _request: CallerRequest,
    ) -> Result<AnswerStream, Refusal> {
        Err(Refusal::not_run(RefusalReason::ConfigStale, None))
    }

    /// Proposes a change and answers when the fold has decided it; with `wait_in_force`, when it is
    /// in force everywhere or that time has passed.
    pub async fn apply(
        self: &Arc<Self>,
        change: ConfigChange,
        _wait_in_force: Option<Duration>,
    ) -> Result<ChangeReport, ChangeError> {
        Err(ChangeError::OutcomeUnknown { id: change.id })
    }

    /// Publishes a weight version.
    pub async fn publish_version(
        self: &Arc<Self>,
        _model: ModelName,
        _number: VersionNumber,
        _location: String,
        _wait_in_force: Option<Duration>,
    ) -> Result<ChangeReport, ChangeError> {
        Err(ChangeError::Stopping)
    }

    /// A resource as this node has it.
    pub fn get(&self, _key: &ResourceKey) -> Option<Resource> {
        None
    }

    /// All resources of a kind, by name.
    pub fn list(&self, _kind: ResourceKind) -> Vec<Resource> {
        Vec::new()
    }

    /// Waits until this node has applied a configuration record at or after `from`, at most
    /// `wait`, and returns the offset of the first record not applied.
    pub async fn config_changed(&self, from: LogOffset, _wait: Duration) -> LogOffset {
        from
    }

    /// A trainer's read of a step's samples, waiting up to `wait` for the first.
    pub async fn samples(
        self: &Arc<Self>,
        job: JobName,
        _step: StepNumber,
        _cursor: LogOffset,
        _max: usize,
        _wait: Duration,
    ) -> Result<SampleBatch, Refusal> {
        Err(Refusal::not_run(RefusalReason::UnknownJob(job), None))
    }

    /// A trainer's word that it has all samples of a step. Repeating it does no harm.
    pub async fn acknowledge(
        self: &Arc<Self>,
        job: JobName,
        _step: StepNumber,
        _trainer: TrainerName,
        _version_in_use: VersionNumber,
    ) -> Result<(), Refusal> {
        Err(Refusal::not_run(RefusalReason::UnknownJob(job), None))
    }

    /// Everything decided about a request, sample or engine, from all nodes and the log.
    pub async fn explain(self: &Arc<Self>, _subject: &str) -> Vec<DecisionRecord> {
        Vec::new()
    }

    /// What the node knows about itself.
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            identity: self.identity.clone(),
            ready: Err(RefusalReason::ConfigStale),
            config_offset: LogOffset(0),
            members: Vec::new(),
            engines: Vec::new(),
            jobs: Vec::new(),
            in_flight: 0,
        }
    }

    /// Whether the node takes new work.
    pub fn ready(&self) -> Result<(), RefusalReason> {
        Err(RefusalReason::ConfigStale)
    }

    /// Planned stop: takes no new work, hands its roles over, and returns when nothing is in
    /// flight any more.
    pub async fn stop(self: &Arc<Self>) {}
}
