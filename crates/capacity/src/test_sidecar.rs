//! A sidecar with everything left out but membership and views: the real code, driven by a network of the test's choice.

use havenplank_emulator::net::{Nanos, Part};
use havenplank_membership::keys::Key;
use havenplank_membership::member::MemberId;
use havenplank_membership::member::{Member, MemberState};
use havenplank_membership::node::{Node, NodeEvent};
use havenplank_membership::quorum::{QuorumState, Rules as QuorumRules};
use havenplank_membership::swim::{MemberEvent, Rules};
use havenplank_membership::view_exchange::{ViewExchange, VIEW_KIND};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ZONES: usize = 14;

/// What one sidecar spent and saw since its start; kept over its restarts.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    /// Datagrams that came.
    pub received_datagrams: u64,
    /// Bytes of the datagrams that came.
    pub received_bytes: u64,
    /// Datagrams sent.
    pub sent_datagrams: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Time within the sidecar's own code, the network's left out.
    pub processor_time: Duration,
    /// Peers that membership declared lost, and suspected.
    pub peers_declared_lost: u64,
    /// Peers that membership suspected.
    pub peers_suspected: u64,
    /// Rows of tables visited by membership and quorum state; the same on every machine.
    pub rows_visited: u64,
}

/// A sidecar of which only membership and views run.
pub struct TestSidecar {
    node: Node,
    views: ViewExchange,
    period: Nanos,
    next_tick: Nanos,
    cost: Cost,
    /// Rows visited by earlier incarnations.
    earlier_rows: u64,
}

/// The name of the nth sidecar.
pub fn name(number: usize) -> String {
    format!("sidecar-{number:04}")
}

/// The membership node of the nth sidecar, as the program makes it.
pub fn node(
    now: Nanos,
    at: SocketAddr,
    number: usize,
    incarnation: u64,
    seeds: Vec<SocketAddr>,
) -> Node {
    let id = MemberId {
        name: name(number),
        incarnation,
    };
    let zone = format!("zone-{:02}", number % ZONES);
    let me = Member {
        id,
        address: at,
        zone,
        refutations: 0,
        state: MemberState::Alive,
    };
    let seed = (number as u64) << 32 | incarnation;
    let mut node = Node::new(
        now,
        seed,
        me,
        seeds,
        Rules::default(),
        vec![Key::new([7; 32])],
    );
    node.accept_kind(VIEW_KIND);
    node
}

impl TestSidecar {
    /// Returns a sidecar that begins now, with the cost of its earlier incarnations.
    pub fn new(now: Nanos, node: Node, cost: Cost) -> TestSidecar {
        let views = ViewExchange::new(
            now,
            node.membership().me().id.clone(),
            QuorumRules::default(),
        );
        let earlier_rows = cost.rows_visited;
        TestSidecar {
            node,
            views,
            period: Rules::default().period,
            next_tick: now,
            cost,
            earlier_rows,
        }
    }

    /// Returns what it spent and saw.
    pub fn cost(&self) -> &Cost {
        &self.cost
    }

    /// Returns its quorum state.
    pub fn quorum_state(&self) -> QuorumState {
        self.views.quorum().state()
    }

    /// How many peers it takes for living.
    pub fn alive_peers(&self) -> usize {
        self.node.membership().alive().count()
    }

    /// Whether it takes this incarnation for living.
    pub fn considers_alive(&self, name: &str, incarnation: u64) -> bool {
        let known = self.node.membership().get(name);
        known.is_some_and(|news| {
            news.id.incarnation == incarnation
                && matches!(news.state, MemberState::Alive | MemberState::Suspected(_))
        })
    }

    /// Tells its peers that it leaves.
    pub fn leave(&mut self) {
        self.node.leave();
    }

    fn timed(&mut self, work: impl FnOnce(&mut TestSidecar)) {
        let began = Instant::now();
        work(self);
        self.cost.processor_time += began.elapsed();
        let rows = self.node.membership().rows_visited() + self.views.quorum().rows_visited();
        self.cost.rows_visited = self.earlier_rows + rows;
    }

    fn take_events(&mut self, now: Nanos) {
        while let Some(happened) = self.node.next_event() {
            match happened {
                NodeEvent::Message {
                    from,
                    kind: VIEW_KIND,
                    body,
                } => {
                    let _ = self.views.receive(now, &from, &body);
                }
                NodeEvent::Message { .. } => {}
                NodeEvent::Membership(event) => {
                    self.cost.peers_declared_lost +=
                        u64::from(matches!(event, MemberEvent::Lost(_)));
                    self.cost.peers_suspected +=
                        u64::from(matches!(event, MemberEvent::Suspected(_)));
                    self.views.observe(now, &event);
                }
            }
        }
    }
}

impl Part for TestSidecar {
    fn heard(&mut self, now: Nanos, bytes: &[u8]) {
        self.cost.received_datagrams += 1;
        self.cost.received_bytes += bytes.len() as u64;
        self.timed(|sidecar| {
            sidecar.node.receive_datagram(now, bytes);
            sidecar.take_events(now);
        });
    }

    fn wake(&mut self, now: Nanos) {
        self.timed(|sidecar| {
            sidecar.node.wake(now);
            if now >= sidecar.next_tick {
                sidecar.next_tick = now + sidecar.period;
                sidecar.views.tick(now, &mut sidecar.node);
            }
            sidecar.take_events(now);
        });
    }

    fn next_wake(&self) -> Option<Nanos> {
        self.node
            .next_wake()
            .into_iter()
            .chain([self.next_tick])
            .min()
    }

    fn datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        let datagram = self.node.next_datagram()?;
        self.cost.sent_datagrams += 1;
        self.cost.sent_bytes += datagram.1.len() as u64;
        Some(datagram)
    }
}
