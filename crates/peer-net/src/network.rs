//! The client side: one pooled connection to each peer, and the socket for gossip.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use havenstage_platform::peer::{PeerError, PeerNetwork};
use havenstage_types::codec;
use havenstage_types::gossip::GossipPacket;
use havenstage_types::peer::{PeerRequest, PeerResponse};
use tokio::net::UdpSocket;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::{Instant, timeout_at};

use crate::connection::Connection;
use crate::traffic::{Traffic, TrafficCounters};

/// The place of one peer's connection. The lock is held while connecting, so that requests which
/// come at once share one attempt.
type Slot = Arc<AsyncMutex<Option<Arc<Connection>>>>;

/// [`PeerNetwork`] over TCP and UDP.
#[derive(Debug)]
pub struct TcpUdpNetwork {
    socket: Arc<UdpSocket>,
    counters: TrafficCounters,
    next_request: AtomicU64,
    slots: Mutex<BTreeMap<SocketAddr, Slot>>,
}

impl TcpUdpNetwork {
    pub(crate) fn new(socket: Arc<UdpSocket>, counters: TrafficCounters) -> Self {
        Self {
            socket,
            counters,
            next_request: AtomicU64::new(1),
            slots: Mutex::new(BTreeMap::new()),
        }
    }

    /// Closes the connection to a peer that is gone for good; requests on it end without answer.
    pub fn forget(&self, address: SocketAddr) {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.remove(&address);
    }

    fn slot(&self, address: SocketAddr) -> Slot {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.entry(address).or_default().clone()
    }

    /// Later requests open a new connection, since this one may have been cut and TCP would wait
    /// for minutes. Requests still waiting on it go on waiting.
    async fn replace_silent(&self, address: SocketAddr, silent: &Arc<Connection>) {
        let slot = self.slot(address);
        let mut current = slot.lock().await;
        if current
            .as_ref()
            .is_some_and(|found| Arc::ptr_eq(found, silent))
        {
            *current = None;
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<Arc<Connection>, PeerError> {
        let slot = self.slot(address);
        let mut current = slot.lock().await;
        if let Some(connection) = current.as_ref().filter(|found| !found.is_broken()) {
            return Ok(connection.clone());
        }
        *current = None;
        let opened = Connection::open(address, self.counters.clone()).await;
        let connection = Arc::new(opened.map_err(|_| PeerError::NotSent)?);
        *current = Some(connection.clone());
        Ok(connection)
    }
}

#[async_trait]
impl PeerNetwork for TcpUdpNetwork {
    async fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, PeerError> {
        let deadline = Instant::now() + timeout;
        let connecting = timeout_at(deadline, self.connection(address)).await;
        let connection = connecting.map_err(|_| PeerError::NotSent)??;
        let id = self.next_request.fetch_add(1, Ordering::Relaxed);
        let answers_before = connection.answers_received();
        let answering = timeout_at(deadline, connection.call(id, request)).await;
        if let Ok(answer) = answering {
            return answer;
        }
        if connection.answers_received() == answers_before {
            self.replace_silent(address, &connection).await;
        }
        Err(PeerError::NoAnswer)
    }

    async fn gossip(&self, address: SocketAddr, packet: GossipPacket) {
        let Ok(bytes) = codec::encode(&packet) else {
            return;
        };
        match self.socket.send_to(&bytes, address).await {
            Ok(sent) => self.counters.sent(Traffic::Gossip, sent),
            Err(error) => log::debug!("a datagram to {address} was not sent: {error}"),
        }
    }
}
