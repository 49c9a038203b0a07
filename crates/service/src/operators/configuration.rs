//! Changes of pools and routes. Each change writes one new configuration to the operators' directory, so
//! that it takes effect as a whole or not at all.

use std::sync::Arc;

use havenstage_gateway::edge::{DirectoryEntry, DirectoryKind};
use havenstage_memory_store::MemoryStore;
use havenstage_rollout::ids::ModelName;
use log::info;
use serde_json::Value;
use thiserror::Error;
use tokio::sync::Mutex;

use super::manifest;
use super::versions::NamedVersions;
use crate::engines::{EmulatedEngines, EngineStartError};
use crate::settings::{InvalidServeSetting, PoolSettings, RouteSettings, ServeSettings};

/// Version of the configuration that the settings file describes; each change increments it.
const FIRST_VERSION: u64 = 1;

/// Why a change is rejected. The configuration stays as it was.
#[derive(Debug, Error)]
pub(crate) enum ChangeRefusal {
    /// The change cannot be parsed; the text names the key and what is wrong.
    #[error("the change cannot be read: {reason}")]
    Malformed {
        /// Key and error of the parser.
        reason: String,
    },
    /// A value is not allowed.
    #[error(transparent)]
    NotAllowed(#[from] InvalidServeSetting),
    /// The change is based on another revision than the current one.
    #[error("made against revision {}, found {}", revision_text(*.expected), revision_text(*.found))]
    Conflict {
        /// Revision on which the change is based; `None` for a new resource.
        expected: Option<u64>,
        /// Current revision; `None` if the resource does not exist.
        found: Option<u64>,
    },
    /// An emulated engine of a new pool cannot be started.
    #[error("engines of the pool cannot be started")]
    Engines(#[from] EngineStartError),
}

fn revision_text(number: Option<u64>) -> String {
    number.map_or_else(|| "none".to_owned(), |number| number.to_string())
}

/// The current configuration. This process is the only writer of the operators' directory, so what it
/// wrote last is what the directory holds.
pub(crate) struct Configuration {
    store: Arc<MemoryStore>,
    engines: Arc<EmulatedEngines>,
    versions: Arc<NamedVersions>,
    current: Mutex<Current>,
}

struct Current {
    settings: ServeSettings,
    version: u64,
}

impl Current {
    /// Returns whether a resource already has the wanted value. If not, the change must be based on the
    /// current revision.
    fn is_unchanged<T: PartialEq>(
        &self,
        found: Option<&T>,
        wanted: &T,
        expected: Option<u64>,
    ) -> Result<bool, ChangeRefusal> {
        if found == Some(wanted) {
            return Ok(true);
        }
        self.check_revision(found.is_some(), expected)?;
        Ok(false)
    }

    /// Checks that a change is based on the current revision, or on none if the resource does not exist.
    fn check_revision(&self, exists: bool, expected: Option<u64>) -> Result<(), ChangeRefusal> {
        let found = exists.then_some(self.version);
        match expected == found {
            true => Ok(()),
            false => Err(ChangeRefusal::Conflict { expected, found }),
        }
    }
}

impl Configuration {
    /// Writes the first configuration, which the settings describe, to the operators' directory.
    pub(crate) fn new(
        settings: ServeSettings,
        store: Arc<MemoryStore>,
        engines: Arc<EmulatedEngines>,
        versions: Arc<NamedVersions>,
    ) -> Self {
        for pool in &settings.pools {
            versions.add_model(ModelName::from(pool.model.as_str()));
        }
        let routing = DirectoryEntry::Routing(settings.routing(FIRST_VERSION));
        store.write_entry(DirectoryKind::Operators, routing);
        let current = Current {
            settings,
            version: FIRST_VERSION,
        };
        Self {
            store,
            engines,
            versions,
            current: Mutex::new(current),
        }
    }

    /// Creates or changes a route and returns the revision. If the route already has this specification,
    /// nothing changes.
    pub(super) async fn put_route(
        &self,
        name: &str,
        expected: Option<u64>,
        spec: Value,
    ) -> Result<u64, ChangeRefusal> {
        let route: RouteSettings = manifest::read_named(name, spec)?;
        let mut current = self.current.lock().await;
        let mut settings = current.settings.clone();
        let routes = &mut settings.routes;
        let index = routes.iter().position(|route| route.name == name);
        if current.is_unchanged(index.map(|index| &routes[index]), &route, expected)? {
            return Ok(current.version);
        }
        match index {
            Some(index) => routes[index] = route,
            None => routes.push(route),
        }
        settings.validate()?;
        Ok(self.write(&mut current, settings))
    }

    /// Deletes a route and returns the revision.
    pub(super) async fn delete_route(
        &self,
        name: &str,
        expected: Option<u64>,
    ) -> Result<u64, ChangeRefusal> {
        let mut current = self.current.lock().await;
        let mut settings = current.settings.clone();
        settings.routes.retain(|route| route.name != name);
        let exists = settings.routes.len() < current.settings.routes.len();
        current.check_revision(exists, expected)?;
        if !exists {
            return Ok(current.version);
        }
        Ok(self.write(&mut current, settings))
    }

    /// Creates a pool with its emulated engines, or changes the connection limit of an existing pool, and
    /// returns the revision. If the pool already has this specification, nothing changes.
    pub(super) async fn put_pool(
        &self,
        name: &str,
        expected: Option<u64>,
        spec: Value,
    ) -> Result<u64, ChangeRefusal> {
        let pool: PoolSettings = manifest::read_named(name, spec)?;
        let mut current = self.current.lock().await;
        let mut settings = current.settings.clone();
        let pools = &mut settings.pools;
        let index = pools.iter().position(|pool| pool.name == name);
        if current.is_unchanged(index.map(|index| &pools[index]), &pool, expected)? {
            return Ok(current.version);
        }
        match index {
            Some(index) => {
                require_same_engines(&pools[index], &pool)?;
                pools[index] = pool;
                settings.validate()?;
            }
            None => {
                pools.push(pool.clone());
                settings.validate()?;
                self.engines.start_pool(&pool, &settings.zone).await?;
                self.versions
                    .add_model(ModelName::from(pool.model.as_str()));
            }
        }
        Ok(self.write(&mut current, settings))
    }

    /// Deletes a pool and returns the revision. A pool with emulated engines, or one that a route names,
    /// cannot be deleted.
    pub(super) async fn delete_pool(
        &self,
        name: &str,
        expected: Option<u64>,
    ) -> Result<u64, ChangeRefusal> {
        let mut current = self.current.lock().await;
        let mut settings = current.settings.clone();
        let found = settings.pools.iter().find(|pool| pool.name == name);
        current.check_revision(found.is_some(), expected)?;
        let Some(found) = found else {
            return Ok(current.version);
        };
        if found.emulated_engines > 0 {
            return Err(ChangeRefusal::NotAllowed(InvalidServeSetting {
                key: "emulated_engines".to_owned(),
                value: found.emulated_engines.to_string(),
                allowed: "0 in a pool that is deleted".to_owned(),
            }));
        }
        settings.pools.retain(|pool| pool.name != name);
        settings.validate()?;
        Ok(self.write(&mut current, settings))
    }

    /// Returns the current revision of the configuration.
    pub(super) async fn revision(&self) -> u64 {
        self.current.lock().await.version
    }

    fn write(&self, current: &mut Current, settings: ServeSettings) -> u64 {
        current.version += 1;
        let version = current.version;
        let routing = DirectoryEntry::Routing(settings.routing(version));
        self.store.write_entry(DirectoryKind::Operators, routing);
        current.settings = settings;
        info!(event = "configuration_changed", revision = version; "");
        version
    }
}

/// Rejects a change of a pool's model or emulated engines: running engines keep the settings with which
/// they were started.
fn require_same_engines(
    found: &PoolSettings,
    wanted: &PoolSettings,
) -> Result<(), InvalidServeSetting> {
    let fields = [
        ("model", found.model == wanted.model),
        (
            "emulated_engines",
            found.emulated_engines == wanted.emulated_engines,
        ),
        ("engine", found.engine == wanted.engine),
    ];
    match fields.into_iter().find(|(_, is_same)| !is_same) {
        Some((key, _)) => Err(InvalidServeSetting {
            key: key.to_owned(),
            value: "another than before".to_owned(),
            allowed: "what the pool was created with".to_owned(),
        }),
        None => Ok(()),
    }
}
