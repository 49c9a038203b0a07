//! A batch and its items as the records of the log tell of them.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::Millis;
use crate::batch::{Item, Submission};
use crate::ids::{BatchId, GroupId, ItemId, ModelName, NodeId, RunId, TenantName, Version};
use crate::lease::LeaseState;
use crate::record::{Outcome, OutputEvent};

/// An item and what is kept of its output.
#[derive(Debug, Clone)]
pub struct ItemState {
    /// Its id.
    pub id: ItemId,
    /// Its group, if it has one.
    pub group: Option<GroupId>,
    /// Tokens its output is expected to have.
    pub expected_tokens: u32,
    /// What it asks for; dropped once it is listed or its batch has ended.
    pub spec: Option<Arc<Item>>,
    /// Output so far, in order; dropped once the item is listed.
    pub events: Vec<OutputEvent>,
    /// The run whose output stands last.
    pub run: Option<RunId>,
    /// All runs whose output ever counted. Each begins once, so that a late copy of the first record of
    /// one whose output was dropped puts nothing back.
    pub(crate) begun: Vec<RunId>,
    /// Its result, once it is listed.
    pub result: Option<ItemResult>,
}

/// What a listed item shows, for good.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemResult {
    /// How it ended.
    pub outcome: Outcome,
    /// Its output.
    pub events: Vec<OutputEvent>,
}

impl ItemResult {
    /// Data of all events, with line feeds between them.
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

    /// Versions that made the events.
    pub fn versions(&self) -> BTreeSet<Version> {
        self.events.iter().map(|event| event.version).collect()
    }
}

/// A batch as the records tell of it.
#[derive(Debug, Clone)]
pub struct BatchState {
    /// Its id.
    pub id: BatchId,
    /// The tenant that it belongs to, if callers have keys.
    pub tenant: Option<TenantName>,
    /// Host that selects its route.
    pub host: String,
    /// Path that selects its route.
    pub path: String,
    /// Training step, if any.
    pub step: Option<u64>,
    /// Model, if any.
    pub model: Option<ModelName>,
    /// Oldest version that may make its tokens.
    pub minimum_version: Version,
    /// Whole groups the trainer waits for.
    pub desired_groups: u32,
    /// Its items, in the order handed in.
    pub items: Vec<ItemState>,
    /// Positions of `items` in the order they were listed.
    pub listed: Vec<usize>,
    /// Whether the caller has ended it.
    pub ended: bool,
    /// When this node first saw it.
    pub first_seen: Millis,
    /// When this node first saw that nothing was left to be done.
    pub closed_at: Option<Millis>,
    /// Who runs its items.
    pub lease: LeaseState,
    pub(crate) index: HashMap<ItemId, usize>,
}

impl BatchState {
    /// A batch as it was handed in.
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

    /// An item by id.
    pub fn item(&self, id: &ItemId) -> Option<&ItemState> {
        self.index.get(id).map(|at| &self.items[*at])
    }

    /// Whether nothing is left to be done.
    pub fn is_closed(&self) -> bool {
        self.ended || self.is_fully_listed()
    }

    /// Whether every item is listed, so that no record can add a result. An end alone doesn't say that:
    /// results that were on their way are listed behind it.
    pub fn is_fully_listed(&self) -> bool {
        self.listed.len() == self.items.len()
    }

    /// Items at the listed positions from `from` on.
    pub fn results_from(&self, from: usize) -> impl Iterator<Item = (&ItemId, &ItemResult)> {
        self.listed.iter().skip(from).filter_map(|at| {
            let item = &self.items[*at];
            item.result.as_ref().map(|result| (&item.id, result))
        })
    }

    /// Notes the time at which nothing was left to be done.
    pub(crate) fn note_if_closed(&mut self, now: Millis) {
        if self.closed_at.is_none() && self.is_closed() {
            self.closed_at = Some(now);
        }
    }

    /// Its caller has ended it.
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
        begun: Vec::new(),
        result: None,
    }
}
