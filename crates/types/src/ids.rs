//! Identifiers, each a type of its own so that one cannot be passed for another.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Wraps a name.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

name_type!(
    /// Name of a rollout job.
    JobName
);
name_type!(
    /// Name of a pool of engines serving one model.
    PoolName
);
name_type!(
    /// Name of a model whose weights come in numbered versions.
    ModelName
);
name_type!(
    /// Name of an engine (a back end), unique in the deployment.
    EngineName
);
name_type!(
    /// Name of a zone of the platform.
    Zone
);
name_type!(
    /// Name of a caller, taken from the `x-havenstage-caller` header.
    CallerName
);
name_type!(
    /// Key under which a caller repeats one and the same request.
    IdempotencyKey
);
name_type!(
    /// Identifier of one caller request, unique in the deployment.
    RequestId
);
name_type!(
    /// Identifier an operator's client chose for one change; a repeat of it changes nothing.
    ChangeId
);
name_type!(
    /// Name of a trainer process.
    TrainerName
);
name_type!(
    /// Name of a stream of the log service.
    StreamName
);

number_type!(
    /// Identity of one run of a node process, drawn at random at its start. A replaced or
    /// restarted machine therefore never comes back as the same member.
    NodeId
);
number_type!(
    /// Position of a record in its log stream; the first record has offset 0.
    LogOffset
);
number_type!(
    /// Offset of the configuration record that last changed a resource.
    Revision
);
number_type!(
    /// Log offset of the record that ordered something. An engine refuses an order whose token is
    /// lower than the highest one it has seen.
    FencingToken
);
number_type!(
    /// Number of a weight version; a higher number is newer.
    VersionNumber
);
number_type!(
    /// Number of a training step of a job, from 0.
    StepNumber
);
number_type!(
    /// Partition of the idempotency key space.
    Partition
);
/// Bits of a node's identity. JSON readers keep integers of this size exactly.
const NODE_ID_BITS: u32 = 53;

impl NodeId {
    /// An identity from random bits; the highest ones are left out.
    pub fn from_random(bits: u64) -> Self {
        Self(bits >> (u64::BITS - NODE_ID_BITS))
    }
}

/// One try at running something, unique in the deployment: the node that made it and that node's
/// own counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Node that makes the try.
    pub node: NodeId,
    /// Counter of that node, from 1.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}.{}", self.node.0, self.sequence)
    }
}

/// The slot a sample fills: job, step and index within the step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SampleId {
    /// Job of the sample.
    pub job: JobName,
    /// Step of the job.
    pub step: StepNumber,
    /// Index within the step, below the job's `samples_per_step`.
    pub index: u32,
}

impl fmt::Display for SampleId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}", self.job, self.step, self.index)
    }
}

/// Names of the log streams the system keeps.
pub mod streams {
    use super::{JobName, Partition, StreamName};

    /// Configuration changes, member lists and snapshots of both.
    pub fn config() -> StreamName {
        StreamName::new("config")
    }

    /// Snapshots of the configuration; a start reads the last one.
    pub fn config_snapshots() -> StreamName {
        StreamName::new("config-snapshots")
    }

    /// Claims and outcomes of one partition of the idempotency keys.
    pub fn claims(partition: Partition) -> StreamName {
        StreamName(format!("claims-{partition}"))
    }

    /// Samples, drops, versions and acknowledgements of one job.
    pub fn job(job: &JobName) -> StreamName {
        StreamName(format!("job-{job}"))
    }

    /// Decision records of one shard.
    pub fn decisions(shard: u64) -> StreamName {
        StreamName(format!("decisions-{shard}"))
    }
}
