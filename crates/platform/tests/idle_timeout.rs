//! Tests of `src/idle_timeout.rs`.

use havenplank_platform::idle_timeout::{IdleTimeout, ReuseOutcome};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// Returns the outcome of a request when every `nth` one breaks.
fn breaks_every(nth: u32, request: u32) -> ReuseOutcome {
    if request.is_multiple_of(nth) {
        return ReuseOutcome::Broken;
    }
    ReuseOutcome::Answered
}

#[test]
fn idle_times_after_which_connections_break_are_avoided_and_later_tried_again() {
    let (began, pod_limit) = (Instant::now(), Duration::from_secs(20));
    let longest = Duration::from_secs(14);
    let mut timeout = IdleTimeout::new(began, pod_limit);
    // One in ten breaks after any idle time: no reason to close connections earlier.
    for n in 0..400u32 {
        timeout.record(began, MS * (1 + n % 300), breaks_every(10, n));
    }
    assert_eq!(timeout.current(), longest);
    // From 128 ms of idle time on, every second one breaks.
    for n in 0..400u32 {
        let idle = MS * (1 + n % 300);
        let nth = if idle < 128 * MS { 10 } else { 2 };
        timeout.record(began, idle, breaks_every(nth, n));
    }
    assert_eq!(timeout.current(), 128 * MS);
    // Minutes later the counts have decayed.
    timeout.record(began + Duration::from_secs(400), MS, ReuseOutcome::Answered);
    assert_eq!(timeout.current(), longest);
}
