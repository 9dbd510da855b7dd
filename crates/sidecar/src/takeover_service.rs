//! The takeover of requests among sidecars: its decisions on the membership's sockets, and the requests here that wait
//! for what they decide.

use crate::membership::Membership;
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

/// The membership's kind of message that is ours.
const MESSAGE_KIND: u8 = 2;
/// How often within a lease it is looked at what is due.
const TICKS_PER_LEASE: Nanos = 24;
const SHORTEST_TICK: Duration = Duration::from_millis(2);

/// The answer to a lease request.
#[derive(Debug)]
pub enum LeaseReply {
    /// Ours, and its backups know.
    Granted,
    /// Ours, though nobody backs it up.
    Unprotected,
    /// It may be in flight elsewhere, and those who would know cannot be reached.
    Uncertain,
    /// It has its outcome, by whoever finished it.
    Finished(Outcome),
    /// Another request under the same key.
    KeyReused,
    /// Whoever had it is gone, or its time is up.
    Unknown,
}

/// Those here that wait for word on one request.
#[derive(Default)]
struct Waiters {
    lease: Option<oneshot::Sender<LeaseReply>>,
    outcome: Vec<oneshot::Sender<LeaseReply>>,
    attempt_ready: HashMap<usize, oneshot::Sender<()>>,
    lost: Option<oneshot::Sender<()>>,
}

impl Waiters {
    fn reply_to_lease(&mut self, reply: LeaseReply) {
        if let Some(waiter) = self.lease.take() {
            let _ = waiter.send(reply);
        }
    }

    /// Waits for the outcome in place of the lease, as another sidecar owns the request.
    fn join(&mut self) {
        self.outcome.extend(self.lease.take());
    }

    fn attempt_ready(&mut self, attempt: usize) {
        if let Some(waiter) = self.attempt_ready.remove(&attempt) {
            let _ = waiter.send(());
        }
    }

    fn lose(&mut self) {
        self.attempt_ready.clear();
        if let Some(waiter) = self.lost.take() {
            let _ = waiter.send(());
        }
    }

    fn finish(&mut self, outcome: &Outcome) {
        let waiters = self.lease.take().into_iter().chain(self.outcome.drain(..));
        for waiter in waiters {
            let _ = waiter.send(LeaseReply::Finished(outcome.clone()));
        }
        self.lose();
    }

    fn give_up(&mut self) {
        for waiter in self.outcome.drain(..) {
            let _ = waiter.send(LeaseReply::Unknown);
        }
    }

    /// Drops whoever went away, and returns whether anybody is left.
    fn is_needed(&mut self) -> bool {
        self.outcome.retain(|waiter| !waiter.is_closed());
        let leases = self
            .lease
            .as_ref()
            .is_some_and(|waiter| !waiter.is_closed());
        let owns = self.lost.as_ref().is_some_and(|waiter| !waiter.is_closed());
        leases || owns || !self.outcome.is_empty() || !self.attempt_ready.is_empty()
    }
}

/// What an operator may look at.
#[derive(Clone, Debug, Default)]
pub struct TakeoverStatus {
    /// Requests owned here.
    pub owned: usize,
    /// Records of others kept here.
    pub replicas: usize,
    /// Requests whose outcome is waited for here.
    pub waiting: usize,
    /// Requests served without backups since the start.
    pub unprotected: u64,
    /// Records of others rejected for want of room since the start.
    pub rejected_records: u64,
    /// Requests taken over since the start.
    pub taken_over: u64,
}

/// A request for which a lease is asked.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRequest<'a> {
    /// Names the request among sidecars.
    pub id: RequestId,
    /// Hash of what was asked.
    pub digest: u64,
    /// The request as its backups keep it.
    pub payload: &'a [u8],
    /// Whether it must not run twice, whatever that costs.
    pub exactly_once: bool,
    /// Time left until its client gives up.
    pub remaining: Nanos,
}

/// What the owner of a request is notified of.
pub struct OwnerWatch {
    /// Another sidecar owns it now.
    pub lost: oneshot::Receiver<()>,
    /// Its outcome, if another finishes it.
    pub outcome: oneshot::Receiver<LeaseReply>,
}

/// Backs up other sidecars' requests, and has them back up those of this one.
pub struct TakeoverService {
    membership: Rc<Membership>,
    takeover: RefCell<Takeover>,
    /// Entries leave once nobody waits any more; one waiter a request at most, and the listener bounds those.
    waiters: RefCell<HashMap<RequestId, Waiters>>,
    /// Backups of a request.
    backups: usize,
    tick: Duration,
    generated_ids: Cell<u64>,
    /// Shared by each request that is served here, so that it counts them: they go on though their client leaves.
    serving: Rc<()>,
    /// Requests to be finished here; no more than records that are kept, each of which begins once.
    taken_over: mpsc::UnboundedSender<Record>,
}

impl TakeoverService {
    /// Starts backing up. What comes out are requests that are to be finished here.
    pub fn start(
        settings: &Settings,
        membership: &Rc<Membership>,
    ) -> (Rc<TakeoverService>, mpsc::UnboundedReceiver<Record>) {
        let rules = Rules {
            lease: settings.lease,
            max_owned: settings.held,
            max_replicas: settings.kept,
            max_replica_bytes: settings.kept_bytes,
            retention: settings.keep,
            ..Rules::default()
        };
        let (sender, taken_over) = mpsc::unbounded_channel();
        let me = membership.me();
        let takeover = Takeover::new(membership.now(), me.incarnation, me.clone(), rules);
        let service = Rc::new(TakeoverService {
            takeover: RefCell::new(takeover),
            membership: membership.clone(),
            waiters: RefCell::default(),
            backups: settings.guardians,
            tick: Duration::from_nanos(settings.lease / TICKS_PER_LEASE).max(SHORTEST_TICK),
            generated_ids: Cell::new(0),
            serving: Rc::default(),
            taken_over: sender,
        });
        let receiver = service.clone();
        membership.on_message(MESSAGE_KIND, move |from, body| receiver.receive(from, body));
        spawn_local(service.clone().run_timers());
        (service, taken_over)
    }

    /// Looks at what is due often enough for a lease: what is waited for comes with messages, and a timer set anew at
    /// each of them would look through all records each time.
    async fn run_timers(self: Rc<Self>) {
        let mut ticks = interval(self.tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let now = self.membership.now();
            self.takeover.borrow_mut().wake(now);
            self.perform_effects();
        }
    }

    fn receive(&self, from: &MemberId, body: &[u8]) {
        match postcard::from_bytes::<Message>(body) {
            Ok(message) => {
                let now = self.membership.now();
                self.takeover.borrow_mut().receive(now, from, message);
                self.perform_effects();
            }
            Err(error) => tracing::warn!(
                peer = from.name,
                %error,
                "takeover message passed over: not readable"
            ),
        }
    }

    /// Carries out all that a call left to do.
    fn perform_effects(&self) {
        loop {
            let effect = self.takeover.borrow_mut().next_effect();
            let Some(effect) = effect else { return };
            self.perform(effect);
        }
    }

    fn perform(&self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                if let Ok(body) = postcard::to_stdvec(&message) {
                    self.membership.send(&to, MESSAGE_KIND, body);
                }
            }
            Effect::Claimed(id) => self.reply_to_lease(id, LeaseReply::Granted),
            Effect::Unprotected(id) => self.reply_to_lease(id, LeaseReply::Unprotected),
            Effect::Uncertain(id) => self.reply_to_lease(id, LeaseReply::Uncertain),
            Effect::KeyReused(id) => self.reply_to_lease(id, LeaseReply::KeyReused),
            Effect::Joined(id) => self.with_waiters(id, Waiters::join),
            Effect::AttemptReady(id, attempt) => {
                self.with_waiters(id, |waiters| waiters.attempt_ready(attempt));
            }
            Effect::Lost(id) => {
                tracing::warn!(
                    mark = request_id_text(id),
                    "work lost to another: nothing more is sent for it here"
                );
                self.with_waiters(id, Waiters::lose);
            }
            Effect::Finished(id, outcome) => {
                self.with_waiters(id, |waiters| waiters.finish(&outcome));
            }
            Effect::Unknown(id) => self.with_waiters(id, Waiters::give_up),
            Effect::TakenOver(record) => drop(self.taken_over.send(record)),
        }
    }

    fn reply_to_lease(&self, id: RequestId, reply: LeaseReply) {
        self.with_waiters(id, |waiters| waiters.reply_to_lease(reply));
    }

    /// Changes who waits for a request, and forgets it once nobody does.
    fn with_waiters(&self, id: RequestId, change: impl FnOnce(&mut Waiters)) {
        let mut all = self.waiters.borrow_mut();
        let Some(waiters) = all.get_mut(&id) else {
            return;
        };
        change(waiters);
        if !waiters.is_needed() {
            all.remove(&id);
        }
    }

    /// Generates an id for a request that its client cannot name.
    pub fn generate_request_id(&self) -> RequestId {
        let number = self.generated_ids.get() + 1;
        self.generated_ids.set(number);
        let me = self.membership.me();
        request_id(&[
            me.name.as_bytes(),
            &me.incarnation.to_le_bytes(),
            &number.to_le_bytes(),
        ])
    }

    fn backups_of(&self, id: RequestId) -> Vec<MemberId> {
        self.membership.with_living(|others| {
            // A distributor of the configuration takes nobody's work over.
            let sidecars = others.filter(|news| news.zone != DISTRIBUTOR_ZONE);
            let candidates: Vec<Candidate<'_>> = sidecars
                .map(|news| Candidate {
                    id: &news.id,
                    zone: &news.zone,
                })
                .collect();
            choose_backups(id, &candidates, self.backups)
        })
    }

    /// Asks for the lease on a request, and waits until it is ours or has its outcome: no longer than its client does.
    pub async fn request_lease(&self, request: LeaseRequest<'_>) -> LeaseReply {
        let LeaseRequest { id, remaining, .. } = request;
        let (sender, reply) = oneshot::channel();
        match self.begin_lease_request(request) {
            Begun::Replied(reply) => return reply,
            Begun::Waits => self.waiters.borrow_mut().entry(id).or_default().lease = Some(sender),
            Begun::Joined => {
                let mut all = self.waiters.borrow_mut();
                all.entry(id).or_default().outcome.push(sender);
            }
        }
        let reply = timeout(Duration::from_nanos(remaining), reply).await;
        // Whoever waited in vain is not notified any more.
        self.forget_closed_waiters(id);
        reply
            .ok()
            .and_then(Result::ok)
            .unwrap_or(LeaseReply::Unknown)
    }

    fn begin_lease_request(&self, request: LeaseRequest<'_>) -> Begun {
        let LeaseRequest { id, .. } = request;
        let required = match request.exactly_once {
            true => RequiredAcks::All,
            false => RequiredAcks::Majority,
        };
        let incoming = self.incoming(&request);
        let now = self.membership.now();
        self.takeover.borrow_mut().claim(now, incoming, required);
        let mut begun = Begun::Waits;
        loop {
            let effect = self.takeover.borrow_mut().next_effect();
            let reply = match effect {
                Some(Effect::Finished(known, outcome)) if known == id => {
                    LeaseReply::Finished(outcome)
                }
                Some(Effect::KeyReused(known)) if known == id => LeaseReply::KeyReused,
                Some(Effect::Unprotected(known)) if known == id => LeaseReply::Unprotected,
                Some(Effect::Uncertain(known)) if known == id => LeaseReply::Uncertain,
                Some(Effect::Joined(known)) if known == id => {
                    begun = Begun::Joined;
                    continue;
                }
                Some(effect) => {
                    self.perform(effect);
                    continue;
                }
                None => return begun,
            };
            return Begun::Replied(reply);
        }
    }

    /// Asks for the lease without waiting; where another has it, the request is served all the same, as a repeat does
    /// no harm.
    pub fn request_lease_in_background(&self, request: LeaseRequest<'_>) {
        let incoming = self.incoming(&request);
        let now = self.membership.now();
        self.takeover
            .borrow_mut()
            .claim_in_background(now, incoming);
        self.perform_effects();
    }

    /// Returns a request as the decisions take it, with its backups.
    fn incoming(&self, request: &LeaseRequest<'_>) -> IncomingRequest {
        IncomingRequest {
            request: request.id,
            digest: request.digest,
            payload: request.payload.to_vec(),
            remaining: request.remaining,
            backups: self.backups_of(request.id),
        }
    }

    /// Forgets whoever waits no more for a request.
    pub fn forget_closed_waiters(&self, id: RequestId) {
        self.with_waiters(id, |_| {});
    }

    /// Watches a request that is owned here.
    pub fn watch(&self, id: RequestId) -> OwnerWatch {
        let (lose, lost) = oneshot::channel();
        let (finish, outcome) = oneshot::channel();
        let mut all = self.waiters.borrow_mut();
        let waiters = all.entry(id).or_default();
        waiters.lost = Some(lose);
        waiters.outcome.push(finish);
        OwnerWatch { lost, outcome }
    }

    /// Tells the outcome of a request that is owned here to its backups and to whoever joined it here.
    pub fn finish(&self, id: RequestId, outcome: Outcome) {
        let now = self.membership.now();
        self.takeover.borrow_mut().finish(now, id, outcome.clone());
        self.perform_effects();
        self.perform(Effect::Finished(id, outcome));
    }

    /// Tells the backups of an attempt, and where `wait` says so waits until they know. `None` where it may not be
    /// sent.
    pub async fn announce_attempt(
        self: &Rc<Self>,
        id: RequestId,
        pod: &str,
        wait: bool,
    ) -> Option<AnnouncedAttempt> {
        let now = self.membership.now();
        let attempt = self.takeover.borrow_mut().begin_attempt(now, id, pod)?;
        let announced = AnnouncedAttempt {
            service: self.clone(),
            id,
            attempt,
            sent: Cell::new(false),
            served: Cell::new(false),
        };
        let ready = wait.then(|| self.wait_for_backups(id, attempt));
        self.perform_effects();
        if let Some(ready) = ready {
            ready.await.ok()?;
        }
        Some(announced)
    }

    fn wait_for_backups(&self, id: RequestId, attempt: usize) -> oneshot::Receiver<()> {
        let (sender, ready) = oneshot::channel();
        let mut all = self.waiters.borrow_mut();
        let waiters = all.entry(id).or_default();
        waiters.attempt_ready.insert(attempt, sender);
        ready
    }

    /// Returns whether an attempt of this request may be written at this moment.
    pub fn may_send(&self, id: RequestId) -> bool {
        self.takeover.borrow().may_send(self.membership.now(), id)
    }

    /// Counts a request as served here for as long as this is held.
    pub fn count_serving(&self) -> Rc<()> {
        self.serving.clone()
    }

    /// Returns how many requests wait for a lease or an outcome or are served, also those under one key.
    pub fn serving(&self) -> usize {
        Rc::strong_count(&self.serving) - 1
    }

    /// Returns what an operator may look at.
    pub fn status(&self) -> TakeoverStatus {
        let takeover = self.takeover.borrow();
        let TableSizes {
            owned,
            replicas,
            waiting,
        } = takeover.table_sizes();
        TakeoverStatus {
            owned,
            replicas,
            waiting,
            unprotected: takeover.unprotected,
            rejected_records: takeover.rejected_records,
            taken_over: takeover.taken_over,
        }
    }
}

/// How far a lease request came at once.
enum Begun {
    Replied(LeaseReply),
    /// Backups are asked.
    Waits,
    /// Another sidecar owns it, and tells its outcome.
    Joined,
}

/// One attempt that was announced to backups; whatever becomes of the task that carries it, they learn how it ended.
pub struct AnnouncedAttempt {
    service: Rc<TakeoverService>,
    id: RequestId,
    attempt: usize,
    sent: Cell<bool>,
    served: Cell<bool>,
}

impl AnnouncedAttempt {
    /// Notes whether it may have run from here on.
    pub fn set_sent(&self, sent: bool) {
        self.sent.set(sent);
    }

    /// Notes that the pod's answer proves that it never ran.
    pub fn never_ran(&self) {
        self.sent.set(false);
    }

    /// Notes that its response is the final answer, which says it all.
    pub fn served(&self) {
        self.served.set(true);
    }
}

impl Drop for AnnouncedAttempt {
    fn drop(&mut self) {
        if self.served.get() {
            return;
        }
        let now = self.service.membership.now();
        let state = if self.sent.get() {
            AttemptState::MayHaveRun
        } else {
            AttemptState::NeverRan
        };
        let mut takeover = self.service.takeover.borrow_mut();
        takeover.end_attempt(now, self.id, self.attempt, state);
        drop(takeover);
        self.service.perform_effects();
    }
}

/// Hashes these parts to a request id; parts are told apart by their lengths.
pub fn request_id(parts: &[&[u8]]) -> RequestId {
    let mut hash = blake3::Hasher::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.finalize().as_bytes()[..16]);
    RequestId::from_le_bytes(bytes)
}

/// Formats a request id for the log.
pub fn request_id_text(id: RequestId) -> String {
    format!("{id:032x}")
}
