//! What membership and views cost one sidecar, and how fast news reaches all, by size of the fleet, simulated.
//!
//! One fleet of each size goes through all of it in order: a common start, its first minutes, restarts, one sidecar
//! killed, a hundredth of all datagrams lost, a zone lost, regions parted and joined again. The seed is fixed, so all
//! that is counted is the same in each run and on each machine; the processor's time is not.

use crate::report::{fit, Point, Section, Series};
use crate::test_sidecar::{self, Cost, TestSidecar};
use havenplank_emulator::net::{Clock, Id, Nanos, Net, Weather};
use havenplank_membership::quorum::QuorumState;
use std::net::SocketAddr;

const SECOND: Nanos = 1_000_000_000;
const SEED: u64 = 1;
/// Sidecars that all others are given to begin with.
const SEEDS: usize = 3;
/// The fleet of the target and its time between two restarts; a smaller fleet has fewer by its size.
const TARGET: usize = 1_600;
const TARGET_RESTART: Nanos = 36 * SECOND;
/// How long a sidecar is away between its goodbye and its next start.
const RESTART_DOWN: Nanos = 2 * SECOND;
const ZONE_LOST: usize = 14;
const REGIONS: usize = 4;
const ZONES: usize = 14;
/// How often it is looked whether news has reached all, and for how long at most.
const POLL: Nanos = SECOND / 4;
const PATIENCE: Nanos = 300 * SECOND;

/// What is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// Sizes of the fleet.
    pub sizes: Vec<usize>,
    /// Ends of the windows after the common start, in seconds.
    pub windows_s: Vec<u64>,
    /// How long restarts, loss and a parting last.
    pub phase_s: u64,
    /// Whether the faults after the start and the restarts are played.
    pub faults: bool,
}

impl Options {
    /// A minute or two.
    pub fn quick() -> Options {
        Options {
            sizes: vec![50, 100, 200, 400],
            windows_s: vec![60, 120, 180],
            phase_s: 120,
            faults: true,
        }
    }

    /// Up to the target's size.
    pub fn full() -> Options {
        Options {
            sizes: vec![50, 100, 200, 400, 800, 1_600],
            windows_s: vec![60, 120, 180, 240, 300, 600, 900],
            phase_s: 300,
            faults: true,
        }
    }
}

/// Figures as they come, sorted into sections and series in the order in which they were first named.
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
        let at = self
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
        let all = &mut self.sections[at].series;
        let at = all
            .iter()
            .position(|known| known.name == series)
            .unwrap_or_else(|| {
                all.push(Series::new(
                    series,
                    "sidecars",
                    &self.measured_on,
                    Vec::new(),
                ));
                all.len() - 1
            });
        all[at].points.push(Point {
            size: size as f64,
            value,
        });
    }

    /// All sections, with lines fitted and these notes.
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

/// A fleet of hollow sidecars on the simulated network.
pub struct Fleet {
    net: Net<TestSidecar>,
    incarnations: Vec<u64>,
}

/// The cost of a whole fleet, and of the sidecar that received most.
#[derive(Clone, Debug, Default)]
struct Spent {
    all: Cost,
    received_datagrams: Vec<u64>,
}

impl Fleet {
    /// All start at once.
    pub fn start(size: usize) -> Fleet {
        let mut fleet = Fleet {
            net: Net::new(SEED, Weather::default()),
            incarnations: vec![1; size],
        };
        for number in 0..size {
            // Clocks that never agree: other starts, and up to a thousandth fast or slow.
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

    /// Returns how many sidecars there are.
    pub fn size(&self) -> usize {
        self.incarnations.len()
    }

    /// Plays on for so long.
    pub fn run(&mut self, span: Nanos) {
        self.net.run(self.net.now() + span, |_, _| {});
    }

    /// Of each sidecar that runs.
    pub fn costs(&self) -> impl Iterator<Item = &Cost> {
        self.net
            .ids()
            .filter_map(|id| self.net.part(id))
            .map(TestSidecar::cost)
    }

    fn spent(&self) -> Spent {
        let mut spent = Spent::default();
        for id in self.net.ids() {
            let cost = self
                .net
                .part(id)
                .map(TestSidecar::cost)
                .cloned()
                .unwrap_or_default();
            spent.received_datagrams.push(cost.received_datagrams);
            spent.all.received_datagrams += cost.received_datagrams;
            spent.all.received_bytes += cost.received_bytes;
            spent.all.sent_datagrams += cost.sent_datagrams;
            spent.all.sent_bytes += cost.sent_bytes;
            spent.all.processor_time += cost.processor_time;
            spent.all.peers_declared_lost += cost.peers_declared_lost;
            spent.all.peers_suspected += cost.peers_suspected;
            spent.all.rows_visited += cost.rows_visited;
        }
        spent
    }

    fn running(&self) -> Vec<Id> {
        self.net
            .ids()
            .filter(|id| self.net.part(*id).is_some())
            .collect()
    }

    fn share(&self, holds: impl Fn(&TestSidecar) -> bool) -> f64 {
        let running = self.running();
        let parts = running.iter().filter_map(|id| self.net.part(*id));
        parts.filter(|part| holds(part)).count() as f64 / running.len().max(1) as f64
    }

    /// Share of sidecars that see as many peers as run.
    fn share_whole(&self) -> f64 {
        let others = self.running().len().saturating_sub(1);
        self.share(|part| part.alive_peers() == others)
    }

    fn share_agreed(&self) -> f64 {
        self.share(|part| part.quorum_state() == QuorumState::Agreed)
    }

    /// Seconds until something holds; none within [`PATIENCE`].
    fn until(&mut self, holds: impl Fn(&Fleet) -> bool) -> Option<f64> {
        let began = self.net.now();
        while !holds(self) {
            if self.net.now() - began >= PATIENCE {
                return None;
            }
            self.run(POLL);
        }
        Some((self.net.now() - began) as f64 / SECOND as f64)
    }

    /// A goodbye, a moment away, the next incarnation.
    fn restart(&mut self, id: Id) {
        if let Some(part) = self.net.part_mut(id) {
            part.leave();
        }
        self.net.post(id);
        let cost = self.kill(id);
        self.run(RESTART_DOWN);
        self.revive(id, cost);
    }

    fn kill(&mut self, id: Id) -> Cost {
        let cost = self
            .net
            .part(id)
            .map(TestSidecar::cost)
            .cloned()
            .unwrap_or_default();
        self.net.kill(id);
        cost
    }

    fn revive(&mut self, id: Id, cost: Cost) {
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

/// Plays a phase, and adds what each sidecar spent in it a second.
fn measure(
    fleet: &mut Fleet,
    figures: &mut Figures,
    section: &str,
    phase: &str,
    play: impl FnOnce(&mut Fleet),
) {
    let (before, began) = (fleet.spent(), fleet.net.now());
    play(fleet);
    let (after, size) = (fleet.spent(), fleet.size());
    let seconds = (fleet.net.now() - began) as f64 / SECOND as f64;
    let each = |of: fn(&Cost) -> u64| {
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
    add("received_bytes_per_s", each(|cost| cost.received_bytes));
    add(
        "received_messages_per_s",
        each(|cost| cost.received_datagrams),
    );
    add("sent_bytes_per_s", each(|cost| cost.sent_bytes));
    add(
        "busiest_received_messages_per_s",
        busiest.max().unwrap_or(0) as f64 / seconds,
    );
    add("rows_visited_per_s", each(|cost| cost.rows_visited));
    add(
        "processor_share_percent",
        100.0 * processor / seconds / size as f64,
    );
    add("share_seeing_all", fleet.share_whole());
    add("share_agreed", fleet.share_agreed());
}

/// The first minutes after all start at once, window by window.
fn common_start(fleet: &mut Fleet, figures: &mut Figures, windows_s: &[u64]) {
    const SECTION: &str = "Membership: after a common start";
    let mut from = 0;
    for until in windows_s {
        let phase = format!("{from} to {until} s");
        measure(fleet, figures, SECTION, &phase, |fleet| {
            fleet.run((until - from) * SECOND)
        });
        from = *until;
    }
}

/// Restarts at the target's rate for a fleet of this size.
fn restarts(fleet: &mut Fleet, figures: &mut Figures, span: Nanos) {
    let size = fleet.size();
    let every = TARGET_RESTART * TARGET as Nanos / size as Nanos;
    let play = |fleet: &mut Fleet| {
        let until = fleet.net.now() + span;
        let mut next = fleet.net.now() + every / 2;
        let mut turn = 0;
        while next + RESTART_DOWN < until {
            fleet.run(next - fleet.net.now());
            fleet.restart((SEEDS + 37 * turn) % size);
            turn += 1;
            next += every;
        }
        fleet.run(until - fleet.net.now());
    };
    measure(
        fleet,
        figures,
        "Membership: restarts at the target's rate",
        "restarts",
        play,
    );
}

/// How long until one killed sidecar is known lost.
fn one_killed(fleet: &mut Fleet, figures: &mut Figures) {
    const SECTION: &str = "Membership: one sidecar killed";
    let (size, victim) = (fleet.size(), fleet.size() / 2);
    let (name, incarnation) = (test_sidecar::name(victim), fleet.incarnations[victim]);
    let cost = fleet.kill(victim);
    let began = fleet.net.now();
    for (series, share) in [
        ("known_lost_to_half_s", 0.5),
        ("known_lost_to_99_percent_s", 0.99),
        ("known_lost_to_all_s", 1.0),
    ] {
        let known =
            |fleet: &Fleet| fleet.share(|part| !part.considers_alive(&name, incarnation)) >= share;
        if fleet.until(known).is_some() {
            figures.add(
                SECTION,
                series,
                size,
                (fleet.net.now() - began) as f64 / SECOND as f64,
            );
        }
    }
    fleet.revive(victim, cost);
    if let Some(seconds) = fleet.until(|fleet| fleet.share_whole() >= 1.0) {
        figures.add(SECTION, "seen_by_all_after_its_next_start_s", size, seconds);
    }
}

/// Who is suspected and lost while nobody dies and a hundredth of all datagrams is lost.
fn lossy(fleet: &mut Fleet, figures: &mut Figures, span: Nanos) {
    const SECTION: &str = "Membership: 1% of datagrams lost, nobody dies";
    let before = fleet.spent().all;
    fleet.net.weather.loss = 0.01;
    measure(fleet, figures, SECTION, "1% lost", |fleet| fleet.run(span));
    fleet.net.weather.loss = 0.0;
    let (after, size) = (fleet.spent().all, fleet.size());
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

/// Fourteen at once.
fn zone_lost(fleet: &mut Fleet, figures: &mut Figures) {
    const SECTION: &str = "Membership: a zone of 14 lost at once";
    let size = fleet.size();
    let victims: Vec<Id> = (0..ZONE_LOST).map(|n| SEEDS + 2 * n).collect();
    let costs: Vec<Cost> = victims.iter().map(|id| fleet.kill(*id)).collect();
    let began = fleet.net.now();
    measure(fleet, figures, SECTION, "first 60 s", |fleet| {
        fleet.run(60 * SECOND)
    });
    if fleet.until(|fleet| fleet.share_whole() >= 1.0).is_some() {
        let seconds = (fleet.net.now() - began) as f64 / SECOND as f64;
        figures.add(SECTION, "lost_to_all_s_at_least_60", size, seconds);
    }
    victims
        .iter()
        .zip(costs)
        .for_each(|(id, cost)| fleet.revive(*id, cost));
    if let Some(seconds) = fleet.until(|fleet| fleet.share_whole() >= 1.0) {
        figures.add(
            SECTION,
            "seen_by_all_after_their_next_start_s",
            size,
            seconds,
        );
    }
}

/// Regions that do not reach each other, and what it takes until all see all again.
fn regions_parted(fleet: &mut Fleet, figures: &mut Figures, span: Nanos) {
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
    let joined = fleet.net.now();
    measure(fleet, figures, SECTION, "first 60 s joined", |fleet| {
        fleet.run(60 * SECOND)
    });
    if fleet.until(|fleet| fleet.share_whole() >= 1.0).is_some() {
        let seconds = (fleet.net.now() - joined) as f64 / SECOND as f64;
        figures.add(SECTION, "all_see_all_s_at_least_60", size, seconds);
    }
    measure(fleet, figures, SECTION, "the 60 s after that", |fleet| {
        fleet.run(60 * SECOND)
    });
}

/// Resident memory of this process, in bytes; 0 where the system does not say.
pub(crate) fn resident_bytes() -> u64 {
    const PAGE: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE
}

/// Everything, for each size.
pub fn membership(options: &Options) -> Vec<Section> {
    let mut figures = Figures::new("simulated");
    let empty = resident_bytes();
    for size in &options.sizes {
        let mut fleet = Fleet::start(*size);
        common_start(&mut fleet, &mut figures, &options.windows_s);
        let memory = resident_bytes().saturating_sub(empty) as f64 / *size as f64;
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
            lossy(&mut fleet, &mut figures, span);
            zone_lost(&mut fleet, &mut figures);
            regions_parted(&mut fleet, &mut figures, span);
        }
    }
    figures.sections(&[format!(
        "seed {SEED}; names of 12 bytes, {SEEDS} addresses to begin with; one fleet of each size goes through all \
         sections in order; a restart each {} s at {TARGET}, fewer by size; a time that is missing was not reached \
         within {} s",
        TARGET_RESTART / SECOND,
        PATIENCE / SECOND
    )])
}
