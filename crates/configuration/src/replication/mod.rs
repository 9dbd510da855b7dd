//! Replicates the configuration from its writer to every sidecar, and reports to the writer which sidecars have it.
//! This module does no I/O: the host passes in the time and the random seed, and takes effects from a queue.
//!
//! A process that newly has a version announces it once to a few random peers, with the delta if it fits a datagram
//! (`gossip`). Each process also pulls from one random peer per period, which brings the version to processes that the
//! announcements missed, that were cut off or that have restarted. A process that is too far behind for deltas fetches
//! the buckets that differ (`transfer`), within a byte budget, from any peer that has the same version. The writer
//! polls disjoint intervals of peer names; one peer of each interval, its aggregator, splits the interval further and
//! returns the counts (`acknowledgement`). No process sends to all others.
//!
//! **Verified and in force.** A *verified* version has the digest that its writer stated, and is passed on to peers. A
//! version is *in force* once the host has installed it; the host answers each [`Effect::Install`] with
//! [`Replicator::confirm_installed`] or [`Replicator::report_rejected`]. Only a version in force is acknowledged. A
//! host that rejects a version therefore neither hides it from peers nor fetches it again, and the delta of a later
//! version still finds its base. A sidecar announces a version before storing it: an acknowledgement says *in force*,
//! never *on disk*. The writer stores a version before it calls [`Replicator::publish`].
//!
//! **Guaranteed always**: the verified version and the version in force never go back; a version is verified only with
//! the digest that its writer stated; of two contents of one version, a process keeps the one it received first; no
//! peer is counted twice in one round. **Guaranteed while enough peers can communicate**: every process gets the newest
//! version, and reports are complete. A replaced writer is fenced by the order of epochs alone: it stops when it
//! learns of the higher epoch, and versions that it published meanwhile are superseded by that epoch.
//!
//! Every map and queue is bounded: `effects` by the effects of one call, because the host empties it after each;
//! `open_polls` by `MAX_OPEN_POLLS`, and a poll is removed once its round finishes or expires; early deltas, recent
//! snapshots and the history by limits in `verified`; peers by the membership; named lagging peers by
//! [`MAX_NAMED_BEHIND`](crate::message::MAX_NAMED_BEHIND).
//!
//! # Tests of each guard
//! See `tests/replication.rs` of the package `havenplank-configuration-simulation`. Its header lists the guards whose
//! removal was seen to fail a test.

mod acknowledgement;
mod budget;
mod gossip;
mod installation;
mod peers;
mod poll;
mod settings;
mod status;
mod transfer;
mod verified;

pub use self::acknowledgement::LaggingPeerStatus;
pub use self::installation::Rejection;
pub use self::peers::{region_of_zone, Peer, Peers};
pub use self::settings::ReplicationSettings;
pub use self::status::{Counts, RoundStatus, Status, TransferStatus, WriterStatus};

use self::acknowledgement::Polling;
use self::budget::Budget;
use self::installation::Installation;
use self::poll::OpenPoll;
use self::transfer::Transfer;
use self::verified::VerifiedVersions;
use crate::delta::Delta;
use crate::digest::Digest;
use crate::history::History;
use crate::message::{Claim, Message};
use crate::snapshot::Snapshot;
use crate::version::Version;
use havenplank_membership::member::MemberId;
use oorandom::Rand64;
use std::collections::VecDeque;
use std::sync::Arc;

/// Nanoseconds on this process's own monotonic clock, or a duration in nanoseconds.
pub type Nanos = u64;

/// Maximum number of polls open at once at one aggregator. A further one drops the oldest, whose parent then polls
/// another aggregator.
const MAX_OPEN_POLLS: usize = 8;
/// The first pull is sent at a random time up to 100 ms after the start, so that processes that start together do not
/// all pull at once.
const MAX_FIRST_PULL_DELAY: Nanos = 100_000_000;

/// The role of a process in the replication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives versions and puts them in force.
    Sidecar,
    /// Publishes the versions of one epoch.
    Writer {
        /// The epoch of all versions that it publishes.
        epoch: u64,
    },
}

/// The configuration that a process has kept from an earlier run.
pub struct CachedConfiguration {
    /// The version that was in force; the empty snapshot if there is none.
    pub snapshot: Snapshot,
    /// Recent deltas that led to that version, in order.
    pub deltas: Vec<Arc<Delta>>,
}

/// An action that the host must carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends a message to a peer; it may be lost.
    Send {
        /// The peer that receives the message.
        to: MemberId,
        /// The message to send.
        message: Message,
    },
    /// Installs a new version. The host answers with [`Replicator::confirm_installed`] or
    /// [`Replicator::report_rejected`]. An earlier `Install` that was not answered yet is void.
    Install(Snapshot),
    /// Reports an event to operators.
    Event(Event),
}

/// An event that the host logs for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Another process holds the same version with other records: two writers share an epoch.
    Conflict {
        /// The version.
        version: Version,
        /// The digest of the version's records in this process.
        verified: Digest,
        /// The digest that the other process states.
        other: Digest,
        /// The other process.
        from: MemberId,
    },
    /// This writer has been replaced and publishes no more.
    Superseded {
        /// The version that proves it.
        by: Claim,
    },
    /// The host rejected a version.
    Rejected(Rejection),
    /// The transfer of a complete snapshot has begun.
    TransferBegan {
        /// The version of the snapshot.
        version: Version,
        /// How many buckets are to be fetched.
        missing: usize,
    },
    /// A complete snapshot was fetched and verified.
    TransferDone {
        /// The version of the snapshot.
        version: Version,
    },
    /// The source of a transfer did not answer, refused or sent an invalid chunk; the transfer continues from another.
    SourceChanged {
        /// The version that is fetched.
        version: Version,
        /// The source that failed.
        from: MemberId,
    },
    /// No source delivered the complete snapshot; the next pull may begin another transfer.
    TransferFailed {
        /// The version of the snapshot.
        version: Version,
    },
}

/// Why a version was not published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// This process is a sidecar.
    #[error("this process is not the writer")]
    NotWriter,
    /// Another writer has taken over.
    #[error("version {} is in force elsewhere; another writer has taken over and this one publishes no more", by.version)]
    Superseded {
        /// The version that proves it.
        by: Claim,
    },
    /// The version is not newer than the newest verified one.
    #[error("version {version} is not newer than {verified}, which is held")]
    NotNewer {
        /// The version to be published.
        version: Version,
        /// The newest verified version.
        verified: Version,
    },
    /// The version belongs to another epoch.
    #[error("version {version} is not of epoch {epoch}, which this writer has")]
    WrongEpoch {
        /// The version to be published.
        version: Version,
        /// The epoch of this writer.
        epoch: u64,
    },
}

/// Replicates the configuration for one process: decides what to send, fetch and install.
pub struct Replicator {
    me: Peer,
    role: Role,
    settings: ReplicationSettings,
    rng: Rand64,
    peers: Peers,
    verified: VerifiedVersions,
    installation: Installation,
    /// The newest version that a peer has claimed or that was verified here.
    newest_known: Claim,
    /// Since when a newer version than the one in force is known.
    behind_since: Option<Nanos>,
    /// The claim that showed that this writer has been replaced.
    superseded: Option<Claim>,
    /// The claim of the last conflict event; the same conflict is not reported again.
    last_conflict: Option<Claim>,
    pending_pull: Option<gossip::PendingPull>,
    next_pull_at: Nanos,
    /// When to pull again after a useless answer or once the fetch budget allows it.
    retry_pull_at: Option<Nanos>,
    /// Set if deltas did not apply, so that the next answer must be a manifest.
    needs_manifest: bool,
    fetch_budget: Budget,
    serve_budget: Budget,
    transfer: Option<Transfer>,
    /// Polls that this process aggregates.
    open_polls: VecDeque<OpenPoll>,
    polling: Polling,
    last_message_at: Option<Nanos>,
    last_poll_at: Option<Nanos>,
    counts: Counts,
    effects: VecDeque<Effect>,
}

impl Replicator {
    /// Returns the replicator of process `me`, which starts at `now` with its cached configuration. All random choices
    /// follow from `seed`.
    pub fn new(
        now: Nanos,
        seed: u64,
        me: Peer,
        role: Role,
        cached: CachedConfiguration,
        settings: ReplicationSettings,
    ) -> Replicator {
        let snapshot = cached.snapshot;
        let mut history = History::new(settings.max_history_deltas, settings.max_history_bytes);
        for delta in cached.deltas {
            history.push(delta);
        }
        let verified = VerifiedVersions::new(snapshot.clone(), history);
        let is_empty = snapshot.version() == Version::NONE;
        let mut rng = Rand64::new(u128::from(seed));
        let next_pull_at = now.saturating_add(rng.rand_range(0..MAX_FIRST_PULL_DELAY));
        Replicator {
            me,
            role,
            rng,
            peers: Peers::default(),
            newest_known: verified.claim(),
            verified,
            installation: Installation::new(now, snapshot),
            behind_since: None,
            superseded: None,
            last_conflict: None,
            pending_pull: None,
            next_pull_at,
            retry_pull_at: None,
            needs_manifest: false,
            fetch_budget: settings.fetch_budget(now, is_empty),
            serve_budget: settings.serve_budget(now),
            transfer: None,
            open_polls: VecDeque::new(),
            polling: Polling::new(now, role, &settings),
            last_message_at: None,
            last_poll_at: None,
            counts: Counts::default(),
            effects: VecDeque::new(),
            settings,
        }
    }

    /// Sets the peers that are alive according to the membership; this process may be among them.
    pub fn set_peers(&mut self, peers: Peers) {
        self.peers = peers;
    }

    /// Removes and returns the next effect. The host must take all effects after each call.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Announces a version that this writer has stored.
    ///
    /// # Errors
    /// The reason why the version is not published; nothing has changed then.
    pub fn publish(
        &mut self,
        now: Nanos,
        delta: Arc<Delta>,
        snapshot: Snapshot,
    ) -> Result<(), PublishError> {
        let Role::Writer { epoch } = self.role else {
            return Err(PublishError::NotWriter);
        };
        if let Some(by) = self.superseded {
            return Err(PublishError::Superseded { by });
        }
        let (version, verified) = (snapshot.version(), self.verified.version());
        if version.epoch != epoch {
            return Err(PublishError::WrongEpoch { version, epoch });
        }
        if version <= verified {
            return Err(PublishError::NotNewer { version, verified });
        }
        self.verified.advance(snapshot.clone(), Arc::clone(&delta));
        self.installation.replace(now, snapshot);
        self.transfer = None;
        self.needs_manifest = false;
        self.behind_since = None;
        self.newest_known = self.newest_known_or_verified();
        self.polling.restart_schedule(now, &self.settings);
        self.announce(Some(&delta));
        Ok(())
    }

    /// Returns when to call [`Replicator::wake`] next.
    pub fn next_wake(&self) -> Option<Nanos> {
        let transfer = self
            .transfer
            .as_ref()
            .map(|transfer| transfer.next_wake(&self.fetch_budget));
        let polls = self.open_polls.iter().filter_map(OpenPoll::next_wake).min();
        let next_round = self.polling.next_wake().filter(|_| !self.has_open_round());
        let others = [
            self.retry_pull_at,
            transfer,
            polls,
            next_round,
            self.installation.next_wake(),
        ];
        others
            .into_iter()
            .flatten()
            .chain([self.next_pull_at])
            .min()
    }

    /// Runs every timer that is due.
    pub fn wake(&mut self, now: Nanos) {
        self.pull_if_due(now);
        self.fetch_if_due(now);
        self.poll_if_due(now);
        self.offer_if_due(now);
    }

    /// Handles a received message. `bytes` is its encoded length.
    pub fn handle_message(&mut self, now: Nanos, from: &MemberId, message: Message, bytes: usize) {
        self.last_message_at = Some(now);
        match message {
            Message::Announce { claim, delta } => self.handle_announce(now, from, claim, delta),
            Message::Pull {
                claim,
                max_answer_bytes,
                manifest_only,
            } => self.handle_pull(now, from, claim, max_answer_bytes, manifest_only),
            Message::Current { claim } => self.handle_current(now, from, claim),
            Message::Deltas { claim, deltas } => {
                self.handle_deltas(now, from, claim, &deltas, bytes)
            }
            Message::Manifest(manifest) => self.handle_manifest(now, from, manifest, bytes),
            Message::ChunkRequest { claim, buckets } => {
                self.handle_chunk_request(now, from, claim, &buckets)
            }
            Message::Chunk(chunk) => self.handle_chunk(now, from, chunk, bytes),
            Message::Unavailable { requested, claim } => {
                self.handle_unavailable(now, from, requested, claim)
            }
            Message::Poll(poll) => self.handle_poll(now, from, poll),
            Message::Report(report) => self.handle_report(now, from, report),
            Message::Superseded { by } => self.handle_superseded(now, from, by),
        }
    }

    /// Counts a message that could not be decoded.
    pub fn count_unreadable(&mut self) {
        self.counts.unreadable += 1;
    }

    fn send(&mut self, to: &MemberId, message: Message) {
        self.effects.push_back(Effect::Send {
            to: to.clone(),
            message,
        });
    }

    fn emit(&mut self, event: Event) {
        self.effects.push_back(Effect::Event(event));
    }

    fn newest_known_or_verified(&self) -> Claim {
        let verified = self.verified.claim();
        if verified.version > self.newest_known.version {
            verified
        } else {
            self.newest_known
        }
    }
}
