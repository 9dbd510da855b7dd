//! The membership of a sidecar: its sockets and keys, the handlers of each kind of message, and the quorum state, which
//! says whether the sidecar reaches enough of the other members.

use havenplank_membership::keys::{read_keys, KeyFileError};
use havenplank_membership::member::{Member, MemberId, MemberState};
use havenplank_membership::node::{Node, NodeEvent};
use havenplank_membership::quorum::{Dispute, QuorumState, Rules as QuorumRules};
use havenplank_membership::swim::Rules;
use havenplank_membership::transport::{log_event, new_incarnation, Transport};
use havenplank_membership::view_exchange::{StateChange, ViewExchange, VIEW_KIND};
use havenplank_settings::MembershipSettings as Settings;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;
use tokio::time::{interval, MissedTickBehavior};

/// Limit on the names in each list of [`MembershipStatus`], except the list of alive members. The counts include all
/// members.
const MAX_SHOWN_NAMES: usize = 32;
/// The ping timeout as a fraction of the probe interval: 3 / 10.
const PING_TIMEOUT_FRACTION: (u64, u64) = (3, 10);

/// The reason why a membership cannot start.
#[derive(Debug, thiserror::Error)]
pub enum MembershipError {
    /// The key file cannot be read or holds no valid keys.
    #[error("fellowship.keys: {0}")]
    Keys(#[from] KeyFileError),
    /// The address cannot be bound.
    #[error("fellowship.listen {at}: {source}; expected an address of this machine whose port is free for UDP and TCP")]
    Listen {
        /// The configured address.
        at: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Handles the messages of one kind; the arguments are the sender and the body.
type MessageHandler = Rc<dyn Fn(&MemberId, &[u8])>;

/// A sidecar or distributor as a member of its fleet.
pub struct Membership {
    transport: Rc<Transport>,
    me: MemberId,
    /// The handlers by kind of message, registered at the start. Each module that exchanges messages has one.
    handlers: RefCell<BTreeMap<u8, MessageHandler>>,
    views: RefCell<ViewExchange>,
    /// The interval at which this member sends its view, each time to the next member.
    period: Duration,
}

/// The status of the membership for operators.
#[derive(Clone, Debug, Default)]
pub struct MembershipStatus {
    /// Names of the other members that are alive, as far as known here.
    pub alive: Vec<String>,
    /// The local health score of Lifeguard: 0 if this member is healthy. A higher score means that this member is slow;
    /// its timeouts are longer then.
    pub health_score: u32,
    /// The quorum state.
    pub quorum_state: Option<QuorumState>,
    /// The time since the quorum state last changed, in nanoseconds.
    pub quorum_state_age: u64,
    /// The number of voters, this member included.
    pub voters: usize,
    /// The number of voters that this member reaches, itself included.
    pub reachable_voters: usize,
    /// Names of the voters that this member does not reach.
    pub unreachable_voters: Vec<String>,
    /// Names of the voters that this member reaches but that report that they do not reach this member.
    pub not_receiving_us: Vec<String>,
    /// Names of the voters that came back too often or too recently to count as reached.
    pub flapping: Vec<String>,
    /// The disagreements with other voters on which members are voters or are reached.
    pub disputes: Vec<Dispute>,
    /// Messages sent since the start.
    pub sent_messages: u64,
    /// Bytes of the messages sent since the start.
    pub sent_bytes: u64,
    /// Received frames that were rejected as invalid since the start.
    pub rejected_frames: u64,
    /// Received messages that were dropped because a queue was full, since the start.
    pub dropped_receives: u64,
    /// Messages that were dropped because the send buffer was full, since the start.
    pub dropped_sends: u64,
}

impl Membership {
    /// Binds the sockets. The member contacts others only once [`Membership::run`] is called.
    ///
    /// # Errors
    /// Fails if the address cannot be bound, or if the key file is invalid.
    pub async fn bind(
        settings: &Settings,
        name: &str,
        zone: &str,
    ) -> Result<Rc<Membership>, MembershipError> {
        let keys = read_keys(&settings.keys)?;
        let me = MemberId {
            name: name.to_string(),
            incarnation: new_incarnation(),
        };
        let (numerator, denominator) = PING_TIMEOUT_FRACTION;
        let rules = Rules {
            period: settings.probe_interval,
            ping_timeout: settings.probe_interval * numerator / denominator,
            ..Rules::default()
        };
        let transport = Transport::bind(settings.listen, |now, bound| {
            let member = Member {
                id: me.clone(),
                address: settings.advertise.unwrap_or(bound),
                zone: zone.to_string(),
                refutations: 0,
                state: MemberState::Alive,
            };
            let seed = me.incarnation ^ u64::from(bound.port()) << 48;
            Node::new(now, seed, member, settings.seeds.clone(), rules, keys)
        });
        let transport = transport.await.map_err(|source| MembershipError::Listen {
            at: settings.listen,
            source,
        })?;
        transport.call(|node, _| node.accept_kind(VIEW_KIND));
        let views = ViewExchange::new(transport.now(), me.clone(), QuorumRules::default());
        Ok(Rc::new(Membership {
            transport,
            me,
            handlers: RefCell::default(),
            views: RefCell::new(views),
            period: Duration::from_nanos(settings.probe_interval),
        }))
    }

    /// Passes messages of this kind to `handler` from now on. Each kind has a single handler.
    pub fn on_message(&self, kind: u8, handler: impl Fn(&MemberId, &[u8]) + 'static) {
        self.transport.call(|node, _| node.accept_kind(kind));
        self.handlers.borrow_mut().insert(kind, Rc::new(handler));
    }

    /// Joins the other members and runs until the thread's tasks end. The file `keys` is read again at each SIGHUP.
    pub fn run(self: &Rc<Self>, keys: PathBuf) {
        let membership = self.clone();
        let transport = self.transport.clone();
        spawn_local(transport.run(move |_, event| membership.handle(event)));
        spawn_local(self.clone().reload_keys(keys));
        spawn_local(self.clone().send_views());
    }

    fn handle(&self, event: NodeEvent) {
        match event {
            NodeEvent::Message {
                from,
                kind: VIEW_KIND,
                body,
            } => {
                let now = self.now();
                let received = self.views.borrow_mut().receive(now, &from, &body);
                if received.is_err() {
                    tracing::warn!(peer = from.name, "ignored an unreadable view");
                }
            }
            NodeEvent::Message { from, kind, body } => {
                let handler = self.handlers.borrow().get(&kind).cloned();
                if let Some(handler) = handler {
                    handler(&from, &body);
                }
            }
            NodeEvent::Membership(event) => {
                self.views.borrow_mut().observe(self.now(), &event);
                log_event(event);
            }
        }
    }

    /// Once a period, updates the quorum state from the alive members and sends the view of this member to one other.
    async fn send_views(self: Rc<Self>) {
        let mut periods = interval(self.period);
        periods.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            periods.tick().await;
            let tick = |node: &mut Node, now| self.views.borrow_mut().tick(now, node);
            let change = self.transport.call(tick);
            if let Some(change) = change {
                self.log_change(change);
            }
        }
    }

    /// Logs a change of the quorum state. The message and its fields have the same names as in `GET /state`.
    fn log_change(&self, StateChange { was, is }: StateChange) {
        let (now, views) = (self.now(), self.views.borrow());
        let (voters, unreachable) = (
            views.quorum().voter_count(),
            views.quorum().unreached(now).count(),
        );
        if is > was {
            tracing::warn!(
                ?was,
                ?is,
                belong = voters,
                missing = unreachable,
                "standing"
            );
        } else {
            tracing::info!(
                ?was,
                ?is,
                belong = voters,
                missing = unreachable,
                "standing"
            );
        }
    }

    async fn reload_keys(self: Rc<Self>, file: PathBuf) {
        let Ok(mut hangups) = signal(SignalKind::hangup()) else {
            return;
        };
        while hangups.recv().await.is_some() {
            match read_keys(&file) {
                Ok(keys) => {
                    tracing::info!(keys = keys.len(), "keys reloaded");
                    self.transport.call(|node, _| node.replace_keys(keys));
                }
                Err(error) => tracing::warn!(%error, "keys not reloaded; old keys stay"),
            }
        }
    }

    /// Returns the name and the incarnation of this member.
    pub fn me(&self) -> &MemberId {
        &self.me
    }

    /// Returns the time since the start on the monotonic clock, in nanoseconds.
    pub fn now(&self) -> u64 {
        self.transport.now()
    }

    /// Returns the local address that the sockets are bound to.
    pub fn address(&self) -> Option<SocketAddr> {
        self.transport.local_address().ok()
    }

    /// Sends a message to a member. Drops the message, as if the network had lost it, if the member is no longer known.
    pub fn send(&self, to: &MemberId, kind: u8, body: Vec<u8>) {
        self.transport.call(|node, _| node.send(to, kind, body));
    }

    /// Calls a function with the other members that are alive, as far as known here.
    pub fn with_alive_members<T>(
        &self,
        callback: impl FnOnce(&mut dyn Iterator<Item = &Member>) -> T,
    ) -> T {
        self.transport
            .call(|node, _| callback(&mut node.membership().alive()))
    }

    /// Notifies the other members that this member leaves.
    pub fn leave(&self) {
        self.transport.call(|node, _| node.leave());
    }

    /// Returns the status for operators.
    pub fn status(&self) -> MembershipStatus {
        let dropped_sends = self.transport.dropped_sends();
        let (now, views) = (self.now(), self.views.borrow());
        let quorum = views.quorum();
        let (quorum_state, since) = (quorum.state(), quorum.state_since());
        let mut disputes = quorum.disputes(now);
        disputes.truncate(MAX_SHOWN_NAMES);
        self.transport.call(|node, _| MembershipStatus {
            alive: node
                .membership()
                .alive()
                .map(|member| member.id.name.clone())
                .collect(),
            health_score: node.membership().health_score(),
            quorum_state: Some(quorum_state),
            quorum_state_age: now.saturating_sub(since),
            voters: quorum.voter_count(),
            reachable_voters: quorum.voter_count() - quorum.unreached(now).count(),
            unreachable_voters: first_names(quorum.unreached(now)),
            not_receiving_us: first_names(quorum.voters_missing_us(now)),
            flapping: first_names(quorum.flapping(now)),
            disputes,
            sent_messages: node.sent,
            sent_bytes: node.sent_bytes,
            rejected_frames: node.rejected.total(),
            dropped_receives: node.overflowed.values().sum(),
            dropped_sends,
        })
    }
}

/// Returns the first [`MAX_SHOWN_NAMES`] names.
fn first_names<'a>(names: impl Iterator<Item = &'a str>) -> Vec<String> {
    names.take(MAX_SHOWN_NAMES).map(str::to_string).collect()
}
