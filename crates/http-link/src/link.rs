//! The connections kept to one address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use http::Request;
use http_body_util::Full;
use log::warn;
use tokio::net::TcpStream;

use crate::answer::Answer;
use crate::connection::Connection;
use crate::error::LinkError;
use crate::probe::{OpenProbe, Probe};
use crate::send_options::SendOptions;
use crate::silence::{Awaited, Silence};

/// Limits of a [`Link`].
#[derive(Debug, Clone, Copy)]
pub struct LinkSettings {
    /// Longest time for a connection to come up.
    pub connect_timeout: Duration,
    /// Longest time a connection rests before it is not used again.
    pub keep_idle: Duration,
    /// Most resting connections.
    pub max_idle_connections: usize,
}

/// What a link has done since it was made.
#[derive(Debug, Default)]
pub struct LinkTraffic {
    /// Connections opened.
    pub opened: AtomicU64,
    /// Requests written.
    pub requests: AtomicU64,
}

/// Kept connections to one address.
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

/// How one send ended.
enum Sent {
    Answered(Answer),
    Failed(LinkError),
    /// Nothing was written, as the kept connection was closed.
    NotWritten(Request<Full<Bytes>>),
}

impl Link {
    /// A link without connections yet.
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

    /// Where it leads.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// What it has done.
    pub fn traffic(&self) -> &LinkTraffic {
        &self.shared.traffic
    }

    /// Sends a request and waits for the head of the answer. A kept connection that turns out to
    /// be closed before anything was written is replaced by a new one.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, LinkError> {
        self.send_as(request, SendOptions::within(timeout)).await
    }

    /// The same, where nothing of the request may be written after `write_by`: the process may have
    /// stood still, or the connection may have been long in coming up.
    pub async fn send_by(
        &self,
        request: Request<Full<Bytes>>,
        write_by: Instant,
        timeout: Duration,
    ) -> Result<Answer, LinkError> {
        let sending = SendOptions::within(timeout).write_deadline(write_by);
        self.send_as(request, sending).await
    }

    /// The same, with all that its sender says of the request.
    pub async fn send_as(
        &self,
        mut request: Request<Full<Bytes>>,
        sending: SendOptions,
    ) -> Result<Answer, LinkError> {
        let deadline = Instant::now() + sending.timeout;
        loop {
            let kept = self.shared.take_idle(sending.heard_since);
            match self.send_once(request, kept, &sending, deadline).await {
                Sent::Answered(answer) => return Ok(answer),
                Sent::Failed(error) => return Err(error),
                Sent::NotWritten(unsent) => request = unsent,
            }
        }
    }

    async fn send_once(
        &self,
        request: Request<Full<Bytes>>,
        kept: Option<Connection>,
        sending: &SendOptions,
        deadline: Instant,
    ) -> Sent {
        let is_kept = kept.is_some();
        let mut connection = match kept {
            Some(connection) => connection,
            None => match self.open(deadline).await {
                Ok(connection) => connection,
                Err(error) => return Sent::Failed(error),
            },
        };
        let began = Instant::now();
        if sending.write_by.is_some_and(|write_by| began > write_by) {
            return Sent::Failed(LinkError::TooLate);
        }
        self.shared.traffic.requests.fetch_add(1, Ordering::Relaxed);
        let awaited = Awaited {
            activity: connection.activity.clone(),
            began,
            due_from: began + sending.answer_after,
            least_patience: sending.least_patience,
            deadline,
        };
        let head = connection.sender.try_send_request(request);
        let silent = self.until_silent(&awaited, is_kept, sending.ends_when_silent);
        tokio::select! {
            biased;
            head = head => match head {
                Ok(response) => {
                    connection.activity.hear();
                    self.shared.silence.note_answer_time(&awaited);
                    Sent::Answered(Answer::new(response, connection, self.shared.clone()))
                }
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) if is_kept => Sent::NotWritten(unsent),
                    Some(_) => Sent::Failed(LinkError::NotSent),
                    None => Sent::Failed(LinkError::Broken),
                },
            },
            () = silent => Sent::Failed(LinkError::Silent),
            () = havenstage_clock::sleep_until(deadline) => {
                if !is_kept {
                    self.shared.silence.note_answer_time(&awaited);
                }
                Sent::Failed(LinkError::TimedOut)
            }
        }
    }

    /// Ends when an exchange is to be given up because its connection fell silent; never for one whose
    /// sender waits for the answer all the same.
    async fn until_silent(&self, awaited: &Awaited, is_kept: bool, may_end: bool) {
        let silence = &self.shared.silence;
        let overdue = async {
            // Of a new connection nothing is known that a slow answer could be compared with.
            if !is_kept {
                std::future::pending::<()>().await;
            }
            let since = silence.until_overdue(awaited).await;
            self.shared.close_resting(since, awaited);
        };
        let until_marked_silent = silence.until_marked_silent(awaited);
        tokio::select! {
            () = overdue => {}
            () = until_marked_silent => {}
        }
        if !may_end {
            std::future::pending::<()>().await;
        }
    }

    /// Opens a connection to tell what becomes of the process at the address; nothing is sent over it.
    pub async fn probe(&self, timeout: Duration) -> Probe {
        let connect = TcpStream::connect(self.shared.address);
        match tokio::time::timeout(timeout, connect).await {
            Ok(Ok(stream)) => Probe::Open(OpenProbe(stream)),
            Ok(Err(error)) => match error.kind() {
                ErrorKind::ConnectionRefused => Probe::Refused,
                // Its listener closed with this connection in its queue, or it takes no more.
                ErrorKind::ConnectionReset => Probe::Reset,
                _ => Probe::Unknown,
            },
            Err(_) => Probe::Unknown,
        }
    }

    /// Whether a resting connection may be used.
    pub fn has_idle(&self) -> bool {
        self.shared.lock_idle().iter().any(Connection::is_usable)
    }

    async fn open(&self, deadline: Instant) -> Result<Connection, LinkError> {
        let settings = &self.shared.settings;
        let left = deadline.saturating_duration_since(Instant::now());
        let timeout = settings.connect_timeout.min(left);
        self.shared.traffic.opened.fetch_add(1, Ordering::Relaxed);
        let opened = || self.shared.silence.opened();
        Connection::open(self.shared.address, timeout, settings.keep_idle, opened).await
    }
}

impl Shared {
    /// The connection that was used last, if it was heard from since a moment.
    fn take_idle(&self, heard_since: Option<Instant>) -> Option<Connection> {
        let mut idle = self.lock_idle();
        while let Some(connection) = idle.pop() {
            if !connection.is_usable() {
                continue;
            }
            if heard_since.is_none_or(|since| connection.activity.heard() >= since) {
                return Some(connection);
            }
            idle.push(connection);
            return None;
        }
        None
    }

    /// Marks the connections that were not heard from after `since` as silent and closes the resting ones
    /// of them: what silenced the one of this exchange has silenced them too, and each would cost another
    /// exchange its time.
    fn close_resting(&self, since: Instant, awaited: &Awaited) {
        if self.silence.is_marked_silent(awaited) {
            return;
        }
        self.silence.mark_silent(since, awaited);
        let closed = {
            let mut idle = self.lock_idle();
            let before = idle.len();
            idle.retain(|kept| kept.activity.heard() > since);
            before - idle.len()
        };
        warn!(event = "connections_silent", peer = self.address.to_string().as_str(),
            closed = closed, quiet_ms = since.elapsed().as_millis() as u64; "");
    }

    pub(crate) fn give_back(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        connection.idle_since = Instant::now();
        connection.keep_for = match keep_alive {
            Some(told) => told.min(self.settings.keep_idle),
            None => self.settings.keep_idle,
        };
        let mut idle = self.lock_idle();
        idle.retain(|kept| kept.idle_since.elapsed() < kept.keep_for);
        idle.push(connection);
        // The one that has rested longest is the least certain to work.
        if idle.len() > self.settings.max_idle_connections {
            idle.remove(0);
        }
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
