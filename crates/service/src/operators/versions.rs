//! Versions of models that trainers and operators name.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use havenstage_gateway::edge::{DirectoryEntry, DirectoryKind};
use havenstage_memory_store::MemoryStore;
use havenstage_rollout::ids::{ModelName, Version};
use log::info;
use thiserror::Error;

/// Why a version is not taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum VersionRefusal {
    /// No pool serves the model.
    #[error("model {model}: allowed are {}", known.join(", "))]
    UnknownModel {
        /// The model.
        model: ModelName,
        /// Models that are served.
        known: Vec<String>,
    },
    /// A newer version was named before.
    #[error("version {version} of {model}: allowed are versions from {newest} on")]
    Outdated {
        /// The model.
        model: ModelName,
        /// The version.
        version: Version,
        /// The newest one.
        newest: Version,
    },
}

/// Writes named versions into the operators' directory.
pub(crate) struct NamedVersions {
    store: Arc<MemoryStore>,
    /// The newest one of each model that is served, and where it stands in the directory. This process is
    /// the directory's only writer.
    newest: Mutex<BTreeMap<ModelName, Option<Named>>>,
}

#[derive(Debug, Clone, Copy)]
struct Named {
    version: Version,
    revision: u64,
}

impl NamedVersions {
    /// No models yet.
    pub(crate) fn new(store: Arc<MemoryStore>) -> Self {
        Self {
            store,
            newest: Mutex::default(),
        }
    }

    /// A pool serves a model from now on.
    pub(crate) fn serve(&self, model: ModelName) {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        newest.entry(model).or_insert(None);
    }

    /// Names a version; answers the revision. Repeating the newest one changes nothing.
    pub(crate) fn name(&self, model: ModelName, version: Version) -> Result<u64, VersionRefusal> {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        let known = || newest.keys().map(ModelName::to_string).collect();
        let Some(former) = newest.get(&model).copied() else {
            return Err(VersionRefusal::UnknownModel {
                known: known(),
                model,
            });
        };
        match former {
            Some(named) if named.version == version => return Ok(named.revision),
            Some(named) if named.version > version => {
                return Err(VersionRefusal::Outdated {
                    model,
                    version,
                    newest: named.version,
                });
            }
            _ => {}
        }
        let entry = DirectoryEntry::NamedVersion {
            model: model.clone(),
            version,
        };
        // Written under the lock, so that the directory tells versions in rising order.
        let revision = self.store.write_entry(DirectoryKind::Operators, entry);
        info!(event = "version_published", model = model.as_str(), version = version,
            revision = revision; "");
        newest.insert(model, Some(Named { version, revision }));
        Ok(revision)
    }
}
