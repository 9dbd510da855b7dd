//! Keeps a sidecar's quorum state up to date: takes membership's news and peers' views in, and tells one peer its own
//! view each period, and one more out of turn where a follow-up is due. No I/O; the sidecar's shell and the simulated network drive the same code.

use crate::follow_ups::FollowUps;
use crate::member::MemberId;
use crate::member_table::Changes;
use crate::node::Node;
use crate::quorum::{Quorum, QuorumState, Rules, View};
use crate::swim::MemberEvent;
use crate::Nanos;

/// The kind of message in which views are told.
pub const VIEW_KIND: u8 = 3;

/// A change of the quorum state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    pub was: QuorumState,
    pub is: QuorumState,
}

/// Periods between two looks at all who live; in between, only those who changed are looked at.
const RESYNC: u64 = 120;

pub struct ViewExchange {
    quorum: Quorum,
    periods: u64,
    /// Whom our view was told last: it goes round by name, beginning behind our own, so that sidecars that started
    /// together do not all tell the same one.
    told: String,
    follow_ups: FollowUps,
}

impl ViewExchange {
    pub fn new(now: Nanos, me: MemberId, rules: Rules) -> ViewExchange {
        let told = me.name.clone();
        ViewExchange {
            quorum: Quorum::new(now, me, rules),
            periods: 0,
            told,
            follow_ups: FollowUps::default(),
        }
    }

    pub fn quorum(&self) -> &Quorum {
        &self.quorum
    }

    /// What membership told.
    pub fn observe(&mut self, now: Nanos, event: &MemberEvent) {
        match event {
            MemberEvent::Left(id) => self.quorum.left(now, id),
            MemberEvent::IncarnationRaised(id) => self.quorum.set_own_id(id),
            _ => {}
        }
    }

    /// A peer's view.
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

    /// Once a period: learns who lives, judges the quorum state anew and tells one peer our view, and one more
    /// whose follow-up is due.
    pub fn tick(&mut self, now: Nanos, node: &mut Node) -> Option<Change> {
        self.learn_who_lives(now, node);
        let change = self.quorum.update(now).map(|(was, is)| Change { was, is });
        if let Some(to) = node
            .membership()
            .alive_after(&self.told)
            .map(|member| member.id.clone())
        {
            self.tell(now, node, &to);
            self.told = to.name;
        }
        if let Some(to) = self
            .follow_ups
            .take_due(now)
            .filter(|to| node.membership().is_alive(to))
        {
            self.tell(now, node, &to);
        }
        change
    }

    fn tell(&mut self, now: Nanos, node: &mut Node, to: &MemberId) {
        if let Ok(body) = postcard::to_stdvec(&self.quorum.view_for(now, to)) {
            node.send(to, VIEW_KIND, body);
        }
    }

    fn learn_who_lives(&mut self, now: Nanos, node: &mut Node) {
        let changes = node.take_changes();
        self.periods += 1;
        let member_table = node.membership();
        match changes {
            Changes::Names(names) if !self.periods.is_multiple_of(RESYNC) => {
                let id = |name: &String| {
                    member_table
                        .get(name)
                        .map(|member| &member.id)
                        .filter(|id| member_table.is_alive(id))
                };
                let changed = names.iter().map(|name| (name.as_str(), id(name)));
                self.quorum.update_alive(now, changed);
            }
            Changes::Names(_) | Changes::All => {
                self.quorum
                    .set_alive(now, member_table.alive().map(|member| &member.id));
            }
        }
    }
}
