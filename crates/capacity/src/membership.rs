//! Measures what membership and view exchange cost one sidecar, and how fast membership changes reach all sidecars, in
//! fleets of several sizes on the simulated network.
//!
//! One fleet of each size goes through all phases in order: a common start and the first minutes after it, restarts,
//! one sidecar killed, 1% of all datagrams lost, a zone lost, regions partitioned and reconnected. The seed is fixed,
//! so all counts are the same in each run and on each machine; processor times are not.

use crate::report::{fit, Point, Section, Series};
use crate::test_sidecar::{self, Cost, TestSidecar};
use havenplank_emulator::net::{Clock, Id, Nanos, Net, NetworkFaults};
use havenplank_membership::quorum::QuorumState;
use std::net::SocketAddr;

const SECOND: Nanos = 1_000_000_000;
/// The seed of the simulated network.
const SEED: u64 = 1;
/// Number of seeds: the first sidecars, whose addresses every sidecar is given at its start.
const SEEDS: usize = 3;
/// Number of sidecars in the planned fleet.
const TARGET: usize = 1_600;
/// Time between two restarts in the planned fleet. In a smaller fleet it is longer in proportion.
const TARGET_RESTART_INTERVAL: Nanos = 36 * SECOND;
/// How long a sidecar is stopped between its leave message and its next start.
const RESTART_DOWNTIME: Nanos = 2 * SECOND;
/// Number of sidecars in the zone that is lost.
const LOST_ZONE_SIDECARS: usize = 14;
const REGIONS: usize = 4;
const ZONES: usize = 14;
/// The time between two checks of a condition that is waited for.
const POLL_INTERVAL: Nanos = SECOND / 4;
/// How long a condition is waited for.
const CONVERGENCE_TIMEOUT: Nanos = 300 * SECOND;

/// The sizes and phases to measure.
#[derive(Clone, Debug)]
pub struct Options {
    /// The fleet sizes, in sidecars.
    pub sizes: Vec<usize>,
    /// The ends of the measured windows, in seconds after the common start.
    pub windows_s: Vec<u64>,
    /// The duration of the restarts, of the datagram loss and of the partition, in seconds each.
    pub phase_s: u64,
    /// Whether to run the phases with faults, which come after the start and the restarts.
    pub faults: bool,
}

impl Options {
    /// Returns options for a run of a minute or two.
    pub fn quick() -> Options {
        Options {
            sizes: vec![50, 100, 200, 400],
            windows_s: vec![60, 120, 180],
            phase_s: 120,
            faults: true,
        }
    }

    /// Returns options with sizes up to the planned fleet.
    pub fn full() -> Options {
        Options {
            sizes: vec![50, 100, 200, 400, 800, 1_600],
            windows_s: vec![60, 120, 180, 240, 300, 600, 900],
            phase_s: 300,
            faults: true,
        }
    }
}

/// Collects figures into sections and series, each in the order of its first figure.
pub(crate) struct Figures {
    measured_on: String,
    sections: Vec<Section>,
}

impl Figures {
    pub(crate) fn new(measured_on: &str) -> Figures {
        Figures {
            measured_on: measured_on.to_string(),
            sections: Vec::new(),
        }
    }

    pub(crate) fn add(&mut self, section: &str, series: &str, size: usize, value: f64) {
        let index = self
            .sections
            .iter()
            .position(|known| known.title == section)
            .unwrap_or_else(|| {
                let title = section.to_string();
                self.sections.push(Section {
                    title,
                    series: Vec::new(),
                    notes: Vec::new(),
                });
                self.sections.len() - 1
            });
        let section_series = &mut self.sections[index].series;
        let index = section_series
            .iter()
            .position(|known| known.name == series)
            .unwrap_or_else(|| {
                section_series.push(Series::new(
                    series,
                    "sidecars",
                    &self.measured_on,
                    Vec::new(),
                ));
                section_series.len() - 1
            });
        section_series[index].points.push(Point {
            size: size as f64,
            value,
        });
    }

    /// Fits the lines and returns all sections, each with these notes.
    pub(crate) fn sections(self, notes: &[String]) -> Vec<Section> {
        let finish = |section: Section| Section {
            series: section
                .series
                .into_iter()
                .map(|s| Series {
                    fit: fit(&s.points),
                    ..s
                })
                .collect(),
            notes: notes.to_vec(),
            ..section
        };
        self.sections.into_iter().map(finish).collect()
    }
}

/// A fleet of [`TestSidecar`]s on the simulated network.
pub struct Fleet {
    net: Net<TestSidecar>,
    incarnations: Vec<u64>,
}

/// The counters of the complete fleet, and the datagrams received by each sidecar.
#[derive(Clone, Debug, Default)]
struct FleetCost {
    all: Cost,
    received_datagrams: Vec<u64>,
}

impl Fleet {
    /// Starts a fleet, all sidecars at once.
    pub fn start(size: usize) -> Fleet {
        let mut fleet = Fleet {
            net: Net::new(SEED, NetworkFaults::default()),
            incarnations: vec![1; size],
        };
        for number in 0..size {
            // No two clocks agree: each begins at another time, and most run a thousandth fast or slow.
            let clock = Clock {
                began: number as Nanos * 77 * SECOND,
                drift_ppm: (number as i64 % 3 - 1) * 1_000,
            };
            fleet.net.join(clock, |now, at| {
                sidecar(now, at, number, 1, Cost::default())
            });
        }
        fleet
    }

    /// Returns the number of sidecars, stopped ones included.
    pub fn size(&self) -> usize {
        self.incarnations.len()
    }

    /// Runs the simulation for a duration in nanoseconds.
    pub fn run(&mut self, duration: Nanos) {
        self.net.run(self.net.now() + duration, |_, _| {});
    }

    /// Returns the counters of each running sidecar.
    pub fn costs(&self) -> impl Iterator<Item = &Cost> {
        self.net
            .ids()
            .filter_map(|id| self.net.host(id))
            .map(TestSidecar::cost)
    }

    fn fleet_cost(&self) -> FleetCost {
        let mut total = FleetCost::default();
        for id in self.net.ids() {
            let cost = self
                .net
                .host(id)
                .map(TestSidecar::cost)
                .cloned()
                .unwrap_or_default();
            total.received_datagrams.push(cost.received_datagrams);
            total.all.received_datagrams += cost.received_datagrams;
            total.all.received_bytes += cost.received_bytes;
            total.all.sent_datagrams += cost.sent_datagrams;
            total.all.sent_bytes += cost.sent_bytes;
            total.all.processor_time += cost.processor_time;
            total.all.peers_declared_lost += cost.peers_declared_lost;
            total.all.peers_suspected += cost.peers_suspected;
            total.all.rows_visited += cost.rows_visited;
        }
        total
    }

    fn running(&self) -> Vec<Id> {
        self.net
            .ids()
            .filter(|id| self.net.host(*id).is_some())
            .collect()
    }

    fn share(&self, predicate: impl Fn(&TestSidecar) -> bool) -> f64 {
        let running = self.running();
        let sidecars = running.iter().filter_map(|id| self.net.host(*id));
        sidecars.filter(|sidecar| predicate(sidecar)).count() as f64 / running.len().max(1) as f64
    }

    /// Returns the share of running sidecars that consider as many peers alive as are running.
    fn share_seeing_all(&self) -> f64 {
        let others = self.running().len().saturating_sub(1);
        self.share(|sidecar| sidecar.alive_peers() == others)
    }

    fn share_agreed(&self) -> f64 {
        self.share(|sidecar| sidecar.quorum_state() == QuorumState::Agreed)
    }

    /// Runs the simulation until a condition holds. Returns the seconds that this took, or `None` after
    /// [`CONVERGENCE_TIMEOUT`].
    fn seconds_until(&mut self, condition: impl Fn(&Fleet) -> bool) -> Option<f64> {
        let start = self.net.now();
        while !condition(self) {
            if self.net.now() - start >= CONVERGENCE_TIMEOUT {
                return None;
            }
            self.run(POLL_INTERVAL);
        }
        Some((self.net.now() - start) as f64 / SECOND as f64)
    }

    /// Lets a sidecar announce that it leaves, and starts its next incarnation after [`RESTART_DOWNTIME`].
    fn restart(&mut self, id: Id) {
        if let Some(sidecar) = self.net.host_mut(id) {
            sidecar.leave();
        }
        self.net.send_ready(id);
        let cost = self.kill(id);
        self.run(RESTART_DOWNTIME);
        self.start_next_incarnation(id, cost);
    }

    fn kill(&mut self, id: Id) -> Cost {
        let cost = self
            .net
            .host(id)
            .map(TestSidecar::cost)
            .cloned()
            .unwrap_or_default();
        self.net.kill(id);
        cost
    }

    fn start_next_incarnation(&mut self, id: Id, cost: Cost) {
        self.incarnations[id] += 1;
        let incarnation = self.incarnations[id];
        self.net
            .restart(id, |now, at| sidecar(now, at, id, incarnation, cost));
    }
}

fn sidecar(now: Nanos, at: SocketAddr, number: usize, incarnation: u64, cost: Cost) -> TestSidecar {
    let seeds = (0..SEEDS).map(Net::<TestSidecar>::address).collect();
    TestSidecar::new(
        now,
        test_sidecar::node(now, at, number, incarnation, seeds),
        cost,
    )
}

/// Runs a phase, and adds its mean cost per sidecar and second to the figures.
fn measure(
    fleet: &mut Fleet,
    figures: &mut Figures,
    section: &str,
    phase: &str,
    run: impl FnOnce(&mut Fleet),
) {
    let (before, start) = (fleet.fleet_cost(), fleet.net.now());
    run(fleet);
    let (after, size) = (fleet.fleet_cost(), fleet.size());
    let seconds = (fleet.net.now() - start) as f64 / SECOND as f64;
    let per_sidecar = |of: fn(&Cost) -> u64| {
        of(&after.all).saturating_sub(of(&before.all)) as f64 / seconds / size as f64
    };
    let busiest = after
        .received_datagrams
        .iter()
        .zip(&before.received_datagrams)
        .map(|(after, before)| after.saturating_sub(*before));
    let processor = after
        .all
        .processor_time
        .saturating_sub(before.all.processor_time)
        .as_secs_f64();
    let mut add =
        |name: &str, value: f64| figures.add(section, &format!("{phase}: {name}"), size, value);
    add(
        "received_bytes_per_s",
        per_sidecar(|cost| cost.received_bytes),
    );
    add(
        "received_messages_per_s",
        per_sidecar(|cost| cost.received_datagrams),
    );
    add("sent_bytes_per_s", per_sidecar(|cost| cost.sent_bytes));
    add(
        "busiest_received_messages_per_s",
        busiest.max().unwrap_or(0) as f64 / seconds,
    );
    add("rows_visited_per_s", per_sidecar(|cost| cost.rows_visited));
    add(
        "processor_share_percent",
        100.0 * processor / seconds / size as f64,
    );
    add("share_seeing_all", fleet.share_seeing_all());
    add("share_agreed", fleet.share_agreed());
}

/// Measures the first minutes after the common start, window by window.
fn common_start(fleet: &mut Fleet, figures: &mut Figures, windows_s: &[u64]) {
    const SECTION: &str = "Membership: after a common start";
    let mut start = 0;
    for end in windows_s {
        let phase = format!("{start} to {end} s");
        measure(fleet, figures, SECTION, &phase, |fleet| {
            fleet.run((end - start) * SECOND)
        });
        start = *end;
    }
}

/// Measures restarts at the rate of the planned fleet, scaled to the size of this one.
fn restarts(fleet: &mut Fleet, figures: &mut Figures, span: Nanos) {
    let size = fleet.size();
    let interval = TARGET_RESTART_INTERVAL * TARGET as Nanos / size as Nanos;
    let run_restarts = |fleet: &mut Fleet| {
        let end = fleet.net.now() + span;
        let mut next_at = fleet.net.now() + interval / 2;
        let mut restarted = 0;
        while next_at + RESTART_DOWNTIME < end {
            fleet.run(next_at - fleet.net.now());
            fleet.restart((SEEDS + 37 * restarted) % size);
            restarted += 1;
            next_at += interval;
        }
        fleet.run(end - fleet.net.now());
    };
    measure(
        fleet,
        figures,
        "Membership: restarts at the target's rate",
        "restarts",
        run_restarts,
    );
}

/// Measures how long it takes until the others know that a killed sidecar is lost, and then that it has started again.
fn one_killed(fleet: &mut Fleet, figures: &mut Figures) {
    const SECTION: &str = "Membership: one sidecar killed";
    let (size, killed_id) = (fleet.size(), fleet.size() / 2);
    let (name, incarnation) = (test_sidecar::name(killed_id), fleet.incarnations[killed_id]);
    let cost = fleet.kill(killed_id);
    let start = fleet.net.now();
    for (series, share) in [
        ("known_lost_to_half_s", 0.5),
        ("known_lost_to_99_percent_s", 0.99),
        ("known_lost_to_all_s", 1.0),
    ] {
        let known =
            |fleet: &Fleet| fleet.share(|peer| !peer.considers_alive(&name, incarnation)) >= share;
        if fleet.seconds_until(known).is_some() {
            figures.add(
                SECTION,
                series,
                size,
                (fleet.net.now() - start) as f64 / SECOND as f64,
            );
        }
    }
    fleet.start_next_incarnation(killed_id, cost);
    if let Some(seconds) = fleet.seconds_until(|fleet| fleet.share_seeing_all() >= 1.0) {
        figures.add(SECTION, "seen_by_all_after_its_next_start_s", size, seconds);
    }
}

/// Counts the false suspicions and losses while 1% of all datagrams is lost and no sidecar stops.
fn datagram_loss(fleet: &mut Fleet, figures: &mut Figures, span: Nanos) {
    const SECTION: &str = "Membership: 1% of datagrams lost, nobody dies";
    let before = fleet.fleet_cost().all;
    fleet.net.faults.loss = 0.01;
    measure(fleet, figures, SECTION, "1% lost", |fleet| fleet.run(span));
    fleet.net.faults.loss = 0.0;
    let (after, size) = (fleet.fleet_cost().all, fleet.size());
    figures.add(
        SECTION,
        "false_losses_in_all",
        size,
        (after.peers_declared_lost - before.peers_declared_lost) as f64,
    );
    figures.add(
        SECTION,
        "suspicions_in_all",
        size,
        (after.peers_suspected - before.peers_suspected) as f64,
    );
}

/// Kills a zone of 14 sidecars at once. Measures how long it takes until all others know that these are lost, and then
/// that they have started again.
fn zone_lost(fleet: &mut Fleet, figures: &mut Figures) {
    const SECTION: &str = "Membership: a zone of 14 lost at once";
    let size = fleet.size();
    let killed_ids: Vec<Id> = (0..LOST_ZONE_SIDECARS).map(|n| SEEDS + 2 * n).collect();
    let costs: Vec<Cost> = killed_ids.iter().map(|id| fleet.kill(*id)).collect();
    let start = fleet.net.now();
    measure(fleet, figures, SECTION, "first 60 s", |fleet| {
        fleet.run(60 * SECOND)
    });
    if fleet
        .seconds_until(|fleet| fleet.share_seeing_all() >= 1.0)
        .is_some()
    {
        let seconds = (fleet.net.now() - start) as f64 / SECOND as f64;
        figures.add(SECTION, "lost_to_all_s_at_least_60", size, seconds);
    }
    killed_ids
        .iter()
        .zip(costs)
        .for_each(|(id, cost)| fleet.start_next_incarnation(*id, cost));
    if let Some(seconds) = fleet.seconds_until(|fleet| fleet.share_seeing_all() >= 1.0) {
        figures.add(
            SECTION,
            "seen_by_all_after_their_next_start_s",
            size,
            seconds,
        );
    }
}

/// Partitions the regions, reconnects them, and measures how long it takes until every sidecar sees all others again.
fn regions_partitioned(fleet: &mut Fleet, figures: &mut Figures, span: Nanos) {
    const SECTION: &str = "Membership: four regions parted, and joined again";
    let size = fleet.size();
    let region = |id: &Id| id % ZONES % REGIONS;
    let groups: Vec<Vec<Id>> = (0..REGIONS)
        .map(|wanted| fleet.net.ids().filter(|id| region(id) == wanted).collect())
        .collect();
    fleet
        .net
        .split(&groups.iter().map(Vec::as_slice).collect::<Vec<_>>());
    measure(fleet, figures, SECTION, "parted", |fleet| fleet.run(span));
    fleet.net.heal();
    let healed_at = fleet.net.now();
    measure(fleet, figures, SECTION, "first 60 s joined", |fleet| {
        fleet.run(60 * SECOND)
    });
    if fleet
        .seconds_until(|fleet| fleet.share_seeing_all() >= 1.0)
        .is_some()
    {
        let seconds = (fleet.net.now() - healed_at) as f64 / SECOND as f64;
        figures.add(SECTION, "all_see_all_s_at_least_60", size, seconds);
    }
    measure(fleet, figures, SECTION, "the 60 s after that", |fleet| {
        fleet.run(60 * SECOND)
    });
}

/// Returns the resident memory of this process in bytes, or 0 if the system does not report it.
pub(crate) fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}

/// Runs all phases for each fleet size and returns their sections.
pub fn membership(options: &Options) -> Vec<Section> {
    let mut figures = Figures::new("simulated");
    let resident_before = resident_bytes();
    for size in &options.sizes {
        let mut fleet = Fleet::start(*size);
        common_start(&mut fleet, &mut figures, &options.windows_s);
        let memory = resident_bytes().saturating_sub(resident_before) as f64 / *size as f64;
        figures.add(
            "Membership: memory",
            "resident_bytes_per_sidecar",
            *size,
            memory,
        );
        let span = options.phase_s * SECOND;
        restarts(&mut fleet, &mut figures, span);
        if options.faults {
            one_killed(&mut fleet, &mut figures);
            datagram_loss(&mut fleet, &mut figures, span);
            zone_lost(&mut fleet, &mut figures);
            regions_partitioned(&mut fleet, &mut figures, span);
        }
    }
    figures.sections(&[format!(
        "seed {SEED}; names of 12 bytes, {SEEDS} addresses to begin with; one fleet of each size goes through all \
         sections in order; a restart each {} s at {TARGET}, fewer by size; a time that is missing was not reached \
         within {} s",
        TARGET_RESTART_INTERVAL / SECOND,
        CONVERGENCE_TIMEOUT / SECOND
    )])
}
