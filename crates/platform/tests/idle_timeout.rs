//! Tests of `src/idle_timeout.rs`.

use havenplank_platform::idle_timeout::IdleTimeout;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

#[test]
fn ages_that_break_are_not_waited_for_and_are_tried_again() {
    let (began, most) = (Instant::now(), Duration::from_secs(20));
    let mut keep = IdleTimeout::new(began, most);
    // One in ten breaks at any age: no reason to close.
    for n in 0..400u32 {
        keep.used(began, MS * (1 + n % 300), n % 10 == 0);
    }
    assert_eq!(keep.time(), most);
    // From 128 ms on every second one breaks.
    for n in 0..400u32 {
        let idle = MS * (1 + n % 300);
        keep.used(began, idle, n % if idle < 128 * MS { 10 } else { 2 } == 0);
    }
    assert_eq!(keep.time(), 128 * MS);
    // Minutes later what was learnt has faded.
    keep.used(began + Duration::from_secs(400), MS, false);
    assert_eq!(keep.time(), most);
}
