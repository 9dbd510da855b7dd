//! The scenarios that a simulated fleet goes through, and the figures measured in each.

use super::CHANGES_PER_DAY;
use havenplank_configuration::replication::{Nanos, Role};
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration_simulation::fleet::{region_index, tenant_snapshot, Fleet, SECOND};
use havenplank_configuration_simulation::process::{Process, Traffic};
use havenplank_emulator::net::{Id, NetworkFaults};
use std::time::Duration;

/// Tenants in the simulated configuration: fewer than planned, so that 1,600 copies fit into one machine's memory.
const TENANTS: usize = 8_000;
/// Changes published in the scenario of steady changes, which thus lasts about a hundred seconds.
const STEADY_CHANGES: usize = 8;
const CHANGES_PER_HOUR: usize = (CHANGES_PER_DAY / 24) as usize;
/// Share of datagrams lost.
const LOSS_SHARE: f64 = 0.01;
/// How long a scenario waits for the last process to catch up.
const CATCH_UP_TIMEOUT: Nanos = 30 * SECOND;
/// The time between two checks of which processes have caught up.
const CATCH_UP_POLL_INTERVAL: Nanos = SECOND / 50;
const WRITER: Id = 0;

/// The mean cost of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Bytes sent per second, with the overhead of each message.
    pub bytes_per_s: f64,
    /// Messages sent per second.
    pub messages_per_s: f64,
    /// Share of a core that the replicator and the codec use, by the wall clock around each call.
    pub core_share: f64,
}

/// The figures of one run of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Seconds until a change was in force at a process, or until a process had caught up; ascending.
    pub latencies_s: Vec<f64>,
    /// Changes that were not in force in time, counted once per process, or processes that did not catch up in time.
    pub not_reached: usize,
    /// The mean cost of a sidecar.
    pub mean_sidecar: Cost,
    /// The cost of the writer.
    pub writer: Cost,
    /// Bytes sent per second by the sidecar that sends the most.
    pub busiest_bytes_per_s: f64,
    /// Bytes received per second by the sidecar that receives the most.
    pub busiest_received_bytes_per_s: f64,
    /// Length of the longest message that a sidecar sent, with its overhead, in bytes.
    pub longest_message_bytes: u64,
    /// A remark on the run for the reader of the report.
    pub note: String,
}

impl Outcome {
    /// Returns the latency that this share of all latencies does not exceed, or NaN if there are none.
    pub fn quantile(&self, share: f64) -> f64 {
        let last = self.latencies_s.len().saturating_sub(1);
        self.latencies_s
            .get((last as f64 * share).ceil() as usize)
            .copied()
            .unwrap_or(f64::NAN)
    }
}

fn fleet(count: usize, seed: u64) -> (Fleet, Snapshot) {
    let base = tenant_snapshot(TENANTS);
    let faults = NetworkFaults {
        loss: LOSS_SHARE,
        ..NetworkFaults::default()
    };
    let mut fleet = Fleet::new(count, seed, &base, faults);
    fleet.run_for(2 * SECOND);
    (fleet, base)
}

/// Returns the traffic counters of every process; [`costs`] subtracts them from later ones.
fn traffic(fleet: &Fleet) -> Vec<Traffic> {
    let counters = |id| {
        fleet
            .net
            .host(id)
            .map(|process| process.traffic)
            .unwrap_or_default()
    };
    fleet.net.ids().map(counters).collect()
}

/// Publishes changes at intervals of a day divided by [`CHANGES_PER_DAY`].
pub fn steady_changes(count: usize, seed: u64) -> Outcome {
    let (mut fleet, _) = fleet(count, seed);
    let (start, before) = (fleet.net.now(), traffic(&fleet));
    for _ in 0..STEADY_CHANGES {
        publish(&mut fleet);
        fleet.run_for(86_400 * SECOND / CHANGES_PER_DAY);
    }
    let mut outcome = costs(&fleet, &before, start);
    let all_ids: Vec<Id> = fleet.net.ids().collect();
    record_latencies(&mut outcome, fleet.latencies(start, &all_ids));
    outcome.note = format!("{STEADY_CHANGES} changes; {}", last_round_note(&fleet));
    outcome
}

/// Publishes ten changes at the same moment.
pub fn burst_of_changes(count: usize, seed: u64) -> Outcome {
    let (mut fleet, _) = fleet(count, seed);
    let (start, before) = (fleet.net.now(), traffic(&fleet));
    (0..10).for_each(|_| publish(&mut fleet));
    fleet.run_for(86_400 * SECOND / CHANGES_PER_DAY);
    let mut outcome = costs(&fleet, &before, start);
    let all_ids: Vec<Id> = fleet.net.ids().collect();
    record_latencies(&mut outcome, fleet.latencies(start, &all_ids));
    outcome.note = last_round_note(&fleet);
    outcome
}

/// Restarts one process in a hundred with the configuration from before the last hour's changes. Every process is
/// notified of the restarts at once.
pub fn restart_with_old_version(count: usize, seed: u64) -> Outcome {
    restart(count, seed, true)
}

/// Restarts one process in a hundred without a configuration. Every process is notified of the restarts at once.
pub fn restart_empty(count: usize, seed: u64) -> Outcome {
    restart(count, seed, false)
}

fn restart(count: usize, seed: u64, keeps_configuration: bool) -> Outcome {
    let (mut fleet, base) = fleet(count, seed);
    publish_hour_of_changes(&mut fleet);
    let restarted: Vec<Id> = (1..=count.div_ceil(100))
        .map(|n| n * 97 % count.max(2))
        .collect();
    let (start, mut before) = (fleet.net.now(), traffic(&fleet));
    for &id in restarted.iter().filter(|id| **id != WRITER) {
        let cached = if keeps_configuration {
            base.clone()
        } else {
            Snapshot::empty()
        };
        fleet.restart(id, Role::Sidecar, cached);
        before[id] = Traffic::default();
    }
    fleet.set_peers_everywhere();
    let (seconds, not_reached) = run_until_caught_up(&mut fleet, &restarted);
    let mut outcome = costs(&fleet, &before, start);
    (outcome.latencies_s, outcome.not_reached) = (seconds, not_reached);
    outcome.note = format!(
        "{CHANGES_PER_HOUR} changes published before; {} processes restarted",
        restarted.len()
    );
    outcome
}

/// Cuts off one region while an hour's changes are published, then reconnects it. Membership reports the loss and the
/// return of the region without delay.
pub fn region_partition(count: usize, seed: u64) -> Outcome {
    let (mut fleet, _) = fleet(count, seed);
    let (cut, other): (Vec<Id>, Vec<Id>) = fleet.net.ids().partition(|id| region_index(*id) == 3);
    fleet.net.split(&[&cut, &other]);
    for group in [&cut, &other] {
        let peers = fleet.peers(group.iter().copied());
        group.iter().for_each(|id| fleet.set_peers(*id, &peers));
    }
    publish_hour_of_changes(&mut fleet);
    fleet.net.heal();
    fleet.set_peers_everywhere();
    let (start, before) = (fleet.net.now(), traffic(&fleet));
    let (seconds, not_reached) = run_until_caught_up(&mut fleet, &cut);
    let mut outcome = costs(&fleet, &before, start);
    (outcome.latencies_s, outcome.not_reached) = (seconds, not_reached);
    outcome.note = format!(
        "{CHANGES_PER_HOUR} changes missed by {} processes",
        cut.len()
    );
    outcome
}

/// Publishes an hour's changes at five a second, so that the simulation need not run for an hour.
fn publish_hour_of_changes(fleet: &mut Fleet) {
    for _ in 0..CHANGES_PER_HOUR {
        publish(fleet);
        fleet.run_for(SECOND / 5);
    }
    fleet.run_for(5 * SECOND);
}

fn publish(fleet: &mut Fleet) {
    let published = fleet.publish(WRITER, 1);
    assert!(
        published.is_ok(),
        "the fleet's only writer failed to publish: {published:?}"
    );
}

/// Runs the fleet until these processes have the writer's version, for at most [`CATCH_UP_TIMEOUT`]. Returns the
/// seconds that each took, and the number of those that did not catch up.
fn run_until_caught_up(fleet: &mut Fleet, ids: &[Id]) -> (Vec<f64>, usize) {
    let start = fleet.net.now();
    let writer_version = fleet
        .net
        .host(WRITER)
        .map(|writer| writer.in_force.version());
    let mut behind: Vec<Id> = ids.iter().copied().filter(|id| *id != WRITER).collect();
    let mut seconds = Vec::new();
    while !behind.is_empty() && fleet.net.now() < start + CATCH_UP_TIMEOUT {
        fleet.run_for(CATCH_UP_POLL_INTERVAL);
        let elapsed = (fleet.net.now() - start) as f64 / SECOND as f64;
        let caught_up = |id: &Id| {
            fleet
                .net
                .host(*id)
                .map(|process| process.in_force.version())
                == writer_version
        };
        let before = behind.len();
        behind.retain(|id| !caught_up(id));
        seconds.extend(std::iter::repeat_n(elapsed, before - behind.len()));
    }
    (seconds, behind.len())
}

fn record_latencies(outcome: &mut Outcome, latencies: Vec<Option<Nanos>>) {
    outcome.not_reached = latencies.iter().filter(|latency| latency.is_none()).count();
    outcome.latencies_s = latencies
        .into_iter()
        .flatten()
        .map(|ns| ns as f64 / SECOND as f64)
        .collect();
    outcome.latencies_s.sort_by(f64::total_cmp);
}

/// Describes the result of the writer's last polling round.
fn last_round_note(fleet: &Fleet) -> String {
    let writer = fleet
        .net
        .host(WRITER)
        .and_then(|writer| writer.replicator.status().writer);
    match writer.and_then(|writer| writer.round) {
        Some(round) => format!(
            "last polling round: {} of {} processes have version {}",
            round.up_to_date, round.total, round.version
        ),
        None => "no polling round has ended".to_string(),
    }
}

fn costs(fleet: &Fleet, before: &[Traffic], start: Nanos) -> Outcome {
    let duration_s = (fleet.net.now() - start) as f64 / SECOND as f64;
    let since_start = |id: Id, process: &Process| difference(&process.traffic, &before[id]);
    let traffic_by_id: Vec<(Id, Traffic)> = fleet
        .net
        .ids()
        .filter_map(|id| Some((id, since_start(id, fleet.net.host(id)?))))
        .collect();
    let sidecars = || {
        traffic_by_id
            .iter()
            .filter(|(id, _)| *id != WRITER)
            .map(|(_, traffic)| traffic)
    };
    let count = sidecars().count().max(1) as f64;
    let total = sidecars().fold(Traffic::default(), |total, traffic| sum(&total, traffic));
    let rate = |largest: Option<u64>| largest.unwrap_or(0) as f64 / duration_s;
    Outcome {
        mean_sidecar: cost(&total, duration_s * count),
        writer: traffic_by_id
            .iter()
            .find(|(id, _)| *id == WRITER)
            .map(|(_, traffic)| cost(traffic, duration_s))
            .unwrap_or_default(),
        busiest_bytes_per_s: rate(sidecars().map(|traffic| traffic.sent_bytes).max()),
        busiest_received_bytes_per_s: rate(sidecars().map(|traffic| traffic.received_bytes).max()),
        longest_message_bytes: sidecars()
            .map(|traffic| traffic.longest_message_bytes)
            .max()
            .unwrap_or(0),
        ..Outcome::default()
    }
}

fn cost(traffic: &Traffic, duration_s: f64) -> Cost {
    Cost {
        bytes_per_s: traffic.sent_bytes as f64 / duration_s,
        messages_per_s: traffic.sent_messages as f64 / duration_s,
        core_share: traffic.processing_time.as_secs_f64() / duration_s,
    }
}

fn difference(after: &Traffic, before: &Traffic) -> Traffic {
    Traffic {
        sent_messages: after.sent_messages.saturating_sub(before.sent_messages),
        sent_bytes: after.sent_bytes.saturating_sub(before.sent_bytes),
        received_messages: after
            .received_messages
            .saturating_sub(before.received_messages),
        received_bytes: after.received_bytes.saturating_sub(before.received_bytes),
        longest_message_bytes: after.longest_message_bytes,
        processing_time: after.processing_time.saturating_sub(before.processing_time),
    }
}

fn sum(a: &Traffic, b: &Traffic) -> Traffic {
    let processing_time: Duration = a.processing_time + b.processing_time;
    Traffic {
        sent_messages: a.sent_messages + b.sent_messages,
        sent_bytes: a.sent_bytes + b.sent_bytes,
        received_messages: a.received_messages + b.received_messages,
        received_bytes: a.received_bytes + b.received_bytes,
        longest_message_bytes: a.longest_message_bytes.max(b.longest_message_bytes),
        processing_time,
    }
}
