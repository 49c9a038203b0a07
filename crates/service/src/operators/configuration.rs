//! Changes of pools and routes: each is one new configuration in the operators' directory, so that it is
//! there whole or not at all.

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

/// Version of the configuration that the settings file describes; changes count on from it.
const FIRST_VERSION: u64 = 1;

/// Why a change is not made. Nothing of it is kept.
#[derive(Debug, Error)]
pub(crate) enum ChangeRefusal {
    /// It cannot be read; the text names the key and what is wrong.
    #[error("the change cannot be read: {reason}")]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// A value is not allowed.
    #[error(transparent)]
    NotAllowed(#[from] InvalidServeSetting),
    /// The configuration is at another revision.
    #[error("made against revision {}, found {}", revision(*.expected), revision(*.found))]
    Conflict {
        /// The revision it was made against, `None` for a new resource.
        expected: Option<u64>,
        /// The revision found, `None` without the resource.
        found: Option<u64>,
    },
    /// Engines of a new pool cannot be started.
    #[error("engines of the pool cannot be started")]
    Engines(#[from] EngineStartError),
}

fn revision(number: Option<u64>) -> String {
    number.map_or_else(|| "none".to_owned(), |number| number.to_string())
}

/// The configuration as this process, its only writer, has written it.
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
    /// Whether a resource is so already; else the change must be made against what is there.
    fn is_so<T: PartialEq>(
        &self,
        found: Option<&T>,
        wanted: &T,
        expected: Option<u64>,
    ) -> Result<bool, ChangeRefusal> {
        if found == Some(wanted) {
            return Ok(true);
        }
        self.require(found.is_some(), expected)?;
        Ok(false)
    }

    /// Checks that a change is made against what is there.
    fn require(&self, is_there: bool, expected: Option<u64>) -> Result<(), ChangeRefusal> {
        let found = is_there.then_some(self.version);
        match expected == found {
            true => Ok(()),
            false => Err(ChangeRefusal::Conflict { expected, found }),
        }
    }
}

impl Configuration {
    /// Writes the configuration that the settings describe.
    pub(crate) fn new(
        settings: ServeSettings,
        store: Arc<MemoryStore>,
        engines: Arc<EmulatedEngines>,
        versions: Arc<NamedVersions>,
    ) -> Self {
        for pool in &settings.pools {
            versions.serve(ModelName::from(pool.model.as_str()));
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

    /// Creates or changes a route; answers the revision. A route that is so already stays as it is.
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
        let at = routes.iter().position(|route| route.name == name);
        if current.is_so(at.map(|at| &routes[at]), &route, expected)? {
            return Ok(current.version);
        }
        match at {
            Some(at) => routes[at] = route,
            None => routes.push(route),
        }
        settings.validate()?;
        Ok(self.write(&mut current, settings))
    }

    /// Deletes a route; answers the revision.
    pub(super) async fn delete_route(
        &self,
        name: &str,
        expected: Option<u64>,
    ) -> Result<u64, ChangeRefusal> {
        let mut current = self.current.lock().await;
        let mut settings = current.settings.clone();
        settings.routes.retain(|route| route.name != name);
        let is_there = settings.routes.len() < current.settings.routes.len();
        current.require(is_there, expected)?;
        if !is_there {
            return Ok(current.version);
        }
        Ok(self.write(&mut current, settings))
    }

    /// Creates a pool with its emulated engines, or changes the connections of one; answers the revision.
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
        let at = pools.iter().position(|pool| pool.name == name);
        if current.is_so(at.map(|at| &pools[at]), &pool, expected)? {
            return Ok(current.version);
        }
        match at {
            Some(at) => {
                require_same_engines(&pools[at], &pool)?;
                pools[at] = pool;
                settings.validate()?;
            }
            None => {
                pools.push(pool.clone());
                settings.validate()?;
                self.engines.start_pool(&pool, &settings.zone).await?;
                self.versions.serve(ModelName::from(pool.model.as_str()));
            }
        }
        Ok(self.write(&mut current, settings))
    }

    /// Deletes a pool that no route names and that has no engines; answers the revision.
    pub(super) async fn delete_pool(
        &self,
        name: &str,
        expected: Option<u64>,
    ) -> Result<u64, ChangeRefusal> {
        let mut current = self.current.lock().await;
        let mut settings = current.settings.clone();
        let found = settings.pools.iter().find(|pool| pool.name == name);
        current.require(found.is_some(), expected)?;
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

    /// The revision that the configuration is at.
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

/// Emulated engines run as they were started.
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
