//! Where a sidecar hears the others: the membership's sockets and keys, who here reads which kind of message, and
//! whether it may believe that it sees enough of them.

use havenplank_membership::keys::{read_keys, KeyFileError};
use havenplank_membership::member::{Member, MemberId, MemberState};
use havenplank_membership::node::{Node, NodeEvent};
use havenplank_membership::quorum::{Dispute, QuorumState, Rules as QuorumRules};
use havenplank_membership::swim::Rules;
use havenplank_membership::transport::{log_event, new_incarnation, Transport};
use havenplank_membership::view_exchange::{Change, ViewExchange, VIEW_KIND};
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

/// Names of each sort that an operator is shown, at most; [`MembershipStatus::reached`] counts all.
const SHOWN_NAMES: usize = 32;
/// How much of a period a member has to answer a ping: 3 of 10 parts.
const ANSWER_PARTS: (u64, u64) = (3, 10);

/// Why a sidecar has no membership.
#[derive(Debug, thiserror::Error)]
pub enum MembershipError {
    /// The key file gives no keys.
    #[error("fellowship.keys: {0}")]
    Keys(#[from] KeyFileError),
    /// The address cannot be bound.
    #[error("fellowship.listen {at}: {source}; expected an address of this machine whose port is free for UDP and TCP")]
    Listen {
        /// The address that was asked for.
        at: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
}

/// Reads the messages of one kind.
type MessageHandler = Rc<dyn Fn(&MemberId, &[u8])>;

/// This sidecar among the others.
pub struct Membership {
    transport: Rc<Transport>,
    me: MemberId,
    /// By kind of message. One entry a part of the program that talks, set at the start.
    handlers: RefCell<BTreeMap<u8, MessageHandler>>,
    views: RefCell<ViewExchange>,
    /// Views are sent to one member after the other, once a period.
    period: Duration,
}

/// What an operator may look at.
#[derive(Clone, Debug, Default)]
pub struct MembershipStatus {
    /// Names of the others that live, as far as known here.
    pub alive: Vec<String>,
    /// How far this sidecar's own slowness stretches its time-outs.
    pub health_score: u32,
    /// Its quorum state.
    pub quorum_state: Option<QuorumState>,
    /// For how long that has held, in ns.
    pub quorum_state_age: u64,
    /// How many members there should be.
    pub voters: usize,
    /// Of those who belong, itself counted.
    pub reachable_voters: usize,
    /// Names of those who are not reached.
    pub unreachable_voters: Vec<String>,
    /// Names of those who do not hear this one.
    pub not_receiving_us: Vec<String>,
    /// Names of those who came and went of late.
    pub flapping: Vec<String>,
    /// With whom it does not agree on who is there.
    pub disputes: Vec<Dispute>,
    /// Messages sent since the start.
    pub sent_messages: u64,
    /// Bytes of those.
    pub sent_bytes: u64,
    /// Frames refused for what they are since the start.
    pub rejected_frames: u64,
    /// Messages lost for want of room to receive since the start.
    pub dropped_receives: u64,
    /// Messages lost for want of room to send since the start.
    pub dropped_sends: u64,
}

impl Membership {
    /// Binds the sockets; the others are met once it runs.
    ///
    /// # Errors
    /// An address that cannot be bound, or a key file that gives no keys.
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
        let (parts, of) = ANSWER_PARTS;
        let rules = Rules {
            period: settings.probe_interval,
            ping_timeout: settings.probe_interval * parts / of,
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

    /// Hands messages of this kind to `handler` from now on. One part of the program owns a kind.
    pub fn on_message(&self, kind: u8, handler: impl Fn(&MemberId, &[u8]) + 'static) {
        self.transport.call(|node, _| node.accept_kind(kind));
        self.handlers.borrow_mut().insert(kind, Rc::new(handler));
    }

    /// Meets the others and goes on until the thread's tasks end. `keys` is read again at SIGHUP.
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
                    tracing::warn!(fellow = from.name, "view passed over: not readable");
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

    /// Once a period, tells who lives to the decision on the quorum state, and our view to one member.
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

    fn log_change(&self, Change { was, is }: Change) {
        let (now, views) = (self.now(), self.views.borrow());
        let (belong, missing) = (
            views.quorum().voter_count(),
            views.quorum().missing(now).count(),
        );
        if is > was {
            tracing::warn!(?was, ?is, belong, missing, "standing");
        } else {
            tracing::info!(?was, ?is, belong, missing, "standing");
        }
    }

    async fn reload_keys(self: Rc<Self>, file: PathBuf) {
        let Ok(mut hangups) = signal(SignalKind::hangup()) else {
            return;
        };
        while hangups.recv().await.is_some() {
            match read_keys(&file) {
                Ok(keys) => {
                    tracing::info!(keys = keys.len(), "keys read again");
                    self.transport.call(|node, _| node.replace_keys(keys));
                }
                Err(why) => tracing::warn!(%why, "keys refused, the old ones stay"),
            }
        }
    }

    /// Returns this sidecar's name and incarnation.
    pub fn me(&self) -> &MemberId {
        &self.me
    }

    /// Returns the time since the start on the monotonic clock, in ns.
    pub fn now(&self) -> u64 {
        self.transport.now()
    }

    /// Returns where other sidecars reach it.
    pub fn address(&self) -> Option<SocketAddr> {
        self.transport.local_address().ok()
    }

    /// Sends a message to a member. One that is not known any more hears nothing, as if it were lost on the way.
    pub fn send(&self, to: &MemberId, kind: u8, body: Vec<u8>) {
        self.transport.call(|node, _| node.send(to, kind, body));
    }

    /// Looks at the others that live, as far as known here.
    pub fn with_alive_members<T>(
        &self,
        look: impl FnOnce(&mut dyn Iterator<Item = &Member>) -> T,
    ) -> T {
        self.transport
            .call(|node, _| look(&mut node.membership().alive()))
    }

    /// Tells the others that it leaves.
    pub fn leave(&self) {
        self.transport.call(|node, _| node.leave());
    }

    /// Returns what an operator may look at.
    pub fn status(&self) -> MembershipStatus {
        let dropped_sends = self.transport.dropped_sends();
        let (now, views) = (self.now(), self.views.borrow());
        let quorum = views.quorum();
        let (quorum_state, since) = (quorum.state(), quorum.state_since());
        let mut disputes = quorum.disputes(now);
        disputes.truncate(SHOWN_NAMES);
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
            reachable_voters: quorum.voter_count() - quorum.missing(now).count(),
            unreachable_voters: shown(quorum.missing(now)),
            not_receiving_us: shown(quorum.deaf_to_us(now)),
            flapping: shown(quorum.flapping(now)),
            disputes,
            sent_messages: node.sent,
            sent_bytes: node.sent_bytes,
            rejected_frames: node.rejected.total(),
            dropped_receives: node.overflowed.values().sum(),
            dropped_sends,
        })
    }
}

/// Returns as many names as an operator is shown.
fn shown<'a>(names: impl Iterator<Item = &'a str>) -> Vec<String> {
    names.take(SHOWN_NAMES).map(str::to_string).collect()
}
