//! The server side: takes requests and datagrams and hands them to a [`PeerHandler`].

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use havenstage_edge::peer::PeerHandler;
use havenstage_http_server::{
    BodyMemory, ConnectionSlot, Connections, RequestInProgress, max_descriptors,
};
use havenstage_types::codec;
use havenstage_types::gossip::GossipPacket;
use havenstage_types::peer::PeerResponse;
use thiserror::Error;
use tokio::io::BufReader;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::frame::{
    LENGTH_BYTES, MAX_FRAME_BYTES, RequestFrame, ResponseFrame, encode_frame, write_frames,
};
use crate::incoming_frame::read_frame;
use crate::network::TcpUdpNetwork;
use crate::traffic::{Traffic, TrafficCounters};

/// Ports tried when the system chooses the TCP port and the same UDP port is taken.
const BIND_ATTEMPTS: usize = 32;

/// Largest datagram that is taken.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Requests of one connection that are handled at once; more wait in the socket.
const MAX_REQUESTS_PER_CONNECTION: usize = 1_024;

/// Bytes of the requests that are being received or decoded at a time.
const REQUEST_MEMORY: usize = 4 * MAX_FRAME_BYTES;

/// One part of the descriptors in so many is for connections of peers.
const DESCRIPTOR_PART: usize = 4;

/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

/// Why no address could be bound.
#[derive(Debug, Error)]
pub enum BindError {
    /// The TCP port cannot be bound.
    #[error("cannot bind TCP {address}")]
    Tcp {
        /// Address asked for.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The UDP port of the same number cannot be bound.
    #[error("cannot bind UDP {address}")]
    Udp {
        /// Address asked for.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
}

/// Bound sockets that serve nobody yet.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    listener: TcpListener,
    socket: Arc<UdpSocket>,
    counters: TrafficCounters,
}

impl PeerServer {
    /// Binds TCP and UDP on the same port. With port 0 the system chooses one that is free for
    /// both; [`PeerServer::address`] tells which.
    pub async fn bind(address: SocketAddr) -> Result<Self, BindError> {
        let attempts = if address.port() == 0 {
            BIND_ATTEMPTS
        } else {
            1
        };
        let mut attempt = 1;
        loop {
            match Self::bind_once(address).await {
                Err(BindError::Udp { .. }) if attempt < attempts => attempt += 1,
                result => return result,
            }
        }
    }

    async fn bind_once(address: SocketAddr) -> Result<Self, BindError> {
        let tcp_error = |source| BindError::Tcp { address, source };
        let listener = TcpListener::bind(address).await.map_err(tcp_error)?;
        let address = listener.local_addr().map_err(tcp_error)?;
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|source| BindError::Udp { address, source })?;
        Ok(Self {
            address,
            listener,
            socket: Arc::new(socket),
            counters: TrafficCounters::default(),
        })
    }

    /// The address bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counters of this server and of the networks made from it.
    pub fn counters(&self) -> TrafficCounters {
        self.counters.clone()
    }

    /// The client side. Its datagrams leave from this server's port, so that peers can answer.
    pub fn network(&self) -> TcpUdpNetwork {
        TcpUdpNetwork::new(self.socket.clone(), self.counters.clone())
    }

    /// Serves until [`PeerServerHandle::shutdown`].
    pub fn serve(self, handler: Arc<dyn PeerHandler>) -> PeerServerHandle {
        let service = Service {
            handler,
            counters: self.counters.clone(),
            stopping: CancellationToken::new(),
            tasks: TaskTracker::new(),
            requests: BodyMemory::new(REQUEST_MEMORY),
            connections: Connections::new("peers", max_descriptors() / DESCRIPTOR_PART),
        };
        let handle = PeerServerHandle {
            address: self.address,
            counters: self.counters,
            stopping: service.stopping.clone(),
            tasks: service.tasks.clone(),
        };
        let tasks = service.tasks.clone();
        tasks.spawn(service.clone().receive_datagrams(self.socket));
        tasks.spawn(service.accept_connections(self.listener));
        handle
    }
}

/// A running server.
#[derive(Debug)]
pub struct PeerServerHandle {
    address: SocketAddr,
    counters: TrafficCounters,
    stopping: CancellationToken,
    tasks: TaskTracker,
}

impl PeerServerHandle {
    /// The address served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counters of this server and of the networks made from it.
    pub fn counters(&self) -> TrafficCounters {
        self.counters.clone()
    }

    /// Takes no more requests and datagrams, and returns once the requests taken have been
    /// answered. A peer that does not read its answers can hold it up, so bound the wait.
    pub async fn shutdown(self) {
        self.stopping.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Drop for PeerServerHandle {
    fn drop(&mut self) {
        self.stopping.cancel();
    }
}

/// What all tasks of a server share.
#[derive(Clone)]
struct Service {
    handler: Arc<dyn PeerHandler>,
    counters: TrafficCounters,
    stopping: CancellationToken,
    tasks: TaskTracker,
    requests: Arc<BodyMemory>,
    connections: Arc<Connections>,
}

impl Service {
    async fn accept_connections(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.stopping.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    if let Some(slot) = self.connections.admit().await {
                        self.tasks
                            .spawn(self.clone().serve_connection(stream, slot));
                    }
                }
                Err(error) => {
                    log::warn!("accepting a peer failed: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_connection(self, stream: TcpStream, slot: ConnectionSlot) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let slot = Arc::new(slot);
        let (read_half, write_half) = stream.into_split();
        let (answers, queue) = mpsc::channel(MAX_REQUESTS_PER_CONNECTION);
        let writer = write_frames(write_half, queue, self.counters.clone());
        let reader = self.read_requests(read_half, answers, &slot);
        tokio::select! {
            biased;
            () = slot.close().notified() => {}
            _ = async { tokio::join!(reader, writer) } => {}
        }
    }

    async fn read_requests(
        &self,
        stream: OwnedReadHalf,
        answers: mpsc::Sender<Bytes>,
        slot: &Arc<ConnectionSlot>,
    ) {
        let mut stream = BufReader::new(stream);
        let slots = Arc::new(Semaphore::new(MAX_REQUESTS_PER_CONNECTION));
        loop {
            let Ok(permit) = slots.clone().acquire_owned().await else {
                return;
            };
            let frame = tokio::select! {
                () = self.stopping.cancelled() => return,
                frame = read_frame(&mut stream, &self.requests, slot) => frame,
            };
            let Some(frame) = frame else {
                return;
            };
            self.counters
                .received(Traffic::Requests, frame.len() + LENGTH_BYTES);
            let Ok(request) = codec::decode(&frame) else {
                log::warn!("a peer sent a malformed request; closing the connection");
                return;
            };
            let answering = answer_request(
                self.handler.clone(),
                request,
                answers.clone(),
                (permit, slot.begin_request()),
            );
            self.tasks.spawn(answering);
        }
    }

    async fn receive_datagrams(self, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let received = tokio::select! {
                () = self.stopping.cancelled() => return,
                received = socket.recv_from(&mut buffer) => received,
            };
            // An error tells that an earlier datagram reached nobody; that is no matter of ours.
            let Ok((bytes, from)) = received else {
                continue;
            };
            self.counters.received(Traffic::Gossip, bytes);
            if let Ok(packet) = codec::decode::<GossipPacket>(&buffer[..bytes]) {
                self.handler.handle_gossip(from, packet).await;
            }
        }
    }
}

async fn answer_request(
    handler: Arc<dyn PeerHandler>,
    frame: RequestFrame,
    answers: mpsc::Sender<Bytes>,
    _guards: (OwnedSemaphorePermit, RequestInProgress),
) {
    let response = handler.handle_request(frame.request).await;
    if let Some(bytes) = encode_answer(frame.id, response) {
        // The asker may have gone.
        let _ = answers.send(bytes).await;
    }
}

/// Encodes an answer; one that is too large is replaced by the word that there is none.
fn encode_answer(id: u64, response: PeerResponse) -> Option<Bytes> {
    let whole = ResponseFrame {
        id,
        response: Some(response),
    };
    let error = match encode_frame(&whole) {
        Ok(bytes) => return Some(bytes),
        Err(error) => error,
    };
    log::warn!("an answer to a peer cannot be sent: {error}");
    let none = ResponseFrame { id, response: None };
    encode_frame(&none).ok()
}
