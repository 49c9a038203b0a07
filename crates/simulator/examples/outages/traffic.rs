//! Bytes of what the members of a group send to each other while the log is away.

use std::time::Duration;

use havenstage_replication::ReplicaSettings;
use havenstage_types::claim::ClaimCommand;
use havenstage_types::codec;
use havenstage_types::ids::{EntryIndex, LogOffset, NodeId, Partition, Term, Zone};
use havenstage_types::peer::{PeerRequest, PeerRequestBody, PeerResponse, PeerResponseBody};
use havenstage_types::replica::{
    AppendEntries, AppendReply, AppendResult, GroupMember, ReplicaEnvelope, ReplicaGroup,
    ReplicaMessage, SequenceEnd,
};

/// A large but ordinary number for identities, offsets and indexes.
const NUMBER: u64 = 1 << 40;

/// Members that a leader sends to.
const FOLLOWERS: f64 = 2.0;

/// Prints the encoded size of a heartbeat and its answer, and what that makes a second.
pub fn print() {
    let heartbeat = codec::encode(&heartbeat()).map_or(0, |bytes| bytes.len());
    let answer = codec::encode(&answer()).map_or(0, |bytes| bytes.len());
    let interval = ReplicaSettings::default().heartbeat_interval;
    let each_second = Duration::from_secs(1).as_secs_f64() / interval.as_secs_f64() * FOLLOWERS;
    println!("heartbeat {heartbeat} bytes, answer {answer} bytes");
    println!(
        "group with work: leader sends {:.0} bytes/s, receives {:.0} bytes/s",
        each_second * heartbeat as f64,
        each_second * answer as f64
    );
}

fn group() -> ReplicaGroup {
    let members = (0..3).map(|member| GroupMember {
        id: NodeId(NUMBER + member),
        zone: Zone::new("sala-cremona"),
        peer_address: ([10, 0, 0, 1], 7_000).into(),
    });
    ReplicaGroup {
        generation: LogOffset(NUMBER),
        members: members.collect(),
    }
}

fn heartbeat() -> PeerRequest {
    let append: AppendEntries<ClaimCommand> = AppendEntries {
        term: Term(3),
        round: NUMBER,
        previous: SequenceEnd {
            term: Term(3),
            index: EntryIndex(NUMBER),
        },
        entries: Vec::new(),
        committed: EntryIndex(NUMBER),
        logged: EntryIndex(NUMBER),
    };
    let envelope = ReplicaEnvelope {
        partition: Partition(9),
        group: group(),
        from: NodeId(NUMBER),
        to: NodeId(NUMBER + 1),
        message: ReplicaMessage::Append(append),
    };
    PeerRequest {
        from: NodeId(NUMBER),
        config_offset: LogOffset(NUMBER),
        body: PeerRequestBody::Replica(Box::new(envelope)),
    }
}

fn answer() -> PeerResponse {
    let reply = AppendReply {
        term: Term(3),
        round: NUMBER,
        result: AppendResult::Matched(EntryIndex(NUMBER)),
        logged: EntryIndex(NUMBER),
    };
    PeerResponse {
        config_offset: LogOffset(NUMBER),
        body: PeerResponseBody::Replica(vec![ReplicaMessage::AppendReply(reply)]),
    }
}
