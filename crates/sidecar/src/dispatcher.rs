//! What every shell shares: one engine, its clock and wakes, and the hits that wait for their final answer.

use crate::engine::{Effect, Engine, EngineStatus, RequestAttributes, EPOCH};
use crate::route_slots::Slot;
use havenplank::interface::*;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use std::cell::{Cell, Ref, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::ops::Deref;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep_until, timeout};

/// A protocol around the engine: how its effects leave. It decides nothing.
pub trait Transport: Sized + 'static {
    /// A hit as it will be sent, as often as it must be.
    type Request: 'static;
    /// A final answer on its way to the client.
    type Response: 'static;

    /// Carries one forward out and tells [`Hub::ended`] once how it ended.
    fn send_attempt(
        dispatcher: Rc<Dispatcher<Self>>,
        ask: Rc<Self::Request>,
        nth: (RequestId, u32),
        pod: PodId,
        time_out: Nanos,
    ) -> impl Future<Output = ()> + 'static;
    fn rejected(&self, retry_after: Nanos) -> Self::Response;
    fn failed(&self, late: bool) -> Self::Response;
    /// Sends a vote and sees to it that [`Engine::voted`] hears of its end.
    fn cast_vote(
        dispatcher: &Rc<Dispatcher<Self>>,
        vote: u64,
        build: Build,
        stage: usize,
        voice: Vote,
    );
    /// Sends a probe and sees to it that [`Engine::probed`] hears of its end.
    fn health_check(dispatcher: &Rc<Dispatcher<Self>>, probe: u64, pod: PodId);
    fn poll_endpoints(dispatcher: &Rc<Dispatcher<Self>>);
    fn watch_endpoints(dispatcher: &Rc<Dispatcher<Self>>, on: bool);
}

/// How a forward ended, with the answer where there is one.
pub struct AttemptResult<A> {
    pub end: AttemptEnd,
    pub load: Option<LoadReport>,
    pub response: Option<A>,
}

impl<A> From<AttemptEnd> for AttemptResult<A> {
    fn from(end: AttemptEnd) -> AttemptResult<A> {
        AttemptResult {
            end,
            load: None,
            response: None,
        }
    }
}

struct PendingResponse<T: Transport> {
    ask: Rc<T::Request>,
    answer: oneshot::Sender<T::Response>,
    forwards: Vec<(AbortHandle, Instant)>,
}

/// The engine is borrowed for one call at a time and never across an await. What the protocol keeps for
/// itself is reached as if it were the hub's own.
pub struct Dispatcher<T: Transport> {
    transport: T,
    began: Instant,
    engine: RefCell<Engine>,
    /// Hits that wait for their final answer; the door's limit bounds it.
    waiting: RefCell<HashMap<RequestId, PendingResponse<T>>>,
    /// What the ticker sleeps to, and how it is told of something earlier.
    armed: Cell<Nanos>,
    rearm: Notify,
}

impl<T: Transport> Deref for Dispatcher<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.transport
    }
}

impl<T: Transport> Dispatcher<T> {
    pub fn new(engine: Engine, transport: T) -> Rc<Dispatcher<T>> {
        Rc::new(Dispatcher {
            transport,
            began: Instant::now(),
            engine: RefCell::new(engine),
            waiting: RefCell::default(),
            armed: Cell::new(0),
            rearm: Notify::new(),
        })
    }

    fn now(&self) -> Nanos {
        EPOCH + self.began.elapsed().as_nanos() as Nanos
    }

    /// One call into the engine, then all that it left to do.
    pub fn call<R>(self: &Rc<Self>, work: impl FnOnce(&mut Engine, Nanos) -> R) -> R {
        let done = work(&mut self.engine.borrow_mut(), self.now());
        self.perform_effects();
        done
    }

    /// Puts routes in force between two requests; see [`Engine::set_routes`].
    pub fn set_routes(&self, routes: &[(String, RouteClass)]) -> Vec<Slot> {
        self.engine.borrow_mut().set_routes(self.now(), routes)
    }

    /// A look at the engine that changes nothing.
    pub fn engine(&self) -> Ref<'_, Engine> {
        self.engine.borrow()
    }

    /// Wakes the engine when it asked for it; never ends.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.engine().next_timer();
            self.armed.set(next.unwrap_or(Nanos::MAX));
            let at = next.map(|at| self.began + Duration::from_nanos(at.saturating_sub(EPOCH)));
            tokio::select! {
                () = sleep_until(at.unwrap_or(Instant::now() + Duration::from_secs(3600)).into()) => {
                    self.call(|engine, now| engine.run_timers(now));
                }
                () = self.rearm.notified() => {}
            }
        }
    }

    fn perform_effects(self: &Rc<Self>) {
        loop {
            let effect = self.engine.borrow_mut().next_effect();
            let Some(effect) = effect else { break };
            self.perform(effect);
        }
        let next = self.engine().next_timer().unwrap_or(Nanos::MAX);
        if next < self.armed.replace(next) {
            self.rearm.notify_one();
        }
    }

    fn perform(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::SendAttempt {
                request: hit,
                attempt: nth,
                pod,
                timeout: time_out,
            } => {
                let mut waiting = self.waiting.borrow_mut();
                if let Some(waits) = waiting.get_mut(&hit) {
                    let forward =
                        T::send_attempt(self.clone(), waits.ask.clone(), (hit, nth), pod, time_out);
                    waits
                        .forwards
                        .push((spawn_local(forward).abort_handle(), Instant::now()));
                }
            }
            Effect::CancelAttempt {
                request: hit,
                attempt: nth,
            } => {
                let waiting = self.waiting.borrow();
                let task = waiting
                    .get(&hit)
                    .and_then(|waits| waits.forwards.get(nth as usize))
                    .cloned();
                drop(waiting);
                self.cancel_attempt(hit, nth, task);
            }
            Effect::Reject {
                request: hit,
                retry_after,
            } => {
                tracing::debug!(hit, come_back_us = retry_after / 1_000, "bounced");
                self.respond(hit, self.transport.rejected(retry_after));
            }
            Effect::Fail {
                request: hit,
                timed_out: late,
            } => {
                tracing::debug!(hit, late, "errored");
                self.respond(hit, self.transport.failed(late));
            }
            Effect::CastVote {
                id: vote,
                build,
                stage,
                vote: voice,
            } => {
                tracing::info!(vote, build, stage, ?voice, "vote");
                T::cast_vote(self, vote, build, stage, voice);
            }
            Effect::HealthCheck { check: probe, pod } => T::health_check(self, probe, pod),
            Effect::PollEndpoints => T::poll_endpoints(self),
            Effect::WatchEndpoints(on) => T::watch_endpoints(self, on),
            Effect::Log(line) => tracing::info!(decision = line, "decided"),
        }
    }

    /// Ends a forward that is out: its connection closes with its task.
    fn cancel_attempt(
        self: &Rc<Self>,
        hit: RequestId,
        nth: u32,
        task: Option<(AbortHandle, Instant)>,
    ) {
        if let Some((task, began)) = task.filter(|(task, _)| !task.is_finished()) {
            task.abort();
            let took = began.elapsed().as_nanos() as Nanos;
            self.attempt_ended((hit, nth), AttemptEnd::Cancelled, took, None, None);
        }
    }

    pub fn dispatch(
        self: &Rc<Self>,
        asked: RequestAttributes,
        ask: T::Request,
        answer: oneshot::Sender<T::Response>,
    ) -> RequestId {
        self.dispatch_resumed(None, asked, Rc::new(ask), answer)
    }

    /// Takes a hit; with a past, one that another sidecar took and forwarded so.
    pub fn dispatch_resumed(
        self: &Rc<Self>,
        past: Option<Vec<PriorAttempt>>,
        asked: RequestAttributes,
        ask: Rc<T::Request>,
        answer: oneshot::Sender<T::Response>,
    ) -> RequestId {
        if let Some(past) = past {
            self.engine
                .borrow_mut()
                .resume_next_request(self.now(), past);
        }
        let hit = self.engine.borrow_mut().handle_request(self.now(), asked);
        let waits = PendingResponse {
            ask,
            answer,
            forwards: Vec::new(),
        };
        self.waiting.borrow_mut().insert(hit, waits);
        self.perform_effects();
        hit
    }

    /// The client's side of a hit is over, by its answer or without; forwards that are out go on.
    pub fn client_left(self: &Rc<Self>, hit: RequestId) {
        if self.waiting.borrow_mut().remove(&hit).is_some() {
            self.call(|engine, now| engine.client_left(now, hit));
        }
    }

    /// The same where the protocol says that a client that closed wants nothing more: its forwards end, too.
    pub fn client_gone(self: &Rc<Self>, hit: RequestId) {
        let waits = self.waiting.borrow_mut().remove(&hit);
        let Some(waits) = waits else { return };
        tracing::debug!(hit, "client gone");
        self.call(|engine, now| engine.client_left(now, hit));
        for (nth, task) in waits.forwards.into_iter().enumerate() {
            self.cancel_attempt(hit, nth as u32, Some(task));
        }
    }

    /// Whether a forward may have been begun for a hit. Of one that was answered that is no longer known.
    pub fn was_forwarded(&self, hit: RequestId) -> bool {
        self.waiting
            .borrow()
            .get(&hit)
            .is_none_or(|waits| !waits.forwards.is_empty())
    }

    fn respond(&self, hit: RequestId, answer: T::Response) {
        if let Some(waits) = self.waiting.borrow_mut().remove(&hit) {
            // Where the client has left meanwhile nobody is there to be answered.
            let _ = waits.answer.send(answer);
        }
    }

    pub fn may_send(self: &Rc<Self>, hit: RequestId, nth: u32) -> bool {
        let may = self.engine.borrow_mut().may_send(self.now(), hit, nth);
        if !may {
            tracing::debug!(
                hit,
                nth,
                "forward not sent: its pod or build closed while it waited"
            );
        }
        may
    }

    pub fn attempt_ended(
        self: &Rc<Self>,
        (hit, nth): (RequestId, u32),
        end: AttemptEnd,
        took: Nanos,
        load: Option<LoadReport>,
        answer: Option<T::Response>,
    ) {
        let passed = self
            .engine
            .borrow_mut()
            .attempt_ended(self.now(), hit, nth, end, took, load);
        tracing::debug!(hit, nth, ?end, took_us = took / 1_000, "forward ended");
        if passed {
            self.respond(hit, answer.unwrap_or_else(|| self.transport.failed(false)));
        }
        self.perform_effects();
    }

    /// Carries one forward out by its protocol's exchange and tells the engine how it ended. `sent` is set once
    /// the pod may have begun. Where time runs out the exchange is dropped, and its connection with it.
    pub async fn run_attempt(
        self: &Rc<Self>,
        nth: (RequestId, u32),
        time: Duration,
        sent: &Cell<bool>,
        exchange: impl Future<Output = AttemptResult<T::Response>>,
    ) {
        let began = Instant::now();
        let AttemptResult {
            end,
            load,
            response: answer,
        } = match timeout(time, exchange).await {
            Ok(end) => end,
            Err(_) if sent.get() => AttemptEnd::TimedOut.into(),
            // The client's time ran out first: nothing was sent, and the pod is not to blame.
            Err(_) => AttemptEnd::NotSent.into(),
        };
        self.attempt_ended(nth, end, began.elapsed().as_nanos() as Nanos, load, answer);
    }

    /// Hits that are owed an answer.
    pub fn in_flight(&self) -> usize {
        self.waiting.borrow().len()
    }

    pub fn pod_address(&self, pod: PodId) -> Option<SocketAddr> {
        self.engine().pod_address(pod)
    }

    pub fn status(&self) -> EngineStatus {
        self.engine().status()
    }

    pub fn listed_pods(&self) -> Vec<ListedEndpoint> {
        self.engine().listed_pods()
    }

    pub fn report_fault(self: &Rc<Self>, pod: &str, group: &str, ago: Nanos) -> bool {
        self.call(|engine, now| engine.report_fault(now, pod, group, ago))
    }
}
