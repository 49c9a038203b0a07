//! The resources of a deployment, written straight into the log before any node starts.

use havenstage_types::codec;
use havenstage_types::config::{ConfigChange, ConfigRecord, Precondition};
use havenstage_types::ids::{ChangeId, VersionNumber, streams};
use havenstage_types::resource::{
    EngineDesiredState, EngineSpec, PolicyName, PoolSpec, ResourceKey, ResourceSpec,
    WeightVersionSpec,
};

use super::World;

/// Version of every model that is published from the start.
pub const FIRST_VERSION: VersionNumber = VersionNumber(1);

/// Requests an engine runs at once.
const MAX_RUNNING: u32 = 64;

/// Requests that wait at one engine's home.
const MAX_QUEUED: u32 = 128;

/// Share of the slots that training never takes, in percent.
const LIVE_RESERVE_PERCENT: u8 = 10;

impl World {
    /// Creates the deployment's pools, engines and first versions.
    pub fn create_resources(&self) {
        for pool in &self.settings.deployment.pools {
            let spec = PoolSpec {
                model: pool.model.clone(),
                policy: PolicyName::default(),
                max_running_per_engine: MAX_RUNNING,
                max_queued_per_engine: MAX_QUEUED,
                live_reserve_percent: LIVE_RESERVE_PERCENT,
            };
            self.create(pool.name.as_str(), ResourceSpec::Pool(spec));
            let spec = WeightVersionSpec {
                model: pool.model.clone(),
                number: FIRST_VERSION,
                location: format!("weights/{}/{FIRST_VERSION}", pool.model),
            };
            let name = format!("{}-{FIRST_VERSION}", pool.model);
            self.create(&name, ResourceSpec::WeightVersion(spec));
        }
        for engine in self.engines() {
            let identity = engine.identity();
            let spec = EngineSpec {
                pool: identity.pool.clone(),
                address: identity.address,
                zone: identity.zone.clone(),
                kv_capacity_tokens: self.settings.engine.kv.capacity_tokens,
                desired_state: EngineDesiredState::Active,
            };
            self.create(identity.name.as_str(), ResourceSpec::Engine(spec));
        }
    }

    /// Creates one resource that does not exist yet.
    pub fn create(&self, name: &str, spec: ResourceSpec) {
        let change = ConfigChange {
            id: ChangeId(format!("create-{}-{name}", spec.kind())),
            key: ResourceKey {
                kind: spec.kind(),
                name: name.to_owned(),
            },
            precondition: Precondition::Absent,
            spec: Some(spec),
        };
        if let Ok(payload) = codec::encode(&ConfigRecord::Change(change)) {
            self.log.append_now(&streams::config(), vec![payload]);
        }
    }
}
