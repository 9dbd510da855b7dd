//! Counts of requests and attempts, and the names of attempt ends and votes in outputs.

use crate::request_timelines::{Answer, RequestTimeline};
use havenplank::interface::{AttemptEnd, Nanos, Vote};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

const NANOS_PER_MICRO: Nanos = 1_000;
/// Ten minutes; a longer latency is counted as this one.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant decimal digits of a latency in the histogram.
const LATENCY_DIGITS: u8 = 3;

/// Counts of requests and attempts.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Requests.
    pub requests: u64,
    /// Requests that were answered by a pod.
    pub delivered: u64,
    /// Delivered requests within their latency objective.
    pub in_time: u64,
    /// Requests that the sidecar rejected.
    pub rejected: u64,
    /// Requests that the sidecar answered with an error.
    pub failed: u64,
    /// Requests whose client disconnected before an answer.
    pub client_left: u64,
    /// Attempts by their end; attempts in flight are not counted.
    pub attempts: BTreeMap<&'static str, u64>,
    /// Time from arrival to delivery, in microseconds, to three significant digits.
    pub latency: Option<Histogram<u32>>,
}

impl Default for Figures {
    fn default() -> Figures {
        let mut latency = Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS).ok();
        if let Some(latency) = &mut latency {
            latency.auto(true);
        }
        Figures {
            requests: 0,
            delivered: 0,
            in_time: 0,
            rejected: 0,
            failed: 0,
            client_left: 0,
            attempts: BTreeMap::new(),
            latency,
        }
    }
}

impl Figures {
    /// Counts a request; `target` is its latency objective in nanoseconds.
    pub(super) fn count_request(&mut self, timeline: &RequestTimeline, target: Nanos) {
        self.requests += 1;
        let Some((answer, at)) = timeline.answer else {
            return;
        };
        let took = at.saturating_sub(timeline.arrived_at);
        match answer {
            Answer::Delivered => {
                self.delivered += 1;
                self.in_time += (took <= target) as u64;
                if let Some(latency) = &mut self.latency {
                    latency.saturating_record(took / NANOS_PER_MICRO);
                }
            }
            Answer::Rejected => self.rejected += 1,
            Answer::Failed => self.failed += 1,
            Answer::ClientLeft => self.client_left += 1,
        }
    }

    /// Counts an attempt that has ended.
    pub(super) fn count_attempt(&mut self, end: AttemptEnd) {
        *self.attempts.entry(attempt_end_name(end)).or_default() += 1;
    }

    /// Returns a quantile of the time to delivery, in milliseconds; 0 where nothing was delivered.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        let latency = self.latency.as_ref().filter(|latency| !latency.is_empty());
        latency.map_or(0.0, |latency| {
            latency.value_at_quantile(quantile) as f64 / 1_000.0
        })
    }
}

/// Returns the name of an attempt's end in summaries and in the JSON view.
pub fn attempt_end_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Served => "delivered",
        AttemptEnd::Failed => "error",
        AttemptEnd::Rejected => "full",
        AttemptEnd::TimedOut => "time_out",
        AttemptEnd::ConnectFailed => "no_connection",
        AttemptEnd::Reset => "reset",
        AttemptEnd::Cancelled => "cancelled",
        AttemptEnd::NotSent => "not_sent",
    }
}

/// Returns the name of a vote in summaries and in the JSON view.
pub fn vote_name(vote: Vote) -> &'static str {
    match vote {
        Vote::None => "none",
        Vote::Advance => "on",
        Vote::Hold => "hold",
        Vote::RollBack => "back",
    }
}
