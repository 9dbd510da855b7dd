//! How fast a configuration reaches a fleet, and what that costs each process, in a simulated network.

pub mod scenarios;

use self::scenarios::Outcome;
use crate::report::{Point, Section, Series};
use havenplank_configuration_simulation::process::OVERHEAD;

/// Changes of one day in the size to plan with, and so the wait between two.
pub const CHANGES_A_DAY: u64 = 6_800;
/// Bytes a second and share of a core that a sidecar may spend on all control.
pub const BYTES_PER_S_BUDGET: f64 = 13_000.0;
pub const CORE_SHARE_BUDGET: f64 = 0.019;
/// Seconds within which a change is in force everywhere.
pub const SECONDS_BUDGET: f64 = 5.0;

/// A named scenario of a fleet of some size, by seed.
pub type Scenario = (&'static str, fn(usize, u64) -> Outcome);

pub const SCENARIOS: [Scenario; 5] = [
    ("changes every 12.7 s", scenarios::steady),
    ("ten changes at once", scenarios::burst),
    (
        "one in a hundred restarts with an old version",
        scenarios::restart_old,
    ),
    (
        "one in a hundred restarts without any",
        scenarios::restart_empty,
    ),
    (
        "one region cut off for an hour's changes",
        scenarios::region_cut,
    ),
];

/// One section a scenario, with a point for each number of processes.
pub fn measure(sizes: &[usize], seed: u64) -> Vec<Section> {
    SCENARIOS
        .iter()
        .map(|scenario| section(scenario, sizes, seed))
        .collect()
}

/// A quantity of an outcome, by its name.
type Quantity = (&'static str, fn(&Outcome) -> f64);

const QUANTITIES: [Quantity; 11] = [
    ("in_force_p50_s", |outcome| outcome.quantile(0.5)),
    ("in_force_p99_s", |outcome| outcome.quantile(0.99)),
    ("in_force_worst_s", |outcome| outcome.quantile(1.0)),
    ("not_reached", |outcome| outcome.not_reached as f64),
    ("sidecar_sent_bytes_per_s", |outcome| {
        outcome.mean.bytes_per_s
    }),
    ("sidecar_sent_messages_per_s", |outcome| {
        outcome.mean.messages_per_s
    }),
    ("busiest_sidecar_sent_bytes_per_s", |outcome| {
        outcome.busiest_bytes_per_s
    }),
    ("busiest_sidecar_heard_bytes_per_s", |outcome| {
        outcome.busiest_heard_bytes_per_s
    }),
    ("writer_sent_bytes_per_s", |outcome| {
        outcome.writer.bytes_per_s
    }),
    ("writer_sent_messages_per_s", |outcome| {
        outcome.writer.messages_per_s
    }),
    ("decision_core_share", |outcome| outcome.mean.core_share),
];

/// What one scenario gives at each size.
pub fn section((title, play): &Scenario, sizes: &[usize], seed: u64) -> Section {
    let outcomes: Vec<(usize, Outcome)> = sizes
        .iter()
        .map(|size| (*size, play(*size, seed)))
        .collect();
    let series = QUANTITIES.iter().map(|(name, value)| {
        let point = |(size, outcome): &(usize, Outcome)| Point {
            size: *size as f64,
            value: value(outcome),
        };
        Series::new(
            name,
            "sidecars",
            "simulated",
            outcomes.iter().map(point).collect(),
        )
    });
    let budgets = format!(
        "budgets: in force everywhere within {SECONDS_BUDGET} s; {BYTES_PER_S_BUDGET} bytes/s and \
         {CORE_SHARE_BUDGET} of a core for all control of a sidecar"
    );
    let notes = outcomes
        .iter()
        .map(|(size, outcome)| format!("{size} sidecars: {}", outcome.note));
    let network = format!(
        "seed {seed}; 4 regions, 14 zones; 1 ms in a zone, 2 to 4 ms in a region, 40 to 90 ms between \
         regions; 1% loss; each message with {} bytes around it; given membership",
        OVERHEAD
    );
    Section {
        title: format!("configuration: {title}"),
        series: series.collect(),
        notes: [budgets, network].into_iter().chain(notes).collect(),
    }
}
