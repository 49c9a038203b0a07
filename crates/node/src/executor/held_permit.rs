//! A permit, or an ask for one, that is given back whatever happens to its holder's task.

use std::sync::Arc;
use std::time::Duration;

use havenstage_placement::retry::{Backoff, BackoffSettings};
use havenstage_types::engine::EngineEndpoint;
use havenstage_types::ids::{AttemptId, EngineName, NodeId};
use havenstage_types::peer::{PeerRequestBody, ReleaseReason, ReleaseRequest};
use tokio::time::Instant;

use crate::context::NodeContext;
use crate::homes::Homes;

/// Longest time for which a cancel is tried; a planned stop waits as long.
const CANCEL_PATIENCE: Duration = Duration::from_secs(30);

/// Gives a permit back when dropped and cancels what may still run under it. Tasks are aborted
/// when a job moves to another owner, so giving back must not depend on their reaching the end.
pub(super) struct HeldPermit {
    context: Arc<NodeContext>,
    homes: Arc<Homes>,
    home: NodeId,
    attempt: AttemptId,
    engine: EngineName,
    end: ReleaseReason,
    generated_tokens: Option<u32>,
    running_on: Option<EngineEndpoint>,
    given_back: bool,
}

impl HeldPermit {
    /// Made before the home is asked, since it may grant although its answer is lost.
    pub(super) fn new(
        context: Arc<NodeContext>,
        homes: Arc<Homes>,
        home: NodeId,
        attempt: AttemptId,
        engine: EngineName,
    ) -> Self {
        Self {
            context,
            homes,
            home,
            attempt,
            engine,
            end: ReleaseReason::Ended,
            generated_tokens: None,
            running_on: None,
            given_back: false,
        }
    }

    /// The home refused: there is nothing to give back.
    pub(super) fn refused(mut self) {
        self.given_back = true;
    }

    /// The request is about to be sent; until it is known to have ended it may be running.
    pub(super) fn sent_to(&mut self, endpoint: EngineEndpoint) {
        self.running_on = Some(endpoint);
    }

    /// Nothing runs any more.
    pub(super) fn ended(&mut self) {
        self.running_on = None;
    }

    /// Why the permit is given back.
    pub(super) fn set_reason(&mut self, end: ReleaseReason) {
        self.end = end;
    }

    /// The answer is whole and has this many tokens.
    pub(super) fn finished(&mut self, generated_tokens: u32) {
        self.running_on = None;
        self.generated_tokens = Some(generated_tokens);
    }

    fn cancel(&mut self) {
        let Some(endpoint) = self.running_on.take() else {
            return;
        };
        let context = self.context.clone();
        let attempt = self.attempt;
        let in_flight = self.context.lifecycle.track();
        self.context.environment.spawner.spawn(async move {
            deliver_cancel(&context, &endpoint, attempt).await;
            drop(in_flight);
        });
    }

    fn give_back(&mut self) {
        let request = ReleaseRequest {
            attempt: self.attempt,
            engine: self.engine.clone(),
            end: self.end,
            generated_tokens: self.generated_tokens,
        };
        if self.home == self.context.node_id() {
            self.homes.release(&request);
            return;
        }
        let context = self.context.clone();
        let home = self.home;
        let in_flight = self.context.lifecycle.track();
        self.context.environment.spawner.spawn(async move {
            let body = PeerRequestBody::Release(request);
            if let Err(error) = context.call(home, body).await {
                log::debug!("release not delivered: {error}");
            }
            drop(in_flight);
        });
    }
}

/// Cancels an execution, again and again while the engine does not answer.
async fn deliver_cancel(context: &NodeContext, engine: &EngineEndpoint, attempt: AttemptId) {
    let give_up_at = Instant::now() + CANCEL_PATIENCE;
    let mut backoff = Backoff::new(BackoffSettings::default(), context.next_seed());
    while let Err(error) = context.environment.engines.cancel(engine, attempt).await {
        if Instant::now() >= give_up_at {
            log::warn!(engine = engine.name.as_str(); "cancel not delivered: {error}");
            return;
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        // A killed node's tasks are dropped too; nothing may be spawned then.
        if self.given_back || self.context.environment.spawner.is_closed() {
            return;
        }
        self.cancel();
        self.give_back();
    }
}
