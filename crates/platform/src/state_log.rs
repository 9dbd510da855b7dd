//! The `state` log line: once a second, what the engine believes beside what the sockets show.

use crate::limits::{LATENESS_PROBE_INTERVAL, STATE_INTERVAL};
use crate::shell::Shell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Logs the state for as long as it is polled, and measures meanwhile how late the event loop is.
pub(crate) async fn run(shell: Rc<Shell>) {
    let mut logged_at = Instant::now();
    let mut longest_gap = Duration::ZERO;
    loop {
        let began = Instant::now();
        sleep(LATENESS_PROBE_INTERVAL).await;
        let gap = began.elapsed().saturating_sub(LATENESS_PROBE_INTERVAL);
        longest_gap = longest_gap.max(gap);
        if logged_at.elapsed() < STATE_INTERVAL {
            continue;
        }
        log_state(&shell, longest_gap);
        logged_at = Instant::now();
        longest_gap = Duration::ZERO;
    }
}

fn log_state(shell: &Shell, longest_gap: Duration) {
    let (clients, pods) = (&shell.clients, &shell.pods);
    let connections = pods.pool.counts();
    let silent = clients.silent();
    tracing::info!(
        requests = shell.engine().requests_held(),
        requests_on_sockets = clients.responding(),
        attempts = shell.engine().attempts_in_flight(),
        attempts_on_sockets = pods.counters.in_flight.get(),
        attempts_sent = pods.counters.sent.get(),
        clients = clients.open(),
        clients_silent = silent.all,
        clients_reading = silent.reading,
        pod_connections = connections.open,
        pod_connections_idle = connections.idle,
        idle_timeout_ms = pods.pool.idle_timeout().as_millis() as u64,
        pod_connections_opened = pods.pool.opened(),
        invalid_requests = clients.invalid_requests.get(),
        evicted = clients.evicted.get(),
        descriptors = open_descriptors(),
        resident_kb = resident_kb().unwrap_or(0),
        longest_gap_us = longest_gap.as_micros() as u64,
        "state"
    );
}

fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count)
}

/// Returns the process's resident memory in KiB, as the kernel gives it.
fn resident_kb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches("kB").trim().parse().ok()
}
