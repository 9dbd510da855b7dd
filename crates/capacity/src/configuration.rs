//! Measures how fast configuration changes reach a fleet on the simulated network, and what that costs each process.

pub mod scenarios;

use self::scenarios::Outcome;
use crate::report::{Point, Section, Series};
use havenplank_configuration_simulation::process::OVERHEAD_BYTES;

/// Number of changes a day in the planned fleet, which also gives the time between two changes.
pub const CHANGES_PER_DAY: u64 = 6_800;
/// Bytes per second that a sidecar may spend on all control traffic.
pub const CONTROL_BUDGET_BYTES_PER_S: f64 = 13_000.0;
/// The share of a core that a sidecar may spend on all control traffic.
pub const CONTROL_BUDGET_CORE_SHARE: f64 = 0.019;
/// Seconds within which a change must be in force in every process.
pub const IN_FORCE_BUDGET_S: f64 = 5.0;

/// A sequence of changes and faults that a simulated fleet goes through.
pub struct Scenario {
    /// The scenario's name in reports.
    pub title: &'static str,
    /// Runs the scenario with a number of processes and a seed.
    pub run: fn(usize, u64) -> Outcome,
}

/// All scenarios, in the order in which they are measured.
pub const SCENARIOS: [Scenario; 5] = [
    Scenario {
        title: "changes every 12.7 s",
        run: scenarios::steady_changes,
    },
    Scenario {
        title: "ten changes at once",
        run: scenarios::burst_of_changes,
    },
    Scenario {
        title: "one in a hundred restarts with an old version",
        run: scenarios::restart_with_old_version,
    },
    Scenario {
        title: "one in a hundred restarts without any",
        run: scenarios::restart_empty,
    },
    Scenario {
        title: "one region cut off for an hour's changes",
        run: scenarios::region_partition,
    },
];

/// Runs all scenarios and returns a section for each, with a point for each number of processes.
pub fn measure(sizes: &[usize], seed: u64) -> Vec<Section> {
    SCENARIOS
        .iter()
        .map(|scenario| section(scenario, sizes, seed))
        .collect()
}

/// A quantity that is reported of each outcome.
struct Quantity {
    /// The name of its series, with the unit at the end.
    name: &'static str,
    value_of: fn(&Outcome) -> f64,
}

const QUANTITIES: [Quantity; 11] = [
    Quantity {
        name: "in_force_p50_s",
        value_of: |outcome| outcome.quantile(0.5),
    },
    Quantity {
        name: "in_force_p99_s",
        value_of: |outcome| outcome.quantile(0.99),
    },
    Quantity {
        name: "in_force_worst_s",
        value_of: |outcome| outcome.quantile(1.0),
    },
    Quantity {
        name: "not_reached",
        value_of: |outcome| outcome.not_reached as f64,
    },
    Quantity {
        name: "sidecar_sent_bytes_per_s",
        value_of: |outcome| outcome.mean_sidecar.bytes_per_s,
    },
    Quantity {
        name: "sidecar_sent_messages_per_s",
        value_of: |outcome| outcome.mean_sidecar.messages_per_s,
    },
    Quantity {
        name: "busiest_sidecar_sent_bytes_per_s",
        value_of: |outcome| outcome.busiest_bytes_per_s,
    },
    Quantity {
        name: "busiest_sidecar_heard_bytes_per_s",
        value_of: |outcome| outcome.busiest_received_bytes_per_s,
    },
    Quantity {
        name: "writer_sent_bytes_per_s",
        value_of: |outcome| outcome.writer.bytes_per_s,
    },
    Quantity {
        name: "writer_sent_messages_per_s",
        value_of: |outcome| outcome.writer.messages_per_s,
    },
    Quantity {
        name: "decision_core_share",
        value_of: |outcome| outcome.mean_sidecar.core_share,
    },
];

/// Runs one scenario at each size and returns its section.
pub fn section(scenario: &Scenario, sizes: &[usize], seed: u64) -> Section {
    let outcomes: Vec<(usize, Outcome)> = sizes
        .iter()
        .map(|size| (*size, (scenario.run)(*size, seed)))
        .collect();
    let series = QUANTITIES.iter().map(|quantity| {
        let point = |(size, outcome): &(usize, Outcome)| Point {
            size: *size as f64,
            value: (quantity.value_of)(outcome),
        };
        Series::new(
            quantity.name,
            "sidecars",
            "simulated",
            outcomes.iter().map(point).collect(),
        )
    });
    let budgets = format!(
        "budgets: a change in force everywhere within {IN_FORCE_BUDGET_S} s; {CONTROL_BUDGET_BYTES_PER_S} bytes/s and \
         {CONTROL_BUDGET_CORE_SHARE} of a core for all control traffic of a sidecar"
    );
    let notes = outcomes
        .iter()
        .map(|(size, outcome)| format!("{size} sidecars: {}", outcome.note));
    let network = format!(
        "seed {seed}; 4 regions, 14 zones; 1 ms in a zone, 2 to 4 ms in a region, 40 to 90 ms between \
         regions; 1% loss; each message with {} bytes around it; given membership",
        OVERHEAD_BYTES
    );
    Section {
        title: format!("configuration: {}", scenario.title),
        series: series.collect(),
        notes: [budgets, network].into_iter().chain(notes).collect(),
    }
}
