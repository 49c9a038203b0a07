//! Routes of operators: resources, explanations and the node's status.

use std::time::Duration;

use axum::Json;
use axum::extract::State;
use havenstage_config::manifest::{Manifest, ManifestError};
use havenstage_node::node::{ChangeReport, NodeStatus};
use havenstage_types::config::{ChangeOutcome, ConfigChange, InForce, Precondition};
use havenstage_types::decision::DecisionRecord;
use havenstage_types::ids::{ChangeId, Revision};
use havenstage_types::resource::{InvalidResource, Resource, ResourceKey};
use serde::{Deserialize, Serialize};

use crate::error::ApiError;
use crate::extract::{ApiJson, ApiPath, ApiQuery};
use crate::kinds::{parse_key, parse_kind};
use crate::state::ApiState;

/// Resources of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResourceList {
    /// Resources by name.
    pub items: Vec<Manifest>,
}

/// `GET /apis/v1/{kind}`
pub async fn list(
    State(state): State<ApiState>,
    ApiPath(kind): ApiPath<String>,
) -> Result<Json<ResourceList>, ApiError> {
    let items = manifests(&state.node().list(parse_kind(&kind)?))?;
    Ok(Json(ResourceList { items }))
}

/// `GET /apis/v1/{kind}/{name}`
pub async fn get(
    State(state): State<ApiState>,
    ApiPath((kind, name)): ApiPath<(String, String)>,
) -> Result<Json<Manifest>, ApiError> {
    let key = parse_key(&kind, name)?;
    match state.node().get(&key) {
        Some(resource) => Ok(Json(Manifest::from_resource(&resource)?)),
        None => Err(ApiError::NoResource { key }),
    }
}

/// Query of a request that may wait until a change is in force everywhere.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WaitQuery {
    /// Longest wait, in milliseconds; absent to answer as soon as the change is decided.
    pub wait_ms: Option<u64>,
}

impl WaitQuery {
    /// The wait, cut to the longest one allowed.
    pub fn wait(&self, state: &ApiState) -> Option<Duration> {
        self.wait_ms
            .map(|wait_ms| state.settings().wait(Some(wait_ms)))
    }
}

/// Query of a change.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChangeQuery {
    /// Id of the change; the same id is applied once.
    pub change_id: Option<String>,
    /// Longest wait until it is in force everywhere, in milliseconds.
    pub wait_ms: Option<u64>,
    /// Revision a deletion is made against.
    pub revision: Option<u64>,
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// Id of the change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<ChangeId>,
    /// Revision the resource is at now.
    pub revision: Revision,
    /// How far it has spread, when the operator waited.
    pub in_force: Option<InForce>,
}

/// `PUT /apis/v1/{kind}/{name}`
pub async fn put(
    State(state): State<ApiState>,
    ApiPath((kind, name)): ApiPath<(String, String)>,
    ApiQuery(query): ApiQuery<ChangeQuery>,
    ApiJson(manifest): ApiJson<Manifest>,
) -> Result<Json<ChangeAnswer>, ApiError> {
    let key = parse_key(&kind, name)?;
    require_same_key(&key, &manifest)?;
    let precondition = match manifest.revision {
        Some(revision) => Precondition::AtRevision(revision),
        None => Precondition::Absent,
    };
    let (key, spec) = manifest.into_resource().map_err(InvalidResource::from)?;
    let change = ConfigChange {
        id: change_id(&state, query.change_id.as_deref()),
        key,
        precondition,
        spec: Some(spec),
    };
    apply(&state, change, query.wait_ms).await
}

/// `DELETE /apis/v1/{kind}/{name}?revision=`
pub async fn delete(
    State(state): State<ApiState>,
    ApiPath((kind, name)): ApiPath<(String, String)>,
    ApiQuery(query): ApiQuery<ChangeQuery>,
) -> Result<Json<ChangeAnswer>, ApiError> {
    let key = parse_key(&kind, name)?;
    let revision = query.revision.ok_or_else(|| ApiError::BadParameter {
        detail: "a deletion needs the revision it is made against: ?revision=".to_owned(),
    })?;
    let change = ConfigChange {
        id: change_id(&state, query.change_id.as_deref()),
        key,
        precondition: Precondition::AtRevision(Revision(revision)),
        spec: None,
    };
    apply(&state, change, query.wait_ms).await
}

/// Everything decided about a subject.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Request id, sample id or engine name.
    pub subject: String,
    /// Decisions about it.
    pub decisions: Vec<DecisionRecord>,
}

/// `GET /apis/v1/explain/{subject}`; a sample id contains slashes.
pub async fn explain(
    State(state): State<ApiState>,
    ApiPath(subject): ApiPath<String>,
) -> Json<Explanation> {
    let decisions = state.node().explain(&subject).await;
    Json(Explanation { subject, decisions })
}

/// `GET /apis/v1/status`
pub async fn status(State(state): State<ApiState>) -> Json<NodeStatus> {
    Json(state.node().status())
}

/// The answer to a decided change; anything but acceptance is an error.
pub fn change_answer(
    change_id: Option<ChangeId>,
    report: ChangeReport,
) -> Result<ChangeAnswer, ApiError> {
    match report.outcome {
        ChangeOutcome::Accepted(revision) => Ok(ChangeAnswer {
            change_id,
            revision,
            in_force: report.in_force,
        }),
        ChangeOutcome::Conflict { found } => Err(ApiError::Conflict {
            id: change_id,
            found,
        }),
        ChangeOutcome::Invalid(invalid) => Err(ApiError::Invalid(invalid)),
    }
}

/// Resources as operators read them.
pub fn manifests(resources: &[Resource]) -> Result<Vec<Manifest>, ManifestError> {
    resources.iter().map(Manifest::from_resource).collect()
}

async fn apply(
    state: &ApiState,
    change: ConfigChange,
    wait_ms: Option<u64>,
) -> Result<Json<ChangeAnswer>, ApiError> {
    let id = change.id.clone();
    let wait = WaitQuery { wait_ms }.wait(state);
    let report = state.node().apply(change, wait).await?;
    change_answer(Some(id), report).map(Json)
}

fn change_id(state: &ApiState, chosen: Option<&str>) -> ChangeId {
    match chosen {
        Some(id) => ChangeId::new(id),
        None => state.new_change_id(),
    }
}

fn require_same_key(key: &ResourceKey, manifest: &Manifest) -> Result<(), ApiError> {
    if manifest.kind == key.kind && manifest.name == key.name {
        return Ok(());
    }
    Err(ApiError::BadParameter {
        detail: format!(
            "the path names {} {}, the manifest {} {}",
            key.kind, key.name, manifest.kind, manifest.name
        ),
    })
}
