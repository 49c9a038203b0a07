//! Answers of repeatable requests kept in memory at the owner of their key, so that a caller that
//! reconnects gets the whole answer without a second run. They are lost with the owner; the
//! request then runs again, which does no harm.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

use havenstage_membership::ownership;
use havenstage_types::ids::{IdempotencyKey, NodeId};
use havenstage_types::peer::{PeerRequestBody, PeerResponseBody};
use havenstage_types::request::{CallerRequest, WholeAnswer};

use crate::at_most_once::fingerprint;
use crate::context::NodeContext;
use crate::locks::lock;

/// Memory an answer takes besides its text and segments, in bytes; an estimate.
const OVERHEAD_BYTES: usize = 256;

/// Bytes of one version segment.
const SEGMENT_BYTES: usize = 16;

/// Keeps answers, the oldest give way.
pub(crate) struct KeptAnswers {
    inner: Mutex<Inner>,
    capacity_bytes: usize,
}

#[derive(Default)]
struct Inner {
    answers: BTreeMap<IdempotencyKey, (u64, WholeAnswer)>,
    order: VecDeque<IdempotencyKey>,
    bytes: usize,
}

impl KeptAnswers {
    pub(crate) fn new(capacity_bytes: usize) -> Self {
        Self {
            inner: Mutex::new(Inner::default()),
            capacity_bytes,
        }
    }

    /// The answer kept for the key, if it was given to the same request.
    pub(crate) fn get(&self, key: &IdempotencyKey, fingerprint: u64) -> Option<WholeAnswer> {
        let inner = lock(&self.inner);
        let (kept_fingerprint, answer) = inner.answers.get(key)?;
        (*kept_fingerprint == fingerprint).then(|| answer.clone())
    }

    /// Keeps an answer; the first one for a key stays.
    pub(crate) fn insert(&self, key: IdempotencyKey, fingerprint: u64, answer: WholeAnswer) {
        let mut inner = lock(&self.inner);
        if inner.answers.contains_key(&key) {
            return;
        }
        inner.bytes += size_of_answer(&answer);
        inner.order.push_back(key.clone());
        inner.answers.insert(key, (fingerprint, answer));
        while inner.bytes > self.capacity_bytes {
            inner.drop_oldest();
        }
    }
}

impl Inner {
    fn drop_oldest(&mut self) {
        let Some(key) = self.order.pop_front() else {
            self.bytes = 0;
            return;
        };
        if let Some((_, answer)) = self.answers.remove(&key) {
            self.bytes = self.bytes.saturating_sub(size_of_answer(&answer));
        }
    }
}

fn size_of_answer(answer: &WholeAnswer) -> usize {
    OVERHEAD_BYTES + answer.text.len() + answer.summary.segments.0.len() * SEGMENT_BYTES
}

/// The answer an earlier call with the same key got, if its owner still has it.
pub(crate) async fn fetch(context: &NodeContext, request: &CallerRequest) -> Option<WholeAnswer> {
    let key = request.idempotency_key.clone()?;
    let owner = owner_of(context, &key)?;
    let body = PeerRequestBody::FetchAnswer {
        fingerprint: fingerprint(request),
        key,
    };
    match context.call(owner, body).await {
        Ok(PeerResponseBody::KeptAnswer(answer)) => answer,
        _ => None,
    }
}

/// Hands an answer to the owner of its key.
pub(crate) async fn keep(context: &NodeContext, request: &CallerRequest, answer: WholeAnswer) {
    let Some(key) = request.idempotency_key.clone() else {
        return;
    };
    let Some(owner) = owner_of(context, &key) else {
        return;
    };
    let body = PeerRequestBody::KeepAnswer {
        fingerprint: fingerprint(request),
        key,
        answer,
    };
    if let Err(error) = context.call(owner, body).await {
        log::debug!(request = request.id.as_str(); "answer not kept: {error}");
    }
}

fn owner_of(context: &NodeContext, key: &IdempotencyKey) -> Option<NodeId> {
    let partition = ownership::partition_of(key, context.settings.partitions);
    ownership::owner_of_partition(&context.view(), partition)
}
