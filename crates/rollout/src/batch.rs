//! What a caller hands in: a batch of items, and the checks it must pass before it is kept.

use std::collections::HashSet;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{BatchId, GroupId, ItemId, ModelName, Version};

/// A header of an item's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name.
    pub name: String,
    /// Value.
    pub value: String,
}

/// The call that scores an item's text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RewardCall {
    /// Request id of the call.
    pub id: String,
    /// Host that selects its route.
    pub host: String,
    /// Path.
    pub path: String,
    /// Body, sent as it is.
    pub body: Bytes,
}

/// One item of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its id, unique within the batch.
    pub id: ItemId,
    /// Path of its request.
    pub path: String,
    /// Headers of its request.
    pub headers: Vec<Header>,
    /// Body of its request.
    pub body: Bytes,
    /// Its group, if it has one.
    pub group: Option<GroupId>,
    /// Tokens the output is expected to have, by the caller's guess or its upper limit.
    pub expected_tokens: u32,
    /// The call that scores its text, if any.
    pub reward: Option<RewardCall>,
}

/// A batch as handed in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Its id.
    pub id: BatchId,
    /// Host that selects its route.
    pub host: String,
    /// Path that selects its route.
    pub path: String,
    /// Training step, if a trainer handed it in.
    pub step: Option<u64>,
    /// Model, if a trainer named one.
    pub model: Option<ModelName>,
    /// Oldest version that may make any of its tokens.
    pub minimum_version: Version,
    /// Whole groups the trainer waits for.
    pub desired_groups: u32,
    /// All items, in the order handed in.
    pub items: Vec<Arc<Item>>,
}

/// Why a batch is not taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidSubmission {
    /// It has no items.
    #[error("the batch has no items")]
    Empty,
    /// Two items have the same id.
    #[error("item {0} occurs twice")]
    RepeatedItem(ItemId),
    /// An item has no id or a path without a leading slash.
    #[error("item {0} is malformed")]
    MalformedItem(ItemId),
}

impl Submission {
    /// Checks that the items can be told apart and sent.
    pub fn validate(&self) -> Result<(), InvalidSubmission> {
        if self.items.is_empty() {
            return Err(InvalidSubmission::Empty);
        }
        let mut seen = HashSet::new();
        for item in &self.items {
            if item.id.as_str().is_empty() || !item.path.starts_with('/') {
                return Err(InvalidSubmission::MalformedItem(item.id.clone()));
            }
            if !seen.insert(&item.id) {
                return Err(InvalidSubmission::RepeatedItem(item.id.clone()));
            }
        }
        Ok(())
    }
}
