//! The quorum state on the simulated network, with the membership code that also runs on sockets.

use havenplank_emulator::net::{Clock, Host, Id, Nanos, Net, NetworkFaults};
use havenplank_membership::keys::Key;
use havenplank_membership::member::MemberId;
use havenplank_membership::member::{Member, MemberState};
use havenplank_membership::node::{Node, NodeEvent};
use havenplank_membership::quorum::{
    EvictionVote, Quorum, QuorumState, Rules, StateChange, View, VoterRecord,
};
use havenplank_membership::swim::{MemberEvent, Rules as MembershipRules};
use proptest::prelude::*;
use std::net::SocketAddr;

const SECOND: Nanos = 1_000_000_000;
const VIEW_KIND: u8 = 3;
const PERIOD: Nanos = SECOND / 2;

/// A sidecar that sends its view to one member after the other, as the program does.
struct Sidecar {
    node: Node,
    quorum: Quorum,
    next_period: Nanos,
    receiver_index: usize,
    changes: Vec<(Nanos, QuorumState, QuorumState)>,
}

impl Host for Sidecar {
    fn receive_datagram(&mut self, now: Nanos, bytes: &[u8]) {
        self.node.receive_datagram(now, bytes);
        self.take_events(now);
    }
    fn wake(&mut self, now: Nanos) {
        self.node.wake(now);
        if now >= self.next_period {
            self.next_period = now + PERIOD;
            let living: Vec<MemberId> = self
                .node
                .membership()
                .alive()
                .map(|member| member.id.clone())
                .collect();
            self.quorum.set_alive(now, living.iter());
            if !living.is_empty() {
                self.receiver_index = (self.receiver_index + 1) % living.len();
                let view =
                    postcard::to_stdvec(&self.quorum.view_for(now, &living[self.receiver_index]))
                        .unwrap();
                self.node
                    .send(&living[self.receiver_index], VIEW_KIND, view);
            }
        }
        self.take_events(now);
    }
    fn next_wake(&self) -> Option<Nanos> {
        self.node
            .next_wake()
            .into_iter()
            .chain([self.next_period])
            .min()
    }
    fn datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.node.next_datagram()
    }
}

impl Sidecar {
    fn new(
        now: Nanos,
        own_address: SocketAddr,
        name: String,
        incarnation_number: u64,
        rules: Rules,
    ) -> Sidecar {
        let own_id = MemberId {
            name,
            incarnation: incarnation_number,
        };
        let me = Member {
            id: own_id.clone(),
            address: own_address,
            zone: "z".into(),
            refutations: 0,
            state: MemberState::Alive,
        };
        let seed = own_address
            .ip()
            .to_string()
            .bytes()
            .fold(incarnation_number, |sum, byte| sum * 31 + byte as u64);
        let seeds = vec![Net::<Sidecar>::address(0)];
        let mut node = Node::new(
            now,
            seed,
            me,
            seeds,
            MembershipRules::default(),
            vec![Key::new([7; 32])],
        );
        node.accept_kind(VIEW_KIND);
        let quorum = Quorum::new(now, own_id, rules);
        Sidecar {
            node,
            quorum,
            next_period: now,
            receiver_index: 0,
            changes: Vec::new(),
        }
    }

    fn take_events(&mut self, now: Nanos) {
        while let Some(node_event) = self.node.next_event() {
            match node_event {
                NodeEvent::Membership(MemberEvent::Left(id)) => self.quorum.record_leave(now, &id),
                NodeEvent::Membership(MemberEvent::IncarnationRaised(id)) => {
                    self.quorum.set_own_id(&id)
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

fn fleet(size: usize, seed: u64, rules: &Rules) -> Net<Sidecar> {
    let mut net = Net::new(
        seed,
        NetworkFaults {
            loss: 0.05,
            ..NetworkFaults::default()
        },
    );
    for id in 0..size {
        let clock = Clock {
            began: id as Nanos * 77 * SECOND,
            drift_ppm: (id as i64 % 3 - 1) * 1_000,
        };
        net.join(clock, |now, addr| {
            Sidecar::new(now, addr, name(id), 1, rules.clone())
        });
    }
    net
}

fn state(net: &Net<Sidecar>, id: Id) -> QuorumState {
    net.host(id).unwrap().quorum.state()
}

fn states(net: &Net<Sidecar>, ids: &[Id]) -> Vec<QuorumState> {
    ids.iter().map(|id| state(net, *id)).collect()
}

#[test]
fn a_minority_stays_in_the_state_few_however_long_a_partition_lasts() {
    for seed in 0..6 {
        let mut net = fleet(
            9,
            seed,
            &Rules {
                eviction_delay: 40 * SECOND,
                ..Rules::default()
            },
        );
        let (minority, majority): (Vec<Id>, Vec<Id>) = ((0..4).collect(), (4..9).collect());
        net.run(60 * SECOND, |_, _| {});
        let ids: Vec<Id> = net.ids().collect();
        assert!(
            states(&net, &ids)
                .iter()
                .all(|is| *is == QuorumState::Agreed),
            "seed {seed}: {:?}",
            states(&net, &ids)
        );
        net.split(&[&minority, &majority]);
        net.run(120 * SECOND, |_, _| {});
        assert!(
            states(&net, &minority)
                .iter()
                .all(|is| *is == QuorumState::Few),
            "seed {seed}: {:?}",
            states(&net, &minority)
        );
        // Far longer than the majority needs to evict the minority, which still counts all nine voters.
        net.run(700 * SECOND, |_, _| {});
        assert!(
            states(&net, &minority)
                .iter()
                .all(|is| *is == QuorumState::Few),
            "seed {seed}: {:?}",
            states(&net, &minority)
        );
        assert!(
            minority
                .iter()
                .all(|id| net.host(*id).unwrap().quorum.voter_count() == 9),
            "seed {seed}"
        );
        assert!(
            states(&net, &majority)
                .iter()
                .all(|is| *is == QuorumState::Agreed),
            "seed {seed}: {:?}",
            states(&net, &majority)
        );
        assert!(
            majority
                .iter()
                .all(|id| net.host(*id).unwrap().quorum.voter_count() == 5),
            "seed {seed}: the minority is evicted"
        );
        net.heal();
        net.run(900 * SECOND, |_, _| {});
        assert!(
            states(&net, &ids)
                .iter()
                .all(|is| *is == QuorumState::Agreed),
            "seed {seed}: {:?}",
            states(&net, &ids)
        );
        assert!(
            ids.iter()
                .all(|id| net.host(*id).unwrap().quorum.voter_count() == 9),
            "seed {seed}: the evicted voters have rejoined"
        );
    }
}

#[test]
fn neither_a_half_nor_a_third_counts_itself_as_a_majority() {
    for (seed, group_sizes) in [(1, vec![4, 4]), (2, vec![3, 3, 3]), (3, vec![1, 7])] {
        let mut net = fleet(group_sizes.iter().sum(), seed, &Rules::default());
        net.run(60 * SECOND, |_, _| {});
        let mut next = 0;
        let groups: Vec<Vec<Id>> = group_sizes
            .iter()
            .map(|size| {
                next += size;
                (next - size..next).collect()
            })
            .collect();
        net.split(&groups.iter().map(Vec::as_slice).collect::<Vec<_>>());
        net.run(140 * SECOND, |_, _| {});
        for group in &groups {
            let expected = match (group.len(), 2 * group.len() > next) {
                (1, _) => QuorumState::Alone,
                (_, true) => QuorumState::Agreed,
                (_, false) => QuorumState::Few,
            };
            assert!(
                states(&net, group).iter().all(|is| *is == expected),
                "{group_sizes:?}: {:?}",
                states(&net, group)
            );
        }
    }
}

#[test]
fn the_state_becomes_worse_at_once_and_better_after_a_delay() {
    let mut net = fleet(5, 4, &Rules::default());
    net.run(60 * SECOND, |_, _| {});
    let first_change = net.host(0).unwrap().changes.len();
    net.split(&[&[0, 1], &[2, 3, 4]]);
    net.run(100 * SECOND, |_, _| {});
    net.heal();
    net.run(300 * SECOND, |_, _| {});
    let changes = &net.host(0).unwrap().changes[first_change..];
    let transitions: Vec<(QuorumState, QuorumState)> =
        changes.iter().map(|(_, was, is)| (*was, *is)).collect();
    assert_eq!(
        transitions.first(),
        Some(&(QuorumState::Agreed, QuorumState::Few)),
        "{transitions:?}"
    );
    assert_eq!(state(&net, 0), QuorumState::Agreed, "{transitions:?}");
    // A worse state is entered at once, a better one only after it has held for the recovery delay.
    for pair in changes.windows(2) {
        let ((earlier, _, before), (later, _, after)) = (pair[0], pair[1]);
        assert!(
            after > before || later - earlier >= Rules::default().recovery_delay,
            "{changes:?}"
        );
    }
}

#[test]
fn a_leave_removes_a_voter_and_a_crash_does_not() {
    let mut net = fleet(7, 5, &Rules::default());
    net.run(60 * SECOND, |_, _| {});
    for id in [5, 6] {
        net.host_mut(id).unwrap().node.leave();
        net.send_ready(id);
        net.run(net.now() + SECOND, |_, _| {});
        net.kill(id);
    }
    net.run(100 * SECOND, |_, _| {});
    let voter_count = |net: &Net<Sidecar>| net.host(0).unwrap().quorum.voter_count();
    assert_eq!(
        (voter_count(&net), state(&net, 0)),
        (5, QuorumState::Agreed)
    );
    [2, 3, 4].into_iter().for_each(|id| net.kill(id));
    net.run(200 * SECOND, |_, _| {});
    assert_eq!(
        (voter_count(&net), state(&net, 0)),
        (5, QuorumState::Few),
        "two of five voters, and no eviction"
    );
    net.restart(2, |now, addr| {
        Sidecar::new(now, addr, name(2), 2, Rules::default())
    });
    net.run(260 * SECOND, |_, _| {});
    assert_eq!(
        (voter_count(&net), state(&net, 0)),
        (5, QuorumState::Agreed),
        "a restarted sidecar is still a voter"
    );
    let missing: Vec<String> = net
        .host(0)
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
fn a_better_state_is_entered_only_after_it_has_held() {
    let mut quorum = Quorum::new(0, member_id(0), Rules::default());
    let (both, none) = ([member_id(1), member_id(2)], []);
    quorum.set_alive(0, both.iter());
    assert_eq!((quorum.update(0), quorum.update(2 * SECOND)), (None, None));
    // A moment without the other voters restarts the delay.
    quorum.set_alive(2 * SECOND, none.iter());
    assert_eq!(quorum.update(2 * SECOND), None, "the state never improved");
    quorum.set_alive(2 * SECOND + 1, both.iter());
    // Both have returned: they count as reached after 3 s, then the better state must hold for as long.
    assert_eq!(
        (
            quorum.update(4 * SECOND),
            quorum.update(5 * SECOND + 2),
            quorum.update(7 * SECOND)
        ),
        (None, None, None)
    );
    assert_eq!(
        quorum.update(8 * SECOND + 2),
        Some(StateChange {
            was: QuorumState::Alone,
            is: QuorumState::Agreed,
        })
    );
}

#[test]
fn an_evicted_voter_returns_only_by_its_own_rejoin() {
    let mut evicted = Quorum::new(0, member_id(0), Rules::default());
    let eviction = VoterRecord {
        id: member_id(0),
        rejoins: 0,
        is_voter: false,
    };
    evicted.receive_view(0, &member_id(1), view(&[], vec![eviction.clone()]));
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
    other.receive_view(0, &member_id(2), view(&[], vec![eviction.clone()]));
    other.set_alive(0, [member_id(0)].iter());
    assert_eq!(
        other.voter_count(),
        1,
        "being alive does not make an evicted sidecar a voter again"
    );
    other.receive_view(0, &member_id(0), view(&[], vec![own]));
    other.receive_view(0, &member_id(2), view(&[], vec![eviction]));
    assert_eq!(other.voter_count(), 2);
}

#[test]
fn a_voter_that_misses_us_counts_as_unreached_and_is_named() {
    let mut quorum = Quorum::new(0, member_id(0), Rules::default());
    let others = [member_id(1), member_id(2)];
    quorum.set_alive(0, others.iter());
    quorum.update(0);
    quorum.update(4 * SECOND);
    assert_eq!(quorum.state(), QuorumState::Agreed);
    quorum.receive_view(5 * SECOND, &member_id(1), view(&["s-00"], Vec::new()));
    assert_eq!(
        quorum.voters_missing_us(5 * SECOND).collect::<Vec<_>>(),
        ["s-01"]
    );
    assert_eq!(quorum.unreached(5 * SECOND).collect::<Vec<_>>(), ["s-01"]);
    quorum.receive_view(5 * SECOND, &member_id(2), view(&["s-00"], Vec::new()));
    assert_eq!(
        quorum.update(5 * SECOND),
        Some(StateChange {
            was: QuorumState::Agreed,
            is: QuorumState::Alone,
        })
    );
}

#[test]
fn an_oversized_view_is_read_only_up_to_its_limits() {
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
    quorum.receive_view(SECOND, &member_id(1), view(&missing, records));
    assert_eq!(
        (
            quorum.voter_count(),
            quorum.voters_missing_us(SECOND).count()
        ),
        (2 + 12, 0)
    );
}

#[test]
fn views_that_still_differ_later_are_a_dispute_that_names_the_missing_voters() {
    let mut quorum = Quorum::new(0, member_id(0), Rules::default());
    let others: Vec<MemberId> = (1..5).map(member_id).collect();
    quorum.set_alive(0, others.iter());
    quorum.update(0);
    quorum.update(4 * SECOND);
    quorum.receive_view(5 * SECOND, &member_id(1), view(&["s-03"], Vec::new()));
    assert_eq!(
        quorum.update(5 * SECOND),
        None,
        "the difference may only be an update that has not spread yet"
    );
    quorum.receive_view(16 * SECOND, &member_id(1), view(&["s-03"], Vec::new()));
    assert_eq!(
        quorum.update(16 * SECOND),
        Some(StateChange {
            was: QuorumState::Agreed,
            is: QuorumState::Disputed,
        })
    );
    let disputes = quorum.disputes(16 * SECOND);
    assert_eq!(
        (disputes.len(), disputes[0].peer.as_str(), disputes[0].since),
        (1, "s-01", 5 * SECOND)
    );
    assert_eq!(disputes[0].missing_at_peer, ["s-03"]);
    assert!(disputes[0].voters_differ && disputes[0].missing_here.is_empty());
}

#[test]
fn a_flapping_voter_counts_after_a_longer_wait_each_time() {
    let mut quorum = Quorum::new(0, member_id(0), Rules::default());
    let (both, one) = ([member_id(1), member_id(2)], [member_id(1)]);
    quorum.set_alive(0, both.iter());
    let mut now = 10 * SECOND;
    let mut waits = Vec::new();
    for _ in 0..4 {
        quorum.set_alive(now, one.iter());
        quorum.set_alive(now + SECOND, both.iter());
        now += SECOND;
        let returned_at = now;
        while quorum.flapping(now).next().is_some() {
            now += SECOND;
        }
        waits.push((now - returned_at) / SECOND);
    }
    assert_eq!(waits, [3, 9, 21, 45]);
    // The flaps are forgiven after a long time without one.
    now += 4_000 * SECOND;
    (0..50).for_each(|n| quorum.set_alive(now + n * 400 * SECOND, both.iter()));
    now += 50 * 400 * SECOND;
    quorum.set_alive(now, one.iter());
    quorum.set_alive(now, both.iter());
    assert!(quorum.flapping(now + 3 * SECOND).next().is_none());
}

#[test]
fn a_voter_is_evicted_only_by_more_than_half_of_all_voters() {
    for (reached_voters, is_evicted) in [(1, false), (2, true)] {
        let mut quorum = Quorum::new(0, member_id(0), Rules::default());
        let others: Vec<MemberId> = (1..5).map(member_id).collect();
        quorum.set_alive(0, others.iter());
        quorum.set_alive(SECOND, others[..reached_voters].iter());
        let now = 700 * SECOND;
        for _ in 0..3 {
            for voter in &others[..reached_voters] {
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
            // A sidecar that is not a voter has no vote.
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
            is_evicted,
            "{reached_voters} voters beside us, of five"
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
        (1..5usize, 1..3u64, 0..3u32, any::<bool>()).prop_map(|(id, number, rejoined, voting)| {
            VoterRecord {
                id: MemberId {
                    name: name(id),
                    incarnation: number,
                },
                rejoins: rejoined,
                is_voter: voting,
            }
        });
    prop::collection::vec(record, 0..10)
}

proptest! {
    #[test]
    fn voter_records_merge_to_the_same_result_in_any_order_and_with_repeats(one in records(), two in records()) {
        let digest_after = |batches: &[&Vec<VoterRecord>]| {
            let mut quorum = Quorum::new(0, member_id(0), Rules::default());
            for records in batches {
                quorum.receive_view(0, &member_id(1), view(&[], records.to_vec()));
            }
            quorum.view_for(0, &member_id(1)).voters_digest
        };
        prop_assert_eq!(digest_after(&[&one, &two]), digest_after(&[&two, &one, &two, &one]));
    }
}
