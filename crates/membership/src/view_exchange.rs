//! Keeps a sidecar's quorum state up to date: takes in changes of the membership and peers' views, and sends one peer its
//! own view each period, and one more out of turn where a follow-up is due. No I/O; the sidecar's transport and the
//! simulated network drive the same code.

use crate::event::MemberEvent;
use crate::follow_ups::FollowUps;
use crate::member::MemberId;
use crate::node::Node;
pub use crate::quorum::StateChange;
use crate::quorum::{Quorum, Rules, View};
use crate::swim::ChangedMembers;
use crate::Nanos;

/// The kind of message in which views are sent.
pub const VIEW_KIND: u8 = 3;
/// Periods between two looks at all members; in between, only those that changed are looked at.
const RESYNC_PERIODS: u64 = 120;

/// A [`Quorum`] together with the exchange of views.
pub struct ViewExchange {
    quorum: Quorum,
    periods: u64,
    /// Who received our view last. It goes round by name, beginning behind our own, so that sidecars that started together
    /// do not all choose the same one.
    last_receiver: String,
    follow_ups: FollowUps,
}

impl ViewExchange {
    /// Begins with a quorum of one.
    pub fn new(now: Nanos, me: MemberId, rules: Rules) -> ViewExchange {
        let last_receiver = me.name.clone();
        ViewExchange {
            quorum: Quorum::new(now, me, rules),
            periods: 0,
            last_receiver,
            follow_ups: FollowUps::default(),
        }
    }

    /// Returns the quorum.
    pub fn quorum(&self) -> &Quorum {
        &self.quorum
    }

    /// Takes in a change of the membership.
    pub fn observe(&mut self, now: Nanos, event: &MemberEvent) {
        match event {
            MemberEvent::Left(id) => self.quorum.record_leave(now, id),
            MemberEvent::IncarnationRaised(id) => self.quorum.set_own_id(id),
            _ => {}
        }
    }

    /// Takes in a peer's view.
    ///
    /// # Errors
    /// A body that is no view; it changes nothing.
    pub fn receive(
        &mut self,
        now: Nanos,
        from: &MemberId,
        body: &[u8],
    ) -> Result<(), postcard::Error> {
        let view: View = postcard::from_bytes(body)?;
        if let Some(due) = self.quorum.receive_view(now, from, view) {
            self.follow_ups.plan(from, due);
        }
        Ok(())
    }

    /// Does what is due once a period: learns who is alive, judges the quorum state anew and sends one peer our view, and
    /// one more whose follow-up is due. Returns a change of the state.
    pub fn tick(&mut self, now: Nanos, node: &mut Node) -> Option<StateChange> {
        self.learn_who_is_alive(now, node);
        let change = self.quorum.update(now);
        self.send_to_next(now, node);
        self.send_follow_up(now, node);
        change
    }

    fn send_to_next(&mut self, now: Nanos, node: &mut Node) {
        let next = node.membership().alive_after(&self.last_receiver);
        if let Some(to) = next.map(|member| member.id.clone()) {
            self.send_view(now, node, &to);
            self.last_receiver = to.name;
        }
    }

    fn send_follow_up(&mut self, now: Nanos, node: &mut Node) {
        let due = self.follow_ups.take_due(now);
        if let Some(to) = due.filter(|to| node.membership().is_alive(to)) {
            self.send_view(now, node, &to);
        }
    }

    fn send_view(&mut self, now: Nanos, node: &mut Node, to: &MemberId) {
        if let Ok(body) = postcard::to_stdvec(&self.quorum.view_for(now, to)) {
            node.send(to, VIEW_KIND, body);
        }
    }

    fn learn_who_is_alive(&mut self, now: Nanos, node: &mut Node) {
        let changes = node.take_changed_members();
        self.periods += 1;
        let members = node.membership();
        match changes {
            ChangedMembers::Names(names) if !self.periods.is_multiple_of(RESYNC_PERIODS) => {
                let alive_id = |name: &String| {
                    let known = members.get(name).map(|member| &member.id);
                    known.filter(|id| members.is_alive(id))
                };
                let changed = names.iter().map(|name| (name.as_str(), alive_id(name)));
                self.quorum.update_alive(now, changed);
            }
            ChangedMembers::Names(_) | ChangedMembers::All => {
                let alive = members.alive().map(|member| &member.id);
                self.quorum.set_alive(now, alive);
            }
        }
    }
}
