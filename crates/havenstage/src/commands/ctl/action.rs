//! What the operator asks for.

use std::path::Path;

use anyhow::Context;
use havenstage_config::manifest::{self, Manifest, ManifestFormat};
use havenstage_http_api::kinds::parse_kind;
use havenstage_http_api::routes::trainers::PublishBody;
use havenstage_types::ids::{EngineName, ModelName, VersionNumber};
use havenstage_types::resource::{EngineDesiredState, ResourceKey, ResourceKind};
use thiserror::Error;

use crate::arguments::{CommandLine, UsageError};
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
    /// Show what a served gateway knows of a kind.
    GetKnown {
        /// The kind.
        kind: havenstage_service::operators::ResourceKind,
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
            "apply" => Ok(Self::Apply {
                manifests: read_manifests(&line.required_path("-f")?)?,
            }),
            "get" => get(line),
            "list" => Ok(Self::List { kind: kind(line)? }),
            "watch" => Ok(Self::Watch { kind: kind(line)? }),
            "delete" => Ok(Self::Delete { key: key(line)? }),
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

/// A kind in the plural names all that a served gateway knows; else a kind and a name follow.
fn get(line: &mut CommandLine) -> Result<Action, Failure> {
    let text: String = line.required()?;
    if let Ok(kind) = text.parse() {
        return Ok(Action::GetKnown { kind });
    }
    let kind = parse_kind(&text).map_err(Failure::usage)?;
    let name = name(line)?;
    Ok(Action::Get {
        key: ResourceKey { kind, name },
    })
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

fn key(line: &mut CommandLine) -> Result<ResourceKey, Failure> {
    let kind = kind(line)?;
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
