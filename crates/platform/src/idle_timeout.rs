//! How long an idle connection is worth keeping, learnt from how its next request went.
//!
//! Free of I/O; time is handed in. The settings say when a pod closes an idle connection at the latest. What
//! lies between may forget it sooner and say nothing, so that the next request ends in a reset, which may
//! have run. Resets that have nothing to do with age come at any age alike, so ages are compared: a span of
//! ages where clearly more break than at younger ones is not waited for.

use std::time::{Duration, Instant};

/// A second answer may come some milliseconds behind the one it repeats (0.9 to 5.2 ms were seen, 13 times). A
/// connection rests longer than that before its next request, which would be given that answer: nothing in it tells
/// whose it is, and a look before the write does not see what is on its way.
const REST: Duration = Duration::from_millis(25);
/// Spans of ages, each twice as long as the one before, from this on.
const FIRST: Duration = Duration::from_millis(1);
const SPANS: usize = 18;
/// What is remembered fades by this in a second, so that older ages are tried again after some minutes.
const FADES: f64 = 0.98;
/// Requests that a span must have seen to be judged, and how many of the last count.
const ENOUGH: f64 = 8.0;
const MOST: f64 = 200.0;
/// A span is given up where so many times the younger ones' share breaks, and this share more.
const TIMES: f64 = 1.5;
const MORE: f64 = 0.1;

/// Whether a connection that was idle so long may carry its next request.
pub fn has_rested(idle: Duration) -> bool {
    idle >= REST
}

#[derive(Clone, Copy, Default)]
struct Span {
    used: f64,
    broke: f64,
}

pub struct IdleTimeout {
    most: Duration,
    spans: [Span; SPANS],
    faded: Instant,
}

impl IdleTimeout {
    /// `most`: the longest that is right by the settings.
    pub fn new(now: Instant, most: Duration) -> IdleTimeout {
        IdleTimeout {
            most,
            spans: [Span::default(); SPANS],
            faded: now,
        }
    }

    /// A request went out on a connection that had been idle so long; `broke` where it ended before any byte
    /// of an answer.
    pub fn used(&mut self, now: Instant, idle: Duration, broke: bool) {
        let seconds = now.saturating_duration_since(self.faded).as_secs_f64();
        if seconds >= 1.0 {
            let left = FADES.powf(seconds);
            self.spans.iter_mut().for_each(|span| {
                *span = Span {
                    used: span.used * left,
                    broke: span.broke * left,
                }
            });
            self.faded = now;
        }
        let octave = (idle.as_secs_f64() / FIRST.as_secs_f64()).max(1.0).log2() as usize;
        let span = &mut self.spans[octave.min(SPANS - 1)];
        if span.used >= MOST {
            *span = Span {
                used: span.used * 0.5,
                broke: span.broke * 0.5,
            };
        }
        span.used += 1.0;
        span.broke += broke as u8 as f64;
    }

    /// After which idle time a connection is closed rather than used.
    pub fn time(&self) -> Duration {
        let (mut used, mut broke) = (0.0, 0.0);
        for (octave, span) in self.spans.iter().enumerate() {
            let usual = broke / f64::max(used, 1.0);
            if span.used >= ENOUGH
                && used >= ENOUGH
                && span.broke / span.used > TIMES * usual + MORE
            {
                return self.most.min(FIRST * (1 << octave));
            }
            (used, broke) = (used + span.used, broke + span.broke);
        }
        self.most
    }
}
