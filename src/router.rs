//! The router: the order of the steps that handle a request, and the step with which each callback continues.
//!
//! A host calls [`Router::start`] once and the other methods as events arrive. The router requests effects
//! through [`Host`]. Each attempt, vote and timer has a callback that receives its result; the callbacks hold
//! the state of the requests in flight. This module sets only the order of the steps; each decision has a
//! module of its own.

use crate::admission::ConcurrencyLimit;
use crate::endpoint_list::EndpointListWatch;
use crate::exposure::{AnnouncedStage, Exposure, WINDOW_SLICES};
use crate::interface::{
    AttemptOutcome, AttemptSettings, Endpoint, FleetPosition, Host, IncomingRequest, Nanos, Phase,
    PodId, PriorAttempt, RouteClassId, RouterSettings, Stage, Tally, Vote, VoteReply,
};
use crate::latency;
use crate::outlier::{self, OutlierDetector};
use crate::pod_table::{PodTable, PodVisits};
use crate::request::{Attempt, EndedAttempt, InFlightRequest, PossibleRun};
use crate::retry::RetryBudget;
use crate::route_class::{max_priority_weight, RouteClassChange, RouteClasses};
use crate::selection::{self, Subsetting};
use crate::sequential_test::{evidence, Bounds, SequentialTest};
use crate::slow_start::SlowStart;
use crate::voting::{Ballot, VoteState};
use crate::window::SlidingWindow;
use oorandom::Rand64;
use std::cell::RefCell;
use std::rc::Rc;

type SharedRequest = Rc<RefCell<InFlightRequest>>;

/// Makes all decisions of one instance and holds their state.
pub struct Router {
    pub(crate) random: Rand64,
    pub(crate) position: FleetPosition,
    pub(crate) attempt_settings: AttemptSettings,
    pub(crate) route_classes: RouteClasses,
    pub(crate) pods: PodTable,
    pub(crate) announced: Option<AnnouncedStage>,
    /// The requests received since the start.
    pub(crate) requests: u32,
    pub(crate) endpoint_list: EndpointListWatch,
    pub(crate) concurrency_limit: ConcurrencyLimit,
    pub(crate) subsetting: Subsetting,
    pub(crate) slow_start: SlowStart,
    pub(crate) outlier: OutlierDetector,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) exposure: Exposure,
    pub(crate) sequential_test: SequentialTest,
    pub(crate) voting: VoteState,
}

impl Router {
    /// Creates a router without pods. The same seed and the same calls give the same decisions.
    pub fn new(now: Nanos, seed: u64, settings: RouterSettings) -> Router {
        let classes = settings.route_classes;
        let instances = settings.position.instances.max(1);
        let needed = settings.votes.rollback_quorum.clamp(1, instances);
        Router {
            random: Rand64::new(seed as u128),
            pods: PodTable::default(),
            announced: None,
            requests: 0,
            endpoint_list: EndpointListWatch::new(settings.endpoint_list),
            concurrency_limit: ConcurrencyLimit::new(),
            subsetting: Subsetting::default(),
            slow_start: SlowStart::new(settings.pods),
            outlier: OutlierDetector::new(&classes),
            retry_budget: RetryBudget::new(),
            exposure: Exposure::new(settings.exposure, now, classes.len()),
            sequential_test: SequentialTest::new(Bounds::new(instances, needed)),
            voting: VoteState::new(settings.votes),
            position: settings.position,
            attempt_settings: settings.attempts,
            route_classes: RouteClasses::new(classes, latency::initial_mean),
        }
    }

    /// Starts the watch on the endpoint list, where one is needed, and schedules the first periodic update. Must be
    /// called once.
    pub fn start(&mut self, host: &mut dyn Host) {
        if self.endpoint_list.must_be_requested() {
            host.watch_endpoints(true);
        }
        schedule_update(host);
    }

    /// Handles a request that arrived. The router answers it through the host, now or later.
    pub fn handle_request(&mut self, host: &mut dyn Host, request: IncomingRequest) {
        let now = host.now();
        self.exposure.counts.add_request(now, request.class);
        self.retry_budget.record_request(now);
        self.requests = self.requests.saturating_add(1);
        self.admit_or_reject(host, request, &[]);
    }

    /// Continues a request taken over from another instance, which sent the attempts `prior`. The request was
    /// counted where it arrived and is not counted again.
    pub fn resume_request(
        &mut self,
        host: &mut dyn Host,
        request: IncomingRequest,
        prior: &[PriorAttempt],
    ) {
        self.admit_or_reject(host, request, prior);
    }

    /// Sends the first attempt if the concurrency limit admits the request. Otherwise answers the request at once.
    fn admit_or_reject(
        &mut self,
        host: &mut dyn Host,
        request: IncomingRequest,
        prior: &[PriorAttempt],
    ) {
        let now = host.now();
        self.subsetting
            .record_in_flight(self.concurrency_limit.in_flight);
        let objective = self.route_classes[request.class].latency_objective;
        let in_flight = InFlightRequest::new(now, &request, objective, prior, &self.pods);
        let in_flight = Rc::new(RefCell::new(in_flight));
        if self.admits(request.class) {
            return self.next_attempt(host, in_flight);
        }
        self.record_rejection(now);
        self.reject_or_fail(host, &in_flight);
    }

    /// Sends the next attempt, or gives the final answer where no further attempt is possible.
    fn next_attempt(&mut self, host: &mut dyn Host, request: SharedRequest) {
        let now = host.now();
        let exhausted = now >= request.borrow().deadline || self.is_exhausted(&request.borrow());
        let chosen = if exhausted {
            None
        } else {
            self.choose_pod(now, &request.borrow())
        };
        // An attempt to a pod that is not in the table would not be sent, and the request would never be
        // answered.
        let Some(pod) = chosen.filter(|pod| self.pods.get(*pod).is_some()) else {
            return self.reject_or_fail(host, &request);
        };
        let timeout = self.attempt_timeout(now, &request.borrow());
        self.send_attempt(host, &request, pod, timeout);
        self.schedule_hedge(host, &request, pod);
    }

    /// Counts an attempt and sends it.
    fn send_attempt(
        &mut self,
        host: &mut dyn Host,
        request: &SharedRequest,
        id: PodId,
        timeout: Nanos,
    ) {
        let now = host.now();
        let Some(pod) = self.pods.get(id) else {
            return;
        };
        let attempt = Attempt {
            pod: id,
            endpoint: pod.endpoint,
            sent_at: now,
            warm: self.slow_start.is_warm(now, &pod.endpoint),
            evenly_loaded: self.is_evenly_loaded(pod),
            first: request.borrow().tried.is_empty(),
        };
        self.pods.count_attempt(now, id);
        self.concurrency_limit.in_flight += 1;
        let (request_id, class) = (request.borrow().id, request.borrow().class);
        self.exposure
            .counts
            .add_attempt(now, attempt.endpoint.build, class);
        request.borrow_mut().tried.push(id);
        request.borrow_mut().attempts_in_flight += 1;
        let request = request.clone();
        let on_end = move |router: &mut Router, host: &mut dyn Host, outcome| {
            router.attempt_ended(host, request, &attempt, &outcome);
        };
        host.send_attempt(request_id, id, timeout, Box::new(on_end));
    }

    /// Sets the timer for a hedged attempt, where one is allowed.
    fn schedule_hedge(&mut self, host: &mut dyn Host, request: &SharedRequest, pod: PodId) {
        let sent_at = host.now();
        let endpoint = self.pods.get(pod).map(|pod| pod.endpoint);
        let Some(delay) = self.hedge_delay(sent_at, &request.borrow(), endpoint) else {
            return;
        };
        let first_run = endpoint.map(|endpoint| PossibleRun {
            at: sent_at,
            zone: endpoint.zone,
            cell: endpoint.cell,
        });
        let request = request.clone();
        let on_timer = move |router: &mut Router, host: &mut dyn Host, ()| {
            router.send_hedge(host, &request, first_run);
        };
        host.set_timer(delay, Box::new(on_timer));
    }

    /// Sends a hedged attempt, if it is still useful. `first_run` is when and where the attempt in flight may run.
    fn send_hedge(
        &mut self,
        host: &mut dyn Host,
        request: &SharedRequest,
        first_run: Option<PossibleRun>,
    ) {
        let now = host.now();
        let timeout = self.hedge_timeout(now, &request.borrow());
        let is_open = host.is_open(request.borrow().id);
        let Some(timeout) = timeout.filter(|_| is_open) else {
            return;
        };
        let previous_run = std::mem::replace(&mut request.borrow_mut().possible_run, first_run);
        let chosen = self.choose_pod(now, &request.borrow());
        let Some(pod) = chosen else {
            request.borrow_mut().possible_run = previous_run;
            return;
        };
        self.retry_budget.record_retry(now);
        self.send_attempt(host, request, pod, timeout);
    }

    /// Records an attempt that ended. Unless the request has its final answer, retries it or answers it.
    fn attempt_ended(
        &mut self,
        host: &mut dyn Host,
        request: SharedRequest,
        attempt: &Attempt,
        outcome: &AttemptOutcome,
    ) {
        request.borrow_mut().attempts_in_flight -= 1;
        self.record_outcome(host, &request.borrow(), attempt, outcome);
        if outcome.request_finished || !host.is_open(request.borrow().id) {
            return;
        }
        let now = host.now();
        let end = outcome.end;
        if !end.never_ran() && request.borrow().possible_run.is_none() {
            request.borrow_mut().possible_run = Some(PossibleRun {
                at: attempt.sent_at,
                zone: attempt.endpoint.zone,
                cell: attempt.endpoint.cell,
            });
        }
        // Another attempt is in flight and may still be served. If it fails, its end decides on the retry.
        if request.borrow().attempts_in_flight > 0 {
            return;
        }
        if !self.may_retry(now, &request.borrow(), end) {
            return self.reject_or_fail(host, &request);
        }
        self.retry_budget.record_retry(now);
        let avoids_trial = self.avoids_trial_after(attempt, end);
        request.borrow_mut().avoids_trial |= avoids_trial;
        self.next_attempt(host, request);
    }

    /// Passes an ended attempt to every decision that learns from it.
    fn record_outcome(
        &mut self,
        host: &mut dyn Host,
        request: &InFlightRequest,
        attempt: &Attempt,
        outcome: &AttemptOutcome,
    ) {
        let (now, end) = (host.now(), outcome.end);
        let relative_latency = self.learn_latency(request.class, attempt, outcome);
        let ejection_fraction = outlier::draw_ejection_fraction(&mut self.random);
        let pod = self.pods.get(attempt.pod);
        let pod_silent = pod.is_none_or(|pod| self.outlier.is_silent(now, pod));
        if let Some(pod) = self.pods.get_mut(attempt.pod) {
            pod.in_flight = pod.in_flight.saturating_sub(1);
            selection::learn_slowness(now, pod, end, relative_latency.ratio);
            self.slow_start.record_attempt_end(now, pod, end);
            self.outlier
                .record_attempt_end(now, pod, attempt, end, ejection_fraction);
        }
        let ended = EndedAttempt {
            attempt,
            outcome,
            latency_objective: self.route_classes[request.class].latency_objective,
            slow: relative_latency.slow,
            pod_silent,
        };
        self.concurrency_limit.record_attempt_end(now, &ended);
        if evidence::is_evidence(&ended) {
            self.record_evidence(now, &ended);
            self.evaluate_vote(host);
        }
        self.record_sticky_key(request.key, attempt, end);
    }

    /// Gives the final answer to a request that gets no further attempt, without waiting for its deadline.
    fn reject_or_fail(&mut self, host: &mut dyn Host, request: &SharedRequest) {
        let request = request.borrow();
        if self.is_client_retry_harmless(host.now(), &request) {
            host.reject(request.id, self.attempt_settings.max_retry_after);
        } else {
            host.fail(request.id);
        }
    }

    /// Updates all state that changes with time alone, and schedules the next update.
    fn update(&mut self, host: &mut dyn Host) {
        let now = host.now();
        self.update_pods(now);
        self.update_periods(now);
        self.update_sampling(now);
        self.evaluate_vote(host);
        if self.exposure.is_fraction_update_due(now) {
            if !self.on_trial() {
                self.sequential_test.periods.learn_baseline();
            }
            let in_doubt = self.sequential_test.in_doubt();
            self.exposure.update_used_fraction(now, in_doubt);
        }
        schedule_update(host);
    }

    fn update_pods(&mut self, now: Nanos) {
        self.slow_start.update(now, &mut self.pods);
        self.subsetting.update(
            now,
            &self.position,
            &mut self.pods,
            &self.outlier,
            &self.slow_start,
        );
        self.outlier.update_panic_mode(now, &self.pods);
    }

    /// Applies an endpoint list: the complete one, or the endpoints that changed.
    pub fn update_endpoints(
        &mut self,
        host: &mut dyn Host,
        is_complete: bool,
        endpoints: &[Endpoint],
    ) {
        self.endpoint_list.record_list();
        let overload_window = self.slow_start.settings.overload_window;
        let window = || SlidingWindow::new(overload_window, WINDOW_SLICES);
        self.pods.apply(is_complete, endpoints, window);
        self.update_pods(host.now());
        let trial_build = self.sequential_test.build;
        let pods = &self.pods;
        self.exposure
            .counts
            .retain_builds(|build| build >= trial_build || pods.count_of_build(build) > 0);
    }

    /// Handles a failed watch on the endpoint list: requests a new watch after a delay.
    pub fn endpoint_watch_failed(&mut self, host: &mut dyn Host) {
        let wait = self.endpoint_list.record_failure(&mut self.random);
        host.set_timer(wait, Box::new(|_, host, ()| host.watch_endpoints(true)));
    }

    /// Applies changes of the route classes. Must not be called during another call. Requests in flight keep
    /// the index of their class, and so the rules, with which they arrived. `in_force` are the classes that new
    /// requests may have.
    pub fn set_route_classes(&mut self, changes: &[RouteClassChange], in_force: &[RouteClassId]) {
        for change in changes {
            let is_new = change.predecessor.is_none();
            self.route_classes.apply(change);
            self.exposure
                .counts
                .set_bucket(change.class, change.bucket, is_new);
        }
        let rules_in_force = || in_force.iter().map(|class| &self.route_classes[*class]);
        self.outlier.update_silence_limit(rules_in_force());
        self.route_classes.max_priority_weight = max_priority_weight(rules_in_force());
    }

    /// Applies a stage that the control plane announced.
    pub fn update_stage(&mut self, host: &mut dyn Host, stage: Stage) {
        let previous = self.announced.map(|announced| announced.stage);
        if previous
            .is_none_or(|previous| (previous.build, previous.stage) != (stage.build, stage.stage))
        {
            self.sequential_test.restart(stage.build);
            self.voting.restart_stage();
            self.exposure.restart_stage();
            self.pods.forget_evidence();
        }
        let rolling_back = matches!(stage.phase, Phase::RollingBack | Phase::Withdrawn);
        if rolling_back || previous.is_some_and(|previous| previous.build != stage.build) {
            self.exposure.forget_sticky_keys();
        }
        let began = host.now().saturating_sub(stage.age);
        self.announced = Some(AnnouncedStage { stage, began });
        self.evaluate_vote(host);
    }

    /// Receives the control plane's sampled count of the attempts of all instances. No decision uses it.
    pub fn update_tally(&mut self, _host: &mut dyn Host, _tally: Tally) {}

    /// Records a fault that a client found in a pod's answer. `ago` is the time since the pod sent that answer.
    pub fn report_fault(
        &mut self,
        host: &mut dyn Host,
        pod: PodId,
        _class: RouteClassId,
        ago: Nanos,
    ) {
        if self.record_reported_fault(host.now(), pod, ago) {
            self.evaluate_vote(host);
        }
    }

    /// Casts a vote if one is due.
    fn evaluate_vote(&mut self, host: &mut dyn Host) {
        let Some(AnnouncedStage { stage, began }) = self.announced else {
            return;
        };
        let now = host.now();
        let latest_start = self.pods.latest_start(stage.build).unwrap_or(began);
        let running_for = now.saturating_sub(latest_start.max(began));
        let ballot = self
            .voting
            .wanted_ballot(now, &self.sequential_test, stage, running_for);
        let Some(vote) = self.voting.take_due_vote(now, ballot) else {
            return;
        };
        let (build, number) = (stage.build, stage.stage);
        let sums = self.sums();
        host.log(&format!(
            "vote {} build {build} stage {number} sums {sums:.2?}",
            vote_word(vote)
        ));
        let on_reply = move |router: &mut Router, host: &mut dyn Host, reply: VoteReply| {
            router.vote_answered(host, now, ballot, reply);
        };
        host.cast_vote(build, number, vote, Box::new(on_reply));
    }

    fn vote_answered(
        &mut self,
        host: &mut dyn Host,
        cast_at: Nanos,
        ballot: Ballot,
        reply: VoteReply,
    ) {
        let now = host.now();
        self.voting
            .record_receipt(now, cast_at, ballot, reply.receipt, &mut self.random);
        match reply.stage {
            Some(stage) => self.update_stage(host, stage),
            None => self.evaluate_vote(host),
        }
    }

    /// Returns the sums of the sequential test: of failures, of slow answers and of the alternating periods.
    pub fn sums(&self) -> (f64, f64, f64) {
        let test = &self.sequential_test;
        (test.failure_sum, test.slow_sum, test.periods.sum)
    }

    /// Returns how many pods were visited since the start.
    pub fn visits(&self) -> PodVisits {
        self.pods.visits()
    }
}

/// Returns the word for a vote in the log. Traces record the log line and a replay compares it, so the words must
/// stay as the earliest traces have them.
fn vote_word(vote: Vote) -> &'static str {
    match vote {
        Vote::None => "None",
        Vote::Advance => "On",
        Vote::Hold => "Hold",
        Vote::RollBack => "Back",
    }
}

fn schedule_update(host: &mut dyn Host) {
    let on_timer = |router: &mut Router, host: &mut dyn Host, ()| router.update(host);
    host.set_timer(outlier::UPDATE_INTERVAL, Box::new(on_timer));
}
