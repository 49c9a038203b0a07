//! Shows changes of resources as they happen.

use std::collections::BTreeMap;
use std::time::Duration;

use havenstage_config::manifest::Manifest;
use havenstage_http_api::routes::watch::WatchAnswer;
use havenstage_types::ids::LogOffset;
use havenstage_types::resource::ResourceKind;
use serde::Serialize;

use crate::commands::ctl::client::{ApiClient, ClientError};
use crate::commands::ctl::output::Output;
use crate::exit::Failure;

const LONG_POLL: Duration = Duration::from_secs(30);
const PAUSE_AFTER_ERROR: Duration = Duration::from_secs(1);

/// What happened to a resource between two reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum ChangeKind {
    Present,
    Changed,
    Deleted,
}

#[derive(Debug, Serialize)]
struct WatchEvent<'a> {
    change: ChangeKind,
    #[serde(flatten)]
    manifest: &'a Manifest,
}

type Resources = BTreeMap<String, Manifest>;

/// Shows the resources of a kind, and then their changes until it is stopped. A server that is
/// away is asked again.
pub async fn watch(client: &ApiClient, kind: ResourceKind, output: Output) -> Result<(), Failure> {
    let mut known = Resources::new();
    let mut next = LogOffset(0);
    // The first read shows what is there; it need not wait for a change.
    let mut wait = Duration::ZERO;
    loop {
        match read(client, kind, next, wait).await {
            Ok(answer) => {
                wait = LONG_POLL;
                next = answer.next;
                let found = by_name(answer.items);
                show_changes(&known, &found, output)?;
                known = found;
            }
            Err(error) if error.is_passing() && wait == LONG_POLL => {
                eprintln!("havenstage: {:#}; asking again", anyhow::Error::from(error));
                tokio::time::sleep(PAUSE_AFTER_ERROR).await;
            }
            Err(error) => return Err(error.into()),
        }
    }
}

async fn read(
    client: &ApiClient,
    kind: ResourceKind,
    from: LogOffset,
    wait: Duration,
) -> Result<WatchAnswer, ClientError> {
    let wait_ms = wait.as_millis();
    let path = format!("/apis/v1/watch/{kind}?from={from}&wait_ms={wait_ms}");
    client.get(&path, wait).await
}

fn by_name(manifests: Vec<Manifest>) -> Resources {
    let named = |manifest: Manifest| (manifest.name.clone(), manifest);
    manifests.into_iter().map(named).collect()
}

fn show_changes(known: &Resources, found: &Resources, output: Output) -> Result<(), Failure> {
    for (name, manifest) in known {
        if !found.contains_key(name) {
            show(ChangeKind::Deleted, manifest, output)?;
        }
    }
    for (name, manifest) in found {
        match known.get(name) {
            None => show(ChangeKind::Present, manifest, output)?,
            Some(before) if before.revision != manifest.revision => {
                show(ChangeKind::Changed, manifest, output)?;
            }
            Some(_) => {}
        }
    }
    Ok(())
}

fn show(change: ChangeKind, manifest: &Manifest, output: Output) -> Result<(), Failure> {
    let event = WatchEvent { change, manifest };
    output.show(&event, |event| {
        let Manifest {
            kind,
            name,
            revision,
            spec,
        } = event.manifest;
        let revision = revision.unwrap_or_default();
        match event.change {
            ChangeKind::Present => format!("{kind} {name} is at revision {revision}: {spec}"),
            ChangeKind::Changed => format!("{kind} {name} is now at revision {revision}: {spec}"),
            ChangeKind::Deleted => format!("{kind} {name} was deleted"),
        }
    })
}
