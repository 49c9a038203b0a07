//! Builders of ids, batches, records and claims shared by the tests.
#![allow(dead_code)]

pub mod draws;
pub mod steps;

use std::sync::Arc;

use bytes::Bytes;
use havenstage_rollout::batch::{Item, Submission};
use havenstage_rollout::ids::{
    BackendId, BatchId, GroupId, ItemId, MachineName, ModelName, NodeId, RunId,
};
use havenstage_rollout::record::{BatchRecord, Outcome, OutputEvent};
use havenstage_rollout::schedule::Claim;

pub fn node(machine: &str, life: u32) -> NodeId {
    NodeId {
        machine: MachineName::from(machine),
        life,
    }
}

pub fn item(id: &str, group: &str, expected_tokens: u32) -> Arc<Item> {
    Arc::new(Item {
        id: ItemId::from(id),
        path: "/path".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"body"),
        group: Some(GroupId::from(group)),
        expected_tokens,
        reward: None,
    })
}

pub fn submission(id: &str, items: Vec<Arc<Item>>) -> Submission {
    Submission {
        id: BatchId::from(id),
        host: "host".to_owned(),
        path: "/path/".to_owned(),
        step: Some(3),
        model: Some(ModelName::from("model")),
        minimum_version: 2,
        desired_groups: 1,
        items,
    }
}

pub fn submitted(id: &str, items: Vec<Arc<Item>>, owner: Option<NodeId>) -> BatchRecord {
    BatchRecord::Submitted {
        submission: Arc::new(submission(id, items)),
        owner,
    }
}

pub fn events(texts: &[&str], version: u64) -> Vec<OutputEvent> {
    let event = |text: &&str| OutputEvent {
        version,
        data: Bytes::copy_from_slice(text.as_bytes()),
    };
    texts.iter().map(event).collect()
}

pub fn progress(run: u64, resumed_from: u32, from: u32, texts: &[&str]) -> BatchRecord {
    BatchRecord::Progress {
        batch: BatchId::from("batch"),
        item: ItemId::from("item"),
        run: RunId(run),
        resumed_from,
        from,
        events: events(texts, 2),
    }
}

pub fn finished(run: u64, resumed_from: u32, events: u32) -> BatchRecord {
    BatchRecord::Finished {
        batch: BatchId::from("batch"),
        item: ItemId::from("item"),
        run: RunId(run),
        resumed_from,
        events,
        outcome: Outcome::Completed {
            score: Some("signature".to_owned()),
        },
    }
}

pub fn backend(id: &str) -> BackendId {
    BackendId::from(id)
}

pub fn claim(rank: u32, claimant: &str) -> Claim {
    Claim {
        rank,
        claimant: claimant.into(),
        max_wait_ms: 60_000,
    }
}
