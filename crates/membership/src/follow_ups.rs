//! Which peers get a view out of turn, and when. Bounded in number; the oldest is dropped for a new one.

use crate::member::MemberId;
use crate::Nanos;
use std::collections::VecDeque;

/// Follow-ups that wait, at most. Two are planned a period at the busiest (one for each view received, in and out of
/// turn) and one is sent, so one that is dropped has waited for 32 periods or more.
const MAX_WAITING: usize = 64;

struct FollowUp {
    to: MemberId,
    due: Nanos,
}

/// The views that are to be sent out of turn.
#[derive(Default)]
pub(crate) struct FollowUps {
    /// In the order in which they were planned; one for each peer.
    waiting: VecDeque<FollowUp>,
}

impl FollowUps {
    /// Plans a view for this peer; the earlier time holds where one is planned already.
    pub fn plan(&mut self, to: &MemberId, due: Nanos) {
        if let Some(known) = self.waiting.iter_mut().find(|known| known.to == *to) {
            known.due = known.due.min(due);
            return;
        }
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(FollowUp {
            to: to.clone(),
            due,
        });
    }

    /// Removes and returns the peer whose view is due and was planned first.
    pub fn take_due(&mut self, now: Nanos) -> Option<MemberId> {
        let position = self.waiting.iter().position(|known| known.due <= now)?;
        self.waiting.remove(position).map(|known| known.to)
    }
}
