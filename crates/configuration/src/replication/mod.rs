//! How a configuration reaches every sidecar, and how its writer learns that it did. No I/O; time and chance are
//! handed in, effects are left in a queue.
//!
//! Whoever newly holds a version tells a few random peers, with the delta where it fits a datagram, and no more after
//! that (`gossip`). Each process also asks one random peer a period what it has: that reaches whoever the first way
//! missed, was cut off or has restarted. Who is too far behind for deltas fetches the buckets that differ
//! (`transfer`), within a budget of bytes, from any peer that holds the same version. The writer polls the names in
//! disjoint intervals, each under a head that splits it on (`acknowledgement`); nobody sends to all.
//!
//! **Verified and in force.** What is *verified* has the digest that its writer stated, and is passed on. What is *in
//! force* was taken over by the host, which answers each [`Effect::Install`] with [`Replicator::confirm_installed`] or
//! [`Replicator::report_rejected`].
//! Only what is in force is acknowledged. So a host that rejects a version neither hides it from others nor fetches it
//! again, and a later version still finds its base. A sidecar stores nothing before it tells: an acknowledgement says
//! *in force*, never *on disk*. The writer stores before it calls [`Replicator::publish`].
//!
//! **What holds always**: versions verified and in force never fall; a version is verified only with the digest that its
//! writer stated; of two contents of one version the first stays; nobody is counted twice in one round. **What holds
//! while enough can talk**: everybody gets the newest version, and reports are complete. Epochs are fenced by order
//! alone: a replaced writer stops when it hears of the higher epoch, and what it published meanwhile loses to it.
//!
//! Every map and queue is bounded: `effects` by one call, as the host empties it after each; `polls` by `OPEN_POLLS`,
//! emptied by a finished or expired round; early deltas, recent snapshots and the history in `verified`; peers by the
//! membership; names that are behind by [`MAX_NAMED_BEHIND`](crate::message::MAX_NAMED_BEHIND).
//!
//! # Tests of each guard
//! See `tests/replication.rs` of the package `havenplank-configuration-simulation`; its head lists which guard each test
//! was seen to miss.

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

/// Whole nanoseconds on this process's own monotonic clock, or a span.
pub type Nanos = u64;

/// Rounds of polls open at once at one head; where there are more, the oldest is dropped and its parent takes another.
const OPEN_POLLS: usize = 8;
/// The first pull comes within this time of the start, scattered, so that a fleet that starts as one does not ask as one.
const FIRST_PULL: Nanos = 100_000_000;

/// What a process does with configurations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes versions over.
    Sidecar,
    /// Publishes the versions of one epoch.
    Writer {
        /// The epoch.
        epoch: u64,
    },
}

/// What a process brings from before its start.
pub struct CachedConfiguration {
    /// The version that was in force, or none.
    pub snapshot: Snapshot,
    /// Deltas that led to it, as far as they are kept.
    pub deltas: Vec<Arc<Delta>>,
}

/// What the host is to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends a message to a peer; it may be lost.
    Send {
        /// The peer.
        to: MemberId,
        /// What it is told.
        message: Message,
    },
    /// A whole new version; the host answers with [`Replicator::confirm_installed`] or [`Replicator::report_rejected`]. One that came
    /// before and was not answered yet is void.
    Install(Snapshot),
    /// Tells operators.
    Event(Event),
}

/// What an operator may want to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Another process holds the same version with other records: two writers share an epoch.
    Conflict {
        /// The version.
        version: Version,
        /// The digest of its records here.
        verified: Digest,
        /// The digest that the other one claims.
        other: Digest,
        /// The other process.
        from: MemberId,
    },
    /// This writer has been replaced and publishes no more.
    Superseded {
        /// The version that shows it.
        by: Claim,
    },
    /// The host could not take a version in.
    Rejected(Rejection),
    /// A whole snapshot is being fetched.
    TransferBegan {
        /// Its version.
        version: Version,
        /// Buckets that are missing.
        missing: usize,
    },
    /// A whole snapshot was fetched and verified.
    TransferDone {
        /// Its version.
        version: Version,
    },
    /// The source of a transfer was silent, refused or sent something wrong; another one takes its place.
    SourceChanged {
        /// The version that is fetched.
        version: Version,
        /// The source that is given up.
        from: MemberId,
    },
    /// No source gave the whole snapshot; the next pull may begin another transfer.
    TransferFailed {
        /// Its version.
        version: Version,
    },
}

/// Why a version was not published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// Sidecars publish nothing.
    #[error("this process is not the writer")]
    NotWriter,
    /// Another writer has taken over.
    #[error("version {} is in force elsewhere; another writer has taken over and this one publishes no more", by.version)]
    Superseded {
        /// The version that shows it.
        by: Claim,
    },
    /// A version that is not newer than what is here.
    #[error("version {version} is not newer than {verified}, which is held")]
    NotNewer {
        /// The version to be published.
        version: Version,
        /// The newest one here.
        verified: Version,
    },
    /// A version of another epoch.
    #[error("version {version} is not of epoch {epoch}, which this writer has")]
    WrongEpoch {
        /// The version to be published.
        version: Version,
        /// The epoch of this writer.
        epoch: u64,
    },
}

/// The part of one process in the replication of configurations.
pub struct Replicator {
    me: Peer,
    role: Role,
    settings: ReplicationSettings,
    rng: Rand64,
    peers: Peers,
    verified: VerifiedVersions,
    installation: Installation,
    /// The newest version heard of, and since when it has not been in force here.
    newest_known: Claim,
    behind_since: Option<Nanos>,
    /// By whom this writer was replaced.
    superseded: Option<Claim>,
    /// The last contradiction that was told as an event.
    conflict: Option<Claim>,
    pending_pull: Option<gossip::PendingPull>,
    next_pull: Nanos,
    /// When to ask again, where an answer was of no use or the budget was spent.
    retry_at: Option<Nanos>,
    /// Deltas did not apply, so that the next answer must be a manifest.
    needs_manifest: bool,
    fetching: Budget,
    serving: Budget,
    transfer: Option<Transfer>,
    /// Rounds in which this process is a head.
    polls: VecDeque<OpenPoll>,
    polling: Polling,
    last_message_at: Option<Nanos>,
    last_poll_at: Option<Nanos>,
    counts: Counts,
    effects: VecDeque<Effect>,
}

impl Replicator {
    /// Returns the part of process `me`, which begins at `now` with what it cached and draws from `seed`.
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
        let next_pull = now.saturating_add(rng.rand_range(0..FIRST_PULL));
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
            conflict: None,
            pending_pull: None,
            next_pull,
            retry_at: None,
            needs_manifest: false,
            fetching: settings.fetch_budget(now, is_empty),
            serving: settings.serve_budget(now),
            transfer: None,
            polls: VecDeque::new(),
            polling: Polling::new(now, role, &settings),
            last_message_at: None,
            last_poll_at: None,
            counts: Counts::default(),
            effects: VecDeque::new(),
            settings,
        }
    }

    /// Sets the peers that live, as the membership has them; this process may be among them.
    pub fn set_peers(&mut self, peers: Peers) {
        self.peers = peers;
    }

    /// Takes out what the host is to do next. It empties this after each call.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Passes on a version that this writer has stored.
    ///
    /// # Errors
    /// Why it is not passed on; nothing has changed then.
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

    /// Returns when [`Replicator::wake`] is due.
    pub fn next_wake(&self) -> Option<Nanos> {
        let transfer = self
            .transfer
            .as_ref()
            .map(|transfer| transfer.next_wake(&self.fetching));
        let polls = self.polls.iter().filter_map(OpenPoll::next_wake).min();
        let next_round = self.polling.next_wake().filter(|_| !self.has_open_round());
        let others = [
            self.retry_at,
            transfer,
            polls,
            next_round,
            self.installation.next_wake(),
        ];
        others.into_iter().flatten().chain([self.next_pull]).min()
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Nanos) {
        self.pull_where_due(now);
        self.fetch_where_due(now);
        self.poll_where_due(now);
        self.offer_where_due(now);
    }

    /// Takes in a message. `bytes` is its encoded length.
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

    /// Counts a message that could not be read.
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
