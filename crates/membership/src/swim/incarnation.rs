//! What others say of this member: it refutes a suspicion, and takes a later incarnation where its own is behind.

use super::Membership;
use crate::event::MemberEvent;
use crate::member::{Member, MemberState};
use std::cmp::Ordering;

impl Membership {
    /// Handles an update of this member itself. Our own pings and answers carry the refutation from then on.
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

    /// Of a stranger's updates only those of ourselves count: they may be refuted all the same.
    pub(super) fn refute_all(&mut self, updates: &[Member]) {
        for update in updates {
            if update.id.name == self.me.id.name {
                self.refute(update);
            }
        }
    }

    /// Takes the incarnation that follows one under which our name is known from before, as the clock was set back.
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
