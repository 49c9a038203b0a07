//! Connections to nodes that run batches, and how these have answered lately.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_http_link::{Link, LinkError, LinkSettings, Sending};
use havenstage_rollout::Millis;
use havenstage_rollout::ids::NodeId;
use havenstage_rollout::peer_message::{PeerAnswer, PeerRequest};
use havenstage_rollout::peer_question::PeerBackoff;
use havenstage_rollout::stored::{Stored, UnreadableValue};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use thiserror::Error;

use super::server::PATH;

/// Time for the head of an answer, which is sent as soon as the question was read: a live node on a small machine
/// takes some milliseconds.
const HEAD_PATIENCE: Duration = Duration::from_millis(300);
/// Longest time for a connection to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time that a connection rests, less than the other side keeps it.
const KEEP_IDLE: Duration = Duration::from_secs(20);
/// Most resting connections to a node.
const MOST_IDLE: usize = 2;
/// Most nodes to which connections are kept.
const MOST_PEERS: usize = 32;
/// Bytes of an answer beside those of a page or body of the greatest length.
const ANSWER_ALLOWANCE: usize = 1_024;

/// Why a node gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(super) enum PeerError {
    /// The exchange failed.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// It answered with another status than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// Its answer cannot be read.
    #[error(transparent)]
    Unreadable(#[from] UnreadableValue),
}

impl PeerError {
    /// Whether the node cannot have acted on the question.
    pub(super) fn is_unsent(&self) -> bool {
        matches!(self, Self::Link(error) if error.is_unsent()) || matches!(self, Self::Status(_))
    }
}

/// Connections to other nodes.
#[derive(Default)]
pub(super) struct PeerLinks(Mutex<BTreeMap<NodeId, KnownPeer>>);

struct KnownPeer {
    link: Link,
    record: PeerBackoff,
    used: Millis,
}

impl PeerLinks {
    /// Whether a node is left alone.
    pub(super) fn is_paused(&self, node: &NodeId, now: Millis) -> bool {
        let peers = self.lock();
        peers
            .get(node)
            .is_some_and(|peer| peer.record.is_paused(now))
    }

    /// Notes how a node answered. One whose connections made place for others meanwhile begins anew.
    pub(super) fn note(&self, node: &NodeId, change: impl FnOnce(&mut PeerBackoff)) {
        if let Some(peer) = self.lock().get_mut(node) {
            change(&mut peer.record);
        }
    }

    /// Connections to a node; the node that was asked longest ago makes place for a new one.
    pub(super) fn to(&self, node: &NodeId, address: SocketAddr, now: Millis) -> Link {
        let mut peers = self.lock();
        if let Some(known) = peers.get_mut(node) {
            known.used = now;
            return known.link.clone();
        }
        if peers.len() >= MOST_PEERS {
            let oldest = peers.iter().min_by_key(|(_, peer)| peer.used);
            let oldest = oldest.map(|(node, _)| node.clone());
            oldest.and_then(|oldest| peers.remove(&oldest));
        }
        let link = Link::new(
            address,
            LinkSettings {
                connect_timeout: CONNECT_TIMEOUT,
                keep_idle: KEEP_IDLE,
                most_idle: MOST_IDLE,
            },
        );
        let peer = KnownPeer {
            link: link.clone(),
            record: PeerBackoff::default(),
            used: now,
        };
        peers.insert(node.clone(), peer);
        link
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeId, KnownPeer>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks a node; its whole answer of at most `most_bytes` of body must be there by `until`.
pub(super) async fn ask(
    link: &Link,
    request: &PeerRequest,
    most_bytes: usize,
    until: Instant,
) -> Result<PeerAnswer, PeerError> {
    let left = until.saturating_duration_since(Instant::now());
    let sending = Sending::within(HEAD_PATIENCE.min(left));
    let answer = link.send_as(http_request(link, request), sending).await?;
    let whole = answer.whole(most_bytes + ANSWER_ALLOWANCE);
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
    *http.uri_mut() = http::Uri::from_static(PATH);
    let host = link.address().to_string();
    if let Ok(host) = http::HeaderValue::from_str(&host) {
        http.headers_mut().insert(http::header::HOST, host);
    }
    http
}
