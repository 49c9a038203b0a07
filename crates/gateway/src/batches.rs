//! Callers' calls on batches: handing one in, reading its results, reading an item, ending it.
//!
//! A call is answered only from the shared log: accepted means appended, and "there is none" means
//! that the log was asked after the call came in.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use havenstage_rollout::Millis;
use havenstage_rollout::batch::Submission;
use havenstage_rollout::batch_index::BatchNotice;
use havenstage_rollout::control::ControlRecord;
use havenstage_rollout::fold::BatchState;
use havenstage_rollout::framing;
use havenstage_rollout::ids::{BatchId, ItemId, NodeId};
use havenstage_rollout::record::BatchRecord;
use havenstage_rollout::stored::Stored;
use http::StatusCode;
use log::{info, warn};
use tokio::time::Instant;

use crate::batch_partitions::BatchView;
use crate::context::Context;
use crate::edge::{LogError, ResultPage};
use crate::questions;
use crate::stream_view::{StreamState, StreamView};

/// Most bytes of a page of results.
const PAGE_BYTES: usize = 1_000_000;
/// Age of a node's knowledge that is still good enough to say that nothing is new.
const FRESH_ENOUGH: Duration = Duration::from_millis(400);
/// Time for which an append that was certainly not done is repeated.
const REPEAT_NOT_DONE: Duration = Duration::from_millis(600);
/// Time for which an append is repeated whose outcome is not known.
const REPEAT_UNKNOWN: Duration = Duration::from_millis(3_500);
/// Pause between two appends of the same records.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);
/// Longest time that a reader may wait.
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);

/// The answer to a call on batches.
#[derive(Debug, Clone)]
pub struct BatchAnswer {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
    /// Whether the body is in the gateway's own format, not the caller's bytes.
    pub is_own_format: bool,
}

impl BatchAnswer {
    /// An answer without a body.
    pub fn empty(status: StatusCode) -> Self {
        Self {
            status,
            body: Bytes::new(),
            is_own_format: false,
        }
    }
}

/// Hands in a batch.
pub async fn submit(context: &Arc<Context>, submission: Submission) -> BatchAnswer {
    if let Err(error) = submission.validate() {
        warn!(event = "batch_refused", batch = submission.id.as_str(), status = 400u16,
            reason = error.to_string().as_str(); "");
        return BatchAnswer::empty(StatusCode::BAD_REQUEST);
    }
    let id = submission.id.clone();
    let items = submission.items.len();
    let (step, minimum_version) = (submission.step, submission.minimum_version);
    let desired_groups = submission.desired_groups;
    let partition = context.partition_of(&id);
    if is_accepted(context, &id) {
        info!(event = "batch_repeated", batch = id.as_str(), status = 202u16; "");
        return BatchAnswer::empty(StatusCode::ACCEPTED);
    }
    let status = write_down(context, submission).await;
    info!(event = "batch_submitted", batch = id.as_str(), partition = partition.id.to_string().as_str(),
        items = items, step = step, desired_groups = desired_groups,
        minimum_version = minimum_version, status = status.as_u16(); "");
    BatchAnswer::empty(status)
}

/// Whether a batch is known to be there whole: its items, and the notice of it to all nodes.
fn is_accepted(context: &Context, batch: &BatchId) -> bool {
    let is_noticed = context.control.lock().state.index().batch(batch).is_some();
    let partition = context.partition_of(batch);
    is_noticed && partition.lock().state.batch(batch).is_some()
}

/// Appends a batch to its partition, and then the notice of it to the stream that all nodes read; both
/// must be there before it is accepted. An owner that reads the partition before the items are there
/// would see them late: the store need not wake a reader of a topic that is created while it waits.
/// "Not run" is true if the items were certainly not appended, since nobody is told of them then.
async fn write_down(context: &Arc<Context>, submission: Submission) -> StatusCode {
    let owner = first_owner(context, &submission);
    let notice = ControlRecord::BatchAccepted(BatchNotice::of(&submission, owner.clone()));
    let partition = context.partition_of(&submission.id);
    let record = BatchRecord::Submitted {
        submission: Arc::new(submission),
        owner,
    };
    let items = append(context, partition, &record.encode()).await;
    match items {
        AppendOutcome::TooLarge => return StatusCode::PAYLOAD_TOO_LARGE,
        AppendOutcome::NotDone => return StatusCode::SERVICE_UNAVAILABLE,
        // Items that may be there are run if they are.
        AppendOutcome::Done | AppendOutcome::Unknown => {}
    }
    let told = append(context, &context.control, &notice.encode()).await;
    // This node hears of it at once, in case it is the owner.
    context.control.want(context.now());
    match (items, told) {
        (AppendOutcome::Done, AppendOutcome::Done) => StatusCode::ACCEPTED,
        _ => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Age of a sign of life up to which its node is taken to be alive.
const ALIVE_MS: Millis = 700;

/// The node that runs the batch from the start: the one that ran the route's last batch, if it was
/// seen a moment ago, since it has connections to the back ends; else this one. A node that stops
/// leaves the batch to the others.
fn first_owner(context: &Context, submission: &Submission) -> Option<NodeId> {
    last_owner(context, submission)
        .or_else(|| (!context.is_stopping()).then(|| context.node.clone()))
}

fn last_owner(context: &Context, submission: &Submission) -> Option<NodeId> {
    let since = context.now().saturating_sub(ALIVE_MS);
    let table = context.routes()?;
    let route = table.batch_route(&submission.host, &submission.path)?;
    let control = context.control.lock();
    let owner = control.state.serving(&route.name, since)?;
    (*owner != context.node || !context.is_stopping()).then(|| owner.clone())
}

/// Reads results from a position on; waits up to `wait` for one.
pub async fn read(
    context: &Arc<Context>,
    id: &BatchId,
    from: usize,
    wait: Duration,
) -> BatchAnswer {
    let call = ReadCall {
        context,
        partition: context.partition_of(id),
        id,
        from,
        asked: Instant::now(),
        wait: wait.min(LONGEST_WAIT),
    };
    call.answer().await
}

/// A call for results.
struct ReadCall<'a> {
    context: &'a Arc<Context>,
    partition: &'a BatchView,
    id: &'a BatchId,
    from: usize,
    asked: Instant,
    wait: Duration,
}

enum Found {
    NoBatch,
    NothingNew { closed: bool },
    Page(BatchAnswer),
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
                    let _ = tokio::time::timeout_at(until, changed).await;
                }
                Found::NoBatch => match self.ask(Duration::ZERO).await {
                    Err(error) => return refuse_read(self.partition, self.id, error, self.asked),
                    Ok(()) if self.partition.lock().state.batch(self.id).is_none() => {
                        info!(event = "batch_not_found", batch = self.id.as_str(),
                            status = 404u16; "");
                        return BatchAnswer::empty(StatusCode::NOT_FOUND);
                    }
                    Ok(()) => {}
                },
            }
        }
    }

    fn look(&self) -> Found {
        let inner = self.partition.lock();
        let Some(batch) = inner.state.batch(self.id) else {
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

    fn page(&self, batch: &BatchState) -> BatchAnswer {
        let dialect = &self.context.dialect;
        let mut bytes = 0;
        let mut results = Vec::new();
        for (item, result) in batch.results_from(self.from) {
            bytes += dialect.result_bytes(result);
            if bytes > PAGE_BYTES && !results.is_empty() {
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
        let until = questions::deadline(self.context, self.asked, self.wait);
        let question = questions::ask(self.context, self.id, most_age, until);
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
        let batch = inner.state.batch(self.id);
        batch.is_some_and(|batch| self.from < batch.listed.len())
    }

    /// Answers "nothing new" once the node's knowledge is fresh enough; `None` if there is something.
    async fn confirmed_nothing(&self) -> Option<BatchAnswer> {
        if let Err(error) = self.ask(FRESH_ENOUGH).await {
            return Some(refuse_read(self.partition, self.id, error, self.asked));
        }
        let inner = self.partition.lock();
        let batch = inner.state.batch(self.id)?;
        (self.from >= batch.listed.len()).then(|| self.page(batch))
    }
}

/// Reads a batch's partition to its end, for a caller that allows no wait.
async fn confirm_now(context: &Arc<Context>, id: &BatchId) -> Result<(), BatchAnswer> {
    let asked = Instant::now();
    let until = questions::deadline(context, asked, Duration::ZERO);
    let outcome = questions::ask(context, id, Duration::ZERO, until).await;
    outcome.map_err(|error| refuse_read(context.partition_of(id), id, error, asked))
}

/// Refuses a call on a batch that was made at `asked`, since its partition could not be read.
fn refuse_read(
    partition: &BatchView,
    batch: &BatchId,
    error: LogError,
    asked: Instant,
) -> BatchAnswer {
    warn!(event = "read_refused", batch = batch.as_str(),
        partition = partition.id.to_string().as_str(), reason = error.to_string().as_str(),
        status = 503u16, waited_ms = asked.elapsed().as_millis() as u64; "");
    BatchAnswer::empty(StatusCode::SERVICE_UNAVAILABLE)
}

/// Reads the body of an item that is not listed yet.
pub async fn item_body(context: &Arc<Context>, id: &BatchId, item: &ItemId) -> BatchAnswer {
    let partition = context.partition_of(id);
    if let Some(answer) = known_body(partition, id, item) {
        return answer;
    }
    if let Err(answer) = confirm_now(context, id).await {
        return answer;
    }
    known_body(partition, id, item).unwrap_or_else(|| BatchAnswer::empty(StatusCode::NOT_FOUND))
}

fn known_body(partition: &BatchView, id: &BatchId, item: &ItemId) -> Option<BatchAnswer> {
    let inner = partition.lock();
    let spec = inner.state.batch(id)?.item(item)?.spec.clone()?;
    Some(BatchAnswer {
        status: StatusCode::OK,
        body: spec.body.clone(),
        is_own_format: false,
    })
}

/// What came of a call that ends a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndOutcome {
    /// Its end was known to be in the log.
    AlreadyEnded,
    /// Its end was appended.
    Appended,
    /// It was never handed in.
    NotThere,
    /// Its end was not acknowledged; where that says so, it may have been appended all the same.
    NotAppended { may_be_done: bool },
}

impl EndOutcome {
    fn name(self) -> &'static str {
        match self {
            Self::AlreadyEnded => "already_ended",
            Self::Appended => "appended",
            Self::NotThere => "not_there",
            Self::NotAppended { .. } => "not_appended",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::AlreadyEnded | Self::Appended => StatusCode::OK,
            Self::NotThere => StatusCode::NOT_FOUND,
            Self::NotAppended { may_be_done: false } => StatusCode::SERVICE_UNAVAILABLE,
            Self::NotAppended { may_be_done: true } => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Ends a batch.
pub async fn end(context: &Arc<Context>, id: &BatchId) -> BatchAnswer {
    let began = Instant::now();
    let outcome = try_to_end(context, id).await;
    let status = outcome.status();
    info!(event = "batch_end", batch = id.as_str(), outcome = outcome.name(),
        status = status.as_u16(), took_ms = began.elapsed().as_millis() as u64; "");
    BatchAnswer::empty(status)
}

/// A batch that some node runs is ended without being read here: reading may take seconds when all nodes
/// have just started, in which its items would go on.
async fn try_to_end(context: &Arc<Context>, id: &BatchId) -> EndOutcome {
    if was_found_in_the_log(context, id) {
        return append_end(context, id).await;
    }
    match confirm_now(context, id).await {
        Ok(()) => append_end_if_known(context, id).await,
        // That the partition could not be read was told, with the reason.
        Err(_) => EndOutcome::NotAppended { may_be_done: false },
    }
}

/// Whether a node is known to have found the batch in its partition, so that an end appended now lies
/// behind it and counts.
fn was_found_in_the_log(context: &Context, id: &BatchId) -> bool {
    if context.partition_of(id).lock().state.batch(id).is_some() {
        return true;
    }
    let control = context.control.lock();
    let indexed = control.state.index().batch(id);
    indexed.is_some_and(|indexed| indexed.was_found)
}

async fn append_end_if_known(context: &Context, id: &BatchId) -> EndOutcome {
    let is_known = context.partition_of(id).lock().state.batch(id).is_some();
    if is_known {
        append_end(context, id).await
    } else {
        EndOutcome::NotThere
    }
}

/// Appends the end of a batch that lies in the log, unless it is known to be there.
async fn append_end(context: &Context, id: &BatchId) -> EndOutcome {
    let partition = context.partition_of(id);
    let is_ended = partition
        .lock()
        .state
        .batch(id)
        .is_some_and(|batch| batch.ended);
    if is_ended {
        return EndOutcome::AlreadyEnded;
    }
    let record = BatchRecord::Ended { batch: id.clone() };
    match append(context, partition, &record.encode()).await {
        AppendOutcome::Done => EndOutcome::Appended,
        AppendOutcome::NotDone | AppendOutcome::TooLarge => {
            EndOutcome::NotAppended { may_be_done: false }
        }
        AppendOutcome::Unknown => EndOutcome::NotAppended { may_be_done: true },
    }
}

enum AppendOutcome {
    Done,
    NotDone,
    Unknown,
    TooLarge,
}

/// Appends a record, again if need be: the fold takes it once.
async fn append<S: StreamState>(
    context: &Context,
    partition: &StreamView<S>,
    encoded: &[u8],
) -> AppendOutcome {
    if encoded.len() + FRAMING_ALLOWANCE > context.settings.log.call_bytes {
        return AppendOutcome::TooLarge;
    }
    let records = framing::split(encoded, context.settings.log.record_bytes);
    let began = Instant::now();
    let mut is_unknown = false;
    loop {
        match context.log.append(partition.id, records.clone()).await {
            Ok(_) => return AppendOutcome::Done,
            Err(error) => {
                is_unknown |= !error.is_not_done();
                let limit = if is_unknown {
                    REPEAT_UNKNOWN
                } else {
                    REPEAT_NOT_DONE
                };
                if began.elapsed() >= limit {
                    report_append(partition, error, is_unknown);
                    return outcome_of_failure(is_unknown);
                }
            }
        }
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
}

/// Bytes that framing adds to a record of the largest allowed size, at most.
const FRAMING_ALLOWANCE: usize = 256;

fn outcome_of_failure(is_unknown: bool) -> AppendOutcome {
    if is_unknown {
        AppendOutcome::Unknown
    } else {
        AppendOutcome::NotDone
    }
}

fn report_append<S: StreamState>(partition: &StreamView<S>, error: LogError, is_unknown: bool) {
    warn!(event = "append_failed", partition = partition.id.to_string().as_str(),
        reason = error.to_string().as_str(), may_be_done = is_unknown; "");
}
