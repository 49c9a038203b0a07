//! The platform's stand-ins and the engine.

use std::net::SocketAddr;

use havenstage_emulator::EngineSettings;
use havenstage_emulator::settings::{KvSettings, LengthDistribution};
use havenstage_standin::Running;
use havenstage_standin::engine::{EngineStandin, EngineStandinSettings};
use havenstage_standin::log_service::{LogSettings, LogStandin};
use havenstage_standin::machine_list::{MachineListSettings, MachineListStandin};
use havenstage_standin::scorer::{ScorerSettings, ScorerStandin};
use havenstage_standin::weight_store::{WeightStoreSettings, WeightStoreStandin};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use super::{DeploymentError, KV_TOKENS, any_port, runtime};
use crate::latency::settings::LatencySettings;

/// Version the engine has from its start.
const VERSION: u64 = 1;

/// Addresses of the platform and what keeps it running. The runtimes are dropped last.
pub(super) struct Platform {
    pub(super) engine: SocketAddr,
    pub(super) log: SocketAddr,
    pub(super) machines: SocketAddr,
    pub(super) scorer: SocketAddr,
    pub(super) weights: SocketAddr,
    _engine: Running<EngineStandin>,
    _services: Services,
    _engine_runtime: Runtime,
    _services_runtime: Runtime,
}

struct Services {
    log: Running<LogStandin>,
    machines: Running<MachineListStandin>,
    scorer: Running<ScorerStandin>,
    weights: Running<WeightStoreStandin>,
}

impl Platform {
    pub(super) fn start(settings: &LatencySettings) -> Result<Self, DeploymentError> {
        let engine_runtime = runtime("engine")?;
        let services_runtime = runtime("platform")?;
        let engine = engine_runtime.block_on(start_engine(settings))?;
        let services = services_runtime.block_on(start_services())?;
        Ok(Self {
            engine: engine.address(),
            log: services.log.address(),
            machines: services.machines.address(),
            scorer: services.scorer.address(),
            weights: services.weights.address(),
            _engine: engine,
            _services: services,
            _engine_runtime: engine_runtime,
            _services_runtime: services_runtime,
        })
    }
}

async fn start_engine(
    settings: &LatencySettings,
) -> Result<Running<EngineStandin>, DeploymentError> {
    let engine = EngineSettings {
        instant: true,
        initial_version: Some(VERSION),
        output_length: LengthDistribution::Fixed {
            tokens: settings.answer_tokens,
        },
        kv: KvSettings {
            capacity_tokens: KV_TOKENS,
            ..KvSettings::default()
        },
        ..EngineSettings::default()
    };
    let settings = EngineStandinSettings {
        engine,
        ..EngineStandinSettings::default()
    };
    let listener = TcpListener::bind(any_port()).await?;
    Ok(EngineStandin::start(listener, settings).await?)
}

async fn start_services() -> Result<Services, DeploymentError> {
    let listener = async || TcpListener::bind(any_port()).await;
    Ok(Services {
        log: LogStandin::start(listener().await?, LogSettings::default()).await?,
        machines: MachineListStandin::start(listener().await?, MachineListSettings::default())
            .await?,
        scorer: ScorerStandin::start(listener().await?, ScorerSettings::default()).await?,
        weights: WeightStoreStandin::start(listener().await?, WeightStoreSettings::default())
            .await?,
    })
}
