//! Runs the takeover of requests: connects the state machine of `havenplank-takeover` with the messages of the
//! membership, and notifies the requests of this sidecar that wait for decisions of the state machine.

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

/// The kind under which the membership carries takeover messages.
const MESSAGE_KIND: u8 = 2;
/// Wake-ups of the takeover state machine within the duration of one lease.
const TICKS_PER_LEASE: Nanos = 24;
/// Lower bound on the interval between wake-ups.
const SHORTEST_TICK: Duration = Duration::from_millis(2);

/// The reply to a lease request.
#[derive(Debug)]
pub enum LeaseReply {
    /// This sidecar owns the request, and the backups have it.
    Granted,
    /// This sidecar serves the request without backups.
    Unprotected,
    /// The request may be in flight at another sidecar, and the backups that would know cannot be reached.
    Uncertain,
    /// The request already has an outcome.
    Finished(Outcome),
    /// A different request was sent under the same key.
    KeyReused,
    /// No sidecar knows the request any more, or the client's time is up.
    Unknown,
}

/// The status of the takeover for operators.
#[derive(Clone, Debug, Default)]
pub struct TakeoverStatus {
    /// Requests that this sidecar owns.
    pub owned: usize,
    /// Records kept here for other sidecars.
    pub replicas: usize,
    /// Requests of other owners whose outcome is awaited here.
    pub waiting: usize,
    /// Requests served without backups since the start.
    pub unprotected: u64,
    /// Records of other sidecars rejected for lack of room since the start.
    pub rejected_records: u64,
    /// Requests taken over since the start.
    pub taken_over: u64,
}

/// Notifies the owner of a request of changes made by other sidecars.
pub struct OwnerWatch {
    /// Completes when another sidecar has become the owner.
    pub lost: oneshot::Receiver<()>,
    /// Completes with the outcome if another sidecar finishes the request.
    pub outcome: oneshot::Receiver<LeaseReply>,
}

/// Backs up the requests of other sidecars, and has the requests of this sidecar backed up by them.
pub struct TakeoverService {
    membership: Rc<Membership>,
    takeover: RefCell<Takeover>,
    /// The waiting tasks by request. An entry is removed once nothing waits for it. Each client request waits at most
    /// once, and the listener bounds the number of client requests.
    waiters: RefCell<HashMap<RequestId, Waiters>>,
    /// The number of backups of each request.
    backups: usize,
    tick: Duration,
    generated_ids: Cell<u64>,
    /// Each request that is served here holds a clone, so the reference count gives their number. It includes requests
    /// whose client has disconnected, because they continue.
    serving: Rc<()>,
    /// Requests that this sidecar took over and has to finish. There are never more of them than records kept here,
    /// because each record is taken over once.
    taken_over: mpsc::UnboundedSender<Record>,
}

impl TakeoverService {
    /// Starts the service. The receiver yields the requests that this sidecar took over and has to finish.
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

    /// Wakes the takeover state machine at a fixed interval. Most changes arrive in messages; a timer that is set again
    /// after each message would have to scan all records each time.
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
                "ignored an unreadable takeover message"
            ),
        }
    }

    /// Performs all effects that the state machine has queued.
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
            Effect::Joined(id) => self.with_waiters(id, Waiters::wait_for_outcome),
            Effect::AttemptReady(id, attempt) => {
                self.with_waiters(id, |waiters| waiters.notify_attempt_ready(attempt));
            }
            Effect::OwnershipLost(id) => {
                tracing::warn!(
                    request_id = request_id_text(id),
                    "another sidecar took over the request; no more attempts are sent from here"
                );
                self.with_waiters(id, Waiters::notify_lost);
            }
            Effect::Finished(id, outcome) => {
                self.with_waiters(id, |waiters| waiters.reply_finished(&outcome));
            }
            Effect::Unknown(id) => self.with_waiters(id, Waiters::reply_unknown),
            Effect::TakenOver(record) => drop(self.taken_over.send(record)),
        }
    }

    fn reply_to_lease(&self, id: RequestId, reply: LeaseReply) {
        self.with_waiters(id, |waiters| waiters.reply_to_lease(reply));
    }

    /// Changes the waiters of a request, and removes its entry once nothing waits for it.
    fn with_waiters(&self, id: RequestId, change: impl FnOnce(&mut Waiters)) {
        let mut waiters_by_request = self.waiters.borrow_mut();
        let Some(waiters) = waiters_by_request.get_mut(&id) else {
            return;
        };
        change(waiters);
        if !waiters.is_needed() {
            waiters_by_request.remove(&id);
        }
    }

    /// Generates an id for a request that has no client key.
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
            // Distributors of the configuration are members, but they serve no requests.
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

    /// Removes the waiters of a request whose receivers are closed.
    pub fn forget_closed_waiters(&self, id: RequestId) {
        self.with_waiters(id, |_| {});
    }

    /// Watches a request that this sidecar owns, to learn whether another sidecar takes it over.
    pub fn watch(&self, id: RequestId) -> OwnerWatch {
        let (lost_sender, lost) = oneshot::channel();
        let (outcome_sender, outcome) = oneshot::channel();
        let mut waiters_by_request = self.waiters.borrow_mut();
        let waiters = waiters_by_request.entry(id).or_default();
        waiters.lost = Some(lost_sender);
        waiters.outcome.push(outcome_sender);
        OwnerWatch { lost, outcome }
    }

    /// Reports the outcome of a request that this sidecar owns to its backups, and to the repeats of the request that
    /// wait here.
    pub fn finish(&self, id: RequestId, outcome: Outcome) {
        let now = self.membership.now();
        self.takeover.borrow_mut().finish(now, id, outcome.clone());
        self.perform_effects();
        self.perform(Effect::Finished(id, outcome));
    }

    /// Returns whether an attempt of this request may be sent at this moment. Must be called right
    /// before the write, because the lease may expire.
    pub fn may_send(&self, id: RequestId) -> bool {
        self.takeover.borrow().may_send(self.membership.now(), id)
    }

    /// Returns a guard. A request counts as served here as long as its guard is held.
    pub fn serving_guard(&self) -> Rc<()> {
        self.serving.clone()
    }

    /// Returns how many requests are served here or wait for a lease or an outcome. Repeats under one key count each.
    pub fn serving_count(&self) -> usize {
        Rc::strong_count(&self.serving) - 1
    }

    /// Returns the status for operators.
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
