//! Checks that membership costs one sidecar about the same in a small fleet and in a large one. The test compares
//! counts alone, and its seed is fixed.

use havenplank_capacity::membership::Fleet;
use havenplank_capacity::test_sidecar::Cost;

/// Both fleets are larger than the piece of the member table that fits into one message. From that size on, the cost of
/// this piece no longer grows.
const SMALL: usize = 64;
const LARGE: usize = 128;
/// The limit of the table rows that a sidecar visits per second for each additional peer.
const MAX_ROWS_PER_PEER: f64 = 0.15;
const SECOND: u64 = 1_000_000_000;
const SETTLING_S: u64 = 90;
/// A multiple of one minute, the interval at which a sidecar visits all its peers.
const MEASURED_S: u64 = 60;

/// The cost of one sidecar per second, once the fleet has settled after its common start.
struct SteadyCost {
    messages: f64,
    bytes: f64,
    rows: f64,
}

fn steady_cost(size: usize) -> SteadyCost {
    let mut fleet = Fleet::start(size);
    fleet.run(SETTLING_S * SECOND);
    let before = counts(&fleet);
    fleet.run(MEASURED_S * SECOND);
    let after = counts(&fleet);
    let [messages, bytes, rows] =
        [0, 1, 2].map(|n| (after[n] - before[n]) as f64 / (size as u64 * MEASURED_S) as f64);
    SteadyCost {
        messages,
        bytes,
        rows,
    }
}

/// Returns the messages received, the bytes received and the table rows visited by the complete fleet.
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
    let (small, large) = (steady_cost(SMALL), steady_cost(LARGE));
    let figures = format!(
        "messages {:.2} to {:.2}, bytes {:.0} to {:.0}, rows {:.1} to {:.1}",
        small.messages, large.messages, small.bytes, large.bytes, small.rows, large.rows
    );
    println!("{figures}");
    assert!(large.messages < 1.1 * small.messages, "{figures}");
    assert!(large.bytes < 1.35 * small.bytes, "{figures}");
    // A sidecar visits all its peers once a minute. At 1,600 peers the limit is about 240 rows per second, which take
    // far less than a thousandth of a core.
    let rows_per_peer = (large.rows - small.rows) / (LARGE - SMALL) as f64;
    assert!(rows_per_peer < MAX_ROWS_PER_PEER, "{figures}");
}
