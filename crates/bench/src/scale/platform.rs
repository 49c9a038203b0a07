//! The platform's stand-ins, on threads of their own so that their work is not counted: log,
//! machine list, and one engine endpoint for each engine, whose answers take no time.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use havenstage_edge::log_service::LogService;
use havenstage_edge::machine_list::{Machine, MachineRole, MachineState};
use havenstage_emulator::{EngineSettings, settings::LengthDistribution};
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings};
use havenstage_platform_http::log_service::HttpLogService;
use havenstage_standin::Running;
use havenstage_standin::engine::{EngineStandin, EngineStandinSettings};
use havenstage_standin::log_service::{LogRecord, LogSettings, LogStandin};
use havenstage_standin::machine_list::{MachineChange, MachineListSettings, MachineListStandin};
use havenstage_types::codec;
use havenstage_types::config::{ConfigChange, ConfigRecord, Precondition};
use havenstage_types::ids::{
    ChangeId, EngineName, ModelName, PoolName, VersionNumber, Zone, streams,
};
use havenstage_types::resource::{
    EngineSpec, PolicyName, PoolSpec, ResourceKey, ResourceSpec, WeightVersionSpec,
};
use tokio::net::TcpListener;

use super::error::ScaleError;
use super::settings::ScaleSettings;

/// Tokens that one engine's KV memory holds.
const KV_TOKENS: u64 = 262_144;

/// Version that engines have at the start.
pub(super) const FIRST_VERSION: VersionNumber = VersionNumber(1);

/// The stand-ins of one cluster.
pub(super) struct Platform {
    log: Running<LogStandin>,
    machines: Running<MachineListStandin>,
    engines: Vec<Running<EngineStandin>>,
}

impl Platform {
    /// Starts all stand-ins on the current runtime and writes the first configuration.
    pub(super) async fn start(
        engine_count: usize,
        settings: &ScaleSettings,
    ) -> Result<Self, ScaleError> {
        let log = LogStandin::start(listener().await?, LogSettings::default()).await?;
        let mut engines = Vec::with_capacity(engine_count);
        for index in 0..engine_count {
            engines.push(start_engine(index, settings).await?);
        }
        let machines = MachineListSettings {
            machines: engines
                .iter()
                .map(|engine| live(MachineRole::Engine, engine.address()))
                .collect(),
            ..MachineListSettings::default()
        };
        let machines = MachineListStandin::start(listener().await?, machines).await?;
        let platform = Self {
            log,
            machines,
            engines,
        };
        platform.write_first_config(settings).await?;
        Ok(platform)
    }

    pub(super) fn log_address(&self) -> SocketAddr {
        self.log.address()
    }

    pub(super) fn machines_address(&self) -> SocketAddr {
        self.machines.address()
    }

    /// What the log has seen.
    pub(super) fn log_record(&self) -> LogRecord {
        self.log.record()
    }

    /// Puts a node on the machine list.
    pub(super) fn list_node(&self, address: SocketAddr) {
        let machine = live(MachineRole::Node, address);
        self.machines.state().change(MachineChange::Put(machine));
    }

    /// Takes a node off the machine list.
    pub(super) fn unlist_node(&self, address: SocketAddr) {
        self.machines
            .state()
            .change(MachineChange::Remove { address });
    }

    /// Whether every engine of the pool has the version.
    pub(super) fn pool_has_version(
        &self,
        pool: usize,
        version: VersionNumber,
        settings: &ScaleSettings,
    ) -> bool {
        self.engines
            .iter()
            .enumerate()
            .filter(|(index, _)| index % settings.pools == pool)
            .all(|(_, engine)| engine.state().load_report().version >= Some(version))
    }

    async fn write_first_config(&self, settings: &ScaleSettings) -> Result<(), ScaleError> {
        let mut records = Vec::new();
        for pool in 0..settings.pools {
            records.push(creation(&pool_name(pool).0, pool_spec(pool))?);
            let version = version_spec(pool, FIRST_VERSION);
            records.push(creation(&version_name(pool, FIRST_VERSION), version)?);
        }
        for (index, engine) in self.engines.iter().enumerate() {
            let spec = ResourceSpec::Engine(EngineSpec {
                pool: pool_name(index % settings.pools),
                address: engine.address(),
                zone: zone_name(index % settings.zones),
                kv_capacity_tokens: KV_TOKENS,
                desired_state: Default::default(),
            });
            records.push(creation(&engine_name(index).0, spec)?);
        }
        let client = HttpClient::new(HttpClientSettings::default());
        let log = HttpLogService::new(client, self.log.address());
        log.append(&streams::config(), records).await?;
        Ok(())
    }

    /// Number of records in the configuration stream.
    pub(super) fn config_end(&self) -> u64 {
        let record = self.log_record();
        record
            .streams
            .get(&streams::config())
            .copied()
            .unwrap_or_default()
    }
}

async fn listener() -> Result<TcpListener, ScaleError> {
    Ok(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?)
}

async fn start_engine(
    index: usize,
    settings: &ScaleSettings,
) -> Result<Running<EngineStandin>, ScaleError> {
    let engine = EngineSettings {
        instant: true,
        initial_version: Some(FIRST_VERSION.0),
        output_length: LengthDistribution::Fixed {
            tokens: settings.answer_tokens,
        },
        load_report_lag_us: 0,
        ..EngineSettings::default()
    };
    let standin = EngineStandinSettings {
        engine,
        seed: settings.seed.wrapping_add(index as u64),
        ..EngineStandinSettings::default()
    };
    Ok(EngineStandin::start(listener().await?, standin).await?)
}

fn live(role: MachineRole, address: SocketAddr) -> Machine {
    Machine {
        role,
        address,
        state: MachineState::Live,
    }
}

fn creation(name: &str, spec: ResourceSpec) -> Result<bytes::Bytes, ScaleError> {
    let change = ConfigChange {
        id: ChangeId(format!("first-{name}")),
        key: ResourceKey {
            kind: spec.kind(),
            name: name.to_owned(),
        },
        precondition: Precondition::Absent,
        spec: Some(spec),
    };
    Ok(codec::encode(&ConfigRecord::Change(change))?)
}

fn pool_spec(pool: usize) -> ResourceSpec {
    ResourceSpec::Pool(PoolSpec {
        model: model_name(pool),
        policy: PolicyName::PrefixAffinity,
        max_running_per_engine: 64,
        max_queued_per_engine: 128,
        live_reserve_percent: 10,
    })
}

fn version_spec(pool: usize, number: VersionNumber) -> ResourceSpec {
    ResourceSpec::WeightVersion(WeightVersionSpec {
        model: model_name(pool),
        number,
        location: version_location(pool, number),
    })
}

fn version_name(pool: usize, number: VersionNumber) -> String {
    format!("{}-{number}", model_name(pool))
}

/// Where the weight store keeps a version.
pub(super) fn version_location(pool: usize, number: VersionNumber) -> String {
    format!("http://127.0.0.1:9/{}", version_name(pool, number))
}

/// Name of a pool.
pub(super) fn pool_name(pool: usize) -> PoolName {
    PoolName(format!("pool-{pool}"))
}

/// Name of a pool's model.
pub(super) fn model_name(pool: usize) -> ModelName {
    ModelName(format!("model-{pool}"))
}

/// Name of an engine.
pub(super) fn engine_name(index: usize) -> EngineName {
    EngineName(format!("engine-{index:04}"))
}

/// Name of a zone.
pub(super) fn zone_name(zone: usize) -> Zone {
    Zone(format!("zone-{zone}"))
}

/// Pause between two looks at whether something has come about.
pub(super) const LOOK_INTERVAL: Duration = Duration::from_millis(100);
