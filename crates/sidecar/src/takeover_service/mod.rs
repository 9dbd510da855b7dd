//! The takeover of requests among sidecars: its decisions on the membership's sockets, and the requests here that wait
//! for what they decide.

mod announcement;
mod lease;
mod request_id;
mod waiters;

pub use announcement::AnnouncedAttempt;
pub use lease::LeaseRequest;
pub use request_id::{request_id, request_id_text};

use crate::membership::Membership;
use havenplank_membership::member::MemberId;
use havenplank_settings::{TakeoverSettings as Settings, DISTRIBUTOR_ZONE};
use havenplank_takeover::message::Message;
use havenplank_takeover::placement::{choose_backups, Candidate};
use havenplank_takeover::record::{Outcome, Record, RequestId};
use havenplank_takeover::{Effect, Nanos, Rules, TableSizes, Takeover};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{interval, MissedTickBehavior};
use waiters::Waiters;

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
            max_owned: settings.max_in_flight,
            max_replicas: settings.max_records,
            max_replica_bytes: settings.max_record_bytes,
            retention: settings.response_retention,
            ..Rules::default()
        };
        let (sender, taken_over) = mpsc::unbounded_channel();
        let me = membership.me();
        let takeover = Takeover::new(membership.now(), me.incarnation, me.clone(), rules);
        let service = Rc::new(TakeoverService {
            takeover: RefCell::new(takeover),
            membership: membership.clone(),
            waiters: RefCell::default(),
            backups: settings.backups,
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
        self.membership.with_alive_members(|others| {
            // A distributor of the configuration takes nobody's work over.
            let sidecars = others.filter(|member| member.zone != DISTRIBUTOR_ZONE);
            let candidates: Vec<Candidate<'_>> = sidecars
                .map(|member| Candidate {
                    id: &member.id,
                    zone: &member.zone,
                })
                .collect();
            choose_backups(id, &candidates, self.backups)
        })
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

    /// Returns whether an attempt of this request may be written at this moment.
    pub fn may_send(&self, id: RequestId) -> bool {
        self.takeover.borrow().may_send(self.membership.now(), id)
    }

    /// Counts a request as served here for as long as this is held.
    pub fn serving_guard(&self) -> Rc<()> {
        self.serving.clone()
    }

    /// Returns how many requests wait for a lease or an outcome or are served, also those under one key.
    pub fn serving_count(&self) -> usize {
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
