//! The events that a node holds until its caller reads them: changes of the membership, and a bounded number of
//! messages of other packages.

use crate::event::MemberEvent;
use crate::member::MemberId;
use std::collections::{BTreeMap, VecDeque};

/// Limit on the unread messages of one kind; a further one is dropped, as if the network had lost it. Messages of the
/// membership protocol are handled as they arrive, so that a burst of another kind never delays them.
pub const MAX_PENDING_MESSAGES: usize = 256;

/// An event at a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// The membership changed.
    Membership(MemberEvent),
    /// A message of another package arrived from a member that is alive.
    Message {
        /// The sender.
        from: MemberId,
        /// Which package the message belongs to.
        kind: u8,
        /// The encoded message.
        body: Vec<u8>,
    },
}

/// The events of a node, in the order in which they happened.
#[derive(Default)]
pub(crate) struct Inbox {
    events: VecDeque<NodeEvent>,
    /// The number of unread messages by kind, with at most one entry for each accepted kind.
    pending: BTreeMap<u8, usize>,
}

impl Inbox {
    /// Adds a change of the membership.
    pub fn push_membership(&mut self, event: MemberEvent) {
        self.events.push_back(NodeEvent::Membership(event));
    }

    /// Adds a message. Returns false if too many of its kind are unread.
    pub fn push_message(&mut self, from: MemberId, kind: u8, body: Vec<u8>) -> bool {
        let pending = self.pending.entry(kind).or_default();
        if *pending >= MAX_PENDING_MESSAGES {
            return false;
        }
        *pending += 1;
        self.events
            .push_back(NodeEvent::Message { from, kind, body });
        true
    }

    /// Removes and returns the oldest event.
    pub fn pop(&mut self) -> Option<NodeEvent> {
        let event = self.events.pop_front();
        if let Some(NodeEvent::Message { kind, .. }) = &event {
            self.pending
                .entry(*kind)
                .and_modify(|pending| *pending -= 1);
        }
        event
    }
}
