//! Which of several back ends that are listed at one address listens there.
//!
//! The entry of a back end that crashed stays listed until it expires, while the next back end listens at the address
//! already, under another name. Where back ends crash in series, such entries outnumber the living back ends many times.
//! Each looks like an empty back end, and a request for it is turned away by the one that listens there. So of all back
//! ends that are listed at an address only one gets work: the one that was listed last, except those whose requests
//! another back end was found to turn away.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::Millis;
use crate::ids::BackendId;

/// Time for which a back end gets no work after another one was found at its address: the entry of a back end that
/// crashed has mostly expired by then.
pub const REPLACED_MS: Millis = 4_000;

/// The back ends that are listed at each address.
#[derive(Debug, Default)]
pub struct AddressClaims {
    /// In the order in which they were listed.
    by_address: BTreeMap<SocketAddr, Vec<BackendId>>,
    /// Until when the back ends at whose addresses another one was found get no work.
    replaced_until: BTreeMap<BackendId, Millis>,
}

impl AddressClaims {
    /// Records that a back end is listed at an address from now on.
    pub fn record_listed(&mut self, id: &BackendId, address: SocketAddr) {
        let listed = self.by_address.entry(address).or_default();
        if !listed.contains(id) {
            listed.push(id.clone());
        }
    }

    /// Records that a back end is no longer listed at an address.
    pub fn record_unlisted(&mut self, id: &BackendId, address: SocketAddr) {
        self.replaced_until.remove(id);
        let Some(listed) = self.by_address.get_mut(&address) else {
            return;
        };
        listed.retain(|other| other != id);
        if listed.is_empty() {
            self.by_address.remove(&address);
        }
    }

    /// Records that another back end turned a request for this one away. Returns whether that is news.
    pub fn record_replaced(&mut self, id: &BackendId, now: Millis) -> bool {
        let known = self.replaced_until.insert(id.clone(), now + REPLACED_MS);
        known.is_none()
    }

    /// Makes back ends eligible again that were found to be replaced [`REPLACED_MS`] ago.
    pub fn expire(&mut self, now: Millis) {
        self.replaced_until.retain(|_, until| *until > now);
    }

    /// Whether a back end is the one that is taken to listen at an address.
    pub fn is_current(&self, id: &BackendId, address: SocketAddr) -> bool {
        let listed = self.by_address.get(&address).into_iter().flatten();
        let mut possible = listed.filter(|id| !self.replaced_until.contains_key(*id));
        possible.next_back() == Some(id)
    }

    /// Other back ends that are listed at an address.
    pub fn others_at<'a>(
        &'a self,
        address: SocketAddr,
        id: &'a BackendId,
    ) -> impl Iterator<Item = &'a BackendId> {
        let listed = self.by_address.get(&address).into_iter().flatten();
        listed.filter(move |other| *other != id)
    }
}
