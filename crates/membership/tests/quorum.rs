//! The quorum state over the simulated network, on the membership that sockets drive.

use havenplank_emulator::net::{Clock, Id, Nanos, Net, Part, Weather};
use havenplank_membership::keys::Key;
use havenplank_membership::member::MemberId;
use havenplank_membership::member::{Member, MemberState};
use havenplank_membership::node::{Node, NodeEvent};
use havenplank_membership::quorum::{
    EvictionVote, Quorum, QuorumState, Rules, StateChange, View, VoterRecord,
};
use havenplank_membership::swim::{MemberEvent, Rules as Membership};
use proptest::prelude::*;
use std::net::SocketAddr;

const S: Nanos = 1_000_000_000;
const KIND: u8 = 3;
const PERIOD: Nanos = S / 2;

/// A member that tells its view to one other in turn, as the sidecar does.
struct Sidecar {
    node: Node,
    quorum: Quorum,
    next: Nanos,
    turn: usize,
    changes: Vec<(Nanos, QuorumState, QuorumState)>,
}

impl Part for Sidecar {
    fn heard(&mut self, now: Nanos, bytes: &[u8]) {
        self.node.receive_datagram(now, bytes);
        self.look(now);
    }
    fn wake(&mut self, now: Nanos) {
        self.node.wake(now);
        if now >= self.next {
            self.next = now + PERIOD;
            let living: Vec<MemberId> = self
                .node
                .membership()
                .alive()
                .map(|member| member.id.clone())
                .collect();
            self.quorum.set_alive(now, living.iter());
            if !living.is_empty() {
                self.turn = (self.turn + 1) % living.len();
                let view =
                    postcard::to_stdvec(&self.quorum.view_for(now, &living[self.turn])).unwrap();
                self.node.send(&living[self.turn], KIND, view);
            }
        }
        self.look(now);
    }
    fn next_wake(&self) -> Option<Nanos> {
        self.node.next_wake().into_iter().chain([self.next]).min()
    }
    fn datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.node.next_datagram()
    }
}

impl Sidecar {
    fn new(now: Nanos, at: SocketAddr, name: String, member_id: u64, rules: Rules) -> Sidecar {
        let who = MemberId {
            name,
            incarnation: member_id,
        };
        let me = Member {
            id: who.clone(),
            address: at,
            zone: "z".into(),
            refutations: 0,
            state: MemberState::Alive,
        };
        let seed = at
            .ip()
            .to_string()
            .bytes()
            .fold(member_id, |sum, byte| sum * 31 + byte as u64);
        let seeds = vec![Net::<Sidecar>::address(0)];
        let mut node = Node::new(
            now,
            seed,
            me,
            seeds,
            Membership::default(),
            vec![Key::new([7; 32])],
        );
        node.accept_kind(KIND);
        let quorum = Quorum::new(now, who, rules);
        Sidecar {
            node,
            quorum,
            next: now,
            turn: 0,
            changes: Vec::new(),
        }
    }

    fn look(&mut self, now: Nanos) {
        while let Some(happened) = self.node.next_event() {
            match happened {
                NodeEvent::Membership(MemberEvent::Left(who)) => {
                    self.quorum.record_leave(now, &who)
                }
                NodeEvent::Membership(MemberEvent::IncarnationRaised(who)) => {
                    self.quorum.set_own_id(&who)
                }
                NodeEvent::Membership(_) => {}
                NodeEvent::Message { from, body, .. } => {
                    let view: View = postcard::from_bytes(&body).unwrap();
                    self.quorum.receive_view(now, &from, view);
                }
            }
        }
        if let Some(StateChange { was, is }) = self.quorum.update(now) {
            self.changes.push((now, was, is));
        }
    }
}

fn name(id: Id) -> String {
    format!("s-{id:02}")
}

fn fleet(many: usize, seed: u64, rules: &Rules) -> Net<Sidecar> {
    let mut net = Net::new(
        seed,
        Weather {
            loss: 0.05,
            ..Weather::default()
        },
    );
    for id in 0..many {
        let clock = Clock {
            began: id as Nanos * 77 * S,
            drift_ppm: (id as i64 % 3 - 1) * 1_000,
        };
        net.join(clock, |now, at| {
            Sidecar::new(now, at, name(id), 1, rules.clone())
        });
    }
    net
}

fn state(net: &Net<Sidecar>, id: Id) -> QuorumState {
    net.part(id).unwrap().quorum.state()
}

fn all(net: &Net<Sidecar>, ids: &[Id]) -> Vec<QuorumState> {
    ids.iter().map(|id| state(net, *id)).collect()
}

#[test]
fn a_minority_knows_that_it_is_one_however_long_a_split_lasts() {
    for seed in 0..6 {
        let mut net = fleet(
            9,
            seed,
            &Rules {
                eviction_delay: 40 * S,
                ..Rules::default()
            },
        );
        let (few, many): (Vec<Id>, Vec<Id>) = ((0..4).collect(), (4..9).collect());
        net.run(60 * S, |_, _| {});
        let ids: Vec<Id> = net.ids().collect();
        assert!(
            all(&net, &ids).iter().all(|is| *is == QuorumState::Agreed),
            "seed {seed}: {:?}",
            all(&net, &ids)
        );
        net.split(&[&few, &many]);
        net.run(120 * S, |_, _| {});
        assert!(
            all(&net, &few).iter().all(|is| *is == QuorumState::Few),
            "seed {seed}: {:?}",
            all(&net, &few)
        );
        // Far longer than it takes the others to evict them: they still count all nine.
        net.run(700 * S, |_, _| {});
        assert!(
            all(&net, &few).iter().all(|is| *is == QuorumState::Few),
            "seed {seed}: {:?}",
            all(&net, &few)
        );
        assert!(
            few.iter()
                .all(|id| net.part(*id).unwrap().quorum.voter_count() == 9),
            "seed {seed}"
        );
        assert!(
            all(&net, &many).iter().all(|is| *is == QuorumState::Agreed),
            "seed {seed}: {:?}",
            all(&net, &many)
        );
        assert!(
            many.iter()
                .all(|id| net.part(*id).unwrap().quorum.voter_count() == 5),
            "seed {seed}: evicted"
        );
        net.heal();
        net.run(900 * S, |_, _| {});
        assert!(
            all(&net, &ids).iter().all(|is| *is == QuorumState::Agreed),
            "seed {seed}: {:?}",
            all(&net, &ids)
        );
        assert!(
            ids.iter()
                .all(|id| net.part(*id).unwrap().quorum.voter_count() == 9),
            "seed {seed}: they are back"
        );
    }
}

#[test]
fn no_half_and_no_third_takes_itself_for_a_majority() {
    for (seed, parts) in [(1, vec![4, 4]), (2, vec![3, 3, 3]), (3, vec![1, 7])] {
        let mut net = fleet(parts.iter().sum(), seed, &Rules::default());
        net.run(60 * S, |_, _| {});
        let mut next = 0;
        let groups: Vec<Vec<Id>> = parts
            .iter()
            .map(|many| {
                next += many;
                (next - many..next).collect()
            })
            .collect();
        net.split(&groups.iter().map(Vec::as_slice).collect::<Vec<_>>());
        net.run(140 * S, |_, _| {});
        for group in &groups {
            let wanted = match (group.len(), 2 * group.len() > next) {
                (1, _) => QuorumState::Alone,
                (_, true) => QuorumState::Agreed,
                (_, false) => QuorumState::Few,
            };
            assert!(
                all(&net, group).iter().all(|is| *is == wanted),
                "{parts:?}: {:?}",
                all(&net, group)
            );
        }
    }
}

#[test]
fn the_state_falls_at_once_and_rises_after_a_delay() {
    let mut net = fleet(5, 4, &Rules::default());
    net.run(60 * S, |_, _| {});
    let from = net.part(0).unwrap().changes.len();
    net.split(&[&[0, 1], &[2, 3, 4]]);
    net.run(100 * S, |_, _| {});
    net.heal();
    net.run(300 * S, |_, _| {});
    let changes = &net.part(0).unwrap().changes[from..];
    let ways: Vec<(QuorumState, QuorumState)> =
        changes.iter().map(|(_, was, is)| (*was, *is)).collect();
    assert_eq!(
        ways.first(),
        Some(&(QuorumState::Agreed, QuorumState::Few)),
        "{ways:?}"
    );
    assert_eq!(state(&net, 0), QuorumState::Agreed, "{ways:?}");
    // Straight to the worse, never from one better to another within less than it must hold.
    for pair in changes.windows(2) {
        let ((at, _, was), (then, _, is)) = (pair[0], pair[1]);
        assert!(
            is > was || then - at >= Rules::default().recovery_delay,
            "{changes:?}"
        );
    }
}

#[test]
fn leaving_removes_a_voter_and_loss_does_not() {
    let mut net = fleet(7, 5, &Rules::default());
    net.run(60 * S, |_, _| {});
    for id in [5, 6] {
        net.part_mut(id).unwrap().node.leave();
        net.post(id);
        net.run(net.now() + S, |_, _| {});
        net.kill(id);
    }
    net.run(100 * S, |_, _| {});
    let belong = |net: &Net<Sidecar>| net.part(0).unwrap().quorum.voter_count();
    assert_eq!((belong(&net), state(&net, 0)), (5, QuorumState::Agreed));
    [2, 3, 4].into_iter().for_each(|id| net.kill(id));
    net.run(200 * S, |_, _| {});
    assert_eq!(
        (belong(&net), state(&net, 0)),
        (5, QuorumState::Few),
        "two of five, for good"
    );
    net.restart(2, |now, at| {
        Sidecar::new(now, at, name(2), 2, Rules::default())
    });
    net.run(260 * S, |_, _| {});
    assert_eq!(
        (belong(&net), state(&net, 0)),
        (5, QuorumState::Agreed),
        "a restart belongs as it did"
    );
    let missing: Vec<String> = net
        .part(0)
        .unwrap()
        .quorum
        .unreached(net.own_time(0))
        .map(str::to_string)
        .collect();
    assert_eq!(missing, [name(3), name(4)]);
}

fn view(missing: &[&str], records: Vec<VoterRecord>) -> View {
    let missing: Vec<String> = missing.iter().map(|name| name.to_string()).collect();
    View {
        voters_digest: 0,
        alive_digest: 0,
        missing_count: missing.len() as u32,
        missing,
        evictions: Vec::new(),
        records,
    }
}

fn member_id(id: Id) -> MemberId {
    MemberId {
        name: name(id),
        incarnation: 1,
    }
}

#[test]
fn a_better_state_is_believed_only_after_it_has_held() {
    let mut quorum = Quorum::new(0, member_id(0), Rules::default());
    let (both, none) = ([member_id(1), member_id(2)], []);
    quorum.set_alive(0, both.iter());
    assert_eq!((quorum.update(0), quorum.update(2 * S)), (None, None));
    // A moment without them, and it begins anew.
    quorum.set_alive(2 * S, none.iter());
    assert_eq!(quorum.update(2 * S), None, "it never rose");
    quorum.set_alive(2 * S + 1, both.iter());
    // They came back: steady after 3 s, and then it must hold for as long.
    assert_eq!(
        (
            quorum.update(4 * S),
            quorum.update(5 * S + 2),
            quorum.update(7 * S)
        ),
        (None, None, None)
    );
    assert_eq!(
        quorum.update(8 * S + 2),
        Some(StateChange {
            was: QuorumState::Alone,
            is: QuorumState::Agreed,
        })
    );
}

#[test]
fn an_evicted_voter_returns_by_a_rejoin_of_its_own() {
    let mut evicted = Quorum::new(0, member_id(0), Rules::default());
    let gone = VoterRecord {
        id: member_id(0),
        rejoins: 0,
        is_voter: false,
    };
    evicted.receive_view(0, &member_id(1), view(&[], vec![gone.clone()]));
    let own = evicted.view_for(0, &member_id(1)).records[0].clone();
    assert_eq!(
        own,
        VoterRecord {
            id: member_id(0),
            rejoins: 1,
            is_voter: true
        }
    );
    let mut other = Quorum::new(0, member_id(1), Rules::default());
    other.receive_view(0, &member_id(2), view(&[], vec![gone.clone()]));
    other.set_alive(0, [member_id(0)].iter());
    assert_eq!(
        other.voter_count(),
        1,
        "being alive does not make a voter of one that was evicted"
    );
    other.receive_view(0, &member_id(0), view(&[], vec![own]));
    other.receive_view(0, &member_id(2), view(&[], vec![gone]));
    assert_eq!(other.voter_count(), 2);
}

#[test]
fn a_voter_that_does_not_hear_us_counts_as_missing_and_is_named() {
    let mut quorum = Quorum::new(0, member_id(0), Rules::default());
    let others = [member_id(1), member_id(2)];
    quorum.set_alive(0, others.iter());
    quorum.update(0);
    quorum.update(4 * S);
    assert_eq!(quorum.state(), QuorumState::Agreed);
    quorum.receive_view(5 * S, &member_id(1), view(&["s-00"], Vec::new()));
    assert_eq!(
        quorum.voters_missing_us(5 * S).collect::<Vec<_>>(),
        ["s-01"]
    );
    assert_eq!(quorum.unreached(5 * S).collect::<Vec<_>>(), ["s-01"]);
    quorum.receive_view(5 * S, &member_id(2), view(&["s-00"], Vec::new()));
    assert_eq!(
        quorum.update(5 * S),
        Some(StateChange {
            was: QuorumState::Agreed,
            is: QuorumState::Alone,
        })
    );
}

#[test]
fn only_the_allowed_length_of_a_view_is_read() {
    let mut quorum = Quorum::new(0, member_id(0), Rules::default());
    quorum.set_alive(0, [member_id(1)].iter());
    let records = (100..10_100)
        .map(|id| VoterRecord {
            id: member_id(id),
            rejoins: 0,
            is_voter: true,
        })
        .collect();
    let names: Vec<String> = (0..10_000).map(|n| format!("{n:060}")).collect();
    let mut missing: Vec<&str> = names.iter().map(String::as_str).collect();
    missing.push("s-00");
    quorum.receive_view(S, &member_id(1), view(&missing, records));
    assert_eq!(
        (quorum.voter_count(), quorum.voters_missing_us(S).count()),
        (2 + 12, 0)
    );
}

#[test]
fn views_that_still_differ_later_are_a_dispute_that_names_who_is_missed() {
    let mut quorum = Quorum::new(0, member_id(0), Rules::default());
    let others: Vec<MemberId> = (1..5).map(member_id).collect();
    quorum.set_alive(0, others.iter());
    quorum.update(0);
    quorum.update(4 * S);
    quorum.receive_view(5 * S, &member_id(1), view(&["s-03"], Vec::new()));
    assert_eq!(quorum.update(5 * S), None, "updates take their time");
    quorum.receive_view(16 * S, &member_id(1), view(&["s-03"], Vec::new()));
    assert_eq!(
        quorum.update(16 * S),
        Some(StateChange {
            was: QuorumState::Agreed,
            is: QuorumState::Disputed,
        })
    );
    let disputes = quorum.disputes(16 * S);
    assert_eq!(
        (disputes.len(), disputes[0].peer.as_str(), disputes[0].since),
        (1, "s-01", 5 * S)
    );
    assert_eq!(disputes[0].missing_at_peer, ["s-03"]);
    assert!(disputes[0].voters_differ && disputes[0].missing_here.is_empty());
}

#[test]
fn a_flapping_voter_counts_after_a_longer_wait_each_time() {
    let mut quorum = Quorum::new(0, member_id(0), Rules::default());
    let (both, one) = ([member_id(1), member_id(2)], [member_id(1)]);
    quorum.set_alive(0, both.iter());
    let mut now = 10 * S;
    let mut waits = Vec::new();
    for _ in 0..4 {
        quorum.set_alive(now, one.iter());
        quorum.set_alive(now + S, both.iter());
        now += S;
        let back = now;
        while quorum.flapping(now).next().is_some() {
            now += S;
        }
        waits.push((now - back) / S);
    }
    assert_eq!(waits, [3, 9, 21, 45]);
    // Forgiven after a long steady time.
    now += 4_000 * S;
    (0..50).for_each(|n| quorum.set_alive(now + n * 400 * S, both.iter()));
    now += 50 * 400 * S;
    quorum.set_alive(now, one.iter());
    quorum.set_alive(now, both.iter());
    assert!(quorum.flapping(now + 3 * S).next().is_none());
}

#[test]
fn a_voter_is_evicted_by_more_than_half_of_all_voters_alone() {
    for (voters, gone) in [(1, false), (2, true)] {
        let mut quorum = Quorum::new(0, member_id(0), Rules::default());
        let five: Vec<MemberId> = (1..5).map(member_id).collect();
        quorum.set_alive(0, five.iter());
        quorum.set_alive(S, five[..voters].iter());
        let now = 700 * S;
        for _ in 0..3 {
            for voter in &five[..voters] {
                let evictions = vec![eviction_vote(4)];
                quorum.receive_view(
                    now,
                    voter,
                    View {
                        evictions,
                        ..view(&[], Vec::new())
                    },
                );
            }
            // A stranger has no vote.
            let evictions = vec![eviction_vote(4)];
            quorum.receive_view(
                now,
                &member_id(9),
                View {
                    evictions,
                    ..view(&[], Vec::new())
                },
            );
            quorum.update(now);
        }
        assert_eq!(
            quorum.voter_count() == 4,
            gone,
            "{voters} voters beside us, of five"
        );
    }
}

fn eviction_vote(id: Id) -> EvictionVote {
    EvictionVote {
        name: name(id),
        incarnation: 1,
        rejoins: 0,
    }
}

fn records() -> impl Strategy<Value = Vec<VoterRecord>> {
    let record =
        (1..5usize, 1..3u64, 0..3u32, any::<bool>()).prop_map(|(id, member_id, entry, belongs)| {
            VoterRecord {
                id: MemberId {
                    name: name(id),
                    incarnation: member_id,
                },
                rejoins: entry,
                is_voter: belongs,
            }
        });
    prop::collection::vec(record, 0..10)
}

proptest! {
    #[test]
    fn voter_records_merge_alike_in_any_order_and_however_often(one in records(), two in records()) {
        let tell = |all: &[&Vec<VoterRecord>]| {
            let mut quorum = Quorum::new(0, member_id(0), Rules::default());
            for records in all {
                quorum.receive_view(0, &member_id(1), view(&[], records.to_vec()));
            }
            quorum.view_for(0, &member_id(1)).voters_digest
        };
        prop_assert_eq!(tell(&[&one, &two]), tell(&[&two, &one, &two, &one]));
    }
}
