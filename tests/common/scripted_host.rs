//! A host whose pods give scripted answers. It models no machines, queues or networks.

use super::notation::{vote_word, Answer};
use havenplank::interface::{
    AttemptEnd, AttemptOutcome, Build, Callback, HealthCheckResult, Host, IncomingRequest, Nanos,
    PodId, RequestId, Vote, VoteReceipt, VoteReply,
};
use havenplank::Router;
use std::collections::{BTreeMap, HashMap};

const SECOND: f64 = 1e9;
/// The time from a vote to its reply.
const VOTE_LATENCY: Nanos = 50_000_000;

/// An event that is scheduled for a later time.
enum ScheduledEvent {
    Request(IncomingRequest),
    AttemptEnd(RequestId, usize),
    Timer(Callback<()>),
    VoteReply(Callback<VoteReply>, VoteReply),
}

/// An attempt in flight.
struct InFlight {
    sent_at: Nanos,
    end: AttemptEnd,
    on_done: Callback<AttemptOutcome>,
}

/// A pod with its scripted answer and its build.
#[derive(Clone)]
pub struct ScriptedPod {
    pub answer: Answer,
    pub build: Build,
}

/// Simulates pods, clients and the control plane, and counts the effects that the router requests.
#[derive(Default)]
pub struct ScriptedHost {
    pub now: Nanos,
    pub pods: Vec<ScriptedPod>,
    /// The replies to votes are lost.
    pub loses_replies: bool,
    /// How often each effect was requested, by its name in the scenarios.
    pub counts: BTreeMap<String, f64>,
    scheduled: BTreeMap<(Nanos, u64), ScheduledEvent>,
    sequence: u64,
    deadlines: HashMap<RequestId, Nanos>,
    attempts: HashMap<(RequestId, usize), InFlight>,
    /// The number of the last attempt of each request.
    last_attempt: HashMap<RequestId, usize>,
}

impl ScriptedHost {
    pub fn new(now: Nanos) -> ScriptedHost {
        ScriptedHost {
            now,
            ..ScriptedHost::default()
        }
    }

    pub fn count_of(&self, name: &str) -> f64 {
        self.counts.get(name).copied().unwrap_or(0.0)
    }

    /// Returns the number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.deadlines.len()
    }

    /// Discards all scheduled events, as a restart does.
    pub fn clear_scheduled(&mut self) {
        self.scheduled.clear();
    }

    pub fn schedule_request(&mut self, at: Nanos, request: IncomingRequest) {
        self.schedule(at, ScheduledEvent::Request(request));
    }

    /// Handles all events that are scheduled up to a time, and sets the clock to it.
    pub fn run_until(&mut self, router: &mut Router, until: Nanos) {
        while let Some(next) = self
            .scheduled
            .first_entry()
            .filter(|next| next.key().0 <= until)
        {
            self.now = next.key().0;
            match next.remove() {
                ScheduledEvent::Request(request) => {
                    self.deadlines
                        .insert(request.id, self.now + request.remaining);
                    router.handle_request(self, request);
                }
                ScheduledEvent::AttemptEnd(request, number) => {
                    self.end_attempt(router, request, number)
                }
                ScheduledEvent::Timer(on_done) => on_done(router, self, ()),
                ScheduledEvent::VoteReply(on_done, reply) => on_done(router, self, reply),
            }
        }
        self.now = until;
    }

    fn end_attempt(&mut self, router: &mut Router, request: RequestId, number: usize) {
        let attempt = self.attempts.remove(&(request, number)).unwrap();
        if attempt.end == AttemptEnd::Served {
            self.finish(request, "delivered");
        }
        let outcome = AttemptOutcome {
            end: attempt.end,
            took: self.now - attempt.sent_at,
            request_finished: !self.is_open(request),
            load: None,
        };
        (attempt.on_done)(router, self, outcome);
    }

    fn schedule(&mut self, at: Nanos, event: ScheduledEvent) {
        self.sequence += 1;
        self.scheduled.insert((at, self.sequence), event);
    }

    fn count(&mut self, name: &str) {
        *self.counts.entry(name.to_string()).or_default() += 1.0;
    }

    fn finish(&mut self, request: RequestId, outcome_name: &str) {
        if let Some(deadline) = self.deadlines.remove(&request) {
            let is_late = self.now > deadline;
            self.count(if is_late { "overdue" } else { outcome_name });
            let now_s = self.now as f64 / SECOND;
            self.counts.insert("answered_at".into(), now_s);
        }
    }

    fn count_attempt(&mut self, pod: PodId) {
        let pod_count_name = format!("forwards:pod{pod}");
        self.count("forwards");
        self.count(&pod_count_name);
        if self.counts[&pod_count_name] == 1.0 {
            self.count("met");
        }
        self.count(&format!("forwards:build{}", self.pods[pod].build));
    }
}

impl Host for ScriptedHost {
    fn now(&self) -> Nanos {
        self.now
    }

    fn is_open(&self, request: RequestId) -> bool {
        self.deadlines.contains_key(&request)
    }

    fn send_attempt(
        &mut self,
        request: RequestId,
        pod: PodId,
        timeout: Nanos,
        on_done: Callback<AttemptOutcome>,
    ) {
        assert!(
            self.is_open(request),
            "the router sent an attempt for a request that has its final answer"
        );
        let answer = self.pods[pod].answer.clone();
        let end = answer.end(request);
        let until = self.deadlines[&request].min(self.now + timeout);
        let ends_at = if end == AttemptEnd::TimedOut {
            until
        } else {
            self.now + answer.latency
        };
        let end = if ends_at > until {
            AttemptEnd::TimedOut
        } else {
            end
        };
        let last = self.last_attempt.entry(request);
        let number = *last.and_modify(|number| *number += 1).or_insert(0);
        self.count_attempt(pod);
        let attempt = InFlight {
            sent_at: self.now,
            end,
            on_done,
        };
        self.attempts.insert((request, number), attempt);
        self.schedule(
            ends_at.min(until),
            ScheduledEvent::AttemptEnd(request, number),
        );
    }

    fn cancel_attempt(&mut self, _: RequestId, _: u32) {
        self.count("cancels");
    }

    fn reject(&mut self, request: RequestId, _: Nanos) {
        self.finish(request, "bounced");
    }

    fn fail(&mut self, request: RequestId) {
        self.finish(request, "errored");
    }

    fn cast_vote(&mut self, _: Build, _: usize, vote: Vote, on_done: Callback<VoteReply>) {
        let word = vote_word(vote);
        self.count(&format!("votes:{word}"));
        let last = self.now as f64 / SECOND;
        let first = self.counts.entry(format!("first:{word}")).or_insert(last);
        let gap = last - *first;
        self.counts.insert("vote_gap".into(), gap);
        let receipt = if self.loses_replies {
            VoteReceipt::Unknown
        } else {
            VoteReceipt::Counted
        };
        let reply = VoteReply {
            receipt,
            stage: None,
        };
        self.schedule(
            self.now + VOTE_LATENCY,
            ScheduledEvent::VoteReply(on_done, reply),
        );
    }

    fn health_check(&mut self, _: PodId, _: Callback<HealthCheckResult>) {
        self.count("probes");
    }

    fn poll_endpoints(&mut self) {
        self.count("asks");
    }

    fn watch_endpoints(&mut self, _: bool) {
        self.count("watches");
    }

    fn set_timer(&mut self, after: Nanos, on_done: Callback<()>) {
        self.schedule(self.now + after.max(1), ScheduledEvent::Timer(on_done));
    }

    fn log(&mut self, _: &str) {}
}
