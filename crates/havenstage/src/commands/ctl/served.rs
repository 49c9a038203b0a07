//! Resources of a served gateway: kinds in the plural, as in its paths.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use anyhow::Context;
use havenstage_http_api::routes::operators::ChangeAnswer;
use havenstage_service::explain::Explanation;
use havenstage_service::operators::{
    EngineSpec, EngineState, KnownResource, KnownResources, ResourceKind, ServedManifest,
    WatchAnswer,
};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::commands::ctl::client::{ApiClient, ClientError};
use crate::commands::ctl::output::Output;
use crate::commands::ctl::table;
use crate::exit::{Exit, Failure};

/// How long the server is asked to wait until a change is in force.
const IN_FORCE_WAIT: Duration = Duration::from_secs(30);
/// How long one watch waits for a change.
const LONG_POLL: Duration = Duration::from_secs(30);

/// Code by which a server says that it has no such kind.
const UNKNOWN_KIND: &str = "unknown_kind";

/// The resources of a manifest file whose kinds are all in the plural; `None` for any other file, which
/// is read as one of `havenstage node`.
pub fn read_manifests(path: &Path) -> Result<Option<Vec<ServedManifest>>, Failure> {
    let file = || path.display().to_string();
    let text = std::fs::read_to_string(path)
        .with_context(file)
        .map_err(Failure::usage)?;
    let document: Option<Value> = match path.extension().and_then(|extension| extension.to_str()) {
        Some("toml") => toml::from_str(&text).ok(),
        Some("json") => serde_json::from_str(&text).ok(),
        _ => None,
    };
    let Some(manifests) = document.map(manifests_of).filter(|all| are_served(all)) else {
        return Ok(None);
    };
    let manifests = manifests.into_iter().map(serde_path_to_error::deserialize);
    let manifests: Result<_, _> = manifests.collect();
    manifests
        .with_context(file)
        .map_err(Failure::usage)
        .map(Some)
}

#[derive(Deserialize)]
struct ManifestList {
    resource: Vec<Value>,
}

/// One manifest, a list of them, or the list `resource`.
fn manifests_of(document: Value) -> Vec<Value> {
    match document {
        Value::Array(manifests) => manifests,
        other => match ManifestList::deserialize(&other) {
            Ok(list) => list.resource,
            Err(_) => vec![other],
        },
    }
}

fn are_served(manifests: &[Value]) -> bool {
    let is_plural = |manifest: &Value| {
        let kind = manifest.get("kind").and_then(Value::as_str);
        kind.is_some_and(|kind| kind.parse::<ResourceKind>().is_ok())
    };
    !manifests.is_empty() && manifests.iter().all(is_plural)
}

fn path(kind: ResourceKind, name: &str) -> String {
    format!("/apis/v1/{kind}/{name}")
}

/// Shows what is known of a kind, or of one resource of it, and how old that is.
pub async fn get(
    client: &ApiClient,
    kind: ResourceKind,
    name: Option<&str>,
    output: Output,
) -> Result<(), Failure> {
    let path = match name {
        Some(name) => path(kind, name),
        None => format!("/apis/v1/{kind}"),
    };
    let known: KnownResources = client.get(&path, Duration::ZERO).await?;
    output.show(&known, table::known_resources)
}

/// Creates or changes resources one after the other, and stops at the first that fails. One without a
/// revision is applied against the revision found.
pub async fn apply(
    client: &ApiClient,
    manifests: Vec<ServedManifest>,
    output: Output,
) -> Result<(), Failure> {
    for mut manifest in manifests {
        if manifest.revision.is_none() {
            let found = find(client, manifest.kind, &manifest.name).await?;
            manifest.revision = found.and_then(|found| found.revision);
        }
        let what = format!("{} {}", manifest.kind, manifest.name);
        let path = path(manifest.kind, &manifest.name);
        change(client, Method::PUT, &path, &manifest, &what, output).await?;
    }
    Ok(())
}

/// Deletes a resource at the revision found.
pub async fn delete(
    client: &ApiClient,
    kind: ResourceKind,
    name: &str,
    output: Output,
) -> Result<(), Failure> {
    let known: KnownResources = client.get(&path(kind, name), Duration::ZERO).await?;
    let revision = known.items.first().and_then(|found| found.revision);
    let revision = revision.unwrap_or_default();
    let what = format!("{kind} {name}");
    let path = format!("{}?revision={revision}", path(kind, name));
    change(client, Method::DELETE, &path, &Value::Null, &what, output).await
}

/// Shows what was decided about a subject, and what the log keeps of it.
pub async fn explain(client: &ApiClient, subject: &str, output: Output) -> Result<(), Failure> {
    let path = format!("/apis/v1/explain/{subject}");
    let explanation: Explanation = client.get(&path, Duration::ZERO).await?;
    output.show(&explanation, table::explanation)
}

/// Whether the server is a served gateway: a node of `havenstage node` has no kinds in the plural.
pub async fn is_served(client: &ApiClient) -> Result<bool, Failure> {
    let path = format!("/apis/v1/{}", ResourceKind::Engines);
    let known: Result<KnownResources, ClientError> = client.get(&path, Duration::ZERO).await;
    match known {
        Ok(_) => Ok(true),
        Err(ClientError::Refused { detail, .. }) => Ok(detail.code != UNKNOWN_KIND),
        Err(error) => Err(error.into()),
    }
}

/// Drains or undrains an engine.
pub async fn set_engine_state(
    client: &ApiClient,
    name: &str,
    desired_state: EngineState,
    output: Output,
) -> Result<(), Failure> {
    let kind = ResourceKind::Engines;
    let manifest = ServedManifest {
        kind,
        name: name.to_owned(),
        revision: None,
        spec: serde_json::to_value(EngineSpec { desired_state })?,
    };
    let what = format!("{kind} {name}");
    change(
        client,
        Method::PUT,
        &path(kind, name),
        &manifest,
        &what,
        output,
    )
    .await
}

/// Shows the resources of a kind, and then their changes until it is stopped.
pub async fn watch(client: &ApiClient, kind: ResourceKind, output: Output) -> Result<(), Failure> {
    let mut known = BTreeMap::new();
    let mut seen = None;
    loop {
        let query = seen.map_or_else(String::new, |seen| format!("?seen={seen}"));
        let path = format!("/apis/v1/watch/{kind}{query}");
        let answer: WatchAnswer = client.get(&path, LONG_POLL).await?;
        seen = Some(answer.state);
        let found = by_name(answer.known.items);
        show_changes(kind, &known, &found, output)?;
        known = found;
    }
}

/// Resources by name; a route stands once for each host.
fn by_name(items: Vec<KnownResource>) -> BTreeMap<(String, String), KnownResource> {
    let key = |item: &KnownResource| {
        let host = item.spec.get("host").and_then(Value::as_str);
        (item.name.clone(), host.unwrap_or_default().to_owned())
    };
    items.into_iter().map(|item| (key(&item), item)).collect()
}

/// What happened to a resource.
#[derive(Serialize)]
struct WatchEvent<'a> {
    change: &'static str,
    kind: ResourceKind,
    #[serde(flatten)]
    resource: &'a KnownResource,
}

fn show_changes(
    kind: ResourceKind,
    known: &BTreeMap<(String, String), KnownResource>,
    found: &BTreeMap<(String, String), KnownResource>,
    output: Output,
) -> Result<(), Failure> {
    let gone = known.iter().filter(|(key, _)| !found.contains_key(*key));
    let gone = gone.map(|(_, resource)| ("deleted", resource));
    let new = found
        .iter()
        .filter_map(|(key, resource)| match known.get(key) {
            None => Some(("present", resource)),
            Some(before) if before.spec != resource.spec => Some(("changed", resource)),
            Some(_) => None,
        });
    for (change, resource) in gone.chain(new) {
        let event = WatchEvent {
            change,
            kind,
            resource,
        };
        output.show(&event, |event| {
            let KnownResource { name, spec, .. } = event.resource;
            format!("{kind} {name} {change}: {spec}")
        })?;
    }
    Ok(())
}

async fn find(
    client: &ApiClient,
    kind: ResourceKind,
    name: &str,
) -> Result<Option<KnownResource>, Failure> {
    let known: Result<KnownResources, _> = client.get(&path(kind, name), Duration::ZERO).await;
    match known {
        Ok(known) => Ok(known.items.into_iter().next()),
        Err(error) if error.status() == Some(StatusCode::NOT_FOUND) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

async fn change<B: Serialize>(
    client: &ApiClient,
    method: Method,
    path: &str,
    body: &B,
    what: &str,
    output: Output,
) -> Result<(), Failure> {
    let answer = client.send(method, path, body, IN_FORCE_WAIT).await;
    let answer: ChangeAnswer = answer.map_err(refusal)?;
    output.accepted(what, &answer)
}

/// A change whose answer is lost is found by reading the resource.
fn refusal(error: ClientError) -> Failure {
    match error.status() {
        Some(StatusCode::CONFLICT) => Failure::new(Exit::Conflict, error),
        _ if error.may_have_acted() => Failure::new(Exit::OutcomeUnknown, error),
        _ => error.into(),
    }
}
