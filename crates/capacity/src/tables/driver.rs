//! Drives the engine of a sidecar without sockets and in virtual time.

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
/// How long a sample pod takes to respond.
const RESPONSE_TIME: Nanos = 5 * MS;
/// The time from the arrival of a request to its deadline.
const TIME_TO_DEADLINE: Nanos = 2 * SECOND;

/// Sends requests to a sidecar's engine at a steady rate, and responds to each attempt after a fixed time.
pub struct Driver {
    /// The product's engine.
    pub engine: Engine,
    /// The current time of the engine.
    pub(super) now: Nanos,
    route_count: u64,
    rng: Rand64,
    pending: VecDeque<PendingResponse>,
    effect_counts: EffectCounts,
}

struct SentAttempt {
    request: RequestId,
    attempt: u32,
}

/// A response that a pod sends later.
struct PendingResponse {
    due_at: Nanos,
    request: RequestId,
    attempt: u32,
    /// The time that the engine has spent on the request so far.
    spent: Duration,
}

/// The number of an engine's effects, by kind.
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
    /// Returns a driver with a new engine that has applied a complete list of these pods.
    pub fn new(site: &Site, seed: u64, pods: Vec<ListedEndpoint>) -> Driver {
        let mut engine = Engine::new(EPOCH, seed, &EngineSettings::from(site));
        engine.start(EPOCH);
        engine.update_endpoints(EPOCH, true, pods);
        let route_count = site.route_classes.len().max(1) as u64;
        let rng = Rand64::new(u128::from(seed));
        Driver {
            engine,
            now: EPOCH,
            route_count,
            rng,
            pending: VecDeque::new(),
            effect_counts: EffectCounts::default(),
        }
    }

    /// Returns the number of effects so far.
    pub fn effect_counts(&self) -> EffectCounts {
        self.effect_counts
    }

    /// Runs `work` and returns how many pods the engine visited during it.
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

    /// Applies a stage to the engine.
    pub fn update_stage(&mut self, stage: Stage) {
        self.engine.update_stage(self.now, stage);
        self.process_effects();
    }

    /// Applies changed pods to the engine and returns the time that the call took.
    pub fn update_endpoints(&mut self, pods: Vec<ListedEndpoint>) -> Duration {
        let start = Instant::now();
        self.engine.update_endpoints(self.now, false, pods);
        start.elapsed()
    }

    /// Reads and counts the engine's effects, and returns the attempts among them.
    fn process_effects(&mut self) -> Vec<SentAttempt> {
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

    /// Advances the virtual time, runs the engine's timers that are due, and returns the processor time that they took.
    pub fn advance_to(&mut self, until: Nanos) -> Duration {
        self.now = self.now.max(until);
        let start = Instant::now();
        self.engine.run_timers(self.now);
        let spent = start.elapsed();
        self.process_effects();
        spent
    }

    /// Sends one request and reads the effects that follow immediately.
    pub fn send_request(&mut self) {
        let route_class = self.rng.rand_range(0..self.route_count) as usize;
        let key = self.rng.rand_u64().max(1);
        let attributes = RequestAttributes {
            route_class,
            tenant: None,
            key,
            remaining: TIME_TO_DEADLINE,
            cost_hint: None,
            is_retry: false,
        };
        let start = Instant::now();
        self.engine.handle_request(self.now, attributes);
        let sent = self.process_effects();
        let spent = start.elapsed();
        self.schedule_responses(sent, spent);
    }

    /// Sends requests at a rate. Returns the total time that the engine spent on each, including its response.
    ///
    /// # Errors
    /// The histogram of times cannot be created.
    pub fn send_requests(
        &mut self,
        count: usize,
        rate_per_s: u64,
    ) -> Result<CallTimes, CapacityError> {
        let mut times = CallTimes::new()?;
        let start = self.now;
        for n in 0..count as u64 {
            let at = start + n * SECOND / rate_per_s;
            while let Some(response) = self.pending.pop_front_if(|response| response.due_at <= at) {
                times.record(self.respond(response));
            }
            times.tick_time += self.advance_to(at);
            self.send_request();
        }
        times.virtual_time = Duration::from_nanos(self.now - start);
        while let Some(response) = self.pending.pop_front() {
            times.record(self.respond(response));
        }
        Ok(times)
    }

    fn schedule_responses(&mut self, sent: Vec<SentAttempt>, spent: Duration) {
        let due_at = self.now + RESPONSE_TIME;
        let response = |sent: SentAttempt| PendingResponse {
            due_at,
            request: sent.request,
            attempt: sent.attempt,
            spent,
        };
        self.pending.extend(sent.into_iter().map(response));
    }

    fn respond(&mut self, response: PendingResponse) -> Duration {
        self.now = self.now.max(response.due_at);
        let start = Instant::now();
        self.engine.attempt_ended(
            self.now,
            response.request,
            response.attempt,
            AttemptEnd::Served,
            RESPONSE_TIME,
            None,
        );
        let sent = self.process_effects();
        let spent = response.spent + start.elapsed();
        self.schedule_responses(sent, spent);
        spent
    }
}
