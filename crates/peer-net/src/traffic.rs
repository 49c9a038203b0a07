//! Counters of what goes over the wire, without the headers of TCP, UDP and IP.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Kinds of traffic counted apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Traffic {
    /// Requests and answers over TCP.
    Requests,
    /// Datagrams.
    Gossip,
}

#[derive(Debug, Default)]
struct DirectionCounters {
    bytes: AtomicU64,
    messages: AtomicU64,
}

impl DirectionCounters {
    fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.messages.fetch_add(1, Ordering::Relaxed);
    }

    fn snapshot(&self) -> DirectionSnapshot {
        DirectionSnapshot {
            bytes: self.bytes.load(Ordering::Relaxed),
            messages: self.messages.load(Ordering::Relaxed),
        }
    }
}

#[derive(Debug, Default)]
struct KindCounters {
    sent: DirectionCounters,
    received: DirectionCounters,
}

impl KindCounters {
    fn snapshot(&self) -> KindSnapshot {
        KindSnapshot {
            sent: self.sent.snapshot(),
            received: self.received.snapshot(),
        }
    }
}

#[derive(Debug, Default)]
struct Counters {
    requests: KindCounters,
    gossip: KindCounters,
}

/// Counters shared by a node's client and server side.
#[derive(Debug, Clone, Default)]
pub struct TrafficCounters {
    counters: Arc<Counters>,
}

/// Messages of one kind in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DirectionSnapshot {
    /// Bytes of all messages.
    pub bytes: u64,
    /// Number of messages.
    pub messages: u64,
}

/// Messages of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct KindSnapshot {
    /// Sent by this node.
    pub sent: DirectionSnapshot,
    /// Received by this node.
    pub received: DirectionSnapshot,
}

/// All counters at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TrafficSnapshot {
    /// Requests and their answers.
    pub requests: KindSnapshot,
    /// Datagrams.
    pub gossip: KindSnapshot,
}

impl TrafficCounters {
    /// The counters now.
    pub fn snapshot(&self) -> TrafficSnapshot {
        TrafficSnapshot {
            requests: self.counters.requests.snapshot(),
            gossip: self.counters.gossip.snapshot(),
        }
    }

    /// A message of so many bytes was sent.
    pub(crate) fn sent(&self, kind: Traffic, bytes: usize) {
        self.kind(kind).sent.add(bytes);
    }

    /// A message of so many bytes was received.
    pub(crate) fn received(&self, kind: Traffic, bytes: usize) {
        self.kind(kind).received.add(bytes);
    }

    fn kind(&self, kind: Traffic) -> &KindCounters {
        match kind {
            Traffic::Requests => &self.counters.requests,
            Traffic::Gossip => &self.counters.gossip,
        }
    }
}
