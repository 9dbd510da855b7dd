//! Membership must cost one sidecar about the same in a small fleet and in a large one. EffectCounts alone, by a fixed seed.

use havenplank_capacity::membership::Fleet;
use havenplank_capacity::test_sidecar::Cost;

/// Both larger than the piece of the table that fits into one message, whose cost is flat from there on.
const SMALL: usize = 64;
const LARGE: usize = 128;
/// Rows visited a second for each further peer, at most.
const ROWS_PER_PEER: f64 = 0.15;
const SECOND: u64 = 1_000_000_000;
const SETTLING_S: u64 = 90;
/// Whole rounds of the look at all peers, which comes once a minute.
const MEASURED_S: u64 = 60;

/// What one sidecar spends a second once a common start is over.
struct Steady {
    messages: f64,
    bytes: f64,
    rows: f64,
}

fn steady(size: usize) -> Steady {
    let mut fleet = Fleet::start(size);
    fleet.run(SETTLING_S * SECOND);
    let before = counts(&fleet);
    fleet.run(MEASURED_S * SECOND);
    let after = counts(&fleet);
    let [messages, bytes, rows] =
        [0, 1, 2].map(|n| (after[n] - before[n]) as f64 / (size as u64 * MEASURED_S) as f64);
    Steady {
        messages,
        bytes,
        rows,
    }
}

/// Messages, bytes and rows of the whole fleet.
fn counts(fleet: &Fleet) -> [u64; 3] {
    let sum = |of: fn(&Cost) -> u64| fleet.costs().map(of).sum();
    [
        sum(|cost| cost.received_datagrams),
        sum(|cost| cost.received_bytes),
        sum(|cost| cost.rows_visited),
    ]
}

#[test]
fn a_larger_fleet_costs_each_sidecar_about_the_same() {
    let (small, large) = (steady(SMALL), steady(LARGE));
    let figures = format!(
        "messages {:.2} to {:.2}, bytes {:.0} to {:.0}, rows {:.1} to {:.1}",
        small.messages, large.messages, small.bytes, large.bytes, small.rows, large.rows
    );
    println!("{figures}");
    assert!(large.messages < 1.1 * small.messages, "{figures}");
    assert!(large.bytes < 1.35 * small.bytes, "{figures}");
    // All peers are looked at once a minute: at 1,600 that is some 240 rows a second, far below a thousandth of a core.
    let rows_per_peer = (large.rows - small.rows) / (LARGE - SMALL) as f64;
    assert!(rows_per_peer < ROWS_PER_PEER, "{figures}");
}
