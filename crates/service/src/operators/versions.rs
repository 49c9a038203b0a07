//! Weight versions of models that trainers and operators publish.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use havenstage_gateway::edge::{DirectoryEntry, DirectoryKind};
use havenstage_memory_store::MemoryStore;
use havenstage_rollout::ids::{ModelName, Version};
use log::info;
use thiserror::Error;

/// Why a published version is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum VersionRefusal {
    /// No pool serves the model.
    #[error("model {model}: allowed are {}", known.join(", "))]
    UnknownModel {
        /// Model in the request's path.
        model: ModelName,
        /// Models that pools serve.
        known: Vec<String>,
    },
    /// A newer version of the model has been published before.
    #[error("version {version} of {model}: allowed are versions from {newest} on")]
    Outdated {
        /// Name of the model.
        model: ModelName,
        /// Version that is rejected.
        version: Version,
        /// Newest version that has been published.
        newest: Version,
    },
}

/// Writes published versions into the operators' directory.
pub(crate) struct NamedVersions {
    store: Arc<MemoryStore>,
    /// Newest published version of each model that a pool serves, `None` before the first one. This map
    /// agrees with the directory because this process is the directory's only writer.
    newest: Mutex<BTreeMap<ModelName, Option<PublishedVersion>>>,
}

#[derive(Debug, Clone, Copy)]
struct PublishedVersion {
    version: Version,
    /// Revision of its entry in the directory.
    revision: u64,
}

impl NamedVersions {
    /// Creates the writer without any models.
    pub(crate) fn new(store: Arc<MemoryStore>) -> Self {
        Self {
            store,
            newest: Mutex::default(),
        }
    }

    /// Adds a model that a pool serves, so that its versions can be published.
    pub(crate) fn add_model(&self, model: ModelName) {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        newest.entry(model).or_insert(None);
    }

    /// Publishes a version of a model and returns the revision of its directory entry. Publishing the newest
    /// version again changes nothing.
    pub(crate) fn publish(
        &self,
        model: ModelName,
        version: Version,
    ) -> Result<u64, VersionRefusal> {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        let known = || newest.keys().map(ModelName::to_string).collect();
        let Some(previous) = newest.get(&model).copied() else {
            return Err(VersionRefusal::UnknownModel {
                known: known(),
                model,
            });
        };
        match previous {
            Some(published) if published.version == version => return Ok(published.revision),
            Some(published) if published.version > version => {
                return Err(VersionRefusal::Outdated {
                    model,
                    version,
                    newest: published.version,
                });
            }
            _ => {}
        }
        let entry = DirectoryEntry::NamedVersion {
            model: model.clone(),
            version,
        };
        // The entry is written under the lock, so that the directory lists versions in ascending order.
        let revision = self.store.write_entry(DirectoryKind::Operators, entry);
        info!(event = "version_published", model = model.as_str(), version = version,
            revision = revision; "");
        newest.insert(model, Some(PublishedVersion { version, revision }));
        Ok(revision)
    }
}
