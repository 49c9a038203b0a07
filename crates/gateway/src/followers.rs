//! Tasks that follow the streams of the log, so that the node's knowledge stays current.

use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::Millis;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::reachable_machines::can_announce_at_once;
use log::{info, warn};
use tokio::task::JoinSet;

use crate::checkpoints;
use crate::context::Context;
use crate::crash_guard;
use crate::dependency::Dependency;
use crate::edge::LogError;
use crate::log_writes::append_control;
use crate::peer_notices;
use crate::stream_view::{StreamState, StreamView};

/// Time for which batches are kept beyond the promised retention, since nodes first see a batch at different times.
const RETENTION_SLACK_MS: Millis = 10_000;
/// Maximum pause before a failed announcement is retried; until it succeeds, other nodes pace their reads by the fleet
/// size that they know.
const MAX_ANNOUNCE_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Mean pause between two checks of the fleet size. It varies at random by up to half, so that nodes that find the fleet
/// small don't all announce their addresses at the same moment.
const FLEET_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause between two runs that remove state past its retention.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);

/// Starts a task for each batch partition that is to be followed; runs until the process ends.
pub async fn follow_batches(context: Arc<Context>) {
    let Some(mut requests) = context.partitions.take_follow_requests() else {
        return;
    };
    // Calls need only the directories, so these are read before batches, which matters when all nodes start at once.
    context.wait_for_directories().await;
    let mut followers = JoinSet::new();
    loop {
        tokio::select! {
            Some(index) = requests.recv() => {
                followers.spawn(follow_partition(context.clone(), index));
            }
            Some(_) = followers.join_next() => {}
        }
    }
}

/// Follows a batch partition while this node's work needs it or callers ask about its batches.
async fn follow_partition(context: Arc<Context>, index: usize) {
    let view = context.partitions.at(index);
    let mut dependency = Dependency::new(view.id.to_string());
    while !view.end_following(context.now()) {
        catch_up(&context, view, &mut dependency).await;
        read_once(&context, view, &mut dependency, 0).await;
    }
}

/// Removes state that is past its retention, at regular intervals.
pub async fn forget_old_batches(context: Arc<Context>) {
    let retention = (context.settings.bounds.retention_s * 1_000.0) as u64 + RETENTION_SLACK_MS;
    loop {
        tokio::time::sleep(FORGET_INTERVAL).await;
        let Some(before) = context.now().checked_sub(retention) else {
            continue;
        };
        context.partitions.forget_before(before, context.now());
        context.control.lock().state.forget_batches_before(before);
        crash_guard::forget_old(&context);
        context.occupancy.lock().state.forget_before(before);
    }
}

/// Follows the slots on back ends that other nodes use, while this node runs batches or sends orders.
pub async fn follow_occupancy(context: Arc<Context>) {
    let mut dependency = Dependency::new(context.occupancy.id.to_string());
    loop {
        context.wait_until_participating().await;
        read_once(&context, &context.occupancy, &mut dependency, 0).await;
    }
}

/// Reads a stream to its end if this node is far behind, a few streams at a time.
async fn catch_up<S: StreamState>(
    context: &Context,
    view: &StreamView<S>,
    dependency: &mut Dependency,
) {
    while view.is_behind(context.now()) {
        // The semaphore is never closed.
        let Ok(permit) = context.catch_up_permits.acquire().await else {
            return;
        };
        let log = context.log.as_ref();
        let confirmed = view.confirm(log, context.clock, Duration::ZERO).await;
        drop(permit);
        match confirmed {
            Ok(()) => {
                dependency.record_success();
                context.record_contact();
            }
            Err(error) => {
                view.read_failed();
                dependency.pause_after(error, context.read_interval()).await;
            }
        }
    }
}

/// Announces in the log what other nodes need to know of this machine: that a node started here, from which they count
/// the machines that read the log ([`fleet_size`](havenstage_rollout::fleet_size)), and the address at which it can be
/// reached ([`reachable_machines`](havenstage_rollout::reachable_machines)).
async fn announce(context: &Context) {
    let start = async {
        tokio::time::sleep(announce_delay(context)).await;
        announce_one(context, start_to_announce).await;
    };
    let address = async {
        wait_to_announce_address(context).await;
        announce_one(context, address_to_announce).await;
    };
    tokio::join!(start, address);
}

fn announce_delay(context: &Context) -> Duration {
    context.settings.announce_delay(&context.node.machine)
}

/// Waits until this machine may announce its address: almost at once in a fleet that is known to be small. Without an
/// early address, a node that loses the log a few seconds (4 s) after its start can't pass on what it alone knows, such
/// as ends of back ends, since no machine has announced where it can be reached; if it is killed, that is lost.
async fn wait_to_announce_address(context: &Context) {
    let latest = Instant::now() + announce_delay(context);
    while !can_announce_at_once(context.fleet_size()) {
        let remaining = latest.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return;
        }
        let pause = FLEET_CHECK_INTERVAL.mul_f64(0.5 + rand::random::<f64>());
        tokio::time::sleep(pause.min(remaining)).await;
    }
}

/// Appends an announcement, with retries until it succeeds or is no longer needed.
async fn announce_one(context: &Context, pending: impl Fn(&Context) -> Option<ControlRecord>) {
    while let Some(record) = pending(context) {
        let Err(error) = append_control(context, &record).await else {
            info!(event = "announced", record = format!("{record:?}").as_str(),
                fleet = context.fleet_size(); "");
            return;
        };
        warn!(event = "not_announced", record = format!("{record:?}").as_str(),
            reason = error.to_string().as_str(); "");
        tokio::time::sleep(MAX_ANNOUNCE_RETRY_PAUSE.mul_f64(rand::random())).await;
    }
}

/// The announcement that a node started here, unless it is not needed.
fn start_to_announce(context: &Context) -> Option<ControlRecord> {
    let machine = &context.node.machine;
    let is_wanted = context.control.lock().state.fleet().is_wanted(machine);
    is_wanted.then(|| ControlRecord::Joined {
        machine: machine.clone(),
    })
}

/// The announcement of this machine's address, unless it is not needed.
fn address_to_announce(context: &Context) -> Option<ControlRecord> {
    let machine = &context.node.machine;
    let address = context.peer_socket.get()?.address();
    let control = context.control.lock();
    let is_wanted = control.state.reachable().is_wanted(machine, address);
    is_wanted.then(|| ControlRecord::Reachable {
        machine: machine.clone(),
        address,
    })
}

/// Restores the control state from a checkpoint, reads the control stream to its end and then follows it; runs until the
/// process ends.
pub async fn follow_control(context: Arc<Context>) {
    let mut dependency = Dependency::new(context.control.id.to_string());
    checkpoints::restore_control(&context).await;
    catch_up(&context, &context.control, &mut dependency).await;
    context.mark_control_read();
    let announcer_context = context.clone();
    tokio::spawn(async move { announce(&announcer_context).await });
    context.apply_observed_versions();
    loop {
        let interval_ms = if context.is_busy() {
            0
        } else {
            context.pace().read_interval_ms
        };
        if read_once(&context, &context.control, &mut dependency, interval_ms).await
            == ReadOutcome::Dropped
        {
            checkpoints::restore_control(&context).await;
        }
        context.adapt_read_timeout();
        context.apply_observed_versions();
        crash_guard::log_newly_barred(&context);
        peer_notices::update_recipients(&context);
        context.work.notify_one();
    }
}

/// Outcome of a read of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// The log answered, with or without new records.
    Answered,
    /// The requested records had been dropped from the log; reading goes on at the first one that is kept.
    Dropped,
    /// The read failed, and the pause before a retry has passed.
    Failed,
}

/// Reads a stream once, at least `interval_ms` after the previous read.
pub(crate) async fn read_once<S: StreamState>(
    context: &Context,
    view: &StreamView<S>,
    dependency: &mut Dependency,
    interval_ms: Millis,
) -> ReadOutcome {
    view.wait_between_reads(Duration::from_millis(interval_ms), context.now())
        .await;
    let wait = context
        .settings
        .read_wait()
        .max(Duration::from_millis(interval_ms * 2));
    view.lock().expected_read_interval_ms = interval_ms + wait.as_millis() as u64;
    let asked_at = context.now();
    let from = view.lock().next;
    match context.log.read(view.id, from, wait).await {
        Ok(page) => {
            dependency.record_success();
            context.record_contact();
            let outcome = view.apply_page(page, asked_at, context.now());
            if outcome.unreadable > 0 {
                warn!(event = "records_unreadable", dependency = dependency.name.as_str(),
                    count = outcome.unreadable; "");
            }
            ReadOutcome::Answered
        }
        // If this makes no progress it counts as a failure: without a pause the same read would follow at once.
        Err(LogError::HistoryDropped { first }) if first > from => {
            view.skip_to(first, context.now());
            ReadOutcome::Dropped
        }
        Err(error) => {
            view.read_failed();
            dependency.pause_after(error, context.read_interval()).await;
            ReadOutcome::Failed
        }
    }
}
