//! Whether a difference between two views that has passed ends as a dispute, and one that stays still shows.

use havenplank_emulator::net::{Clock, Id, Nanos, Net, Part, Weather};
use havenplank_membership::node::{Happened, Node};
use havenplank_membership::standing::{Place, Rules, Standing, View};
use havenplank_membership::swim::{News, Rules as Membership, State};
use havenplank_membership::views::{Views, VIEWS};
use havenplank_membership::wire::{Key, Life};
use std::net::SocketAddr;

const SECOND: Nanos = 1_000_000_000;

/// A sidecar reduced to membership and views, as the program drives them.
struct Sidecar {
    node: Node,
    views: Views,
    next_tick: Nanos,
}

impl Sidecar {
    fn new(now: Nanos, at: SocketAddr, id: Id) -> Sidecar {
        let who = life(id);
        let news = News {
            who: who.clone(),
            at,
            zone: "zone".into(),
            round: 0,
            state: State::Lives,
        };
        let seeds = vec![Net::<Sidecar>::address(0)];
        let keys = vec![Key::new([7; 32])];
        let mut node = Node::new(now, id as u64, news, seeds, Membership::default(), keys);
        node.reads(VIEWS);
        Sidecar {
            node,
            views: Views::new(now, who, Rules::default()),
            next_tick: now,
        }
    }

    fn take_events(&mut self, now: Nanos) {
        while let Some(happened) = self.node.happened() {
            match happened {
                Happened::Came { from, body, .. } => self.views.receive(now, &from, &body).unwrap(),
                Happened::Told(event) => self.views.observe(now, &event),
            }
        }
    }
}

impl Part for Sidecar {
    fn heard(&mut self, now: Nanos, bytes: &[u8]) {
        self.node.heard(now, bytes);
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
        self.node.datagram()
    }
}

fn life(id: Id) -> Life {
    Life {
        name: format!("s-{id:03}"),
        life: 1,
    }
}

/// A view whose digests are nobody's.
fn differing_view() -> View {
    View {
        roster: 0,
        living: 0,
        missed: 0,
        missing: Vec::new(),
        out: Vec::new(),
        rows: Vec::new(),
    }
}

/// The place of sidecar 0 among five, and when it came to agree.
fn agreed_place() -> (Place, Nanos) {
    let mut place = Place::new(0, life(0), Rules::default());
    let others: Vec<Life> = (1..5).map(life).collect();
    place.living(0, others.iter());
    place.look(0);
    place.look(4 * SECOND);
    assert_eq!(place.standing().0, Standing::Agreed);
    (place, 4 * SECOND)
}

#[test]
fn one_differing_view_is_no_dispute_however_long_its_sender_is_silent() {
    let (mut place, now) = agreed_place();
    place.heard(now, &life(1), differing_view());
    for seconds in 0..290 {
        assert_eq!(
            place.look(now + seconds * SECOND),
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
        net.part(id).unwrap().views.place().standing().0 == Standing::Agreed
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
        place.heard(now, &life(1), differing_view()),
        Some(now + settles),
        "asked again later"
    );
    place.heard(now + settles - 1, &life(1), differing_view());
    assert_eq!(
        place.look(now + settles),
        None,
        "too early to say that it stays"
    );
    place.heard(now + settles, &life(1), differing_view());
    assert_eq!(
        place.look(now + settles),
        Some((Standing::Agreed, Standing::Disputed))
    );
}

#[test]
fn a_difference_that_our_own_news_ends_begins_anew_with_the_next() {
    let (mut place, now) = agreed_place();
    let all: Vec<Life> = (1..5).map(life).collect();
    place.living(now, all[..3].iter());
    let without_the_last = place.view(now, &life(1));
    place.living(now, all.iter());
    place.heard(now, &life(1), without_the_last);
    place.living(now + SECOND, all[..3].iter());
    assert_eq!(place.look(now + SECOND), None);
    // Another difference, long after: not the second view of the first.
    place.heard(now + 60 * SECOND, &life(1), differing_view());
    assert_eq!(place.look(now + 60 * SECOND), None);
    assert!(place.disputes(now + 60 * SECOND).is_empty());
}

#[test]
fn a_peer_that_last_heard_otherwise_is_told_at_once_that_views_agree() {
    let (mut place, now) = agreed_place();
    let all: Vec<Life> = (1..5).map(life).collect();
    place.view(now, &life(1));
    place.living(now, all[..3].iter());
    let mut agreeing = place.view(now, &life(2));
    agreeing.rows.clear();
    assert_eq!(place.heard(now, &life(1), agreeing.clone()), Some(now));
    place.view(now, &life(1));
    assert_eq!(place.heard(now, &life(1), agreeing), None, "it knows now");
}

/// The peer misses a fourth that we reach. Of regular views there is one only; the rest are follow-ups, each as it is due.
#[test]
fn a_third_seen_differently_shows_on_both_sides_by_follow_ups_alone() {
    let settles = Rules::default().settles;
    let (mut place, now) = agreed_place();
    let mut peer = Place::new(now, life(1), Rules::default());
    let others: Vec<Life> = [0, 2, 3].map(life).to_vec();
    peer.living(now, others.iter());
    peer.look(now);
    peer.look(now + settles);
    assert_eq!(peer.standing().0, Standing::Agreed);

    let at = now + settles;
    let asked = place.heard(at, &life(1), peer.view(at, &life(0))).unwrap();
    let answered = peer
        .heard(asked, &life(0), place.view(asked, &life(1)))
        .unwrap();
    assert_eq!((asked - at, answered - asked), (settles, settles));
    let asked_again = place
        .heard(answered, &life(1), peer.view(answered, &life(0)))
        .unwrap();
    assert_eq!(
        place.look(answered),
        Some((Standing::Agreed, Standing::Disputed))
    );
    peer.heard(asked_again, &life(0), place.view(asked_again, &life(1)));
    assert_eq!(
        peer.look(asked_again),
        Some((Standing::Agreed, Standing::Disputed))
    );
    assert_eq!(asked_again - at, 3 * settles);
}
