//! The decision: who may act on a piece of work, as its holder, as one of its guardians, or as one who waits for it.
//!
//! A holder may act while more than half of the work's guardians have promised it to begin nothing: each promise is a
//! lease, counted from when the holder asked and kept by the guardian from when it heard, each on its own monotonic
//! clock. A guardian whose promise has lapsed may ask the others for the work; more than half must agree, and each
//! gives its word once a term. Any two such majorities share a guardian, so that no work is held by two at once:
//! always, whatever is lost, repeated, late or paused, while clocks drift less than stated. That a takeover begins
//! holds only while more than half of the guardians can talk; a lone one keeps the record and waits.
//!
//! A guardian that gave its word against a holder counts its epoch for that holder up. What the holder's lease says is
//! worth something only for work that was kept in the same epoch, so that a renewal never revives what was voted away.

mod backup;
mod claim;
mod election;
mod owner;
mod waiter;

use crate::record::{Done, Mark, Record, Say};
use crate::{Ns, Rules};
use backup::Kept;
use havenplank_fellows::wire::Life;
use oorandom::Rand64;
use owner::Held;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use waiter::Waiting;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    Say {
        to: Life,
        say: Say,
    },
    /// More than half of the guardians know of it: it may begin.
    Taken(Mark),
    /// They know that this forward is about to go. Ask [`Takeover::may`] right before the write.
    Go(Mark, usize),
    /// Another holds it; its answer will come.
    Joined(Mark),
    /// Too few guardians can be reached, or they have no room: it is served as if there were none.
    Unguarded(Mark),
    /// The same, for a hit that may be in hand elsewhere and must not run twice: it is bounced, nothing was sent.
    Unsure(Mark),
    /// Another hit under the same key is in hand.
    Differs(Mark),
    /// It is ours now: finish it, with what its past says.
    Begin(Record),
    /// It is another's now: send nothing more for it. Its answer will come.
    Lost(Mark),
    /// The final answer of work that was waited for here.
    Answer(Mark, Done),
    /// None of its guardians knows of it any more.
    Nobody(Mark),
}

#[derive(Clone)]
pub struct Takeover {
    me: Life,
    rules: Rules,
    /// Work in hand here; leaves when all guardians know its answer, or its time and `Rules::keep` are over.
    held: BTreeMap<Mark, Held>,
    /// Others' work; leaves `Rules::keep` after its time is up. What was in hand here stays in it as well, so that it
    /// holds `Rules::most_kept` and as many more as `Rules::most_held`.
    kept: BTreeMap<Mark, Kept>,
    /// Work that is waited for; leaves with its answer, or when its client's time is up. One row a client that waits
    /// here at most, whose number the door bounds.
    waiting: BTreeMap<Mark, Waiting>,
    /// Until when we begin nothing of a holder's. Rows leave with the last record kept for it.
    promises: BTreeMap<Life, Ns>,
    /// By holder, what this counter stood at when we last gave our word against it. One without a row has the
    /// counter itself, so that a row that left and came again never shows an epoch that was.
    epochs: BTreeMap<Life, u32>,
    turned: u32,
    /// Until when a guardian's promise to us lasts, and its epoch. Rows leave with the last work that it guards.
    leases: BTreeMap<String, (Ns, u32)>,
    renew: Ns,
    chance: Rand64,
    effects: VecDeque<Effect>,
    /// What the records kept weigh: summed up at each wake, and what came since on top.
    bytes: usize,
    /// Claims that found too few guardians, and records turned away.
    pub unguarded: u64,
    pub turned_away: u64,
    pub taken_over: u64,
}

/// For searches that must know a state again: all that it decides by but the scatter of its asking.
impl Hash for Takeover {
    fn hash<H: Hasher>(&self, to: &mut H) {
        (&self.me, &self.held, &self.kept, &self.waiting, &self.effects).hash(to);
        (&self.promises, &self.epochs, self.turned, &self.leases, self.renew).hash(to);
    }
}

impl Takeover {
    pub fn new(now: Ns, seed: u64, me: Life, rules: Rules) -> Takeover {
        Takeover {
            me,
            rules,
            held: BTreeMap::new(),
            kept: BTreeMap::new(),
            waiting: BTreeMap::new(),
            promises: BTreeMap::new(),
            epochs: BTreeMap::new(),
            turned: 0,
            leases: BTreeMap::new(),
            renew: now,
            chance: Rand64::new(seed as u128),
            effects: VecDeque::new(),
            bytes: 0,
            unguarded: 0,
            turned_away: 0,
            taken_over: 0,
        }
    }

    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    pub fn next_wake(&self) -> Option<Ns> {
        let held = self.held.values().map(|held| held.again);
        let renew = (!self.held.is_empty()).then_some(self.renew);
        let kept = self.kept.values().map(|kept| self.turn_of(kept).min(kept.forget));
        let waiting = self.waiting.values().map(|waiting| waiting.again.min(waiting.forget));
        held.chain(renew).chain(kept).chain(waiting).min()
    }

    /// Work in hand, records kept for others, and work waited for.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.held.len(), self.kept.len(), self.waiting.len())
    }

    /// What is kept here of this work for another.
    pub fn keeps(&self, mark: Mark) -> Option<&Record> {
        self.kept.get(&mark).map(|kept| &kept.record)
    }

    /// What another sidecar says.
    pub fn heard(&mut self, now: Ns, from: &Life, say: Say) {
        match say {
            Say::Keep { record, stamp } if record.holder == *from => self.keep(now, from, record, stamp),
            Say::Kept { mark, term, version, stamp, epoch } => {
                self.kept(now, from, (mark, term, version), (stamp, epoch))
            }
            Say::Held { mark, term, by, differs } => self.other(now, from, mark, term, &by, differs),
            Say::Full { mark } => self.full(now, from, mark),
            Say::Renew { stamp } => {
                if self.kept.values().any(|kept| kept.holder == *from) {
                    let epoch = self.promise(now, from);
                    self.say(from, Say::Renewed { stamp, epoch });
                }
            }
            Say::Renewed { stamp, epoch } => self.lease(now, from, stamp, epoch),
            Say::Vote { mark, term, stamp } => self.vote(now, from, mark, term, stamp),
            Say::Voted { record, term, stamp, epoch } => self.voted(now, from, record, term, (stamp, epoch)),
            Say::Wait { mark, sum } => self.waits(from, mark, sum),
            Say::Done { mark, term, done } => self.done(now, mark, term, done),
            Say::Nothing { mark } => self.nothing(from, mark),
            Say::Free { mark, term } => {
                self.kept.retain(|known, kept| {
                    *known != mark
                        || kept.holder != *from
                        || kept.term != term
                        || !kept.record.past.is_empty()
                });
            }
            Say::Keep { .. } => {}
        }
    }

    pub fn wake(&mut self, now: Ns) {
        self.renew(now);
        self.bytes = self.kept.values().map(|kept| kept.record.weight()).sum();
        let due = |at: Ns| at <= now;
        let held: Vec<Mark> =
            self.held.iter().filter(|(_, held)| due(held.again)).map(|(mark, _)| *mark).collect();
        for mark in held {
            self.again(now, mark);
        }
        let waiting: Vec<Mark> =
            self.waiting.iter().filter(|(_, w)| due(w.again)).map(|(mark, _)| *mark).collect();
        for mark in waiting {
            self.wait_again(now, mark);
        }
        self.waiting.retain(|_, waiting| now < waiting.forget);
        let over: Vec<Mark> =
            self.kept.iter().filter(|(_, kept)| now >= kept.forget).map(|(m, _)| *m).collect();
        over.into_iter().for_each(|mark| self.drop_kept(mark));
        let kept: Vec<Mark> =
            self.kept.iter().filter(|(_, kept)| due(self.turn_of(kept))).map(|(mark, _)| *mark).collect();
        for mark in kept {
            self.attempt(now, mark);
        }
        let (kept, held) = (&self.kept, &self.held);
        self.promises
            .retain(|holder, until| now < *until || kept.values().any(|kept| kept.holder == *holder));
        self.epochs.retain(|holder, _| self.promises.contains_key(holder));
        let guards =
            |name: &String| held.values().any(|h| h.record.guardians.iter().any(|life| life.name == *name));
        self.leases.retain(|name, _| guards(name));
    }

    fn say(&mut self, to: &Life, say: Say) {
        self.effects.push_back(Effect::Say { to: to.clone(), say });
    }
}
