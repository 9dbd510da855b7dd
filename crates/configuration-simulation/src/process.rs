//! One process of a simulated fleet: the replicator, its codec, and a host that takes in what it offers.

use havenplank_configuration::delta::{Change, Delta};
use havenplank_configuration::digest::Digest;
use havenplank_configuration::message::Message;
use havenplank_configuration::replication::{
    CachedConfiguration, Effect, Event, Nanos, Peer, PublishError, ReplicationSettings, Replicator,
    Role,
};
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::version::Version;
use havenplank_emulator::net::{Host, Id, Net};
use havenplank_membership::member::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a letter between peers and its datagram have around a message, in bytes.
pub const OVERHEAD: u64 = 120;

/// What crosses the simulated network.
#[derive(Serialize, Deserialize)]
struct Envelope {
    from: MemberId,
    to: MemberId,
    body: Vec<u8>,
}

/// What a process sent, heard and spent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Messages sent.
    pub sent: u64,
    /// Bytes sent, with what is around each message.
    pub sent_bytes: u64,
    /// Messages that came.
    pub heard: u64,
    /// Bytes that came, with what is around each message.
    pub heard_bytes: u64,
    /// The longest message, with its overhead.
    pub longest: u64,
    /// In the decision and its codec.
    pub processor: Duration,
}

/// A version that came into force.
#[derive(Clone, Copy, Debug)]
pub struct Installed {
    /// When, on the process's own clock.
    pub at: Nanos,
    /// Which.
    pub version: Version,
}

/// One process: the replicator of the product, and a host that takes in what it offers.
pub struct Process {
    /// The replicator.
    pub replicator: Replicator,
    /// Itself, as peers know it.
    pub me: Peer,
    /// What it sent, heard and spent.
    pub traffic: Traffic,
    /// In force at the host, as it would be kept on disk.
    pub in_force: Snapshot,
    /// When each version came into force.
    pub log: Vec<Installed>,
    /// What the replicator told operators.
    pub events: Vec<Event>,
    /// The host rejects versions while this holds.
    pub rejects: bool,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
}

/// The name of the nth process; names sort as numbers do.
pub fn name(id: Id) -> String {
    format!("p-{id:05}")
}

fn id_of(name: &str) -> Option<Id> {
    name.strip_prefix("p-")?.parse().ok()
}

impl Process {
    /// Returns a process that begins at `now` with what it cached.
    pub fn new(
        now: Nanos,
        seed: u64,
        me: Peer,
        role: Role,
        kept: CachedConfiguration,
        settings: ReplicationSettings,
    ) -> Process {
        let in_force = kept.snapshot.clone();
        let replicator = Replicator::new(now, seed, me.clone(), role, kept, settings);
        Process {
            replicator,
            me,
            traffic: Traffic::default(),
            in_force,
            log: Vec::new(),
            events: Vec::new(),
            rejects: false,
            out: VecDeque::new(),
        }
    }

    /// What [`Process::publish`] would publish next.
    pub fn next(&self, epoch: u64, changes: Vec<Change>) -> Option<(Delta, Snapshot)> {
        let from = self.in_force.version();
        let to = Version {
            epoch,
            number: from.number + 1,
        };
        let mut delta = Delta {
            from,
            to,
            digest: Digest::default(),
            changes,
        };
        // The digest is that of the result, which only an application shows: its refusal states it.
        delta.digest = match self.in_force.apply(&delta) {
            Ok(snapshot) => snapshot.digest(),
            Err(havenplank_configuration::error::ApplyError::DigestMismatch { found, .. }) => found,
            Err(_) => return None,
        };
        let snapshot = self.in_force.apply(&delta).ok()?;
        Some((delta, snapshot))
    }

    /// Publishes one change, as a writer does once its disk has it.
    ///
    /// # Errors
    /// Why the replicator refuses.
    pub fn publish(
        &mut self,
        now: Nanos,
        epoch: u64,
        changes: Vec<Change>,
    ) -> Result<Version, PublishError> {
        if let Some(by) = self
            .replicator
            .status()
            .writer
            .and_then(|writer| writer.superseded)
        {
            return Err(PublishError::Superseded { by });
        }
        let Some((delta, snapshot)) = self.next(epoch, changes) else {
            return Err(PublishError::NotWriter);
        };
        let version = snapshot.version();
        let began = Instant::now();
        let result = self
            .replicator
            .publish(now, Arc::new(delta), snapshot.clone());
        self.traffic.processor += began.elapsed();
        result?;
        self.take_over(now, snapshot);
        self.carry_out(now);
        Ok(version)
    }

    fn take_over(&mut self, now: Nanos, snapshot: Snapshot) {
        let (before, after) = (self.in_force.version(), snapshot.version());
        assert!(
            after > before,
            "{}: version {after} came into force after {before}",
            self.me.life.name
        );
        self.log.push(Installed {
            at: now,
            version: after,
        });
        self.in_force = snapshot;
    }

    fn carry_out(&mut self, now: Nanos) {
        while let Some(effect) = self.replicator.next_effect() {
            match effect {
                Effect::Send { to, message } => self.send(to, &message),
                Effect::Install(snapshot) => self.install(now, snapshot),
                Effect::Event(event) => self.events.push(event),
            }
        }
    }

    fn install(&mut self, now: Nanos, snapshot: Snapshot) {
        let version = snapshot.version();
        if self.rejects {
            self.replicator
                .report_rejected(now, version, "told to reject");
        } else {
            self.take_over(now, snapshot);
            self.replicator.confirm_installed(now, version);
        }
    }

    fn send(&mut self, to: MemberId, message: &Message) {
        let began = Instant::now();
        let Ok(body) = message.encode() else { return };
        self.traffic.processor += began.elapsed();
        let bytes = body.len() as u64 + OVERHEAD;
        self.traffic.sent += 1;
        self.traffic.sent_bytes += bytes;
        self.traffic.longest = self.traffic.longest.max(bytes);
        let Some(id) = id_of(&to.name) else { return };
        let envelope = Envelope {
            from: self.me.life.clone(),
            to,
            body,
        };
        if let Ok(datagram) = postcard::to_stdvec(&envelope) {
            self.out.push_back((Net::<Process>::address(id), datagram));
        }
    }
}

impl Host for Process {
    fn receive_datagram(&mut self, now: Nanos, bytes: &[u8]) {
        let Ok(envelope) = postcard::from_bytes::<Envelope>(bytes) else {
            return;
        };
        if envelope.to != self.me.life {
            return;
        }
        self.traffic.heard += 1;
        self.traffic.heard_bytes += envelope.body.len() as u64 + OVERHEAD;
        let began = Instant::now();
        match Message::decode(&envelope.body) {
            Ok(message) => {
                self.replicator
                    .handle_message(now, &envelope.from, message, envelope.body.len())
            }
            Err(_) => self.replicator.count_unreadable(),
        }
        self.traffic.processor += began.elapsed();
        self.carry_out(now);
    }

    fn wake(&mut self, now: Nanos) {
        let began = Instant::now();
        self.replicator.wake(now);
        self.traffic.processor += began.elapsed();
        self.carry_out(now);
    }

    fn next_wake(&self) -> Option<Nanos> {
        self.replicator.next_wake()
    }

    fn datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.out.pop_front()
    }
}
