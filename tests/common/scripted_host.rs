//! A host whose pods answer as their scripts say; nothing here models a machine, a queue or a network.

use super::notation::{vote_word, Answer};
use havenplank::interface::{
    AttemptEnd, AttemptOutcome, Build, Callback, HealthCheckResult, Host, IncomingRequest, Nanos,
    PodId, RequestId, Vote, VoteReceipt, VoteReply,
};
use havenplank::Router;
use std::collections::{BTreeMap, HashMap};

const SECOND: f64 = 1e9;
/// From a vote to its reply.
const VOTE_LATENCY: Nanos = 50_000_000;

/// What is due at a later time.
enum Due {
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

/// A pod's script and build.
#[derive(Clone)]
pub struct ScriptedPod {
    pub answer: Answer,
    pub build: Build,
}

/// Plays pods, clients and the control plane, and counts what the router does.
#[derive(Default)]
pub struct ScriptedHost {
    pub now: Nanos,
    pub pods: Vec<ScriptedPod>,
    /// Replies to votes are lost.
    pub loses_replies: bool,
    pub counts: BTreeMap<String, f64>,
    due: BTreeMap<(Nanos, u64), Due>,
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

    /// Requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.deadlines.len()
    }

    /// Forgets whatever is due, as a restart does.
    pub fn forget_due(&mut self) {
        self.due.clear();
    }

    pub fn schedule_request(&mut self, at: Nanos, request: IncomingRequest) {
        self.schedule(at, Due::Request(request));
    }

    /// Plays what is due until a time.
    pub fn play(&mut self, router: &mut Router, until: Nanos) {
        while let Some(next) = self.due.first_entry().filter(|next| next.key().0 <= until) {
            self.now = next.key().0;
            match next.remove() {
                Due::Request(request) => {
                    self.deadlines
                        .insert(request.id, self.now + request.remaining);
                    router.handle_request(self, request);
                }
                Due::AttemptEnd(request, number) => self.end_attempt(router, request, number),
                Due::Timer(on_done) => on_done(router, self, ()),
                Due::VoteReply(on_done, reply) => on_done(router, self, reply),
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

    fn schedule(&mut self, at: Nanos, due: Due) {
        self.sequence += 1;
        self.due.insert((at, self.sequence), due);
    }

    fn count(&mut self, name: &str) {
        *self.counts.entry(name.to_string()).or_default() += 1.0;
    }

    fn finish(&mut self, request: RequestId, how: &str) {
        if let Some(deadline) = self.deadlines.remove(&request) {
            let overdue = self.now > deadline;
            self.count(if overdue { "overdue" } else { how });
            let now_s = self.now as f64 / SECOND;
            self.counts.insert("answered_at".into(), now_s);
        }
    }

    fn count_attempt(&mut self, pod: PodId) {
        let of_pod = format!("forwards:pod{pod}");
        self.count("forwards");
        self.count(&of_pod);
        if self.counts[&of_pod] == 1.0 {
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
            "an attempt for a request that is over"
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
        self.schedule(ends_at.min(until), Due::AttemptEnd(request, number));
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
        self.schedule(self.now + VOTE_LATENCY, Due::VoteReply(on_done, reply));
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
        self.schedule(self.now + after.max(1), Due::Timer(on_done));
    }

    fn log(&mut self, _: &str) {}
}
