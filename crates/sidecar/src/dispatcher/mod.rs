//! Passes requests to one engine and carries its effects out through a [`Transport`]. It provides the engine's clock,
//! runs the engine's timers, and holds the requests that wait for their final response.

mod departed_client;
mod pending;
mod transport;

pub use transport::{AttemptResult, Transport};

use crate::client_stream::ClientPresence;
use crate::engine::{Effect, Engine, EngineStatus, RequestAttributes, EPOCH};
use crate::route_slots::Slot;
use havenplank::interface::{
    AttemptEnd, LoadReport, Nanos, PodId, PriorAttempt, RequestId, RouteClass,
};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use pending::{AttemptTask, PendingResponse};
use std::cell::{Cell, Ref, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::ops::Deref;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout};

/// How long the timer task sleeps while no timer is set. Setting a timer wakes the task.
const IDLE_SLEEP: Duration = Duration::from_secs(3600);

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The attempt's number within the request, counted from 0.
    pub number: u32,
}

/// Runs one engine with one transport. The engine is borrowed for one call at a time and never across an await. The
/// dispatcher dereferences to its transport, which makes the transport's fields and methods available on it.
pub struct Dispatcher<T: Transport> {
    transport: T,
    began: Instant,
    engine: RefCell<Engine>,
    /// Requests that wait for their final response. The listener's request limit bounds this map.
    pending: RefCell<HashMap<RequestId, PendingResponse<T>>>,
    /// When the timer task will wake next, on the engine's clock.
    armed_for: Cell<Nanos>,
    /// Wakes the timer task when a timer is set that is due earlier.
    rearm: Notify,
    withheld_attempts: Cell<u64>,
}

impl<T: Transport> Deref for Dispatcher<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.transport
    }
}

impl<T: Transport> Dispatcher<T> {
    /// Creates a dispatcher for an engine and a transport. The engine's clock runs from [`EPOCH`], starting now.
    pub fn new(engine: Engine, transport: T) -> Rc<Dispatcher<T>> {
        Rc::new(Dispatcher {
            transport,
            began: Instant::now(),
            engine: RefCell::new(engine),
            pending: RefCell::default(),
            armed_for: Cell::new(0),
            rearm: Notify::new(),
            withheld_attempts: Cell::new(0),
        })
    }

    /// Makes one call into the engine, then carries out the effects that the call queued.
    pub fn call<R>(self: &Rc<Self>, work: impl FnOnce(&mut Engine, Nanos) -> R) -> R {
        let done = work(&mut self.engine.borrow_mut(), self.now());
        self.perform_effects();
        done
    }

    /// Replaces all routes; see [`Engine::set_routes`].
    pub fn set_routes(&self, routes: &[(String, RouteClass)]) -> Vec<Slot> {
        self.engine.borrow_mut().set_routes(self.now(), routes)
    }

    /// Borrows the engine for reading. The caller must drop the borrow before its next call into the dispatcher and
    /// before any await.
    pub fn engine(&self) -> Ref<'_, Engine> {
        self.engine.borrow()
    }

    /// Runs the engine's timers when they are due. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.engine().next_timer();
            self.armed_for.set(next.unwrap_or(Nanos::MAX));
            let at = next.map(|at| self.began + Duration::from_nanos(at.saturating_sub(EPOCH)));
            tokio::select! {
                () = sleep_until(at.unwrap_or(Instant::now() + IDLE_SLEEP).into()) => {
                    self.call(|engine, now| engine.run_timers(now));
                }
                () = self.rearm.notified() => {}
            }
        }
    }

    /// Dispatches a request of a client and sends its final response to `responder`. No attempt begins once the client
    /// has left.
    pub fn dispatch(
        self: &Rc<Self>,
        attributes: RequestAttributes,
        request: Rc<T::Request>,
        client: ClientPresence,
        responder: oneshot::Sender<T::Response>,
    ) -> RequestId {
        self.start_request(attributes, request, Some(client), responder)
    }

    /// Dispatches a request that was taken over from another sidecar, which sent `prior_attempts`.
    pub fn dispatch_resumed(
        self: &Rc<Self>,
        prior_attempts: Vec<PriorAttempt>,
        attributes: RequestAttributes,
        request: Rc<T::Request>,
        responder: oneshot::Sender<T::Response>,
    ) -> RequestId {
        self.engine
            .borrow_mut()
            .resume_next_request(self.now(), prior_attempts);
        self.start_request(attributes, request, None, responder)
    }

    fn start_request(
        self: &Rc<Self>,
        attributes: RequestAttributes,
        request: Rc<T::Request>,
        client: Option<ClientPresence>,
        responder: oneshot::Sender<T::Response>,
    ) -> RequestId {
        let id = self
            .engine
            .borrow_mut()
            .handle_request(self.now(), attributes);
        let pending = PendingResponse {
            request,
            responder,
            client,
            is_client_closed: false,
            was_sent: false,
            attempts: Vec::new(),
        };
        self.pending.borrow_mut().insert(id, pending);
        self.perform_effects();
        id
    }

    /// Returns whether an attempt may have been started for a request. Returns true for a request that has its final
    /// response, because its attempts are no longer known.
    pub fn was_forwarded(&self, request: RequestId) -> bool {
        let pending = self.pending.borrow();
        let pending = pending.get(&request);
        pending.is_none_or(|pending| !pending.attempts.is_empty())
    }

    /// Returns whether an attempt may still be written: its client is there and the engine allows it. The transport
    /// calls this right before it writes the attempt.
    pub fn may_send(self: &Rc<Self>, attempt: AttemptId) -> bool {
        let may_send = !self.has_client_left(attempt) && self.is_allowed(attempt);
        if may_send {
            self.record_sent(attempt);
        }
        may_send
    }

    fn is_allowed(self: &Rc<Self>, attempt: AttemptId) -> bool {
        let AttemptId { request, number } = attempt;
        let now = self.now();
        let allowed = self.engine.borrow_mut().may_send(now, request, number);
        if !allowed {
            tracing::debug!(
                request,
                attempt = number,
                "attempt not sent: its request ended or its pod became ineligible while it waited"
            );
        }
        allowed
    }

    /// Reports to the engine how an attempt ended and that it took `took` nanoseconds. Sends its response to the client
    /// if the engine chooses it as the final response.
    pub fn attempt_ended(
        self: &Rc<Self>,
        attempt: AttemptId,
        end: AttemptEnd,
        took: Nanos,
        load: Option<LoadReport>,
        response: Option<T::Response>,
    ) {
        let AttemptId { request, number } = attempt;
        if self.record_ended(attempt, end) {
            self.end_abandoned(request);
        }
        let now = self.now();
        let delivered = self
            .engine
            .borrow_mut()
            .attempt_ended(now, request, number, end, took, load);
        tracing::debug!(
            request,
            attempt = number,
            ?end,
            took_us = took / 1_000,
            "attempt ended"
        );
        if delivered {
            let response = response.unwrap_or_else(|| self.transport.failed(false));
            self.respond(request, response);
        }
        self.perform_effects();
    }

    /// Runs one attempt, given as the `exchange` of its protocol, and reports how it ended. The exchange sets `sent`
    /// before the pod may start to process the attempt. After `time` the exchange is dropped, which closes its
    /// connection.
    pub async fn run_attempt(
        self: &Rc<Self>,
        attempt: AttemptId,
        time: Duration,
        sent: &Cell<bool>,
        exchange: impl Future<Output = AttemptResult<T::Response>>,
    ) {
        let began = Instant::now();
        let result = match timeout(time, exchange).await {
            Ok(result) => result,
            Err(_) if sent.get() => AttemptEnd::TimedOut.into(),
            // The time ran out before anything was sent, so the pod is not to blame.
            Err(_) => AttemptEnd::NotSent.into(),
        };
        let AttemptResult {
            end,
            load,
            response,
        } = result;
        let took = began.elapsed().as_nanos() as Nanos;
        self.attempt_ended(attempt, end, took, load, response);
    }

    /// Returns the number of requests that wait for their final response.
    pub fn in_flight(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Returns the address that a pod listens on.
    pub fn pod_address(&self, pod: PodId) -> Option<SocketAddr> {
        self.engine().pod_address(pod)
    }

    /// Returns the state that operators see.
    pub fn status(&self) -> EngineStatus {
        self.engine().status()
    }

    /// Returns the endpoint list as last received.
    pub fn listed_pods(&self) -> Vec<ListedEndpoint> {
        self.engine().listed_pods()
    }

    /// Records that a client reported a wrong response; see [`Engine::report_fault`].
    pub fn report_fault(self: &Rc<Self>, pod: &str, route_class: &str, ago: Nanos) -> bool {
        self.call(|engine, now| engine.report_fault(now, pod, route_class, ago))
    }

    fn now(&self) -> Nanos {
        EPOCH + self.began.elapsed().as_nanos() as Nanos
    }

    fn perform_effects(self: &Rc<Self>) {
        loop {
            let effect = self.engine.borrow_mut().next_effect();
            let Some(effect) = effect else { break };
            self.perform(effect);
        }
        let next = self.engine().next_timer().unwrap_or(Nanos::MAX);
        if next < self.armed_for.replace(next) {
            self.rearm.notify_one();
        }
    }

    fn perform(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::SendAttempt {
                request,
                attempt: number,
                pod,
                timeout,
            } => self.send_attempt(AttemptId { request, number }, pod, timeout),
            Effect::CancelAttempt {
                request,
                attempt: number,
            } => self.cancel_attempt(AttemptId { request, number }),
            Effect::Reject {
                request,
                retry_after,
            } => {
                tracing::debug!(request, retry_after_us = retry_after / 1_000, "rejected");
                self.respond(request, self.transport.rejected(retry_after));
            }
            Effect::Fail { request, timed_out } => {
                tracing::debug!(request, timed_out, "failed");
                self.respond(request, self.transport.failed(timed_out));
            }
            Effect::CastVote {
                id,
                build,
                stage,
                vote,
            } => {
                tracing::info!(id, build, stage, ?vote, "vote");
                T::cast_vote(self, id, build, stage, vote);
            }
            Effect::HealthCheck { check, pod } => T::health_check(self, check, pod),
            Effect::PollEndpoints => T::poll_endpoints(self),
            Effect::WatchEndpoints(on) => T::watch_endpoints(self, on),
            Effect::Log(line) => tracing::info!(decision = line, "decided"),
        }
    }

    fn send_attempt(self: &Rc<Self>, attempt: AttemptId, pod: PodId, timeout: Nanos) {
        let mut all = self.pending.borrow_mut();
        if let Some(pending) = all.get_mut(&attempt.request) {
            let request = pending.request.clone();
            let task = T::send_attempt(self.clone(), request, attempt, pod, timeout);
            let handle = spawn_local(task).abort_handle();
            pending.attempts.push(AttemptTask::new(handle));
        }
    }

    fn cancel_attempt(self: &Rc<Self>, attempt: AttemptId) {
        let all = self.pending.borrow();
        let pending = all.get(&attempt.request);
        let task = pending.and_then(|pending| pending.attempts.get(attempt.number as usize));
        let task = task.cloned();
        drop(all);
        if let Some(task) = task {
            self.abort_attempt(attempt, &task);
        }
    }

    /// Aborts the task of an attempt that is in flight, which closes its connection, and reports the attempt as
    /// cancelled.
    fn abort_attempt(self: &Rc<Self>, attempt: AttemptId, task: &AttemptTask) {
        if let Some(took) = task.abort() {
            self.attempt_ended(attempt, AttemptEnd::Cancelled, took, None, None);
        }
    }

    fn respond(&self, request: RequestId, response: T::Response) {
        let pending = self.pending.borrow_mut().remove(&request);
        if let Some(pending) = pending {
            // The send fails if the client has disconnected in the meantime, which is not an error.
            let _ = pending.responder.send(response);
        }
    }
}
