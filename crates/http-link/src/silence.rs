//! Detection of silent connections, which deliver nothing any more although they were not closed or reset.
//!
//! A network fault can silence all open connections to an address at once, with no other symptom than missing
//! answers. If only one answer is slow, other connections still receive data. So the connection of an exchange over a
//! reused connection counts as silent if the answer takes longer than recent answers of this address, and
//! none of the connections that were open when the exchange started has received anything meanwhile.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use havenstage_clock::Instant;
use tokio::sync::watch;

/// Minimum time without data after which a connection counts as silent: some sixty times the response time of a server
/// that takes 4 ms, and short enough that a request is sent again within a second.
pub(crate) const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(250);
/// Silence timeout as a multiple of the recent maximum response time.
const SILENCE_TIMEOUT_FACTOR: u32 = 2;
/// Factor by which the recent maximum response time decays with each faster answer.
const MAX_RESPONSE_TIME_DECAY: f64 = 0.9;
/// Time to read data that arrived while this process was paused, before a connection counts as silent.
const READ_GRACE: Duration = Duration::from_millis(20);

/// When a connection was opened and when it last received something.
pub(crate) struct ConnectionActivity {
    opened_at: Instant,
    last_received: Mutex<Instant>,
}

impl ConnectionActivity {
    /// Records that the connection has received something now.
    pub(crate) fn record_activity(&self) {
        *lock(&self.last_received) = Instant::now();
    }

    /// When the connection last received something; the time of its opening if it has received nothing yet.
    pub(crate) fn last_received(&self) -> Instant {
        *lock(&self.last_received)
    }
}

/// An exchange whose answer has not arrived yet.
pub(crate) struct PendingExchange {
    pub(crate) activity: Arc<ConnectionActivity>,
    pub(crate) started_at: Instant,
    /// From when on an answer is expected: later than the start if the server was asked to wait.
    pub(crate) answer_due_from: Instant,
    /// Minimum time without data after which its connection counts as silent.
    pub(crate) min_silence_timeout: Duration,
    /// When the exchange times out.
    pub(crate) deadline: Instant,
}

/// Finding of an overdue exchange that the connections to its address are silent.
#[derive(Clone, Copy)]
struct SilentMark {
    /// Connections that received nothing after this moment are silent.
    since: Instant,
    /// When the exchange started. Data on connections that were opened later does not disprove the finding.
    exchange_started_at: Instant,
}

/// Response times and silent connections of one address.
pub(crate) struct Silence {
    /// Open connections.
    connections: Mutex<Vec<Weak<ConnectionActivity>>>,
    /// Recent maximum response time; decays with each faster answer.
    recent_max_response_time: Mutex<Duration>,
    /// The latest finding of silent connections.
    silent: watch::Sender<Option<SilentMark>>,
}

impl Silence {
    pub(crate) fn new() -> Self {
        Self {
            connections: Mutex::default(),
            recent_max_response_time: Mutex::default(),
            silent: watch::Sender::new(None),
        }
    }

    /// Registers a connection that was opened now.
    pub(crate) fn register_connection(&self) -> Arc<ConnectionActivity> {
        let now = Instant::now();
        let activity = Arc::new(ConnectionActivity {
            opened_at: now,
            last_received: Mutex::new(now),
        });
        let mut connections = lock(&self.connections);
        connections.retain(|activity| activity.strong_count() > 0);
        connections.push(Arc::downgrade(&activity));
        activity
    }

    /// Records the response time of an exchange that was answered, or that timed out over a new connection.
    pub(crate) fn record_response_time(&self, exchange: &PendingExchange) {
        let now = Instant::now();
        if now < exchange.answer_due_from {
            return;
        }
        let response_time = now - exchange.answer_due_from;
        let mut recent_max_response_time = lock(&self.recent_max_response_time);
        *recent_max_response_time = recent_max_response_time
            .mul_f64(MAX_RESPONSE_TIME_DECAY)
            .max(response_time);
    }

    /// Waits until no connection has received anything for the silence timeout of an exchange, and returns since when.
    pub(crate) async fn wait_until_overdue(&self, exchange: &PendingExchange) -> Instant {
        loop {
            let due = self.quiet_since(exchange) + self.silence_timeout(exchange);
            havenstage_clock::sleep_until(due).await;
            tokio::time::sleep(READ_GRACE).await;
            let quiet_since = self.quiet_since(exchange);
            if quiet_since + self.silence_timeout(exchange) <= Instant::now() {
                return quiet_since;
            }
        }
    }

    /// Waits until another exchange has marked the connection of this one as silent. That exchange may have a shorter
    /// silence timeout and may have taken a slow answer for silence. So this exchange still waits for its own minimum
    /// silence timeout, and then checks whether the mark still holds.
    pub(crate) async fn wait_until_marked_silent(&self, exchange: &PendingExchange) {
        let mut silent = self.silent.subscribe();
        // The sender of this channel lives as long as the link.
        while silent.changed().await.is_ok() {
            if !self.is_marked_silent(exchange) {
                continue;
            }
            havenstage_clock::sleep_until(exchange.started_at + exchange.min_silence_timeout).await;
            tokio::time::sleep(READ_GRACE).await;
            if self.is_marked_silent(exchange) {
                return;
            }
        }
    }

    /// Whether the connection of an exchange is marked as silent and the mark is not disproved.
    pub(crate) fn is_marked_silent(&self, exchange: &PendingExchange) -> bool {
        let mark = *self.silent.borrow();
        mark.is_some_and(|mark| {
            exchange.activity.last_received() <= mark.since && !self.is_disproved(mark)
        })
    }

    /// Whether a connection that was marked as silent has received something since.
    fn is_disproved(&self, mark: SilentMark) -> bool {
        let connections = lock(&self.connections);
        let mut marked_connections = connections
            .iter()
            .filter_map(Weak::upgrade)
            .filter(|activity| activity.opened_at <= mark.exchange_started_at);
        marked_connections.any(|activity| activity.last_received() > mark.since)
    }

    /// Marks the connections that received nothing after `since` as silent, as `exchange` has found.
    pub(crate) fn mark_silent(&self, since: Instant, exchange: &PendingExchange) {
        let exchange_started_at = exchange.started_at;
        self.silent.send_replace(Some(SilentMark {
            since,
            exchange_started_at,
        }));
    }

    /// When any of the connections that were open at the start of an exchange last received something, but not before
    /// the answer was due.
    fn quiet_since(&self, exchange: &PendingExchange) -> Instant {
        let connections = lock(&self.connections);
        let open_at_start = connections
            .iter()
            .filter_map(Weak::upgrade)
            .filter(|activity| activity.opened_at <= exchange.started_at);
        let last_received = open_at_start.map(|activity| activity.last_received()).max();
        last_received.map_or(exchange.answer_due_from, |last_received| {
            last_received.max(exchange.answer_due_from)
        })
    }

    /// Time without data after which the connection of an exchange counts as silent: at max half of the exchange's
    /// timeout, so that time is left for another connection, or all of it if recent answers took half of it or more.
    fn silence_timeout(&self, exchange: &PendingExchange) -> Duration {
        let recent_max_response_time = *lock(&self.recent_max_response_time);
        let time_allowed = exchange
            .deadline
            .saturating_duration_since(exchange.answer_due_from);
        let max_timeout = time_allowed / 2;
        if recent_max_response_time >= max_timeout {
            return time_allowed;
        }
        (recent_max_response_time * SILENCE_TIMEOUT_FACTOR)
            .max(exchange.min_silence_timeout)
            .min(max_timeout)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
