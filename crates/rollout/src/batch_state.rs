//! The state of a batch and its items, as the records of the log define it.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::Millis;
use crate::batch::{Item, Submission};
use crate::ids::{BatchId, GroupId, ItemId, ModelName, NodeId, RunId, TenantName, Version};
use crate::lease::LeaseState;
use crate::record::{Outcome, OutputEvent};

/// An item and its output so far.
#[derive(Debug, Clone)]
pub struct ItemState {
    /// Unique within the batch.
    pub id: ItemId,
    /// The group the item belongs to, if any.
    pub group: Option<GroupId>,
    /// Expected output length in tokens.
    pub expected_tokens: u32,
    /// The request, as submitted; `None` once the item has a result or its batch was ended by the client.
    pub spec: Option<Arc<Item>>,
    /// Output so far, in order; moved to the result or dropped once the item has one.
    pub events: Vec<OutputEvent>,
    /// The run that generated the newest part of the output; `None` while there is no output.
    pub run: Option<RunId>,
    /// All runs whose output was ever applied. Each run may begin only once, so that a delayed duplicate of its
    /// first record does not restore output that was dropped.
    pub(crate) applied_runs: Vec<RunId>,
    /// The final result; `None` until the item is finished. An item with a result is listed: it has a position
    /// in [`BatchState::listed`].
    pub result: Option<ItemResult>,
}

/// The final result of an item. It never changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemResult {
    /// Whether the item was completed or given up.
    pub outcome: Outcome,
    /// The whole output; empty if the item was given up.
    pub events: Vec<OutputEvent>,
}

impl ItemResult {
    /// Returns the data of all events, with line feeds between them.
    pub fn text(&self) -> Vec<u8> {
        let length: usize = self.events.iter().map(|event| event.data.len() + 1).sum();
        let mut text = Vec::with_capacity(length);
        for (index, event) in self.events.iter().enumerate() {
            if index > 0 {
                text.push(b'\n');
            }
            text.extend_from_slice(&event.data);
        }
        text
    }

    /// Returns the versions of the weights that generated the events.
    pub fn versions(&self) -> BTreeSet<Version> {
        self.events.iter().map(|event| event.version).collect()
    }
}

/// A batch and its items.
#[derive(Debug, Clone)]
pub struct BatchState {
    /// Chosen by the client.
    pub id: BatchId,
    /// The tenant that the batch belongs to; `None` if clients need no API keys.
    pub tenant: Option<TenantName>,
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
    pub items: Vec<ItemState>,
    /// Positions in `items` of the items with a result, in the order in which they got it. Clients read results
    /// in this order.
    pub listed: Vec<usize>,
    /// Whether the client has ended the batch.
    pub ended: bool,
    /// When this node read that the batch was submitted, on this node's clock.
    pub first_seen: Millis,
    /// When this node read that no work was left for the batch; `None` while the batch is open.
    pub closed_at: Option<Millis>,
    /// The lease on the batch. Its holder runs the items.
    pub lease: LeaseState,
    /// Position in `items` of each item.
    pub(crate) index: HashMap<ItemId, usize>,
}

impl BatchState {
    /// Creates the state of a newly submitted batch.
    pub(crate) fn new(
        submission: &Submission,
        tenant: Option<TenantName>,
        owner: Option<NodeId>,
        now: Millis,
    ) -> Self {
        let items: Vec<ItemState> = submission.items.iter().map(new_item).collect();
        let index = items
            .iter()
            .enumerate()
            .map(|(at, item)| (item.id.clone(), at))
            .collect();
        Self {
            id: submission.id.clone(),
            tenant,
            host: submission.host.clone(),
            path: submission.path.clone(),
            step: submission.step,
            model: submission.model.clone(),
            minimum_version: submission.minimum_version,
            desired_groups: submission.desired_groups,
            items,
            listed: Vec::new(),
            ended: false,
            first_seen: now,
            closed_at: None,
            lease: LeaseState::new(owner, now),
            index,
        }
    }

    /// Looks an item up by its id.
    pub fn item(&self, id: &ItemId) -> Option<&ItemState> {
        self.index.get(id).map(|at| &self.items[*at])
    }

    /// Whether no work is left: the client has ended the batch or every item has a result.
    pub fn is_closed(&self) -> bool {
        self.ended || self.is_fully_listed()
    }

    /// Whether every item has a result, so that no record can add one. That the client has ended the batch does
    /// not imply this: results that were in flight at that time are still listed.
    pub fn is_fully_listed(&self) -> bool {
        self.listed.len() == self.items.len()
    }

    /// Iterates over the results in the order they were listed, skipping the first `from`.
    pub fn results_from(&self, from: usize) -> impl Iterator<Item = (&ItemId, &ItemResult)> {
        self.listed.iter().skip(from).filter_map(|at| {
            let item = &self.items[*at];
            item.result.as_ref().map(|result| (&item.id, result))
        })
    }

    /// Sets `closed_at` if no work is left and it is not set yet.
    pub(crate) fn update_closed_at(&mut self, now: Millis) {
        if self.closed_at.is_none() && self.is_closed() {
            self.closed_at = Some(now);
        }
    }

    /// Marks the batch as ended by its client and drops the requests of its items.
    pub(crate) fn end(&mut self) {
        self.ended = true;
        for item in &mut self.items {
            item.spec = None;
        }
    }
}

fn new_item(item: &Arc<Item>) -> ItemState {
    ItemState {
        id: item.id.clone(),
        group: item.group.clone(),
        expected_tokens: item.expected_tokens,
        spec: Some(item.clone()),
        events: Vec::new(),
        run: None,
        applied_runs: Vec::new(),
        result: None,
    }
}
