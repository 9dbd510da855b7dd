//! What waits in a node for its caller: changes of the membership, and messages of other packages within a bound.

use crate::event::MemberEvent;
use crate::member::MemberId;
use std::collections::{BTreeMap, VecDeque};

/// Messages of one kind that wait to be read, at most; a further one is dropped, as if it were lost on the way. The
/// membership's own are handled as they come, so that a burst of another kind never delays them.
pub const MAX_PENDING_MESSAGES: usize = 256;

/// What happened at a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// The membership changed.
    Membership(MemberEvent),
    /// A message of another package came, from a member that is alive.
    Message {
        /// Its sender.
        from: MemberId,
        /// Which package's message it is.
        kind: u8,
        /// The encoded message.
        body: Vec<u8>,
    },
}

/// The events of a node, in the order in which they happened.
#[derive(Default)]
pub(crate) struct Inbox {
    events: VecDeque<NodeEvent>,
    /// By kind, the messages that wait. One entry for each kind that is read here.
    pending: BTreeMap<u8, usize>,
}

impl Inbox {
    /// Adds a change of the membership.
    pub fn push_membership(&mut self, event: MemberEvent) {
        self.events.push_back(NodeEvent::Membership(event));
    }

    /// Adds a message; false where too many of its kind wait already.
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

    /// Returns the event that has waited longest.
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
