//! Who takes over when a promise has lapsed: attempts, votes, and their count.

use super::backup::Kept;
use super::{Effect, Takeover};
use crate::record::{Mark, Record, Say, Went};
use crate::Ns;
use havenplank_fellows::wire::Life;
use std::collections::BTreeMap;

impl Takeover {
    /// When a guardian may next ask for a piece of work.
    pub(super) fn turn_of(&self, kept: &Kept) -> Ns {
        if kept.record.done.is_some() || !kept.record.guardians.contains(&self.me) {
            return Ns::MAX;
        }
        // What is not firm may have been given up by a holder that lives and renews its other work.
        let promised = self.promises.get(&kept.holder).copied().unwrap_or(0);
        if kept.record.firm {
            kept.try_at.max(promised)
        } else {
            kept.try_at
        }
    }

    /// As a guardian whose promise has lapsed: asks the others for the work.
    pub(super) fn attempt(&mut self, now: Ns, mark: Mark) {
        let rest = self.chance.rand_range(self.rules.lease / 4..self.rules.lease + 1);
        if self.kept.get(&mark).is_some_and(|kept| !kept.record.firm) {
            // Nothing was sent for it that had to be known here, and another claim may come.
            return self.drop_kept(mark);
        }
        let Some(kept) = self.kept.get_mut(&mark) else { return };
        kept.try_at = now + rest;
        // The first look scatters only: others lapse at the same moment, and two that ask at once both lose.
        if kept.votes.is_none() {
            kept.votes = Some((kept.term, BTreeMap::new()));
            let scatter = self.chance.rand_range(0..self.rules.lease / 4 + 1);
            if let Some(kept) = self.kept.get_mut(&mark) {
                kept.try_at = now + scatter;
            }
            return;
        }
        let Some(kept) = self.kept.get_mut(&mark) else { return };
        let (term, old) = (kept.term.saturating_add(1), kept.holder.clone());
        (kept.term, kept.holder) = (term, self.me.clone());
        let record = kept.record.later(now - kept.as_of);
        kept.votes = Some((term, BTreeMap::from([(self.me.name.clone(), record.clone())])));
        let others: Vec<Life> = record.guardians.iter().filter(|life| **life != self.me).cloned().collect();
        self.turn_from(&old);
        for other in others {
            self.say(&other, Say::Vote { mark, term, stamp: now });
        }
        self.count(now, mark);
    }

    /// As a guardian: another asks for the work.
    pub(super) fn vote(&mut self, now: Ns, from: &Life, mark: Mark, term: u32, stamp: Ns) {
        let guards = |record: &Record| record.guardians.contains(from) && record.guardians.contains(&self.me);
        let known = self.held.get(&mark).map(|held| &held.record);
        let known = known.or(self.kept.get(&mark).map(|kept| &kept.record));
        // What is not known here may have been, and forgotten: more than half of them would then agree, and none of
        // them know the last forward.
        if !known.is_some_and(guards) {
            return;
        }
        if let Some(held) = self.held.get(&mark) {
            let (own, by) = (held.record.term, held.record.holder.clone());
            if term <= own || held.record.done.is_some() {
                let say = match held.record.done.clone() {
                    Some(done) => Say::Done { mark, term: own, done },
                    None => Say::Held { mark, term: own, by, differs: false },
                };
                return self.say(from, say);
            }
            if self.may(now, mark) {
                return;
            }
            // We won it once and can no longer act.
            self.retire(now, mark);
            self.effects.push_back(Effect::Lost(mark));
        }
        let Some(kept) = self.kept.get_mut(&mark) else { return };
        if let Some(done) = kept.record.done.clone() {
            let term = kept.term;
            return self.say(from, Say::Done { mark, term, done });
        }
        let promised = self.promises.get(&kept.holder).is_some_and(|until| now < *until);
        if term <= kept.term || (promised && kept.holder != *from) {
            return;
        }
        let old = kept.holder.clone();
        (kept.term, kept.holder, kept.votes) = (term, from.clone(), None);
        let record = kept.record.later(now - kept.as_of);
        self.turn_from(&old);
        let epoch = self.promise(now, from);
        self.say(from, Say::Voted { record, term, stamp, epoch });
    }

    /// Another guardian agrees that we finish it.
    pub(super) fn voted(
        &mut self,
        now: Ns,
        from: &Life,
        record: Record,
        term: u32,
        (stamp, epoch): (Ns, u32),
    ) {
        let mark = record.mark;
        let Some(kept) = self.kept.get_mut(&mark).filter(|kept| kept.term == term && kept.holder == self.me)
        else {
            return;
        };
        if !kept.record.guardians.contains(from) {
            return;
        }
        if let Some((_, votes)) = kept.votes.as_mut().filter(|(own, _)| *own == term) {
            votes.insert(from.name.clone(), record);
        }
        self.lease(now, from, stamp, epoch);
        self.count(now, mark);
    }

    pub(super) fn count(&mut self, now: Ns, mark: Mark) {
        let Some(kept) = self.kept.get(&mark) else { return };
        let Some((term, votes)) = kept.votes.as_ref() else { return };
        if votes.len() < kept.record.enough() {
            return;
        }
        let newest = votes.values().max_by_key(|record| (record.term, record.version));
        let Some(mut record) = newest.cloned() else { return };
        let term = *term;
        self.kept.remove(&mark);
        (record.term, record.version, record.holder) =
            (term, record.version.saturating_add(1), self.me.clone());
        // Whatever was about to go when its holder was lost may have run.
        for past in &mut record.past {
            past.went = if past.went == Went::Out { Went::MayHaveRun } else { past.went };
        }
        self.taken_over += 1;
        self.waiting.remove(&mark);
        self.effects.push_back(Effect::Begin(record.clone()));
        // Those that waited with us ask again by themselves.
        self.hold(now, record, None, now);
    }
}
