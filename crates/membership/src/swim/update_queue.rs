//! Updates to be piggybacked on pings and their answers: the least often sent first, each a limited number of times.

use std::collections::{BTreeSet, HashMap};

/// Updates that may fail to fit into a message before it counts as full.
const MAX_TOO_LONG_UPDATES: usize = 8;

/// The outcome of offering an update to a message.
pub(super) enum OfferOutcome {
    /// It was added to the message.
    Added,
    /// It is not meant for this receiver.
    Skipped,
    /// It is too long for the space that is left.
    TooLong,
    /// The member of this name is no longer known.
    Obsolete,
}

/// The names of the members whose updates are still to be sent. At most one entry for each known member.
#[derive(Default)]
pub(super) struct UpdateQueue {
    /// Ordered by how often the update was sent, then by name.
    order: BTreeSet<(u32, String)>,
    /// How often the update of each name was sent.
    sent: HashMap<String, u32>,
}

impl UpdateQueue {
    /// Puts the update of this name at the start of the queue, to be sent as often as a new one.
    pub fn restart(&mut self, name: &str) {
        self.remove(name);
        self.insert(0, name.to_string());
    }

    /// Fills a message: offers it the updates in order until it is full. An update that was added `max_sends` times
    /// leaves the queue.
    pub fn fill(&mut self, max_sends: u32, mut offer: impl FnMut(&str) -> OfferOutcome) {
        let mut too_long = 0;
        let mut added = Vec::new();
        let mut obsolete = Vec::new();
        for (sent, name) in &self.order {
            match offer(name) {
                OfferOutcome::Added => added.push((sent + 1, name.clone())),
                OfferOutcome::Obsolete => obsolete.push(name.clone()),
                OfferOutcome::Skipped => {}
                OfferOutcome::TooLong => too_long += 1,
            }
            if too_long >= MAX_TOO_LONG_UPDATES {
                break;
            }
        }
        for name in obsolete {
            self.remove(&name);
        }
        for (sent, name) in added {
            self.remove(&name);
            if sent < max_sends {
                self.insert(sent, name);
            }
        }
    }

    fn remove(&mut self, name: &str) {
        if let Some(sent) = self.sent.remove(name) {
            self.order.remove(&(sent, name.to_string()));
        }
    }

    fn insert(&mut self, sent: u32, name: String) {
        self.sent.insert(name.clone(), sent);
        self.order.insert((sent, name));
    }
}
