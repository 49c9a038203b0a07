//! Decides from which source a node keeps its list of back ends, in a fleet that is too large for every node to read the
//! whole directory.
//!
//! The directory and its digest report the same changes. Each change has an offset in the directory, and the writer of
//! the digest confirms up to which offset it has read it. A node compares these offsets, so that its list never
//! returns to an older state, and reads the changes of the directory itself when the digest is not confirmed in time.

use crate::Millis;

/// What a node knows of the digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DigestStatus {
    /// When the node last read a confirmation of the digest's writer; `None` if it read none since its start.
    pub confirmed_at: Option<Millis>,
    /// Offset of the first change of the directory that the digest may lack; `None` if the writer doesn't report it.
    pub directory_offset: Option<u64>,
    /// Whether no records of it are missing.
    pub is_complete: bool,
    /// Since when the digest has been readable without a gap; `None` if it is not readable now.
    pub readable_since: Option<Millis>,
}

/// Times after which a node turns from the digest to the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SourceLimits {
    /// Age of the digest's last confirmation after which a node reads the changes of the directory itself.
    pub max_digest_age_ms: Millis,
    /// Time without a confirmation after which a node lists the directory, if it can't read its changes. It differs by
    /// node, as a listing is far larger than the changes of a few seconds.
    pub listing_delay_ms: Millis,
}

/// What a node does next to keep its list of back ends up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Wait for the digest.
    FollowDigest,
    /// Read the directory's changes from an offset on.
    ReadChanges {
        /// Offset of the first change that the list may lack.
        from: u64,
    },
    /// List the directory, or the part of it that the node needs.
    ListDirectory,
}

/// How far a node's list of back ends has come, and the source that it follows.
#[derive(Debug, Clone)]
pub struct BackendSource {
    limits: SourceLimits,
    /// Offset of the first change of the directory that the list may lack; `None` if it is not known.
    list_offset: Option<u64>,
    /// Whether the changes from `list_offset` on may be read: as far as is known, they are kept and few.
    can_read_changes: bool,
    /// Offset from which the changes were last found dropped, or too many for all nodes to read.
    unreadable_from: Option<u64>,
    /// Since when the node has waited for the digest.
    waiting_since: Millis,
}

impl BackendSource {
    /// Creates the state of a node that begins to follow the digest now. `list_offset` is the offset up to which it has
    /// read the directory, if it has. It then waits for the digest, as a directory that has just become too large is
    /// likely to have many changes.
    pub fn new(limits: SourceLimits, list_offset: Option<u64>, now: Millis) -> Self {
        Self {
            limits,
            list_offset,
            can_read_changes: false,
            unreadable_from: None,
            waiting_since: now,
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: SourceLimits) {
        self.limits = limits;
    }

    /// Whether the digest may replace the list: it is complete and has come at least as far.
    pub fn may_apply(&self, digest: &DigestStatus, now: Millis) -> bool {
        if !digest.is_complete {
            return false;
        }
        match (self.list_offset, digest.directory_offset) {
            (None, _) => true,
            (Some(list), Some(digest)) => digest >= list,
            // A writer that doesn't report offsets listed the directory when its term began.
            (Some(_), None) => self.is_current(digest, now),
        }
    }

    /// Whether the list follows the digest now: it was confirmed in time and has come as far as the list.
    pub fn follows_digest(&self, digest: &DigestStatus, now: Millis) -> bool {
        self.is_current(digest, now) && self.may_apply(digest, now)
    }

    /// Chooses the next step.
    pub fn next_step(&self, digest: &DigestStatus, now: Millis) -> Step {
        if self.follows_digest(digest, now) {
            return Step::FollowDigest;
        }
        match self.list_offset {
            Some(from) if self.can_read_changes => Step::ReadChanges { from },
            _ if self.must_list(digest, now) => Step::ListDirectory,
            _ => Step::FollowDigest,
        }
    }

    /// Time until which the digest counts as up to date unless it is confirmed again.
    pub fn current_until(&self, digest: &DigestStatus) -> Option<Millis> {
        let confirmed_at = digest.confirmed_at?;
        Some(confirmed_at + self.limits.max_digest_age_ms)
    }

    /// Offset of the first change of the directory that the list may lack; `None` if it is not known.
    pub fn list_offset(&self) -> Option<u64> {
        self.list_offset
    }

    /// Records that the list was set to what the digest contains.
    pub fn record_digest_applied(&mut self, digest: &DigestStatus) {
        self.list_offset = digest.directory_offset;
        self.can_read_changes =
            self.list_offset.is_some() && self.list_offset != self.unreadable_from;
    }

    /// Records that the directory's changes before `next` were applied to the list.
    pub fn record_changes_read(&mut self, next: u64) {
        self.list_offset = Some(next);
    }

    /// Records that the list was replaced by a listing; later changes are read from `next` on.
    pub fn record_listed(&mut self, next: u64, now: Millis) {
        self.list_offset = Some(next);
        self.can_read_changes = true;
        self.waiting_since = now;
    }

    /// Records that the changes can't be read: they were dropped, or are too many for all nodes to read.
    pub fn record_changes_unreadable(&mut self, now: Millis) {
        self.can_read_changes = false;
        self.unreadable_from = self.list_offset;
        self.waiting_since = now;
    }

    fn is_current(&self, digest: &DigestStatus, now: Millis) -> bool {
        let until = self.current_until(digest);
        until.is_some_and(|until| now <= until)
    }

    /// Whether the node has waited in vain for a digest that can be read. While the digest can't be read, listings
    /// would overload a log that has just returned.
    fn must_list(&self, digest: &DigestStatus, now: Millis) -> bool {
        let Some(readable_since) = digest.readable_since else {
            return false;
        };
        let confirmed_at = digest.confirmed_at.unwrap_or(0);
        let since = self.waiting_since.max(readable_since).max(confirmed_at);
        now.saturating_sub(since) > self.limits.listing_delay_ms
    }
}
