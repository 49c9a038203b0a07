//! A batch of items as a client submits it, and the checks it must pass before it is written to the log.

use std::collections::HashSet;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{BatchId, GroupId, ItemId, ModelName, Version};

/// An HTTP header of an item's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Header name, as the client spelled it.
    pub name: String,
    /// Header value, sent unchanged.
    pub value: String,
}

/// The HTTP call that scores an item's output text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RewardCall {
    /// Request id that the call is sent with.
    pub id: String,
    /// Host that selects the route of the call.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request, sent unchanged.
    pub body: Bytes,
}

/// One item of a batch: a request to a back end, whose output the client collects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Unique within the batch.
    pub id: ItemId,
    /// Path of the request; starts with a slash.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<Header>,
    /// Body of the request.
    pub body: Bytes,
    /// The group the item belongs to, if any.
    pub group: Option<GroupId>,
    /// Expected output length in tokens: the client's estimate or its upper limit.
    pub expected_tokens: u32,
    /// The call that scores the output text; `None` if the output is not scored.
    pub reward: Option<RewardCall>,
}

/// A batch as the client submits it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Chosen by the client. A second submission with the same id is the same batch.
    pub id: BatchId,
    /// Host that selects the batch's route.
    pub host: String,
    /// Path that selects the batch's route.
    pub path: String,
    /// Training step; `None` if no trainer submitted the batch.
    pub step: Option<u64>,
    /// Model whose weights generate the output; `None` if the client named none.
    pub model: Option<ModelName>,
    /// Oldest version of the weights that may generate any token of the output.
    pub minimum_version: Version,
    /// Number of complete groups the trainer waits for.
    pub desired_groups: u32,
    /// All items, in the order submitted.
    pub items: Vec<Arc<Item>>,
}

/// Why a batch is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidSubmission {
    /// The batch has no items.
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
    /// Checks that the batch has items, that their ids are unique and not empty, and that their paths start with
    /// a slash. Returns the first violation in the order of the items.
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
