//! Resources shared by attempts and health checks: connections to pods, memory for responses, counters.

use crate::config::PodConnectionSettings;
use crate::pod_pool::PodPool;
use crate::response_memory::ResponseMemory;
use havenplank::interface::LoadReport;
use havenplank_adapter::load_report::parse_load_report;
use std::cell::Cell;
use std::time::Duration;

/// Counts of attempts taken at the sockets; the `state` log line shows them next to those of the engine.
#[derive(Default)]
pub(crate) struct AttemptCounters {
    /// Attempts that are completely written and have not ended.
    pub(crate) in_flight: Cell<usize>,
    /// Attempts completely written since the process started.
    pub(crate) sent: Cell<u64>,
}

/// Connections to pods and the resources for exchanges on them.
pub(crate) struct PodClient {
    pub(crate) pool: PodPool,
    pub(crate) memory: ResponseMemory,
    pub(crate) counters: AttemptCounters,
    pub(crate) connect_timeout: Duration,
    /// Fields of a load report; empty if pods report no load.
    load_fields: Vec<String>,
}

impl PodClient {
    /// Creates a client with at most `max_connections` open at a time.
    pub(crate) fn new(
        settings: PodConnectionSettings,
        load_fields: Vec<String>,
        max_connections: usize,
        memory: ResponseMemory,
    ) -> PodClient {
        PodClient {
            pool: PodPool::new(settings, max_connections),
            memory,
            counters: AttemptCounters::default(),
            connect_timeout: settings.connect_timeout,
            load_fields,
        }
    }

    /// Returns whether pods report their load.
    pub(crate) fn has_load_reports(&self) -> bool {
        !self.load_fields.is_empty()
    }

    /// Decodes a load report; `None` if pods report no load or the report is malformed.
    pub(crate) fn decode_load(&self, text: &[u8]) -> Option<LoadReport> {
        if !self.has_load_reports() {
            return None;
        }
        parse_load_report(&self.load_fields, text)
    }
}
