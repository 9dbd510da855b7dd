//! The wall clock, which is common to all machines of the platform.

use havenplank::interface::Nanos;
use std::time::{SystemTime, UNIX_EPOCH};

/// A time since the Unix epoch.
#[derive(Clone, Copy, Debug)]
pub struct UnixTime(Nanos);

impl UnixTime {
    /// Reads the system clock; 0 if it is set to a time before the epoch.
    pub fn now() -> UnixTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixTime(since.map_or(0, |since| since.as_nanos() as Nanos))
    }

    /// Returns the nanoseconds since the epoch.
    pub fn nanos(self) -> Nanos {
        self.0
    }
}
