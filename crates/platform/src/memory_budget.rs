//! Decides how the memory of the process is divided, and how long a request waits for its part.
//!
//! Free of I/O; the caller passes in times. Inputs: the memory limit of the process and what it has allocated, in bytes,
//! and the time of a request. Over its memory limit the platform kills the process, and with it all requests in
//! flight. Bodies that do not fit stay in their sockets until others are done. Tests: `tests/memory_budget.rs`,
//! `tests/request_memory.rs`, `tests/protocol.rs`; with a process `platform_memory.rs` of the program's tests.

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
/// All short responses together may hold the memory of the process divided by this.
const SHORT_RESPONSES_DIVISOR: usize = 4;
/// Percentage of the memory of the process, less that for a reload, that may be allocated when client connections take
/// more. Later steps of a request have higher limits: a request that was read can be answered even if clients have
/// taken all they may.
const CLIENT_HEAP_PERCENT: usize = 58;
/// Percentage that may be allocated when the body of a request, or a response over the protocol's limit, takes more.
const BODY_HEAP_PERCENT: usize = 65;
/// Percentage that may be allocated when a response takes more. The remainder is for what the allocator keeps free,
/// stacks and static data.
const RESPONSE_HEAP_PERCENT: usize = 72;
/// Memory that decoding a configuration takes for a moment, in bytes for each endpoint in its list. It is left free for
/// the next reload.
const RELOAD_BYTES_PER_ENDPOINT: usize = 2 << 10;
/// The memory left free for a reload is at most the memory of the process divided by this.
const RELOAD_DIVISOR: usize = 4;
/// A head up to this length needs no memory beyond the buffers that each connection has.
const SMALL_HEAD_BYTES: usize = 4 << 10;
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
    /// All responses within the protocol's limit on a body.
    pub short_responses: usize,
    /// All responses that are longer than the protocol's limit on a body.
    pub large_responses: usize,
    /// The body of one response.
    pub one_response: usize,
    /// The decoded entries of one update of the endpoint list.
    pub list_update: usize,
    /// What the process may allocate in all when client connections take more.
    pub client_heap: usize,
    /// The same for bodies of requests and responses over the protocol's limit.
    pub body_heap: usize,
    /// The same for responses.
    pub response_heap: usize,
}

/// How much memory is left for client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientMemory {
    /// Enough for further connections and large heads.
    Ample,
    /// What is left is for the requests that were read.
    Short,
    /// Nothing is left for a further connection.
    Exhausted,
}

impl MemoryBudget {
    /// Divides the memory of a process whose configuration lists this many endpoints.
    pub fn new(process_bytes: usize, listed_endpoints: usize) -> MemoryBudget {
        let reload = listed_endpoints.saturating_mul(RELOAD_BYTES_PER_ENDPOINT);
        let steady_bytes = process_bytes - reload.min(process_bytes / RELOAD_DIVISOR);
        let one_response = process_bytes / ONE_RESPONSE_DIVISOR;
        MemoryBudget {
            request_bodies: process_bytes / REQUEST_BODIES_DIVISOR,
            short_responses: process_bytes / SHORT_RESPONSES_DIVISOR,
            large_responses: (process_bytes / ALL_RESPONSES_DIVISOR).min(u32::MAX as usize),
            one_response: one_response.clamp(MAX_BODY_BYTES, MAX_RESPONSE_BYTES),
            list_update: process_bytes / LIST_UPDATE_DIVISOR,
            client_heap: percent_of(steady_bytes, CLIENT_HEAP_PERCENT),
            body_heap: percent_of(steady_bytes, BODY_HEAP_PERCENT),
            response_heap: percent_of(steady_bytes, RESPONSE_HEAP_PERCENT),
        }
    }

    /// Returns how much memory is left for client connections when `allocated` bytes are in use.
    pub fn client_memory(&self, allocated: usize) -> ClientMemory {
        if allocated <= self.client_heap {
            ClientMemory::Ample
        } else if allocated <= self.response_heap {
            ClientMemory::Short
        } else {
            ClientMemory::Exhausted
        }
    }
}

fn percent_of(bytes: usize, percent: usize) -> usize {
    bytes / 100 * percent
}

/// Returns whether a request with a head of this length, complete or not, is rejected to keep the memory for others.
pub fn rejects_head(head_bytes: usize, memory: ClientMemory) -> bool {
    head_bytes > SMALL_HEAD_BYTES && memory == ClientMemory::Exhausted
}

/// Returns until when a request waits for the memory of its body. `began` is when its first byte arrived, `remaining`
/// the time that its client waits from then on.
pub fn reserve_by(began: Instant, remaining: Nanos) -> Instant {
    began + Duration::from_nanos(remaining) / WAIT_DIVISOR
}
