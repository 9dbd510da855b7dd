//! The owner's part: requests in flight here, the leases that allow acting on them, and what guardians are told.

use super::waiter::Waiting;
use super::{Effect, Takeover};
use crate::record::{Done, Mark, Past, Record, Say, Went};
use crate::Ns;
use havenplank_fellows::wire::Life;
use std::collections::{BTreeMap, BTreeSet};

/// A guardian's word on one piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub(super) struct Ack {
    pub(super) version: u32,
    pub(super) epoch: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Held {
    pub(super) record: Record,
    pub(super) as_of: Ns,
    pub(super) acks: BTreeMap<String, Ack>,
    /// Until when a claim may take; none once it stands.
    pub(super) claims: Option<Ns>,
    /// It may have been in hand elsewhere before, and a repeat could do harm.
    pub(super) strict: bool,
    /// Guardians that know another holder.
    pub(super) refused: BTreeSet<String>,
    /// Forwards that wait until the version that tells of them is known.
    pub(super) waits: Vec<(usize, u32)>,
    /// When guardians are told first.
    pub(super) tells: Ns,
    /// When what is not acknowledged is said again, and how often it was.
    pub(super) again: Ns,
    pub(super) times: u32,
}

impl Takeover {
    /// Whether a forward of this work may be written at this moment; to be asked right before the write. What lies
    /// between is the caller's: a mutating forward that may have run is never sent again by anyone, and of a tagged
    /// one the pods drop the repeat.
    pub fn may(&self, now: Ns, mark: Mark) -> bool {
        self.held.get(&mark).is_some_and(|held| {
            held.claims.is_none()
                && held.record.done.is_none()
                && self.standing(now, held, 1) >= held.record.enough()
        })
    }

    /// A forward is about to go to a pod; [`Effect::Go`] tells when it may. Its number, from 0.
    pub fn forward(&mut self, now: Ns, mark: Mark, pod: &str) -> Option<usize> {
        let held = self.held.get_mut(&mark)?;
        held.change(now, |record| record.past.push(Past { pod: pod.to_string(), age: 0, went: Went::Out }));
        let nth = held.record.past.len() - 1;
        held.waits.push((nth, held.record.version));
        self.say_kept(now, mark);
        Some(nth)
    }

    /// How a forward ended.
    pub fn went(&mut self, now: Ns, mark: Mark, nth: usize, went: Went) {
        let Some(held) = self.held.get_mut(&mark) else { return };
        held.change(now, |record| {
            if let Some(past) = record.past.get_mut(nth) {
                past.went = went;
            }
        });
        self.say_kept(now, mark);
    }

    /// The final answer is known.
    pub fn finish(&mut self, now: Ns, mark: Mark, done: Done) {
        let Some(held) = self.held.get_mut(&mark) else { return };
        if now < held.tells {
            // Nobody was told.
            self.held.remove(&mark);
            return;
        }
        held.change(now, |record| record.done = Some(done));
        held.waits.clear();
        self.say_kept(now, mark);
    }

    /// Guardians whose promise stands, for what was kept from this version on. Our own word as a guardian counts
    /// like any other's: it lapses, too, unless the loop runs.
    fn standing(&self, now: Ns, held: &Held, version: u32) -> usize {
        let stands = |guardian: &&Life| {
            let ack = held.acks.get(&guardian.name);
            let lease = self.leases.get(&guardian.name);
            ack.zip(lease).is_some_and(|(ack, (until, epoch))| {
                ack.version >= version && ack.epoch == *epoch && now < *until
            })
        };
        held.record.guardians.iter().filter(stands).count()
    }

    /// Tells its guardians how a piece of work stands, those that do not know it yet.
    pub(super) fn say_kept(&mut self, now: Ns, mark: Mark) {
        let Some(held) = self.held.get_mut(&mark) else { return };
        // What a client waits for is said again soon, then less and less often.
        let waited = held.claims.is_some() || !held.waits.is_empty();
        let soon = (self.rules.lease / 24) << held.times.min(3);
        let again = now + if waited { soon } else { self.rules.lease / 3 };
        if now < held.tells {
            held.again = held.tells;
            return;
        }
        held.again = again;
        let record = held.record.later(now - held.as_of);
        let knows =
            |life: &Life, held: &Held| held.acks.get(&life.name).is_some_and(|a| a.version >= record.version);
        let (own, rest): (Vec<Life>, Vec<Life>) = record
            .guardians
            .iter()
            .filter(|life| !knows(life, held))
            .cloned()
            .partition(|life| *life == self.me);
        for guardian in own {
            // We are one of them: known at once. Nobody gives our word against us but ourselves, in `vote`.
            let epoch = 0;
            let ack = Ack { version: record.version, epoch };
            held.acks.insert(guardian.name.clone(), ack);
            self.leases.insert(guardian.name, (now + self.rules.lease, epoch));
        }
        for guardian in rest {
            self.say(&guardian, Say::Keep { record: record.clone(), stamp: now });
        }
        self.settle(now, mark);
    }

    /// What became possible as a guardian answered.
    pub(super) fn settle(&mut self, now: Ns, mark: Mark) {
        let Some(held) = self.held.get(&mark) else { return };
        let enough = held.record.enough();
        let version_known = |version| self.standing(now, held, version) >= enough;
        let all = held.record.guardians.len();
        let claimed = if held.strict { self.standing(now, held, 1) >= all } else { version_known(1) };
        let taken = held.claims.is_some() && claimed;
        let go: Vec<usize> =
            held.waits.iter().filter(|(_, v)| version_known(*v)).map(|(nth, _)| *nth).collect();
        let told = held.record.done.is_some() && {
            let version = held.record.version;
            held.record
                .guardians
                .iter()
                .all(|g| held.acks.get(&g.name).is_some_and(|ack| ack.version >= version))
        };
        let Some(held) = self.held.get_mut(&mark) else { return };
        held.waits.retain(|(nth, _)| !go.contains(nth));
        if taken {
            held.claims = None;
            // Said with the next word on it, which is that of the first forward.
            held.change(now, |record| record.firm = true);
            self.effects.push_back(Effect::Taken(mark));
        }
        self.effects.extend(go.into_iter().map(|nth| Effect::Go(mark, nth)));
        if told {
            self.retire(now, mark);
        }
    }

    pub(super) fn renew(&mut self, now: Ns) {
        if now < self.renew {
            return;
        }
        self.renew = now + self.rules.lease / 3;
        let open = self.held.values().filter(|held| held.record.done.is_none() && now >= held.tells);
        let guardians: BTreeSet<Life> = open.flat_map(|held| held.record.guardians.iter().cloned()).collect();
        for guardian in guardians {
            if guardian == self.me {
                self.leases.insert(guardian.name, (now + self.rules.lease, 0));
            } else {
                self.say(&guardian, Say::Renew { stamp: now });
            }
        }
    }

    /// Says again what was not acknowledged; a claim that took too long ends.
    pub(super) fn again(&mut self, now: Ns, mark: Mark) {
        let Some(held) = self.held.get_mut(&mark) else { return };
        held.times += 1;
        let over = now.saturating_sub(held.as_of) > held.record.left.saturating_add(self.rules.keep);
        if over || (held.record.done.is_some() && held.times > 8) {
            self.retire(now, mark);
            return;
        }
        match held.claims {
            Some(until) if now >= until => self.give_up(now, mark),
            _ => self.say_kept(now, mark),
        }
    }

    /// As a holder: a guardian keeps it.
    pub(super) fn kept(
        &mut self,
        now: Ns,
        from: &Life,
        (mark, term, version): (Mark, u32, u32),
        (stamp, epoch): (Ns, u32),
    ) {
        self.lease(now, from, stamp, epoch);
        let Some(held) = self.held.get_mut(&mark).filter(|held| held.record.term == term) else { return };
        if !held.record.guardians.contains(from) {
            return;
        }
        let ack = held.acks.entry(from.name.clone()).or_default();
        if (epoch, version) > (ack.epoch, ack.version) {
            *ack = Ack { version, epoch };
        }
        self.settle(now, mark);
    }

    /// A promise counts from when it was asked for, and shorter by what two clocks may drift.
    pub(super) fn lease(&mut self, now: Ns, from: &Life, stamp: Ns, epoch: u32) {
        if stamp > now {
            return;
        }
        let drift = self.rules.lease / 1_000_000 * 2 * self.rules.drift_ppm;
        let until = stamp + self.rules.lease.saturating_sub(drift);
        let lease = self.leases.entry(from.name.clone()).or_default();
        if epoch < lease.1 {
            return;
        }
        let voted_away = epoch > lease.1;
        *lease = if voted_away { (until, epoch) } else { (lease.0.max(until), epoch) };
        if voted_away {
            // What it guards for us must be said anew: it may have gone to another.
            let guards =
                |held: &Held| held.record.guardians.contains(from) && held.acks.contains_key(&from.name);
            let marks: Vec<Mark> =
                self.held.iter().filter(|(_, held)| guards(held)).map(|(mark, _)| *mark).collect();
            for mark in marks {
                if let Some(held) = self.held.get_mut(&mark).filter(|h| h.acks[&from.name].epoch < epoch) {
                    held.acks.remove(&from.name);
                    self.say_kept(now, mark);
                }
            }
        }
    }

    /// Work that is not held here any more, but stays known here like a record kept for another: where we won it as
    /// one of its guardians, others' majorities count on that; where we took it first, a later claim may have us for a
    /// guardian, and of its majority we may be the only one to know.
    pub(super) fn retire(&mut self, now: Ns, mark: Mark) -> Option<Record> {
        let held = self.held.remove(&mark)?;
        let record = held.record.later(now - held.as_of);
        self.enter(now, record.clone(), record.term, self.me.clone());
        Some(record)
    }

    /// It is another's now.
    pub(super) fn lose(&mut self, now: Ns, mark: Mark) {
        let Some(record) = self.retire(now, mark) else { return };
        self.effects.push_back(Effect::Lost(mark));
        let Record { sum, guardians, left, .. } = record;
        let (nothing, known, again) = (BTreeSet::new(), now, now);
        let waiting = Waiting { sum, guardians, nothing, known, again, forget: now.saturating_add(left) };
        self.waiting.insert(mark, waiting);
        self.wait_again(now, mark);
    }
}

impl Held {
    pub(super) fn change(&mut self, now: Ns, change: impl FnOnce(&mut Record)) {
        self.record = self.record.later(now - self.as_of);
        self.as_of = now;
        change(&mut self.record);
        self.record.version += 1;
        self.times = 0;
    }
}
