//! Standing over the simulated network, on the membership that sockets drive: what each believes of its own place.

use havenplank_emulator::net::{Clock, Id, Nanos, Net, Part, Weather};
use havenplank_membership::keys::Key;
use havenplank_membership::member::MemberId;
use havenplank_membership::member::{Member, MemberState};
use havenplank_membership::node::{Node, NodeEvent};
use havenplank_membership::quorum::{Quorum, QuorumState, Rules, View, VoterRecord};
use havenplank_membership::swim::{MemberEvent, Rules as Membership};
use proptest::prelude::*;
use std::net::SocketAddr;

const S: Nanos = 1_000_000_000;
const KIND: u8 = 3;
const BEAT: Nanos = S / 2;

/// A member that says its view to one fellow in turn, as the sidecar does.
struct Fellow {
    node: Node,
    place: Quorum,
    next: Nanos,
    turn: usize,
    changes: Vec<(Nanos, QuorumState, QuorumState)>,
}

impl Part for Fellow {
    fn heard(&mut self, now: Nanos, bytes: &[u8]) {
        self.node.receive_datagram(now, bytes);
        self.look(now);
    }
    fn wake(&mut self, now: Nanos) {
        self.node.wake(now);
        if now >= self.next {
            self.next = now + BEAT;
            let living: Vec<MemberId> = self
                .node
                .membership()
                .alive()
                .map(|news| news.id.clone())
                .collect();
            self.place.set_alive(now, living.iter());
            if !living.is_empty() {
                self.turn = (self.turn + 1) % living.len();
                let view =
                    postcard::to_stdvec(&self.place.view_for(now, &living[self.turn])).unwrap();
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

impl Fellow {
    fn new(now: Nanos, at: SocketAddr, name: String, life: u64, rules: Rules) -> Fellow {
        let who = MemberId {
            name,
            incarnation: life,
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
            .fold(life, |sum, byte| sum * 31 + byte as u64);
        let seeds = vec![Net::<Fellow>::address(0)];
        let mut node = Node::new(
            now,
            seed,
            me,
            seeds,
            Membership::default(),
            vec![Key::new([7; 32])],
        );
        node.accept_kind(KIND);
        let place = Quorum::new(now, who, rules);
        Fellow {
            node,
            place,
            next: now,
            turn: 0,
            changes: Vec::new(),
        }
    }

    fn look(&mut self, now: Nanos) {
        while let Some(happened) = self.node.next_event() {
            match happened {
                NodeEvent::Membership(MemberEvent::Left(who)) => self.place.left(now, &who),
                NodeEvent::Membership(MemberEvent::IncarnationRaised(who)) => {
                    self.place.set_own_id(&who)
                }
                NodeEvent::Membership(_) => {}
                NodeEvent::Message { from, body, .. } => {
                    let view: View = postcard::from_bytes(&body).unwrap();
                    self.place.receive_view(now, &from, view);
                }
            }
        }
        if let Some((was, is)) = self.place.update(now) {
            self.changes.push((now, was, is));
        }
    }
}

fn name(id: Id) -> String {
    format!("s-{id:02}")
}

fn fleet(many: usize, seed: u64, rules: &Rules) -> Net<Fellow> {
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
            Fellow::new(now, at, name(id), 1, rules.clone())
        });
    }
    net
}

fn standing(net: &Net<Fellow>, id: Id) -> QuorumState {
    net.part(id).unwrap().place.state()
}

fn all(net: &Net<Fellow>, ids: &[Id]) -> Vec<QuorumState> {
    ids.iter().map(|id| standing(net, *id)).collect()
}

#[test]
fn a_whole_fleet_agrees_and_a_minority_knows_that_it_is_one_however_long_it_lasts() {
    for seed in 0..6 {
        let mut net = fleet(
            9,
            seed,
            &Rules {
                leaves: 40 * S,
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
        // Far longer than it takes the others to vote them out: they still count all nine.
        net.run(700 * S, |_, _| {});
        assert!(
            all(&net, &few).iter().all(|is| *is == QuorumState::Few),
            "seed {seed}: {:?}",
            all(&net, &few)
        );
        assert!(
            few.iter()
                .all(|id| net.part(*id).unwrap().place.voter_count() == 9),
            "seed {seed}"
        );
        assert!(
            all(&net, &many).iter().all(|is| *is == QuorumState::Agreed),
            "seed {seed}: {:?}",
            all(&net, &many)
        );
        assert!(
            many.iter()
                .all(|id| net.part(*id).unwrap().place.voter_count() == 5),
            "seed {seed}: voted out"
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
                .all(|id| net.part(*id).unwrap().place.voter_count() == 9),
            "seed {seed}: they are back"
        );
    }
}

#[test]
fn halves_are_few_on_both_sides_and_thirds_everywhere() {
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
fn it_falls_at_once_and_rises_only_after_a_while() {
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
    assert_eq!(standing(&net, 0), QuorumState::Agreed, "{ways:?}");
    // Straight to the worse, never from one better to another within less than it must hold.
    for pair in changes.windows(2) {
        let ((at, _, was), (then, _, is)) = (pair[0], pair[1]);
        assert!(
            is > was || then - at >= Rules::default().calms,
            "{changes:?}"
        );
    }
}

#[test]
fn goodbyes_shrink_the_roster_and_losses_do_not() {
    let mut net = fleet(7, 5, &Rules::default());
    net.run(60 * S, |_, _| {});
    for id in [5, 6] {
        net.part_mut(id).unwrap().node.leave();
        net.post(id);
        net.run(net.now() + S, |_, _| {});
        net.kill(id);
    }
    net.run(100 * S, |_, _| {});
    let belong = |net: &Net<Fellow>| net.part(0).unwrap().place.voter_count();
    assert_eq!((belong(&net), standing(&net, 0)), (5, QuorumState::Agreed));
    [2, 3, 4].into_iter().for_each(|id| net.kill(id));
    net.run(200 * S, |_, _| {});
    assert_eq!(
        (belong(&net), standing(&net, 0)),
        (5, QuorumState::Few),
        "two of five, for good"
    );
    net.restart(2, |now, at| {
        Fellow::new(now, at, name(2), 2, Rules::default())
    });
    net.run(260 * S, |_, _| {});
    assert_eq!(
        (belong(&net), standing(&net, 0)),
        (5, QuorumState::Agreed),
        "a restart belongs as it did"
    );
    let missing: Vec<String> = net
        .part(0)
        .unwrap()
        .place
        .missing(net.own_time(0))
        .map(str::to_string)
        .collect();
    assert_eq!(missing, [name(3), name(4)]);
}

fn view(missing: &[&str], rows: Vec<VoterRecord>) -> View {
    let missing: Vec<String> = missing.iter().map(|name| name.to_string()).collect();
    View {
        voters: 0,
        living: 0,
        missed: missing.len() as u32,
        missing,
        out: Vec::new(),
        rows,
    }
}

fn life(id: Id) -> MemberId {
    MemberId {
        name: name(id),
        incarnation: 1,
    }
}

#[test]
fn a_better_standing_is_believed_only_once_it_has_held() {
    let mut place = Quorum::new(0, life(0), Rules::default());
    let (both, none) = ([life(1), life(2)], []);
    place.set_alive(0, both.iter());
    assert_eq!((place.update(0), place.update(2 * S)), (None, None));
    // A moment without them, and it begins anew.
    place.set_alive(2 * S, none.iter());
    assert_eq!(place.update(2 * S), None, "it never rose");
    place.set_alive(2 * S + 1, both.iter());
    // They came back: steady after 3 s, and then it must hold for as long.
    assert_eq!(
        (
            place.update(4 * S),
            place.update(5 * S + 2),
            place.update(7 * S)
        ),
        (None, None, None)
    );
    assert_eq!(
        place.update(8 * S + 2),
        Some((QuorumState::Alone, QuorumState::Agreed))
    );
}

#[test]
fn one_that_was_voted_out_comes_back_by_an_entry_of_its_own() {
    let mut out = Quorum::new(0, life(0), Rules::default());
    let gone = VoterRecord {
        id: life(0),
        entry: 0,
        belongs: false,
    };
    out.receive_view(0, &life(1), view(&[], vec![gone.clone()]));
    let own = out.view_for(0, &life(1)).rows[0].clone();
    assert_eq!(
        own,
        VoterRecord {
            id: life(0),
            entry: 1,
            belongs: true
        }
    );
    let mut other = Quorum::new(0, life(1), Rules::default());
    other.receive_view(0, &life(2), view(&[], vec![gone.clone()]));
    other.set_alive(0, [life(0)].iter());
    assert_eq!(
        other.voter_count(),
        1,
        "that it lives brings it back for nobody who knows that it is out"
    );
    other.receive_view(0, &life(0), view(&[], vec![own]));
    other.receive_view(0, &life(2), view(&[], vec![gone]));
    assert_eq!(other.voter_count(), 2);
}

#[test]
fn one_that_does_not_hear_us_is_not_reached_and_named_so() {
    let mut place = Quorum::new(0, life(0), Rules::default());
    let others = [life(1), life(2)];
    place.set_alive(0, others.iter());
    place.update(0);
    place.update(4 * S);
    assert_eq!(place.state(), QuorumState::Agreed);
    place.receive_view(5 * S, &life(1), view(&["s-00"], Vec::new()));
    assert_eq!(place.deaf_to_us(5 * S).collect::<Vec<_>>(), ["s-01"]);
    assert_eq!(place.missing(5 * S).collect::<Vec<_>>(), ["s-01"]);
    place.receive_view(5 * S, &life(2), view(&["s-00"], Vec::new()));
    assert_eq!(
        place.update(5 * S),
        Some((QuorumState::Agreed, QuorumState::Alone))
    );
}

#[test]
fn of_an_absurd_view_only_as_much_is_read_as_anyone_says() {
    let mut place = Quorum::new(0, life(0), Rules::default());
    place.set_alive(0, [life(1)].iter());
    let rows = (100..10_100)
        .map(|id| VoterRecord {
            id: life(id),
            entry: 0,
            belongs: true,
        })
        .collect();
    let names: Vec<String> = (0..10_000).map(|n| format!("{n:060}")).collect();
    let mut missing: Vec<&str> = names.iter().map(String::as_str).collect();
    missing.push("s-00");
    place.receive_view(S, &life(1), view(&missing, rows));
    assert_eq!(
        (place.voter_count(), place.deaf_to_us(S).count()),
        (2 + 12, 0)
    );
}

#[test]
fn views_that_go_on_differing_are_a_dispute_that_says_who_misses_whom() {
    let mut place = Quorum::new(0, life(0), Rules::default());
    let others: Vec<MemberId> = (1..5).map(life).collect();
    place.set_alive(0, others.iter());
    place.update(0);
    place.update(4 * S);
    place.receive_view(5 * S, &life(1), view(&["s-03"], Vec::new()));
    assert_eq!(place.update(5 * S), None, "news takes its time");
    place.receive_view(16 * S, &life(1), view(&["s-03"], Vec::new()));
    assert_eq!(
        place.update(16 * S),
        Some((QuorumState::Agreed, QuorumState::Disputed))
    );
    let disputes = place.disputes(16 * S);
    assert_eq!(
        (disputes.len(), disputes[0].with.as_str(), disputes[0].since),
        (1, "s-01", 5 * S)
    );
    assert_eq!(disputes[0].it_misses, ["s-03"]);
    assert!(disputes[0].voters && disputes[0].we_miss.is_empty());
}

#[test]
fn one_that_comes_and_goes_counts_for_less_and_less() {
    let mut place = Quorum::new(0, life(0), Rules::default());
    let (both, one) = ([life(1), life(2)], [life(1)]);
    place.set_alive(0, both.iter());
    let mut now = 10 * S;
    let mut waits = Vec::new();
    for _ in 0..4 {
        place.set_alive(now, one.iter());
        place.set_alive(now + S, both.iter());
        now += S;
        let back = now;
        while place.flapping(now).next().is_some() {
            now += S;
        }
        waits.push((now - back) / S);
    }
    assert_eq!(waits, [3, 9, 21, 45]);
    // Forgiven after a long steady time.
    now += 4_000 * S;
    (0..50).for_each(|n| place.set_alive(now + n * 400 * S, both.iter()));
    now += 50 * 400 * S;
    place.set_alive(now, one.iter());
    place.set_alive(now, both.iter());
    assert!(place.flapping(now + 3 * S).next().is_none());
}

/// A minority's word, however often it is said and by whatever lives, takes nobody out of the roster.
#[test]
fn only_more_than_half_of_all_who_belong_vote_one_out() {
    for (voters, gone) in [(1, false), (2, true)] {
        let mut place = Quorum::new(0, life(0), Rules::default());
        let five: Vec<MemberId> = (1..5).map(life).collect();
        place.set_alive(0, five.iter());
        place.set_alive(S, five[..voters].iter());
        let now = 700 * S;
        for _ in 0..3 {
            for voter in &five[..voters] {
                let out = vec![(name(4), 1, 0)];
                place.receive_view(
                    now,
                    voter,
                    View {
                        out,
                        ..view(&[], Vec::new())
                    },
                );
            }
            // A stranger has no word in it.
            let out = vec![(name(4), 1, 0)];
            place.receive_view(
                now,
                &life(9),
                View {
                    out,
                    ..view(&[], Vec::new())
                },
            );
            place.update(now);
        }
        assert_eq!(
            place.voter_count() == 4,
            gone,
            "{voters} voters beside us, of five"
        );
    }
}

fn rows() -> impl Strategy<Value = Vec<VoterRecord>> {
    let row =
        (1..5usize, 1..3u64, 0..3u32, any::<bool>()).prop_map(|(id, life, entry, belongs)| {
            VoterRecord {
                id: MemberId {
                    name: name(id),
                    incarnation: life,
                },
                entry,
                belongs,
            }
        });
    prop::collection::vec(row, 0..10)
}

proptest! {
    /// Rosters merge alike in any order and however often.
    #[test]
    fn rosters_merge_in_any_order_and_any_number_of_times(one in rows(), two in rows()) {
        let tell = |all: &[&Vec<VoterRecord>]| {
            let mut place = Quorum::new(0, life(0), Rules::default());
            for rows in all {
                place.receive_view(0, &life(1), view(&[], rows.to_vec()));
            }
            place.view_for(0, &life(1)).voters
        };
        prop_assert_eq!(tell(&[&one, &two]), tell(&[&two, &one, &two, &one]));
    }
}
