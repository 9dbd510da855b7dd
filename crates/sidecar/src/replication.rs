//! Runs a [`Replicator`]: sends and receives its messages through the membership, wakes it when its timers expire, and
//! updates its peers from the alive members.

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

/// The kind under which the membership carries configuration messages.
const MESSAGE_KIND: u8 = 4;
const NS_PER_MS: Nanos = 1_000_000;
/// Lower bound on the wait between two wake-ups, so that other tasks of the thread run even if many timers are due.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Installs configuration versions.
pub trait Installer: 'static {
    type Error: Display;

    /// Puts a complete version in force in one step.
    ///
    /// # Errors
    /// Fails if the version cannot be installed. The previous version then stays in force.
    fn install(&self, snapshot: &Snapshot) -> Result<(), Self::Error>;
}

/// Replicates versions between this process and its peers.
pub struct Replication<I> {
    membership: Rc<Membership>,
    replicator: RefCell<Replicator>,
    installer: I,
    /// The interval at which the peers are updated.
    period: Duration,
    /// Notified when the next wake-up of the replicator may have changed.
    rearm: Notify,
}

impl<I: Installer> Replication<I> {
    /// Starts to handle messages and to wake the replicator, until the thread's tasks end. Updates the peers from the
    /// membership once a period.
    pub fn start(
        membership: &Rc<Membership>,
        replicator: Replicator,
        installer: I,
        period: Duration,
    ) -> Rc<Replication<I>> {
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

    /// Calls a function on the replicator, then performs the effects that the replicator has queued.
    pub fn call<T>(&self, operation: impl FnOnce(&mut Replicator, Nanos) -> T) -> T {
        let result = operation(&mut self.replicator.borrow_mut(), self.membership.now());
        self.perform_effects();
        result
    }

    /// Replaces the replicator, to continue in another role. Effects that the previous one has queued are dropped.
    pub fn replace_replicator(&self, mut replicator: Replicator) {
        replicator.set_peers(self.alive_peers());
        self.replicator.replace(replicator);
        self.rearm.notify_one();
    }

    fn alive_peers(&self) -> Peers {
        let peer = |member: &Member| Peer {
            member_id: member.id.clone(),
            zone: member.zone.clone(),
        };
        Peers::new(
            self.membership
                .with_alive_members(|others| others.map(peer).collect()),
        )
    }

    /// Returns the status of the replication.
    pub fn status(&self) -> Status {
        self.replicator.borrow().status()
    }

    /// Returns the installer of versions.
    pub fn installer(&self) -> &I {
        &self.installer
    }

    fn receive(&self, from: &MemberId, body: &[u8]) {
        match Message::decode(body) {
            Ok(message) => {
                self.call(|receiver, now| receiver.handle_message(now, from, message, body.len()))
            }
            Err(error) => {
                tracing::debug!(peer = from.name, %error, "ignored an unreadable configuration message");
                self.replicator.borrow_mut().count_unreadable();
            }
        }
        self.rearm.notify_one();
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.replicator.borrow().next_wake();
            let wait = next.map_or(self.period, |at| {
                Duration::from_nanos(at.saturating_sub(self.membership.now())).max(MIN_WAIT)
            });
            tokio::select! {
                () = sleep(wait) => self.call(|replicator, now| replicator.wake(now)),
                () = self.rearm.notified() => {}
            }
        }
    }

    async fn follow_membership(self: Rc<Self>) {
        loop {
            let peers = self.alive_peers();
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
                    Err(error) => tracing::warn!(peer = to.name, %error, "message not encoded"),
                },
                Some(Effect::Install(snapshot)) => self.install(&snapshot),
                Some(Effect::Event(event)) => log_event(event),
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

    /// Returns the state for operators. The keys are part of `GET /state`.
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
            "newest_heard": status.newest_known.to_string(),
            "behind_ms": status.behind_since.map(age_ms),
            "rejected": rejected,
            "heard_ms_ago": status.last_message_at.map(age_ms),
            "polled_ms_ago": status.last_poll_at.map(age_ms),
            "peers": status.peers,
            "transfer": transfer,
            "counts": {
                "unreadable": counts.unreadable, "repeats": counts.repeats, "unfit_deltas": counts.unfit_deltas,
                "conflicts": counts.conflicts, "lower_epochs": counts.lower_epochs,
                "bad_chunks": counts.bad_chunks, "rejected": counts.rejected,
            },
        })
    }

    /// Returns the state of a writer for operators: how many of the polled peers have the last polled version in force,
    /// and which peers do not. Returns null for a sidecar.
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
                "version": round.version.to_string(), "ms_ago": age_ms(round.at), "have": round.up_to_date,
                "of": round.total, "behind": behind.collect::<Vec<_>>(), "more_behind": round.unnamed_behind,
            })
        });
        let superseded = writer.superseded.map(|by| by.version.to_string());
        json!({"epoch": writer.epoch, "superseded_by": superseded, "round": round})
    }
}

fn log_event(event: Event) {
    match event {
        Event::Conflict {
            version,
            verified,
            other,
            from,
        } => tracing::error!(
            %version, verified = %verified, %other, peer = from.name,
            "a configuration version has two different digests: two distributors publish under one epoch"
        ),
        Event::Superseded { by } => {
            tracing::error!(by = %by.version, "superseded: another distributor has a higher epoch");
        }
        Event::Rejected(rejection) => tracing::warn!(
            version = %rejection.version, reason = rejection.reason, "configuration rejected; the previous one stays"
        ),
        Event::TransferBegan { version, missing } => {
            tracing::info!(%version, missing_buckets = missing, "fetching the configuration");
        }
        Event::TransferDone { version } => tracing::info!(%version, "configuration fetched"),
        Event::SourceChanged { version, from } => {
            tracing::info!(%version, peer = from.name, "fetching the configuration continues from another peer");
        }
        Event::TransferFailed { version } => {
            tracing::warn!(%version, "could not fetch the configuration")
        }
    }
}
