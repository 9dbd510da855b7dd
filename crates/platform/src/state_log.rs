//! The `state` log line: once a second, the engine's counts next to those taken at the sockets, so that a difference
//! shows.

use crate::limits::{LATENESS_PROBE_INTERVAL, STATE_INTERVAL};
use crate::shell::Shell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const BYTES_PER_KB: usize = 1 << 10;

/// Logs the state until this future is dropped, and measures how late the event loop runs its timers.
pub(crate) async fn run(shell: Rc<Shell>) {
    let mut logged_at = Instant::now();
    let mut max_lateness = Duration::ZERO;
    loop {
        let began = Instant::now();
        sleep(LATENESS_PROBE_INTERVAL).await;
        let lateness = began.elapsed().saturating_sub(LATENESS_PROBE_INTERVAL);
        max_lateness = max_lateness.max(lateness);
        if logged_at.elapsed() < STATE_INTERVAL {
            continue;
        }
        log_state(&shell, max_lateness);
        logged_at = Instant::now();
        max_lateness = Duration::ZERO;
    }
}

fn log_state(shell: &Shell, max_lateness: Duration) {
    let (clients, pods) = (&shell.clients, &shell.pods);
    let connections = pods.pool.counts();
    let activities = clients.activity_counts();
    tracing::info!(
        requests = shell.engine().requests_held(),
        requests_on_sockets = activities.responding,
        attempts = shell.engine().attempts_in_flight(),
        attempts_on_sockets = pods.counters.in_flight.get(),
        attempts_connecting = pods.pool.connecting_count(),
        attempts_queued = pods.pool.waiting_count(),
        attempts_sent = pods.counters.sent.get(),
        attempts_withheld = shell.withheld_attempts(),
        clients = clients.open_count(),
        clients_silent = activities.silent,
        clients_reading = activities.silent_reading,
        clients_reading_further = activities.reading_further,
        requests_closed_early = clients.closed_early.get(),
        requests_sent_too_much = clients.sent_too_much.get(),
        pod_connections = connections.open,
        pod_connections_idle = connections.idle,
        idle_timeout_ms = pods.pool.idle_timeout().as_millis() as u64,
        pod_connections_opened = pods.pool.opened_count(),
        invalid_requests = clients.invalid_requests.get(),
        evicted = clients.evicted.get(),
        list_version = shell.list_status.version.get(),
        list_silent_ms = shell.list_status.last_message.get().elapsed().as_millis() as u64,
        list_watches_ended = shell.list_status.ended_watches.get(),
        request_body_kb = shell.request_memory.held() / BYTES_PER_KB,
        response_body_kb = pods.memory.held() / BYTES_PER_KB,
        read_ahead_kb = activities.read_ahead_bytes / BYTES_PER_KB,
        partial_request_kb = activities.partial_request_bytes / BYTES_PER_KB,
        rejected_for_memory = clients.rejected_for_memory.get(),
        descriptors = open_descriptors(),
        allocated_kb = (shell.allocated_bytes)() / BYTES_PER_KB,
        anonymous_kb = memory_kb("RssAnon:").unwrap_or(0),
        resident_kb = memory_kb("VmRSS:").unwrap_or(0),
        longest_gap_us = max_lateness.as_micros() as u64,
        "state"
    );
}

fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count)
}

/// Returns a field of the kernel's report on the memory of the process, in KiB; `None` if it cannot be read.
fn memory_kb(field: &str) -> Option<usize> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix(field))?;
    line.trim().trim_end_matches("kB").trim().parse().ok()
}
