//! Follow-ups: views that are sent to a peer outside the regular rotation. Their number is bounded; the oldest one is
//! dropped to make room for a new one.

use crate::member::MemberId;
use crate::Nanos;
use std::collections::VecDeque;

/// Limit on pending follow-ups. At most two are scheduled in a period (one for each view received, in rotation or as a
/// follow-up) and one is sent, so a follow-up that is dropped has been pending for 32 periods or more.
const MAX_PENDING: usize = 64;

struct FollowUp {
    peer: MemberId,
    due: Nanos,
}

/// The pending follow-ups.
#[derive(Default)]
pub(crate) struct FollowUps {
    /// In the order in which they were scheduled; at most one for each peer.
    pending: VecDeque<FollowUp>,
}

impl FollowUps {
    /// Schedules a view for this peer. If one is pending already, the earlier of the two times applies.
    pub fn schedule(&mut self, peer: &MemberId, due: Nanos) {
        if let Some(follow_up) = self
            .pending
            .iter_mut()
            .find(|follow_up| follow_up.peer == *peer)
        {
            follow_up.due = follow_up.due.min(due);
            return;
        }
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(FollowUp {
            peer: peer.clone(),
            due,
        });
    }

    /// Removes the due follow-up that was scheduled first, and returns its peer.
    pub fn take_due(&mut self, now: Nanos) -> Option<MemberId> {
        let position = self
            .pending
            .iter()
            .position(|follow_up| follow_up.due <= now)?;
        self.pending
            .remove(position)
            .map(|follow_up| follow_up.peer)
    }
}
