//! A sidecar's engine at work, without sockets and in virtual time.

use super::call_times::CallTimes;
use crate::error::CapacityError;
use havenplank::interface::{AttemptEnd, Nanos, RequestId, Stage};
use havenplank::PodVisits;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_settings::Site;
use havenplank_sidecar::engine::{Effect, Engine, EngineSettings, RequestAttributes, EPOCH};
use oorandom::Rand64;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

pub(super) const MS: Nanos = 1_000_000;
pub(super) const SECOND: Nanos = 1_000 * MS;
/// How long a sample pod takes to answer.
const ANSWERS_AFTER: Nanos = 5 * MS;
/// How long a client waits.
const REMAINING: Nanos = 2 * SECOND;

/// A sidecar's engine at work: requests at a steady rate, each answered after a fixed time.
pub struct Driver {
    /// The engine of the product.
    pub engine: Engine,
    /// The engine's time.
    pub(super) now: Nanos,
    routes: u64,
    rng: Rand64,
    due: VecDeque<Answer>,
    effect_counts: EffectCounts,
}

struct SentAttempt {
    request: RequestId,
    attempt: u32,
}

/// An answer that a pod gives later.
struct Answer {
    at: Nanos,
    request: RequestId,
    attempt: u32,
    /// Processor time of the engine on the request so far.
    spent: Duration,
}

/// Effects of an engine, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EffectCounts {
    /// Attempts sent to pods.
    pub attempts: u64,
    /// Requests rejected or failed.
    pub rejected: u64,
    /// Votes cast.
    pub votes: u64,
    /// All other effects.
    pub others: u64,
}

impl EffectCounts {
    /// Returns the number of all effects.
    pub fn all(&self) -> u64 {
        self.attempts + self.rejected + self.votes + self.others
    }
}

impl Driver {
    /// Returns a driver of a new engine that has taken in these pods.
    pub fn new(site: &Site, seed: u64, pods: Vec<ListedEndpoint>) -> Driver {
        let mut engine = Engine::new(EPOCH, seed, &EngineSettings::from(site));
        engine.start(EPOCH);
        engine.update_endpoints(EPOCH, true, pods);
        let routes = site.route_classes.len().max(1) as u64;
        let rng = Rand64::new(u128::from(seed));
        Driver {
            engine,
            now: EPOCH,
            routes,
            rng,
            due: VecDeque::new(),
            effect_counts: EffectCounts::default(),
        }
    }

    /// Returns the effects so far.
    pub fn effect_counts(&self) -> EffectCounts {
        self.effect_counts
    }

    /// Does `work` and returns the pods that the engine looked at meanwhile.
    pub fn pod_visits_during(&mut self, work: impl FnOnce(&mut Driver)) -> PodVisits {
        let before = self.engine.visits();
        work(self);
        let after = self.engine.visits();
        PodVisits {
            scanned: after.scanned - before.scanned,
            fetched: after.fetched - before.fetched,
            sorted: after.sorted - before.sorted,
        }
    }

    /// Tells the engine of a stage.
    pub fn update_stage(&mut self, stage: Stage) {
        self.engine.update_stage(self.now, stage);
        self.drain();
    }

    /// Tells the engine of changed pods and returns the time that the call took.
    pub fn update_endpoints(&mut self, pods: Vec<ListedEndpoint>) -> Duration {
        let began = Instant::now();
        self.engine.update_endpoints(self.now, false, pods);
        began.elapsed()
    }

    fn drain(&mut self) -> Vec<SentAttempt> {
        let mut sent = Vec::new();
        while let Some(effect) = self.engine.next_effect() {
            match effect {
                Effect::SendAttempt {
                    request, attempt, ..
                } => {
                    self.effect_counts.attempts += 1;
                    sent.push(SentAttempt { request, attempt });
                }
                Effect::Reject { .. } | Effect::Fail { .. } => self.effect_counts.rejected += 1,
                Effect::CastVote { .. } => self.effect_counts.votes += 1,
                _ => self.effect_counts.others += 1,
            }
        }
        sent
    }

    /// Lets time pass and returns the time that the engine's own wakes took.
    pub fn advance_to(&mut self, until: Nanos) -> Duration {
        self.now = self.now.max(until);
        let began = Instant::now();
        self.engine.run_timers(self.now);
        let spent = began.elapsed();
        self.drain();
        spent
    }

    /// Sends one request and takes out the effects that it leaves at once.
    pub fn send_request(&mut self) {
        let route_class = self.rng.rand_range(0..self.routes) as usize;
        let key = self.rng.rand_u64().max(1);
        let attributes = RequestAttributes {
            route_class,
            tenant: None,
            key,
            remaining: REMAINING,
            cost_hint: None,
            is_retry: false,
        };
        let began = Instant::now();
        self.engine.handle_request(self.now, attributes);
        let sent = self.drain();
        let spent = began.elapsed();
        self.expect_answers(sent, spent);
    }

    /// Sends requests at a rate and returns the time that each took the engine in all, with its answer.
    ///
    /// # Errors
    /// The histogram of times cannot be made.
    pub fn send_requests(
        &mut self,
        count: usize,
        rate_per_s: u64,
    ) -> Result<CallTimes, CapacityError> {
        let mut timed = CallTimes::new()?;
        let first = self.now;
        for n in 0..count as u64 {
            let at = first + n * SECOND / rate_per_s;
            while let Some(due) = self.due.pop_front_if(|answer| answer.at <= at) {
                timed.record(self.answer(due));
            }
            timed.ticks += self.advance_to(at);
            self.send_request();
        }
        timed.span = Duration::from_nanos(self.now - first);
        while let Some(due) = self.due.pop_front() {
            timed.record(self.answer(due));
        }
        Ok(timed)
    }

    fn expect_answers(&mut self, sent: Vec<SentAttempt>, spent: Duration) {
        let at = self.now + ANSWERS_AFTER;
        let answer = |sent: SentAttempt| Answer {
            at,
            request: sent.request,
            attempt: sent.attempt,
            spent,
        };
        self.due.extend(sent.into_iter().map(answer));
    }

    fn answer(&mut self, due: Answer) -> Duration {
        self.now = self.now.max(due.at);
        let began = Instant::now();
        self.engine.attempt_ended(
            self.now,
            due.request,
            due.attempt,
            AttemptEnd::Served,
            ANSWERS_AFTER,
            None,
        );
        let sent = self.drain();
        let spent = due.spent + began.elapsed();
        self.expect_answers(sent, spent);
        spent
    }
}
