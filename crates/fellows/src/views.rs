//! Keeps a sidecar's quorum state up to date: takes membership's news and peers' views in, and tells one peer its own
//! view each period. No I/O; the sidecar's shell and the simulated network drive the same code.

use crate::node::Node;
use crate::standing::{Place, Rules, Standing, View};
use crate::swim::Event;
use crate::wire::Life;
use crate::Ns;

/// The kind of message in which views are told.
pub const VIEWS: u8 = 3;

/// A change of the quorum state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    pub was: Standing,
    pub is: Standing,
}

pub struct Views {
    place: Place,
    turn: usize,
}

impl Views {
    pub fn new(now: Ns, me: Life, rules: Rules) -> Views {
        Views { place: Place::new(now, me, rules), turn: 0 }
    }

    pub fn place(&self) -> &Place {
        &self.place
    }

    /// What membership told.
    pub fn observe(&mut self, now: Ns, event: &Event) {
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
    pub fn receive(&mut self, now: Ns, from: &Life, body: &[u8]) -> Result<(), postcard::Error> {
        let view: View = postcard::from_bytes(body)?;
        self.place.heard(now, from, view);
        Ok(())
    }

    /// Once a period: learns who lives, judges the quorum state anew and tells one peer our view.
    pub fn tick(&mut self, now: Ns, node: &mut Node) -> Option<Change> {
        let living: Vec<Life> = node.fellows().living().map(|news| news.who.clone()).collect();
        self.place.living(now, living.iter());
        let change = self.place.look(now).map(|(was, is)| Change { was, is });
        self.turn = self.turn.wrapping_add(1);
        if let Some(to) = living.get(self.turn % living.len().max(1)) {
            if let Ok(body) = postcard::to_stdvec(&self.place.view(now, to)) {
                node.send(to, VIEWS, body);
            }
        }
        change
    }
}
