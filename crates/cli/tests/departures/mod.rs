//! Clients that leave a sidecar process in many ways while their requests are in flight, and pods that record when each
//! attempt began.
#![allow(dead_code, reason = "each test file uses only some of these items")]

pub mod clients;
pub mod pods;
pub mod sidecars;

use std::time::Duration;

pub const MS: Duration = Duration::from_millis(1);
/// An attempt that begins more than 0.1 s after its client closed breaks a rule; every time limit is 50 ms longer on
/// sockets.
pub const MAX_BEGIN_AFTER_CLOSE: Duration = Duration::from_millis(150);
/// How long clients wait for a response before they would give up, in milliseconds.
pub const CLIENT_TIME_MS: u64 = 3000;
