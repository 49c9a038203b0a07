//! Tells connections that fell silent from answers that only take long.
//!
//! A cause on the way silences all connections to an address at once and shows in nothing but missing
//! answers. An answer that only takes long shows too: others come meanwhile. So an exchange over a kept
//! connection counts as silenced if it had no answer for longer than answers take here, and nothing came
//! meanwhile over any connection that was open when it began.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use havenstage_clock::Instant;
use tokio::sync::watch;

/// Patience with an address that answers quickly: some sixty times the answer time of a server
/// that takes 4 ms, and short enough that a request is sent again within a second.
pub(crate) const LEAST_PATIENCE: Duration = Duration::from_millis(250);
/// Patience as a multiple of the longest answer lately.
const PATIENCE_FACTOR: u32 = 2;
/// Share of the longest answer lately that is kept with each quicker one.
const LONGEST_KEPT_SHARE: f64 = 0.9;
/// Time for what has arrived to be read, where this process itself stood still.
const READING_GRACE: Duration = Duration::from_millis(20);

/// When a connection was opened and last heard from.
pub(crate) struct ConnectionActivity {
    opened: Instant,
    heard: Mutex<Instant>,
}

impl ConnectionActivity {
    /// Something came over the connection.
    pub(crate) fn hear(&self) {
        *lock(&self.heard) = Instant::now();
    }

    /// When something last came over it; at first when it was opened.
    pub(crate) fn heard(&self) -> Instant {
        *lock(&self.heard)
    }
}

/// An exchange whose answer is awaited.
pub(crate) struct Awaited {
    /// Its connection.
    pub(crate) activity: Arc<ConnectionActivity>,
    /// When it began.
    pub(crate) began: Instant,
    /// From when on an answer is expected.
    pub(crate) due_from: Instant,
    /// Patience with it at least.
    pub(crate) least_patience: Duration,
    /// When it is given up.
    pub(crate) deadline: Instant,
}

/// What an exchange shows of the connections to its address.
#[derive(Clone, Copy)]
struct SilentMark {
    /// Connections that were not heard from after this are silent.
    since: Instant,
    /// When the exchange began: connections opened later show nothing of those that were open then.
    began: Instant,
}

/// What is known of an address.
pub(crate) struct Silence {
    /// Connections that are open.
    connections: Mutex<Vec<Weak<ConnectionActivity>>>,
    /// The longest answer time lately.
    longest_lately: Mutex<Duration>,
    /// Which connections are silent.
    silent: watch::Sender<Option<SilentMark>>,
}

impl Silence {
    pub(crate) fn new() -> Self {
        Self {
            connections: Mutex::default(),
            longest_lately: Mutex::default(),
            silent: watch::Sender::new(None),
        }
    }

    /// A connection was opened.
    pub(crate) fn opened(&self) -> Arc<ConnectionActivity> {
        let now = Instant::now();
        let activity = Arc::new(ConnectionActivity {
            opened: now,
            heard: Mutex::new(now),
        });
        let mut connections = lock(&self.connections);
        connections.retain(|activity| activity.strong_count() > 0);
        connections.push(Arc::downgrade(&activity));
        activity
    }

    /// An answer came, or an exchange over a new connection had none in its time.
    pub(crate) fn note_answer_time(&self, awaited: &Awaited) {
        let now = Instant::now();
        if now < awaited.due_from {
            return;
        }
        let answer_time = now - awaited.due_from;
        let mut longest_lately = lock(&self.longest_lately);
        *longest_lately = longest_lately.mul_f64(LONGEST_KEPT_SHARE).max(answer_time);
    }

    /// Waits until an exchange is silent without another's word for it, and answers since when nothing
    /// has come.
    pub(crate) async fn until_overdue(&self, awaited: &Awaited) -> Instant {
        loop {
            let due = self.quiet_since(awaited) + self.patience(awaited);
            havenstage_clock::sleep_until(due).await;
            tokio::time::sleep(READING_GRACE).await;
            let quiet_since = self.quiet_since(awaited);
            if quiet_since + self.patience(awaited) <= Instant::now() {
                return quiet_since;
            }
        }
    }

    /// Waits until another exchange shows that this one's connection is silent. That exchange may have
    /// been less patient, so that it took a slow answer for silence: this one waits as long as its sender
    /// wants all the same, and looks again whether that was so.
    pub(crate) async fn until_marked_silent(&self, awaited: &Awaited) {
        let mut silent = self.silent.subscribe();
        // The sender lives as long as the link.
        while silent.changed().await.is_ok() {
            if !self.is_marked_silent(awaited) {
                continue;
            }
            havenstage_clock::sleep_until(awaited.began + awaited.least_patience).await;
            tokio::time::sleep(READING_GRACE).await;
            if self.is_marked_silent(awaited) {
                return;
            }
        }
    }

    /// Whether the connection of an exchange is marked silent.
    pub(crate) fn is_marked_silent(&self, awaited: &Awaited) -> bool {
        let mark = *self.silent.borrow();
        mark.is_some_and(|mark| awaited.activity.heard() <= mark.since && !self.is_disproved(mark))
    }

    /// Whether a connection that was marked silent has been heard from after all.
    fn is_disproved(&self, mark: SilentMark) -> bool {
        let connections = lock(&self.connections);
        let mut marked_silent = connections
            .iter()
            .filter_map(Weak::upgrade)
            .filter(|activity| activity.opened <= mark.began);
        marked_silent.any(|activity| activity.heard() > mark.since)
    }

    /// Marks the connections that were not heard from after `since` as silent, as an exchange shows.
    pub(crate) fn mark_silent(&self, since: Instant, shown_by: &Awaited) {
        let began = shown_by.began;
        self.silent.send_replace(Some(SilentMark { since, began }));
    }

    fn quiet_since(&self, awaited: &Awaited) -> Instant {
        let connections = lock(&self.connections);
        let older = connections
            .iter()
            .filter_map(Weak::upgrade)
            .filter(|activity| activity.opened <= awaited.began);
        let heard = older.map(|activity| activity.heard()).max();
        heard.map_or(awaited.due_from, |heard| heard.max(awaited.due_from))
    }

    /// At most half of the time that the exchange has, so that the rest is left for another connection;
    /// all of it where answers take that long.
    fn patience(&self, awaited: &Awaited) -> Duration {
        let longest_lately = *lock(&self.longest_lately);
        let whole = awaited.deadline.saturating_duration_since(awaited.due_from);
        let most = whole / 2;
        if longest_lately >= most {
            return whole;
        }
        (longest_lately * PATIENCE_FACTOR)
            .max(awaited.least_patience)
            .min(most)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
