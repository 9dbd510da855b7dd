//! What the decisions are run on: the requests in flight, the pods by name, timers, and the queue of effects.

use super::effect::Effect;
use super::request::{AttemptInFlight, InFlightRequest};
use super::timers::Timers;
use crate::pod_registry::PodRegistry;
use havenplank::interface::{
    AttemptOutcome, Build, Callback, Endpoint, HealthCheckResult, Host, Nanos, PodId, RequestId,
    Vote, VoteReply,
};
use std::collections::{HashMap, VecDeque};

/// The engine's side of [`Host`]: it carries nothing out, and leaves effects in a queue.
pub(super) struct EngineHost {
    pub(super) now: Nanos,
    pub(super) pods: PodRegistry,
    /// The endpoints in force, by pod.
    pub(super) endpoints: Vec<Option<Endpoint>>,
    /// Emptied of a request once it is answered and its last attempt has ended: bounded by the requests in flight,
    /// which the shell bounds.
    pub(super) requests: HashMap<RequestId, InFlightRequest>,
    pub(super) next_request: RequestId,
    pub(super) timers: Timers,
    /// The decisions ask for one at a time.
    pub(super) votes: HashMap<u64, Callback<VoteReply>>,
    /// The decisions ask for one at a time of each pod.
    pub(super) health_checks: HashMap<u64, Callback<HealthCheckResult>>,
    last_call: u64,
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
            last_call: 0,
            effects: VecDeque::new(),
        }
    }

    /// Ends the wait for a request's answer.
    pub(super) fn close(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.awaits_answer = false;
        }
        self.remove_if_over(id);
    }

    /// Forgets a request of which nothing is left to wait for.
    pub(super) fn remove_if_over(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        if request.is_some_and(InFlightRequest::is_over) {
            self.requests.remove(&id);
        }
    }

    /// Puts endpoints in force, in place of all before where the list is complete.
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

    fn next_call(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
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
            chosen: self.endpoints.get(pod).copied().flatten(),
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
        let id = self.next_call();
        self.votes.insert(id, on_done);
        self.effects.push_back(Effect::CastVote {
            id,
            build,
            stage,
            vote,
        });
    }

    fn health_check(&mut self, pod: PodId, on_done: Callback<HealthCheckResult>) {
        let check = self.next_call();
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
