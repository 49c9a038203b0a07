//! Engines as one node reaches them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use futures::stream::{self, StreamExt};
use havenstage_edge::engine::{ChunkStream, EngineClient, EngineError};
use havenstage_emulator::OrderRefusal;
use havenstage_types::engine::{EngineEndpoint, EngineOrder, GenerateRequest, LoadReport};
use havenstage_types::ids::AttemptId;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout};

use super::engines::{SentChunk, SimulatedEngine};
use super::network::Network;
use super::place::Place;

/// All engines of a world by address.
pub type EngineDirectory = BTreeMap<SocketAddr, Arc<SimulatedEngine>>;

/// A client of all engines at one place.
#[derive(Debug, Clone)]
pub struct SimulatedEngineClient {
    engines: Arc<EngineDirectory>,
    network: Arc<Network>,
    place: Place,
}

impl SimulatedEngineClient {
    /// A client at `place`.
    pub fn new(engines: Arc<EngineDirectory>, network: Arc<Network>, place: Place) -> Self {
        Self {
            engines,
            network,
            place,
        }
    }

    /// Sends a request that goes on by itself whatever becomes of its sender, and waits for the
    /// answer. Only a connection that was never made proves that nothing was sent.
    async fn exchange<T, F>(
        &self,
        endpoint: &EngineEndpoint,
        moment: ActingMoment,
        act: F,
    ) -> Result<T, EngineError>
    where
        T: Send + 'static,
        F: FnOnce(&Arc<SimulatedEngine>) -> Result<T, EngineError> + Send + 'static,
    {
        let engine = self.engines.get(&endpoint.address);
        let engine = engine.ok_or(EngineError::NotSent)?.clone();
        self.connect(&engine).await?;
        let (sender, answer) = oneshot::channel();
        let network = self.network.clone();
        let (here, there) = (self.place, engine.identity().place());
        tokio::spawn(async move {
            if !network.carry(here, there).await {
                return;
            }
            let result = act_at(moment, &engine, act).await;
            if network.carry(there, here).await {
                // The one who asked may have gone.
                let _ = sender.send(result);
            }
        });
        let patience = self.network.settings().request_timeout;
        match timeout(patience, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(EngineError::Broken),
        }
    }

    async fn connect(&self, engine: &SimulatedEngine) -> Result<(), EngineError> {
        let there = engine.identity().place();
        if self.network.is_connected(self.place, there) {
            return Ok(());
        }
        tokio::time::sleep(self.network.settings().connect_timeout).await;
        match self.network.is_connected(self.place, there) {
            true => Ok(()),
            false => Err(EngineError::NotSent),
        }
    }

    /// The chunks as they arrive here. The stream ends after the finishing chunk; whatever else
    /// ends it is an error.
    fn arriving(&self, there: Place, chunks: mpsc::UnboundedReceiver<SentChunk>) -> ChunkStream {
        let arrival = Arrival {
            chunks,
            network: self.network.clone(),
            from: there,
            to: self.place,
        };
        let items = stream::unfold(Some(arrival), |arrival| async move {
            let mut arrival = arrival?;
            let chunk = arrival.next().await;
            let goes_on = matches!(&chunk, Ok(chunk) if chunk.finish.is_none());
            Some((chunk, goes_on.then_some(arrival)))
        });
        items.boxed()
    }
}

/// When an engine that does not answer carries a request out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ActingMoment {
    /// As it arrives; only the answer waits.
    OnArrival,
    /// When it answers again.
    WhenAnswering,
}

async fn act_at<T>(
    moment: ActingMoment,
    engine: &Arc<SimulatedEngine>,
    act: impl FnOnce(&Arc<SimulatedEngine>) -> Result<T, EngineError>,
) -> Result<T, EngineError> {
    if moment == ActingMoment::WhenAnswering {
        return match engine.answers().await {
            true => act(engine),
            false => Err(EngineError::NotSent),
        };
    }
    if engine.is_down() {
        return Err(EngineError::NotSent);
    }
    let result = act(engine);
    match engine.answers().await {
        true => result,
        false => Err(EngineError::Broken),
    }
}

struct Arrival {
    chunks: mpsc::UnboundedReceiver<SentChunk>,
    network: Arc<Network>,
    from: Place,
    to: Place,
}

impl Arrival {
    async fn next(&mut self) -> Result<havenstage_types::engine::TokenChunk, EngineError> {
        let idle_timeout = self.network.settings().stream_idle_timeout;
        let arrived = async {
            let (sent_at, chunk) = self.chunks.recv().await?;
            let open = self.network.open(self.from, self.to).await;
            let latency = self.network.latency(self.from, self.to);
            sleep_until(sent_at + latency).await;
            open.then_some(chunk)
        };
        match timeout(idle_timeout, arrived).await {
            Ok(Some(chunk)) => Ok(chunk),
            Ok(None) | Err(_) => Err(EngineError::Broken),
        }
    }
}

#[async_trait]
impl EngineClient for SimulatedEngineClient {
    async fn generate(
        &self,
        engine: &EngineEndpoint,
        request: GenerateRequest,
    ) -> Result<ChunkStream, EngineError> {
        let submit = move |engine: &Arc<SimulatedEngine>| {
            engine
                .submit(request)
                .map(|chunks| (engine.identity().place(), chunks))
                .map_err(|_refusal| EngineError::Rejected)
        };
        let moment = ActingMoment::OnArrival;
        let (there, chunks) = self.exchange(engine, moment, submit).await?;
        Ok(self.arriving(there, chunks))
    }

    async fn cancel(&self, engine: &EngineEndpoint, attempt: AttemptId) -> Result<(), EngineError> {
        let cancel = move |engine: &Arc<SimulatedEngine>| {
            engine.cancel(attempt);
            Ok(())
        };
        let moment = ActingMoment::WhenAnswering;
        self.exchange(engine, moment, cancel).await
    }

    async fn order(&self, engine: &EngineEndpoint, order: EngineOrder) -> Result<(), EngineError> {
        let order = move |engine: &Arc<SimulatedEngine>| {
            engine.order(order).map_err(|refusal| match refusal {
                OrderRefusal::Fenced { highest } => EngineError::Fenced { highest },
            })
        };
        let moment = ActingMoment::WhenAnswering;
        self.exchange(engine, moment, order).await
    }

    async fn load(&self, engine: &EngineEndpoint) -> Result<LoadReport, EngineError> {
        let moment = ActingMoment::WhenAnswering;
        self.exchange(engine, moment, |engine| Ok(engine.load_report()))
            .await
    }
}
