//! Calls by which callers read the results of a batch, or the body of an item.
//!
//! A call is answered with "not found" only if the log was read after the call arrived, and if no records that may
//! have held the batch were dropped before this node read them.

use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::access::Caller;
use havenstage_rollout::batch_state::BatchState;
use havenstage_rollout::fold::PartitionState;
use havenstage_rollout::ids::{BatchId, ItemId};
use http::StatusCode;
use log::info;

use crate::batch_answer::BatchAnswer;
use crate::batch_partitions::BatchView;
use crate::context::Context;
use crate::edge::{LogError, ResultPage};
use crate::partition_queries::{self, Absence};
use crate::peers;

/// Maximum age of a node's knowledge for the answer that there are no new results.
const MAX_UNCHANGED_AGE: Duration = Duration::from_millis(400);
/// Maximum size of a page for another node's caller, who reads on from where the page ends: the batch owner's link also
/// carries the output of its items, and 256 KB occupy a link of 45 Mbit/s for 0.05 s.
const MAX_PEER_PAGE_BYTES: usize = 256 * 1024;
/// Longest wait for new results that a call may ask for; longer waits are shortened.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// Reads results from position `from` on; waits up to `wait` for a result. If this node has none yet and another node
/// runs the batch, that node is asked first.
pub(crate) async fn read(
    context: &Arc<Context>,
    caller: &Caller,
    id: &BatchId,
    from: usize,
    wait: Duration,
) -> BatchAnswer {
    let call = ReadCall::begin(context, caller, id, from, wait);
    if call.has_results() {
        return call.answer().await;
    }
    let owner = peers::results(context, caller, id, from, call.asked_at, call.wait);
    match owner.await {
        Some(answer) => answer,
        None => call.answer().await,
    }
}

/// Reads results for another node, which reads the log itself if this node can't confirm in time that its own
/// knowledge is current.
pub(crate) async fn read_for_peer(
    context: &Arc<Context>,
    caller: &Caller,
    id: &BatchId,
    from: usize,
    wait: Duration,
) -> BatchAnswer {
    let call = ReadCall {
        is_for_peer: true,
        ..ReadCall::begin(context, caller, id, from, wait)
    };
    call.answer().await
}

/// A call that reads results.
struct ReadCall<'a> {
    context: &'a Arc<Context>,
    caller: &'a Caller,
    partition: &'a BatchView,
    id: &'a BatchId,
    from: usize,
    asked_at: Instant,
    wait: Duration,
    is_for_peer: bool,
}

enum LocalResult {
    UnknownBatch,
    NothingNew { closed: bool },
    Page(BatchAnswer),
}

impl<'a> ReadCall<'a> {
    /// A call of a caller of this node, which begins now.
    fn begin(
        context: &'a Arc<Context>,
        caller: &'a Caller,
        id: &'a BatchId,
        from: usize,
        wait: Duration,
    ) -> Self {
        Self {
            context,
            caller,
            partition: context.partition_of(id),
            id,
            from,
            asked_at: Instant::now(),
            wait: wait.min(MAX_WAIT),
            is_for_peer: false,
        }
    }
}

impl ReadCall<'_> {
    async fn answer(&self) -> BatchAnswer {
        if !self.wait.is_zero() {
            self.context.partitions.want(self.id, self.context.now());
        }
        let until = self.asked_at + self.wait;
        loop {
            let changed = self.partition.changed();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let may_wait = Instant::now() < until;
            match self.read_local() {
                LocalResult::Page(answer) => return answer,
                LocalResult::NothingNew { closed } if closed || !may_wait => {
                    if let Some(answer) = self.confirm_nothing_new().await {
                        return answer;
                    }
                }
                LocalResult::NothingNew { .. } => {
                    let _ = havenstage_clock::timeout_at(until, changed).await;
                }
                LocalResult::UnknownBatch => match self.refresh(Duration::ZERO).await {
                    Err(error) => return self.refused(error),
                    Ok(()) if self.visible_in(&self.partition.lock().state).is_none() => {
                        return not_found(self.context, self.caller, self.id, self.asked_at);
                    }
                    Ok(()) => {}
                },
            }
        }
    }

    /// The batch in `state`, unless it is unknown or belongs to another tenant.
    fn visible_in<'s>(&self, state: &'s PartitionState) -> Option<&'s BatchState> {
        visible(state, self.caller, self.id)
    }

    fn read_local(&self) -> LocalResult {
        let inner = self.partition.lock();
        let Some(batch) = self.visible_in(&inner.state) else {
            return LocalResult::UnknownBatch;
        };
        // Once all results are listed no further one can follow, whatever the log holds by now: the page is final.
        if self.from >= batch.listed.len() && !batch.is_fully_listed() {
            return LocalResult::NothingNew {
                closed: batch.is_closed(),
            };
        }
        LocalResult::Page(self.page(batch))
    }

    /// Maximum size of a page of results for this call.
    fn page_bytes(&self) -> usize {
        let page_bytes = self.context.answers.page_bytes();
        match self.is_for_peer {
            true => page_bytes.min(MAX_PEER_PAGE_BYTES),
            false => page_bytes,
        }
    }

    fn page(&self, batch: &BatchState) -> BatchAnswer {
        let dialect = &self.context.dialect;
        let page_bytes = self.page_bytes();
        let mut bytes = 0;
        let mut results = Vec::new();
        for (item, result) in batch.results_from(self.from) {
            bytes += dialect.result_bytes(result);
            if bytes > page_bytes && !results.is_empty() {
                break;
            }
            results.push((item, result));
        }
        let page = ResultPage {
            total: batch.items.len(),
            next: self.from + results.len(),
            results,
        };
        info!(event = "results_read", batch = self.id.as_str(), from = self.from,
            next = page.next, waited_ms = self.asked_at.elapsed().as_millis() as u64; "");
        BatchAnswer {
            status: StatusCode::OK,
            body: dialect.write_results(&page),
            is_own_format: true,
        }
    }

    /// Reads the log until this node's knowledge is at most `max_age` old or there is a result to answer with. Listed
    /// results never change, so they are returned before the rest of the partition is read, and also if reading fails.
    async fn refresh(&self, max_age: Duration) -> Result<(), LogError> {
        let until = match self.is_for_peer {
            true => self.asked_at + self.wait,
            false => partition_queries::retry_deadline(self.context, self.asked_at, self.wait),
        };
        let pending_read = partition_queries::query(self.context, self.id, max_age, until);
        tokio::pin!(pending_read);
        loop {
            let changed = self.partition.changed();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.has_results() {
                return Ok(());
            }
            tokio::select! {
                biased;
                () = changed => {}
                outcome = pending_read.as_mut() => return outcome,
            }
        }
    }

    fn has_results(&self) -> bool {
        let inner = self.partition.lock();
        let batch = self.visible_in(&inner.state);
        batch.is_some_and(|batch| self.from < batch.listed.len())
    }

    /// Answers that there are no new results once the node's knowledge is recent enough; `None` if there are some.
    async fn confirm_nothing_new(&self) -> Option<BatchAnswer> {
        if let Err(error) = self.refresh(MAX_UNCHANGED_AGE).await {
            return Some(self.refused(error));
        }
        let inner = self.partition.lock();
        let batch = self.visible_in(&inner.state)?;
        (self.from >= batch.listed.len()).then(|| self.page(batch))
    }

    fn refused(&self, error: LogError) -> BatchAnswer {
        partition_queries::log_refused(self.context, self.id, error, self.asked_at);
        BatchAnswer::empty(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// A batch in `state`, unless it is unknown or the caller may not see it.
fn visible<'a>(state: &'a PartitionState, caller: &Caller, id: &BatchId) -> Option<&'a BatchState> {
    let batch = state.batch(id);
    batch.filter(|batch| caller.can_see(batch.tenant.as_ref()))
}

/// Reads the body of an item whose result is not listed yet: from this node's state, from the batch owner, or after
/// reading the log.
pub(crate) async fn item_body(
    context: &Arc<Context>,
    caller: &Caller,
    id: &BatchId,
    item: &ItemId,
) -> BatchAnswer {
    let asked_at = Instant::now();
    let partition = context.partition_of(id);
    if let Some(answer) = known_body(partition, caller, id, item) {
        return answer;
    }
    if let Some(answer) = peers::item_body(context, caller, id, item, asked_at).await {
        return answer;
    }
    if partition_queries::query_now(context, id).await.is_err() {
        return BatchAnswer::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    if visible(&partition.lock().state, caller, id).is_none() {
        return not_found(context, caller, id, asked_at);
    }
    known_body(partition, caller, id, item)
        .unwrap_or_else(|| BatchAnswer::empty(StatusCode::NOT_FOUND))
}

/// Answers a call, made at `asked_at`, on a batch that was not found in its partition or that its caller can't see:
/// "not found" if that is certain, otherwise "unavailable".
fn not_found(context: &Context, caller: &Caller, id: &BatchId, asked_at: Instant) -> BatchAnswer {
    match partition_queries::classify_absence(context, caller, id) {
        Absence::DoesNotExist => {
            info!(event = "batch_not_found", batch = id.as_str(), status = 404u16; "");
            BatchAnswer::empty(StatusCode::NOT_FOUND)
        }
        Absence::MayBeHidden => {
            partition_queries::log_hidden(context, id, asked_at);
            BatchAnswer::empty(StatusCode::SERVICE_UNAVAILABLE)
        }
        Absence::MayBeMissed => {
            partition_queries::log_missed(context, id, asked_at);
            BatchAnswer::empty(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

/// The body of an item, if this node has it and the caller may see the batch.
pub(crate) fn known_body(
    partition: &BatchView,
    caller: &Caller,
    id: &BatchId,
    item: &ItemId,
) -> Option<BatchAnswer> {
    let inner = partition.lock();
    let batch = visible(&inner.state, caller, id)?;
    let spec = batch.item(item)?.spec.clone()?;
    Some(BatchAnswer {
        status: StatusCode::OK,
        body: spec.body.clone(),
        is_own_format: false,
    })
}
