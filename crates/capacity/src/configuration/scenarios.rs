//! What happens to a simulated fleet, and what is measured of it.

use super::CHANGES_PER_DAY;
use havenplank_configuration::replication::{Nanos, Role};
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration_simulation::fleet::{region_index, tenant_snapshot, Fleet, SECOND};
use havenplank_configuration_simulation::process::{Process, Traffic};
use havenplank_emulator::net::{Id, Weather};
use std::time::Duration;

/// Tenants of the simulated configuration. Fewer than planned, so that 1,600 copies fit one machine's memory.
const TENANTS: usize = 8_000;
/// Publications of the steady scenario: some hundred seconds.
const STEADY: usize = 8;
/// Changes in an hour.
const HOUR: usize = (CHANGES_PER_DAY / 24) as usize;
const LOSS: f64 = 0.01;
/// How long a scenario waits for the last process.
const GRACE: Nanos = 30 * SECOND;
/// Between two looks at who has caught up.
const LOOK: Nanos = SECOND / 50;
const WRITER: Id = 0;

/// What a process spends on average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Bytes sent a second, with what is around each message.
    pub bytes_per_s: f64,
    /// Messages sent a second.
    pub messages_per_s: f64,
    /// Processor time of decision and codec, by the wall clock around each call.
    pub core_share: f64,
}

/// What a scenario shows.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Seconds until in force, ascending.
    pub latencies_s: Vec<f64>,
    /// Pairs of process and change that were not reached in time.
    pub not_reached: usize,
    /// Of a sidecar.
    pub mean_sidecar: Cost,
    /// Of the writer.
    pub writer: Cost,
    /// Bytes a second that the busiest sidecar sends.
    pub busiest_bytes_per_s: f64,
    /// Bytes a second that the busiest sidecar receives.
    pub busiest_received_bytes_per_s: f64,
    /// The longest message of all, with what is around it.
    pub longest_message_bytes: u64,
    /// What else a reader should know, in words.
    pub note: String,
}

impl Outcome {
    /// The time within which this share was reached.
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
    let weather = Weather {
        loss: LOSS,
        ..Weather::default()
    };
    let mut fleet = Fleet::new(count, seed, &base, weather);
    fleet.run_for(2 * SECOND);
    (fleet, base)
}

/// Traffic of every process, to tell later what a span has cost.
fn traffic(fleet: &Fleet) -> Vec<Traffic> {
    let of = |id| {
        fleet
            .net
            .part(id)
            .map(|process| process.traffic)
            .unwrap_or_default()
    };
    fleet.net.ids().map(of).collect()
}

/// Changes at the pace of the day.
pub fn steady(count: usize, seed: u64) -> Outcome {
    let (mut fleet, _) = fleet(count, seed);
    let (began, before) = (fleet.net.now(), traffic(&fleet));
    for _ in 0..STEADY {
        publish(&mut fleet);
        fleet.run_for(86_400 * SECOND / CHANGES_PER_DAY);
    }
    let mut outcome = costs(&fleet, &before, began);
    let everyone: Vec<Id> = fleet.net.ids().collect();
    reached(&mut outcome, fleet.latencies(began, &everyone));
    outcome.note = format!("{STEADY} changes; {}", acknowledged(&fleet));
    outcome
}

/// Ten changes in one moment.
pub fn burst(count: usize, seed: u64) -> Outcome {
    let (mut fleet, _) = fleet(count, seed);
    let (began, before) = (fleet.net.now(), traffic(&fleet));
    (0..10).for_each(|_| publish(&mut fleet));
    fleet.run_for(86_400 * SECOND / CHANGES_PER_DAY);
    let mut outcome = costs(&fleet, &before, began);
    let everyone: Vec<Id> = fleet.net.ids().collect();
    reached(&mut outcome, fleet.latencies(began, &everyone));
    outcome.note = acknowledged(&fleet);
    outcome
}

/// One in a hundred starts again with what it had an hour's changes ago, in a fleet that was told at once.
pub fn restart_with_old_version(count: usize, seed: u64) -> Outcome {
    restart(count, seed, true)
}

/// One in a hundred starts again without any configuration.
pub fn restart_empty(count: usize, seed: u64) -> Outcome {
    restart(count, seed, false)
}

fn restart(count: usize, seed: u64, keeps: bool) -> Outcome {
    let (mut fleet, base) = fleet(count, seed);
    hour_of_changes(&mut fleet);
    let restarted: Vec<Id> = (1..=count.div_ceil(100))
        .map(|n| n * 97 % count.max(2))
        .collect();
    let (began, mut before) = (fleet.net.now(), traffic(&fleet));
    for &id in restarted.iter().filter(|id| **id != WRITER) {
        let kept = if keeps {
            base.clone()
        } else {
            Snapshot::empty()
        };
        fleet.restart(id, Role::Sidecar, kept);
        before[id] = Traffic::default();
    }
    fleet.set_peers_everywhere();
    let (seconds, not_reached) = catch_up(&mut fleet, &restarted);
    let mut outcome = costs(&fleet, &before, began);
    (outcome.latencies_s, outcome.not_reached) = (seconds, not_reached);
    outcome.note = format!("{HOUR} changes before, {} restarted", restarted.len());
    outcome
}

/// One region hears nothing of an hour's changes and is back then. The membership loses it and has it back at once.
pub fn region_partition(count: usize, seed: u64) -> Outcome {
    let (mut fleet, _) = fleet(count, seed);
    let (cut, rest): (Vec<Id>, Vec<Id>) = fleet.net.ids().partition(|id| region_index(*id) == 3);
    fleet.net.split(&[&cut, &rest]);
    for side in [&cut, &rest] {
        let peers = fleet.peers(side.iter().copied());
        side.iter().for_each(|id| fleet.set_peers(*id, &peers));
    }
    hour_of_changes(&mut fleet);
    fleet.net.heal();
    fleet.set_peers_everywhere();
    let (began, before) = (fleet.net.now(), traffic(&fleet));
    let (seconds, not_reached) = catch_up(&mut fleet, &cut);
    let mut outcome = costs(&fleet, &before, began);
    (outcome.latencies_s, outcome.not_reached) = (seconds, not_reached);
    outcome.note = format!("{HOUR} changes missed by {}", cut.len());
    outcome
}

/// An hour's changes, five a second so that the hour need not be played.
fn hour_of_changes(fleet: &mut Fleet) {
    for _ in 0..HOUR {
        publish(fleet);
        fleet.run_for(SECOND / 5);
    }
    fleet.run_for(5 * SECOND);
}

fn publish(fleet: &mut Fleet) {
    let published = fleet.publish(WRITER, 1);
    assert!(
        published.is_ok(),
        "the only writer may publish: {published:?}"
    );
}

/// Plays until these have what the writer has. When each did, in seconds, and how many did not.
fn catch_up(fleet: &mut Fleet, ids: &[Id]) -> (Vec<f64>, usize) {
    let began = fleet.net.now();
    let newest = fleet
        .net
        .part(WRITER)
        .map(|writer| writer.in_force.version());
    let mut behind: Vec<Id> = ids.iter().copied().filter(|id| *id != WRITER).collect();
    let mut seconds = Vec::new();
    while !behind.is_empty() && fleet.net.now() < began + GRACE {
        fleet.run_for(LOOK);
        let elapsed = (fleet.net.now() - began) as f64 / SECOND as f64;
        let caught_up = |id: &Id| {
            fleet
                .net
                .part(*id)
                .map(|process| process.in_force.version())
                == newest
        };
        let before = behind.len();
        behind.retain(|id| !caught_up(id));
        seconds.extend(std::iter::repeat_n(elapsed, before - behind.len()));
    }
    (seconds, behind.len())
}

fn reached(outcome: &mut Outcome, latencies: Vec<Option<Nanos>>) {
    outcome.not_reached = latencies.iter().filter(|latency| latency.is_none()).count();
    outcome.latencies_s = latencies
        .into_iter()
        .flatten()
        .map(|ns| ns as f64 / SECOND as f64)
        .collect();
    outcome.latencies_s.sort_by(f64::total_cmp);
}

/// What the writer's last round says.
fn acknowledged(fleet: &Fleet) -> String {
    let writer = fleet
        .net
        .part(WRITER)
        .and_then(|writer| writer.replicator.status().writer);
    match writer.and_then(|writer| writer.round) {
        Some(round) => format!(
            "last round: {} of {} have {}",
            round.up_to_date, round.total, round.version
        ),
        None => "no round has ended".to_string(),
    }
}

fn costs(fleet: &Fleet, before: &[Traffic], began: Nanos) -> Outcome {
    let span = (fleet.net.now() - began) as f64 / SECOND as f64;
    let since = |id: Id, process: &Process| spent(&process.traffic, &before[id]);
    let all: Vec<(Id, Traffic)> = fleet
        .net
        .ids()
        .filter_map(|id| Some((id, since(id, fleet.net.part(id)?))))
        .collect();
    let sidecars = || {
        all.iter()
            .filter(|(id, _)| *id != WRITER)
            .map(|(_, traffic)| traffic)
    };
    let count = sidecars().count().max(1) as f64;
    let sum = sidecars().fold(Traffic::default(), |sum, traffic| added(&sum, traffic));
    let rate = |most: Option<u64>| most.unwrap_or(0) as f64 / span;
    Outcome {
        mean_sidecar: cost(&sum, span * count),
        writer: all
            .iter()
            .find(|(id, _)| *id == WRITER)
            .map(|(_, own)| cost(own, span))
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

fn cost(traffic: &Traffic, span: f64) -> Cost {
    Cost {
        bytes_per_s: traffic.sent_bytes as f64 / span,
        messages_per_s: traffic.sent_messages as f64 / span,
        core_share: traffic.processing_time.as_secs_f64() / span,
    }
}

fn spent(now: &Traffic, before: &Traffic) -> Traffic {
    Traffic {
        sent_messages: now.sent_messages.saturating_sub(before.sent_messages),
        sent_bytes: now.sent_bytes.saturating_sub(before.sent_bytes),
        received_messages: now
            .received_messages
            .saturating_sub(before.received_messages),
        received_bytes: now.received_bytes.saturating_sub(before.received_bytes),
        longest_message_bytes: now.longest_message_bytes,
        processing_time: now.processing_time.saturating_sub(before.processing_time),
    }
}

fn added(a: &Traffic, b: &Traffic) -> Traffic {
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
