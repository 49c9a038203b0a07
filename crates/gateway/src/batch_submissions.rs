//! Calls by which callers submit a batch.
//!
//! A batch is accepted once two appends are acknowledged: the batch in its partition, and the notice of it in the
//! control stream, which all nodes read.

use std::sync::Arc;

use havenstage_rollout::Millis;
use havenstage_rollout::batch::Submission;
use havenstage_rollout::batch_index::BatchNotice;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::ids::{BatchId, NodeId, TenantName};
use havenstage_rollout::record::BatchRecord;
use havenstage_rollout::stored::Stored;
use http::StatusCode;
use log::{info, warn};

use crate::batch_answer::BatchAnswer;
use crate::context::Context;
use crate::retried_append::{AppendFor, AppendOutcome, append};

/// Age of a node's last heartbeat up to which the node counts as alive.
const MAX_HEARTBEAT_AGE_MS: Millis = 700;

/// Submits a batch, which belongs to the tenant whose key its caller presented; `None` for a caller without a key.
pub(crate) async fn submit(
    context: &Arc<Context>,
    submission: Submission,
    tenant: Option<&TenantName>,
) -> BatchAnswer {
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
    let status = append_submission(context, submission, tenant).await;
    info!(event = "batch_submitted", batch = id.as_str(), partition = partition.id.to_string().as_str(),
        tenant = tenant.map_or("", TenantName::as_str), items = items, step = step, desired_groups = desired_groups,
        minimum_version = minimum_version, status = status.as_u16(); "");
    BatchAnswer::empty(status)
}

/// Whether this node knows that both the items of a batch and the notice of it are in the log.
fn is_accepted(context: &Context, batch: &BatchId) -> bool {
    let has_notice = context.control.lock().state.index().batch(batch).is_some();
    let partition = context.partition_of(batch);
    has_notice && partition.lock().state.batch(batch).is_some()
}

/// Appends a batch to its partition and then the notice of it to the control stream; the batch is accepted only once
/// both are in the log. The items come first: an owner that reads the partition before the items are there would see
/// them late, since the store need not wake a reader of a topic that is created while the reader waits. If the items
/// were certainly not appended, no notice is appended either, so the refusal's statement that nothing was run holds.
async fn append_submission(
    context: &Arc<Context>,
    submission: Submission,
    tenant: Option<&TenantName>,
) -> StatusCode {
    let owner = first_owner(context, &submission, tenant);
    let notice = ControlRecord::BatchAccepted(BatchNotice::of(&submission, owner.clone()));
    let partition = context.partition_of(&submission.id);
    let record = record_of(submission, tenant, owner);
    let items = append(context, partition, &record.encode(), AppendFor::Caller).await;
    match items {
        AppendOutcome::TooLarge => return StatusCode::PAYLOAD_TOO_LARGE,
        AppendOutcome::NotDone => return StatusCode::SERVICE_UNAVAILABLE,
        // If the outcome is unknown, the notice is appended too, so that items that are there are run.
        AppendOutcome::Done | AppendOutcome::Unknown => {}
    }
    let notice_outcome = append(
        context,
        &context.control,
        &notice.encode(),
        AppendFor::Caller,
    )
    .await;
    // This node reads the notice at once, in case it is the owner.
    context.control.want(context.now());
    match (items, notice_outcome) {
        (AppendOutcome::Done, AppendOutcome::Done) => StatusCode::ACCEPTED,
        _ => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn record_of(
    submission: Submission,
    tenant: Option<&TenantName>,
    owner: Option<NodeId>,
) -> BatchRecord {
    let submission = Arc::new(submission);
    match tenant.cloned() {
        Some(tenant) => BatchRecord::SubmittedFor {
            tenant,
            submission,
            owner,
        },
        None => BatchRecord::Submitted { submission, owner },
    }
}

/// The node that is to own the batch from the start: the one that ran the route's last batch, if its heartbeat is
/// recent, since it has connections to the back ends; otherwise this node. `None` leaves the batch to whichever other
/// node claims it: if this node is stopping, or is in a region where the batch may not be kept.
fn first_owner(
    context: &Context,
    submission: &Submission,
    tenant: Option<&TenantName>,
) -> Option<NodeId> {
    let residency = context.batch_residency(&submission.host, &submission.path, tenant);
    let is_allowed = residency.allows(context.own_region().as_ref());
    let may_own = is_allowed && !context.is_stopping();
    // This node does not know the regions of other nodes.
    let last_owner = match residency.is_restricted() {
        true => None,
        false => last_owner(context, submission),
    };
    last_owner.or_else(|| may_own.then(|| context.node.clone()))
}

fn last_owner(context: &Context, submission: &Submission) -> Option<NodeId> {
    let since = context.now().saturating_sub(MAX_HEARTBEAT_AGE_MS);
    let table = context.routes()?;
    let route = table.batch_route(&submission.host, &submission.path)?;
    let control = context.control.lock();
    let owner = control.state.serving(&route.name, since)?;
    (*owner != context.node || !context.is_stopping()).then(|| owner.clone())
}
