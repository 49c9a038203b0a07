//! The connection pool of one address, and the sending of requests over it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use http::Request;
use http_body_util::Full;
use log::warn;

use crate::answer::Answer;
use crate::connection::{Connection, ExchangeError};
use crate::error::LinkError;
use crate::probe::{self, Probe};
use crate::send_options::SendOptions;
use crate::silence::{PendingExchange, Silence};

/// Limits of a [`Link`].
#[derive(Debug, Clone, Copy)]
pub struct LinkSettings {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Idle time after which a connection is not reused. A shorter idle timeout that the server announces takes
    /// precedence.
    pub keep_idle: Duration,
    /// Maximum number of idle connections; the one that has been idle longest is closed first.
    pub max_idle_connections: usize,
}

/// Counters of a link since its creation.
#[derive(Debug, Default)]
pub struct LinkTraffic {
    /// Attempts to open a connection for a request.
    pub opened: AtomicU64,
    /// Requests handed to a connection to be written.
    pub requests: AtomicU64,
}

/// Pool of persistent connections to one address. Clones share the pool.
#[derive(Clone)]
pub struct Link {
    shared: Arc<Shared>,
}

pub(crate) struct Shared {
    address: SocketAddr,
    settings: LinkSettings,
    idle: Mutex<Vec<Connection>>,
    traffic: LinkTraffic,
    silence: Silence,
}

/// Outcome of one attempt to send a request.
enum SendOutcome {
    Answered(Answer),
    Failed(LinkError),
    /// Nothing was written, because the reused connection was already closed. Holds the request.
    NotWritten(Request<Full<Bytes>>),
}

impl Link {
    /// Creates a link without connections; the first request opens one.
    pub fn new(address: SocketAddr, settings: LinkSettings) -> Self {
        let shared = Shared {
            address,
            settings,
            idle: Mutex::new(Vec::new()),
            traffic: LinkTraffic::default(),
            silence: Silence::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Address that the connections are opened to.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Counters of opened connections and written requests.
    pub fn traffic(&self) -> &LinkTraffic {
        &self.shared.traffic
    }

    /// Sends a request and waits up to `timeout` for the head of the answer. If an idle connection turns out to be
    /// closed before anything was written, the request is sent over another one.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, LinkError> {
        self.send_as(request, SendOptions::within(timeout)).await
    }

    /// Like [`Link::send`], but writes nothing after `write_by`, for instance because the process was paused or the
    /// connection was slow to open. Returns [`LinkError::TooLate`] then.
    pub async fn send_by(
        &self,
        request: Request<Full<Bytes>>,
        write_by: Instant,
        timeout: Duration,
    ) -> Result<Answer, LinkError> {
        let sending = SendOptions::within(timeout).write_deadline(write_by);
        self.send_as(request, sending).await
    }

    /// Like [`Link::send`], with all options.
    pub async fn send_as(
        &self,
        mut request: Request<Full<Bytes>>,
        sending: SendOptions,
    ) -> Result<Answer, LinkError> {
        let deadline = Instant::now() + sending.timeout;
        loop {
            let reused = self.shared.take_idle(sending.active_since);
            match self.send_once(request, reused, &sending, deadline).await {
                SendOutcome::Answered(answer) => return Ok(answer),
                SendOutcome::Failed(error) => return Err(error),
                SendOutcome::NotWritten(unsent) => request = unsent,
            }
        }
    }

    async fn send_once(
        &self,
        request: Request<Full<Bytes>>,
        reused: Option<Connection>,
        sending: &SendOptions,
        deadline: Instant,
    ) -> SendOutcome {
        let is_reused = reused.is_some();
        let mut connection = match reused {
            Some(connection) => connection,
            None => match self.open(deadline).await {
                Ok(connection) => connection,
                Err(error) => return SendOutcome::Failed(error),
            },
        };
        let started_at = Instant::now();
        if sending
            .write_by
            .is_some_and(|write_by| started_at > write_by)
        {
            return SendOutcome::Failed(LinkError::TooLate);
        }
        self.shared.traffic.requests.fetch_add(1, Ordering::Relaxed);
        let exchange = PendingExchange {
            activity: connection.activity.clone(),
            started_at,
            answer_due_from: started_at + sending.answer_delay,
            min_silence_timeout: sending.min_silence_timeout,
            deadline,
        };
        let head = connection.exchange(request);
        let silent = self.wait_until_silent(&exchange, is_reused, sending.aborts_when_silent);
        tokio::select! {
            biased;
            head = head => match head {
                Ok(response) => {
                    connection.activity.record_activity();
                    self.shared.silence.record_response_time(&exchange);
                    SendOutcome::Answered(Answer::new(response, connection, self.shared.clone()))
                }
                Err(ExchangeError::NotWritten(unsent)) if is_reused => SendOutcome::NotWritten(*unsent),
                Err(ExchangeError::NotWritten(_)) => SendOutcome::Failed(LinkError::NotSent),
                Err(ExchangeError::Broken) => SendOutcome::Failed(LinkError::Broken),
            },
            () = silent => SendOutcome::Failed(LinkError::Silent),
            () = havenstage_clock::sleep_until(deadline) => {
                if !is_reused {
                    self.shared.silence.record_response_time(&exchange);
                }
                SendOutcome::Failed(LinkError::TimedOut)
            }
        }
    }

    /// Waits until the connection of an exchange is found silent. Never returns if `may_abort` is false; a silent
    /// connection is then still detected and reported to the other exchanges.
    async fn wait_until_silent(
        &self,
        exchange: &PendingExchange,
        is_reused: bool,
        may_abort: bool,
    ) {
        let silence = &self.shared.silence;
        let overdue = async {
            // A new connection has received nothing before, so a slow answer can't be told from silence.
            if !is_reused {
                std::future::pending::<()>().await;
            }
            let since = silence.wait_until_overdue(exchange).await;
            self.shared.close_silent_connections(since, exchange);
        };
        let marked_silent = silence.wait_until_marked_silent(exchange);
        tokio::select! {
            () = overdue => {}
            () = marked_silent => {}
        }
        if !may_abort {
            std::future::pending::<()>().await;
        }
    }

    /// Opens a connection to check whether the process at the address is alive; nothing is sent over it.
    pub async fn probe(&self, timeout: Duration) -> Probe {
        probe::connect(self.shared.address, timeout).await
    }

    /// Whether there is an idle connection that can be reused.
    pub fn has_idle(&self) -> bool {
        self.shared.lock_idle().iter().any(Connection::is_usable)
    }

    async fn open(&self, deadline: Instant) -> Result<Connection, LinkError> {
        let settings = &self.shared.settings;
        let left = deadline.saturating_duration_since(Instant::now());
        let timeout = settings.connect_timeout.min(left);
        self.shared.traffic.opened.fetch_add(1, Ordering::Relaxed);
        let register = || self.shared.silence.register_connection();
        Connection::open(self.shared.address, timeout, settings.keep_idle, register).await
    }
}

impl Shared {
    /// Takes the usable connection that became idle last from the pool, if it received something at or after
    /// `active_since`.
    fn take_idle(&self, active_since: Option<Instant>) -> Option<Connection> {
        let mut idle = self.lock_idle();
        while let Some(connection) = idle.pop() {
            if !connection.is_usable() {
                continue;
            }
            if active_since.is_none_or(|since| connection.activity.last_received() >= since) {
                return Some(connection);
            }
            idle.push(connection);
            return None;
        }
        None
    }

    /// Marks the connections that received nothing after `since` as silent and closes the idle ones among them: they
    /// have probably fallen silent for the same reason, and each of them would make another exchange time out.
    fn close_silent_connections(&self, since: Instant, exchange: &PendingExchange) {
        if self.silence.is_marked_silent(exchange) {
            return;
        }
        self.silence.mark_silent(since, exchange);
        let closed = {
            let mut idle = self.lock_idle();
            let before = idle.len();
            idle.retain(|connection| connection.activity.last_received() > since);
            before - idle.len()
        };
        warn!(event = "connections_silent", peer = self.address.to_string().as_str(),
            closed = closed, quiet_ms = since.elapsed().as_millis() as u64; "");
    }

    pub(crate) fn return_idle(
        &self,
        mut connection: Connection,
        announced_idle_timeout: Option<Duration>,
    ) {
        connection.idle_since = Instant::now();
        connection.idle_timeout = match announced_idle_timeout {
            Some(announced) => announced.min(self.settings.keep_idle),
            None => self.settings.keep_idle,
        };
        let mut idle = self.lock_idle();
        idle.retain(|other| other.idle_since.elapsed() < other.idle_timeout);
        idle.push(connection);
        // The connection that has been idle longest is the most likely to be dead.
        if idle.len() > self.settings.max_idle_connections {
            idle.remove(0);
        }
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
