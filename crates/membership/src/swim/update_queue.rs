//! Updates that ride on pings and their answers: the least sent first, each a limited number of times.

use std::collections::{BTreeSet, HashMap};

/// Updates that did not fit into a message, before the rest is left for the next one.
const MAX_MISFITS: usize = 8;

/// What became of an update that was offered to a message.
pub(super) enum Offer {
    /// It is in the message.
    Taken,
    /// It is not for this receiver.
    Skipped,
    /// There was no room for it.
    Misfit,
    /// There is nothing to say of this name any more.
    Obsolete,
}

/// The names of members whose updates are still sent. At most one entry for each known member.
#[derive(Default)]
pub(super) struct UpdateQueue {
    /// By how often the update was sent, then by name.
    order: BTreeSet<(u32, String)>,
    sent: HashMap<String, u32>,
}

impl UpdateQueue {
    /// Sends the update of this name as often as a new one.
    pub fn restart(&mut self, name: &str) {
        self.remove(name);
        self.insert(0, name.to_string());
    }

    /// Fills a message: offers names in order until it is full. Those taken `max_sends` times leave the queue.
    pub fn fill(&mut self, max_sends: u32, mut offer: impl FnMut(&str) -> Offer) {
        let mut misfits = 0;
        let mut taken = Vec::new();
        let mut obsolete = Vec::new();
        for (sent, name) in &self.order {
            match offer(name) {
                Offer::Taken => taken.push((sent + 1, name.clone())),
                Offer::Obsolete => obsolete.push(name.clone()),
                Offer::Skipped => {}
                Offer::Misfit => misfits += 1,
            }
            if misfits >= MAX_MISFITS {
                break;
            }
        }
        for name in obsolete {
            self.remove(&name);
        }
        for (sent, name) in taken {
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
