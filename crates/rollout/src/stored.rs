//! Values as they are kept in the log and told to other nodes: one codec for all of them.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Bytes that are not the value that was looked for.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("not {what}: {source}")]
pub struct UnreadableValue {
    /// What was looked for.
    what: &'static str,
    /// Why the bytes are not it.
    source: postcard::Error,
}

impl UnreadableValue {
    pub(crate) fn new(what: &'static str, source: postcard::Error) -> Self {
        Self { what, source }
    }
}

/// A value that is kept in the log, or told to another node. It holds only plain data.
pub trait Stored: Serialize + DeserializeOwned {
    /// What it is, with its article, for errors.
    const DESCRIPTION: &'static str;

    /// The bytes that stand for it.
    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the value holds only plain data")
    }

    /// Reads such bytes.
    fn decode(bytes: &[u8]) -> Result<Self, UnreadableValue> {
        postcard::from_bytes(bytes)
            .map_err(|source| UnreadableValue::new(Self::DESCRIPTION, source))
    }
}
