//! The messages and the time around a [`Replicator`]: replicates configuration versions on the sockets that peers have for
//! each other, and learns from the membership who lives.

use crate::membership::Membership;
use havenplank_configuration::message::Message;
use havenplank_configuration::replication::{
    Effect, Event, Nanos, Peer, Peers, Replicator, Status,
};
use havenplank_configuration::snapshot::Snapshot;
use havenplank_membership::member::Member;
use havenplank_membership::member::MemberId;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The membership's kind of message in which configurations travel.
const MESSAGE_KIND: u8 = 4;
const NS_PER_MS: Nanos = 1_000_000;
/// However much is due, others on the thread get their turn between two wakes.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// Takes versions over.
pub trait Installer: 'static {
    type Error: Display;

    /// Puts a complete version in force, in one call.
    ///
    /// # Errors
    /// Why it cannot be; what was in force stays.
    fn install(&self, snapshot: &Snapshot) -> Result<(), Self::Error>;
}

/// Replicates versions between this process and its peers.
pub struct Replication<H> {
    membership: Rc<Membership>,
    replicator: RefCell<Replicator>,
    installer: H,
    period: Duration,
    rearm: Notify,
}

impl<H: Installer> Replication<H> {
    /// Reads messages from now on, and wakes the replicator until the thread's tasks end. Peers are read anew from the
    /// membership once a period.
    pub fn start(
        membership: &Rc<Membership>,
        replicator: Replicator,
        installer: H,
        period: Duration,
    ) -> Rc<Replication<H>> {
        let membership = membership.clone();
        let replication = Rc::new(Replication {
            membership,
            replicator: RefCell::new(replicator),
            installer,
            period,
            rearm: Notify::new(),
        });
        let receiver = replication.clone();
        replication
            .membership
            .on_message(MESSAGE_KIND, move |from, body| receiver.receive(from, body));
        spawn_local(replication.clone().run_timers());
        spawn_local(replication.clone().follow_membership());
        replication
    }

    /// Makes one call on the replicator, then carries out all that it left to do.
    pub fn call<T>(&self, work: impl FnOnce(&mut Replicator, Nanos) -> T) -> T {
        let done = work(&mut self.replicator.borrow_mut(), self.membership.now());
        self.perform_effects();
        done
    }

    /// Goes on in another role, with another replicator; what the one before had left to do is dropped.
    pub fn replace_replicator(&self, mut replicator: Replicator) {
        replicator.set_peers(self.living());
        self.replicator.replace(replicator);
        self.rearm.notify_one();
    }

    fn living(&self) -> Peers {
        let peer = |member: &Member| Peer {
            life: member.id.clone(),
            zone: member.zone.clone(),
        };
        Peers::new(
            self.membership
                .with_alive_members(|others| others.map(peer).collect()),
        )
    }

    /// Returns how far versions have come.
    pub fn status(&self) -> Status {
        self.replicator.borrow().status()
    }

    /// Returns whom versions are handed to.
    pub fn installer(&self) -> &H {
        &self.installer
    }

    fn receive(&self, from: &MemberId, body: &[u8]) {
        match Message::decode(body) {
            Ok(message) => {
                self.call(|receiver, now| receiver.handle_message(now, from, message, body.len()))
            }
            Err(error) => {
                tracing::debug!(peer = from.name, %error, "message on the configuration passed over");
                self.replicator.borrow_mut().count_unreadable();
            }
        }
        self.rearm.notify_one();
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.replicator.borrow().next_wake();
            let wait = next.map_or(self.period, |at| {
                Duration::from_nanos(at.saturating_sub(self.membership.now())).max(SHORTEST_WAIT)
            });
            tokio::select! {
                () = sleep(wait) => self.call(|replicator, now| replicator.wake(now)),
                () = self.rearm.notified() => {}
            }
        }
    }

    async fn follow_membership(self: Rc<Self>) {
        loop {
            let peers = self.living();
            self.replicator.borrow_mut().set_peers(peers);
            sleep(self.period).await;
        }
    }

    fn perform_effects(&self) {
        loop {
            let effect = self.replicator.borrow_mut().next_effect();
            match effect {
                None => break,
                Some(Effect::Send { to, message }) => match message.encode() {
                    Ok(body) => self.membership.send(&to, MESSAGE_KIND, body),
                    Err(error) => tracing::warn!(peer = to.name, %error, "message not sent"),
                },
                Some(Effect::Install(snapshot)) => self.install(&snapshot),
                Some(Effect::Event(event)) => log(event),
            }
        }
        self.rearm.notify_one();
    }

    fn install(&self, snapshot: &Snapshot) {
        let (version, now) = (snapshot.version(), self.membership.now());
        match self.installer.install(snapshot) {
            Ok(()) => {
                tracing::info!(%version, digest = %snapshot.digest(), "configuration in force");
                self.replicator.borrow_mut().confirm_installed(now, version);
            }
            Err(reason) => {
                self.replicator
                    .borrow_mut()
                    .report_rejected(now, version, &reason.to_string())
            }
        }
    }

    /// Returns what an operator sees.
    pub fn state(&self) -> Value {
        let (status, now) = (self.status(), self.membership.now());
        let age_ms = |at: Nanos| now.saturating_sub(at) / NS_PER_MS;
        let rejected = status
            .rejected
            .map(|rejection| json!({"version": rejection.version.to_string(), "reason": rejection.reason}));
        let transfer = status.transfer.map(|transfer| {
            json!({
                "version": transfer.version.to_string(), "from": transfer.source,
                "missing_buckets": transfer.missing_buckets,
            })
        });
        let counts = status.counts;
        json!({
            "version": status.version.to_string(),
            "digest": status.digest.to_string(),
            "age_ms": age_ms(status.in_force_since),
            "held": status.verified.to_string(),
            "newest_heard": status.newest_heard.to_string(),
            "behind_ms": status.behind_since.map(age_ms),
            "rejected": rejected,
            "heard_ms_ago": status.heard_at.map(age_ms),
            "polled_ms_ago": status.polled_at.map(age_ms),
            "peers": status.peers,
            "transfer": transfer,
            "counts": {
                "unreadable": counts.unreadable, "repeats": counts.repeats, "unfit_deltas": counts.unfit_deltas,
                "conflicts": counts.conflicts, "lower_epochs": counts.lower_epochs,
                "bad_chunks": counts.bad_chunks, "rejected": counts.rejected,
            },
        })
    }

    /// Returns what an operator sees of a writer: how many of how many have the last polled version, and who has not.
    pub fn writer_state(&self) -> Value {
        let Some(writer) = self.status().writer else {
            return Value::Null;
        };
        let now = self.membership.now();
        let age_ms = |at: Nanos| now.saturating_sub(at) / NS_PER_MS;
        let round = writer.round.map(|round| {
            let behind = round.behind.iter().map(|peer| {
                json!({
                    "name": peer.name, "standing": format!("{:?}", peer.lag_reason), "for_ms": age_ms(peer.since),
                })
            });
            json!({
                "version": round.version.to_string(), "ms_ago": age_ms(round.at), "have": round.have,
                "of": round.of, "behind": behind.collect::<Vec<_>>(), "more_behind": round.more,
            })
        });
        let superseded = writer.superseded.map(|by| by.version.to_string());
        json!({"epoch": writer.epoch, "superseded_by": superseded, "round": round})
    }
}

fn log(event: Event) {
    match event {
        Event::Conflict {
            version,
            verified,
            other,
            from,
        } => tracing::error!(
            %version, held = %verified, %other, peer = from.name,
            "two contents of one configuration version: two distributors share an epoch"
        ),
        Event::Superseded { by } => {
            tracing::error!(by = %by.version, "superseded: another distributor has a higher epoch");
        }
        Event::Rejected(rejection) => tracing::warn!(
            version = %rejection.version, reason = rejection.reason, "configuration rejected, the old one stays"
        ),
        Event::TransferBegan { version, missing } => {
            tracing::info!(%version, missing_buckets = missing, "fetching the whole configuration");
        }
        Event::TransferDone { version } => tracing::info!(%version, "whole configuration fetched"),
        Event::SourceChanged { version, from } => {
            tracing::info!(%version, peer = from.name, "fetching goes on from another peer");
        }
        Event::TransferFailed { version } => {
            tracing::warn!(%version, "fetching the configuration failed")
        }
    }
}
