//! A sidecar for scale tests that runs only membership and view exchange. Both are the product's code; the test chooses
//! the network that drives them.

use havenplank_emulator::net::{Host, Nanos};
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

/// The counters of one sidecar since its first start, over all its incarnations.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    /// Datagrams received.
    pub received_datagrams: u64,
    /// Bytes of the datagrams received.
    pub received_bytes: u64,
    /// Datagrams sent.
    pub sent_datagrams: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Time spent in the sidecar's own code, without that of the simulated network.
    pub processor_time: Duration,
    /// How many times membership declared a peer lost.
    pub peers_declared_lost: u64,
    /// How many times membership suspected a peer.
    pub peers_suspected: u64,
    /// Table rows visited by membership and by the quorum state: a measure of work that is the same on every machine.
    pub rows_visited: u64,
}

/// A sidecar that runs only membership and view exchange.
pub struct TestSidecar {
    node: Node,
    views: ViewExchange,
    period: Nanos,
    next_tick: Nanos,
    cost: Cost,
    /// Table rows visited by earlier incarnations.
    earlier_rows: u64,
}

/// Returns the name of the numbered sidecar.
pub fn name(number: usize) -> String {
    format!("sidecar-{number:04}")
}

/// Returns the membership node of the numbered sidecar, with the default rules of the product.
pub fn node(
    now: Nanos,
    listen_address: SocketAddr,
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
        address: listen_address,
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
    /// Returns a sidecar that starts now. `cost` holds the counters of its earlier incarnations.
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

    /// Returns the sidecar's counters.
    pub fn cost(&self) -> &Cost {
        &self.cost
    }

    /// Returns the sidecar's quorum state.
    pub fn quorum_state(&self) -> QuorumState {
        self.views.quorum().state()
    }

    /// Returns how many peers the sidecar considers alive, suspected ones included.
    pub fn alive_peers(&self) -> usize {
        self.node.membership().alive().count()
    }

    /// Returns whether the sidecar considers this incarnation of a peer alive, even if suspected.
    pub fn considers_alive(&self, name: &str, incarnation: u64) -> bool {
        let known = self.node.membership().get(name);
        known.is_some_and(|member| {
            member.id.incarnation == incarnation
                && matches!(member.state, MemberState::Alive | MemberState::Suspected(_))
        })
    }

    /// Notifies the peers that the sidecar leaves.
    pub fn leave(&mut self) {
        self.node.leave();
    }

    fn run_timed(&mut self, work: impl FnOnce(&mut TestSidecar)) {
        let start = Instant::now();
        work(self);
        self.cost.processor_time += start.elapsed();
        let rows = self.node.membership().rows_visited() + self.views.quorum().rows_visited();
        self.cost.rows_visited = self.earlier_rows + rows;
    }

    fn process_events(&mut self, now: Nanos) {
        while let Some(event) = self.node.next_event() {
            match event {
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

impl Host for TestSidecar {
    fn receive_datagram(&mut self, now: Nanos, bytes: &[u8]) {
        self.cost.received_datagrams += 1;
        self.cost.received_bytes += bytes.len() as u64;
        self.run_timed(|sidecar| {
            sidecar.node.receive_datagram(now, bytes);
            sidecar.process_events(now);
        });
    }

    fn wake(&mut self, now: Nanos) {
        self.run_timed(|sidecar| {
            sidecar.node.wake(now);
            if now >= sidecar.next_tick {
                sidecar.next_tick = now + sidecar.period;
                sidecar.views.tick(now, &mut sidecar.node);
            }
            sidecar.process_events(now);
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
