//! The operator: creates and changes resources through the nodes' HTTP interface, and reads every
//! accepted change back from every node.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use havenstage_config::manifest::{Manifest, ManifestError};
use havenstage_history::event::node::{ConfigRead, ReadResult};
use havenstage_history::event::operator::{
    ChangeAnswered, ChangeInForce, ChangeOutcome, ChangeProposed, ConfigKey, VersionPublished,
};
use havenstage_history::event::{EventBody, EventSource};
use havenstage_history::fingerprint::Fingerprint;
use havenstage_http_api::error::ErrorBody;
use havenstage_http_api::routes::operators::ChangeAnswer;
use havenstage_http_api::routes::trainers::PublishBody;
use havenstage_platform_http::http_client::{
    HttpClient, HttpClientSettings, HttpError, ShortAnswer,
};
use havenstage_platform_http::weight_store::version_path;
use havenstage_types::ids::{ChangeId, ModelName, Revision, VersionNumber};
use havenstage_types::resource::{Resource, ResourceKey, ResourceSpec};
use http::StatusCode;
use thiserror::Error;

use super::nodes::{DemoNode, Nodes};
use super::recorder::Recorder;

/// Name of the operator in the history.
const NAME: &str = "operator";

/// Longest wait for a change to be in force everywhere.
const WAIT_IN_FORCE: Duration = Duration::from_secs(10);

/// Patience with one request; above the wait that a node is asked for.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Times a change is sent while its outcome is not known.
const MAX_TRIES: u32 = 10;

/// Pause before a change is sent again.
const REPEAT_PAUSE: Duration = Duration::from_millis(300);

/// Why a change did not come about.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// It was refused.
    #[error("{key} was refused: {} ({})", body.error.message, body.error.code)]
    Refused {
        /// The resource.
        key: ConfigKey,
        /// What the node said.
        body: Box<ErrorBody>,
    },
    /// Its outcome stayed unknown.
    #[error("the outcome of the change of {key} is not known")]
    Unknown {
        /// The resource.
        key: ConfigKey,
    },
    /// It cannot be written.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    /// It cannot be written.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// The operator.
pub struct Operator {
    client: HttpClient,
    nodes: Arc<Nodes>,
    recorder: Arc<Recorder>,
    changes: AtomicU64,
}

impl Operator {
    /// An operator of these nodes.
    pub fn new(nodes: Arc<Nodes>, recorder: Arc<Recorder>) -> Self {
        let settings = HttpClientSettings {
            request_timeout_ms: super::recorder::milliseconds(REQUEST_TIMEOUT),
            ..HttpClientSettings::default()
        };
        Self {
            client: HttpClient::new(settings),
            nodes,
            recorder,
            changes: AtomicU64::new(1),
        }
    }

    /// Creates a resource, or with `base` changes the one at that revision, and waits until that
    /// is in force. Then every node in service is asked for the resource.
    ///
    /// # Errors
    /// When it was refused, or its outcome is not known after several tries.
    pub async fn apply(
        &self,
        key: ResourceKey,
        base: Option<Revision>,
        spec: ResourceSpec,
    ) -> Result<Revision, OperatorError> {
        let number = self.changes.fetch_add(1, Ordering::Relaxed);
        let change = ChangeId(format!("demo-{number}"));
        let resource = Resource {
            key: key.clone(),
            spec,
            revision: base.unwrap_or_default(),
        };
        let proposed = ChangeProposed {
            change: change.clone(),
            key: config_key(&key),
            base,
            value: Some(value_of(&resource.spec)),
        };
        let mut manifest = Manifest::from_resource(&resource)?;
        manifest.revision = base;
        let body = Bytes::from(serde_json::to_vec(&manifest)?);
        let revision = self.propose(&proposed, &key, body).await?;
        self.read_everywhere(&key).await;
        Ok(revision)
    }

    /// Publishes a version of a model.
    ///
    /// # Errors
    /// As [`Self::apply`].
    pub async fn publish(
        &self,
        model: &ModelName,
        number: VersionNumber,
    ) -> Result<(), OperatorError> {
        let path = format!("/v1/models/{model}/versions");
        let location = version_path(model, number);
        let body = PublishBody { number, location };
        let key = ConfigKey(format!("WeightVersion/{model}-{number}"));
        let answer = self
            .client
            .post(self.nodes.next().http_address, &path, &body);
        accepted(&key, answer.await)?;
        self.record(EventBody::VersionPublished(VersionPublished {
            model: model.clone(),
            version: number,
        }));
        Ok(())
    }

    async fn propose(
        &self,
        proposed: &ChangeProposed,
        key: &ResourceKey,
        body: Bytes,
    ) -> Result<Revision, OperatorError> {
        let path = format!(
            "{}?change_id={}&wait_ms={}",
            resource_path(key),
            proposed.change,
            WAIT_IN_FORCE.as_millis()
        );
        for _ in 0..MAX_TRIES {
            self.record(EventBody::ChangeProposed(proposed.clone()));
            let server = self.nodes.next().http_address;
            let answer = self.client.put(server, &path, body.clone()).await;
            match accepted(&proposed.key, answer) {
                Ok(answer) => {
                    self.record_accepted(&proposed.change, &answer);
                    return Ok(answer.revision);
                }
                Err(OperatorError::Unknown { .. }) => {
                    self.record_answer(&proposed.change, ChangeOutcome::Unknown);
                }
                Err(refused) => {
                    self.record_answer(&proposed.change, ChangeOutcome::Conflict);
                    return Err(refused);
                }
            }
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
        Err(OperatorError::Unknown {
            key: proposed.key.clone(),
        })
    }

    /// Reads a resource at every node in service and records what each answers.
    pub async fn read_everywhere(&self, key: &ResourceKey) {
        for node in self.nodes.in_service() {
            let asked_at_ms = self.recorder.now_ms();
            let Some(result) = self.read(node, key).await else {
                continue;
            };
            self.record(EventBody::ConfigRead(ConfigRead {
                node: node.id(),
                asked_at_ms,
                key: config_key(key),
                result,
            }));
        }
    }

    /// Revision of a resource, as some node in service has it.
    pub async fn revision_of(&self, key: &ResourceKey) -> Option<Revision> {
        match self.read(self.nodes.next(), key).await? {
            ReadResult::Found { revision, .. } => Some(revision),
            ReadResult::Absent | ReadResult::RefusedStale => None,
        }
    }

    async fn read(&self, node: &DemoNode, key: &ResourceKey) -> Option<ReadResult> {
        let server = node.http_address;
        let ready = self.client.get(server, "/readyz").await.ok()?;
        if ready.status == StatusCode::SERVICE_UNAVAILABLE {
            return Some(ReadResult::RefusedStale);
        }
        let answer = self.client.get(server, &resource_path(key)).await.ok()?;
        if answer.status == StatusCode::NOT_FOUND {
            return Some(ReadResult::Absent);
        }
        let manifest: Manifest = answer.json()?;
        let revision = manifest.revision?;
        let (_, spec) = manifest.into_resource().ok()?;
        let value = value_of(&spec);
        Some(ReadResult::Found { revision, value })
    }

    fn record_accepted(&self, change: &ChangeId, answer: &ChangeAnswer) {
        let revision = answer.revision;
        self.record_answer(change, ChangeOutcome::Accepted(revision));
        if answer.in_force.as_ref().is_some_and(|told| told.everywhere) {
            self.record(EventBody::ChangeInForce(ChangeInForce {
                change: change.clone(),
                revision,
            }));
        }
    }

    fn record_answer(&self, change: &ChangeId, outcome: ChangeOutcome) {
        self.record(EventBody::ChangeAnswered(ChangeAnswered {
            change: change.clone(),
            outcome,
        }));
    }

    /// Records an event that this operator saw.
    pub fn record(&self, body: EventBody) {
        let source = EventSource::Operator(NAME.to_owned());
        self.recorder.record(source, body);
    }
}

/// The answer to a change: accepted, refused, or (no answer, or one that says so) unknown.
fn accepted(
    key: &ConfigKey,
    answer: Result<ShortAnswer, HttpError>,
) -> Result<ChangeAnswer, OperatorError> {
    let unknown = || OperatorError::Unknown { key: key.clone() };
    let answer = answer.map_err(|_| unknown())?;
    if answer.status.is_success() {
        return answer.json().ok_or_else(unknown);
    }
    let body: ErrorBody = answer.json().ok_or_else(unknown)?;
    if answer.status.is_server_error() {
        return Err(unknown());
    }
    Err(OperatorError::Refused {
        key: key.clone(),
        body: Box::new(body),
    })
}

fn resource_path(key: &ResourceKey) -> String {
    format!("/apis/v1/{}/{}", key.kind, key.name)
}

fn config_key(key: &ResourceKey) -> ConfigKey {
    ConfigKey(format!("{}/{}", key.kind, key.name))
}

fn value_of(spec: &ResourceSpec) -> Fingerprint {
    // A specification that came as JSON can be written as JSON.
    let text = serde_json::to_string(spec).unwrap_or_default();
    Fingerprint::of_text(&text)
}
