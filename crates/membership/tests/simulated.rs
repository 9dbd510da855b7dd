//! The membership on the simulated network: the code that also runs on sockets, reproducible by seed and without
//! waiting.

use havenplank_emulator::net::{Clock, Host, Id, Nanos, Net, NetworkFaults};
use havenplank_membership::keys::Key;
use havenplank_membership::member::MemberId;
use havenplank_membership::member::{Member, MemberState};
use havenplank_membership::node::{Node, NodeEvent, MAX_PENDING_MESSAGES};
use havenplank_membership::rejection::Rejection;
use havenplank_membership::swim::{MemberEvent, Rules};
use std::net::SocketAddr;

const SECOND: Nanos = 1_000_000_000;

struct Sidecar {
    node: Node,
    events: Vec<(Nanos, MemberEvent)>,
    /// Received datagrams, to be replayed.
    arrived: Vec<Vec<u8>>,
}

impl Host for Sidecar {
    fn receive_datagram(&mut self, now: Nanos, bytes: &[u8]) {
        self.arrived.push(bytes.to_vec());
        self.node.receive_datagram(now, bytes);
        self.take_events(now);
    }
    fn wake(&mut self, now: Nanos) {
        self.node.wake(now);
        self.take_events(now);
    }
    fn next_wake(&self) -> Option<Nanos> {
        self.node.next_wake()
    }
    fn datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.node.next_datagram()
    }
}

impl Sidecar {
    fn new(now: Nanos, own_address: SocketAddr, name: &str, incarnation: u64, key: u8) -> Sidecar {
        let id = MemberId {
            name: name.into(),
            incarnation,
        };
        let me = Member {
            id,
            address: own_address,
            zone: "z".into(),
            refutations: 0,
            state: MemberState::Alive,
        };
        let seeds = vec![Net::<Sidecar>::address(0)];
        let seed = u64::from(key) << 32
            | own_address
                .ip()
                .to_string()
                .bytes()
                .fold(incarnation, |sum, byte| sum * 31 + byte as u64);
        let node = Node::new(
            now,
            seed,
            me,
            seeds,
            Rules::default(),
            vec![Key::new([key; 32])],
        );
        Sidecar {
            node,
            events: Vec::new(),
            arrived: Vec::new(),
        }
    }

    fn take_events(&mut self, now: Nanos) {
        while let Some(event) = self.node.next_event() {
            if let NodeEvent::Membership(event) = event {
                self.events.push((now, event));
            }
        }
    }

    fn names(&self) -> Vec<String> {
        self.node
            .membership()
            .alive()
            .map(|member| member.id.name.clone())
            .collect()
    }

    fn count_lost(&self) -> usize {
        self.events
            .iter()
            .filter(|(_, event)| matches!(event, MemberEvent::Lost(_)))
            .count()
    }
}

fn name(id: Id) -> String {
    format!("s-{id:04}")
}

fn fleet(size: usize, seed: u64, faults: NetworkFaults) -> Net<Sidecar> {
    let mut net = Net::new(seed, faults);
    for id in 0..size {
        // Clocks that differ: they start at different times, and run up to a thousandth too fast or too slow.
        let clock = Clock {
            began: id as Nanos * 77 * SECOND,
            drift_ppm: (id as i64 % 3 - 1) * 1_000,
        };
        net.join(clock, |now, addr| Sidecar::new(now, addr, &name(id), 1, 7));
    }
    net
}

/// Whether each of these sidecars knows exactly the others as living members.
fn agree(net: &Net<Sidecar>, ids: &[Id]) -> bool {
    let all: Vec<String> = ids.iter().map(|id| name(*id)).collect();
    ids.iter().all(|id| {
        let others: Vec<String> = all
            .iter()
            .filter(|other| **other != name(*id))
            .cloned()
            .collect();
        net.host(*id)
            .is_some_and(|sidecar| sidecar.names() == others)
    })
}

#[test]
fn members_join_through_one_address_and_none_is_declared_dead_at_10_percent_loss() {
    let mut lost_members = 0;
    for seed in 0..8 {
        let mut net = fleet(
            16,
            seed,
            NetworkFaults {
                loss: 0.1,
                duplicate: 0.05,
                delay: (100_000, 30_000_000),
            },
        );
        net.run(20 * SECOND, |_, _| {});
        let all: Vec<Id> = net.ids().collect();
        assert!(
            agree(&net, &all),
            "seed {seed}: {:?}",
            net.host(3).map(Sidecar::names)
        );
        net.run(120 * SECOND, |_, _| {});
        assert!(agree(&net, &all), "seed {seed}");
        lost_members += net
            .ids()
            .map(|id| net.host(id).unwrap().count_lost())
            .sum::<usize>();
    }
    assert_eq!(lost_members, 0);
}

#[test]
fn a_dead_member_is_removed_everywhere_and_returns_as_a_new_incarnation() {
    for seed in 0..8 {
        let mut net = fleet(
            24,
            seed,
            NetworkFaults {
                loss: 0.05,
                ..NetworkFaults::default()
            },
        );
        net.run(20 * SECOND, |_, _| {});
        let old_datagrams = net.host(5).unwrap().arrived.clone();
        net.kill(5);
        net.run(50 * SECOND, |_, _| {});
        let others: Vec<Id> = net.ids().filter(|id| *id != 5).collect();
        assert!(agree(&net, &others), "seed {seed}");
        net.restart(5, |now, addr| Sidecar::new(now, addr, &name(5), 2, 7));
        net.run(70 * SECOND, |_, _| {});
        let all: Vec<Id> = net.ids().collect();
        assert!(agree(&net, &all), "seed {seed}");
        for id in &others {
            assert_eq!(
                net.host(*id)
                    .unwrap()
                    .node
                    .membership()
                    .get(&name(5))
                    .unwrap()
                    .id
                    .incarnation,
                2
            );
        }
        // Datagrams that were sent to its first incarnation have no effect when they are replayed to the second.
        let now = net.own_time(5);
        let sidecar = net.host_mut(5).unwrap();
        let (events, rejected_before) = (sidecar.events.len(), sidecar.node.rejected.total());
        old_datagrams
            .iter()
            .for_each(|bytes| sidecar.receive_datagram(now, bytes));
        assert_eq!(
            (
                sidecar.events.len(),
                sidecar.node.rejected.total() - rejected_before
            ),
            (events, old_datagrams.len() as u64)
        );
    }
}

#[test]
fn a_paused_member_is_declared_dead_returns_by_itself_and_suspects_no_other() {
    let mut net = fleet(12, 3, NetworkFaults::default());
    net.run(20 * SECOND, |_, _| {});
    net.pause(4);
    net.run(80 * SECOND, |_, _| {});
    let others: Vec<Id> = net.ids().filter(|id| *id != 4).collect();
    assert!(agree(&net, &others));
    net.unpause(4);
    net.run(100 * SECOND, |_, _| {});
    let all: Vec<Id> = net.ids().collect();
    assert!(agree(&net, &all), "{:?}", net.host(4).map(Sidecar::names));
    let suspected_another = |id: &Id| {
        net.host(*id)
            .unwrap()
            .events
            .iter()
            .any(|(_, event)| match event {
                MemberEvent::Lost(id) | MemberEvent::Suspected(id) => id.name != name(4),
                _ => false,
            })
    };
    assert!(
        !others.iter().any(suspected_another),
        "a member that was not paused was suspected"
    );
    let resumed_events = &net.host(4).unwrap().events;
    assert!(
        !resumed_events
            .iter()
            .any(|(_, event)| matches!(event, MemberEvent::Lost(_))),
        "{resumed_events:?}"
    );
}

#[test]
fn the_two_sides_of_a_partition_merge_after_it_heals() {
    for seed in 0..4 {
        let mut net = fleet(10, seed, NetworkFaults::default());
        net.run(20 * SECOND, |_, _| {});
        let (first, second): (Vec<Id>, Vec<Id>) = net.ids().partition(|id| *id < 5);
        net.split(&[&first, &second]);
        net.run(100 * SECOND, |_, _| {});
        assert!(agree(&net, &first) && agree(&net, &second), "seed {seed}");
        net.heal();
        net.run(130 * SECOND, |_, _| {});
        let all: Vec<Id> = net.ids().collect();
        assert!(
            agree(&net, &all),
            "seed {seed}: {:?}",
            net.host(0).map(Sidecar::names)
        );
    }
}

#[test]
fn frames_with_another_key_and_repeated_frames_have_no_effect() {
    let mut net = fleet(6, 1, NetworkFaults::default());
    // Two sidecars with another key: one under a free name, one under the name of a member.
    for incarnation in [1, 9] {
        let id = net.ids().count();
        let chosen_name = if incarnation == 1 { name(id) } else { name(2) };
        net.join(Clock::default(), |now, addr| {
            Sidecar::new(now, addr, &chosen_name, incarnation, 8)
        });
    }
    net.run(30 * SECOND, |_, _| {});
    let all: Vec<Id> = (0..6).collect();
    assert!(agree(&net, &all));
    assert!(net.host(0).unwrap().node.rejected.count(Rejection::BadTag) > 5);
    // Replays all that sidecar 0 received, minutes later, to itself and to another sidecar.
    net.run(300 * SECOND, |_, _| {});
    let old_datagrams = net.host(0).unwrap().arrived.clone();
    for id in [0, 1] {
        let now = net.own_time(id);
        let sidecar = net.host_mut(id).unwrap();
        let events = sidecar.events.len();
        old_datagrams
            .iter()
            .for_each(|bytes| sidecar.receive_datagram(now, bytes));
        assert_eq!(sidecar.events.len(), events);
        while sidecar.datagram().is_some() {}
    }
    assert!(
        net.host(0)
            .unwrap()
            .node
            .rejected
            .count(Rejection::Repeated)
            > 100
    );
    assert!(
        net.host(1)
            .unwrap()
            .node
            .rejected
            .count(Rejection::WrongReceiver)
            > 100
    );
    net.run(330 * SECOND, |_, _| {});
    assert!(agree(&net, &all));
}

#[test]
fn a_key_is_replaced_without_losing_a_member() {
    let mut net = fleet(6, 2, NetworkFaults::default());
    net.run(20 * SECOND, |_, _| {});
    let (old, new) = (Key::new([7; 32]), Key::new([9; 32]));
    for keys in [
        vec![old.clone(), new.clone()],
        vec![new.clone(), old],
        vec![new],
    ] {
        for id in 0..6 {
            net.host_mut(id).unwrap().node.replace_keys(keys.clone());
            net.run(net.now() + 3 * SECOND, |_, _| {});
        }
    }
    net.run(net.now() + 60 * SECOND, |_, _| {});
    let all: Vec<Id> = net.ids().collect();
    assert!(agree(&net, &all));
    assert_eq!(
        net.ids()
            .map(|id| net.host(id).unwrap().count_lost())
            .sum::<usize>(),
        0
    );
}

#[test]
fn a_burst_of_one_kind_of_message_is_bounded_and_delays_no_other_kind() {
    let mut net = fleet(2, 1, NetworkFaults::default());
    net.run(10 * SECOND, |_, _| {});
    let now = net.own_time(1);
    let to = MemberId {
        name: name(1),
        incarnation: 1,
    };
    let sender = net.host_mut(0).unwrap();
    let mut datagrams = Vec::new();
    let burst = MAX_PENDING_MESSAGES + 50;
    for n in 0..burst + 2 {
        let kind = if n < burst { 2 } else { 3 };
        assert!(sender.node.send(&to, kind, vec![n as u8]));
        datagrams.extend(sender.node.next_datagram());
    }
    let receiver = &mut net.host_mut(1).unwrap().node;
    receiver.accept_kind(2);
    receiver.accept_kind(3);
    datagrams
        .iter()
        .for_each(|(_, datagram)| receiver.receive_datagram(now, datagram));
    assert_eq!(receiver.overflowed, [(2, 50)].into());
    // In the order of arrival, without the newest ones; afterwards there is space again.
    let mut arrived = Vec::new();
    while let Some(event) = receiver.next_event() {
        arrived.extend(match event {
            NodeEvent::Message { kind, body, .. } => Some((kind, body[0])),
            NodeEvent::Membership(_) => None,
        });
    }
    let expected = (0..MAX_PENDING_MESSAGES)
        .map(|n| (2, n as u8))
        .chain([(3, burst as u8), (3, burst as u8 + 1)]);
    assert_eq!(arrived, expected.collect::<Vec<_>>());
    let sender = &mut net.host_mut(0).unwrap().node;
    assert!(sender.send(&to, 2, vec![9]));
    let (_, datagram) = sender.next_datagram().unwrap();
    let receiver = &mut net.host_mut(1).unwrap().node;
    receiver.receive_datagram(now, &datagram);
    assert!(matches!(
        receiver.next_event(),
        Some(NodeEvent::Message { kind: 2, .. })
    ));
    assert_eq!(receiver.overflowed, [(2, 50)].into());
}

#[test]
fn the_traffic_of_each_member_does_not_grow_with_the_fleet() {
    let sent_by_each = |size: usize| {
        let mut net = fleet(size, 1, NetworkFaults::default());
        net.run(40 * SECOND, |_, _| {});
        let (sent, bytes) = (net.sent, net.sent_bytes);
        net.run(60 * SECOND, |_, _| {});
        let per_member_and_second = |total: u64| total as f64 / size as f64 / 20.0;
        (
            per_member_and_second(net.sent - sent),
            per_member_and_second(net.sent_bytes - bytes),
        )
    };
    let (small, large) = (sent_by_each(4), sent_by_each(96));
    assert!(
        large.0 < 1.2 * small.0 && large.1 < 2.0 * small.1,
        "{small:?} to {large:?}"
    );
}

/// Counts the messages and bytes that seeded runs carry, hashes them by receiver in the order of arrival, and compares
/// with recorded runs.
#[test]
fn seeded_runs_carry_the_recorded_messages_and_bytes() {
    let measured: Vec<String> = (0..4)
        .map(|seed| {
            let faults = NetworkFaults {
                loss: 0.1,
                duplicate: 0.05,
                delay: (100_000, 30_000_000),
            };
            let mut net = fleet(12, seed, faults);
            net.run(20 * SECOND, |_, _| {});
            net.kill(5);
            net.run(60 * SECOND, |_, _| {});
            net.restart(5, |now, addr| Sidecar::new(now, addr, &name(5), 2, 7));
            net.run(90 * SECOND, |_, _| {});
            let mut arrived = blake3::Hasher::new();
            for bytes in net.ids().flat_map(|id| &net.host(id).unwrap().arrived) {
                arrived.update(bytes);
            }
            let digest = &arrived.finalize().to_hex()[..16];
            format!("{} {} {digest}", net.sent, net.sent_bytes)
        })
        .collect();
    let recorded = [
        "8283 670173 5dbbd2627adb8ddf",
        "8506 673704 522676295f3b5fe7",
        "8383 664234 b38f512cafe14c32",
        "8489 678015 753511ff9ebb324c",
    ];
    assert_eq!(measured, recorded);
}
