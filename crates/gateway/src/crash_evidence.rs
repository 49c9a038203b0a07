//! Detects whether a back end ended while it ran a request.
//!
//! A broken connection alone is no evidence: connections are reset, and back ends leave in order. So the node opens a
//! new connection to the back end's address. The back end has ended if nobody listens there, at once or a moment later,
//! or if another incarnation is listed at the address soon after. An end does not count if the back end had announced
//! that it leaves. The detection runs on after the caller has disconnected; otherwise the ends that a request causes
//! would go unnoticed whenever its caller leaves early.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_http_link::{Link, OpenProbe, Probe};
use havenstage_rollout::Millis;
use havenstage_rollout::crash_ledger::{Fingerprint, Suspicion};
use havenstage_rollout::ids::BackendId;
use log::info;
use tokio::sync::{Semaphore, oneshot};

use crate::backends::ChosenBackend;
use crate::context::Context;
use crate::crash_guard::{self, SuspectSlot};
use crate::metrics;

/// Timeout for a connection to a back end's address: some ten round trips between zones. A machine that does not answer
/// within it may be cut off by the network, which says nothing about the back end.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a broken request waits to see whether a new connection to the back end is closed: a process that ends
/// does not close all its sockets at the same moment, and its address may accept connections for some 5 ms more. With
/// this wait, such a request ends no more than the three back ends after which it is barred.
const PROBE_CLOSE_WAIT: Duration = Duration::from_millis(10);
/// Time for which the address is watched after a send broke. An unsuspected request may be sent elsewhere meanwhile.
const BROKEN_SEND_WATCH: Duration = Duration::from_millis(60);
/// Time for which the address is watched after a send was given up. It is longer than a harmful request takes from the
/// start of its run to the end of the back end (40 to 170 ms in a recorded incident).
const GIVEN_UP_SEND_WATCH: Duration = Duration::from_millis(300);
/// Time after which it is known whether the back end of a send that was given up has ended.
pub(crate) const OUTCOME_KNOWN_AFTER: Duration = GIVEN_UP_SEND_WATCH.saturating_add(PROBE_TIMEOUT);
/// Pause before the listener of a process that closes new connections is checked again: such a process ends within some
/// 5 ms, and checks without a pause would all be over by then.
const CLOSING_CHECK_PAUSE: Duration = Duration::from_millis(5);
/// Maximum number of times that the listener is checked for one send. A connection that closes while the address still
/// accepts others shows nothing: the process may be ending, or it may be at its limit of connections.
const MAX_CHECKS: usize = 3;
/// Delay of the check for another incarnation at the address. If one is listed by then, the former one ended with the
/// send: a back end that announces that it leaves serves for longer than this.
const ADDRESS_REUSE_CHECK_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum number of given-up sends of unsuspected requests whose back ends are watched at a time: each holds a
/// connection, and when callers leave because back ends are overloaded, more connections would add to the overload.
const MAX_WATCHED_SENDS: usize = 8;
/// Maximum number of given-up sends that wait until fewer are watched. An end is still found then: back ends restart
/// after two seconds, and the next incarnation is listed.
const MAX_WAITING_SENDS: usize = 32;

/// Maximum time for which the check of a send that began after its back end had ended waits for the entry of the next
/// incarnation, which writes it as soon as it listens.
const NEXT_ENTRY_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause between two looks for that entry.
const NEXT_ENTRY_POLL_PAUSE: Duration = Duration::from_millis(10);

/// Signals, by being dropped, that a request may be sent to another back end.
type RetrySignal = oneshot::Sender<Infallible>;

/// Why a send got no complete answer.
enum SendOutcome {
    /// Its connection broke.
    Broken(RetrySignal),
    /// Its caller left or its time ran out.
    GivenUp,
}

/// Limits how many sends that were given up are watched at a time.
pub(crate) struct WatchedSends {
    /// A send holds a permit while its back end is watched.
    watching: Semaphore,
    /// A send holds a permit until its back end was watched.
    waiting_or_watching: Semaphore,
}

impl Default for WatchedSends {
    fn default() -> Self {
        Self {
            watching: Semaphore::new(MAX_WATCHED_SENDS),
            waiting_or_watching: Semaphore::new(MAX_WATCHED_SENDS + MAX_WAITING_SENDS),
        }
    }
}

/// The back end of a send.
#[derive(Clone)]
pub(crate) struct SendTarget {
    pub(crate) backend: BackendId,
    /// Connections to the back end.
    pub(crate) link: Link,
    /// When the back end was chosen, shortly before the send began.
    pub(crate) chosen_at: Instant,
}

impl SendTarget {
    pub(crate) fn of(chosen: &ChosenBackend) -> Self {
        Self {
            backend: chosen.id.clone(),
            link: chosen.link.clone(),
            chosen_at: chosen.chosen_at,
        }
    }
}

/// A send that got no complete answer.
pub(crate) struct UnansweredSend {
    /// Fingerprint of the request that was sent.
    pub(crate) request: Fingerprint,
    /// Id of this try.
    pub(crate) id: String,
    /// Where and when it was sent.
    pub(crate) target: SendTarget,
    /// Slot of a suspected request. It is held until it is known whether the back end ended, so that no other copy of
    /// the request is sent in its place: without that, one more back end ends under a request whose callers leave.
    pub(crate) slot: Option<SuspectSlot>,
}

/// Checks the back end of a send that broke after the request was written. Returns once it is known whether the back
/// end ended, or after a short wait without evidence, so that the request is not sent to another back end before.
pub(crate) async fn check_broken_send(context: &Arc<Context>, send: UnansweredSend) {
    let (retry_signal, may_retry) = oneshot::channel();
    let outcome = SendOutcome::Broken(retry_signal);
    tokio::spawn(detect_end(context.clone(), send, outcome));
    // No value is ever sent: the receiver completes when the sender is dropped.
    let _ = may_retry.await;
}

/// Watches in the background whether the back end of a send ends that was given up because its caller left or its time
/// ran out.
pub(crate) fn watch_given_up_send(context: &Arc<Context>, send: UnansweredSend) {
    // There is no runtime only while the process shuts down.
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
        return;
    };
    let context = context.clone();
    runtime.spawn(async move {
        // A suspected request is watched at once, as other copies of it wait meanwhile.
        if send.slot.is_some() {
            return detect_end(context, send, SendOutcome::GivenUp).await;
        }
        let sends = &context.watched_sends;
        let Ok(_place) = sends.waiting_or_watching.try_acquire() else {
            return report(&context, &send, "not_watched");
        };
        // The semaphore is never closed.
        let Ok(_watching) = sends.watching.acquire().await else {
            return;
        };
        detect_end(context.clone(), send, SendOutcome::GivenUp).await;
    });
}

/// Records and reports the end of a send's back end if the back end has ended, or ends while it is watched.
async fn detect_end(context: Arc<Context>, mut send: UnansweredSend, outcome: SendOutcome) {
    if is_leaving(&context, &send.target.backend) {
        report(&context, &send, "was_leaving");
        return;
    }
    if was_sent_after_end(&context, &send.target)
        && let Some(next) = next_incarnation(&context, &send.target).await
    {
        send.target.backend = next;
    }
    if has_crashed(&context, &send.target.backend) {
        record_end(&context, &send, "next_life").await;
        return;
    }
    let mut retry_signal = None;
    let has_ended = match outcome {
        SendOutcome::Broken(signal) => {
            retry_signal = Some(signal);
            let retry = match crash_guard::suspicion(&context, &send.request) {
                Suspicion::None => Retry::WhileWatched,
                _ => Retry::AfterWatch,
            };
            stops_listening(&send.target.link, retry, &mut retry_signal).await
        }
        SendOutcome::GivenUp => ends_after_given_up_send(&send.target.link).await,
    };
    // The back end may have announced its leave while its address was watched.
    if is_leaving(&context, &send.target.backend) {
        report(&context, &send, "was_leaving");
        return;
    }
    if has_ended {
        record_end(&context, &send, "nobody_listens").await;
        return;
    }
    drop(retry_signal);
    report(&context, &send, "may_live");
    drop(send.slot.take());
    tokio::spawn(async move {
        tokio::time::sleep(ADDRESS_REUSE_CHECK_DELAY).await;
        if is_address_reused(&context, send.target.link.address(), &send.target.backend) {
            record_end(&context, &send, "next_life").await;
        }
    });
}

/// Whether a send began when this node knew already that its back end had ended.
fn was_sent_after_end(context: &Context, target: &SendTarget) -> bool {
    let now = context.now();
    let since_send = target.chosen_at.elapsed().as_millis() as Millis;
    let control = context.control.lock();
    let end_age = control.state.crashes().end_age(&target.backend, now);
    end_age.is_some_and(|age| age > since_send)
}

/// The incarnation that ran a send which began after the end of the back end that it was meant for. The next incarnation
/// listens at the same address and accepts requests under the same name before its entry reaches this node.
async fn next_incarnation(context: &Context, target: &SendTarget) -> Option<BackendId> {
    let deadline = Instant::now() + NEXT_ENTRY_TIMEOUT;
    loop {
        let next = {
            let backends = context.backends.lock();
            let next = backends.list.next_incarnation(&target.backend).cloned();
            next.filter(|next| {
                let record = backends.list.get(next);
                record.is_some_and(|record| record.address == target.link.address())
            })
        };
        if next.is_some() || Instant::now() >= deadline {
            return next;
        }
        tokio::time::sleep(NEXT_ENTRY_POLL_PAUSE).await;
    }
}

/// Whether the back end of a send that was given up ends within [`GIVEN_UP_SEND_WATCH`]. Unlike after a break, one
/// connection is enough until it closes: a listener hardly ever closes at the moment at which it is established.
async fn ends_after_given_up_send(link: &Link) -> bool {
    match link.probe(PROBE_TIMEOUT).await {
        Probe::Refused => return true,
        Probe::Unknown => return false,
        Probe::Reset => {}
        Probe::Open(mut connection) => {
            if !connection.closes_within(GIVEN_UP_SEND_WATCH).await {
                return false;
            }
        }
    }
    stops_listening(link, Retry::AfterWatch, &mut None).await
}

/// When a request whose send broke may be sent to another back end, if its back end still listens.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Retry {
    /// While the address is still watched.
    WhileWatched,
    /// When the watch is over. A suspected request waits for that: on a busy machine, a process that ends can listen for
    /// some tens of milliseconds longer, and the request would end one more back end meanwhile.
    AfterWatch,
}

/// Whether nobody listens at an address, now or within [`BROKEN_SEND_WATCH`]. Drops `retry_signal` as soon as `retry`
/// allows.
async fn stops_listening(
    link: &Link,
    retry: Retry,
    retry_signal: &mut Option<RetrySignal>,
) -> bool {
    for _ in 0..MAX_CHECKS {
        match check_listener(link).await {
            Listener::Gone => return true,
            Listener::Unknown => return false,
            Listener::Closing => tokio::time::sleep(CLOSING_CHECK_PAUSE).await,
            Listener::Open(connections) => {
                if retry == Retry::WhileWatched {
                    drop(retry_signal.take());
                }
                if !one_closes_within(connections, BROKEN_SEND_WATCH).await {
                    return false;
                }
            }
        }
    }
    matches!(link.probe(PROBE_TIMEOUT).await, Probe::Refused)
}

/// Whether a process still listens at the address of a back end, as far as two connections show. A partition shows nothing,
/// so the back end counts as listening then.
pub(crate) async fn is_listening(link: &Link) -> bool {
    match check_listener(link).await {
        Listener::Open(_) | Listener::Unknown => true,
        Listener::Gone | Listener::Closing => false,
    }
}

/// What connections to an address show about the listener there.
enum Listener {
    /// No process listens there.
    Gone,
    /// Connections were closed as soon as they were established.
    Closing,
    /// Connections stay open. Once the process ends, at least one of these closes.
    Open([OpenProbe; 2]),
    /// No connection was established in time, or the attempt failed otherwise.
    Unknown,
}

/// Checks with two connections, one after the other, whether a process listens at an address. A single one that stays
/// open shows nothing: if the listener closed while it was being established, it is never closed on this side.
async fn check_listener(link: &Link) -> Listener {
    let mut first = match link.probe(PROBE_TIMEOUT).await {
        Probe::Refused => return Listener::Gone,
        Probe::Reset => return Listener::Closing,
        Probe::Unknown => return Listener::Unknown,
        Probe::Open(first) => first,
    };
    if first.closes_within(PROBE_CLOSE_WAIT).await {
        return Listener::Closing;
    }
    match link.probe(PROBE_TIMEOUT).await {
        Probe::Refused => Listener::Gone,
        Probe::Reset => Listener::Closing,
        Probe::Unknown => Listener::Unknown,
        Probe::Open(second) => Listener::Open([first, second]),
    }
}

/// Whether one of these connections closes within `time`.
async fn one_closes_within([mut first, mut second]: [OpenProbe; 2], time: Duration) -> bool {
    tokio::select! {
        closes = first.closes_within(time) => closes,
        closes = second.closes_within(time) => closes,
    }
}

/// Whether a back end announced that it leaves, or is no longer listed, so that its end is expected.
fn is_leaving(context: &Context, backend: &BackendId) -> bool {
    let backends = context.backends.lock();
    let record = backends.list.get(backend);
    let has_crashed = backends.list.has_crashed(backend);
    !has_crashed && record.is_none_or(|record| record.draining)
}

/// Whether a back end ended without announcing it: its next incarnation is listed under its name.
fn has_crashed(context: &Context, backend: &BackendId) -> bool {
    context.backends.lock().list.has_crashed(backend)
}

/// Whether another back end, or another incarnation of this one, is listed at its address.
fn is_address_reused(context: &Context, address: SocketAddr, former: &BackendId) -> bool {
    context
        .backends
        .lock()
        .list
        .is_address_reused(address, former)
}

async fn record_end(context: &Arc<Context>, send: &UnansweredSend, evidence: &'static str) {
    crash_guard::record_backend_end(context, send.request, &send.target.backend).await;
    report(context, send, evidence);
}

fn report(context: &Context, send: &UnansweredSend, evidence: &'static str) {
    metrics::send_broke(evidence);
    let suspicion = crash_guard::suspicion(context, &send.request);
    info!(event = "send_broke", request = send.id.as_str(),
        content = send.request.to_string().as_str(), backend = send.target.backend.as_str(),
        evidence = evidence, suspicion = format!("{suspicion:?}").as_str(); "");
}
