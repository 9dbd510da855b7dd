//! The ids of requests that must not run twice and that were sent to a pod.
//!
//! A client gives a new id to each request and to each retry. It sends an id again only if it believes that its request
//! was not read. An id that was sent to a pod must then not be sent again, even if the first request has ended meanwhile
//! because its client left.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;

/// Ids that are remembered; the oldest is forgotten for a new one. At 240 requests a second these are the ids of a
/// minute, far longer than a client waits.
const MAX_IDS: usize = 1 << 14;

/// A hash of an id under a key of this process, so that no client can choose ids with the same hash.
type IdHash = u64;

#[derive(Default)]
struct State {
    hashes: HashSet<IdHash>,
    /// The same hashes, the oldest first.
    by_age: VecDeque<IdHash>,
}

/// The ids that were sent last.
#[derive(Default)]
pub(crate) struct SentIds {
    key: RandomState,
    state: RefCell<State>,
}

impl SentIds {
    /// Records that an id is about to be sent to a pod.
    pub(crate) fn insert(&self, id: &HeaderValue) {
        let hash = self.key.hash_one(id);
        let state = &mut *self.state.borrow_mut();
        if !state.hashes.insert(hash) {
            return;
        }
        state.by_age.push_back(hash);
        if state.by_age.len() > MAX_IDS {
            let oldest = state.by_age.pop_front();
            oldest.map(|oldest| state.hashes.remove(&oldest));
        }
    }

    /// Returns whether an id may have been sent to a pod.
    pub(crate) fn contains(&self, id: &HeaderValue) -> bool {
        let hash = self.key.hash_one(id);
        self.state.borrow().hashes.contains(&hash)
    }
}

#[cfg(test)]
#[path = "../tests/unit/sent_ids.rs"]
mod tests;
