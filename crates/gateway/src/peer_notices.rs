//! Notices that nodes send to each other directly when the log does not accept a record: the receiving node applies the
//! notice and appends it to the log in the sender's place. The information is then in the memory of two machines and is
//! not lost with one of them.
//!
//! A notice is one UDP datagram, and so is its answer. Both may be lost, so a notice is sent until it is answered, each
//! time to another random choice of machines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use havenstage_rollout::crash_ledger::{EndedBackend, Fingerprint};
use havenstage_rollout::reachable_machines::{MAX_ADDRESSES, ReachableAddresses};
use havenstage_rollout::stored::{Stored, UnreadableValue};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::{oneshot, watch};

use crate::context::Context;
use crate::crash_guard;
use crate::metrics;
use crate::server::ListenError;

/// First bytes of each datagram: they identify a notice and the version of its encoding.
const MARK: &[u8] = b"havenstage1";
/// Maximum length of a datagram that is read. A notice takes some 200 bytes.
const MAX_DATAGRAM_BYTES: usize = 1_024;
/// Number of other machines that a notice is sent to at each of the first tries. Most of the known machines may be gone,
/// and the sender may crash soon; but each machine that receives a notice appends it to the log.
const RECIPIENTS_BY_TRY: [usize; 3] = [2, 8, MAX_ADDRESSES];
/// Number of other machines that a notice is sent to at each later try.
const RECIPIENTS_LATER: usize = 2;
/// Time after which a notice without an answer is sent to other machines: some ten round trips between zones.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum pause between two tries to send a notice. The backoff up to it keeps notices that wait while the log and all
/// peers are unreachable from overloading a small machine.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Pause after a failure to receive, so that a persistent failure does not keep a processor busy.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of notices that wait for an answer at a time.
const MAX_UNANSWERED_NOTICES: usize = 256;

/// Random number of a notice, which its answer repeats.
type NoticeId = u64;

/// A message between two nodes: a notice or the answer to one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum PeerNotice {
    /// A back end ended while it ran a request, and the log did not accept the sender's record of it.
    BackendEnded {
        id: NoticeId,
        request: Fingerprint,
        ended: EndedBackend,
    },
    /// Answer: the receiver has recorded the notice and will append it to the log.
    Heard { id: NoticeId },
}

impl Stored for PeerNotice {
    const DESCRIPTION: &'static str = "a notice of another node";
}

/// Why a datagram is not a valid notice.
#[derive(Debug, Error)]
enum BadDatagram {
    #[error("the datagram does not begin with the mark of notices")]
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

/// Socket for the datagrams of other nodes, and this node's notices that wait for an answer.
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    address: SocketAddr,
    /// For each notice without an answer, where to send the address of the node that answers it.
    unanswered: Mutex<HashMap<NoticeId, oneshot::Sender<SocketAddr>>>,
    /// The known addresses of machines.
    known_addresses: watch::Sender<ReachableAddresses>,
}

impl PeerSocket {
    /// Binds a socket to an address.
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
            unanswered: Mutex::default(),
            known_addresses: watch::Sender::default(),
        })
    }

    /// The local address of the socket.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    fn lock_unanswered(&self) -> MutexGuard<'_, HashMap<NoticeId, oneshot::Sender<SocketAddr>>> {
        self.unanswered
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn send(&self, notice: &PeerNotice, to: SocketAddr) {
        // A datagram that cannot be sent is treated like one that is lost on the way.
        if let Err(error) = self.socket.send_to(&notice.to_datagram(), to).await {
            warn!(event = "peer_notice_not_sent", to = to.to_string().as_str(),
                reason = error.to_string().as_str(); "");
        }
    }
}

/// Whether this node has a socket for notices and knows the address of another node.
pub(crate) fn has_recipients(context: &Context) -> bool {
    context.peer_socket.get().is_some() && !recipients(context, 1).is_empty()
}

/// Addresses of up to `count` other nodes, chosen at random.
fn recipients(context: &Context, count: usize) -> Vec<SocketAddr> {
    let control = context.control.lock();
    let addresses = control.state.reachable();
    addresses.sample_others(&context.node.machine, count, rand::random())
}

/// Reports to other nodes that a back end ended under a request. Retries until one of them confirms it, and returns the
/// address of that node. Never returns if this node has no socket for notices.
pub(crate) async fn report_end(
    context: &Context,
    request: Fingerprint,
    ended: &EndedBackend,
) -> SocketAddr {
    let Some(socket) = context.peer_socket.get() else {
        return std::future::pending().await;
    };
    let mut known_addresses = socket.known_addresses.subscribe();
    let mut pause = ANSWER_TIMEOUT;
    let mut unanswered_tries = 0;
    loop {
        known_addresses.mark_unchanged();
        let count = RECIPIENTS_BY_TRY.get(unanswered_tries);
        let asked = recipients(context, *count.unwrap_or(&RECIPIENTS_LATER));
        if !asked.is_empty() {
            if let Some(recipient) = try_report_end(socket, request, ended, &asked).await {
                return recipient;
            }
            unanswered_tries += 1;
            if unanswered_tries < RECIPIENTS_BY_TRY.len() {
                continue;
            }
        }
        // An address that becomes known is tried at once: this node may crash before the pause is over.
        let waited = tokio::time::timeout(pause, known_addresses.changed()).await;
        if waited.is_ok() {
            unanswered_tries = RECIPIENTS_BY_TRY.len() - 1;
        }
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
}

/// Wakes the notices that wait for another try if the known addresses changed since the last call.
pub(crate) fn update_recipients(context: &Context) {
    let Some(socket) = context.peer_socket.get() else {
        return;
    };
    let control = context.control.lock();
    let known = control.state.reachable().addresses();
    socket.known_addresses.send_if_modified(|former| {
        let is_changed = former != known;
        if is_changed {
            former.clone_from(known);
        }
        is_changed
    });
}

/// Sends the notice to these nodes once. Returns the address of the first one that answers, `None` after
/// [`ANSWER_TIMEOUT`] without an answer.
async fn try_report_end(
    socket: &PeerSocket,
    request: Fingerprint,
    ended: &EndedBackend,
    recipients: &[SocketAddr],
) -> Option<SocketAddr> {
    if socket.lock_unanswered().len() >= MAX_UNANSWERED_NOTICES {
        tokio::time::sleep(ANSWER_TIMEOUT).await;
        return None;
    }
    let id = rand::random();
    let (answer, unanswered) = UnansweredNotice::register(socket, id);
    let notice = PeerNotice::BackendEnded {
        id,
        request,
        ended: ended.clone(),
    };
    for recipient in recipients {
        socket.send(&notice, *recipient).await;
    }
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
    drop(unanswered);
    answer.ok()?.ok()
}

/// Keeps a notice registered as waiting for its answer until it is dropped.
struct UnansweredNotice<'a> {
    socket: &'a PeerSocket,
    id: NoticeId,
}

impl<'a> UnansweredNotice<'a> {
    fn register(socket: &'a PeerSocket, id: NoticeId) -> (oneshot::Receiver<SocketAddr>, Self) {
        let (answer_sender, answer) = oneshot::channel();
        socket.lock_unanswered().insert(id, answer_sender);
        (answer, Self { socket, id })
    }
}

impl Drop for UnansweredNotice<'_> {
    fn drop(&mut self) {
        self.socket.lock_unanswered().remove(&self.id);
    }
}

/// Receives and handles the datagrams of other nodes for as long as the process runs.
pub(crate) async fn serve(context: Arc<Context>) {
    let Some(socket) = context.peer_socket.get() else {
        return;
    };
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                warn!(event = "peer_notice_not_received", reason = error.to_string().as_str(); "");
                tokio::time::sleep(RECEIVE_RETRY_PAUSE).await;
                continue;
            }
        };
        match PeerNotice::from_datagram(&buffer[..length]) {
            Ok(notice) => handle_notice(&context, socket, notice, from).await,
            Err(error) => {
                metrics::peer_notice("unreadable");
                warn!(event = "peer_notice_unreadable", from = from.to_string().as_str(),
                    reason = error.to_string().as_str(); "");
            }
        }
    }
}

async fn handle_notice(
    context: &Arc<Context>,
    socket: &PeerSocket,
    notice: PeerNotice,
    from: SocketAddr,
) {
    match notice {
        // This node sent it to itself, under a former name of its machine or an address that stands for any machine. An
        // answer would say that another node knows of the end.
        PeerNotice::BackendEnded { request, ended, .. }
            if ended.seen_by == context.node.machine =>
        {
            metrics::peer_notice("own");
            warn!(event = "own_notice_ignored", from = from.to_string().as_str(),
                content = request.to_string().as_str(), backend = ended.backend.as_str(); "");
        }
        PeerNotice::BackendEnded { id, request, ended } => {
            let is_recorded = crash_guard::record_end_from_peer(context, request, &ended);
            metrics::peer_notice(if is_recorded { "heard" } else { "no_room" });
            info!(event = "peer_notice_heard", from = from.to_string().as_str(),
                content = request.to_string().as_str(), backend = ended.backend.as_str(),
                seen_by = ended.seen_by.as_str(), is_kept = is_recorded; "");
            if is_recorded {
                socket.send(&PeerNotice::Heard { id }, from).await;
            }
        }
        PeerNotice::Heard { id } => {
            // Only the first answer to a notice is used: a notice goes to several nodes.
            if let Some(answer_sender) = socket.lock_unanswered().remove(&id) {
                metrics::peer_notice("answered");
                let _ = answer_sender.send(from);
            }
        }
    }
}
