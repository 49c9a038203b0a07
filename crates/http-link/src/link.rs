//! The connections kept to one address.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::time::Instant;

use crate::answer::Answer;
use crate::connection::Connection;
use crate::error::LinkError;

/// Limits of a [`Link`].
#[derive(Debug, Clone, Copy)]
pub struct LinkSettings {
    /// Longest time for a connection to come up.
    pub connect_timeout: Duration,
    /// Longest time a connection rests before it is not used again.
    pub keep_idle: Duration,
    /// Most resting connections.
    pub most_idle: usize,
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
}

impl Link {
    /// A link without connections yet.
    pub fn new(address: SocketAddr, settings: LinkSettings) -> Self {
        let shared = Shared {
            address,
            settings,
            idle: Mutex::new(Vec::new()),
            traffic: LinkTraffic::default(),
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
        let deadline = Instant::now() + timeout;
        self.send_by(request, deadline, timeout).await
    }

    /// The same, where nothing of the request may be written after `write_by`: the process may have
    /// stood still, or the connection may have been long in coming up.
    pub async fn send_by(
        &self,
        mut request: Request<Full<Bytes>>,
        write_by: Instant,
        timeout: Duration,
    ) -> Result<Answer, LinkError> {
        let deadline = Instant::now() + timeout;
        loop {
            let kept = self.shared.take_idle();
            let is_new = kept.is_none();
            let mut connection = match kept {
                Some(connection) => connection,
                None => self.open(deadline).await?,
            };
            if Instant::now() > write_by {
                return Err(LinkError::TooLate);
            }
            self.shared.traffic.requests.fetch_add(1, Ordering::Relaxed);
            let sent = connection.sender.try_send_request(request);
            match tokio::time::timeout_at(deadline, sent).await {
                Err(_) => return Err(LinkError::TimedOut),
                Ok(Ok(response)) => {
                    return Ok(Answer::new(response, connection, self.shared.clone()));
                }
                Ok(Err(mut failed)) => match failed.take_message() {
                    Some(unsent) if !is_new => request = unsent,
                    Some(_) => return Err(LinkError::NotSent),
                    None => return Err(LinkError::Broken),
                },
            }
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
        Connection::open(self.shared.address, timeout, settings.keep_idle).await
    }
}

impl Shared {
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.lock_idle();
        while let Some(connection) = idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    pub(crate) fn give_back(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        connection.idle_since = Instant::now();
        connection.keep_for = match keep_alive {
            Some(told) => told.min(self.settings.keep_idle),
            None => self.settings.keep_idle,
        };
        let mut idle = self.lock_idle();
        idle.retain(|kept| kept.idle_since.elapsed() < kept.keep_for);
        if idle.len() < self.settings.most_idle {
            idle.push(connection);
        }
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
