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

use crate::record::{Done, Mark, Past, Record, Say, Went};
use crate::Ns;
use havenplank_fellows::wire::Life;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};

/// Sidecars that wait for one answer at one guardian, at most; a further one is told nothing and asks again.
const WAITERS: usize = 8;

#[derive(Clone, Debug)]
pub struct Rules {
    /// How long a promise lasts. It belongs to what holds while clocks drift less than `drift_ppm`.
    pub lease: Ns,
    /// How fast or slow a clock may run, in millionths.
    pub drift_ppm: u64,
    /// Pieces of work held here with guardians, at most; more are served unguarded and counted.
    pub most_held: usize,
    /// Records kept here for others, at most; more are turned away.
    pub most_kept: usize,
    /// What hits and answers of those records may weigh together, in bytes, as of the last look: beyond it new records
    /// are turned away, and answers that come are not kept, only that they were delivered.
    pub most_bytes: usize,
    /// How long a record stays after its time is up, so that a client that comes back finds its answer.
    pub keep: Ns,
}

impl Default for Rules {
    fn default() -> Rules {
        let ms = 1_000_000;
        Rules {
            lease: 600 * ms,
            drift_ppm: 10_000,
            most_held: 20_000,
            most_kept: 60_000,
            most_bytes: 256 << 20,
            keep: 5_000 * ms,
        }
    }
}

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

/// A guardian's word on one piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
struct Ack {
    version: u32,
    epoch: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    record: Record,
    as_of: Ns,
    acks: BTreeMap<String, Ack>,
    /// Until when a claim may take; none once it stands.
    claims: Option<Ns>,
    /// It may have been in hand elsewhere before, and a repeat could do harm.
    strict: bool,
    /// Guardians that know another holder.
    refused: BTreeSet<String>,
    /// Forwards that wait until the version that tells of them is known.
    waits: Vec<(usize, u32)>,
    /// When guardians are told first.
    tells: Ns,
    /// When what is not acknowledged is said again, and how often it was.
    again: Ns,
    times: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Kept {
    record: Record,
    as_of: Ns,
    /// The latest term that was given a word, and to whom; the record's own where none was.
    term: u32,
    holder: Life,
    waiters: Vec<Life>,
    /// Our own attempt: its term and the records of those that agreed.
    votes: Option<(u32, BTreeMap<String, Record>)>,
    try_at: Ns,
    forget: Ns,
}

/// One that waits here for another's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiting {
    sum: u64,
    guardians: Vec<Life>,
    nothing: BTreeSet<String>,
    /// When a guardian last said that it is in hand.
    known: Ns,
    again: Ns,
    forget: Ns,
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

    fn hold(&mut self, now: Ns, record: Record, claims: Option<Ns>, tells: Ns) {
        let mark = record.mark;
        let (acks, refused, waits) = (BTreeMap::new(), BTreeSet::new(), Vec::new());
        let strict = false;
        let held =
            Held { record, as_of: now, acks, claims, strict, refused, waits, tells, again: now, times: 0 };
        self.held.insert(mark, held);
        self.say_kept(now, mark);
    }

    /// Tells its guardians how a piece of work stands, those that do not know it yet.
    fn say_kept(&mut self, now: Ns, mark: Mark) {
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
    fn settle(&mut self, now: Ns, mark: Mark) {
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

    fn renew(&mut self, now: Ns) {
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
    fn again(&mut self, now: Ns, mark: Mark) {
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

    /// A claim without enough guardians: where another holds it we wait for that one, else nobody guards.
    fn give_up(&mut self, now: Ns, mark: Mark) {
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

    fn wait(&mut self, now: Ns, mark: Mark, sum: u64, left: Ns, guardians: Vec<Life>) {
        let (nothing, known, again) = (BTreeSet::new(), now, now);
        let waiting = Waiting { sum, guardians, nothing, known, again, forget: now.saturating_add(left) };
        self.waiting.insert(mark, waiting);
        self.effects.push_back(Effect::Joined(mark));
        self.wait_again(now, mark);
    }

    fn wait_again(&mut self, now: Ns, mark: Mark) {
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

    /// Promises a holder another span, and says in which epoch.
    fn promise(&mut self, now: Ns, holder: &Life) -> u32 {
        let until = now + self.rules.lease;
        let promised = self.promises.entry(holder.clone()).or_default();
        *promised = (*promised).max(until);
        self.epoch(holder)
    }

    fn epoch(&mut self, holder: &Life) -> u32 {
        *self.epochs.entry(holder.clone()).or_insert(self.turned)
    }

    /// As a guardian: a holder's newest word on its work.
    fn keep(&mut self, now: Ns, from: &Life, mut record: Record, stamp: Ns) {
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

    fn enter(&mut self, now: Ns, record: Record, term: u32, holder: Life) {
        let forget = now.saturating_add(record.left).saturating_add(self.rules.keep);
        let mark = record.mark;
        self.bytes += record.weight();
        let (waiters, votes) = (Vec::new(), None);
        let try_at = if record.firm { now } else { now + self.rules.lease };
        self.kept.insert(mark, Kept { record, as_of: now, term, holder, waiters, votes, try_at, forget });
    }

    /// As a holder: a guardian keeps it.
    fn kept(
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
    fn lease(&mut self, now: Ns, from: &Life, stamp: Ns, epoch: u32) {
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

    /// As a holder or claimant, or while we wait: a guardian knows another holder.
    fn other(&mut self, now: Ns, from: &Life, mark: Mark, term: u32, by: &Life, differs: bool) {
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

    fn full(&mut self, now: Ns, from: &Life, mark: Mark) {
        let Some(held) = self.held.get_mut(&mark).filter(|held| held.claims.is_some()) else { return };
        // Without room at one the others may do; without room at most of them the claim's time decides.
        held.acks.remove(&from.name);
        self.settle(now, mark);
    }

    /// Work that is not held here any more, but stays known here like a record kept for another: where we won it as
    /// one of its guardians, others' majorities count on that; where we took it first, a later claim may have us for a
    /// guardian, and of its majority we may be the only one to know.
    fn retire(&mut self, now: Ns, mark: Mark) -> Option<Record> {
        let held = self.held.remove(&mark)?;
        let record = held.record.later(now - held.as_of);
        self.enter(now, record.clone(), record.term, self.me.clone());
        Some(record)
    }

    /// It is another's now.
    fn lose(&mut self, now: Ns, mark: Mark) {
        let Some(record) = self.retire(now, mark) else { return };
        self.effects.push_back(Effect::Lost(mark));
        let Record { sum, guardians, left, .. } = record;
        let (nothing, known, again) = (BTreeSet::new(), now, now);
        let waiting = Waiting { sum, guardians, nothing, known, again, forget: now.saturating_add(left) };
        self.waiting.insert(mark, waiting);
        self.wait_again(now, mark);
    }

    /// When a guardian may next ask for a piece of work.
    fn turn_of(&self, kept: &Kept) -> Ns {
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
    fn attempt(&mut self, now: Ns, mark: Mark) {
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

    /// Forgets a record whose holder may believe that we keep it: as if our word had been given against it.
    fn drop_kept(&mut self, mark: Mark) {
        if let Some(kept) = self.kept.remove(&mark).filter(|kept| kept.record.done.is_none()) {
            self.turn_from(&kept.holder);
        }
    }

    /// Our word was given against a holder: what it was told before is worth nothing for that work.
    fn turn_from(&mut self, holder: &Life) {
        self.turned += 1;
        self.epochs.insert(holder.clone(), self.turned);
        self.promises.entry(holder.clone()).or_default();
    }

    /// As a guardian: another asks for the work.
    fn vote(&mut self, now: Ns, from: &Life, mark: Mark, term: u32, stamp: Ns) {
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
    fn voted(&mut self, now: Ns, from: &Life, record: Record, term: u32, (stamp, epoch): (Ns, u32)) {
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

    fn count(&mut self, now: Ns, mark: Mark) {
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

    /// As a guardian: one waits for the answer.
    fn waits(&mut self, from: &Life, mark: Mark, sum: u64) {
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
    fn done(&mut self, now: Ns, mark: Mark, term: u32, done: Done) {
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

    fn done_here(&mut self, mark: Mark, done: Option<Done>) {
        if let Some(done) = done.filter(|_| self.waiting.contains_key(&mark)) {
            self.waiting.remove(&mark);
            self.effects.push_back(Effect::Answer(mark, done));
        }
    }

    fn nothing(&mut self, from: &Life, mark: Mark) {
        let Some(waiting) = self.waiting.get_mut(&mark) else { return };
        waiting.nothing.insert(from.name.clone());
        if waiting.guardians.iter().all(|life| *life == self.me || waiting.nothing.contains(&life.name)) {
            self.waiting.remove(&mark);
            self.effects.push_back(Effect::Nobody(mark));
        }
    }
}

impl Held {
    fn change(&mut self, now: Ns, change: impl FnOnce(&mut Record)) {
        self.record = self.record.later(now - self.as_of);
        self.as_of = now;
        change(&mut self.record);
        self.record.version += 1;
        self.times = 0;
    }
}
