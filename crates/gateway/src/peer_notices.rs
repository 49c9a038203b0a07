//! Notices from node to node, past the log: where the log does not take what a node saw, another node takes it, goes by it
//! and writes it. What then stands in two machines' memory is not lost with one of them.
//!
//! A notice is one datagram, and so is its answer; both may be lost, so a notice is sent until it is answered, each time to other
//! machines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use havenstage_rollout::crash_ledger::{EndedBackend, Fingerprint};
use havenstage_rollout::stored::{Stored, UnreadableValue};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::crash_guard;
use crate::metrics;
use crate::server::ListenError;

/// First bytes of each datagram: what it is, and the form of what follows.
const MARK: &[u8] = b"havenstage1";
/// Longest datagram that is read. A notice holds some 200 bytes.
const MOST_BYTES: usize = 1_024;
/// Other machines that get a notice at a time.
const RECIPIENTS: usize = 2;
/// Time after which a notice without an answer is sent to others: some ten round trips between zones.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Longest pause between two tries to tell a notice: what waits while everything is away must not take up a small machine.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Pause after a failure to receive, so that one that stays does not take a whole processor.
const RECEIVE_AGAIN_PAUSE: Duration = Duration::from_millis(100);
/// Most notices that wait for an answer.
const MOST_ASKED: usize = 256;

/// Number of a notice, by which its answer names it.
type NoticeId = u64;

/// What nodes say to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum PeerNotice {
    /// A back end ended while it ran a request, and the log does not take that.
    BackendEnded {
        id: NoticeId,
        request: Fingerprint,
        ended: EndedBackend,
    },
    /// The notice is known here, and will be written.
    Heard { id: NoticeId },
}

impl Stored for PeerNotice {
    const DESCRIPTION: &'static str = "a notice of another node";
}

/// Why a datagram is no notice of a node.
#[derive(Debug, Error)]
enum BadDatagram {
    #[error("it does not begin as the notices of nodes do")]
    NoMark,
    #[error(transparent)]
    Unreadable(#[from] UnreadableValue),
}

impl PeerNotice {
    fn to_datagram(&self) -> Vec<u8> {
        let mut datagram = MARK.to_vec();
        datagram.extend(self.encode());
        datagram
    }

    fn from_datagram(datagram: &[u8]) -> Result<Self, BadDatagram> {
        let notice = datagram.strip_prefix(MARK).ok_or(BadDatagram::NoMark)?;
        Ok(Self::decode(notice)?)
    }
}

/// Where datagrams of other nodes come in, and what this node waits to be answered.
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    address: SocketAddr,
    asked: Mutex<HashMap<NoticeId, oneshot::Sender<SocketAddr>>>,
}

impl PeerSocket {
    /// Takes datagrams at an address.
    pub(crate) async fn bind(address: SocketAddr) -> Result<Self, ListenError> {
        let failed = |source| ListenError {
            purpose: "datagrams'",
            address,
            source,
        };
        let socket = UdpSocket::bind(address).await.map_err(failed)?;
        Ok(Self {
            address: socket.local_addr().map_err(failed)?,
            socket,
            asked: Mutex::default(),
        })
    }

    /// Where it takes them.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    fn lock_asked(&self) -> MutexGuard<'_, HashMap<NoticeId, oneshot::Sender<SocketAddr>>> {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn send(&self, notice: &PeerNotice, to: SocketAddr) {
        // One that cannot be sent is one that is lost.
        if let Err(error) = self.socket.send_to(&notice.to_datagram(), to).await {
            warn!(event = "peer_notice_not_sent", to = to.to_string().as_str(),
                reason = error.to_string().as_str(); "");
        }
    }
}

/// Whether this node knows of others that could hear it.
pub(crate) fn has_recipients(context: &Context) -> bool {
    context.peer_socket.get().is_some() && !recipients(context, 1).is_empty()
}

/// Addresses of some other nodes.
fn recipients(context: &Context, count: usize) -> Vec<SocketAddr> {
    let control = context.control.lock();
    let addresses = control.state.reachable();
    addresses.sample_others(&context.node.machine, count, rand::random())
}

/// Tells other nodes that a back end ended under a request, until one has heard it; answers where that is. Without a
/// socket of its own a node tells nobody, and this never ends.
pub(crate) async fn report_end(
    context: &Context,
    request: Fingerprint,
    ended: &EndedBackend,
) -> SocketAddr {
    let Some(socket) = context.peer_socket.get() else {
        return std::future::pending().await;
    };
    let mut pause = Duration::ZERO;
    loop {
        if let Some(recipient) = tell_once(context, socket, request, ended).await {
            return recipient;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).clamp(ANSWER_TIME, LONGEST_PAUSE);
    }
}

/// Tells some other nodes, and waits a moment for the answer of one.
async fn tell_once(
    context: &Context,
    socket: &PeerSocket,
    request: Fingerprint,
    ended: &EndedBackend,
) -> Option<SocketAddr> {
    let recipients = recipients(context, RECIPIENTS);
    if recipients.is_empty() || socket.lock_asked().len() >= MOST_ASKED {
        tokio::time::sleep(ANSWER_TIME).await;
        return None;
    }
    let id = rand::random();
    let (answer, asking) = Asking::begin(socket, id);
    let notice = PeerNotice::BackendEnded {
        id,
        request,
        ended: ended.clone(),
    };
    for recipient in recipients {
        socket.send(&notice, recipient).await;
    }
    let answer = tokio::time::timeout(ANSWER_TIME, answer).await;
    drop(asking);
    answer.ok()?.ok()
}

/// A notice that waits for its answer, until this is dropped.
struct Asking<'a> {
    socket: &'a PeerSocket,
    id: NoticeId,
}

impl<'a> Asking<'a> {
    fn begin(socket: &'a PeerSocket, id: NoticeId) -> (oneshot::Receiver<SocketAddr>, Self) {
        let (answered, answer) = oneshot::channel();
        socket.lock_asked().insert(id, answered);
        (answer, Self { socket, id })
    }
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.socket.lock_asked().remove(&self.id);
    }
}

/// Takes the notices of other nodes, and ends with the process.
pub(crate) async fn serve(context: Arc<Context>) {
    let Some(socket) = context.peer_socket.get() else {
        return;
    };
    let mut buffer = [0; MOST_BYTES];
    loop {
        let (length, from) = match socket.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                warn!(event = "peer_notice_not_received", reason = error.to_string().as_str(); "");
                tokio::time::sleep(RECEIVE_AGAIN_PAUSE).await;
                continue;
            }
        };
        match PeerNotice::from_datagram(&buffer[..length]) {
            Ok(notice) => take(&context, socket, notice, from).await,
            Err(error) => {
                metrics::peer_notice("unreadable");
                warn!(event = "peer_notice_unreadable", from = from.to_string().as_str(),
                    reason = error.to_string().as_str(); "");
            }
        }
    }
}

async fn take(context: &Arc<Context>, socket: &PeerSocket, notice: PeerNotice, from: SocketAddr) {
    match notice {
        PeerNotice::BackendEnded { id, request, ended } => {
            let is_kept = crash_guard::record_end_from_peer(context, request, &ended);
            metrics::peer_notice(if is_kept { "heard" } else { "no_room" });
            info!(event = "peer_notice_heard", from = from.to_string().as_str(),
                content = request.to_string().as_str(), backend = ended.backend.as_str(),
                seen_by = ended.seen_by.as_str(), is_kept = is_kept; "");
            if is_kept {
                socket.send(&PeerNotice::Heard { id }, from).await;
            }
        }
        PeerNotice::Heard { id } => {
            // Nobody waits for the second answer to one notice.
            if let Some(answered) = socket.lock_asked().remove(&id) {
                metrics::peer_notice("answered");
                let _ = answered.send(from);
            }
        }
    }
}
