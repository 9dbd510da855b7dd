//! The watch on the endpoint list: whether one is needed, and when a failed one is requested again.
//!
//! Inputs: failures of the watch. It is unknown whether a failed watch is still active, so the watch is requested
//! again, after a delay that grows and is partly random. Risks: with long delays a stale list stays in use; with
//! short ones many instances overload service discovery.

use crate::interface::{EndpointListSettings, Nanos};
use crate::time::SECOND;
use oorandom::Rand64;

const MIN_BACKOFF: Nanos = SECOND;
const MAX_BACKOFF: Nanos = 8 * SECOND;
/// The smallest fraction of a backoff to wait. The fraction is drawn at random between this one and 1.
const MIN_BACKOFF_FRACTION: f64 = 0.5;

/// The state of the watch on the endpoint list.
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

    /// Whether this instance gets the list only after it has requested a watch.
    pub(crate) fn must_be_requested(&self) -> bool {
        self.settings.must_watch
    }

    /// Records a received list, which ends the backoff.
    pub(crate) fn record_list(&mut self) {
        self.backoff = 0;
    }

    /// Records a failed watch and returns the delay before the watch is requested again.
    pub(crate) fn record_failure(&mut self, random: &mut Rand64) -> Nanos {
        self.backoff = (self.backoff * 2)
            .clamp(MIN_BACKOFF, MAX_BACKOFF)
            .min(self.settings.max_watch_retry_delay);
        (self.backoff as f64
            * (MIN_BACKOFF_FRACTION + (1.0 - MIN_BACKOFF_FRACTION) * random.rand_float()))
            as Nanos
    }
}
