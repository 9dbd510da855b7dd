//! Tests that a dispute is reported while two views differ, and ends once they agree again.

use havenplank_emulator::net::{Clock, Host, Id, Nanos, Net, NetworkFaults};
use havenplank_membership::keys::Key;
use havenplank_membership::member::MemberId;
use havenplank_membership::member::{Member, MemberState};
use havenplank_membership::node::{Node, NodeEvent};
use havenplank_membership::quorum::{Quorum, QuorumState, Rules, StateChange, View};
use havenplank_membership::swim::Rules as MembershipRules;
use havenplank_membership::view_exchange::{ViewExchange, VIEW_KIND};
use std::net::SocketAddr;

const SECOND: Nanos = 1_000_000_000;

/// A sidecar reduced to its membership and its views, driven as the program drives them.
struct Sidecar {
    node: Node,
    views: ViewExchange,
    next_tick: Nanos,
}

impl Sidecar {
    fn new(now: Nanos, own_address: SocketAddr, id: Id) -> Sidecar {
        let own_id = member_id(id);
        let member = Member {
            id: own_id.clone(),
            address: own_address,
            zone: "zone".into(),
            refutations: 0,
            state: MemberState::Alive,
        };
        let seeds = vec![Net::<Sidecar>::address(0)];
        let keys = vec![Key::new([7; 32])];
        let mut node = Node::new(
            now,
            id as u64,
            member,
            seeds,
            MembershipRules::default(),
            keys,
        );
        node.accept_kind(VIEW_KIND);
        Sidecar {
            node,
            views: ViewExchange::new(now, own_id, Rules::default()),
            next_tick: now,
        }
    }

    fn take_events(&mut self, now: Nanos) {
        while let Some(node_event) = self.node.next_event() {
            match node_event {
                NodeEvent::Message { from, body, .. } => {
                    self.views.receive(now, &from, &body).unwrap()
                }
                NodeEvent::Membership(event) => self.views.observe(now, &event),
            }
        }
    }
}

impl Host for Sidecar {
    fn receive_datagram(&mut self, now: Nanos, bytes: &[u8]) {
        self.node.receive_datagram(now, bytes);
        self.take_events(now);
    }

    fn wake(&mut self, now: Nanos) {
        self.node.wake(now);
        if now >= self.next_tick {
            self.next_tick = now + MembershipRules::default().period;
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

/// Returns a view whose digests differ from those of every sidecar.
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

/// Returns the quorum of sidecar 0 among five sidecars, and the time at which it came to agree.
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
fn one_differing_view_is_no_dispute_however_long_its_sender_stays_silent() {
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

/// Returns the share of sidecars that agree, every ten seconds after they have all started at the same time.
fn agreed_after_a_common_start(size: usize, seconds: u64) -> Vec<f64> {
    let mut net = Net::new(1, NetworkFaults::default());
    for id in 0..size {
        let clock = Clock {
            began: id as Nanos * 77 * SECOND,
            drift_ppm: (id as i64 % 3 - 1) * 1_000,
        };
        net.join(clock, |now, addr| Sidecar::new(now, addr, id));
    }
    let agrees = |net: &Net<Sidecar>, id: Id| {
        net.host(id).unwrap().views.quorum().state() == QuorumState::Agreed
    };
    let end_times = (1..=seconds / 10).map(|tens| tens * 10 * SECOND);
    end_times
        .map(|end| {
            net.run(end, |_, _| {});
            (0..size).filter(|id| agrees(&net, *id)).count() as f64 / size as f64
        })
        .collect()
}

#[test]
fn a_fleet_agrees_within_40_seconds_of_a_common_start() {
    let shares = agreed_after_a_common_start(120, 60);
    assert!(
        shares[3..].iter().all(|share| *share >= 0.95),
        "each ten seconds: {shares:?}"
    );
}

#[test]
fn a_lasting_difference_is_a_dispute_once_a_second_view_shows_it() {
    let (mut quorum, now) = agreed_quorum();
    let dispute_delay = Rules::default().dispute_delay;
    assert_eq!(
        quorum.receive_view(now, &member_id(1), differing_view()),
        Some(now + dispute_delay),
        "our view is due as a follow-up"
    );
    quorum.receive_view(now + dispute_delay - 1, &member_id(1), differing_view());
    assert_eq!(
        quorum.update(now + dispute_delay),
        None,
        "too early for a lasting difference"
    );
    quorum.receive_view(now + dispute_delay, &member_id(1), differing_view());
    assert_eq!(
        quorum.update(now + dispute_delay),
        Some(StateChange {
            was: QuorumState::Agreed,
            is: QuorumState::Disputed,
        })
    );
}

#[test]
fn a_difference_that_our_own_updates_settled_does_not_confirm_the_next_one() {
    let (mut quorum, now) = agreed_quorum();
    let all: Vec<MemberId> = (1..5).map(member_id).collect();
    quorum.set_alive(now, all[..3].iter());
    let view_without_the_last = quorum.view_for(now, &member_id(1));
    quorum.set_alive(now, all.iter());
    quorum.receive_view(now, &member_id(1), view_without_the_last);
    quorum.set_alive(now + SECOND, all[..3].iter());
    assert_eq!(quorum.update(now + SECOND), None);
    // A new difference, long afterwards: its view does not confirm the first difference.
    quorum.receive_view(now + 60 * SECOND, &member_id(1), differing_view());
    assert_eq!(quorum.update(now + 60 * SECOND), None);
    assert!(quorum.disputes(now + 60 * SECOND).is_empty());
}

#[test]
fn a_peer_that_was_sent_an_outdated_view_is_sent_the_agreeing_one_at_once() {
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
        "the peer has our current view"
    );
}

/// The peer misses a fourth sidecar that we reach. Only the first view is a regular one; all others are follow-ups,
/// each sent when it is due.
#[test]
fn a_difference_about_a_third_sidecar_is_a_dispute_on_both_sides_through_follow_ups_alone() {
    let dispute_delay = Rules::default().dispute_delay;
    let (mut quorum, now) = agreed_quorum();
    let mut peer = Quorum::new(now, member_id(1), Rules::default());
    let others: Vec<MemberId> = [0, 2, 3].map(member_id).to_vec();
    peer.set_alive(now, others.iter());
    peer.update(now);
    peer.update(now + dispute_delay);
    assert_eq!(peer.state(), QuorumState::Agreed);

    let regular = now + dispute_delay;
    let first_due = quorum
        .receive_view(
            regular,
            &member_id(1),
            peer.view_for(regular, &member_id(0)),
        )
        .unwrap();
    let second_due = peer
        .receive_view(
            first_due,
            &member_id(0),
            quorum.view_for(first_due, &member_id(1)),
        )
        .unwrap();
    assert_eq!(
        (first_due - regular, second_due - first_due),
        (dispute_delay, dispute_delay)
    );
    let third_due = quorum
        .receive_view(
            second_due,
            &member_id(1),
            peer.view_for(second_due, &member_id(0)),
        )
        .unwrap();
    assert_eq!(
        quorum.update(second_due),
        Some(StateChange {
            was: QuorumState::Agreed,
            is: QuorumState::Disputed,
        })
    );
    peer.receive_view(
        third_due,
        &member_id(0),
        quorum.view_for(third_due, &member_id(1)),
    );
    assert_eq!(
        peer.update(third_due),
        Some(StateChange {
            was: QuorumState::Agreed,
            is: QuorumState::Disputed,
        })
    );
    assert_eq!(third_due - regular, 3 * dispute_delay);
}

/// Compares the messages and bytes that a seeded run carries, and the states in which it ends, with recorded ones.
#[test]
fn a_seeded_run_of_views_carries_the_recorded_messages_and_bytes() {
    let faults = NetworkFaults {
        loss: 0.05,
        ..NetworkFaults::default()
    };
    let mut net = Net::new(3, faults);
    for id in 0..9 {
        let clock = Clock {
            began: id as Nanos * 77 * SECOND,
            drift_ppm: (id as i64 % 3 - 1) * 1_000,
        };
        net.join(clock, |now, addr| Sidecar::new(now, addr, id));
    }
    net.run(60 * SECOND, |_, _| {});
    net.split(&[&[0, 1, 2, 3], &[4, 5, 6, 7, 8]]);
    net.run(200 * SECOND, |_, _| {});
    net.heal();
    net.pause(2);
    net.run(300 * SECOND, |_, _| {});
    net.unpause(2);
    net.kill(7);
    // Long enough for an eviction as well.
    net.run(1_200 * SECOND, |_, _| {});
    let final_states: Vec<String> = net
        .ids()
        .filter_map(|id| net.host(id))
        .map(|sidecar| {
            let quorum = sidecar.views.quorum();
            let rows = quorum.rows_visited() + sidecar.node.membership().rows_visited();
            format!(
                "{:?} since {} of {}, {rows} rows",
                quorum.state(),
                quorum.state_since(),
                quorum.voter_count()
            )
        })
        .collect();
    let text = format!("{} {} {final_states:?}", net.sent, net.sent_bytes);
    let digest = blake3::hash(text.as_bytes()).to_hex();
    assert_eq!(&digest[..16], "fcf4298eaea2e76e", "{text}");
}
