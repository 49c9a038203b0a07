//! Counts what one node sends and receives, by kind of message.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use havenstage_platform_http::traffic::HttpTraffic;
use havenstage_types::gossip::GossipBody;
use havenstage_types::ids::StreamName;
use havenstage_types::peer::PeerRequestBody;
use serde::{Deserialize, Serialize};

/// Kinds of messages counted apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrafficKind {
    /// Membership: probe.
    GossipPing,
    /// Membership: answer to a probe.
    GossipAck,
    /// Membership: asks another member to probe.
    GossipPingRequest,
    /// Membership: a newcomer asks for the members.
    GossipJoin,
    /// Membership: news only.
    GossipUpdates,
    /// Permit asked of an engine's home.
    Admit,
    /// Permit given back.
    Release,
    /// Claim of a key, its outcome or its end.
    Claim,
    /// Kept answer stored or asked for.
    KeptAnswer,
    /// Configuration records asked of a peer.
    ConfigRecords,
    /// Configuration offset asked of a peer.
    ConfigOffset,
    /// Sample assigned to a node, what there is of it included.
    Sample,
    /// Any other request to a peer.
    OtherRequest,
    /// Read of the configuration, long polls included.
    ConfigRead,
    /// Append to the configuration.
    ConfigAppend,
    /// Read of a claim stream, answers included.
    ClaimRead,
    /// Append to a claim stream, answers included.
    ClaimAppend,
    /// Read of a job's stream, samples included.
    JobRead,
    /// Append to a job's stream, samples included.
    JobAppend,
    /// Read of a decision stream.
    DecisionRead,
    /// Append to a decision stream.
    DecisionAppend,
    /// Read of the machine list.
    MachineList,
    /// Load report, version order or cancellation at an engine.
    EngineControl,
    /// Generation at an engine, its output included.
    EngineGenerate,
}

impl TrafficKind {
    /// The kind of a datagram.
    pub fn of_gossip(body: &GossipBody) -> Self {
        match body {
            GossipBody::Ping { .. } => Self::GossipPing,
            GossipBody::Ack { .. } => Self::GossipAck,
            GossipBody::PingRequest { .. } => Self::GossipPingRequest,
            GossipBody::Join => Self::GossipJoin,
            GossipBody::Updates => Self::GossipUpdates,
        }
    }

    /// The kind of a peer request.
    pub fn of_request(body: &PeerRequestBody) -> Self {
        match body {
            PeerRequestBody::Admit(_) => Self::Admit,
            PeerRequestBody::Release(_) => Self::Release,
            PeerRequestBody::Claim(_)
            | PeerRequestBody::AbandonClaim { .. }
            | PeerRequestBody::CompleteClaim { .. } => Self::Claim,
            PeerRequestBody::KeepAnswer { .. } | PeerRequestBody::FetchAnswer { .. } => {
                Self::KeptAnswer
            }
            PeerRequestBody::ConfigRecords { .. } => Self::ConfigRecords,
            PeerRequestBody::ConfigOffset => Self::ConfigOffset,
            PeerRequestBody::RunSample(_) => Self::Sample,
            _ => Self::OtherRequest,
        }
    }

    /// The kinds of a read and of an append of a log stream.
    pub fn of_stream(stream: &StreamName) -> (Self, Self) {
        let name = stream.as_str();
        if name.starts_with("claims") {
            (Self::ClaimRead, Self::ClaimAppend)
        } else if name.starts_with("job") {
            (Self::JobRead, Self::JobAppend)
        } else if name.starts_with("decisions") {
            (Self::DecisionRead, Self::DecisionAppend)
        } else {
            (Self::ConfigRead, Self::ConfigAppend)
        }
    }

    /// Whether the bytes are mostly prompts, answers and samples themselves, not control.
    pub fn is_payload(self) -> bool {
        matches!(
            self,
            Self::EngineGenerate
                | Self::KeptAnswer
                | Self::Claim
                | Self::ClaimRead
                | Self::ClaimAppend
                | Self::Sample
                | Self::JobRead
                | Self::JobAppend
        )
    }

    /// Whether the other side of the message is a node too, so that each byte counts at both.
    pub fn is_between_nodes(self) -> bool {
        matches!(
            self,
            Self::GossipPing
                | Self::GossipAck
                | Self::GossipPingRequest
                | Self::GossipJoin
                | Self::GossipUpdates
                | Self::Admit
                | Self::Release
                | Self::Claim
                | Self::KeptAnswer
                | Self::ConfigRecords
                | Self::ConfigOffset
                | Self::Sample
                | Self::OtherRequest
        )
    }
}

/// Messages of one kind since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct KindTotals {
    /// Messages that the node began: datagrams or requests.
    pub messages: u64,
    /// Bytes the node sent in them.
    pub sent_bytes: u64,
    /// Bytes of their answers.
    pub received_bytes: u64,
}

/// Totals by kind.
pub type TrafficTotals = BTreeMap<TrafficKind, KindTotals>;

/// Counters of one node.
#[derive(Debug, Default)]
pub struct NodeTraffic {
    counted: Mutex<TrafficTotals>,
    http: Mutex<BTreeMap<TrafficKind, HttpTraffic>>,
}

impl NodeTraffic {
    /// Counts a message that the node began.
    pub fn count(&self, kind: TrafficKind, sent_bytes: usize, received_bytes: usize) {
        let mut counted = self.counted.lock().unwrap_or_else(PoisonError::into_inner);
        let totals = counted.entry(kind).or_default();
        totals.messages += 1;
        totals.sent_bytes += sent_bytes as u64;
        totals.received_bytes += received_bytes as u64;
    }

    /// Takes the bytes of a kind from an HTTP client's own counters.
    pub fn add_http(&self, kind: TrafficKind, traffic: HttpTraffic) {
        let mut http = self.http.lock().unwrap_or_else(PoisonError::into_inner);
        http.insert(kind, traffic);
    }

    /// Everything since the start.
    pub fn totals(&self) -> TrafficTotals {
        let mut totals = self
            .counted
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let http = self.http.lock().unwrap_or_else(PoisonError::into_inner);
        for (kind, traffic) in http.iter() {
            let bytes = traffic.snapshot();
            let entry = totals.entry(*kind).or_default();
            entry.sent_bytes += bytes.sent_bytes;
            entry.received_bytes += bytes.received_bytes;
        }
        totals
    }
}

/// Bytes that nodes sent and received, counted at both ends, in messages that they began.
pub fn bytes_of(totals: &TrafficTotals, is_counted: impl Fn(TrafficKind) -> bool) -> u64 {
    totals
        .iter()
        .filter(|(kind, _)| is_counted(**kind))
        .map(|(kind, totals)| {
            let ends = if kind.is_between_nodes() { 2 } else { 1 };
            ends * (totals.sent_bytes + totals.received_bytes)
        })
        .sum()
}
