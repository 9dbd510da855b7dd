//! Configurations replicated through a simulated fleet: what may never happen, and how soon everybody is served.
//!
//! `HAVENPLANK_SPREAD_SEEDS` plays more seeds than the hundred of CI, `HAVENPLANK_SPREAD_FIRST` begins at another one.
//! A fault is played again by its seed alone.
//!
//! Guards taken out by hand, each seen to fail tests here and then restored: an older whole snapshot replaces a newer
//! one (its three checks together); equal version with another digest; the epoch at the writer; the refusal of a lower
//! epoch; an interval reported twice; the own name in a child's interval; the periodic pull; the digest of a claim; the
//! digest of a result; a rejected version counted as in force; a silent source kept. A delta to an older version is
//! guarded twice, here and by `Snapshot::apply`: with the first guard alone taken out nothing fails.

use havenplank_configuration::chunk::{next_chunk, Manifest};
use havenplank_configuration::delta::Delta;
use havenplank_configuration::digest::Digest;
use havenplank_configuration::interval::Interval;
use havenplank_configuration::message::{Claim, LagReason, Message, Poll};
use havenplank_configuration::replication::{
    CachedConfiguration, Effect, Event, Nanos, Peer, Peers, PublishError, ReplicationSettings,
    Replicator, Role, RoundStatus,
};
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::version::Version;
use havenplank_configuration_simulation::fleet::{
    change, place_region, tenants, Fleet, MS, SECOND,
};
use havenplank_configuration_simulation::process::{name, Process};
use havenplank_emulator::net::{Clock, Id, Net, NetworkFaults};
use havenplank_membership::member::MemberId;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

const WRITER: Id = 0;
const CONVERGENCE_LIMIT: Nanos = 5 * SECOND;
/// The longest that a whole round may take, and the wait before the next one after a failed one, with room.
const TWO_ROUNDS: Nanos = 40 * SECOND;

fn one_percent_loss() -> NetworkFaults {
    NetworkFaults {
        loss: 0.01,
        ..NetworkFaults::default()
    }
}

fn number_from_env(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn version_at(fleet: &Fleet, id: Id) -> Version {
    fleet
        .net
        .host(id)
        .map_or(Version::NONE, |process| process.in_force.version())
}

fn digest_at(fleet: &Fleet, id: Id) -> Digest {
    fleet.net.host(id).unwrap().in_force.digest()
}

fn round_at(fleet: &Fleet, id: Id) -> Option<RoundStatus> {
    fleet.net.host(id)?.replicator.status().writer?.round
}

/// Plays until these have what the writer has, and says how long that took.
fn catch_up(fleet: &mut Fleet, ids: &[Id], at_most: Nanos) -> Nanos {
    let began = fleet.net.now();
    let newest = version_at(fleet, WRITER);
    while ids.iter().any(|id| version_at(fleet, *id) != newest) {
        let late: Vec<_> = ids
            .iter()
            .filter(|id| version_at(fleet, **id) != newest)
            .collect();
        assert!(
            fleet.net.now() < began + at_most,
            "still not at {newest}: {late:?}"
        );
        fleet.run_for(20 * MS);
    }
    fleet.net.now() - began
}

/// What is checked after every step of every process.
#[derive(Default)]
struct Invariants {
    /// The newest version that each process ever had in force.
    ever: BTreeMap<Id, Version>,
    rounds: u64,
}

impl Invariants {
    /// Plays on. That versions never fall at a process is asserted where it takes one over.
    fn run(&mut self, fleet: &mut Fleet, span: Nanos) {
        let until = fleet.net.now() + span;
        let (count, digests) = (fleet.net.ids().count(), &fleet.digests);
        // What a process took over between two runs, as when it goes on after a pause, it has had as well.
        for id in 0..count {
            self.record(&fleet.net, id);
        }
        fleet
            .net
            .run(until, |net, moved| self.check(net, moved, count, digests));
    }

    fn check(
        &mut self,
        net: &Net<Process>,
        moved: Id,
        count: usize,
        digests: &BTreeMap<Version, Vec<Digest>>,
    ) {
        let Some(process) = net.host(moved) else {
            return;
        };
        let (version, digest) = (process.in_force.version(), process.in_force.digest());
        let written = version == Version::NONE
            || digests
                .get(&version)
                .is_some_and(|all| all.contains(&digest));
        assert!(
            written,
            "{} has {version} with a content that nobody wrote",
            name(moved)
        );
        self.record(net, moved);
        if let Some(round) = process
            .replicator
            .status()
            .writer
            .and_then(|writer| writer.round)
        {
            self.rounds += 1;
            self.check_round(&round, count);
        }
    }

    fn record(&mut self, net: &Net<Process>, id: Id) {
        let version = net
            .host(id)
            .map_or(Version::NONE, |process| process.in_force.version());
        let ever = self.ever.entry(id).or_default();
        *ever = version.max(*ever);
    }

    /// A report claims no more than is true: those that have a version had it, and nobody is counted twice.
    fn check_round(&self, round: &RoundStatus, count: usize) {
        let had = self
            .ever
            .values()
            .filter(|version| **version >= round.version)
            .count();
        assert!(
            round.have as usize <= had,
            "{round:?}, but only {had} ever had it"
        );
        assert!(round.of as usize <= count, "{round:?} of {count} processes");
        assert_eq!(
            round.have as usize + round.behind.len() + round.more as usize,
            round.of as usize
        );
        let names: BTreeSet<_> = round.behind.iter().map(|peer| &peer.name).collect();
        assert_eq!(names.len(), round.behind.len(), "{round:?}");
    }
}

/// A fleet in bad weather, by seed.
struct Storm {
    fleet: Fleet,
    invariants: Invariants,
    rng: Rand64,
    base: Snapshot,
    /// Processes that write, with their epochs.
    writers: BTreeMap<Id, u64>,
    top_epoch: u64,
}

impl Storm {
    fn new(seed: u64) -> Storm {
        let mut rng = Rand64::new(u128::from(seed));
        let count = rng.rand_range(12..41) as usize;
        let share = |rng: &mut Rand64, most: f64| rng.rand_float() * most;
        let weather = NetworkFaults {
            loss: share(&mut rng, 0.15),
            duplicate: share(&mut rng, 0.15),
            ..NetworkFaults::default()
        };
        let base = tenants(200);
        let clock = |id: Id| Clock {
            began: id as Nanos * 77 * SECOND,
            drift_ppm: (id as i64 % 3 - 1) * 1_000,
        };
        let fleet = Fleet::with_clocks(count, seed, &base, weather, clock);
        let writers = BTreeMap::from([(WRITER, 1)]);
        Storm {
            fleet,
            invariants: Invariants::default(),
            rng,
            base,
            writers,
            top_epoch: 1,
        }
    }

    fn count(&self) -> usize {
        self.fleet.net.ids().count()
    }

    fn any(&mut self) -> Id {
        self.rng.rand_range(0..self.count() as u64) as Id
    }

    fn one_in(&mut self, many: u64) -> bool {
        self.rng.rand_range(0..many) == 0
    }

    fn step(&mut self) {
        match self.rng.rand_range(0..14) {
            0..=4 => self.publish(),
            5 => self.split(),
            6 => (0..6).for_each(|_| {
                let (from, to) = (self.any(), self.any());
                self.fleet.net.cut(from, to);
            }),
            7 => self.fleet.net.heal(),
            8 => {
                let id = self.any();
                self.fleet.net.pause(id);
            }
            9 => (0..self.count()).for_each(|id| self.fleet.net.unpause(id)),
            10 => self.restart(),
            11 => self.second_writer(),
            12 => self.kill_writer(),
            _ => self.change_hosts(),
        }
        let span = self.rng.rand_range(50 * MS..3 * SECOND);
        self.invariants.run(&mut self.fleet, span);
    }

    fn publish(&mut self) {
        for _ in 0..self.rng.rand_range(1..5) {
            for (id, epoch) in self.writers.clone() {
                // A replaced or dead writer refuses; that is what is wanted of it.
                let _ = self.fleet.publish(id, epoch);
            }
        }
    }

    fn split(&mut self) {
        let (left, right): (Vec<Id>, Vec<Id>) = (0..self.count()).partition(|_| self.one_in(2));
        self.fleet.net.split(&[&left, &right]);
        if self.one_in(2) {
            // The membership of each side has lost the other one.
            for side in [left, right] {
                let peers = self.fleet.peers(side.iter().copied());
                side.iter().for_each(|id| self.fleet.tell(*id, &peers));
            }
        }
    }

    /// One starts again: with what it has, with an old version or with none. The others hear of it at once or later.
    fn restart(&mut self) {
        let id = self.any();
        let in_force = self
            .fleet
            .net
            .host(id)
            .map(|process| process.in_force.clone());
        let kept = match self.rng.rand_range(0..3) {
            0 => in_force.unwrap_or_else(Snapshot::empty),
            1 => self.base.clone(),
            _ => Snapshot::empty(),
        };
        self.writers.remove(&id);
        self.start(id, Role::Sidecar, kept);
    }

    fn start(&mut self, id: Id, role: Role, kept: Snapshot) {
        self.fleet.restart(id, role, kept);
        if self.one_in(2) {
            self.fleet.tell_everyone();
        } else {
            let peers = self.fleet.peers(self.fleet.net.ids());
            self.fleet.tell(id, &peers);
        }
    }

    /// Another process becomes a writer, of a lower, the same or a higher epoch.
    fn second_writer(&mut self) {
        let id = self.any();
        let epoch = match self.rng.rand_range(0..3) {
            0 => self.top_epoch.saturating_sub(1),
            1 => self.top_epoch,
            _ => self.top_epoch + 1,
        };
        self.top_epoch = self.top_epoch.max(epoch);
        let kept = self
            .fleet
            .net
            .host(id)
            .map(|process| process.in_force.clone());
        self.writers.insert(id, epoch);
        self.start(
            id,
            Role::Writer { epoch },
            kept.unwrap_or_else(Snapshot::empty),
        );
    }

    /// A writer dies before its disk has the next version, or after that and before it told anybody.
    fn kill_writer(&mut self) {
        let Some((&id, &epoch)) = self.writers.iter().next() else {
            return;
        };
        let changes = self.fleet.next_change();
        let Some(process) = self.fleet.net.host(id) else {
            return;
        };
        let before = process.in_force.clone();
        let stored = process
            .next(epoch, changes)
            .filter(|_| self.one_in(2))
            .map(|(_, snapshot)| snapshot);
        if let Some(stored) = &stored {
            self.fleet
                .digests
                .entry(stored.version())
                .or_default()
                .push(stored.digest());
        }
        self.fleet.net.kill(id);
        self.invariants.run(&mut self.fleet, SECOND);
        self.start(id, Role::Writer { epoch }, stored.unwrap_or(before));
    }

    fn change_hosts(&mut self) {
        let (id, rejects) = (self.any(), self.one_in(2));
        if let Some(process) = self.fleet.net.host_mut(id) {
            process.rejects = rejects;
        }
    }

    /// The weather clears, and a writer of a higher epoch publishes: everybody ends with that, and it is told so.
    fn end(&mut self) {
        self.fleet.net.heal();
        self.fleet.net.faults = one_percent_loss();
        for id in 0..self.count() {
            self.fleet.net.unpause(id);
            if let Some(process) = self.fleet.net.host_mut(id) {
                process.rejects = false;
            }
        }
        let (epoch, kept) = (
            self.top_epoch + 1,
            self.fleet.net.host(WRITER).map(|own| own.in_force.clone()),
        );
        self.fleet.restart(
            WRITER,
            Role::Writer { epoch },
            kept.unwrap_or_else(Snapshot::empty),
        );
        self.fleet.tell_everyone();
        self.invariants.run(&mut self.fleet, 2 * CONVERGENCE_LIMIT);
        self.fleet.publish(WRITER, epoch).unwrap();
        self.invariants.run(&mut self.fleet, CONVERGENCE_LIMIT);
        let (version, digest) = (
            version_at(&self.fleet, WRITER),
            digest_at(&self.fleet, WRITER),
        );
        for id in 0..self.count() {
            let found = (version_at(&self.fleet, id), digest_at(&self.fleet, id));
            let status = self.fleet.net.host(id).unwrap().replicator.status();
            assert_eq!(found, (version, digest), "{}: {status:?}", name(id));
        }
        self.invariants.run(&mut self.fleet, TWO_ROUNDS);
        let round = round_at(&self.fleet, WRITER).unwrap();
        let all = self.count() as u32;
        assert_eq!(
            (round.version, round.have, round.of),
            (version, all, all),
            "{round:?}"
        );
    }
}

/// Names the seed of a run that fails.
struct Naming(u64);

impl Drop for Naming {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!(
                "failed with HAVENPLANK_SPREAD_FIRST={} HAVENPLANK_SPREAD_SEEDS=1",
                self.0
            );
        }
    }
}

#[test]
fn whatever_happens_versions_never_fall_and_everybody_ends_with_the_same() {
    let first = number_from_env("HAVENPLANK_SPREAD_FIRST", 0);
    let seeds = number_from_env("HAVENPLANK_SPREAD_SEEDS", 100);
    let mut rounds = 0;
    for seed in first..first + seeds {
        let naming = Naming(seed);
        let mut storm = Storm::new(seed);
        (0..30).for_each(|_| storm.step());
        storm.end();
        rounds += storm.invariants.rounds;
        drop(naming);
    }
    assert!(rounds > 0, "no report was ever looked at");
}

#[test]
fn every_change_is_in_force_everywhere_within_five_seconds() {
    let mut fleet = Fleet::new(120, 5, &tenants(500), one_percent_loss());
    fleet.run_for(SECOND);
    for _ in 0..10 {
        fleet.publish(WRITER, 1).unwrap();
        fleet.run_for(2 * SECOND);
    }
    // Ten at once.
    for _ in 0..10 {
        fleet.publish(WRITER, 1).unwrap();
    }
    fleet.run_for(CONVERGENCE_LIMIT);
    let everyone: Vec<Id> = fleet.net.ids().collect();
    let worst = fleet
        .latencies(0, &everyone)
        .into_iter()
        .map(|latency| latency.expect("not reached"))
        .max();
    assert!(worst.unwrap() < CONVERGENCE_LIMIT, "{worst:?}");
}

#[test]
fn who_was_cut_off_or_starts_anew_has_everything_within_five_seconds() {
    let mut fleet = Fleet::new(84, 6, &tenants(2_000), one_percent_loss());
    let (cut, rest): (Vec<Id>, Vec<Id>) = fleet.net.ids().partition(|id| place_region(*id) == 2);
    fleet.net.split(&[&cut, &rest]);
    for _ in 0..283 {
        fleet.publish(WRITER, 1).unwrap();
        fleet.run_for(SECOND / 10);
    }
    assert!(cut.iter().all(|id| version_at(&fleet, *id).number == 1));
    fleet.net.heal();
    let before: u64 = cut
        .iter()
        .map(|id| fleet.net.host(*id).unwrap().traffic.sent)
        .sum();
    catch_up(&mut fleet, &cut, CONVERGENCE_LIMIT);
    let after: u64 = cut
        .iter()
        .map(|id| fleet.net.host(*id).unwrap().traffic.sent)
        .sum();
    let each = (after - before) / cut.len() as u64;
    assert!(
        each < 150,
        "each sent {each} messages to catch up on 283 versions"
    );
    // Without any, and with a version whose deltas nobody has any more.
    for (id, kept) in [(5, Snapshot::empty()), (11, tenants(1_000))] {
        fleet.restart(id, Role::Sidecar, kept);
    }
    fleet.tell_everyone();
    catch_up(&mut fleet, &[5, 11], CONVERGENCE_LIMIT);
}

#[test]
fn a_transfer_goes_on_from_another_source_where_its_own_is_gone() {
    let mut fleet = Fleet::new(30, 7, &tenants(20_000), one_percent_loss());
    fleet.restart(9, Role::Sidecar, Snapshot::empty());
    fleet.tell_everyone();
    let transfer = |fleet: &Fleet| fleet.net.host(9).unwrap().replicator.status().transfer;
    while transfer(&fleet).is_none_or(|transfer| transfer.missing_buckets > 900) {
        assert!(fleet.net.now() < CONVERGENCE_LIMIT, "no transfer began");
        fleet.run_for(MS);
    }
    let source = transfer(&fleet).unwrap().source;
    let gone = fleet.net.ids().find(|id| name(*id) == source).unwrap();
    fleet.net.kill(gone);
    if gone == WRITER {
        panic!("another seed is needed: the writer was the source");
    }
    // One silence, and not as many as end a transfer.
    catch_up(&mut fleet, &[9], 2 * SECOND);
    let events = &fleet.net.host(9).unwrap().events;
    let changed = events
        .iter()
        .any(|event| matches!(event, Event::SourceChanged { .. }));
    assert!(changed, "{events:?}");
}

#[test]
fn of_two_contents_of_one_version_the_first_stays_and_both_writers_stop() {
    let mut fleet = Fleet::new(24, 8, &tenants(100), one_percent_loss());
    let (left, right): (Vec<Id>, Vec<Id>) = fleet.net.ids().partition(|id| *id < 12);
    fleet.net.split(&[&left, &right]);
    let kept = fleet.net.host(20).unwrap().in_force.clone();
    fleet.restart(20, Role::Writer { epoch: 1 }, kept);
    fleet.tell_everyone();
    let (one, other) = (
        fleet.publish(WRITER, 1).unwrap(),
        fleet.publish(20, 1).unwrap(),
    );
    assert_eq!(one, other);
    fleet.run_for(CONVERGENCE_LIMIT);
    let digests: Vec<Digest> = fleet.net.ids().map(|id| digest_at(&fleet, id)).collect();
    assert_ne!(digests[0], digests[20]);
    fleet.net.heal();
    fleet.run_for(2 * CONVERGENCE_LIMIT);
    for id in fleet.net.ids() {
        assert_eq!(digest_at(&fleet, id), digests[id], "{}", name(id));
    }
    let conflict = |event: &Event| match event {
        Event::Conflict {
            verified, other, ..
        } => (*verified, *other) == (digests[0], digests[20]),
        _ => false,
    };
    assert!(fleet.net.host(3).unwrap().events.iter().any(conflict));
    for id in [WRITER, 20] {
        assert!(matches!(
            fleet.publish(id, 1),
            Err(PublishError::Superseded { .. })
        ));
    }
    // Only a higher epoch mends it.
    let kept = fleet.net.host(4).unwrap().in_force.clone();
    fleet.restart(4, Role::Writer { epoch: 2 }, kept);
    fleet.tell_everyone();
    let mended = fleet.publish(4, 2).unwrap();
    fleet.run_for(CONVERGENCE_LIMIT);
    assert!(fleet.net.ids().all(|id| version_at(&fleet, id) == mended));
    assert!(fleet
        .net
        .ids()
        .all(|id| digest_at(&fleet, id) == digest_at(&fleet, 4)));
}

#[test]
fn a_replaced_writer_is_told_and_publishes_no_more() {
    let mut fleet = Fleet::new(24, 9, &tenants(100), one_percent_loss());
    let rest: Vec<Id> = (1..24).collect();
    fleet.net.split(&[&[WRITER], &rest]);
    let kept = fleet.net.host(13).unwrap().in_force.clone();
    fleet.restart(13, Role::Writer { epoch: 2 }, kept);
    fleet.tell_everyone();
    let newer = fleet.publish(13, 2).unwrap();
    // It does not know yet; what it publishes now has the higher number and loses all the same.
    for _ in 0..5 {
        fleet.publish(WRITER, 1).unwrap();
    }
    fleet.run_for(CONVERGENCE_LIMIT);
    fleet.net.heal();
    fleet.run_for(CONVERGENCE_LIMIT);
    assert!(
        matches!(fleet.publish(WRITER, 1), Err(PublishError::Superseded { by }) if by.version == newer)
    );
    let writer = fleet.net.host(WRITER).unwrap();
    assert!(writer
        .events
        .iter()
        .any(|event| matches!(event, Event::Superseded { .. })));
    assert!(fleet.net.ids().all(|id| version_at(&fleet, id) == newer));
}

#[test]
fn a_rejected_version_leaves_the_old_one_in_force_is_named_and_not_fetched_again() {
    let mut fleet = Fleet::new(40, 10, &tenants(100), one_percent_loss());
    fleet.net.host_mut(7).unwrap().rejects = true;
    let old = version_at(&fleet, WRITER);
    let new = fleet.publish(WRITER, 1).unwrap();
    fleet.run_for(20 * SECOND);
    assert_eq!(version_at(&fleet, 7), old);
    let round = round_at(&fleet, WRITER).unwrap();
    assert_eq!(
        (round.version, round.have, round.of),
        (new, 39, 40),
        "{round:?}"
    );
    assert_eq!(
        (round.behind[0].name.as_str(), round.behind[0].lag_reason),
        ("p-00007", LagReason::Rejected)
    );
    assert!(round.behind[0].since < round.at, "{round:?}");
    let process = fleet.net.host_mut(7).unwrap();
    // Offered after 0, 5 and 15 s, as the waits double.
    assert_eq!(process.replicator.status().counts.rejected, 3);
    assert_eq!(process.replicator.status().verified, new);
    process.rejects = false;
    fleet.run_for(20 * SECOND);
    assert_eq!(version_at(&fleet, 7), new);
    fleet.run_for(TWO_ROUNDS);
    assert_eq!(round_at(&fleet, WRITER).unwrap().have, 40);
}

#[test]
fn the_silent_are_named_and_nobody_is_counted_twice_where_messages_repeat() {
    let mut fleet = Fleet::new(
        200,
        11,
        &tenants(100),
        NetworkFaults {
            duplicate: 0.5,
            ..one_percent_loss()
        },
    );
    let mut invariants = Invariants::default();
    invariants.run(&mut fleet, SECOND);
    fleet.net.kill(42);
    let version = fleet.publish(WRITER, 1).unwrap();
    invariants.run(&mut fleet, 30 * SECOND);
    let round = round_at(&fleet, WRITER).unwrap();
    assert_eq!(
        (round.version, round.have, round.of, round.more),
        (version, 199, 200, 0),
        "{round:?}"
    );
    assert_eq!(
        (round.behind[0].name.as_str(), round.behind[0].lag_reason),
        ("p-00042", LagReason::Silent)
    );
    assert!(invariants.rounds > 0);
}

#[test]
fn what_one_process_sends_does_not_grow_with_the_fleet() {
    let sent = |count: usize| {
        let mut fleet = Fleet::new(count, 12, &tenants(100), one_percent_loss());
        for _ in 0..4 {
            fleet.publish(WRITER, 1).unwrap();
            fleet.run_for(12 * SECOND);
        }
        let traffic = |id| fleet.net.host(id).map(|process| process.traffic).unwrap();
        let all: u64 = (1..count).map(|id| traffic(id).sent).sum();
        let longest = (0..count).map(|id| traffic(id).longest).max().unwrap();
        (
            all as f64 / (count - 1) as f64,
            traffic(WRITER).sent,
            longest,
        )
    };
    let (small, large) = (sent(50), sent(400));
    assert!(
        large.0 < 1.1 * small.0,
        "a sidecar: {small:?}, then {large:?}"
    );
    assert!(
        large.1 < 2 * small.1,
        "the writer: {small:?}, then {large:?}"
    );
    assert!(
        large.2 < 1_500,
        "the longest message while all is well: {large:?}"
    );
}

/// A sidecar alone, to which a test speaks itself.
struct Alone {
    replicator: Replicator,
    base: Snapshot,
    peer: MemberId,
}

impl Alone {
    fn new() -> Alone {
        let peer = |name: &str| Peer {
            life: MemberId {
                name: name.into(),
                incarnation: 1,
            },
            zone: "r/z".into(),
        };
        let base = tenants(50);
        let kept = CachedConfiguration {
            snapshot: base.clone(),
            deltas: Vec::new(),
        };
        let mut replicator = Replicator::new(
            0,
            1,
            peer("a"),
            Role::Sidecar,
            kept,
            ReplicationSettings::default(),
        );
        replicator.set_peers(Peers::new(vec![peer("a"), peer("b")]));
        Alone {
            replicator,
            base,
            peer: peer("b").life,
        }
    }

    /// A good delta from one snapshot to the next.
    fn delta(from: &Snapshot) -> (Delta, Snapshot) {
        let number = from.version().number + 1;
        let mut delta = Delta {
            from: from.version(),
            to: Version { epoch: 1, number },
            digest: Digest::default(),
            changes: change(number, 50, 1),
        };
        if let Err(havenplank_configuration::error::ApplyError::DigestMismatch { found, .. }) =
            from.apply(&delta)
        {
            delta.digest = found;
        }
        let next = from.apply(&delta).unwrap();
        (delta, next)
    }

    fn announce(&mut self, claim: Claim, delta: &Delta) -> Vec<Effect> {
        self.hears(Message::Announce {
            claim,
            delta: Some(delta.encode()),
        })
    }

    fn hears(&mut self, message: Message) -> Vec<Effect> {
        let bytes = message.encode().unwrap().len();
        self.replicator
            .handle_message(0, &self.peer, message, bytes);
        std::iter::from_fn(|| self.replicator.next_effect()).collect()
    }
}

fn installs(effects: &[Effect]) -> Vec<Version> {
    let version = |effect: &Effect| match effect {
        Effect::Install(snapshot) => Some(snapshot.version()),
        _ => None,
    };
    effects.iter().filter_map(version).collect()
}

#[test]
fn a_delta_that_is_not_what_its_claim_says_changes_nothing() {
    let mut alone = Alone::new();
    let (good, next) = Alone::delta(&alone.base);
    let claim = Claim {
        version: good.to,
        digest: good.digest,
    };
    let other = Claim {
        digest: Digest::default(),
        ..claim
    };
    assert!(installs(&alone.announce(other, &good)).is_empty());
    assert_eq!(alone.replicator.status().counts.unreadable, 1);
    // Consistent, but with a digest that its result does not have.
    let wrong = Delta {
        digest: Digest::default(),
        ..good.clone()
    };
    assert!(installs(&alone.announce(other, &wrong)).is_empty());
    assert_eq!(alone.replicator.status().counts.unfit_deltas, 1);
    assert_eq!(alone.replicator.status().verified, alone.base.version());
    assert_eq!(installs(&alone.announce(claim, &good)), [next.version()]);
    // It is in force only when the host says so.
    assert_eq!(alone.replicator.status().version, alone.base.version());
    alone.replicator.confirm_installed(1, next.version());
    assert_eq!(alone.replicator.status().version, next.version());
}

#[test]
fn deltas_that_overtake_each_other_are_applied_in_order() {
    let mut alone = Alone::new();
    let (first, one) = Alone::delta(&alone.base);
    let (second, two) = Alone::delta(&one);
    let claim = |delta: &Delta| Claim {
        version: delta.to,
        digest: delta.digest,
    };
    assert!(installs(&alone.announce(claim(&second), &second)).is_empty());
    assert_eq!(
        installs(&alone.announce(claim(&first), &first)),
        [two.version()]
    );
    assert!(installs(&alone.announce(claim(&first), &first)).is_empty());
    assert_eq!(alone.replicator.status().verified, two.version());
}

#[test]
fn an_older_snapshot_changes_nothing_even_as_the_answer_to_a_pull() {
    let mut alone = Alone::new();
    let older = tenants(10).with_version(Version {
        epoch: 1,
        number: 0,
    });
    alone.replicator.wake(SECOND);
    let asks = |effect: &Effect| {
        matches!(
            effect,
            Effect::Send {
                message: Message::Pull { .. },
                ..
            }
        )
    };
    assert!(std::iter::from_fn(|| alone.replicator.next_effect()).any(|effect| asks(&effect)));
    let mut effects = alone.hears(Message::Manifest(Manifest::of(&older)));
    if let Some(chunk) = next_chunk(&older, &(0..1_024).collect::<Vec<u16>>()) {
        effects.extend(alone.hears(Message::Chunk(chunk)));
    }
    assert!(installs(&effects).is_empty());
    let (delta, next) = Alone::delta(&alone.base);
    let claim = Claim {
        version: delta.to,
        digest: delta.digest,
    };
    assert_eq!(installs(&alone.announce(claim, &delta)), [next.version()]);
    assert!(installs(&alone.announce(claim, &delta)).is_empty());
    assert_eq!(alone.replicator.status().verified, next.version());
}

#[test]
fn announcements_and_polls_of_a_lower_epoch_are_answered_with_the_higher_one() {
    let mut alone = Alone::new();
    let held = alone.base.clone().with_version(Version {
        epoch: 2,
        number: 9,
    });
    let kept = CachedConfiguration {
        snapshot: held.clone(),
        deltas: Vec::new(),
    };
    let me = Peer {
        life: MemberId {
            name: "a".into(),
            incarnation: 1,
        },
        zone: "r/z".into(),
    };
    alone.replicator = Replicator::new(
        0,
        1,
        me,
        Role::Sidecar,
        kept,
        ReplicationSettings::default(),
    );
    let claim = Claim {
        version: Version {
            epoch: 1,
            number: 50,
        },
        digest: Digest::default(),
    };
    let poll = Poll {
        round: 1,
        claim,
        interval: Interval::all(),
        timeout_ms: 1_000,
    };
    for message in [
        Message::Announce { claim, delta: None },
        Message::Poll(poll),
    ] {
        let effects = alone.hears(message);
        let by = Claim {
            version: held.version(),
            digest: held.digest(),
        };
        let [Effect::Send {
            message: answer, ..
        }] = effects.as_slice()
        else {
            panic!("{effects:?}")
        };
        assert_eq!(*answer, Message::Superseded { by });
    }
    assert_eq!(alone.replicator.status().counts.lower_epochs, 2);
}
