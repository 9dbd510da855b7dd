//! Where a sidecar hears the others: the fellowship's sockets and keys, who here reads which kind of message, and what
//! it may believe of its own place.

use havenplank_membership::node::{Happened, Node};
use havenplank_membership::shell::{log, new_life, read_keys, KeysError, Talker};
use havenplank_membership::standing::{Dispute, Rules as Belonging, Standing};
use havenplank_membership::swim::{News, Rules, State};
use havenplank_membership::views::{Change, Views, VIEWS};
use havenplank_membership::wire::Life;
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
    Keys(#[from] KeysError),
    #[error("fellowship.listen {at}: {error}; expected an address of this machine whose port is free for UDP and TCP")]
    Listen {
        at: SocketAddr,
        error: std::io::Error,
    },
}

/// Reads the messages of one kind.
type Ear = Rc<dyn Fn(&Life, &[u8])>;

pub struct Fellowship {
    talker: Rc<Talker>,
    me: Life,
    /// By kind of message. One row a part of the program that talks, set at the start.
    ears: RefCell<BTreeMap<u8, Ear>>,
    views: RefCell<Views>,
    /// Views are told to one fellow after the other, once a period.
    period: Duration,
}

/// What an operator may look at.
#[derive(Clone, Debug, Default)]
pub struct Glance {
    pub living: Vec<String>,
    pub slowness: u32,
    pub standing: Option<Standing>,
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
        let me = Life {
            name: name.to_string(),
            life: new_life(),
        };
        let rules = Rules {
            period: settings.period,
            answer: settings.period * 3 / 10,
            ..Rules::default()
        };
        let talker = Talker::bind(settings.listen, |now, bound| {
            let at = settings.advertise.unwrap_or(bound);
            let (who, zone) = (me.clone(), zone.to_string());
            let news = News {
                who,
                at,
                zone,
                round: 0,
                state: State::Lives,
            };
            let seed = me.life ^ u64::from(bound.port()) << 48;
            Node::new(now, seed, news, settings.meet.clone(), rules, keys)
        });
        let talker = talker.await.map_err(|error| FellowshipError::Listen {
            at: settings.listen,
            error,
        })?;
        talker.call(|node, _| node.reads(VIEWS));
        let views = RefCell::new(Views::new(talker.now(), me.clone(), Belonging::default()));
        let period = Duration::from_nanos(settings.period);
        let ears = RefCell::default();
        Ok(Rc::new(Fellowship {
            talker,
            me,
            ears,
            views,
            period,
        }))
    }

    /// From now on messages of this kind come here. One part of the program owns a kind.
    pub fn reads(&self, kind: u8, ear: impl Fn(&Life, &[u8]) + 'static) {
        self.talker.call(|node, _| node.reads(kind));
        self.ears.borrow_mut().insert(kind, Rc::new(ear));
    }

    /// Meets the others and goes on until the thread's tasks end. `keys` is read again at SIGHUP.
    pub fn run(self: &Rc<Self>, keys: PathBuf) {
        let hears = self.clone();
        spawn_local(
            self.talker
                .clone()
                .run(move |_, happened| hears.happened(happened)),
        );
        spawn_local(self.clone().reload(keys));
        spawn_local(self.clone().tell_views());
    }

    fn happened(&self, happened: Happened) {
        match happened {
            Happened::Came {
                from,
                kind: VIEWS,
                body,
            } => {
                let received = self.views.borrow_mut().receive(self.now(), &from, &body);
                if received.is_err() {
                    tracing::warn!(fellow = from.name, "view passed over: not readable");
                }
            }
            Happened::Came { from, kind, body } => {
                let ear = self.ears.borrow().get(&kind).cloned();
                if let Some(ear) = ear {
                    ear(&from, &body);
                }
            }
            Happened::Told(event) => {
                self.views.borrow_mut().observe(self.now(), &event);
                log(event);
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
                .talker
                .call(|node, now| self.views.borrow_mut().tick(now, node));
            if let Some(change) = change {
                self.log_change(change);
            }
        }
    }

    fn log_change(&self, Change { was, is }: Change) {
        let (now, views) = (self.now(), self.views.borrow());
        let (belong, missing) = (views.place().belong(), views.place().missing(now).count());
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
                    self.talker.call(|node, _| node.rekey(read));
                }
                Err(why) => tracing::warn!(%why, "keys refused, the old ones stay"),
            }
        }
    }

    pub fn me(&self) -> &Life {
        &self.me
    }

    /// Nanoseconds since the start, on the monotonic clock.
    pub fn now(&self) -> u64 {
        self.talker.now()
    }

    /// Where other sidecars reach it.
    pub fn at(&self) -> Option<SocketAddr> {
        self.talker.at().ok()
    }

    /// Says something to a fellow. One that is not known any more hears nothing, as if it were lost on the way.
    pub fn say(&self, to: &Life, kind: u8, body: Vec<u8>) {
        self.talker.call(|node, _| node.send(to, kind, body));
    }

    /// The others that live, as far as known here.
    pub fn living<T>(&self, look: impl FnOnce(&mut dyn Iterator<Item = &News>) -> T) -> T {
        self.talker
            .call(|node, _| look(&mut node.fellows().living()))
    }

    /// Tells the others that it goes.
    pub fn leave(&self) {
        self.talker.call(|node, _| node.leave());
    }

    pub fn glance(&self) -> Glance {
        let unsent = self.talker.lost();
        let (now, views) = (self.now(), self.views.borrow());
        let place = views.place();
        let (standing, since) = place.standing();
        let shown =
            |names: &mut dyn Iterator<Item = &str>| names.take(SHOWN).map(str::to_string).collect();
        let mut disputes = place.disputes(now);
        disputes.truncate(SHOWN);
        self.talker.call(|node, _| Glance {
            living: node
                .fellows()
                .living()
                .map(|news| news.who.name.clone())
                .collect(),
            slowness: node.fellows().slowness(),
            standing: Some(standing),
            stands_for: now.saturating_sub(since),
            belong: place.belong(),
            reached: place.belong() - place.missing(now).count(),
            missing: shown(&mut place.missing(now)),
            deaf_to_us: shown(&mut place.deaf_to_us(now)),
            unsteady: shown(&mut place.unsteady(now)),
            disputes,
            sent: node.sent,
            sent_bytes: node.sent_bytes,
            refused: node.refused.total(),
            overrun: node.overrun.values().sum(),
            unsent,
        })
    }
}
