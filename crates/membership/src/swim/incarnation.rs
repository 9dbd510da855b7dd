//! Updates about this member itself: it refutes a suspicion, and adopts a later incarnation if other members know one.

use super::Membership;
use crate::event::MemberEvent;
use crate::member::{Member, MemberState};
use std::cmp::Ordering;

impl Membership {
    /// Handles an update about this member. Its next pings and answers carry the refutation.
    pub(super) fn refute(&mut self, update: &Member) {
        let ours = &self.me.id;
        match update.id.incarnation.cmp(&ours.incarnation) {
            Ordering::Greater => self.raise_incarnation(update.id.incarnation),
            Ordering::Equal if self.is_refutable(update) => {
                self.me.refutations = update.refutations.saturating_add(1);
                self.health.degrade(1);
            }
            Ordering::Equal | Ordering::Less => {}
        }
    }

    /// Handles the updates of a non-member. Only those about this member count: a refutation does no harm, no matter
    /// which sidecar sent the update.
    pub(super) fn refute_all(&mut self, updates: &[Member]) {
        for update in updates {
            if update.id.name == self.me.id.name {
                self.refute(update);
            }
        }
    }

    /// Adopts the incarnation after the one that other members know. They know it from an earlier start, before the
    /// clock was set back.
    fn raise_incarnation(&mut self, known: u64) {
        self.me.id.incarnation = known.saturating_add(1);
        self.me.refutations = 0;
        let raised = self.me.id.clone();
        self.notify(MemberEvent::IncarnationRaised(raised));
    }

    fn is_refutable(&self, update: &Member) -> bool {
        let is_accusation = matches!(update.state, MemberState::Suspected(_) | MemberState::Dead);
        is_accusation
            && self.me.state == MemberState::Alive
            && update.refutations >= self.me.refutations
    }
}
