//! Rule `answered`: every request is answered once and in time, and not attempted after its answer.

use super::history::{History, Request};
use super::verdict::Verdict;
use super::Arrival;
use crate::ledger::{Answer, Figures};
use havenplank::interface::Nanos;
use std::collections::HashMap;

const NS_PER_US: Nanos = 1_000;

/// When a sidecar was ended, all its starts together.
#[derive(Default)]
struct Ends {
    killed: Vec<Nanos>,
    told_to_stop: Vec<Nanos>,
}

impl Ends {
    /// Whether a request that got no answer was no longer the sidecar's duty: it was killed while the answer was awaited,
    /// or had been told to stop before it could have admitted the request.
    fn excuse(&self, request: &Request, figures: &Figures) -> bool {
        let awaited = request.at..=request.at + request.remaining + figures.answer_slack;
        let stopped = |stop: &Nanos| {
            *stop <= request.at + figures.transit && request.at <= stop + request.remaining
        };
        self.killed.iter().any(|kill| awaited.contains(kill))
            || self.told_to_stop.iter().any(stopped)
    }
}

pub(super) struct AnsweredRule {
    pub(super) verdict: Verdict,
    ends: HashMap<String, Ends>,
}

impl AnsweredRule {
    pub(super) fn new() -> AnsweredRule {
        AnsweredRule {
            verdict: Verdict::new("answered"),
            ends: HashMap::new(),
        }
    }

    pub(super) fn note_kill(&mut self, at: Nanos, sidecar: &str) {
        let ends = self.ends.entry(sidecar.to_string()).or_default();
        ends.killed.push(at);
    }

    pub(super) fn note_stop(&mut self, at: Nanos, sidecar: &str) {
        let ends = self.ends.entry(sidecar.to_string()).or_default();
        ends.told_to_stop.push(at);
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

    /// Checks the first answer of a request: that it came in time, or that none was owed any more.
    pub(super) fn check_answer(&mut self, ask: u64, request: &Request, figures: &Figures) {
        let Some(answered) = request.answered else {
            return;
        };
        let (at, answer) = (answered.at, answered.answer);
        match answer {
            Answer::Left | Answer::NotTaken => {}
            Answer::Broken | Answer::Missing => {
                if !self.is_excused(request, figures) {
                    let what = format!("ask {ask} to {}: {answer:?}", request.sidecar);
                    self.verdict.report(at, what);
                }
            }
            Answer::Delivered | Answer::Bounced | Answer::Errored => {
                let took = at - request.at;
                let most = request.remaining + figures.answer_slack;
                self.verdict.test(took as f64 / most as f64);
                if took > most {
                    let late_us = (took - most) / NS_PER_US;
                    let what = format!("ask {ask}: {answer:?} {late_us} us late");
                    self.verdict.report(at, what);
                }
            }
        }
    }

    /// Checks that an attempt does not come after the answer; a client that went away is not told of its end.
    pub(super) fn check_attempt(
        &mut self,
        arrival: &Arrival,
        request: &Request,
        figures: &Figures,
    ) {
        let is_late = request.answered.is_some_and(|first| {
            first.answer != Answer::Left && arrival.at > first.at + figures.transit
        });
        if is_late {
            let Arrival { ask, pod, .. } = arrival;
            let what = format!("ask {ask}: forwarded to {} after its answer", pod.pod);
            self.verdict.report(arrival.at, what);
        }
    }

    /// Checks, at the end of the ledger, that no request is left without an answer.
    pub(super) fn check_unanswered(&mut self, history: &History, end: Nanos) {
        let unanswered = history
            .requests
            .iter()
            .filter(|(_, request)| request.answered.is_none());
        let mut unanswered: Vec<(&u64, &Request)> = unanswered.collect();
        unanswered.sort_by_key(|(ask, request)| (request.at, **ask));
        for (ask, request) in unanswered {
            let due = request.at + request.remaining + history.figures.answer_slack;
            if due < end && !self.is_excused(request, &history.figures) {
                let what = format!("ask {ask} to {}: no answer", request.sidecar);
                self.verdict.report(due, what);
            }
        }
    }

    fn is_excused(&self, request: &Request, figures: &Figures) -> bool {
        let ends = self.ends.get(&request.sidecar);
        ends.is_some_and(|ends| ends.excuse(request, figures))
    }
}
