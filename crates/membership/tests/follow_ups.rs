//! Whether a difference between two views that has passed ends as a dispute, and one that stays still shows.

use havenplank_emulator::net::{Clock, Id, Nanos, Net, Part, Weather};
use havenplank_membership::keys::Key;
use havenplank_membership::member::MemberId;
use havenplank_membership::member::{Member, MemberState};
use havenplank_membership::node::{Node, NodeEvent};
use havenplank_membership::quorum::{Quorum, QuorumState, Rules, View};
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
        let who = life(id);
        let news = Member {
            id: who.clone(),
            address: at,
            zone: "zone".into(),
            refutations: 0,
            state: MemberState::Alive,
        };
        let seeds = vec![Net::<Sidecar>::address(0)];
        let keys = vec![Key::new([7; 32])];
        let mut node = Node::new(now, id as u64, news, seeds, Membership::default(), keys);
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

fn life(id: Id) -> MemberId {
    MemberId {
        name: format!("s-{id:03}"),
        incarnation: 1,
    }
}

/// A view whose digests are nobody's.
fn differing_view() -> View {
    View {
        voters: 0,
        living: 0,
        missed: 0,
        missing: Vec::new(),
        out: Vec::new(),
        rows: Vec::new(),
    }
}

/// The place of sidecar 0 among five, and when it came to agree.
fn agreed_place() -> (Quorum, Nanos) {
    let mut place = Quorum::new(0, life(0), Rules::default());
    let others: Vec<MemberId> = (1..5).map(life).collect();
    place.set_alive(0, others.iter());
    place.update(0);
    place.update(4 * SECOND);
    assert_eq!(place.state(), QuorumState::Agreed);
    (place, 4 * SECOND)
}

#[test]
fn one_differing_view_is_no_dispute_however_long_its_sender_is_silent() {
    let (mut place, now) = agreed_place();
    place.receive_view(now, &life(1), differing_view());
    for seconds in 0..290 {
        assert_eq!(
            place.update(now + seconds * SECOND),
            None,
            "after {seconds} s"
        );
    }
    assert!(place.disputes(now + 290 * SECOND).is_empty());
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
fn a_difference_that_stays_is_a_dispute_once_a_second_view_says_so() {
    let (mut place, now) = agreed_place();
    let settles = Rules::default().settles;
    assert_eq!(
        place.receive_view(now, &life(1), differing_view()),
        Some(now + settles),
        "asked again later"
    );
    place.receive_view(now + settles - 1, &life(1), differing_view());
    assert_eq!(
        place.update(now + settles),
        None,
        "too early to say that it stays"
    );
    place.receive_view(now + settles, &life(1), differing_view());
    assert_eq!(
        place.update(now + settles),
        Some((QuorumState::Agreed, QuorumState::Disputed))
    );
}

#[test]
fn a_difference_that_our_own_news_ends_begins_anew_with_the_next() {
    let (mut place, now) = agreed_place();
    let all: Vec<MemberId> = (1..5).map(life).collect();
    place.set_alive(now, all[..3].iter());
    let without_the_last = place.view_for(now, &life(1));
    place.set_alive(now, all.iter());
    place.receive_view(now, &life(1), without_the_last);
    place.set_alive(now + SECOND, all[..3].iter());
    assert_eq!(place.update(now + SECOND), None);
    // Another difference, long after: not the second view of the first.
    place.receive_view(now + 60 * SECOND, &life(1), differing_view());
    assert_eq!(place.update(now + 60 * SECOND), None);
    assert!(place.disputes(now + 60 * SECOND).is_empty());
}

#[test]
fn a_peer_that_last_heard_otherwise_is_told_at_once_that_views_agree() {
    let (mut place, now) = agreed_place();
    let all: Vec<MemberId> = (1..5).map(life).collect();
    place.view_for(now, &life(1));
    place.set_alive(now, all[..3].iter());
    let mut agreeing = place.view_for(now, &life(2));
    agreeing.rows.clear();
    assert_eq!(
        place.receive_view(now, &life(1), agreeing.clone()),
        Some(now)
    );
    place.view_for(now, &life(1));
    assert_eq!(
        place.receive_view(now, &life(1), agreeing),
        None,
        "it knows now"
    );
}

/// The peer misses a fourth that we reach. Of regular views there is one only; the rest are follow-ups, each as it is due.
#[test]
fn a_third_seen_differently_shows_on_both_sides_by_follow_ups_alone() {
    let settles = Rules::default().settles;
    let (mut place, now) = agreed_place();
    let mut peer = Quorum::new(now, life(1), Rules::default());
    let others: Vec<MemberId> = [0, 2, 3].map(life).to_vec();
    peer.set_alive(now, others.iter());
    peer.update(now);
    peer.update(now + settles);
    assert_eq!(peer.state(), QuorumState::Agreed);

    let at = now + settles;
    let asked = place
        .receive_view(at, &life(1), peer.view_for(at, &life(0)))
        .unwrap();
    let answered = peer
        .receive_view(asked, &life(0), place.view_for(asked, &life(1)))
        .unwrap();
    assert_eq!((asked - at, answered - asked), (settles, settles));
    let asked_again = place
        .receive_view(answered, &life(1), peer.view_for(answered, &life(0)))
        .unwrap();
    assert_eq!(
        place.update(answered),
        Some((QuorumState::Agreed, QuorumState::Disputed))
    );
    peer.receive_view(asked_again, &life(0), place.view_for(asked_again, &life(1)));
    assert_eq!(
        peer.update(asked_again),
        Some((QuorumState::Agreed, QuorumState::Disputed))
    );
    assert_eq!(asked_again - at, 3 * settles);
}
