//! The internal encoding: postcard for log records, datagrams and peer requests.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why bytes could not be written or read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("postcard: {0}")]
pub struct CodecError(#[from] postcard::Error);

/// Encodes a value.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, CodecError> {
    Ok(Bytes::from(postcard::to_stdvec(value)?))
}

/// Decodes a value; bytes left over are an error of the sender and are ignored.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    Ok(postcard::from_bytes(bytes)?)
}
