//! The codec (postcard) for all values that are stored in the log or sent to other nodes.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The error of decoding bytes that are not a value of the expected type.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("cannot decode {what}: {source}")]
pub struct UnreadableValue {
    /// [`Stored::DESCRIPTION`] of the expected type.
    what: &'static str,
    source: postcard::Error,
}

impl UnreadableValue {
    pub(crate) fn new(what: &'static str, source: postcard::Error) -> Self {
        Self { what, source }
    }
}

/// A value that is stored in the log or sent to another node. It holds only plain data, so that encoding it
/// cannot fail.
pub trait Stored: Serialize + DeserializeOwned {
    /// Name of the type in error messages and log lines, with its article, such as "a record of a batch".
    const DESCRIPTION: &'static str;

    /// Encodes the value.
    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the value holds only plain data")
    }

    /// Decodes a value. Returns an error if the bytes are not an encoded value of this type.
    fn decode(bytes: &[u8]) -> Result<Self, UnreadableValue> {
        postcard::from_bytes(bytes)
            .map_err(|source| UnreadableValue::new(Self::DESCRIPTION, source))
    }
}
