//! One operator who drains an engine for a while and lets it work again.

use std::sync::Arc;
use std::time::Duration;

use havenstage_history::event::EventBody;
use havenstage_history::event::engine::{BackEndLeaving, BackEndReturned, LeavingOrigin};
use havenstage_types::config::ChangeOutcome;
use havenstage_types::ids::EngineName;
use havenstage_types::resource::{EngineDesiredState, ResourceKey, ResourceKind, ResourceSpec};

use super::operators::Operator;
use crate::world::World;

/// Times each of the two changes is made anew after a conflict.
const MAX_TRIES: u32 = 20;

/// Pause before another try.
const TRY_PAUSE: Duration = Duration::from_millis(300);

/// Drains an engine, leaves it so for `duration`, and takes that back.
pub async fn drain(world: Arc<World>, engine: EngineName, duration: Duration, number: u64) {
    let name = format!("drainer-{number}");
    let mut drainer = Drainer {
        operator: Operator::new(world, &name),
        engine,
    };
    if !drainer.set(EngineDesiredState::Draining).await {
        return;
    }
    drainer.record_leaving();
    tokio::time::sleep(duration).await;
    drainer.record_returned();
    drainer.set(EngineDesiredState::Active).await;
}

struct Drainer {
    operator: Operator,
    engine: EngineName,
}

impl Drainer {
    /// Whether the engine was surely brought into the state wanted.
    async fn set(&mut self, wanted: EngineDesiredState) -> bool {
        let key = ResourceKey {
            kind: ResourceKind::Engine,
            name: self.engine.0.clone(),
        };
        for _ in 0..MAX_TRIES {
            let machine = self.operator.any_machine();
            let current = self.operator.read(machine, &key).await;
            if let Some(resource) = current
                && let ResourceSpec::Engine(mut spec) = resource.spec
            {
                spec.desired_state = wanted;
                let spec = Some(ResourceSpec::Engine(spec));
                let base = Some(resource.revision);
                match self.operator.pursue(&key, base, spec, None).await {
                    Some(ChangeOutcome::Accepted(_)) => return true,
                    // It may still take effect; nothing can be said about it.
                    None => return false,
                    Some(_) => {}
                }
            }
            tokio::time::sleep(TRY_PAUSE).await;
        }
        false
    }

    fn record_leaving(&self) {
        self.operator
            .record(EventBody::BackEndLeaving(BackEndLeaving {
                engine: self.engine.clone(),
                origin: LeavingOrigin::Operator,
            }));
    }

    fn record_returned(&self) {
        self.operator
            .record(EventBody::BackEndReturned(BackEndReturned {
                engine: self.engine.clone(),
                origin: LeavingOrigin::Operator,
            }));
    }
}
