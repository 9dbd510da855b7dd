//! News that are sent on with pings and their answers: the least sent first, each a limited number of times.

use std::collections::{BTreeSet, HashMap};

/// News that did not fit into a message, before the rest is left for the next one.
const MISFITS: usize = 8;

/// What may be said of one piece of news when a message is filled.
pub(crate) enum Offer {
    Taken,
    /// It is not for this receiver.
    Skipped,
    /// There was no room for it.
    Misfit,
    /// There is nothing to say of this name any more.
    Obsolete,
}

#[derive(Default)]
pub(crate) struct UpdateQueue {
    /// By how often it was sent, then by name.
    order: BTreeSet<(u32, String)>,
    sent: HashMap<String, u32>,
}

impl UpdateQueue {
    /// News of this name begin anew.
    pub fn add(&mut self, name: &str) {
        self.remove(name);
        self.put(0, name.to_string());
    }

    fn remove(&mut self, name: &str) {
        if let Some(sent) = self.sent.remove(name) {
            self.order.remove(&(sent, name.to_string()));
        }
    }

    fn put(&mut self, sent: u32, name: String) {
        self.sent.insert(name.clone(), sent);
        self.order.insert((sent, name));
    }

    /// Fills a message: offers names in order until it is full. Those taken `often` times leave.
    pub fn fill(&mut self, often: u32, mut offer: impl FnMut(&str) -> Offer) {
        let mut misfits = 0;
        let mut moved = Vec::new();
        for (sent, name) in &self.order {
            match offer(name) {
                Offer::Taken => moved.push((Some(sent + 1), name.clone())),
                Offer::Obsolete => moved.push((None, name.clone())),
                Offer::Skipped => {}
                Offer::Misfit => misfits += 1,
            }
            if misfits >= MISFITS {
                break;
            }
        }
        for (sent, name) in moved {
            self.remove(&name);
            if let Some(sent) = sent.filter(|sent| *sent < often) {
                self.put(sent, name);
            }
        }
    }
}
