//! Where a sidecar hears the others: the fellowship's sockets and keys, who here reads which kind of message, and what
//! it may believe of its own place.

use havenplank_membership::keys::{read_keys, KeyFileError};
use havenplank_membership::member::{Member, MemberId, MemberState};
use havenplank_membership::node::{Node, NodeEvent};
use havenplank_membership::quorum::{Dispute, QuorumState, Rules as Belonging};
use havenplank_membership::swim::Rules;
use havenplank_membership::transport::{log_event, new_incarnation, Transport};
use havenplank_membership::view_exchange::{Change, ViewExchange, VIEW_KIND};
use havenplank_settings::Fellowship as Settings;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;
use tokio::time::{interval, MissedTickBehavior};

/// Names of each sort that an operator is shown, at most; `Glance::reached` is whole.
const SHOWN: usize = 32;

/// Why a sidecar has no fellowship.
#[derive(Debug, thiserror::Error)]
pub enum FellowshipError {
    #[error("fellowship.keys: {0}")]
    Keys(#[from] KeyFileError),
    #[error("fellowship.listen {at}: {error}; expected an address of this machine whose port is free for UDP and TCP")]
    Listen {
        at: SocketAddr,
        error: std::io::Error,
    },
}

/// Reads the messages of one kind.
type Ear = Rc<dyn Fn(&MemberId, &[u8])>;

pub struct Fellowship {
    transport: Rc<Transport>,
    me: MemberId,
    /// By kind of message. One row a part of the program that talks, set at the start.
    ears: RefCell<BTreeMap<u8, Ear>>,
    views: RefCell<ViewExchange>,
    /// Views are told to one fellow after the other, once a period.
    period: Duration,
}

/// What an operator may look at.
#[derive(Clone, Debug, Default)]
pub struct Glance {
    pub living: Vec<String>,
    pub slowness: u32,
    pub standing: Option<QuorumState>,
    /// For how long that has held, in ns.
    pub stands_for: u64,
    pub belong: usize,
    /// Of those who belong, itself counted.
    pub reached: usize,
    pub missing: Vec<String>,
    pub deaf_to_us: Vec<String>,
    pub unsteady: Vec<String>,
    pub disputes: Vec<Dispute>,
    pub sent: u64,
    pub sent_bytes: u64,
    /// Letters refused for what they are, and messages lost for want of room here, on either side.
    pub refused: u64,
    pub overrun: u64,
    pub unsent: u64,
}

impl Fellowship {
    /// Binds the sockets; the others are met once it runs.
    ///
    /// # Errors
    /// An address that cannot be bound, or a key file that gives no keys.
    pub async fn bind(
        settings: &Settings,
        name: &str,
        zone: &str,
    ) -> Result<Rc<Fellowship>, FellowshipError> {
        let keys = read_keys(&settings.keys)?;
        let me = MemberId {
            name: name.to_string(),
            incarnation: new_incarnation(),
        };
        let rules = Rules {
            period: settings.period,
            ping_timeout: settings.period * 3 / 10,
            ..Rules::default()
        };
        let transport = Transport::bind(settings.listen, |now, bound| {
            let address = settings.advertise.unwrap_or(bound);
            let (id, zone) = (me.clone(), zone.to_string());
            let news = Member {
                id,
                address,
                zone,
                refutations: 0,
                state: MemberState::Alive,
            };
            let seed = me.incarnation ^ u64::from(bound.port()) << 48;
            Node::new(now, seed, news, settings.meet.clone(), rules, keys)
        });
        let transport = transport.await.map_err(|error| FellowshipError::Listen {
            at: settings.listen,
            error,
        })?;
        transport.call(|node, _| node.accept_kind(VIEW_KIND));
        let views = RefCell::new(ViewExchange::new(
            transport.now(),
            me.clone(),
            Belonging::default(),
        ));
        let period = Duration::from_nanos(settings.period);
        let ears = RefCell::default();
        Ok(Rc::new(Fellowship {
            transport,
            me,
            ears,
            views,
            period,
        }))
    }

    /// From now on messages of this kind come here. One part of the program owns a kind.
    pub fn reads(&self, kind: u8, ear: impl Fn(&MemberId, &[u8]) + 'static) {
        self.transport.call(|node, _| node.accept_kind(kind));
        self.ears.borrow_mut().insert(kind, Rc::new(ear));
    }

    /// Meets the others and goes on until the thread's tasks end. `keys` is read again at SIGHUP.
    pub fn run(self: &Rc<Self>, keys: PathBuf) {
        let hears = self.clone();
        spawn_local(
            self.transport
                .clone()
                .run(move |_, happened| hears.happened(happened)),
        );
        spawn_local(self.clone().reload(keys));
        spawn_local(self.clone().tell_views());
    }

    fn happened(&self, happened: NodeEvent) {
        match happened {
            NodeEvent::Message {
                from,
                kind: VIEW_KIND,
                body,
            } => {
                let received = self.views.borrow_mut().receive(self.now(), &from, &body);
                if received.is_err() {
                    tracing::warn!(fellow = from.name, "view passed over: not readable");
                }
            }
            NodeEvent::Message { from, kind, body } => {
                let ear = self.ears.borrow().get(&kind).cloned();
                if let Some(ear) = ear {
                    ear(&from, &body);
                }
            }
            NodeEvent::Membership(event) => {
                self.views.borrow_mut().observe(self.now(), &event);
                log_event(event);
            }
        }
    }

    /// Once a period, who lives is told to the decision on our place, and our view to one fellow.
    async fn tell_views(self: Rc<Self>) {
        let mut beat = interval(self.period);
        beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            beat.tick().await;
            let change = self
                .transport
                .call(|node, now| self.views.borrow_mut().tick(now, node));
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

    async fn reload(self: Rc<Self>, file: PathBuf) {
        let Ok(mut hangups) = signal(SignalKind::hangup()) else {
            return;
        };
        while hangups.recv().await.is_some() {
            match read_keys(&file) {
                Ok(read) => {
                    tracing::info!(keys = read.len(), "keys read again");
                    self.transport.call(|node, _| node.replace_keys(read));
                }
                Err(why) => tracing::warn!(%why, "keys refused, the old ones stay"),
            }
        }
    }

    pub fn me(&self) -> &MemberId {
        &self.me
    }

    /// Nanoseconds since the start, on the monotonic clock.
    pub fn now(&self) -> u64 {
        self.transport.now()
    }

    /// Where other sidecars reach it.
    pub fn at(&self) -> Option<SocketAddr> {
        self.transport.local_address().ok()
    }

    /// Says something to a fellow. One that is not known any more hears nothing, as if it were lost on the way.
    pub fn say(&self, to: &MemberId, kind: u8, body: Vec<u8>) {
        self.transport.call(|node, _| node.send(to, kind, body));
    }

    /// The others that live, as far as known here.
    pub fn living<T>(&self, look: impl FnOnce(&mut dyn Iterator<Item = &Member>) -> T) -> T {
        self.transport
            .call(|node, _| look(&mut node.membership().alive()))
    }

    /// Tells the others that it goes.
    pub fn leave(&self) {
        self.transport.call(|node, _| node.leave());
    }

    pub fn glance(&self) -> Glance {
        let unsent = self.transport.dropped_sends();
        let (now, views) = (self.now(), self.views.borrow());
        let place = views.quorum();
        let (standing, since) = (place.state(), place.state_since());
        let shown =
            |names: &mut dyn Iterator<Item = &str>| names.take(SHOWN).map(str::to_string).collect();
        let mut disputes = place.disputes(now);
        disputes.truncate(SHOWN);
        self.transport.call(|node, _| Glance {
            living: node
                .membership()
                .alive()
                .map(|news| news.id.name.clone())
                .collect(),
            slowness: node.membership().health_score(),
            standing: Some(standing),
            stands_for: now.saturating_sub(since),
            belong: place.voter_count(),
            reached: place.voter_count() - place.missing(now).count(),
            missing: shown(&mut place.missing(now)),
            deaf_to_us: shown(&mut place.deaf_to_us(now)),
            unsteady: shown(&mut place.flapping(now)),
            disputes,
            sent: node.sent,
            sent_bytes: node.sent_bytes,
            refused: node.rejected.total(),
            overrun: node.overflowed.values().sum(),
            unsent,
        })
    }
}
