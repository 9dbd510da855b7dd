//! An instance that makes decisions: a router, and a host that stores the router's callbacks and encodes its effects as
//! actions.

use crate::decode::{InstanceListener, ListedPod};
use crate::encode::{Action, ActionWriter};
use crate::setup::{Names, Setup};
use crate::wire_names::{self, action, field};
use havenplank::interface::{
    stable_hash, AttemptOutcome, Build, Callback, HealthCheckResult, Host, IncomingRequest, Nanos,
    PodId, RequestId, RouteClassId, Stage, Tally, Vote, VoteReply,
};
use havenplank::Router;
use std::collections::{HashMap, VecDeque};

/// The attempts of a request, each `None` once it has ended, and whether the client still waits for the response.
struct OpenRequest {
    name: String,
    awaits_response: bool,
    attempts: Vec<Option<Callback<AttemptOutcome>>>,
}

/// The host of one instance.
struct WireHost {
    now: Nanos,
    names: Names,
    /// Indices of all pods that were ever in an endpoint list of this instance. Grows with the number of pods, not with
    /// requests; a restart empties it.
    pods: HashMap<String, PodId>,
    pod_names: Vec<String>,
    request_ids: HashMap<String, RequestId>,
    /// Open requests; a request is removed once it is answered and all its attempts have ended.
    requests: HashMap<RequestId, OpenRequest>,
    next_request: RequestId,
    /// Callbacks of the timers that have not fired yet.
    timers: HashMap<u64, Callback<()>>,
    next_timer: u64,
    votes: VecDeque<Callback<VoteReply>>,
    health_checks: HashMap<PodId, VecDeque<Callback<HealthCheckResult>>>,
    actions: ActionWriter,
}

/// An instance that makes decisions with a [`Router`].
pub struct Instance {
    router: Router,
    host: WireHost,
}

impl WireHost {
    fn new(now: Nanos, sidecar: u64, names: Names) -> WireHost {
        WireHost {
            now,
            names,
            pods: HashMap::new(),
            pod_names: Vec::new(),
            request_ids: HashMap::new(),
            requests: HashMap::new(),
            next_request: 0,
            timers: HashMap::new(),
            next_timer: 0,
            votes: VecDeque::new(),
            health_checks: HashMap::new(),
            actions: ActionWriter::new(sidecar),
        }
    }

    /// Starts an action that concerns a request.
    fn begin_for_request(&mut self, verb: &str, request: RequestId) -> Action<'_> {
        let name = self.requests.get(&request).map(|open| open.name.as_str());
        let action = self.actions.begin(verb);
        action.text(field::REQUEST, name.unwrap_or_default())
    }

    /// Closes a request that was answered or whose client disconnected.
    fn close(&mut self, request: RequestId) {
        if let Some(open) = self.requests.get_mut(&request) {
            open.awaits_response = false;
        }
        self.remove_if_done(request);
    }

    fn remove_if_done(&mut self, request: RequestId) {
        let is_done =
            |open: &OpenRequest| !open.awaits_response && open.attempts.iter().all(Option::is_none);
        if self.requests.get(&request).is_some_and(is_done) {
            if let Some(open) = self.requests.remove(&request) {
                self.request_ids.remove(&open.name);
            }
        }
    }

    /// Returns the index of a pod, or assigns the next index if the pod is new.
    fn pod_index(&mut self, name: &str) -> PodId {
        if let Some(id) = self.pods.get(name) {
            return *id;
        }
        let id = self.pod_names.len();
        self.pods.insert(name.to_string(), id);
        self.pod_names.push(name.to_string());
        id
    }
}

/// Returns the position of a name in `names`; appends the name if it is new.
fn index_of(names: &mut Vec<String>, name: &str) -> usize {
    names
        .iter()
        .position(|known| known == name)
        .unwrap_or_else(|| {
            names.push(name.to_string());
            names.len() - 1
        })
}

impl Host for WireHost {
    fn now(&self) -> Nanos {
        self.now
    }

    fn is_open(&self, request: RequestId) -> bool {
        self.requests
            .get(&request)
            .is_some_and(|open| open.awaits_response)
    }

    fn send_attempt(
        &mut self,
        request: RequestId,
        pod: PodId,
        timeout: Nanos,
        on_done: Callback<AttemptOutcome>,
    ) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        if !open.awaits_response {
            return;
        }
        open.attempts.push(Some(on_done));
        self.actions
            .begin(action::ATTEMPT)
            .text(field::REQUEST, &open.name)
            .text(field::POD, &self.pod_names[pod])
            .json_value(field::TIMEOUT, timeout)
            .end();
    }

    fn cancel_attempt(&mut self, request: RequestId, attempt: u32) {
        let open = self.requests.get(&request);
        if open.is_some_and(|open| (attempt as usize) < open.attempts.len()) {
            self.begin_for_request(action::CANCEL, request)
                .json_value(field::ATTEMPT, attempt)
                .end();
        }
    }

    fn reject(&mut self, request: RequestId, retry_after: Nanos) {
        if self.is_open(request) {
            self.begin_for_request(action::REJECT, request)
                .json_value(field::RETRY_AFTER, retry_after)
                .end();
            self.close(request);
        }
    }

    fn fail(&mut self, request: RequestId) {
        if self.is_open(request) {
            self.begin_for_request(action::FAIL, request).end();
            self.close(request);
        }
    }

    fn cast_vote(&mut self, build: Build, stage: usize, vote: Vote, on_done: Callback<VoteReply>) {
        self.actions
            .begin(action::VOTE)
            .json_value(field::BUILD, build)
            .json_value(field::STAGE, stage)
            .json_value(field::VOTE, wire_names::vote_code(vote))
            .end();
        self.votes.push_back(on_done);
    }

    fn health_check(&mut self, pod: PodId, on_done: Callback<HealthCheckResult>) {
        self.actions
            .begin(action::HEALTH_CHECK)
            .text(field::POD, &self.pod_names[pod])
            .end();
        self.health_checks
            .entry(pod)
            .or_default()
            .push_back(on_done);
    }

    fn poll_endpoints(&mut self) {
        self.actions.begin(action::POLL_ENDPOINTS).end();
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.actions
            .begin(action::WATCH_ENDPOINTS)
            .json_value(field::WATCH, on)
            .end();
    }

    fn set_timer(&mut self, after: Nanos, on_done: Callback<()>) {
        let id = self.next_timer;
        self.next_timer += 1;
        self.timers.insert(id, on_done);
        self.actions
            .begin(action::SET_TIMER)
            .text(field::TIMER, &id.to_string())
            .json_value(field::DELAY, after)
            .end();
    }

    fn log(&mut self, line: &str) {
        self.actions
            .begin(action::LOG)
            .text(field::LOG_TEXT, line)
            .end();
    }
}

impl InstanceListener for Instance {
    fn create(now: Nanos, sidecar: u64, seed: u64, setup: Setup) -> Instance {
        Instance {
            router: Router::new(now, seed, setup.router),
            host: WireHost::new(now, sidecar, setup.names),
        }
    }

    fn set_time(&mut self, now: Nanos) {
        self.host.now = now;
    }

    fn swap_output(&mut self, out: &mut String) {
        std::mem::swap(&mut self.host.actions.out, out);
    }

    fn names(&self) -> &Names {
        &self.host.names
    }

    fn knows_pod(&self, pod: &str) -> bool {
        self.host.pods.contains_key(pod)
    }

    fn start(&mut self) {
        self.router.start(&mut self.host);
    }

    fn update_endpoints(&mut self, complete: bool, pods: &[ListedPod]) {
        let host = &mut self.host;
        let mut endpoints = Vec::with_capacity(pods.len());
        for listed in pods {
            let mut endpoint = listed.endpoint;
            endpoint.pod = host.pod_index(&listed.pod);
            endpoint.name_hash = stable_hash(listed.pod.as_bytes());
            endpoint.zone = index_of(&mut host.names.zones, &listed.zone);
            endpoint.machine_type = index_of(&mut host.names.machines, &listed.machine);
            endpoints.push(endpoint);
        }
        self.router.update_endpoints(host, complete, &endpoints);
    }

    fn endpoint_watch_failed(&mut self) {
        self.router.endpoint_watch_failed(&mut self.host);
    }

    fn handle_request(&mut self, name: &str, request: IncomingRequest) {
        let host = &mut self.host;
        let id = host.next_request;
        host.next_request += 1;
        host.request_ids.insert(name.to_string(), id);
        let open = OpenRequest {
            name: name.to_string(),
            awaits_response: true,
            attempts: Vec::new(),
        };
        host.requests.insert(id, open);
        self.router
            .handle_request(host, IncomingRequest { id, ..request });
    }

    fn attempt_ended(&mut self, name: &str, attempt: usize, outcome: AttemptOutcome) {
        let host = &mut self.host;
        let Some(request) = host.request_ids.get(name).copied() else {
            return;
        };
        let Some(open) = host.requests.get_mut(&request) else {
            return;
        };
        open.awaits_response &= !outcome.request_finished;
        if let Some(on_done) = open.attempts.get_mut(attempt).and_then(Option::take) {
            on_done(&mut self.router, host, outcome);
        }
        host.remove_if_done(request);
    }

    fn client_left(&mut self, name: &str) {
        if let Some(request) = self.host.request_ids.get(name).copied() {
            self.host.close(request);
        }
    }

    fn timer_fired(&mut self, id: u64) {
        if let Some(on_done) = self.host.timers.remove(&id) {
            on_done(&mut self.router, &mut self.host, ());
        }
    }

    fn update_stage(&mut self, stage: Stage) {
        self.router.update_stage(&mut self.host, stage);
    }

    fn vote_answered(&mut self, reply: VoteReply) {
        if let Some(on_done) = self.host.votes.pop_front() {
            on_done(&mut self.router, &mut self.host, reply);
        }
    }

    fn update_tally(&mut self, tally: Tally) {
        self.router.update_tally(&mut self.host, tally);
    }

    fn report_fault(&mut self, pod: &str, class: RouteClassId, ago: Nanos) {
        if let Some(pod) = self.host.pods.get(pod).copied() {
            self.router.report_fault(&mut self.host, pod, class, ago);
        }
    }

    fn health_checked(&mut self, pod: &str, result: HealthCheckResult) {
        let host = &mut self.host;
        let pod = host.pods.get(pod);
        let pending = pod.and_then(|pod| host.health_checks.get_mut(pod));
        if let Some(on_done) = pending.and_then(VecDeque::pop_front) {
            on_done(&mut self.router, host, result);
        }
    }
}
