//! Whether a difference between two views that has passed ends as a dispute, and one that stays still shows.

use havenplank_emulator::net::{Clock, Id, Nanos, Net, Part, Weather};
use havenplank_membership::keys::Key;
use havenplank_membership::member::MemberId;
use havenplank_membership::member::{Member, MemberState};
use havenplank_membership::node::{Node, NodeEvent};
use havenplank_membership::quorum::{Quorum, QuorumState, Rules, StateChange, View};
use havenplank_membership::swim::Rules as Membership;
use havenplank_membership::view_exchange::{ViewExchange, VIEW_KIND};
use std::net::SocketAddr;

const SECOND: Nanos = 1_000_000_000;

/// A sidecar reduced to membership and views, as the program drives them.
struct Sidecar {
    node: Node,
    views: ViewExchange,
    next_tick: Nanos,
}

impl Sidecar {
    fn new(now: Nanos, at: SocketAddr, id: Id) -> Sidecar {
        let who = member_id(id);
        let member = Member {
            id: who.clone(),
            address: at,
            zone: "zone".into(),
            refutations: 0,
            state: MemberState::Alive,
        };
        let seeds = vec![Net::<Sidecar>::address(0)];
        let keys = vec![Key::new([7; 32])];
        let mut node = Node::new(now, id as u64, member, seeds, Membership::default(), keys);
        node.accept_kind(VIEW_KIND);
        Sidecar {
            node,
            views: ViewExchange::new(now, who, Rules::default()),
            next_tick: now,
        }
    }

    fn take_events(&mut self, now: Nanos) {
        while let Some(happened) = self.node.next_event() {
            match happened {
                NodeEvent::Message { from, body, .. } => {
                    self.views.receive(now, &from, &body).unwrap()
                }
                NodeEvent::Membership(event) => self.views.observe(now, &event),
            }
        }
    }
}

impl Part for Sidecar {
    fn heard(&mut self, now: Nanos, bytes: &[u8]) {
        self.node.receive_datagram(now, bytes);
        self.take_events(now);
    }

    fn wake(&mut self, now: Nanos) {
        self.node.wake(now);
        if now >= self.next_tick {
            self.next_tick = now + Membership::default().period;
            self.views.tick(now, &mut self.node);
        }
        self.take_events(now);
    }

    fn next_wake(&self) -> Option<Nanos> {
        self.node
            .next_wake()
            .into_iter()
            .chain([self.next_tick])
            .min()
    }

    fn datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.node.next_datagram()
    }
}

fn member_id(id: Id) -> MemberId {
    MemberId {
        name: format!("s-{id:03}"),
        incarnation: 1,
    }
}

/// A view whose digests are nobody's.
fn differing_view() -> View {
    View {
        voters_digest: 0,
        alive_digest: 0,
        missing_count: 0,
        missing: Vec::new(),
        evictions: Vec::new(),
        records: Vec::new(),
    }
}

/// The quorum of sidecar 0 among five, and when it came to agree.
fn agreed_quorum() -> (Quorum, Nanos) {
    let mut quorum = Quorum::new(0, member_id(0), Rules::default());
    let others: Vec<MemberId> = (1..5).map(member_id).collect();
    quorum.set_alive(0, others.iter());
    quorum.update(0);
    quorum.update(4 * SECOND);
    assert_eq!(quorum.state(), QuorumState::Agreed);
    (quorum, 4 * SECOND)
}

#[test]
fn one_differing_view_is_no_dispute_however_long_its_sender_is_silent() {
    let (mut quorum, now) = agreed_quorum();
    quorum.receive_view(now, &member_id(1), differing_view());
    for seconds in 0..290 {
        assert_eq!(
            quorum.update(now + seconds * SECOND),
            None,
            "after {seconds} s"
        );
    }
    assert!(quorum.disputes(now + 290 * SECOND).is_empty());
}

/// Shares of sidecars that agree, each ten seconds after a common start.
fn agreed_after_a_common_start(size: usize, seconds: u64) -> Vec<f64> {
    let mut net = Net::new(1, Weather::default());
    for id in 0..size {
        let clock = Clock {
            began: id as Nanos * 77 * SECOND,
            drift_ppm: (id as i64 % 3 - 1) * 1_000,
        };
        net.join(clock, |now, at| Sidecar::new(now, at, id));
    }
    let agrees = |net: &Net<Sidecar>, id: Id| {
        net.part(id).unwrap().views.quorum().state() == QuorumState::Agreed
    };
    let ends = (1..=seconds / 10).map(|tens| tens * 10 * SECOND);
    ends.map(|end| {
        net.run(end, |_, _| {});
        (0..size).filter(|id| agrees(&net, *id)).count() as f64 / size as f64
    })
    .collect()
}

#[test]
fn a_fleet_agrees_soon_after_a_common_start() {
    let shares = agreed_after_a_common_start(120, 60);
    assert!(
        shares[3..].iter().all(|share| *share >= 0.95),
        "each ten seconds: {shares:?}"
    );
}

#[test]
fn a_lasting_difference_is_a_dispute_once_a_second_view_shows_it() {
    let (mut quorum, now) = agreed_quorum();
    let settles = Rules::default().dispute_delay;
    assert_eq!(
        quorum.receive_view(now, &member_id(1), differing_view()),
        Some(now + settles),
        "asked again later"
    );
    quorum.receive_view(now + settles - 1, &member_id(1), differing_view());
    assert_eq!(
        quorum.update(now + settles),
        None,
        "too early to say that it stays"
    );
    quorum.receive_view(now + settles, &member_id(1), differing_view());
    assert_eq!(
        quorum.update(now + settles),
        Some(StateChange {
            was: QuorumState::Agreed,
            is: QuorumState::Disputed,
        })
    );
}

#[test]
fn a_difference_that_our_own_updates_settled_begins_anew_with_the_next() {
    let (mut quorum, now) = agreed_quorum();
    let all: Vec<MemberId> = (1..5).map(member_id).collect();
    quorum.set_alive(now, all[..3].iter());
    let without_the_last = quorum.view_for(now, &member_id(1));
    quorum.set_alive(now, all.iter());
    quorum.receive_view(now, &member_id(1), without_the_last);
    quorum.set_alive(now + SECOND, all[..3].iter());
    assert_eq!(quorum.update(now + SECOND), None);
    // Another difference, long after: not the second view of the first.
    quorum.receive_view(now + 60 * SECOND, &member_id(1), differing_view());
    assert_eq!(quorum.update(now + 60 * SECOND), None);
    assert!(quorum.disputes(now + 60 * SECOND).is_empty());
}

#[test]
fn a_peer_that_was_told_an_old_view_is_told_at_once_that_views_agree() {
    let (mut quorum, now) = agreed_quorum();
    let all: Vec<MemberId> = (1..5).map(member_id).collect();
    quorum.view_for(now, &member_id(1));
    quorum.set_alive(now, all[..3].iter());
    let mut agreeing = quorum.view_for(now, &member_id(2));
    agreeing.records.clear();
    assert_eq!(
        quorum.receive_view(now, &member_id(1), agreeing.clone()),
        Some(now)
    );
    quorum.view_for(now, &member_id(1));
    assert_eq!(
        quorum.receive_view(now, &member_id(1), agreeing),
        None,
        "it knows now"
    );
}

/// The peer misses a fourth that we reach. Of regular views there is one only; the rest are follow-ups, each as it is due.
#[test]
fn a_third_seen_differently_is_a_dispute_on_both_sides_by_follow_ups_alone() {
    let settles = Rules::default().dispute_delay;
    let (mut quorum, now) = agreed_quorum();
    let mut peer = Quorum::new(now, member_id(1), Rules::default());
    let others: Vec<MemberId> = [0, 2, 3].map(member_id).to_vec();
    peer.set_alive(now, others.iter());
    peer.update(now);
    peer.update(now + settles);
    assert_eq!(peer.state(), QuorumState::Agreed);

    let at = now + settles;
    let asked = quorum
        .receive_view(at, &member_id(1), peer.view_for(at, &member_id(0)))
        .unwrap();
    let answered = peer
        .receive_view(asked, &member_id(0), quorum.view_for(asked, &member_id(1)))
        .unwrap();
    assert_eq!((asked - at, answered - asked), (settles, settles));
    let asked_again = quorum
        .receive_view(
            answered,
            &member_id(1),
            peer.view_for(answered, &member_id(0)),
        )
        .unwrap();
    assert_eq!(
        quorum.update(answered),
        Some(StateChange {
            was: QuorumState::Agreed,
            is: QuorumState::Disputed,
        })
    );
    peer.receive_view(
        asked_again,
        &member_id(0),
        quorum.view_for(asked_again, &member_id(1)),
    );
    assert_eq!(
        peer.update(asked_again),
        Some(StateChange {
            was: QuorumState::Agreed,
            is: QuorumState::Disputed,
        })
    );
    assert_eq!(asked_again - at, 3 * settles);
}

/// All that a run by seed carries, counted, with the states that it ends in.
#[test]
fn views_by_seed_carry_the_recorded_messages_and_bytes() {
    let weather = Weather {
        loss: 0.05,
        ..Weather::default()
    };
    let mut net = Net::new(3, weather);
    for id in 0..9 {
        let clock = Clock {
            began: id as Nanos * 77 * SECOND,
            drift_ppm: (id as i64 % 3 - 1) * 1_000,
        };
        net.join(clock, |now, at| Sidecar::new(now, at, id));
    }
    net.run(60 * SECOND, |_, _| {});
    net.split(&[&[0, 1, 2, 3], &[4, 5, 6, 7, 8]]);
    net.run(200 * SECOND, |_, _| {});
    net.heal();
    net.pause(2);
    net.run(300 * SECOND, |_, _| {});
    net.unpause(2);
    net.kill(7);
    // Long enough for an eviction, too.
    net.run(1_200 * SECOND, |_, _| {});
    let ends: Vec<String> = net
        .ids()
        .filter_map(|id| net.part(id))
        .map(|part| {
            let quorum = part.views.quorum();
            let rows = quorum.rows_visited() + part.node.membership().rows_visited();
            format!(
                "{:?} since {} of {}, {rows} rows",
                quorum.state(),
                quorum.state_since(),
                quorum.voter_count()
            )
        })
        .collect();
    let text = format!("{} {} {ends:?}", net.carried, net.carried_bytes);
    let digest = blake3::hash(text.as_bytes()).to_hex();
    assert_eq!(&digest[..16], "fcf4298eaea2e76e", "{text}");
}
