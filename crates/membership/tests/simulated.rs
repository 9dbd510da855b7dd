//! The fellowship over the simulated network: the same code as on sockets, by seed, without a sleep.

use havenplank_emulator::net::{Clock, Id, Nanos, Net, Part, Weather};
use havenplank_membership::frame::Rejection;
use havenplank_membership::keys::Key;
use havenplank_membership::member::MemberId;
use havenplank_membership::member::{Member, MemberState};
use havenplank_membership::node::{Node, NodeEvent, MAX_PENDING_MESSAGES};
use havenplank_membership::swim::{MemberEvent, Rules};
use std::net::SocketAddr;

const S: Nanos = 1_000_000_000;

struct Fellow {
    node: Node,
    told: Vec<(Nanos, MemberEvent)>,
    /// Datagrams that came, to be played again.
    came: Vec<Vec<u8>>,
}

impl Part for Fellow {
    fn heard(&mut self, now: Nanos, bytes: &[u8]) {
        self.came.push(bytes.to_vec());
        self.node.receive_datagram(now, bytes);
        self.look(now);
    }
    fn wake(&mut self, now: Nanos) {
        self.node.wake(now);
        self.look(now);
    }
    fn next_wake(&self) -> Option<Nanos> {
        self.node.next_wake()
    }
    fn datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.node.next_datagram()
    }
}

impl Fellow {
    fn new(now: Nanos, at: SocketAddr, name: &str, life: u64, key: u8) -> Fellow {
        let id = MemberId {
            name: name.into(),
            incarnation: life,
        };
        let me = Member {
            id,
            address: at,
            zone: "z".into(),
            refutations: 0,
            state: MemberState::Alive,
        };
        let seeds = vec![Net::<Fellow>::address(0)];
        let seed = u64::from(key) << 32
            | at.ip()
                .to_string()
                .bytes()
                .fold(life, |sum, byte| sum * 31 + byte as u64);
        let node = Node::new(
            now,
            seed,
            me,
            seeds,
            Rules::default(),
            vec![Key::new([key; 32])],
        );
        Fellow {
            node,
            told: Vec::new(),
            came: Vec::new(),
        }
    }

    fn look(&mut self, now: Nanos) {
        while let Some(happened) = self.node.next_event() {
            if let NodeEvent::Membership(event) = happened {
                self.told.push((now, event));
            }
        }
    }

    fn names(&self) -> Vec<String> {
        self.node
            .membership()
            .alive()
            .map(|news| news.id.name.clone())
            .collect()
    }

    fn lost(&self) -> usize {
        self.told
            .iter()
            .filter(|(_, event)| matches!(event, MemberEvent::Lost(_)))
            .count()
    }
}

fn name(id: Id) -> String {
    format!("s-{id:04}")
}

fn fleet(many: usize, seed: u64, weather: Weather) -> Net<Fellow> {
    let mut net = Net::new(seed, weather);
    for id in 0..many {
        // Clocks that never agree: other starts, and up to a thousandth fast or slow.
        let clock = Clock {
            began: id as Nanos * 77 * S,
            drift_ppm: (id as i64 % 3 - 1) * 1_000,
        };
        net.join(clock, |now, at| Fellow::new(now, at, &name(id), 1, 7));
    }
    net
}

/// Whether each of these knows all of these and nobody else.
fn agree(net: &Net<Fellow>, ids: &[Id]) -> bool {
    let all: Vec<String> = ids.iter().map(|id| name(*id)).collect();
    ids.iter().all(|id| {
        let others: Vec<String> = all
            .iter()
            .filter(|other| **other != name(*id))
            .cloned()
            .collect();
        net.part(*id).is_some_and(|part| part.names() == others)
    })
}

#[test]
fn all_meet_through_one_address_and_nobody_is_lost_while_a_tenth_of_all_datagrams_is() {
    let mut lost = 0;
    for seed in 0..8 {
        let mut net = fleet(
            16,
            seed,
            Weather {
                loss: 0.1,
                repeat: 0.05,
                delay: (100_000, 30_000_000),
            },
        );
        net.run(20 * S, |_, _| {});
        let all: Vec<Id> = net.ids().collect();
        assert!(
            agree(&net, &all),
            "seed {seed}: {:?}",
            net.part(3).map(Fellow::names)
        );
        net.run(120 * S, |_, _| {});
        assert!(agree(&net, &all), "seed {seed}");
        lost += net
            .ids()
            .map(|id| net.part(id).unwrap().lost())
            .sum::<usize>();
    }
    assert_eq!(lost, 0);
}

#[test]
fn a_dead_fellow_is_gone_at_all_others_and_its_next_life_is_another() {
    for seed in 0..8 {
        let mut net = fleet(
            24,
            seed,
            Weather {
                loss: 0.05,
                ..Weather::default()
            },
        );
        net.run(20 * S, |_, _| {});
        let old = net.part(5).unwrap().came.clone();
        net.kill(5);
        net.run(50 * S, |_, _| {});
        let others: Vec<Id> = net.ids().filter(|id| *id != 5).collect();
        assert!(agree(&net, &others), "seed {seed}");
        net.restart(5, |now, at| Fellow::new(now, at, &name(5), 2, 7));
        net.run(70 * S, |_, _| {});
        let all: Vec<Id> = net.ids().collect();
        assert!(agree(&net, &all), "seed {seed}");
        for id in &others {
            assert_eq!(
                net.part(*id)
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
        // What was sent to its first life, played to the second, changes nothing.
        let now = net.own_time(5);
        let part = net.part_mut(5).unwrap();
        let (told, before) = (part.told.len(), part.node.rejected.total());
        old.iter().for_each(|bytes| part.heard(now, bytes));
        assert_eq!(
            (part.told.len(), part.node.rejected.total() - before),
            (told, old.len() as u64)
        );
    }
}

#[test]
fn a_paused_fellow_is_lost_comes_back_by_itself_and_blames_nobody() {
    let mut net = fleet(12, 3, Weather::default());
    net.run(20 * S, |_, _| {});
    net.pause(4);
    net.run(80 * S, |_, _| {});
    let others: Vec<Id> = net.ids().filter(|id| *id != 4).collect();
    assert!(agree(&net, &others));
    net.unpause(4);
    net.run(100 * S, |_, _| {});
    let all: Vec<Id> = net.ids().collect();
    assert!(agree(&net, &all), "{:?}", net.part(4).map(Fellow::names));
    let blamed = |id: &Id| {
        net.part(*id)
            .unwrap()
            .told
            .iter()
            .any(|(_, event)| match event {
                MemberEvent::Lost(who) | MemberEvent::Suspected(who) => who.name != name(4),
                _ => false,
            })
    };
    assert!(!others.iter().any(blamed), "somebody else was suspected");
    let woken = &net.part(4).unwrap().told;
    assert!(
        !woken
            .iter()
            .any(|(_, event)| matches!(event, MemberEvent::Lost(_))),
        "{woken:?}"
    );
}

#[test]
fn halves_that_were_cut_off_from_each_other_find_together_again() {
    for seed in 0..4 {
        let mut net = fleet(10, seed, Weather::default());
        net.run(20 * S, |_, _| {});
        let (one, two): (Vec<Id>, Vec<Id>) = net.ids().partition(|id| *id < 5);
        net.split(&[&one, &two]);
        net.run(100 * S, |_, _| {});
        assert!(agree(&net, &one) && agree(&net, &two), "seed {seed}");
        net.heal();
        net.run(130 * S, |_, _| {});
        let all: Vec<Id> = net.ids().collect();
        assert!(
            agree(&net, &all),
            "seed {seed}: {:?}",
            net.part(0).map(Fellow::names)
        );
    }
}

#[test]
fn strangers_forgers_and_repeats_get_no_word_in() {
    let mut net = fleet(6, 1, Weather::default());
    // One with another key, under a name that is free and one that is not.
    for life in [1, 9] {
        let id = net.ids().count();
        let taken = if life == 1 { name(id) } else { name(2) };
        net.join(Clock::default(), |now, at| {
            Fellow::new(now, at, &taken, life, 8)
        });
    }
    net.run(30 * S, |_, _| {});
    let all: Vec<Id> = (0..6).collect();
    assert!(agree(&net, &all));
    assert!(net.part(0).unwrap().node.rejected.of(Rejection::BadSum) > 5);
    // Everything that 0 ever heard, again, minutes later, and to another than it was for.
    net.run(300 * S, |_, _| {});
    let old = net.part(0).unwrap().came.clone();
    for id in [0, 1] {
        let now = net.own_time(id);
        let part = net.part_mut(id).unwrap();
        let told = part.told.len();
        old.iter().for_each(|bytes| part.heard(now, bytes));
        assert_eq!(part.told.len(), told);
        while part.datagram().is_some() {}
    }
    assert!(net.part(0).unwrap().node.rejected.of(Rejection::Repeated) > 100);
    assert!(net.part(1).unwrap().node.rejected.of(Rejection::NotForUs) > 100);
    net.run(330 * S, |_, _| {});
    assert!(agree(&net, &all));
}

#[test]
fn a_new_key_comes_in_without_a_stop() {
    let mut net = fleet(6, 2, Weather::default());
    net.run(20 * S, |_, _| {});
    let (old, new) = (Key::new([7; 32]), Key::new([9; 32]));
    for keys in [
        vec![old.clone(), new.clone()],
        vec![new.clone(), old],
        vec![new],
    ] {
        for id in 0..6 {
            net.part_mut(id).unwrap().node.replace_keys(keys.clone());
            net.run(net.now() + 3 * S, |_, _| {});
        }
    }
    net.run(net.now() + 60 * S, |_, _| {});
    let all: Vec<Id> = net.ids().collect();
    assert!(agree(&net, &all));
    assert_eq!(
        net.ids()
            .map(|id| net.part(id).unwrap().lost())
            .sum::<usize>(),
        0
    );
}

/// A kind of message that nobody reads in time keeps neither the fellowship's own nor another kind waiting.
#[test]
fn a_burst_of_one_kind_is_bounded_and_starves_nobody() {
    let mut net = fleet(2, 1, Weather::default());
    net.run(10 * S, |_, _| {});
    let now = net.own_time(1);
    let to = MemberId {
        name: name(1),
        incarnation: 1,
    };
    let sender = net.part_mut(0).unwrap();
    let mut letters = Vec::new();
    let burst = MAX_PENDING_MESSAGES + 50;
    for n in 0..burst + 2 {
        let kind = if n < burst { 2 } else { 3 };
        assert!(sender.node.send(&to, kind, vec![n as u8]));
        letters.extend(sender.node.next_datagram());
    }
    let hears = &mut net.part_mut(1).unwrap().node;
    hears.accept_kind(2);
    hears.accept_kind(3);
    letters
        .iter()
        .for_each(|(_, letter)| hears.receive_datagram(now, letter));
    assert_eq!(hears.overflowed, [(2, 50)].into());
    // In the order in which they came, the newest lost; then there is room again.
    let mut came = Vec::new();
    while let Some(happened) = hears.next_event() {
        came.extend(match happened {
            NodeEvent::Message { kind, body, .. } => Some((kind, body[0])),
            NodeEvent::Membership(_) => None,
        });
    }
    let wanted = (0..MAX_PENDING_MESSAGES)
        .map(|n| (2, n as u8))
        .chain([(3, burst as u8), (3, burst as u8 + 1)]);
    assert_eq!(came, wanted.collect::<Vec<_>>());
    let sender = &mut net.part_mut(0).unwrap().node;
    assert!(sender.send(&to, 2, vec![9]));
    let (_, letter) = sender.next_datagram().unwrap();
    let hears = &mut net.part_mut(1).unwrap().node;
    hears.receive_datagram(now, &letter);
    assert!(matches!(
        hears.next_event(),
        Some(NodeEvent::Message { kind: 2, .. })
    ));
    assert_eq!(hears.overflowed, [(2, 50)].into());
}

#[test]
fn what_each_sends_stays_flat_as_the_fleet_grows() {
    let each = |many: usize| {
        let mut net = fleet(many, 1, Weather::default());
        net.run(40 * S, |_, _| {});
        let (sent, bytes) = (net.carried, net.carried_bytes);
        net.run(60 * S, |_, _| {});
        let a_second = |all: u64| all as f64 / many as f64 / 20.0;
        (
            a_second(net.carried - sent),
            a_second(net.carried_bytes - bytes),
        )
    };
    let (few, many) = (each(4), each(96));
    assert!(
        many.0 < 1.2 * few.0 && many.1 < 2.0 * few.1,
        "{few:?} to {many:?}"
    );
}

/// All that a run by seed carries, counted and hashed by receiver in the order of arrival.
#[test]
fn runs_by_seed_carry_the_recorded_messages_and_bytes() {
    let played: Vec<String> = (0..4)
        .map(|seed| {
            let weather = Weather {
                loss: 0.1,
                repeat: 0.05,
                delay: (100_000, 30_000_000),
            };
            let mut net = fleet(12, seed, weather);
            net.run(20 * S, |_, _| {});
            net.kill(5);
            net.run(60 * S, |_, _| {});
            net.restart(5, |now, at| Fellow::new(now, at, &name(5), 2, 7));
            net.run(90 * S, |_, _| {});
            let mut arrived = blake3::Hasher::new();
            for bytes in net.ids().flat_map(|id| &net.part(id).unwrap().came) {
                arrived.update(bytes);
            }
            let digest = &arrived.finalize().to_hex()[..16];
            format!("{} {} {digest}", net.carried, net.carried_bytes)
        })
        .collect();
    let recorded = [
        "8283 670173 5dbbd2627adb8ddf",
        "8506 673704 522676295f3b5fe7",
        "8383 664234 b38f512cafe14c32",
        "8489 678015 753511ff9ebb324c",
    ];
    assert_eq!(played, recorded);
}
