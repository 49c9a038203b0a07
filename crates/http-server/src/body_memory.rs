//! The memory that the request bodies of a server hold together.
//!
//! A body counts from its first byte until nobody refers to it any more, also while it waits for a back end. If there is no
//! room for more, incomplete bodies of clients that have paused, or that send slowly, give way, the oldest first; then those
//! that began later than the one that needs the room, the youngest first. So the oldest that makes progress is completed,
//! while if all gave way to each other, none would be. Large bodies leave a part of the memory to small ones and never
//! displace them, so that ordinary requests are served beside a crowd of large ones.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use thiserror::Error;
use tokio::sync::Notify;

use crate::body_buffer::BodyBuffer;

/// Bodies up to this size count as small.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Time without a byte after which an incomplete body may be displaced.
const MAX_PAUSE: Duration = Duration::from_millis(250);
/// Age from which an incomplete body may be displaced if its bytes arrive more slowly than at [`MIN_BYTES_PER_S`].
const MIN_AGE: Duration = Duration::from_secs(2);
/// Average rate below which a body is sent slowly.
const MIN_BYTES_PER_S: f64 = 256.0 * 1024.0;
/// One part in so many is left to small bodies.
const SMALL_PART: usize = 8;

/// The memory is taken by other bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("request bodies hold {held_bytes} bytes, which leaves no room for more")]
pub struct NoRoom {
    /// Bytes that all bodies hold.
    pub held_bytes: usize,
}

/// Why bytes were not added to a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendError {
    /// There is no room for them.
    NoRoom,
    /// The body has given way to another one.
    Displaced,
}

/// Bounds the memory of all request bodies that a server holds.
#[derive(Debug)]
pub struct BodyMemory {
    max_bytes: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    held_bytes: usize,
    last_number: u64,
    /// The bodies that are being received, by number; numbers rise in the order in which bodies began.
    incoming: BTreeMap<u64, Incoming>,
}

#[derive(Debug)]
struct Incoming {
    buffer: BodyBuffer,
    began_at: Instant,
    last_byte_at: Instant,
    displaced: Arc<Notify>,
}

impl Incoming {
    fn is_large(&self) -> bool {
        self.buffer.len() > SMALL_BODY_BYTES
    }

    /// Whether its client has paused or sends slowly.
    fn is_slow(&self) -> bool {
        let age = self.began_at.elapsed();
        let bytes_per_s = self.buffer.len() as f64 / age.as_secs_f64();
        self.last_byte_at.elapsed() >= MAX_PAUSE
            || (age >= MIN_AGE && bytes_per_s < MIN_BYTES_PER_S)
    }
}

impl BodyMemory {
    /// Creates the bound; all bodies together hold at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            max_bytes,
            inner: Mutex::default(),
        })
    }

    /// Bytes that all bodies hold now.
    pub fn held_bytes(&self) -> usize {
        self.lock().held_bytes
    }

    /// Size of the largest body that can be held while there are no others.
    pub fn largest_body_bytes(&self) -> usize {
        self.max_bytes - self.max_bytes / SMALL_PART
    }

    /// Counts memory that is made from a body, such as its decoded form, until the share is dropped.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if other bodies hold too much.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Result<BodyShare, NoRoom> {
        let mut inner = self.lock();
        let limit = self.limit(bytes);
        let purpose = Purpose {
            body: None,
            is_large: bytes > SMALL_BODY_BYTES,
        };
        if !inner.make_room(bytes, limit, purpose) {
            return Err(NoRoom {
                held_bytes: inner.held_bytes,
            });
        }
        inner.held_bytes += bytes;
        drop(inner);
        Ok(BodyShare {
            memory: self.clone(),
            bytes,
        })
    }

    /// What all bodies may hold together if one of this size is to grow.
    fn limit(&self, body_bytes: usize) -> usize {
        match body_bytes > SMALL_BODY_BYTES {
            true => self.largest_body_bytes(),
            false => self.max_bytes,
        }
    }

    pub(crate) fn begin(self: &Arc<Self>) -> IncomingBody {
        let displaced = Arc::new(Notify::new());
        let mut inner = self.lock();
        inner.last_number += 1;
        let number = inner.last_number;
        let body = Incoming {
            buffer: BodyBuffer::new(),
            began_at: Instant::now(),
            last_byte_at: Instant::now(),
            displaced: displaced.clone(),
        };
        inner.incoming.insert(number, body);
        IncomingBody {
            memory: self.clone(),
            number,
            displaced,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What room is needed for.
#[derive(Debug, Clone, Copy)]
struct Purpose {
    /// Number of the incomplete body that grows; `None` for what is made from a whole one, which counts as older.
    body: Option<u64>,
    /// Whether that is large.
    is_large: bool,
}

impl Inner {
    /// Makes room for `more` bytes below `limit`, at the expense of other incomplete bodies. Returns whether there is room.
    fn make_room(&mut self, more: usize, limit: usize, purpose: Purpose) -> bool {
        while self.held_bytes + more > limit {
            let Some(number) = self.next_to_displace(purpose) else {
                return false;
            };
            if let Some(body) = self.remove(number) {
                body.displaced.notify_one();
            }
        }
        true
    }

    fn next_to_displace(&self, purpose: Purpose) -> Option<u64> {
        let others = || {
            let bodies = self.incoming.iter();
            bodies.filter(|(number, _)| purpose.body != Some(**number))
        };
        let large = || others().filter(|(_, body)| body.is_large());
        let slow_large = || large().find(|(_, body)| body.is_slow());
        let slow_small = || {
            let slow = others().find(|(_, body)| body.buffer.len() > 0 && body.is_slow());
            slow.filter(|_| !purpose.is_large)
        };
        let youngest_large = || {
            let youngest = large().next_back();
            youngest.filter(|(number, _)| !purpose.is_large || purpose.body < Some(**number))
        };
        let chosen = slow_large().or_else(slow_small).or_else(youngest_large);
        chosen.map(|(number, _)| *number)
    }

    fn remove(&mut self, number: u64) -> Option<Incoming> {
        let body = self.incoming.remove(&number)?;
        self.held_bytes -= body.buffer.len();
        Some(body)
    }
}

/// Memory that counts until this is dropped.
#[derive(Debug)]
pub struct BodyShare {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.memory.lock().held_bytes -= self.bytes;
    }
}

/// A body that is being received. Dropping it gives its memory back.
#[derive(Debug)]
pub(crate) struct IncomingBody {
    memory: Arc<BodyMemory>,
    number: u64,
    displaced: Arc<Notify>,
}

impl IncomingBody {
    /// Waits until the body has given way to another one.
    pub(crate) async fn displaced(&self) {
        self.displaced.notified().await;
    }

    /// Adds bytes; see [`BodyBuffer::append`].
    pub(crate) fn append(
        &self,
        bytes: &[u8],
        expected: Option<usize>,
        max: usize,
    ) -> Result<(), AppendError> {
        let mut inner = self.memory.lock();
        let Some(body) = inner.incoming.get(&self.number) else {
            return Err(AppendError::Displaced);
        };
        let length = body.buffer.len() + bytes.len();
        let limit = self.memory.limit(length);
        let purpose = Purpose {
            body: Some(self.number),
            is_large: length > SMALL_BODY_BYTES,
        };
        if !inner.make_room(bytes.len(), limit, purpose) {
            return Err(AppendError::NoRoom);
        }
        let Some(body) = inner.incoming.get_mut(&self.number) else {
            return Err(AppendError::Displaced);
        };
        let appended = body.buffer.append(bytes, expected, max);
        appended.map_err(|_| AppendError::NoRoom)?;
        body.last_byte_at = Instant::now();
        inner.held_bytes += bytes.len();
        Ok(())
    }

    /// The whole body; its memory counts until the last reference to it is dropped.
    pub(crate) fn finish(self) -> Result<Bytes, AppendError> {
        let Some(body) = self.memory.lock().incoming.remove(&self.number) else {
            return Err(AppendError::Displaced);
        };
        let share = BodyShare {
            memory: self.memory.clone(),
            bytes: body.buffer.len(),
        };
        Ok(Bytes::from_owner(HeldBody {
            buffer: body.buffer,
            _share: share,
        }))
    }
}

impl Drop for IncomingBody {
    fn drop(&mut self) {
        self.memory.lock().remove(self.number);
    }
}

/// A whole body with its share of the memory.
struct HeldBody {
    // Freed before the share is given back.
    buffer: BodyBuffer,
    _share: BodyShare,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        self.buffer.as_ref()
    }
}
