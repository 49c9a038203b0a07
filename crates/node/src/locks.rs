//! Locking without poisoning: a panic in one task must not stop the others.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex whatever happened to earlier holders.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
