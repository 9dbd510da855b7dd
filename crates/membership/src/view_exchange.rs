//! Keeps the quorum state of a sidecar up to date: applies changes of the membership and the views of peers, and in
//! each period sends the sidecar's own view to the next peer in rotation, and to one more peer if a follow-up is due.
//! No I/O; the sidecar's transport and the simulated network run the same code.

use crate::event::MemberEvent;
use crate::follow_ups::FollowUps;
use crate::member::MemberId;
use crate::node::Node;
pub use crate::quorum::StateChange;
use crate::quorum::{Quorum, Rules, View};
use crate::swim::ChangedMembers;
use crate::Nanos;

/// The message kind of views.
pub const VIEW_KIND: u8 = 3;
/// Periods between two updates from all members; in between, only the members that changed are updated.
const RESYNC_PERIODS: u64 = 120;

/// A [`Quorum`] and the exchange of views that keeps it up to date.
pub struct ViewExchange {
    quorum: Quorum,
    periods: u64,
    /// The name of the peer that received our view last. The rotation is ordered by name and begins after our own name,
    /// so that sidecars that started together do not all choose the same peer.
    last_receiver: String,
    follow_ups: FollowUps,
}

impl ViewExchange {
    /// Makes an exchange whose quorum has one voter, this sidecar.
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

    /// Applies a change of the membership.
    pub fn observe(&mut self, now: Nanos, event: &MemberEvent) {
        match event {
            MemberEvent::Left(id) => self.quorum.record_leave(now, id),
            MemberEvent::IncarnationRaised(id) => self.quorum.set_own_id(id),
            _ => {}
        }
    }

    /// Applies the view of a peer.
    ///
    /// # Errors
    /// A body that is not a view; it has no effect.
    pub fn receive(
        &mut self,
        now: Nanos,
        from: &MemberId,
        body: &[u8],
    ) -> Result<(), postcard::Error> {
        let view: View = postcard::from_bytes(body)?;
        if let Some(due) = self.quorum.receive_view(now, from, view) {
            self.follow_ups.schedule(from, due);
        }
        Ok(())
    }

    /// Runs the work of one period: updates which voters are alive, determines the quorum state, and sends our view to
    /// the next peer in rotation, and to one more peer if a follow-up is due. Returns the change of the quorum state,
    /// if any.
    pub fn tick(&mut self, now: Nanos, node: &mut Node) -> Option<StateChange> {
        self.update_alive_voters(now, node);
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

    fn update_alive_voters(&mut self, now: Nanos, node: &mut Node) {
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
