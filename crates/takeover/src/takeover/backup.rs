//! The guardian's part: records kept for other sidecars, the promises to their owners, and the epochs of those.

use super::Takeover;
use crate::record::{Done, Mark, Record, Say};
use crate::Ns;
use havenplank_fellows::wire::Life;
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Kept {
    pub(super) record: Record,
    pub(super) as_of: Ns,
    /// The latest term that was given a word, and to whom; the record's own where none was.
    pub(super) term: u32,
    pub(super) holder: Life,
    pub(super) waiters: Vec<Life>,
    /// Our own attempt: its term and the records of those that agreed.
    pub(super) votes: Option<(u32, BTreeMap<String, Record>)>,
    pub(super) try_at: Ns,
    pub(super) forget: Ns,
}

impl Takeover {
    /// Promises a holder another span, and says in which epoch.
    pub(super) fn promise(&mut self, now: Ns, holder: &Life) -> u32 {
        let until = now + self.rules.lease;
        let promised = self.promises.entry(holder.clone()).or_default();
        *promised = (*promised).max(until);
        self.epoch(holder)
    }

    fn epoch(&mut self, holder: &Life) -> u32 {
        *self.epochs.entry(holder.clone()).or_insert(self.turned)
    }

    /// As a guardian: a holder's newest word on its work.
    pub(super) fn keep(&mut self, now: Ns, from: &Life, mut record: Record, stamp: Ns) {
        let (mark, term, version) = (record.mark, record.term, record.version);
        if let Some(Done::Delivered(answer)) = record.done.as_mut().filter(|_| self.is_full()) {
            answer.clear();
        }
        if let Some(held) = self.held.get(&mark) {
            let (by, own) = (held.record.holder.clone(), held.record.term);
            let (differs, done) = (held.record.sum != record.sum, held.record.done.clone());
            if term <= own {
                return match done.filter(|_| !differs) {
                    Some(done) => self.say(from, Say::Done { mark, term: own, done }),
                    None => self.say(from, Say::Held { mark, term: own, by, differs }),
                };
            }
            // A later term can only have been agreed on without us, or follow our bounce: ours is over.
            match done {
                Some(_) => drop(self.retire(now, mark)),
                None => self.lose(now, mark),
            }
        }
        let forget = now.saturating_add(record.left).saturating_add(self.rules.keep);
        let full = self.is_full();
        match self.kept.get_mut(&mark) {
            Some(Kept { record: Record { done: Some(done), sum, .. }, term: own, .. })
                if record.done.is_none()
                    && record.sum == *sum
                    && !(done.reopens() && !record.firm && term > *own) =>
            {
                // It came back to where it was taken, or a takeover crosses the answer.
                let (done, term) = (done.clone(), *own);
                return self.say(from, Say::Done { mark, term, done });
            }
            Some(kept) if term > kept.term || (term == kept.term && kept.holder == *from) => {
                let old = std::mem::replace(&mut kept.holder, from.clone());
                kept.term = term;
                if !kept.record.firm {
                    kept.try_at = now + self.rules.lease;
                }
                let newer = (term, version) > (kept.record.term, kept.record.version);
                if newer {
                    self.bytes += record.weight();
                    (kept.record, kept.as_of, kept.forget) = (record, now, forget);
                }
                if old != *from {
                    self.turn_from(&old);
                }
            }
            Some(kept) => {
                let (own, by) = (kept.term, kept.holder.clone());
                let (differs, done) = (kept.record.sum != record.sum, kept.record.done.clone());
                return match done.filter(|_| !differs) {
                    Some(done) => self.say(from, Say::Done { mark, term: own, done }),
                    None => self.say(from, Say::Held { mark, term: own, by, differs }),
                };
            }
            None if full => {
                self.turned_away += 1;
                return self.say(from, Say::Full { mark });
            }
            None => {
                self.enter(now, record, term, from.clone());
            }
        }
        let epoch = self.promise(now, from);
        self.say(from, Say::Kept { mark, term, version, stamp, epoch });
        if let Some(kept) = self.kept.get_mut(&mark).filter(|kept| kept.record.done.is_some()) {
            let (waiters, done) = (std::mem::take(&mut kept.waiters), kept.record.done.clone());
            for waiter in waiters {
                let done = done.clone().unwrap_or(Done::Errored { again: false });
                self.say(&waiter, Say::Done { mark, term, done });
            }
            self.done_here(mark, done);
        }
    }

    fn is_full(&self) -> bool {
        self.kept.len() >= self.rules.most_kept || self.bytes >= self.rules.most_bytes
    }

    pub(super) fn enter(&mut self, now: Ns, record: Record, term: u32, holder: Life) {
        let forget = now.saturating_add(record.left).saturating_add(self.rules.keep);
        let mark = record.mark;
        self.bytes += record.weight();
        let (waiters, votes) = (Vec::new(), None);
        let try_at = if record.firm { now } else { now + self.rules.lease };
        self.kept.insert(mark, Kept { record, as_of: now, term, holder, waiters, votes, try_at, forget });
    }

    /// Forgets a record whose holder may believe that we keep it: as if our word had been given against it.
    pub(super) fn drop_kept(&mut self, mark: Mark) {
        if let Some(kept) = self.kept.remove(&mark).filter(|kept| kept.record.done.is_none()) {
            self.turn_from(&kept.holder);
        }
    }

    /// Our word was given against a holder: what it was told before is worth nothing for that work.
    pub(super) fn turn_from(&mut self, holder: &Life) {
        self.turned += 1;
        self.epochs.insert(holder.clone(), self.turned);
        self.promises.entry(holder.clone()).or_default();
    }
}
