//! What the operator asks for.

use std::path::Path;

use anyhow::Context;
use havenstage_config::manifest::{self, Manifest, ManifestFormat};
use havenstage_http_api::kinds::parse_kind;
use havenstage_http_api::routes::trainers::PublishBody;
use havenstage_service::operators::{ResourceKind as ServedKind, ServedManifest};
use havenstage_types::ids::{EngineName, ModelName, VersionNumber};
use havenstage_types::resource::{EngineDesiredState, ResourceKey, ResourceKind};
use thiserror::Error;

use crate::arguments::{CommandLine, UsageError};
use crate::commands::ctl::served;
use crate::exit::Failure;

const ACTIONS: &str =
    "apply, get, list, watch, delete, explain, drain, undrain, status, versions publish";

/// One action with its arguments.
pub enum Action {
    /// Create or update resources.
    Apply {
        /// Resources in the file's order.
        manifests: Vec<Manifest>,
    },
    /// Show a resource.
    Get {
        /// Its key.
        key: ResourceKey,
    },
    /// Create or update resources of a served gateway.
    ApplyServed {
        /// Resources in the file's order.
        manifests: Vec<ServedManifest>,
    },
    /// Show what a served gateway knows of a kind, or of one resource of it.
    GetServed {
        /// The kind.
        kind: ServedKind,
        /// The resource.
        name: Option<String>,
    },
    /// Show changes of a kind at a served gateway as they happen.
    WatchServed {
        /// The kind.
        kind: ServedKind,
    },
    /// Delete a resource of a served gateway.
    DeleteServed {
        /// The kind.
        kind: ServedKind,
        /// The resource.
        name: String,
    },
    /// Show all resources of a kind.
    List {
        /// The kind.
        kind: ResourceKind,
    },
    /// Show changes as they happen.
    Watch {
        /// The kind.
        kind: ResourceKind,
    },
    /// Delete a resource.
    Delete {
        /// Its key.
        key: ResourceKey,
    },
    /// Show what was decided about a subject.
    Explain {
        /// The subject.
        subject: String,
    },
    /// Drain or undrain an engine.
    SetEngineState {
        /// The engine.
        engine: EngineName,
        /// State wanted.
        state: EngineDesiredState,
    },
    /// Show the node's status.
    Status,
    /// Publish a weight version.
    Publish {
        /// Model it belongs to.
        model: ModelName,
        /// Number and location.
        version: PublishBody,
    },
}

/// A name that cannot stand in a path.
#[derive(Debug, Error)]
#[error("{name} has a character other than letters, digits and -._~/:")]
struct UnfitName {
    name: String,
}

impl Action {
    /// Reads an action; its options first, then its words.
    pub fn read(line: &mut CommandLine) -> Result<Self, Failure> {
        let Some(action) = line.word()? else {
            return Err(Failure::usage(UsageError::MissingWord {
                command: "ctl",
                choices: ACTIONS,
            }));
        };
        match action.as_str() {
            "apply" => apply(line),
            "get" => get(line),
            "list" => Ok(Self::List { kind: kind(line)? }),
            "watch" => watch(line),
            "delete" => delete(line),
            "explain" => Ok(Self::Explain {
                subject: name(line)?,
            }),
            "drain" => engine_state(line, EngineDesiredState::Draining),
            "undrain" => engine_state(line, EngineDesiredState::Active),
            "status" => Ok(Self::Status),
            "versions" => publish(line),
            _ => Err(Failure::usage(UsageError::UnknownCommand {
                command: format!("ctl {action}"),
            })),
        }
    }
}

/// A kind of a served gateway may stand without a name.
fn get(line: &mut CommandLine) -> Result<Action, Failure> {
    let name_of = |line: &mut CommandLine| match line.word()? {
        Some(name) => require_fit(&name).map(|()| Some(name)),
        None => Ok(None),
    };
    Ok(match any_kind(line)? {
        AnyKind::Served(kind) => Action::GetServed {
            kind,
            name: name_of(line)?,
        },
        AnyKind::OfNode(kind) => Action::Get {
            key: key(kind, line)?,
        },
    })
}

fn watch(line: &mut CommandLine) -> Result<Action, Failure> {
    Ok(match any_kind(line)? {
        AnyKind::Served(kind) => Action::WatchServed { kind },
        AnyKind::OfNode(kind) => Action::Watch { kind },
    })
}

fn delete(line: &mut CommandLine) -> Result<Action, Failure> {
    Ok(match any_kind(line)? {
        AnyKind::Served(kind) => Action::DeleteServed {
            kind,
            name: name(line)?,
        },
        AnyKind::OfNode(kind) => Action::Delete {
            key: key(kind, line)?,
        },
    })
}

fn apply(line: &mut CommandLine) -> Result<Action, Failure> {
    let path = line.required_path("-f")?;
    Ok(match served::read_manifests(&path)? {
        Some(manifests) => Action::ApplyServed { manifests },
        None => Action::Apply {
            manifests: read_manifests(&path)?,
        },
    })
}

/// A kind of a served gateway, in the plural, or of `havenstage node`.
enum AnyKind {
    Served(ServedKind),
    OfNode(ResourceKind),
}

fn any_kind(line: &mut CommandLine) -> Result<AnyKind, Failure> {
    let text: String = line.required()?;
    if let Ok(kind) = text.parse() {
        return Ok(AnyKind::Served(kind));
    }
    let kind = parse_kind(&text).map_err(Failure::usage)?;
    Ok(AnyKind::OfNode(kind))
}

fn engine_state(line: &mut CommandLine, state: EngineDesiredState) -> Result<Action, Failure> {
    let engine = EngineName(name(line)?);
    Ok(Action::SetEngineState { engine, state })
}

fn publish(line: &mut CommandLine) -> Result<Action, Failure> {
    if line.word()?.as_deref() != Some("publish") {
        return Err(Failure::usage(UsageError::MissingWord {
            command: "ctl versions",
            choices: "publish",
        }));
    }
    let location = line.required_option("--location")?;
    let model = ModelName(name(line)?);
    let number = VersionNumber(line.required()?);
    Ok(Action::Publish {
        model,
        version: PublishBody { number, location },
    })
}

fn kind(line: &mut CommandLine) -> Result<ResourceKind, Failure> {
    let text: String = line.required()?;
    parse_kind(&text).map_err(Failure::usage)
}

fn key(kind: ResourceKind, line: &mut CommandLine) -> Result<ResourceKey, Failure> {
    let name = name(line)?;
    Ok(ResourceKey { kind, name })
}

fn name(line: &mut CommandLine) -> Result<String, Failure> {
    let name: String = line.required()?;
    require_fit(&name)?;
    Ok(name)
}

fn require_fit(name: &str) -> Result<(), Failure> {
    let fits = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/:".contains(&byte);
    if !name.is_empty() && name.bytes().all(fits) {
        return Ok(());
    }
    Err(Failure::usage(UnfitName {
        name: name.to_owned(),
    }))
}

fn read_manifests(path: &Path) -> Result<Vec<Manifest>, Failure> {
    let file = || path.display().to_string();
    let extension = path.extension().unwrap_or_default().to_string_lossy();
    let format: ManifestFormat = extension
        .parse()
        .with_context(file)
        .map_err(Failure::usage)?;
    let text = std::fs::read_to_string(path)
        .with_context(file)
        .map_err(Failure::usage)?;
    let manifests = manifest::parse(&text, format)
        .with_context(file)
        .map_err(Failure::usage)?;
    for manifest in &manifests {
        require_fit(&manifest.name)?;
        // The server reads the specification again; here a fault costs no request.
        manifest
            .clone()
            .into_resource()
            .with_context(file)
            .map_err(Failure::usage)?;
    }
    Ok(manifests)
}
