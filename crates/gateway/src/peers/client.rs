//! Connections to nodes that run batches, with a backoff for each node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_http_link::{Link, LinkError, LinkSettings, SendOptions};
use havenstage_rollout::Millis;
use havenstage_rollout::ids::NodeId;
use havenstage_rollout::peer_message::{PeerAnswer, PeerRequest};
use havenstage_rollout::peer_question::PeerBackoff;
use havenstage_rollout::stored::{Stored, UnreadableValue};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use thiserror::Error;

use super::server::QUESTION_PATH;

/// Timeout for the head of an answer. A node sends the head as soon as it has read the question, which takes some
/// milliseconds on a small machine.
const HEAD_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which an idle connection is kept; shorter than the idle timeout of the server.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Idle connections to one node, at most.
const MAX_IDLE: usize = 2;
/// Nodes to which connections are kept, at most.
const MAX_PEERS: usize = 32;
/// Bytes of an encoded answer beyond those of its page or item body.
const ENVELOPE_BYTES: usize = 1_024;

/// Why a node gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(super) enum PeerError {
    /// The exchange failed.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The node answered with a status other than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The answer cannot be decoded.
    #[error(transparent)]
    Unreadable(#[from] UnreadableValue),
}

impl PeerError {
    /// Whether the node cannot have acted on the question.
    pub(super) fn is_unsent(&self) -> bool {
        matches!(self, Self::Link(error) if error.is_unsent()) || matches!(self, Self::Status(_))
    }
}

/// Connections to other nodes and their backoff.
#[derive(Default)]
pub(super) struct PeerLinks(Mutex<BTreeMap<NodeId, KnownPeer>>);

struct KnownPeer {
    link: Link,
    backoff: PeerBackoff,
    /// When the node was last asked.
    last_asked: Millis,
}

impl PeerLinks {
    /// Whether a node is not to be asked, as its backoff lasts.
    pub(super) fn is_paused(&self, node: &NodeId, now: Millis) -> bool {
        let peers = self.lock();
        peers
            .get(node)
            .is_some_and(|peer| peer.backoff.is_paused(now))
    }

    /// Updates the backoff of a node. Has no effect if the connections of the node were evicted since; it then starts
    /// without a backoff.
    pub(super) fn update_backoff(&self, node: &NodeId, change: impl FnOnce(&mut PeerBackoff)) {
        if let Some(peer) = self.lock().get_mut(node) {
            change(&mut peer.backoff);
        }
    }

    /// The connections to a node. If there are connections to too many nodes, those to the node that was asked
    /// longest ago are evicted.
    pub(super) fn link_to(&self, node: &NodeId, address: SocketAddr, now: Millis) -> Link {
        let mut peers = self.lock();
        if let Some(known) = peers.get_mut(node) {
            known.last_asked = now;
            return known.link.clone();
        }
        if peers.len() >= MAX_PEERS {
            let oldest = peers.iter().min_by_key(|(_, peer)| peer.last_asked);
            let oldest = oldest.map(|(node, _)| node.clone());
            oldest.and_then(|oldest| peers.remove(&oldest));
        }
        let link = Link::new(
            address,
            LinkSettings {
                connect_timeout: CONNECT_TIMEOUT,
                keep_idle: IDLE_TIMEOUT,
                max_idle_connections: MAX_IDLE,
            },
        );
        let peer = KnownPeer {
            link: link.clone(),
            backoff: PeerBackoff::default(),
            last_asked: now,
        };
        peers.insert(node.clone(), peer);
        link
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeId, KnownPeer>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks a node. The whole answer, with a page or item body of at most `max_bytes`, must arrive by `until`.
///
/// # Errors
///
/// If the exchange fails or times out, if the status is not 200, or if the answer cannot be decoded.
pub(super) async fn ask(
    link: &Link,
    request: &PeerRequest,
    max_bytes: usize,
    until: Instant,
) -> Result<PeerAnswer, PeerError> {
    let left = until.saturating_duration_since(Instant::now());
    let sending = SendOptions::within(HEAD_TIMEOUT.min(left));
    let answer = link.send_as(http_request(link, request), sending).await?;
    let whole = answer.whole(max_bytes + ENVELOPE_BYTES);
    let whole = havenstage_clock::timeout_at(until, whole).await;
    let whole = whole.map_err(|_| LinkError::TimedOut)??;
    if whole.status != StatusCode::OK {
        return Err(PeerError::Status(whole.status));
    }
    Ok(PeerAnswer::decode(&whole.body)?)
}

fn http_request(link: &Link, request: &PeerRequest) -> Request<Full<Bytes>> {
    let mut http = Request::new(Full::new(Bytes::from(request.encode())));
    *http.method_mut() = Method::POST;
    *http.uri_mut() = http::Uri::from_static(QUESTION_PATH);
    let host = link.address().to_string();
    if let Ok(host) = http::HeaderValue::from_str(&host) {
        http.headers_mut().insert(http::header::HOST, host);
    }
    http
}
