//! Rule `answered`: every request gets one answer in time, and no attempt after its answer.

use super::history::{History, Request};
use super::verdict::Verdict;
use super::Arrival;
use crate::ledger::{Answer, RuleParameters};
use havenplank::interface::Nanos;
use std::collections::HashMap;

const NS_PER_US: Nanos = 1_000;

/// When a sidecar was killed or asked to stop, over all its restarts.
#[derive(Default)]
struct Shutdowns {
    kills: Vec<Nanos>,
    stops: Vec<Nanos>,
}

impl Shutdowns {
    /// Returns whether the sidecar owed a request no answer: it was killed while the client waited, or was asked to
    /// stop before it could have admitted the request.
    fn excuse(&self, request: &Request, parameters: &RuleParameters) -> bool {
        let awaited = request.at..=request.at + request.remaining + parameters.answer_slack;
        let stopped = |stop: &Nanos| {
            *stop <= request.at + parameters.transit && request.at <= stop + request.remaining
        };
        self.kills.iter().any(|kill| awaited.contains(kill)) || self.stops.iter().any(stopped)
    }
}

pub(super) struct AnsweredRule {
    pub(super) verdict: Verdict,
    shutdowns: HashMap<String, Shutdowns>,
}

impl AnsweredRule {
    pub(super) fn new() -> AnsweredRule {
        AnsweredRule {
            verdict: Verdict::new("answered"),
            shutdowns: HashMap::new(),
        }
    }

    pub(super) fn note_kill(&mut self, at: Nanos, sidecar: &str) {
        let shutdowns = self.shutdowns.entry(sidecar.to_string()).or_default();
        shutdowns.kills.push(at);
    }

    pub(super) fn note_stop(&mut self, at: Nanos, sidecar: &str) {
        let shutdowns = self.shutdowns.entry(sidecar.to_string()).or_default();
        shutdowns.stops.push(at);
    }

    pub(super) fn report_second_answer(
        &mut self,
        at: Nanos,
        ask: u64,
        second: Answer,
        first: Answer,
    ) {
        self.verdict
            .report(at, format!("ask {ask}: {second:?} after {first:?}"));
    }

    /// Checks that the first answer of a request came in time, or that the sidecar owed none.
    pub(super) fn check_answer(
        &mut self,
        ask: u64,
        request: &Request,
        parameters: &RuleParameters,
    ) {
        let Some(answered) = request.answered else {
            return;
        };
        let (at, answer) = (answered.at, answered.answer);
        match answer {
            Answer::Left | Answer::NotTaken => {}
            Answer::Broken | Answer::Missing => {
                if !self.is_excused(request, parameters) {
                    let what = format!("ask {ask} to {}: {answer:?}", request.sidecar);
                    self.verdict.report(at, what);
                }
            }
            Answer::Delivered | Answer::Bounced | Answer::Errored => {
                let took = at - request.at;
                let limit = request.remaining + parameters.answer_slack;
                self.verdict.test(took as f64 / limit as f64);
                if took > limit {
                    let late_us = (took - limit) / NS_PER_US;
                    let what = format!("ask {ask}: {answer:?} {late_us} us late");
                    self.verdict.report(at, what);
                }
            }
        }
    }

    /// Checks that no attempt arrives after the answer, unless the client left: the sidecar learns of that only later.
    pub(super) fn check_attempt(
        &mut self,
        arrival: &Arrival,
        request: &Request,
        parameters: &RuleParameters,
    ) {
        let is_late = request.answered.is_some_and(|first| {
            first.answer != Answer::Left && arrival.at > first.at + parameters.transit
        });
        if is_late {
            let Arrival { ask, pod, .. } = arrival;
            let what = format!("ask {ask}: forwarded to {} after its answer", pod.name);
            self.verdict.report(arrival.at, what);
        }
    }

    /// Checks at the end of the ledger that every request whose client has stopped waiting got an answer.
    pub(super) fn check_unanswered(&mut self, history: &History, end: Nanos) {
        let unanswered = history
            .requests
            .iter()
            .filter(|(_, request)| request.answered.is_none());
        let mut unanswered: Vec<(&u64, &Request)> = unanswered.collect();
        unanswered.sort_by_key(|(ask, request)| (request.at, **ask));
        for (ask, request) in unanswered {
            let due = request.at + request.remaining + history.parameters.answer_slack;
            if due < end && !self.is_excused(request, &history.parameters) {
                let what = format!("ask {ask} to {}: no answer", request.sidecar);
                self.verdict.report(due, what);
            }
        }
    }

    fn is_excused(&self, request: &Request, parameters: &RuleParameters) -> bool {
        let shutdowns = self.shutdowns.get(&request.sidecar);
        shutdowns.is_some_and(|shutdowns| shutdowns.excuse(request, parameters))
    }
}
