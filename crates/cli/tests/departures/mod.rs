//! Clients that leave a sidecar process in many ways while their requests are in flight, and pods that record when each
//! attempt began.
#![allow(dead_code, reason = "each test file uses only some of these items")]

pub mod clients;
pub mod pods;
pub mod sidecars;
pub mod staying;

use clients::Departure;
use pods::Attempt;
use std::time::Duration;

pub const MS: Duration = Duration::from_millis(1);
/// An attempt that begins more than 0.1 s after its client closed breaks a rule; every time limit is 50 ms longer on
/// sockets.
pub const MAX_BEGIN_AFTER_CLOSE: Duration = Duration::from_millis(150);
/// How long clients wait for a response before they would give up, in milliseconds.
pub const CLIENT_TIME_MS: u64 = 3000;

/// Returns the attempts that began too late after their client had left, each with its client and by how much.
pub fn late_attempts(attempts: &[Attempt], departures: &[Departure]) -> Vec<(String, Duration)> {
    let after_close = attempts.iter().filter_map(|attempt| {
        let departure = departures.iter().find(|left| left.sent(&attempt.id))?;
        let after = attempt.began.saturating_duration_since(departure.closed);
        Some((attempt.id.clone(), after))
    });
    after_close
        .filter(|(_, after)| *after > MAX_BEGIN_AFTER_CLOSE)
        .collect()
}
