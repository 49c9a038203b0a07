//! Changes: each has an id, and one whose outcome is unknown is repeated under the same id.

use std::time::Duration;

use havenstage_config::manifest::Manifest;
use havenstage_http_api::routes::operators::ChangeAnswer;
use havenstage_http_api::routes::trainers::PublishBody;
use havenstage_types::ids::{EngineName, ModelName, Revision};
use havenstage_types::resource::{EngineDesiredState, ResourceKey, ResourceKind};
use http::{Method, StatusCode};
use serde_json::Value;
use thiserror::Error;
use tokio::time::Instant;

use crate::commands::ctl::ChangeOptions;
use crate::commands::ctl::client::{ApiClient, ClientError};
use crate::commands::ctl::output::Output;
use crate::commands::ctl::read::resource_path;
use crate::exit::{Exit, Failure};

/// How long the server is asked to wait until a change is in force.
const IN_FORCE_WAIT: Duration = Duration::from_secs(30);
/// First pause before a change is repeated; doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// The outcome of a change stayed unknown.
#[derive(Debug, Error)]
#[error("the outcome of {what} is not known; repeat it with --change-id {change_id}")]
struct OutcomeUnknown {
    what: String,
    change_id: String,
    #[source]
    last: ClientError,
}

/// A version's publication stayed unknown.
#[derive(Debug, Error)]
#[error("it is not known whether {what} is published; run the same command again")]
struct PublicationUnknown {
    what: String,
    #[source]
    last: ClientError,
}

/// The change is accepted, but some live members have not applied it.
#[derive(Debug, Error)]
#[error("{what} is accepted, but not yet in force on {lagging} members")]
struct NotInForce {
    what: String,
    lagging: usize,
}

/// The resource to change does not exist.
#[derive(Debug, Error)]
#[error("{} {} does not exist", key.kind, key.name)]
struct NoResource {
    key: ResourceKey,
}

impl NoResource {
    fn failure(key: ResourceKey) -> Failure {
        Failure::from(Self { key })
    }
}

/// How a change ended.
enum Attempt {
    Accepted(ChangeAnswer),
    Refused(ClientError),
    Unknown(ClientError),
}

/// Makes changes.
pub struct Changes<'a> {
    client: &'a ApiClient,
    options: &'a ChangeOptions,
    /// The operator's id or a random one.
    change_id: String,
}

impl<'a> Changes<'a> {
    /// Makes changes through `client`.
    pub fn new(client: &'a ApiClient, options: &'a ChangeOptions) -> Self {
        let random_id = || format!("ctl-{:032x}", rand::random::<u128>());
        let change_id = options.change_id.clone().unwrap_or_else(random_id);
        Self {
            client,
            options,
            change_id,
        }
    }

    /// Creates or updates resources one after the other, and stops at the first that fails.
    pub async fn apply(&self, manifests: Vec<Manifest>, output: Output) -> Result<(), Failure> {
        for (position, manifest) in manifests.into_iter().enumerate() {
            // Every change needs an id of its own, and the same one when the file is repeated.
            let id = match position {
                0 => self.change_id.clone(),
                _ => format!("{}-{position}", self.change_id),
            };
            self.put(manifest, &id, output).await?;
        }
        Ok(())
    }

    /// Deletes a resource at the revision found.
    pub async fn delete(&self, key: ResourceKey, output: Output) -> Result<(), Failure> {
        let revision = match self.find(&key).await? {
            Some(found) => found.revision.unwrap_or_default(),
            // With an earlier change's id this asks what became of that change.
            None if self.options.change_id.is_some() => Revision::default(),
            None => return Err(NoResource::failure(key)),
        };
        let path = format!(
            "{}&revision={revision}",
            self.change_path(&key, &self.change_id)
        );
        self.change(Method::DELETE, &path, &Value::Null, &key, output)
            .await
    }

    /// Drains or undrains an engine; nothing is changed when it is in that state already.
    pub async fn set_engine_state(
        &self,
        engine: EngineName,
        state: EngineDesiredState,
        output: Output,
    ) -> Result<(), Failure> {
        let key = ResourceKey {
            kind: ResourceKind::Engine,
            name: engine.0,
        };
        let Some(mut manifest) = self.find(&key).await? else {
            return Err(NoResource::failure(key));
        };
        let wanted = serde_json::to_value(state)?;
        if manifest.spec.get("desired_state") == Some(&wanted) && !self.options.wait {
            return output.unchanged(&key);
        }
        if let Value::Object(fields) = &mut manifest.spec {
            fields.insert("desired_state".to_owned(), wanted);
        }
        self.put(manifest, &self.change_id, output).await
    }

    /// Publishes a weight version. Its change id follows from number and location, so that a
    /// repeat publishes nothing twice.
    pub async fn publish(
        &self,
        model: ModelName,
        version: PublishBody,
        output: Output,
    ) -> Result<(), Failure> {
        let what = format!("version {} of {model}", version.number);
        let path = format!("/v1/models/{model}/versions{}", self.wait_query('?'));
        match self.repeat(Method::POST, &path, &version).await {
            Attempt::Accepted(answer) => self.accepted(&what, &answer, output),
            Attempt::Refused(error) => Err(refusal(error)),
            Attempt::Unknown(last) => Err(Failure::new(
                Exit::OutcomeUnknown,
                PublicationUnknown { what, last },
            )),
        }
    }

    async fn put(&self, mut manifest: Manifest, id: &str, output: Output) -> Result<(), Failure> {
        let key = ResourceKey {
            kind: manifest.kind,
            name: manifest.name.clone(),
        };
        if manifest.revision.is_none() {
            manifest.revision = self.find(&key).await?.and_then(|found| found.revision);
        }
        let path = self.change_path(&key, id);
        self.change(Method::PUT, &path, &manifest, &key, output)
            .await
    }

    async fn change<B: serde::Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &B,
        key: &ResourceKey,
        output: Output,
    ) -> Result<(), Failure> {
        let what = format!("{} {}", key.kind, key.name);
        match self.repeat(method, path, body).await {
            Attempt::Accepted(answer) => self.accepted(&what, &answer, output),
            Attempt::Refused(error) => Err(refusal(error)),
            Attempt::Unknown(last) => Err(Failure::new(
                Exit::OutcomeUnknown,
                OutcomeUnknown {
                    what,
                    change_id: self.change_id.clone(),
                    last,
                },
            )),
        }
    }

    /// Sends a change until its outcome is known or the time for repeats is used up. Once one
    /// request may have acted, a refusal that passes says nothing about the change.
    async fn repeat<B: serde::Serialize>(&self, method: Method, path: &str, body: &B) -> Attempt {
        let end = Instant::now() + self.options.retry_for;
        let mut pause = FIRST_PAUSE;
        let mut may_have_acted = false;
        loop {
            let sent = self
                .client
                .send(method.clone(), path, body, self.in_force_wait())
                .await;
            let error = match sent {
                Ok(answer) => return Attempt::Accepted(answer),
                Err(error) => error,
            };
            may_have_acted |= error.may_have_acted();
            let is_open = error.may_have_acted() || (may_have_acted && error.is_passing());
            if !is_open {
                return Attempt::Refused(error);
            }
            if Instant::now() + pause > end {
                return Attempt::Unknown(error);
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    fn accepted(&self, what: &str, answer: &ChangeAnswer, output: Output) -> Result<(), Failure> {
        output.accepted(what, answer)?;
        match &answer.in_force {
            Some(in_force) if !in_force.everywhere => Err(Failure::from(NotInForce {
                what: what.to_owned(),
                lagging: in_force.lagging.len(),
            })),
            _ => Ok(()),
        }
    }

    async fn find(&self, key: &ResourceKey) -> Result<Option<Manifest>, Failure> {
        match self.client.get(&resource_path(key), Duration::ZERO).await {
            Ok(manifest) => Ok(Some(manifest)),
            Err(error) if error.status() == Some(StatusCode::NOT_FOUND) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    fn change_path(&self, key: &ResourceKey, id: &str) -> String {
        let path = resource_path(key);
        format!("{path}?change_id={id}{}", self.wait_query('&'))
    }

    fn wait_query(&self, separator: char) -> String {
        if !self.options.wait {
            return String::new();
        }
        format!("{separator}wait_ms={}", IN_FORCE_WAIT.as_millis())
    }

    fn in_force_wait(&self) -> Duration {
        if self.options.wait {
            IN_FORCE_WAIT
        } else {
            Duration::ZERO
        }
    }
}

fn refusal(error: ClientError) -> Failure {
    match error.status() {
        Some(StatusCode::CONFLICT) => Failure::new(Exit::Conflict, error),
        _ => error.into(),
    }
}
