//! The endpoint list: how it is followed, and when it is asked for again.
//!
//! Inputs: failures of the watch. A watch that failed may or may not be in force, so it is asked for again,
//! later each time and at scattered moments. Harm: with long waits a stale list stays in force; with short
//! ones many instances crowd service discovery.

use crate::interface::{EndpointListSettings, Nanos};
use crate::time::SECOND;
use oorandom::Rand64;

const MIN_BACKOFF: Nanos = SECOND;
const MAX_BACKOFF: Nanos = 8 * SECOND;
/// The least part of a backoff that is waited; the rest is scattered.
const MIN_BACKOFF_PART: f64 = 0.5;

/// How the endpoint list is followed.
pub(crate) struct EndpointListWatch {
    settings: EndpointListSettings,
    backoff: Nanos,
}

impl EndpointListWatch {
    pub(crate) fn new(settings: EndpointListSettings) -> EndpointListWatch {
        EndpointListWatch {
            settings,
            backoff: 0,
        }
    }

    /// Whether the list comes only to those who ask for a watch.
    pub(crate) fn must_be_requested(&self) -> bool {
        self.settings.must_subscribe
    }

    pub(crate) fn record_list(&mut self) {
        self.backoff = 0;
    }

    /// After which time the watch is asked for again.
    pub(crate) fn record_failure(&mut self, random: &mut Rand64) -> Nanos {
        self.backoff = (self.backoff * 2)
            .clamp(MIN_BACKOFF, MAX_BACKOFF)
            .min(self.settings.max_subscribe_interval);
        (self.backoff as f64 * (MIN_BACKOFF_PART + (1.0 - MIN_BACKOFF_PART) * random.rand_float()))
            as Nanos
    }
}
