//! Finds out whether a back end ended under a request.
//!
//! A send that breaks off says little: connections are reset, back ends leave. So a new connection to the back
//! end's address is tried. It has ended if nobody listens there, also if that is so only a moment later, or if
//! another life of it is listed there soon after; not if it had said that it leaves. The search goes on when
//! the caller is gone: callers that leave would take each end along that their request causes.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use havenstage_http_link::{Link, Probe};
use havenstage_rollout::crash_ledger::Fingerprint;
use havenstage_rollout::ids::BackendId;
use log::info;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::crash_guard::{self, SuspectSlot};
use crate::metrics;

/// Longest time to try a back end's address: some ten round trips between zones. A machine that does not
/// answer in this time may be cut off, which says nothing of the back end.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a request that broke off waits while the address still takes connections: a process that ends does
/// not close everything at the same moment. With it three back ends ended under one request where the address was
/// open for 5 ms more.
const CLOSING_TIME: Duration = Duration::from_millis(10);
/// Time for which the address is watched after a send broke off, while the request goes on.
const BROKEN_TIME: Duration = Duration::from_millis(60);
/// Time for which the address is watched after a send was given up: longer than it took from the start of a
/// harmful run to its end (40 to 170 ms in a recorded incident).
const GIVEN_UP_TIME: Duration = Duration::from_millis(300);
/// Time after which it is known what came of a send that was given up.
pub(crate) const OUTCOME_KNOWN_AFTER: Duration = GIVEN_UP_TIME.saturating_add(PROBE_TIMEOUT);
/// Most connections tried for one send. One that closes while the address is still open shows nothing: the process
/// may be ending, or takes no more connections.
const MOST_PROBES: usize = 3;
/// Time after which another life at the address shows that the former one ended with the send. A back end that
/// says that it leaves serves for longer than this.
const NEXT_LIFE_AFTER: Duration = Duration::from_millis(1_500);
/// Most sends given up whose back ends are watched at a time: each holds a connection, and when callers leave
/// because back ends are overloaded these would add to it.
const MOST_WATCHED: usize = 8;

/// Dropped when a request may be sent on.
type GoOn = oneshot::Sender<Infallible>;

/// Sends that were given up and whose back ends are watched.
#[derive(Default)]
pub(crate) struct WatchedSends(AtomicUsize);

impl WatchedSends {
    fn begin(&self) -> bool {
        let begun = |count| (count < MOST_WATCHED).then_some(count + 1);
        let updated = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, begun);
        updated.is_ok()
    }

    fn end(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A send that got no whole answer.
pub(crate) struct UnansweredSend {
    /// What was sent.
    pub(crate) request: Fingerprint,
    /// Id of this try.
    pub(crate) id: String,
    /// Where it was sent.
    pub(crate) backend: BackendId,
    /// Connections to there.
    pub(crate) link: Link,
    /// Held until it is known whether the back end ended, so that no other copy is sent in its place: one more back
    /// end ended under a request whose callers leave without this.
    pub(crate) slot: Option<SuspectSlot>,
}

/// A send broke off after it was written. Returns once it is known whether its back end ended, or after a moment
/// in which that does not show, so that the request is not sent on before.
pub(crate) async fn check_broken_send(context: &Arc<Context>, send: UnansweredSend) {
    let (go_on, may_go_on) = oneshot::channel();
    tokio::spawn(search(context.clone(), send, BROKEN_TIME, Some(go_on)));
    // Nothing is ever sent there: it ends when the other half is dropped.
    let _ = may_go_on.await;
}

/// A send was given up: its caller left, or its time ran out.
pub(crate) fn watch_given_up_send(context: &Arc<Context>, send: UnansweredSend) {
    // Without a runtime the process ends.
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
        return;
    };
    if !context.watched_sends.begin() {
        report(context, &send, "not_watched");
        return;
    }
    let context = context.clone();
    runtime.spawn(async move {
        search(context.clone(), send, GIVEN_UP_TIME, None).await;
        context.watched_sends.end();
    });
}

/// Notes and tells it if the back end has ended, or ends within a time. Drops `go_on` when the request may be sent on.
async fn search(
    context: Arc<Context>,
    mut send: UnansweredSend,
    time: Duration,
    mut go_on: Option<GoOn>,
) {
    if is_leaving(&context, &send.backend) {
        report(&context, &send, "was_leaving");
        return;
    }
    if has_crashed(&context, &send.backend) {
        ended(&context, &send, "next_life").await;
        return;
    }
    let has_ended = stops_listening(&send.link, time, &mut go_on).await;
    // It may have said so meanwhile.
    if is_leaving(&context, &send.backend) {
        report(&context, &send, "was_leaving");
        return;
    }
    if has_ended {
        ended(&context, &send, "nobody_listens").await;
        return;
    }
    drop(go_on);
    report(&context, &send, "may_live");
    drop(send.slot.take());
    tokio::spawn(async move {
        tokio::time::sleep(NEXT_LIFE_AFTER).await;
        if is_taken_over(&context, send.link.address(), &send.backend) {
            ended(&context, &send, "next_life").await;
        }
    });
}

/// Whether nobody listens at an address, now or within a time.
async fn stops_listening(link: &Link, time: Duration, go_on: &mut Option<GoOn>) -> bool {
    for _ in 0..MOST_PROBES {
        match link.probe(PROBE_TIMEOUT).await {
            Probe::Refused => return true,
            Probe::Unknown => return false,
            Probe::Reset => {}
            Probe::Open(mut probe) => {
                if probe.closes_within(CLOSING_TIME).await {
                    continue;
                }
                drop(go_on.take());
                if !probe.closes_within(time).await {
                    return false;
                }
            }
        }
    }
    false
}

/// Whether a back end said that it leaves, or is not listed any more: its end is expected.
fn is_leaving(context: &Context, backend: &BackendId) -> bool {
    let backends = context.backends.lock();
    let record = backends.list.get(backend);
    let has_crashed = backends.list.has_crashed(backend);
    !has_crashed && record.is_none_or(|record| record.draining)
}

/// Whether a back end ended without a word, as its next life is listed under its name.
fn has_crashed(context: &Context, backend: &BackendId) -> bool {
    context.backends.lock().list.has_crashed(backend)
}

fn is_taken_over(context: &Context, address: SocketAddr, former: &BackendId) -> bool {
    context
        .backends
        .lock()
        .list
        .is_address_reused(address, former)
}

async fn ended(context: &Arc<Context>, send: &UnansweredSend, evidence: &'static str) {
    crash_guard::record_backend_end(context, send.request, &send.backend).await;
    report(context, send, evidence);
}

fn report(context: &Context, send: &UnansweredSend, evidence: &'static str) {
    metrics::send_broke(evidence);
    let suspicion = crash_guard::suspicion(context, &send.request);
    info!(event = "send_broke", request = send.id.as_str(),
        content = send.request.to_string().as_str(), backend = send.backend.as_str(),
        evidence = evidence, suspicion = format!("{suspicion:?}").as_str(); "");
}
