//! Identifiers. Text identifiers are chosen by their issuer and are cheap to clone.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, formatter)
            }
        }
    };
}

text_id!(
    /// Identifier of a batch of items, chosen by the client that submits it.
    BatchId
);
text_id!(
    /// Identifier of an item, unique within its batch. All runs of the item send it as their request id.
    ItemId
);
text_id!(
    /// Identifier of a group: items that share a prompt and that the trainer consumes together.
    GroupId
);
text_id!(
    /// The name under which a back end is listed and addressed. A back end process that restarts may keep the
    /// name of its predecessor.
    BackendName
);
text_id!(
    /// One incarnation of a back end: its name and, if the back end reports it, the time at which it started.
    BackendId
);

/// Separates the name from the start time in a [`BackendId`].
const START_TIME_SEPARATOR: char = '@';

impl BackendId {
    /// Builds the id of the incarnation of back end `name` that started at `started_at`, in milliseconds since
    /// the Unix epoch (the beginning of 1970). Without a start time, the id is the name alone.
    pub fn from_name_and_start(name: &BackendName, started_at: Option<u64>) -> Self {
        match started_at {
            Some(started_at) => Self::from(format!("{name}{START_TIME_SEPARATOR}{started_at}")),
            None => Self::from(name.as_str()),
        }
    }

    /// The back end's name, which all its incarnations share.
    pub fn name(&self) -> &str {
        self.parts().0
    }

    /// When this incarnation started, in milliseconds since the Unix epoch; `None` if it is not known.
    pub fn started_at(&self) -> Option<u64> {
        self.parts().1
    }

    fn parts(&self) -> (&str, Option<u64>) {
        let parts = self.0.rsplit_once(START_TIME_SEPARATOR);
        let parts = parts.and_then(|(name, start)| Some((name, start.parse().ok()?)));
        parts.map_or((&self.0, None), |(name, start)| (name, Some(start)))
    }
}
text_id!(
    /// Name of a pool: a set of interchangeable back ends.
    PoolName
);
text_id!(
    /// Name of a model whose weights are versioned.
    ModelName
);
text_id!(
    /// Name of the machine that a node runs on. It stays the same when the node's process restarts.
    MachineName
);

text_id!(
    /// Name of a zone: machines that may fail or be partitioned from the others together.
    ZoneName
);
text_id!(
    /// Name of a region: zones that are close to each other and in the same legal jurisdiction.
    RegionName
);
text_id!(
    /// Name of a tenant: a customer whose clients authenticate with API keys of its own.
    TenantName
);

/// An API key that a client presents. It is a secret, so its `Debug` output hides it and no log line holds it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Arc<str>);

impl From<String> for ApiKey {
    fn from(text: String) -> Self {
        Self(text.into())
    }
}

impl Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// One incarnation of a node: the machine and one start of the node's process.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct NodeId {
    /// The machine that the process runs on.
    pub machine: MachineName,
    /// Incarnation number, drawn at random each time the process starts.
    pub life: u32,
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{:08x}", self.machine, self.life)
    }
}

/// Identifier of one run of an item on a back end, unique among all nodes and their incarnations.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct RunId(pub u64);

/// Version number of a model's weights. A higher number is newer.
pub type Version = u64;

/// Returns the number of the log partition that holds a batch, from 0 to `partitions` - 1, by a hash of the
/// batch id.
pub fn partition_of(batch: &BatchId, partitions: u32) -> u32 {
    let hash = xxhash_rust::xxh3::xxh3_64(batch.as_str().as_bytes());
    (hash % u64::from(partitions.max(1))) as u32
}
