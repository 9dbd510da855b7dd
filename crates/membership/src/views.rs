//! Keeps a sidecar's quorum state up to date: takes membership's news and peers' views in, and tells one peer its own
//! view each period, and one more out of turn where a follow-up is due. No I/O; the sidecar's shell and the simulated network drive the same code.

use crate::follow_ups::FollowUps;
use crate::node::Node;
use crate::peers::Changes;
use crate::standing::{Place, Rules, Standing, View};
use crate::swim::Event;
use crate::wire::Life;
use crate::Nanos;

/// The kind of message in which views are told.
pub const VIEWS: u8 = 3;

/// A change of the quorum state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    pub was: Standing,
    pub is: Standing,
}

/// Periods between two looks at all who live; in between, only those who changed are looked at.
const RESYNC: u64 = 120;

pub struct Views {
    place: Place,
    periods: u64,
    /// Whom our view was told last: it goes round by name, beginning behind our own, so that sidecars that started
    /// together do not all tell the same one.
    told: String,
    follow_ups: FollowUps,
}

impl Views {
    pub fn new(now: Nanos, me: Life, rules: Rules) -> Views {
        let told = me.name.clone();
        Views {
            place: Place::new(now, me, rules),
            periods: 0,
            told,
            follow_ups: FollowUps::default(),
        }
    }

    pub fn place(&self) -> &Place {
        &self.place
    }

    /// What membership told.
    pub fn observe(&mut self, now: Nanos, event: &Event) {
        match event {
            Event::Left(who) => self.place.left(now, who),
            Event::Reborn(who) => self.place.reborn(who),
            _ => {}
        }
    }

    /// A peer's view.
    ///
    /// # Errors
    /// A body that is no view; it changes nothing.
    pub fn receive(&mut self, now: Nanos, from: &Life, body: &[u8]) -> Result<(), postcard::Error> {
        let view: View = postcard::from_bytes(body)?;
        if let Some(due) = self.place.heard(now, from, view) {
            self.follow_ups.plan(from, due);
        }
        Ok(())
    }

    /// Once a period: learns who lives, judges the quorum state anew and tells one peer our view, and one more
    /// whose follow-up is due.
    pub fn tick(&mut self, now: Nanos, node: &mut Node) -> Option<Change> {
        self.learn_who_lives(now, node);
        let change = self.place.look(now).map(|(was, is)| Change { was, is });
        if let Some(to) = node
            .fellows()
            .living_after(&self.told)
            .map(|news| news.who.clone())
        {
            self.tell(now, node, &to);
            self.told = to.name;
        }
        if let Some(to) = self
            .follow_ups
            .take_due(now)
            .filter(|to| node.fellows().lives(to))
        {
            self.tell(now, node, &to);
        }
        change
    }

    fn tell(&mut self, now: Nanos, node: &mut Node, to: &Life) {
        if let Ok(body) = postcard::to_stdvec(&self.place.view(now, to)) {
            node.send(to, VIEWS, body);
        }
    }

    fn learn_who_lives(&mut self, now: Nanos, node: &mut Node) {
        let changes = node.take_changes();
        self.periods += 1;
        let peers = node.fellows();
        match changes {
            Changes::Names(names) if !self.periods.is_multiple_of(RESYNC) => {
                let who = |name: &String| {
                    peers
                        .get(name)
                        .map(|news| &news.who)
                        .filter(|who| peers.lives(who))
                };
                let changed = names.iter().map(|name| (name.as_str(), who(name)));
                self.place.living_changed(now, changed);
            }
            Changes::Names(_) | Changes::All => {
                self.place.living(now, peers.living().map(|news| &news.who));
            }
        }
    }
}
