//! Clients that came back: waiting for the answer of whoever has their request, and telling those that wait.

use super::{Effect, Takeover};
use crate::record::{Done, Mark, Say};
use crate::Ns;
use havenplank_fellows::wire::Life;
use std::collections::BTreeSet;

/// Sidecars that wait for one answer at one guardian, at most; a further one is told nothing and asks again.
const WAITERS: usize = 8;

/// One that waits here for another's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Waiting {
    pub(super) sum: u64,
    pub(super) guardians: Vec<Life>,
    pub(super) nothing: BTreeSet<String>,
    /// When a guardian last said that it is in hand.
    pub(super) known: Ns,
    pub(super) again: Ns,
    pub(super) forget: Ns,
}

impl Takeover {
    pub(super) fn wait(&mut self, now: Ns, mark: Mark, sum: u64, left: Ns, guardians: Vec<Life>) {
        let (nothing, known, again) = (BTreeSet::new(), now, now);
        let waiting = Waiting { sum, guardians, nothing, known, again, forget: now.saturating_add(left) };
        self.waiting.insert(mark, waiting);
        self.effects.push_back(Effect::Joined(mark));
        self.wait_again(now, mark);
    }

    pub(super) fn wait_again(&mut self, now: Ns, mark: Mark) {
        let again = now + self.rules.lease / 3;
        let Some(waiting) = self.waiting.get_mut(&mark) else { return };
        if now > waiting.known + self.rules.lease {
            // Some may be lost and say nothing at all.
            self.waiting.remove(&mark);
            return self.effects.push_back(Effect::Nobody(mark));
        }
        waiting.again = again;
        let sum = waiting.sum;
        let guardians: Vec<Life> =
            waiting.guardians.iter().filter(|life| **life != self.me).cloned().collect();
        for guardian in guardians {
            self.say(&guardian, Say::Wait { mark, sum });
        }
    }

    /// As a guardian: one waits for the answer.
    pub(super) fn waits(&mut self, from: &Life, mark: Mark, sum: u64) {
        if let Some(held) = self.held.get(&mark) {
            let term = held.record.term;
            if let Some(done) = held.record.done.clone().filter(|_| held.record.sum == sum) {
                return self.say(from, Say::Done { mark, term, done });
            }
            let by = held.record.holder.clone();
            return self.say(from, Say::Held { mark, term, by, differs: false });
        }
        let Some(kept) = self.kept.get_mut(&mark) else { return self.say(from, Say::Nothing { mark }) };
        let term = kept.term;
        if let Some(done) = kept.record.done.clone().filter(|_| kept.record.sum == sum) {
            return self.say(from, Say::Done { mark, term, done });
        }
        if !kept.waiters.contains(from) && kept.waiters.len() < WAITERS {
            kept.waiters.push(from.clone());
        }
        let by = kept.holder.clone();
        self.say(from, Say::Held { mark, term, by, differs: false });
    }

    /// The final answer, by a guardian's word.
    pub(super) fn done(&mut self, now: Ns, mark: Mark, term: u32, done: Done) {
        let reopens = done.reopens();
        if let Some(kept) = self.kept.get_mut(&mark) {
            // A bounce says nothing of a later term: its work may be in hand. Our own attempt is not, yet.
            let ours = kept.holder == self.me && kept.votes.is_some() && term >= kept.record.term;
            if !reopens || term == kept.term || ours {
                kept.record.done.get_or_insert(done.clone());
                kept.votes = None;
            }
        }
        // Done already: a claim comes too late, and a takeover has nothing left to finish but to tell the others.
        let open = self.held.get_mut(&mark).filter(|held| held.record.done.is_none());
        if let Some(held) = open {
            let claims = held.claims.is_some();
            if reopens && term < held.record.term {
                return;
            }
            if reopens && claims {
                // Another try of the client's: in a later term than the one that bounced.
                held.record.term = term.saturating_add(1);
                held.acks.clear();
                held.refused.clear();
                return self.say_kept(now, mark);
            }
            if claims {
                self.held.remove(&mark);
            } else {
                self.finish(now, mark, done.clone());
            }
            return self.effects.push_back(Effect::Answer(mark, done));
        }
        self.done_here(mark, Some(done));
    }

    pub(super) fn done_here(&mut self, mark: Mark, done: Option<Done>) {
        if let Some(done) = done.filter(|_| self.waiting.contains_key(&mark)) {
            self.waiting.remove(&mark);
            self.effects.push_back(Effect::Answer(mark, done));
        }
    }

    pub(super) fn nothing(&mut self, from: &Life, mark: Mark) {
        let Some(waiting) = self.waiting.get_mut(&mark) else { return };
        waiting.nothing.insert(from.name.clone());
        if waiting.guardians.iter().all(|life| *life == self.me || waiting.nothing.contains(&life.name)) {
            self.waiting.remove(&mark);
            self.effects.push_back(Effect::Nobody(mark));
        }
    }
}
