//! Work in hand and the sidecars that guard it: the takeover's decision on the fellowship, and the hits here that wait
//! for what fellows say.

use crate::membership::Fellowship;
use havenplank_membership::member::MemberId;
use havenplank_settings::{Takeover as Settings, DISTRIBUTOR_ZONE};
use havenplank_takeover::message::Message;
use havenplank_takeover::placement::{choose_backups, Candidate};
use havenplank_takeover::record::{AttemptState, Outcome, Record, RequestId};
use havenplank_takeover::{
    Effect, IncomingRequest, Nanos, RequiredAcks, Rules, TableSizes, Takeover,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{interval, timeout, MissedTickBehavior};

/// The fellowship's kind of message that is ours.
const KIND: u8 = 2;

/// What became of a claim on a piece of work.
#[derive(Debug)]
pub enum Claim {
    /// Ours, and its guardians know.
    Taken,
    /// Ours, though nobody guards it.
    Unguarded,
    /// It may be in hand elsewhere, and those who would know cannot be reached.
    Unsure,
    /// Its answer, by whoever finished it.
    Done(Outcome),
    /// Another hit under the same key.
    Differs,
    /// Whoever had it is gone, or its time is up.
    Nobody,
}

/// Those here that wait for word on one piece of work.
#[derive(Default)]
struct Waits {
    claimant: Option<oneshot::Sender<Claim>>,
    answers: Vec<oneshot::Sender<Claim>>,
    goes: HashMap<usize, oneshot::Sender<()>>,
    lost: Option<oneshot::Sender<()>>,
}

/// What an operator may look at.
#[derive(Clone, Debug, Default)]
pub struct Glance {
    pub held: usize,
    pub kept: usize,
    pub waiting: usize,
    pub unguarded: u64,
    pub turned_away: u64,
    pub taken_over: u64,
}

pub struct Guard {
    fellowship: Rc<Fellowship>,
    takeover: RefCell<Takeover>,
    /// Rows leave once nobody waits any more; one waiter a hit at the door at most, and the door bounds those.
    waits: RefCell<HashMap<RequestId, Waits>>,
    many: usize,
    tick: Duration,
    own_marks: Cell<u64>,
    /// Shared by each hit that is served here, so that it counts them: they go on though their client leaves.
    serving: Rc<()>,
    /// Work to be finished here; no more than records that are kept, each of which begins once.
    begun: mpsc::UnboundedSender<Record>,
}

impl Guard {
    /// Begins to guard. What comes out is work that is to be finished here.
    pub fn start(
        settings: &Settings,
        fellowship: &Rc<Fellowship>,
    ) -> (Rc<Guard>, mpsc::UnboundedReceiver<Record>) {
        let rules = Rules {
            lease: settings.lease,
            max_owned: settings.held,
            max_replicas: settings.kept,
            max_replica_bytes: settings.kept_bytes,
            retention: settings.keep,
            ..Rules::default()
        };
        let (begun, begins) = mpsc::unbounded_channel();
        let me = fellowship.me();
        let guard = Rc::new(Guard {
            takeover: RefCell::new(Takeover::new(
                fellowship.now(),
                me.incarnation,
                me.clone(),
                rules,
            )),
            fellowship: fellowship.clone(),
            waits: RefCell::default(),
            many: settings.guardians,
            tick: Duration::from_nanos(settings.lease / 24).max(Duration::from_millis(2)),
            own_marks: Cell::new(0),
            serving: Rc::default(),
            begun,
        });
        let hears = guard.clone();
        fellowship.reads(KIND, move |from, body| hears.heard(from, body));
        spawn_local(guard.clone().ticks());
        (guard, begins)
    }

    /// What is due is looked at often enough for a lease: what is waited for comes with messages, and a timer set
    /// anew at each of them would look through all records each time.
    async fn ticks(self: Rc<Self>) {
        let mut beat = interval(self.tick);
        beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            beat.tick().await;
            let now = self.fellowship.now();
            self.takeover.borrow_mut().wake(now);
            self.act_all();
        }
    }

    fn heard(&self, from: &MemberId, body: &[u8]) {
        match postcard::from_bytes::<Message>(body) {
            Ok(message) => {
                let now = self.fellowship.now();
                self.takeover.borrow_mut().receive(now, from, message);
                self.act_all();
            }
            Err(_) => tracing::warn!(
                fellow = from.name,
                "word on work in hand passed over: not readable"
            ),
        }
    }

    fn act(&self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                if let Ok(body) = postcard::to_stdvec(&message) {
                    self.fellowship.say(&to, KIND, body);
                }
            }
            Effect::Claimed(mark) => self.claimed(mark, Claim::Taken),
            Effect::Unprotected(mark) => self.claimed(mark, Claim::Unguarded),
            Effect::Uncertain(mark) => self.claimed(mark, Claim::Unsure),
            Effect::KeyReused(mark) => self.claimed(mark, Claim::Differs),
            Effect::Joined(mark) => {
                self.waiting(mark, |waits| waits.answers.extend(waits.claimant.take()))
            }
            Effect::AttemptReady(mark, nth) => self.waiting(mark, |waits| {
                if let Some(go) = waits.goes.remove(&nth) {
                    let _ = go.send(());
                }
            }),
            Effect::Lost(mark) => {
                tracing::warn!(
                    mark = mark_text(mark),
                    "work lost to another: nothing more is sent for it here"
                );
                self.waiting(mark, |waits| {
                    waits.goes.clear();
                    if let Some(lost) = waits.lost.take() {
                        let _ = lost.send(());
                    }
                });
            }
            Effect::Finished(mark, done) => self.waiting(mark, |waits| {
                waits
                    .claimant
                    .take()
                    .into_iter()
                    .chain(waits.answers.drain(..))
                    .for_each(|waits| {
                        let _ = waits.send(Claim::Done(done.clone()));
                    });
                waits.goes.clear();
                if let Some(lost) = waits.lost.take() {
                    let _ = lost.send(());
                }
            }),
            Effect::Unknown(mark) => self.waiting(mark, |waits| {
                waits
                    .answers
                    .drain(..)
                    .for_each(|waits| drop(waits.send(Claim::Nobody)));
            }),
            Effect::TakenOver(record) => drop(self.begun.send(record)),
        }
    }

    fn claimed(&self, mark: RequestId, claim: Claim) {
        self.waiting(mark, |waits| {
            if let Some(claimant) = waits.claimant.take() {
                let _ = claimant.send(claim);
            }
        });
    }

    /// Changes who waits for a piece of work, and forgets it once nobody does.
    fn waiting(&self, mark: RequestId, change: impl FnOnce(&mut Waits)) {
        let mut all = self.waits.borrow_mut();
        let Some(waits) = all.get_mut(&mark) else {
            return;
        };
        change(waits);
        waits.answers.retain(|answer| !answer.is_closed());
        let claims = waits
            .claimant
            .as_ref()
            .is_some_and(|claimant| !claimant.is_closed());
        let holds = waits.lost.as_ref().is_some_and(|lost| !lost.is_closed());
        if !claims && !holds && waits.answers.is_empty() && waits.goes.is_empty() {
            all.remove(&mark);
        }
    }

    /// A mark for a hit that its client cannot name.
    pub fn own_mark(&self) -> RequestId {
        self.own_marks.set(self.own_marks.get() + 1);
        let me = self.fellowship.me();
        let (name, life) = (me.name.as_bytes(), me.incarnation.to_le_bytes());
        mark(&[name, &life, &self.own_marks.get().to_le_bytes()])
    }

    fn backups(&self, mark: RequestId) -> Vec<MemberId> {
        self.fellowship.living(|others| {
            // A distributor of the configuration takes nobody's work over.
            let sidecars = others.filter(|news| news.zone != DISTRIBUTOR_ZONE);
            let others: Vec<Candidate<'_>> = sidecars
                .map(|news| Candidate {
                    id: &news.id,
                    zone: &news.zone,
                })
                .collect();
            choose_backups(mark, &others, self.many)
        })
    }

    /// Claims a piece of work, and waits until it is ours or done: no longer than its client does.
    pub async fn claim(
        self: &Rc<Self>,
        mark: RequestId,
        sum: u64,
        hit: (Vec<u8>, bool),
        left: Nanos,
    ) -> Claim {
        let (guardians, now) = (self.backups(mark), self.fellowship.now());
        let (tell, told) = oneshot::channel();
        let (payload, strict) = hit;
        let required = match strict {
            true => RequiredAcks::All,
            false => RequiredAcks::Majority,
        };
        let incoming = IncomingRequest {
            request: mark,
            digest: sum,
            payload,
            remaining: left,
            backups: guardians,
        };
        self.takeover.borrow_mut().claim(now, incoming, required);
        let mut joined = false;
        loop {
            let effect = self.takeover.borrow_mut().next_effect();
            match effect {
                Some(Effect::Finished(known, done)) if known == mark => return Claim::Done(done),
                Some(Effect::KeyReused(known)) if known == mark => return Claim::Differs,
                Some(Effect::Unprotected(known)) if known == mark => return Claim::Unguarded,
                Some(Effect::Uncertain(known)) if known == mark => return Claim::Unsure,
                Some(Effect::Joined(known)) if known == mark => joined = true,
                Some(effect) => self.act(effect),
                None => break,
            }
        }
        {
            let mut all = self.waits.borrow_mut();
            let waits = all.entry(mark).or_default();
            match joined {
                true => waits.answers.push(tell),
                false => waits.claimant = Some(tell),
            }
        }
        let claim = timeout(Duration::from_nanos(left), told).await;
        // Whoever waited in vain is not told any more.
        self.forget(mark);
        claim.ok().and_then(Result::ok).unwrap_or(Claim::Nobody)
    }

    /// The same without waiting; where another has it, the hit is served all the same, as a repeat does no harm.
    pub fn claim_behind(&self, mark: RequestId, sum: u64, ask: Vec<u8>, left: Nanos) {
        let (guardians, now) = (self.backups(mark), self.fellowship.now());
        let incoming = IncomingRequest {
            request: mark,
            digest: sum,
            payload: ask,
            remaining: left,
            backups: guardians,
        };
        self.takeover
            .borrow_mut()
            .claim_in_background(now, incoming);
        self.act_all();
    }

    /// Forgets whoever waits no more.
    pub fn forget(&self, mark: RequestId) {
        self.waiting(mark, |_| {});
    }

    /// For whoever holds a piece of work: told when it is lost, and its answer if another finishes it.
    pub fn watch(&self, mark: RequestId) -> (oneshot::Receiver<()>, oneshot::Receiver<Claim>) {
        let (lose, lost) = oneshot::channel();
        let (tell, told) = oneshot::channel();
        let mut all = self.waits.borrow_mut();
        let waits = all.entry(mark).or_default();
        waits.lost = Some(lose);
        waits.answers.push(tell);
        (lost, told)
    }

    /// The final answer of work that we hold, for its guardians and for whoever joined it here.
    pub fn finish(&self, mark: RequestId, done: Outcome) {
        let now = self.fellowship.now();
        self.takeover.borrow_mut().finish(now, mark, done.clone());
        self.act_all();
        self.act(Effect::Finished(mark, done));
    }

    /// Everything that a call left.
    fn act_all(&self) {
        loop {
            let effect = self.takeover.borrow_mut().next_effect();
            let Some(effect) = effect else { return };
            self.act(effect);
        }
    }

    /// Tells the guardians of a forward, and where `wait` says so waits until they know. `None` where it may not go.
    pub async fn before(self: &Rc<Self>, mark: RequestId, pod: &str, wait: bool) -> Option<Going> {
        let (go, gone) = oneshot::channel();
        let now = self.fellowship.now();
        let nth = self.takeover.borrow_mut().begin_attempt(now, mark, pod)?;
        let going = Going {
            guard: self.clone(),
            mark,
            nth,
            sent: Cell::new(false),
            told: Cell::new(false),
        };
        if wait {
            self.waits
                .borrow_mut()
                .entry(mark)
                .or_default()
                .goes
                .insert(nth, go);
        }
        self.act_all();
        if wait {
            gone.await.ok()?;
        }
        Some(going)
    }

    /// Whether a forward of this work may be written at this moment.
    pub fn may(&self, mark: RequestId) -> bool {
        self.takeover.borrow().may_send(self.fellowship.now(), mark)
    }

    /// To be held as long as a hit is served.
    pub fn serving(&self) -> Rc<()> {
        self.serving.clone()
    }

    /// Hits that are claimed, joined or served, also those under one key.
    pub fn hits(&self) -> usize {
        Rc::strong_count(&self.serving) - 1
    }

    pub fn glance(&self) -> Glance {
        let takeover = self.takeover.borrow();
        let TableSizes {
            owned: held,
            replicas: kept,
            waiting,
        } = takeover.table_sizes();
        let (unguarded, turned_away) = (takeover.unprotected, takeover.rejected_records);
        let taken_over = takeover.taken_over;
        Glance {
            held,
            kept,
            waiting,
            unguarded,
            turned_away,
            taken_over,
        }
    }
}

/// One forward that guardians were told of; whatever becomes of the task that carries it, they hear how it went.
pub struct Going {
    guard: Rc<Guard>,
    mark: RequestId,
    nth: usize,
    sent: Cell<bool>,
    told: Cell<bool>,
}

impl Going {
    /// From here on it may have run.
    pub fn sent(&self, sent: bool) {
        self.sent.set(sent);
    }

    /// The pod's answer proves that it never ran.
    pub fn never_ran(&self) {
        self.sent.set(false);
    }

    /// It is the final answer, which says it all.
    pub fn delivered(&self) {
        self.told.set(true);
    }
}

impl Drop for Going {
    fn drop(&mut self) {
        if !self.told.get() {
            let now = self.guard.fellowship.now();
            let went = if self.sent.get() {
                AttemptState::MayHaveRun
            } else {
                AttemptState::NeverRan
            };
            self.guard
                .takeover
                .borrow_mut()
                .end_attempt(now, self.mark, self.nth, went);
            self.guard.act_all();
        }
    }
}

/// Of these parts, told apart by their lengths.
pub fn mark(parts: &[&[u8]]) -> RequestId {
    let mut hash = blake3::Hasher::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.finalize().as_bytes()[..16]);
    RequestId::from_le_bytes(bytes)
}

pub fn mark_text(mark: RequestId) -> String {
    format!("{mark:032x}")
}
