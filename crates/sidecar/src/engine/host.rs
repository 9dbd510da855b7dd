//! The engine's implementation of [`Host`], the interface through which the router requests effects. Holds the requests
//! in flight, the registered pods, the timers and the queue of effects.

use super::effect::Effect;
use super::request::{AttemptInFlight, InFlightRequest};
use super::timers::Timers;
use crate::pod_registry::PodRegistry;
use havenplank::interface::{
    AttemptOutcome, Build, Callback, Endpoint, HealthCheckResult, Host, Nanos, PodId, RequestId,
    Vote, VoteReply,
};
use std::collections::{HashMap, VecDeque};

/// The engine's implementation of [`Host`]. It performs no I/O: it queues each effect for the engine's caller.
pub(super) struct EngineHost {
    pub(super) now: Nanos,
    pub(super) pods: PodRegistry,
    /// The current endpoints, indexed by pod.
    pub(super) endpoints: Vec<Option<Endpoint>>,
    /// Holds each request until it is answered and its last attempt has ended. The caller bounds the requests in
    /// flight, and so the size of this map.
    pub(super) requests: HashMap<RequestId, InFlightRequest>,
    pub(super) next_request: RequestId,
    pub(super) timers: Timers,
    /// Callbacks of votes that wait for a reply; the router casts one vote at a time.
    pub(super) votes: HashMap<u64, Callback<VoteReply>>,
    /// Callbacks of health checks that wait for a result; the router starts one at a time for each pod.
    pub(super) health_checks: HashMap<u64, Callback<HealthCheckResult>>,
    last_callback_id: u64,
    pub(super) effects: VecDeque<Effect>,
}

impl EngineHost {
    pub(super) fn new(now: Nanos, pods: PodRegistry) -> EngineHost {
        EngineHost {
            now,
            pods,
            endpoints: Vec::new(),
            requests: HashMap::new(),
            next_request: 0,
            timers: Timers::default(),
            votes: HashMap::new(),
            health_checks: HashMap::new(),
            last_callback_id: 0,
            effects: VecDeque::new(),
        }
    }

    /// Marks a request as no longer waiting for its final response.
    pub(super) fn close(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.awaits_answer = false;
        }
        self.remove_if_finished(id);
    }

    /// Removes a request that is answered and has no attempts in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        if request.is_some_and(InFlightRequest::is_finished) {
            self.requests.remove(&id);
        }
    }

    /// Updates the current endpoints; a complete list replaces all of them.
    pub(super) fn set_endpoints(&mut self, complete: bool, endpoints: &[Endpoint]) {
        if complete {
            self.endpoints.fill(None);
        }
        for endpoint in endpoints {
            if self.endpoints.len() <= endpoint.pod {
                self.endpoints.resize(endpoint.pod + 1, None);
            }
            self.endpoints[endpoint.pod] = Some(*endpoint);
        }
    }

    fn next_callback_id(&mut self) -> u64 {
        self.last_callback_id += 1;
        self.last_callback_id
    }
}

impl Host for EngineHost {
    fn now(&self) -> Nanos {
        self.now
    }

    fn is_open(&self, id: RequestId) -> bool {
        let request = self.requests.get(&id);
        request.is_some_and(|request| request.awaits_answer)
    }

    fn send_attempt(
        &mut self,
        id: RequestId,
        pod: PodId,
        timeout: Nanos,
        on_done: Callback<AttemptOutcome>,
    ) {
        let request = self.requests.get_mut(&id);
        let Some(request) = request.filter(|request| request.awaits_answer) else {
            return;
        };
        let attempt = request.add_attempt(AttemptInFlight {
            pod,
            chosen_endpoint: self.endpoints.get(pod).copied().flatten(),
            chosen_at: self.now,
            on_done,
        });
        self.pods.attempt_sent(pod);
        self.effects.push_back(Effect::SendAttempt {
            request: id,
            attempt,
            pod,
            timeout,
        });
    }

    fn cancel_attempt(&mut self, id: RequestId, attempt: u32) {
        let request = self.requests.get(&id);
        if request.is_some_and(|request| request.has_attempt(attempt)) {
            self.effects.push_back(Effect::CancelAttempt {
                request: id,
                attempt,
            });
        }
    }

    fn reject(&mut self, id: RequestId, retry_after: Nanos) {
        if self.is_open(id) {
            self.effects.push_back(Effect::Reject {
                request: id,
                retry_after,
            });
            self.close(id);
        }
    }

    fn fail(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        if let Some(request) = request.filter(|request| request.awaits_answer) {
            self.effects.push_back(Effect::Fail {
                request: id,
                timed_out: self.now >= request.deadline,
            });
            self.close(id);
        }
    }

    fn cast_vote(&mut self, build: Build, stage: usize, vote: Vote, on_done: Callback<VoteReply>) {
        let id = self.next_callback_id();
        self.votes.insert(id, on_done);
        self.effects.push_back(Effect::CastVote {
            id,
            build,
            stage,
            vote,
        });
    }

    fn health_check(&mut self, pod: PodId, on_done: Callback<HealthCheckResult>) {
        let check = self.next_callback_id();
        self.health_checks.insert(check, on_done);
        self.effects.push_back(Effect::HealthCheck { check, pod });
    }

    fn poll_endpoints(&mut self) {
        self.effects.push_back(Effect::PollEndpoints);
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.effects.push_back(Effect::WatchEndpoints(on));
    }

    fn set_timer(&mut self, after: Nanos, on_due: Callback<()>) {
        self.timers.set(self.now.saturating_add(after), on_due);
    }

    fn log(&mut self, line: &str) {
        self.effects.push_back(Effect::Log(line.to_string()));
    }
}
