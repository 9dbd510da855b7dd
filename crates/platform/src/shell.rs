//! The state that all tasks of one sidecar share: the engine's dispatcher and the state of the sockets.
//!
//! The engine is free of I/O (a "functional core"); this is the "imperative shell" around it. The modules that drive
//! the sockets depend on this one; `transport` performs the effects that the engine requests.

use crate::client_table::ClientTable;
use crate::discovery::ListStatus;
use crate::memory_budget::{ClientMemory, MemoryBudget};
use crate::pod_client::PodClient;
use crate::vote_queue::VoteQueue;
use bytes::Bytes;
use havenplank::interface::{Nanos, RouteClass, VoteSettings};
use havenplank_sidecar::body_memory::BodyMemory;
use havenplank_sidecar::dispatcher::Dispatcher;
use havenplank_sidecar::heap_room::AllocatedBytes;
use havenplank_sidecar::read_ahead::ReadAheadMemory;
use http_body_util::Full;
use std::cell::Cell;
use std::rc::Rc;

/// The body of a response to a client.
pub(crate) type Body = Full<Bytes>;

/// The state of the platform's sockets and the settings that they need.
pub(crate) struct Platform {
    /// Route classes with their names, in the order of the engine's indices.
    pub(crate) route_classes: Vec<(String, RouteClass)>,
    /// Names of tenants, in the order of the engine's indices.
    pub(crate) tenants: Vec<String>,
    pub(crate) vote_settings: VoteSettings,
    /// How long before a request's deadline its response must be sent, in nanoseconds.
    pub(crate) response_margin: Nanos,
    /// Returns how many bytes the process has allocated at present.
    pub(crate) allocated_bytes: AllocatedBytes,
    pub(crate) memory: MemoryBudget,
    pub(crate) clients: ClientTable,
    /// The memory for the bodies of requests.
    pub(crate) request_memory: BodyMemory,
    /// The memory for what clients send behind requests in flight.
    pub(crate) read_ahead: Rc<ReadAheadMemory>,
    pub(crate) pods: PodClient,
    pub(crate) votes: VoteQueue,
    pub(crate) list_status: ListStatus,
    /// Whether the process was asked to stop.
    pub(crate) stopping: Cell<bool>,
}

impl Platform {
    /// Returns how much memory is left for client connections.
    pub(crate) fn client_memory(&self) -> ClientMemory {
        self.memory.client_memory((self.allocated_bytes)())
    }
}

/// One engine with the platform's state.
pub(crate) type Shell = Dispatcher<Platform>;
