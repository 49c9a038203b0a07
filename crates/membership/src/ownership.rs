//! Assignment of roles to members by rendezvous hashing over the members that may own roles.
//!
//! Members with the same view compute the same owners, and when a member is removed only its own
//! roles move.

use havenstage_types::ids::{
    EngineName, IdempotencyKey, JobName, NodeId, Partition, SampleId, Zone,
};
use havenstage_types::member::{Member, MembershipView};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Kinds of roles. The kind seeds the hash, so that equal names of different kinds are assigned
/// independently.
#[derive(Debug, Clone, Copy)]
enum Role {
    Partition = 1,
    Engine = 2,
    Job = 3,
    ConfigRecorder = 4,
    Sample = 5,
}

/// The member that leads a partition; `None` when there is no member that may own roles.
pub fn owner_of_partition(view: &MembershipView, partition: Partition) -> Option<NodeId> {
    highest_weight_member(view.owners(), Role::Partition, &partition.0.to_le_bytes())
}

/// The member that admits work to an engine, preferably one in the engine's zone.
pub fn home_of_engine(view: &MembershipView, engine: &EngineName, zone: &Zone) -> Option<NodeId> {
    let name = engine.as_str().as_bytes();
    let same_zone = view.owners().filter(|member| member.identity.zone == *zone);
    highest_weight_member(same_zone, Role::Engine, name)
        .or_else(|| highest_weight_member(view.owners(), Role::Engine, name))
}

/// The member that runs a job.
pub fn owner_of_job(view: &MembershipView, job: &JobName) -> Option<NodeId> {
    highest_weight_member(view.owners(), Role::Job, job.as_str().as_bytes())
}

/// The member that runs a sample. The next owner of the job computes the same member, so that a run
/// in flight continues when the owner is lost.
pub fn runner_of_sample(view: &MembershipView, sample: &SampleId) -> Option<NodeId> {
    highest_weight_member(view.owners(), Role::Sample, sample.to_string().as_bytes())
}

/// The member that writes member lists and snapshots to the configuration stream.
pub fn config_recorder(view: &MembershipView) -> Option<NodeId> {
    highest_weight_member(view.owners(), Role::ConfigRecorder, &[])
}

/// The partition of a key; a `partition_count` of zero counts as one.
pub fn partition_of(key: &IdempotencyKey, partition_count: u64) -> Partition {
    Partition(xxh3_64(key.as_str().as_bytes()) % partition_count.max(1))
}

fn highest_weight_member<'view>(
    members: impl Iterator<Item = &'view Member>,
    role: Role,
    name: &[u8],
) -> Option<NodeId> {
    let role_hash = xxh3_64_with_seed(name, role as u64);
    members
        .map(|member| member.identity.id)
        .max_by_key(|id| (weight(*id, role_hash), *id))
}

fn weight(id: NodeId, role_hash: u64) -> u64 {
    xxh3_64_with_seed(&id.0.to_le_bytes(), role_hash)
}
