//! What attempts and health checks share: connections to pods, memory for responses, counters.

use crate::config::PodConnectionSettings;
use crate::pod_pool::PodPool;
use crate::response_memory::ResponseMemory;
use havenplank::interface::LoadReport;
use havenplank_adapter::load_report::parse_load_report;
use std::cell::Cell;
use std::time::Duration;

/// What the sockets show, beside what the engine believes.
#[derive(Default)]
pub(crate) struct AttemptCounters {
    /// Attempts written whole that have not ended.
    pub(crate) in_flight: Cell<usize>,
    /// Attempts written whole since the start.
    pub(crate) sent: Cell<u64>,
}

/// Connections to pods and what is needed on them.
pub(crate) struct PodClient {
    pub(crate) pool: PodPool,
    pub(crate) memory: ResponseMemory,
    pub(crate) counters: AttemptCounters,
    pub(crate) connect_timeout: Duration,
    /// Fields of a load report; none where pods report nothing.
    load_fields: Vec<String>,
}

impl PodClient {
    /// `max_connections` at once, in a process that may use `process_bytes` of memory.
    pub(crate) fn new(
        settings: PodConnectionSettings,
        load_fields: Vec<String>,
        max_connections: usize,
        process_bytes: usize,
    ) -> PodClient {
        PodClient {
            pool: PodPool::new(settings, max_connections),
            memory: ResponseMemory::new(process_bytes),
            counters: AttemptCounters::default(),
            connect_timeout: settings.connect_timeout,
            load_fields,
        }
    }

    /// Returns whether pods report their load.
    pub(crate) fn has_load_reports(&self) -> bool {
        !self.load_fields.is_empty()
    }

    /// Decodes a load report; none where pods report nothing or it cannot be read.
    pub(crate) fn decode_load(&self, text: &[u8]) -> Option<LoadReport> {
        if !self.has_load_reports() {
            return None;
        }
        parse_load_report(&self.load_fields, text)
    }
}
