//! What every shell shares: one engine, its clock and wakes, and the hits that wait for their final answer.

use crate::engine::{Asked, Effect, Engine, Glance, EPOCH};
use crate::slots::Slot;
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
pub trait Outside: Sized + 'static {
    /// A hit as it will be sent, as often as it must be.
    type Ask: 'static;
    /// A final answer on its way to the client.
    type Answer: 'static;

    /// Carries one forward out and tells [`Hub::ended`] once how it ended.
    fn forward(
        hub: Rc<Hub<Self>>,
        ask: Rc<Self::Ask>,
        nth: (RequestId, u32),
        pod: PodId,
        time_out: Nanos,
    ) -> impl Future<Output = ()> + 'static;
    fn bounced(&self, retry_after: Nanos) -> Self::Answer;
    fn errored(&self, late: bool) -> Self::Answer;
    /// Sends a vote and sees to it that [`Engine::voted`] hears of its end.
    fn vote(hub: &Rc<Hub<Self>>, vote: u64, build: Build, stage: usize, voice: Vote);
    /// Sends a probe and sees to it that [`Engine::probed`] hears of its end.
    fn probe(hub: &Rc<Hub<Self>>, probe: u64, pod: PodId);
    fn ask_list(hub: &Rc<Hub<Self>>);
    fn watch_list(hub: &Rc<Hub<Self>>, on: bool);
}

/// How a forward ended, with the answer where there is one.
pub struct End<A> {
    pub end: AttemptEnd,
    pub load: Option<LoadReport>,
    pub answer: Option<A>,
}

impl<A> From<AttemptEnd> for End<A> {
    fn from(end: AttemptEnd) -> End<A> {
        End {
            end,
            load: None,
            answer: None,
        }
    }
}

struct Waiting<O: Outside> {
    ask: Rc<O::Ask>,
    answer: oneshot::Sender<O::Answer>,
    forwards: Vec<(AbortHandle, Instant)>,
}

/// The engine is borrowed for one call at a time and never across an await. What the protocol keeps for
/// itself is reached as if it were the hub's own.
pub struct Hub<O: Outside> {
    outside: O,
    began: Instant,
    engine: RefCell<Engine>,
    /// Hits that wait for their final answer; the door's limit bounds it.
    waiting: RefCell<HashMap<RequestId, Waiting<O>>>,
    /// What the ticker sleeps to, and how it is told of something earlier.
    armed: Cell<Nanos>,
    rearm: Notify,
}

impl<O: Outside> Deref for Hub<O> {
    type Target = O;

    fn deref(&self) -> &O {
        &self.outside
    }
}

impl<O: Outside> Hub<O> {
    pub fn new(engine: Engine, outside: O) -> Rc<Hub<O>> {
        Rc::new(Hub {
            outside,
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
    pub fn call<T>(self: &Rc<Self>, work: impl FnOnce(&mut Engine, Nanos) -> T) -> T {
        let done = work(&mut self.engine.borrow_mut(), self.now());
        self.carry_out();
        done
    }

    /// Puts routes in force between two requests; see [`Engine::set_routes`].
    pub fn set_routes(&self, routes: &[(String, RouteClass)]) -> Vec<Slot> {
        self.engine.borrow_mut().set_routes(self.now(), routes)
    }

    /// A look at the engine that changes nothing.
    pub fn look(&self) -> Ref<'_, Engine> {
        self.engine.borrow()
    }

    /// Wakes the engine when it asked for it; never ends.
    pub async fn tick(self: Rc<Self>) {
        loop {
            let next = self.look().next_wake();
            self.armed.set(next.unwrap_or(Nanos::MAX));
            let at = next.map(|at| self.began + Duration::from_nanos(at.saturating_sub(EPOCH)));
            tokio::select! {
                () = sleep_until(at.unwrap_or(Instant::now() + Duration::from_secs(3600)).into()) => {
                    self.call(|engine, now| engine.wake(now));
                }
                () = self.rearm.notified() => {}
            }
        }
    }

    fn carry_out(self: &Rc<Self>) {
        loop {
            let effect = self.engine.borrow_mut().effect();
            let Some(effect) = effect else { break };
            self.act(effect);
        }
        let next = self.look().next_wake().unwrap_or(Nanos::MAX);
        if next < self.armed.replace(next) {
            self.rearm.notify_one();
        }
    }

    fn act(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Forward {
                hit,
                nth,
                pod,
                time_out,
            } => {
                let mut waiting = self.waiting.borrow_mut();
                if let Some(waits) = waiting.get_mut(&hit) {
                    let forward =
                        O::forward(self.clone(), waits.ask.clone(), (hit, nth), pod, time_out);
                    waits
                        .forwards
                        .push((spawn_local(forward).abort_handle(), Instant::now()));
                }
            }
            Effect::Cancel { hit, nth } => {
                let waiting = self.waiting.borrow();
                let task = waiting
                    .get(&hit)
                    .and_then(|waits| waits.forwards.get(nth as usize))
                    .cloned();
                drop(waiting);
                self.cut(hit, nth, task);
            }
            Effect::Bounce { hit, retry_after } => {
                tracing::debug!(hit, come_back_us = retry_after / 1_000, "bounced");
                self.answer(hit, self.outside.bounced(retry_after));
            }
            Effect::Error { hit, late } => {
                tracing::debug!(hit, late, "errored");
                self.answer(hit, self.outside.errored(late));
            }
            Effect::Vote {
                vote,
                build,
                stage,
                voice,
            } => {
                tracing::info!(vote, build, stage, ?voice, "vote");
                O::vote(self, vote, build, stage, voice);
            }
            Effect::Probe { probe, pod } => O::probe(self, probe, pod),
            Effect::AskList => O::ask_list(self),
            Effect::WatchList(on) => O::watch_list(self, on),
            Effect::Log(line) => tracing::info!(decision = line, "decided"),
        }
    }

    /// Ends a forward that is out: its connection closes with its task.
    fn cut(self: &Rc<Self>, hit: RequestId, nth: u32, task: Option<(AbortHandle, Instant)>) {
        if let Some((task, began)) = task.filter(|(task, _)| !task.is_finished()) {
            task.abort();
            let took = began.elapsed().as_nanos() as Nanos;
            self.ended((hit, nth), AttemptEnd::Cancelled, took, None, None);
        }
    }

    pub fn take(
        self: &Rc<Self>,
        asked: Asked,
        ask: O::Ask,
        answer: oneshot::Sender<O::Answer>,
    ) -> RequestId {
        self.go_on(None, asked, Rc::new(ask), answer)
    }

    /// Takes a hit; with a past, one that another sidecar took and forwarded so.
    pub fn go_on(
        self: &Rc<Self>,
        past: Option<Vec<PriorAttempt>>,
        asked: Asked,
        ask: Rc<O::Ask>,
        answer: oneshot::Sender<O::Answer>,
    ) -> RequestId {
        if let Some(past) = past {
            self.engine.borrow_mut().resumed(self.now(), past);
        }
        let hit = self.engine.borrow_mut().hit(self.now(), asked);
        let waits = Waiting {
            ask,
            answer,
            forwards: Vec::new(),
        };
        self.waiting.borrow_mut().insert(hit, waits);
        self.carry_out();
        hit
    }

    /// The client's side of a hit is over, by its answer or without; forwards that are out go on.
    pub fn left(self: &Rc<Self>, hit: RequestId) {
        if self.waiting.borrow_mut().remove(&hit).is_some() {
            self.call(|engine, now| engine.left(now, hit));
        }
    }

    /// The same where the protocol says that a client that closed wants nothing more: its forwards end, too.
    pub fn gone(self: &Rc<Self>, hit: RequestId) {
        let waits = self.waiting.borrow_mut().remove(&hit);
        let Some(waits) = waits else { return };
        tracing::debug!(hit, "client gone");
        self.call(|engine, now| engine.left(now, hit));
        for (nth, task) in waits.forwards.into_iter().enumerate() {
            self.cut(hit, nth as u32, Some(task));
        }
    }

    /// Whether a forward may have been begun for a hit. Of one that was answered that is no longer known.
    pub fn sent_on(&self, hit: RequestId) -> bool {
        self.waiting
            .borrow()
            .get(&hit)
            .is_none_or(|waits| !waits.forwards.is_empty())
    }

    fn answer(&self, hit: RequestId, answer: O::Answer) {
        if let Some(waits) = self.waiting.borrow_mut().remove(&hit) {
            // Where the client has left meanwhile nobody is there to be answered.
            let _ = waits.answer.send(answer);
        }
    }

    pub fn may_go(self: &Rc<Self>, hit: RequestId, nth: u32) -> bool {
        let may = self.engine.borrow_mut().may_go(self.now(), hit, nth);
        if !may {
            tracing::debug!(
                hit,
                nth,
                "forward not sent: its pod or build closed while it waited"
            );
        }
        may
    }

    pub fn ended(
        self: &Rc<Self>,
        (hit, nth): (RequestId, u32),
        end: AttemptEnd,
        took: Nanos,
        load: Option<LoadReport>,
        answer: Option<O::Answer>,
    ) {
        let passed = self
            .engine
            .borrow_mut()
            .ended(self.now(), hit, nth, end, took, load);
        tracing::debug!(hit, nth, ?end, took_us = took / 1_000, "forward ended");
        if passed {
            self.answer(hit, answer.unwrap_or_else(|| self.outside.errored(false)));
        }
        self.carry_out();
    }

    /// Carries one forward out by its protocol's exchange and tells the engine how it ended. `sent` is set once
    /// the pod may have begun. Where time runs out the exchange is dropped, and its connection with it.
    pub async fn timed(
        self: &Rc<Self>,
        nth: (RequestId, u32),
        time: Duration,
        sent: &Cell<bool>,
        exchange: impl Future<Output = End<O::Answer>>,
    ) {
        let began = Instant::now();
        let End { end, load, answer } = match timeout(time, exchange).await {
            Ok(end) => end,
            Err(_) if sent.get() => AttemptEnd::TimedOut.into(),
            // The client's time ran out first: nothing was sent, and the pod is not to blame.
            Err(_) => AttemptEnd::NotSent.into(),
        };
        self.ended(nth, end, began.elapsed().as_nanos() as Nanos, load, answer);
    }

    /// Hits that are owed an answer.
    pub fn owed(&self) -> usize {
        self.waiting.borrow().len()
    }

    pub fn address(&self, pod: PodId) -> Option<SocketAddr> {
        self.look().address(pod)
    }

    pub fn glance(&self) -> Glance {
        self.look().glance()
    }

    pub fn listed(&self) -> Vec<ListedEndpoint> {
        self.look().listed()
    }

    pub fn flagged(self: &Rc<Self>, pod: &str, group: &str, ago: Nanos) -> bool {
        self.call(|engine, now| engine.flagged(now, pod, group, ago))
    }
}
