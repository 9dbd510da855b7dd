//! Decides how the memory of the process is divided, and how long a request waits for its part.
//!
//! Free of I/O; the caller passes in times. Inputs: the memory limit of the process, in bytes, and the time of a
//! request. Over its memory limit the platform kills the process, and with it all requests in flight. Bodies that do
//! not fit stay in their sockets until others are done. Tests: `tests/request_memory.rs`, `tests/protocol.rs`.

use crate::limits::MAX_BODY_BYTES;
use havenplank::interface::Nanos;
use std::time::{Duration, Instant};

/// The bodies of all requests together may hold the memory of the process divided by this.
const REQUEST_BODIES_DIVISOR: usize = 4;
/// All large responses together may hold the memory of the process divided by this.
const ALL_RESPONSES_DIVISOR: usize = 4;
/// One response may hold the memory of the process divided by this.
const ONE_RESPONSE_DIVISOR: usize = 16;
/// Limit on one response, whatever the memory: twice this number must fit the 32-bit permit count of a semaphore.
const MAX_RESPONSE_BYTES: usize = 1 << 30;
/// The decoded entries of one update of the endpoint list may hold the memory of the process divided by this.
const LIST_UPDATE_DIVISOR: usize = 8;
/// A request waits for memory during its remaining time divided by this. It is then rejected while its client still has
/// time to send it to another sidecar.
const WAIT_DIVISOR: u32 = 2;

/// Limits on the memory of parts of the process, in bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryBudget {
    /// The bodies of all requests.
    pub request_bodies: usize,
    /// All responses that are longer than the protocol's limit on a body.
    pub large_responses: usize,
    /// The body of one response.
    pub one_response: usize,
    /// The decoded entries of one update of the endpoint list.
    pub list_update: usize,
}

impl MemoryBudget {
    /// Divides the memory of the process.
    pub fn new(process_bytes: usize) -> MemoryBudget {
        let one_response = process_bytes / ONE_RESPONSE_DIVISOR;
        MemoryBudget {
            request_bodies: process_bytes / REQUEST_BODIES_DIVISOR,
            large_responses: (process_bytes / ALL_RESPONSES_DIVISOR).min(u32::MAX as usize),
            one_response: one_response.clamp(MAX_BODY_BYTES, MAX_RESPONSE_BYTES),
            list_update: process_bytes / LIST_UPDATE_DIVISOR,
        }
    }
}

/// Returns until when a request waits for the memory of its body. `began` is when its first byte arrived, `remaining`
/// the time that its client waits from then on.
pub fn reserve_by(began: Instant, remaining: Nanos) -> Instant {
    began + Duration::from_nanos(remaining) / WAIT_DIVISOR
}
