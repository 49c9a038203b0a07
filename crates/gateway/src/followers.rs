//! Tasks that follow the streams, so that the node's knowledge stays fresh.

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
use crate::stream_view::{StreamState, StreamView};

/// Kept longer than promised, since nodes see a batch at different times.
const RETENTION_SLACK_MS: Millis = 10_000;
/// Longest pause before an announcement that failed is made again: whoever reads has a pace meanwhile.
const ANNOUNCE_AGAIN_PAUSE: Duration = Duration::from_secs(2);
/// Pause between two looks at how many machines there are, half as long or half longer at random: not all that find the
/// fleet small tell their addresses in the same moment.
const FLEET_LOOK_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two looks for batches that may be forgotten.
const FORGET_PAUSE: Duration = Duration::from_secs(5);

/// Starts a task for each partition of batches that is to be followed, and ends with the process.
pub async fn follow_batches(context: Arc<Context>) {
    let Some(mut requests) = context.partitions.take_follow_requests() else {
        return;
    };
    // Calls need the directories only; where all nodes start at once, batches come after them.
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

/// Follows a partition of batches as long as this node's work needs it or somebody asks about it.
async fn follow_partition(context: Arc<Context>, index: usize) {
    let view = context.partitions.at(index);
    let mut dependency = Dependency::new(view.id.to_string());
    while !view.end_following(context.now()) {
        catch_up(&context, view, &mut dependency).await;
        read_once(&context, view, &mut dependency, 0).await;
    }
}

/// Forgets what is past its retention, now and then.
pub async fn forget_old_batches(context: Arc<Context>) {
    let retention = (context.settings.bounds.retention_s * 1_000.0) as u64 + RETENTION_SLACK_MS;
    loop {
        tokio::time::sleep(FORGET_PAUSE).await;
        let Some(before) = context.now().checked_sub(retention) else {
            continue;
        };
        context.partitions.forget_before(before, context.now());
        context.control.lock().state.forget_batches_before(before);
        crash_guard::forget_old(&context);
        context.occupancy.lock().state.forget_before(before);
    }
}

/// Follows the places that other nodes take, while this node runs batches or gives orders.
pub async fn follow_occupancy(context: Arc<Context>) {
    let mut dependency = Dependency::new(context.occupancy.id.to_string());
    loop {
        context.wait_until_participating().await;
        read_once(&context, &context.occupancy, &mut dependency, 0).await;
    }
}

/// Reads what lies far behind, a few partitions at a time.
async fn catch_up<S: StreamState>(
    context: &Context,
    view: &StreamView<S>,
    dependency: &mut Dependency,
) {
    while view.is_behind(context.now()) {
        // Never closed.
        let Ok(turn) = context.catch_up_permits.acquire().await else {
            return;
        };
        let log = context.log.as_ref();
        let confirmed = view.confirm(log, context.clock, Duration::ZERO).await;
        drop(turn);
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

/// Says in the log what the others are to know of this machine: that a node started here, which tells how many
/// machines read ([`fleet_size`](havenstage_rollout::fleet_size)), and where it can be reached
/// ([`reachable_machines`](havenstage_rollout::reachable_machines)).
async fn announce(context: &Context) {
    let start = async {
        tokio::time::sleep(announce_delay(context)).await;
        announce_one(context, wanted_start).await;
    };
    let address = async {
        wait_to_tell_address(context).await;
        announce_one(context, wanted_address).await;
    };
    tokio::join!(start, address);
}

fn announce_delay(context: &Context) -> Duration {
    context.settings.announce_delay(&context.node.machine)
}

/// Waits until this machine may tell its address: soon in a fleet that is known to be small. A node that the log turned
/// away 4 s after its start was killed with three ends that it alone knew, as no machine had told where it can be reached.
async fn wait_to_tell_address(context: &Context) {
    let latest = Instant::now() + announce_delay(context);
    while !can_announce_at_once(context.fleet_size()) {
        let left = latest.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        let pause = FLEET_LOOK_PAUSE.mul_f64(0.5 + rand::random::<f64>());
        tokio::time::sleep(pause.min(left)).await;
    }
}

/// Writes an announcement, again and again while it is wanted.
async fn announce_one(context: &Context, wanted: impl Fn(&Context) -> Option<ControlRecord>) {
    while let Some(record) = wanted(context) {
        let Err(error) = append_control(context, &record).await else {
            info!(event = "announced", record = format!("{record:?}").as_str(),
                fleet = context.fleet_size(); "");
            return;
        };
        warn!(event = "not_announced", record = format!("{record:?}").as_str(),
            reason = error.to_string().as_str(); "");
        tokio::time::sleep(ANNOUNCE_AGAIN_PAUSE.mul_f64(rand::random())).await;
    }
}

/// That a node started here, if the others are to know.
fn wanted_start(context: &Context) -> Option<ControlRecord> {
    let machine = &context.node.machine;
    let is_wanted = context.control.lock().state.fleet().is_wanted(machine);
    is_wanted.then(|| ControlRecord::Joined {
        machine: machine.clone(),
    })
}

/// Where this machine can be reached, if the others are to know.
fn wanted_address(context: &Context) -> Option<ControlRecord> {
    let machine = &context.node.machine;
    let address = context.peer_socket.get()?.address();
    let control = context.control.lock();
    let is_wanted = control.state.reachable().is_wanted(machine, address);
    is_wanted.then(|| ControlRecord::Reachable {
        machine: machine.clone(),
        address,
    })
}

/// Follows the control stream.
pub async fn follow_control(context: Arc<Context>) {
    let mut dependency = Dependency::new(context.control.id.to_string());
    checkpoints::restore_control(&context).await;
    catch_up(&context, &context.control, &mut dependency).await;
    context.mark_control_read();
    let announcing = context.clone();
    tokio::spawn(async move { announce(&announcing).await });
    context.apply_observed_versions();
    loop {
        let gap_ms = if context.is_busy() {
            0
        } else {
            context.pace().read_interval_ms
        };
        if read_once(&context, &context.control, &mut dependency, gap_ms).await
            == ReadOutcome::Dropped
        {
            checkpoints::restore_control(&context).await;
        }
        context.adapt_read_timeout();
        context.apply_observed_versions();
        crash_guard::log_newly_barred(&context);
        context.work.notify_one();
    }
}

/// What became of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// It was answered.
    Answered,
    /// Records before those that are kept were asked for; they are skipped.
    Dropped,
    /// It failed, and a while has passed since.
    Failed,
}

/// Reads a stream once, after a gap since the read before.
pub(crate) async fn read_once<S: StreamState>(
    context: &Context,
    view: &StreamView<S>,
    dependency: &mut Dependency,
    gap_ms: Millis,
) -> ReadOutcome {
    view.wait_between_reads(Duration::from_millis(gap_ms), context.now())
        .await;
    let wait = context
        .settings
        .read_wait()
        .max(Duration::from_millis(gap_ms * 2));
    view.lock().expected_read_interval_ms = gap_ms + wait.as_millis() as u64;
    let asked = context.now();
    let from = view.lock().next;
    match context.log.read(view.id, from, wait).await {
        Ok(page) => {
            dependency.record_success();
            context.record_contact();
            let outcome = view.apply_page(page, asked, context.now());
            if outcome.unreadable > 0 {
                warn!(event = "records_unreadable", dependency = dependency.name.as_str(),
                    count = outcome.unreadable; "");
            }
            ReadOutcome::Answered
        }
        // One that leads no further is a failure: without a pause the same read would follow at once.
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
