//! Faults and planned work in the middle of the run: a planned stop, a crash and a drain.

use std::sync::Arc;
use std::time::Duration;

use havenstage_history::event::engine::{BackEndLeaving, LeavingOrigin};
use havenstage_history::event::fault::{FaultBegan, FaultKind};
use havenstage_history::event::node::{NodeEvent, NodeExited};
use havenstage_history::event::{EventBody, EventSource};
use havenstage_standin::engine::EngineMisbehaviour;
use havenstage_types::ids::{EngineName, PoolName};
use havenstage_types::resource::EngineDesiredState;
use serde::Serialize;

use super::console::Console;
use super::nodes::{DemoNode, Nodes};
use super::operator::Operator;
use super::platform::Platform;
use super::recorder::Recorder;
use super::resources::{engine_key, engine_spec};
use crate::exit::Failure;

/// Time between the faults.
const PAUSE: Duration = Duration::from_secs(2);

/// Time after which a load balancer stops sending to a stopping node.
const HEALTH_CHECK: Duration = Duration::from_millis(500);

/// Exit code of a node that ended in good order.
const EXIT_OK: i32 = 0;

/// What was done.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct ChaosRecord {
    /// Node that was stopped as planned.
    pub stopped_node: Option<String>,
    /// Engine that crashed.
    pub crashed_engine: Option<EngineName>,
    /// Engine that was drained.
    pub drained_engine: Option<EngineName>,
}

/// What the faults are done to.
pub struct Chaos {
    /// Stand-ins.
    pub platform: Arc<Platform>,
    /// Nodes.
    pub nodes: Arc<Nodes>,
    /// Who drains.
    pub operator: Arc<Operator>,
    /// Pool whose engines are hit.
    pub pool: PoolName,
    /// Where it is recorded.
    pub recorder: Arc<Recorder>,
    /// Where it is told.
    pub console: Arc<Console>,
}

impl Chaos {
    /// Crashes the first engine of the pool, drains the second and stops the last node.
    ///
    /// # Errors
    /// When the drain is refused or the stop fails.
    pub async fn run(&self) -> Result<ChaosRecord, Failure> {
        let mut record = ChaosRecord::default();
        tokio::time::sleep(PAUSE).await;
        record.crashed_engine = self.crash();
        tokio::time::sleep(PAUSE).await;
        record.drained_engine = self.drain().await?;
        tokio::time::sleep(PAUSE).await;
        record.stopped_node = self.stop_node().await?;
        Ok(record)
    }

    fn crash(&self) -> Option<EngineName> {
        let engine = self.platform.engines_of(&self.pool).next()?;
        self.console.say(&format!(
            "fault: engine {} crashes and starts again empty",
            engine.name
        ));
        engine.standin.misbehave(EngineMisbehaviour::Crash);
        self.record(EventBody::FaultBegan(FaultBegan {
            fault: 1,
            fault_kind: FaultKind::EngineCrash(engine.name.clone()),
        }));
        Some(engine.name.clone())
    }

    async fn drain(&self) -> Result<Option<EngineName>, Failure> {
        let Some(engine) = self.platform.engines_of(&self.pool).nth(1) else {
            return Ok(None);
        };
        self.console.say(&format!(
            "planned: the operator drains engine {}; it must get no new work",
            engine.name
        ));
        let key = engine_key(engine);
        let base = self.operator.revision_of(&key).await;
        let spec = engine_spec(engine, EngineDesiredState::Draining);
        self.operator.apply(key, base, spec).await?;
        self.operator
            .record(EventBody::BackEndLeaving(BackEndLeaving {
                engine: engine.name.clone(),
                origin: LeavingOrigin::Operator,
            }));
        Ok(Some(engine.name.clone()))
    }

    async fn stop_node(&self) -> Result<Option<String>, Failure> {
        let Some(node) = self.nodes.all().last() else {
            return Ok(None);
        };
        self.console.say(&format!(
            "planned: node {} in zone {} stops; it must finish what it has",
            node.name(),
            node.zone()
        ));
        let id = node.id();
        self.record(EventBody::NodeStopBegun(NodeEvent { node: id }));
        let (stopped, ()) = tokio::join!(node.stop(), leave_service(node));
        stopped?;
        self.record(EventBody::NodeExited(NodeExited {
            node: id,
            code: Some(EXIT_OK),
        }));
        self.console.say(&format!("node {} has ended", node.name()));
        Ok(Some(node.name()))
    }

    fn record(&self, body: EventBody) {
        self.recorder.record(EventSource::Platform, body);
    }
}

async fn leave_service(node: &DemoNode) {
    tokio::time::sleep(HEALTH_CHECK).await;
    node.leave_service();
}
