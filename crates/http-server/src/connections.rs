//! Bounds the number of connections of a listener.
//!
//! A client can open a connection and send nothing, or stop in the middle of a request. If a listener has as many
//! connections as it may have, the one whose client has sent nothing for the longest time is closed for a new one, so that
//! such clients cannot keep others out. A connection whose request is being answered is never closed for a new one.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use log::warn;
use metrics::counter;
use tokio::sync::Notify;

/// Time within which a displaced connection must be closed for a new one to be taken.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The connections of a listener.
#[derive(Debug)]
pub struct Connections {
    /// Name of the listener in logs and metrics.
    listener: &'static str,
    max: usize,
    inner: Mutex<Inner>,
    /// Notified when a connection is closed.
    closed: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    open: usize,
    last_number: u64,
    /// The connections that wait for their client, by number; numbers rise in the order in which the client last sent, or
    /// was sent, something.
    waiting: BTreeMap<u64, Arc<Notify>>,
}

impl Inner {
    fn begin_to_wait(&mut self, close: &Arc<Notify>) -> u64 {
        self.last_number += 1;
        self.waiting.insert(self.last_number, close.clone());
        self.last_number
    }
}

impl Connections {
    /// Creates the table of a listener that may have `max` connections; at least one.
    pub fn new(listener: &'static str, max: usize) -> Arc<Self> {
        Arc::new(Self {
            listener,
            max: max.max(1),
            inner: Mutex::default(),
            closed: Notify::new(),
        })
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.lock().open
    }

    /// Takes a new connection, which waits for its client. Closes the one that has waited the longest if there are too
    /// many, and returns `None` if none waits: the new connection must be closed then.
    pub async fn admit(self: &Arc<Self>) -> Option<ConnectionSlot> {
        if let Some(slot) = self.try_admit() {
            return Some(slot);
        }
        if !self.displace_longest_waiting() {
            self.record_closed("refused");
            return None;
        }
        self.record_closed("displaced");
        let admitted = async {
            loop {
                self.closed.notified().await;
                if let Some(slot) = self.try_admit() {
                    return slot;
                }
            }
        };
        tokio::time::timeout(CLOSE_TIMEOUT, admitted).await.ok()
    }

    fn try_admit(self: &Arc<Self>) -> Option<ConnectionSlot> {
        let mut inner = self.lock();
        if inner.open >= self.max {
            return None;
        }
        inner.open += 1;
        let close = Arc::new(Notify::new());
        let number = inner.begin_to_wait(&close);
        drop(inner);
        Some(ConnectionSlot {
            connections: self.clone(),
            close,
            state: Mutex::new(SlotState {
                waiting: Some(number),
                requests: 0,
            }),
        })
    }

    fn displace_longest_waiting(&self) -> bool {
        let displaced = self.lock().waiting.pop_first();
        let Some((_, close)) = displaced else {
            return false;
        };
        close.notify_one();
        true
    }

    fn record_closed(&self, reason: &'static str) {
        counter!("http_connections_closed_total", "listener" => self.listener, "reason" => reason)
            .increment(1);
        warn!(event = "connection_closed", listener = self.listener, reason = reason, open = self.max;
            "too many connections");
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection. Dropping it makes room for another one.
#[derive(Debug)]
pub struct ConnectionSlot {
    connections: Arc<Connections>,
    close: Arc<Notify>,
    state: Mutex<SlotState>,
}

#[derive(Debug)]
struct SlotState {
    /// Number under which the connection waits for its client; `None` while a request is answered.
    waiting: Option<u64>,
    /// Number of requests that are being answered.
    requests: usize,
}

impl ConnectionSlot {
    /// Notified when the connection must be closed; others may notify it too.
    pub fn close(&self) -> &Arc<Notify> {
        &self.close
    }

    /// Records that a part of a request's body has been received.
    pub fn record_progress(&self) {
        let mut state = self.lock();
        if let Some(number) = state.waiting {
            let mut inner = self.connections.lock();
            // A connection that is being closed stays out of the list.
            if inner.waiting.remove(&number).is_some() {
                state.waiting = Some(inner.begin_to_wait(&self.close));
            }
        }
    }

    /// Marks that a request has been received whole. The connection waits for its client again once the values returned for
    /// all its requests are dropped, which must be when their answers have been sent.
    pub fn begin_request(self: &Arc<Self>) -> RequestInProgress {
        let mut state = self.lock();
        state.requests += 1;
        if let Some(number) = state.waiting.take() {
            self.connections.lock().waiting.remove(&number);
        }
        drop(state);
        RequestInProgress(self.clone())
    }

    fn end_request(&self) {
        let mut state = self.lock();
        state.requests -= 1;
        if state.requests == 0 {
            state.waiting = Some(self.connections.lock().begin_to_wait(&self.close));
        }
    }

    fn lock(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let number = self.lock().waiting.take();
        let mut inner = self.connections.lock();
        if let Some(number) = number {
            inner.waiting.remove(&number);
        }
        inner.open -= 1;
        drop(inner);
        self.connections.closed.notify_one();
    }
}

/// A request that is being answered; its connection is not closed for a new one.
#[derive(Debug)]
pub struct RequestInProgress(Arc<ConnectionSlot>);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.0.end_request();
    }
}
