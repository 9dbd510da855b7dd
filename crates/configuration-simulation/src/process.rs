//! One process of a simulated fleet: the replicator, its codec, and a host that installs the offered versions.

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

/// Bytes that the envelope between peers and the datagram add to each message.
pub const OVERHEAD_BYTES: u64 = 120;

/// The content of a datagram on the simulated network.
#[derive(Serialize, Deserialize)]
struct Envelope {
    from: MemberId,
    to: MemberId,
    body: Vec<u8>,
}

/// The messages and bytes that a process sent and received, and the time that it spent on them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Messages sent.
    pub sent_messages: u64,
    /// Bytes sent, with the overhead of each message.
    pub sent_bytes: u64,
    /// Messages received.
    pub received_messages: u64,
    /// Bytes received, with the overhead of each message.
    pub received_bytes: u64,
    /// Length of the longest message sent, with its overhead, in bytes.
    pub longest_message_bytes: u64,
    /// Time spent in the replicator and the codec, by the wall clock around each call.
    pub processing_time: Duration,
}

/// The installation of one version.
#[derive(Clone, Copy, Debug)]
pub struct Installation {
    /// When the version was put in force, on the process's own clock.
    pub at: Nanos,
    /// The installed version.
    pub version: Version,
}

/// One simulated process: the replicator that sidecars run, and a simulated host.
pub struct Process {
    /// The replicator.
    pub replicator: Replicator,
    /// This process, as its peers know it.
    pub me: Peer,
    /// The traffic of this process since it started.
    pub traffic: Traffic,
    /// The snapshot that the host has in force.
    pub in_force: Snapshot,
    /// Every installation since the process started, in order.
    pub installations: Vec<Installation>,
    /// The events that the replicator reported to operators.
    pub events: Vec<Event>,
    /// Whether the host rejects the versions that it is offered.
    pub rejects_versions: bool,
    outgoing: VecDeque<(SocketAddr, Vec<u8>)>,
}

/// Returns the name of a process; names sort in the order of the ids.
pub fn process_name(id: Id) -> String {
    format!("p-{id:05}")
}

fn id_of(name: &str) -> Option<Id> {
    name.strip_prefix("p-")?.parse().ok()
}

impl Process {
    /// Returns a process that starts at `now` with its cached configuration.
    pub fn new(
        now: Nanos,
        seed: u64,
        me: Peer,
        role: Role,
        cached: CachedConfiguration,
        settings: ReplicationSettings,
    ) -> Process {
        let in_force = cached.snapshot.clone();
        let replicator = Replicator::new(now, seed, me.clone(), role, cached, settings);
        Process {
            replicator,
            me,
            traffic: Traffic::default(),
            in_force,
            installations: Vec::new(),
            events: Vec::new(),
            rejects_versions: false,
            outgoing: VecDeque::new(),
        }
    }

    /// Returns the delta and the snapshot that [`Process::publish`] would publish; `None` if the changes do not apply.
    pub fn prepare_publication(
        &self,
        epoch: u64,
        changes: Vec<Change>,
    ) -> Option<(Delta, Snapshot)> {
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
        // The delta needs the digest of its result. Applying it with a wrong digest fails with an error that has the
        // digest.
        delta.digest = match self.in_force.apply(&delta) {
            Ok(snapshot) => snapshot.digest(),
            Err(havenplank_configuration::error::ApplyError::DigestMismatch { found, .. }) => found,
            Err(_) => return None,
        };
        let snapshot = self.in_force.apply(&delta).ok()?;
        Some((delta, snapshot))
    }

    /// Publishes one change, as a writer does once the change is on its disk.
    ///
    /// # Errors
    /// The reason why the replicator refuses the change.
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
        let Some((delta, snapshot)) = self.prepare_publication(epoch, changes) else {
            return Err(PublishError::NotWriter);
        };
        let version = snapshot.version();
        let started = Instant::now();
        let result = self
            .replicator
            .publish(now, Arc::new(delta), snapshot.clone());
        self.traffic.processing_time += started.elapsed();
        result?;
        self.put_in_force(now, snapshot);
        self.perform_effects(now);
        Ok(version)
    }

    fn put_in_force(&mut self, now: Nanos, snapshot: Snapshot) {
        let (previous, installed) = (self.in_force.version(), snapshot.version());
        assert!(
            installed > previous,
            "{}: version {installed} was put in force after the newer or equal version {previous}",
            self.me.member_id.name
        );
        self.installations.push(Installation {
            at: now,
            version: installed,
        });
        self.in_force = snapshot;
    }

    fn perform_effects(&mut self, now: Nanos) {
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
        if self.rejects_versions {
            self.replicator
                .report_rejected(now, version, "the simulated host rejects versions");
        } else {
            self.put_in_force(now, snapshot);
            self.replicator.confirm_installed(now, version);
        }
    }

    fn send(&mut self, to: MemberId, message: &Message) {
        let started = Instant::now();
        let Ok(body) = message.encode() else { return };
        self.traffic.processing_time += started.elapsed();
        let bytes = body.len() as u64 + OVERHEAD_BYTES;
        self.traffic.sent_messages += 1;
        self.traffic.sent_bytes += bytes;
        self.traffic.longest_message_bytes = self.traffic.longest_message_bytes.max(bytes);
        let Some(id) = id_of(&to.name) else { return };
        let envelope = Envelope {
            from: self.me.member_id.clone(),
            to,
            body,
        };
        if let Ok(datagram) = postcard::to_stdvec(&envelope) {
            self.outgoing
                .push_back((Net::<Process>::address(id), datagram));
        }
    }
}

impl Host for Process {
    fn receive_datagram(&mut self, now: Nanos, bytes: &[u8]) {
        let Ok(envelope) = postcard::from_bytes::<Envelope>(bytes) else {
            return;
        };
        if envelope.to != self.me.member_id {
            return;
        }
        self.traffic.received_messages += 1;
        self.traffic.received_bytes += envelope.body.len() as u64 + OVERHEAD_BYTES;
        let started = Instant::now();
        match Message::decode(&envelope.body) {
            Ok(message) => {
                self.replicator
                    .handle_message(now, &envelope.from, message, envelope.body.len())
            }
            Err(_) => self.replicator.count_unreadable(),
        }
        self.traffic.processing_time += started.elapsed();
        self.perform_effects(now);
    }

    fn wake(&mut self, now: Nanos) {
        let started = Instant::now();
        self.replicator.wake(now);
        self.traffic.processing_time += started.elapsed();
        self.perform_effects(now);
    }

    fn next_wake(&self) -> Option<Nanos> {
        self.replicator.next_wake()
    }

    fn datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.outgoing.pop_front()
    }
}
