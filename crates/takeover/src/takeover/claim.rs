//! Claims: a request that came in here is offered to its guardians, and becomes ours, joins another's, or goes
//! unguarded.

use super::backup::Kept;
use super::owner::Held;
use super::{Effect, Takeover};
use crate::record::{Mark, Record, Say};
use crate::Ns;
use havenplank_fellows::wire::Life;
use std::collections::{BTreeMap, BTreeSet};

impl Takeover {
    /// A hit was taken here. `guardians` must not name this sidecar.
    ///
    /// `strict`: its client can name it, so that it may have sent it before, and a repeat could do harm. Of the first
    /// claim's guardians the most may be lost and unknown to us by now, so that more than half of today's prove nothing:
    /// each of them must say that it knows of no other.
    pub fn take(
        &mut self,
        now: Ns,
        mark: Mark,
        sum: u64,
        hit: (Vec<u8>, bool),
        left: Ns,
        guardians: Vec<Life>,
    ) {
        let (ask, strict) = hit;
        if let Some(held) = self.held.get(&mark) {
            let (differs, done) = (held.record.sum != sum, held.record.done.clone());
            match done {
                Some(done) if done.reopens() && !differs => {
                    self.retire(now, mark);
                }
                done => {
                    return self.effects.push_back(match done {
                        _ if differs => Effect::Differs(mark),
                        Some(done) => Effect::Answer(mark, done),
                        None => Effect::Joined(mark),
                    })
                }
            }
        }
        let reopens = |kept: &&Kept| {
            kept.record.sum == sum && kept.record.done.as_ref().is_some_and(|done| done.reopens())
        };
        // What a client may try again begins anew, in a later term than whoever still knows of the first try.
        let term = self.kept.get(&mark).filter(reopens).map(|kept| kept.term.saturating_add(1));
        if let Some(kept) = self.kept.get(&mark).filter(|_| term.is_none()) {
            if kept.record.sum != sum {
                return self.effects.push_back(Effect::Differs(mark));
            }
            if let Some(done) = kept.record.done.clone() {
                return self.effects.push_back(Effect::Answer(mark, done));
            }
            let guardians = kept.record.guardians.clone();
            return self.wait(now, mark, sum, left, guardians);
        }
        if guardians.is_empty() || self.held.len() >= self.rules.most_held {
            return self.unguarded(mark, strict);
        }
        let record = self.fresh(mark, term.unwrap_or(0), sum, ask, left, guardians);
        let claims = Some(now + self.rules.lease.min(left / 2));
        self.hold(now, record, claims, now);
        if let Some(held) = self.held.get_mut(&mark) {
            held.strict = strict;
        }
    }

    fn unguarded(&mut self, mark: Mark, strict: bool) {
        self.unguarded += 1;
        self.effects.push_back(if strict { Effect::Unsure(mark) } else { Effect::Unguarded(mark) });
    }

    /// A hit that may be repeated without harm was taken here, and is served whatever becomes of this. Its guardians
    /// are told after a while: most are done by then, and those cost nobody anything.
    pub fn take_behind(
        &mut self,
        now: Ns,
        mark: Mark,
        sum: u64,
        ask: Vec<u8>,
        left: Ns,
        guardians: Vec<Life>,
    ) {
        if self.held.contains_key(&mark) || self.kept.contains_key(&mark) {
            return;
        }
        if guardians.is_empty() || self.held.len() >= self.rules.most_held {
            self.unguarded += 1;
            return;
        }
        let record = self.fresh(mark, 0, sum, ask, left, guardians);
        let tells = now + self.rules.lease / 6;
        self.hold(now, record, Some(tells + self.rules.lease.min(left / 2)), tells);
    }

    fn fresh(&self, mark: Mark, term: u32, sum: u64, ask: Vec<u8>, left: Ns, guardians: Vec<Life>) -> Record {
        let (holder, past) = (self.me.clone(), Vec::new());
        Record { mark, holder, term, version: 1, firm: false, guardians, sum, ask, left, past, done: None }
    }

    pub(super) fn hold(&mut self, now: Ns, record: Record, claims: Option<Ns>, tells: Ns) {
        let mark = record.mark;
        let (acks, refused, waits) = (BTreeMap::new(), BTreeSet::new(), Vec::new());
        let strict = false;
        let held =
            Held { record, as_of: now, acks, claims, strict, refused, waits, tells, again: now, times: 0 };
        self.held.insert(mark, held);
        self.say_kept(now, mark);
    }

    /// A claim without enough guardians: where another holds it we wait for that one, else nobody guards.
    pub(super) fn give_up(&mut self, now: Ns, mark: Mark) {
        let Some(held) = self.held.remove(&mark) else { return };
        let Record { term, sum, guardians, .. } = held.record.clone();
        // All of them: one may keep it whose word did not reach us, and would hold up the client's next try.
        guardians.iter().for_each(|guardian| self.say(guardian, Say::Free { mark, term }));
        if held.refused.is_empty() {
            return self.unguarded(mark, held.strict);
        }
        let left = held.record.left.saturating_sub(now - held.as_of);
        self.wait(now, mark, sum, left, guardians);
    }

    /// As a holder or claimant, or while we wait: a guardian knows another holder.
    pub(super) fn other(&mut self, now: Ns, from: &Life, mark: Mark, term: u32, by: &Life, differs: bool) {
        if let Some(waiting) = self.waiting.get_mut(&mark) {
            waiting.known = now;
        }
        let Some(held) = self.held.get_mut(&mark).filter(|held| held.record.guardians.contains(from)) else {
            return;
        };
        if *by == self.me && term <= held.record.term {
            return;
        }
        // To a claim that has moved on to a later term an earlier one is no answer.
        let answers = if held.claims.is_some() { term >= held.record.term } else { term > held.record.term };
        if !answers {
            return;
        }
        held.acks.remove(&from.name);
        held.refused.insert(from.name.clone());
        if held.claims.is_none() {
            // One that was cut off may have asked in vain; more than half of them are the others' majority.
            if held.refused.len() >= held.record.enough() {
                self.lose(now, mark);
            }
            return;
        }
        if differs {
            let (term, guardians) = (held.record.term, held.record.guardians.clone());
            self.held.remove(&mark);
            guardians.iter().for_each(|guardian| self.say(guardian, Say::Free { mark, term }));
            return self.effects.push_back(Effect::Differs(mark));
        }
        if held.strict || held.refused.len() >= held.record.enough() {
            self.give_up(now, mark);
        }
    }

    pub(super) fn full(&mut self, now: Ns, from: &Life, mark: Mark) {
        let Some(held) = self.held.get_mut(&mark).filter(|held| held.claims.is_some()) else { return };
        // Without room at one the others may do; without room at most of them the claim's time decides.
        held.acks.remove(&from.name);
        self.settle(now, mark);
    }
}
