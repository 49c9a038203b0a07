//! Callers' calls that read results of a batch, or the body of an item.
//!
//! "There is none" means that the log was asked after the call came in, and that no records were missed that
//! may have told of it.

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

/// Age of a node's knowledge that is still good enough to say that nothing is new.
const FRESH_ENOUGH: Duration = Duration::from_millis(400);
/// Most bytes of a page for another node's caller, who reads on from where it ends: the link of the node that runs a batch
/// also carries the output of its items, and 256 KB take 0.05 s of one of 45 Mbit/s.
const MOST_PEER_PAGE_BYTES: usize = 256 * 1024;
/// Longest time that a reader may wait.
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);

/// Reads results from a position on; waits up to `wait` for one. The node that runs the batch is asked first, if
/// another does.
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
    let owner = peers::results(context, caller, id, from, call.asked, call.wait);
    match owner.await {
        Some(answer) => answer,
        None => call.answer().await,
    }
}

/// The same for another node, which goes to the log itself if this one can't confirm what it knows in time.
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

/// A call for results.
struct ReadCall<'a> {
    context: &'a Arc<Context>,
    caller: &'a Caller,
    partition: &'a BatchView,
    id: &'a BatchId,
    from: usize,
    asked: Instant,
    wait: Duration,
    is_for_peer: bool,
}

enum Found {
    NoBatch,
    NothingNew { closed: bool },
    Page(BatchAnswer),
}

impl<'a> ReadCall<'a> {
    /// A call of this node's own caller.
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
            asked: Instant::now(),
            wait: wait.min(LONGEST_WAIT),
            is_for_peer: false,
        }
    }
}

impl ReadCall<'_> {
    async fn answer(&self) -> BatchAnswer {
        if !self.wait.is_zero() {
            self.context.partitions.want(self.id, self.context.now());
        }
        let until = self.asked + self.wait;
        loop {
            let changed = self.partition.changed();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let waits_on = Instant::now() < until;
            match self.look() {
                Found::Page(answer) => return answer,
                Found::NothingNew { closed } if closed || !waits_on => {
                    if let Some(answer) = self.confirmed_nothing().await {
                        return answer;
                    }
                }
                Found::NothingNew { .. } => {
                    let _ = havenstage_clock::timeout_at(until, changed).await;
                }
                Found::NoBatch => match self.ask(Duration::ZERO).await {
                    Err(error) => return self.refused(error),
                    Ok(()) if self.visible_in(&self.partition.lock().state).is_none() => {
                        return not_found(self.context, self.caller, self.id, self.asked);
                    }
                    Ok(()) => {}
                },
            }
        }
    }

    /// The batch, unless it is unknown or another tenant's.
    fn visible_in<'s>(&self, state: &'s PartitionState) -> Option<&'s BatchState> {
        visible(state, self.caller, self.id)
    }

    fn look(&self) -> Found {
        let inner = self.partition.lock();
        let Some(batch) = self.visible_in(&inner.state) else {
            return Found::NoBatch;
        };
        // Behind the last item there is nothing, whatever the log holds by now.
        if self.from >= batch.listed.len() && !batch.is_fully_listed() {
            return Found::NothingNew {
                closed: batch.is_closed(),
            };
        }
        Found::Page(self.page(batch))
    }

    /// Most bytes of a page.
    fn page_bytes(&self) -> usize {
        let page_bytes = self.context.answers.page_bytes();
        match self.is_for_peer {
            true => page_bytes.min(MOST_PEER_PAGE_BYTES),
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
            next = page.next, waited_ms = self.asked.elapsed().as_millis() as u64; "");
        BatchAnswer {
            status: StatusCode::OK,
            body: dialect.write_results(&page),
            is_own_format: true,
        }
    }

    /// Asks the log, until what is known here is fresh enough or there is a result to answer with: what is
    /// listed never changes, so it is answered before the rest of the partition is read, and whatever
    /// failed.
    async fn ask(&self, most_age: Duration) -> Result<(), LogError> {
        let until = match self.is_for_peer {
            true => self.asked + self.wait,
            false => partition_queries::retry_deadline(self.context, self.asked, self.wait),
        };
        let question = partition_queries::query(self.context, self.id, most_age, until);
        tokio::pin!(question);
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
                outcome = question.as_mut() => return outcome,
            }
        }
    }

    fn has_results(&self) -> bool {
        let inner = self.partition.lock();
        let batch = self.visible_in(&inner.state);
        batch.is_some_and(|batch| self.from < batch.listed.len())
    }

    /// Answers "nothing new" once the node's knowledge is fresh enough; `None` if there is something.
    async fn confirmed_nothing(&self) -> Option<BatchAnswer> {
        if let Err(error) = self.ask(FRESH_ENOUGH).await {
            return Some(self.refused(error));
        }
        let inner = self.partition.lock();
        let batch = self.visible_in(&inner.state)?;
        (self.from >= batch.listed.len()).then(|| self.page(batch))
    }

    fn refused(&self, error: LogError) -> BatchAnswer {
        partition_queries::log_refused(self.context, self.id, error, self.asked);
        BatchAnswer::empty(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// A batch that exists for a caller.
fn visible<'a>(state: &'a PartitionState, caller: &Caller, id: &BatchId) -> Option<&'a BatchState> {
    let batch = state.batch(id);
    batch.filter(|batch| caller.can_see(batch.tenant.as_ref()))
}

/// Reads the body of an item that is not listed yet.
pub(crate) async fn item_body(
    context: &Arc<Context>,
    caller: &Caller,
    id: &BatchId,
    item: &ItemId,
) -> BatchAnswer {
    let asked = Instant::now();
    let partition = context.partition_of(id);
    if let Some(answer) = known_body(partition, caller, id, item) {
        return answer;
    }
    if let Some(answer) = peers::item_body(context, caller, id, item, asked).await {
        return answer;
    }
    if partition_queries::query_now(context, id).await.is_err() {
        return BatchAnswer::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    if visible(&partition.lock().state, caller, id).is_none() {
        return not_found(context, caller, id, asked);
    }
    known_body(partition, caller, id, item)
        .unwrap_or_else(|| BatchAnswer::empty(StatusCode::NOT_FOUND))
}

/// Answers a call, made at `asked`, on a batch that is not in its partition, or not for its caller, as far as that
/// is known here.
fn not_found(context: &Context, caller: &Caller, id: &BatchId, asked: Instant) -> BatchAnswer {
    match partition_queries::classify_absence(context, caller, id) {
        Absence::DoesNotExist => {
            info!(event = "batch_not_found", batch = id.as_str(), status = 404u16; "");
            BatchAnswer::empty(StatusCode::NOT_FOUND)
        }
        Absence::MayBeHidden => {
            partition_queries::log_hidden(context, id, asked);
            BatchAnswer::empty(StatusCode::SERVICE_UNAVAILABLE)
        }
        Absence::MayBeMissed => {
            partition_queries::log_missed(context, id, asked);
            BatchAnswer::empty(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

/// The body of an item, if this node knows it.
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
