//! The client side: one pooled connection to each peer, and the socket for gossip.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use havenstage_edge::peer::{PeerError, PeerNetwork};
use havenstage_types::codec;
use havenstage_types::gossip::GossipPacket;
use havenstage_types::peer::{PeerRequest, PeerResponse};
use tokio::net::UdpSocket;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::{Instant, timeout_at};

use crate::connection::Connection;
use crate::traffic::{Traffic, TrafficCounters};

/// Time without a request after which a connection is closed. Over a day a node asks most others
/// something, and must not keep a connection to each.
pub const IDLE_CONNECTION_LIFE: Duration = Duration::from_secs(20);

/// Time between two looks for idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

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
    idle_checked: Mutex<Instant>,
}

impl TcpUdpNetwork {
    pub(crate) fn new(socket: Arc<UdpSocket>, counters: TrafficCounters) -> Self {
        Self {
            socket,
            counters,
            next_request: AtomicU64::new(1),
            slots: Mutex::new(BTreeMap::new()),
            idle_checked: Mutex::new(Instant::now()),
        }
    }

    /// Connections that are open, or were until a request finds otherwise.
    pub fn connection_count(&self) -> usize {
        self.lock_slots().len()
    }

    /// Closes the connection to a peer that is gone for good; requests on it end without answer.
    pub fn forget(&self, address: SocketAddr) {
        self.lock_slots().remove(&address);
    }

    fn slot(&self, address: SocketAddr) -> Slot {
        self.lock_slots().entry(address).or_default().clone()
    }

    fn lock_slots(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes idle connections, if it is time to look. Only this side closes them, so no request
    /// can be on its way on one.
    fn close_idle(&self) {
        let now = Instant::now();
        {
            let mut checked = self
                .idle_checked
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if now - *checked < IDLE_CHECK_INTERVAL {
                return;
            }
            *checked = now;
        }
        self.lock_slots().retain(|_, slot| !is_idle(slot));
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

/// Whether nobody uses a slot, nor has for the life of an idle connection. The caller holds the
/// lock of the slots, so nobody can begin to.
fn is_idle(slot: &Slot) -> bool {
    if Arc::strong_count(slot) > 1 {
        return false;
    }
    slot.try_lock().is_ok_and(|current| {
        current.as_ref().is_none_or(|connection| {
            let is_held = Arc::strong_count(connection) > 1;
            !is_held && connection.is_idle_for(IDLE_CONNECTION_LIFE)
        })
    })
}

#[async_trait]
impl PeerNetwork for TcpUdpNetwork {
    async fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, PeerError> {
        self.close_idle();
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
        self.close_idle();
        let Ok(bytes) = codec::encode(&packet) else {
            return;
        };
        match self.socket.send_to(&bytes, address).await {
            Ok(sent) => self.counters.sent(Traffic::Gossip, sent),
            Err(error) => log::debug!("a datagram to {address} was not sent: {error}"),
        }
    }
}
