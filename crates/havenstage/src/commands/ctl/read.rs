//! Actions that change nothing.

use std::time::Duration;

use havenstage_config::manifest::Manifest;
use havenstage_http_api::routes::operators::{Explanation, ResourceList};
use havenstage_node::node::NodeStatus;
use havenstage_types::resource::{ResourceKey, ResourceKind};

use crate::commands::ctl::client::ApiClient;
use crate::commands::ctl::output::Output;
use crate::commands::ctl::table;
use crate::exit::Failure;

/// Path of a resource.
pub fn resource_path(key: &ResourceKey) -> String {
    format!("/apis/v1/{}/{}", key.kind, key.name)
}

/// Shows a resource.
pub async fn get(client: &ApiClient, key: &ResourceKey, output: Output) -> Result<(), Failure> {
    let manifest: Manifest = client.get(&resource_path(key), Duration::ZERO).await?;
    output.show(&manifest, table::resource)
}

/// Shows all resources of a kind.
pub async fn list(client: &ApiClient, kind: ResourceKind, output: Output) -> Result<(), Failure> {
    let path = format!("/apis/v1/{kind}");
    let list: ResourceList = client.get(&path, Duration::ZERO).await?;
    output.show(&list, |list| table::resources(&list.items))
}

/// Shows what was decided about a subject.
pub async fn explain(client: &ApiClient, subject: &str, output: Output) -> Result<(), Failure> {
    let path = format!("/apis/v1/explain/{subject}");
    let explanation: Explanation = client.get(&path, Duration::ZERO).await?;
    output.show(&explanation, |explanation| {
        if explanation.decisions.is_empty() {
            return format!("nothing is recorded about {}", explanation.subject);
        }
        table::decisions(&explanation.decisions)
    })
}

/// Shows what the node knows about itself.
pub async fn status(client: &ApiClient, output: Output) -> Result<(), Failure> {
    let status: NodeStatus = client.get("/apis/v1/status", Duration::ZERO).await?;
    output.show(&status, table::status)
}
