//! Identifiers. Each is text chosen by its issuer and cheap to clone.

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
            /// The identifier's text.
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
    /// A batch of items, as its submitter named it.
    BatchId
);
text_id!(
    /// An item; unique within its batch, and the request id of its runs.
    ItemId
);
text_id!(
    /// Items of one group share a prompt and are consumed together.
    GroupId
);
text_id!(
    /// The name under which a back end is listed and addressed. A process that starts again may have the name
    /// of the one before it.
    BackendName
);
text_id!(
    /// One life of a back end: its name and, where it tells that, when it started.
    BackendId
);

/// Stands between the name of a back end and the start of its life.
const LIFE_MARK: char = '@';

impl BackendId {
    /// The life of a back end that started at a time of day, in milliseconds since the beginning of 1970.
    pub fn from_name_and_start(name: &BackendName, started_at: Option<u64>) -> Self {
        match started_at {
            Some(started_at) => Self::from(format!("{name}{LIFE_MARK}{started_at}")),
            None => Self::from(name.as_str()),
        }
    }

    /// The back end's name, which all its lives share.
    pub fn name(&self) -> &str {
        self.parts().0
    }

    /// When this life started, if it is known.
    pub fn started_at(&self) -> Option<u64> {
        self.parts().1
    }

    fn parts(&self) -> (&str, Option<u64>) {
        let parts = self.0.rsplit_once(LIFE_MARK);
        let parts = parts.and_then(|(name, start)| Some((name, start.parse().ok()?)));
        parts.map_or((&self.0, None), |(name, start)| (name, Some(start)))
    }
}
text_id!(
    /// A pool of back ends that serve the same thing.
    PoolName
);
text_id!(
    /// A model whose weights are versioned.
    ModelName
);
text_id!(
    /// The machine a node runs on; outlives the node's process.
    MachineName
);

text_id!(
    /// A zone: machines that may be cut off or lost together.
    ZoneName
);
text_id!(
    /// A region: zones that lie close together, under one law.
    RegionName
);
text_id!(
    /// A tenant: somebody whose callers present keys of its own.
    TenantName
);

/// A key that callers present. It is a secret: it appears in no log line.
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

/// One life of a node's process.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct NodeId {
    /// The machine.
    pub machine: MachineName,
    /// Drawn anew at each start.
    pub life: u32,
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{:08x}", self.machine, self.life)
    }
}

/// One run of an item on a back end; unique among all nodes and lives.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct RunId(pub u64);

/// A number of weights of a model; a higher one is newer.
pub type Version = u64;

/// The partition that holds a batch, by the hash of its id.
pub fn partition_of(batch: &BatchId, partitions: u32) -> u32 {
    let hash = xxhash_rust::xxh3::xxh3_64(batch.as_str().as_bytes());
    (hash % u64::from(partitions.max(1))) as u32
}
