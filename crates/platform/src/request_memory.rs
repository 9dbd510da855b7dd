//! Decides how much memory the bodies of requests may hold together, and how long a request waits for it.
//!
//! Free of I/O; the caller passes in times. Inputs: the memory limit of the process, in bytes, and the time of a
//! request. Over its memory limit the platform kills the process, and with it all requests in flight, so bodies that do
//! not fit stay in their sockets until others are done. Tests: `tests/request_memory.rs`.

use havenplank::interface::Nanos;
use std::time::{Duration, Instant};

/// All bodies together may hold the memory of the process divided by this.
const ALL_BODIES_DIVISOR: usize = 4;
/// A request waits for memory during its remaining time divided by this. It is then rejected while its client still has
/// time to send it to another sidecar.
const WAIT_DIVISOR: u32 = 2;

/// Returns the limit on the memory of all bodies, in bytes.
pub fn max_bytes_of_all_bodies(process_bytes: usize) -> usize {
    process_bytes / ALL_BODIES_DIVISOR
}

/// Returns until when a request waits for the memory of its body. `began` is when its first byte arrived, `remaining`
/// the time that its client waits from then on.
pub fn reserve_by(began: Instant, remaining: Nanos) -> Instant {
    began + Duration::from_nanos(remaining) / WAIT_DIVISOR
}
