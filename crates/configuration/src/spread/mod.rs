//! How a configuration reaches every sidecar, and how its writer learns that it did. No I/O; time and chance are
//! handed in, effects are left in a queue.
//!
//! Whoever newly holds a version tells a few random peers, with the delta where it fits a datagram, and no more after
//! that ([`gossip`]). Each process also asks one random peer a period what it has: that reaches whoever the first way
//! missed, was cut off or has restarted. Who is too far behind for deltas fetches the buckets that differ
//! ([`transfer`]), within a budget of bytes, from any peer that holds the same version. The writer polls the names in
//! disjoint intervals, each under a head that splits it on ([`acknowledge`]); nobody sends to all.
//!
//! **Held and in force.** What is *held* was verified by its digest and is passed on. What is *in force* was taken
//! over by the host, which answers each [`Effect::Install`] with [`Spreader::installed`] or [`Spreader::rejected`].
//! Only what is in force is acknowledged. So a host that rejects a version neither hides it from others nor fetches it
//! again, and a later version still finds its base. A sidecar stores nothing before it tells: an acknowledgement says
//! *in force*, never *on disk*. The writer stores before it calls [`Spreader::published`].
//!
//! **What holds always**: versions held and in force never fall; a version is held only with the digest that its
//! writer stated; of two contents of one version the first stays; nobody is counted twice in one round. **What holds
//! while enough can talk**: everybody gets the newest version, and reports are complete. Epochs are fenced by order
//! alone: a replaced writer stops when it hears of the higher epoch, and what it published meanwhile loses to it.
//!
//! Every map and queue is bounded: `effects` by one call, as the host empties it after each; `polls` by [`OPEN_POLLS`],
//! emptied by a finished or expired round; early deltas, recent snapshots and the history in [`held`]; peers by the
//! membership; names that are behind by [`MAX_BEHIND`].
//!
//! # Guards taken out by hand
//! See the tests in `tests/spread.rs`; its head lists which guard each of them was seen to miss.

mod acknowledge;
mod budget;
mod glance;
mod gossip;
mod held;
mod install;
mod peers;
mod poll;
mod rules;
mod transfer;

pub use self::acknowledge::BehindSince;
pub use self::glance::{Counts, Glance, RoundGlance, TransferGlance, WriterGlance};
pub use self::install::Rejection;
pub use self::peers::{region, Peer, Peers};
pub use self::rules::Rules;

use self::acknowledge::Polling;
use self::budget::Budget;
use self::held::Held;
use self::install::Installation;
use self::poll::OpenPoll;
use self::transfer::Transfer;
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
    Sidecar,
    /// Publishes the versions of one epoch.
    Writer {
        epoch: u64,
    },
}

/// What a process brings from before its start.
pub struct Kept {
    pub snapshot: Snapshot,
    /// Deltas that led to it, as far as they are kept.
    pub deltas: Vec<Arc<Delta>>,
}

/// What the host is to do.
#[derive(Clone, Debug)]
pub enum Effect {
    Send {
        to: MemberId,
        message: Message,
    },
    /// A whole new version; the host answers with [`Spreader::installed`] or [`Spreader::rejected`]. One that came
    /// before and was not answered yet is void.
    Install(Snapshot),
    Event(Event),
}

/// What an operator may want to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Another process holds the same version with other records: two writers share an epoch.
    Conflict {
        version: Version,
        held: Digest,
        other: Digest,
        from: MemberId,
    },
    /// This writer has been replaced and publishes no more.
    Superseded {
        by: Claim,
    },
    Rejected(Rejection),
    /// A whole snapshot is being fetched; so many buckets are missing.
    TransferBegan {
        version: Version,
        missing: usize,
    },
    TransferDone {
        version: Version,
    },
    /// The source of a transfer was silent, refused or sent something wrong; another one takes its place.
    SourceChanged {
        version: Version,
        from: MemberId,
    },
    TransferFailed {
        version: Version,
    },
}

/// Why a version was not published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    #[error("this process is not the writer")]
    NotWriter,
    #[error("version {} is in force elsewhere; another writer has taken over and this one publishes no more", by.version)]
    Superseded { by: Claim },
    #[error("version {version} is not newer than {held}, which is held")]
    NotNewer { version: Version, held: Version },
    #[error("version {version} is not of epoch {epoch}, which this writer has")]
    WrongEpoch { version: Version, epoch: u64 },
}

/// One process's part in the spread of configurations.
pub struct Spreader {
    me: Peer,
    role: Role,
    rules: Rules,
    chance: Rand64,
    peers: Peers,
    held: Held,
    installation: Installation,
    /// The newest version heard of, and since when it has not been in force here.
    newest_heard: Claim,
    behind_since: Option<Nanos>,
    /// By whom this writer was replaced.
    superseded: Option<Claim>,
    /// The last contradiction that was told as an event.
    conflict: Option<Claim>,
    asked: Option<gossip::Asked>,
    next_pull: Nanos,
    /// When to ask again, where an answer was of no use or the budget was spent.
    retry_at: Option<Nanos>,
    /// Deltas did not apply, so that the next answer must be a manifest.
    wants_whole: bool,
    fetching: Budget,
    serving: Budget,
    transfer: Option<Transfer>,
    /// Rounds in which this process is a head.
    polls: VecDeque<OpenPoll>,
    polling: Polling,
    heard_at: Option<Nanos>,
    polled_at: Option<Nanos>,
    counts: Counts,
    effects: VecDeque<Effect>,
}

impl Spreader {
    pub fn new(now: Nanos, seed: u64, me: Peer, role: Role, kept: Kept, rules: Rules) -> Spreader {
        let mut history = History::new(rules.history_deltas, rules.history_bytes);
        kept.deltas
            .into_iter()
            .for_each(|delta| history.push(delta));
        let held = Held::new(kept.snapshot.clone(), history);
        let starts_empty = kept.snapshot.version() == Version::NONE;
        let first = if starts_empty {
            rules.fetch_start_bytes
        } else {
            rules.fetch_burst_bytes
        };
        let mut chance = Rand64::new(u128::from(seed));
        let next_pull = now.saturating_add(chance.rand_range(0..FIRST_PULL));
        Spreader {
            me,
            role,
            chance,
            peers: Peers::default(),
            newest_heard: held.claim(),
            held,
            installation: Installation::new(now, kept.snapshot),
            behind_since: None,
            superseded: None,
            conflict: None,
            asked: None,
            next_pull,
            retry_at: None,
            wants_whole: false,
            fetching: Budget::new(now, rules.fetch_bytes_per_s, rules.fetch_burst_bytes, first),
            serving: Budget::new(
                now,
                rules.serve_bytes_per_s,
                rules.serve_burst_bytes,
                rules.serve_burst_bytes,
            ),
            transfer: None,
            polls: VecDeque::new(),
            polling: Polling::new(now, role, &rules),
            heard_at: None,
            polled_at: None,
            counts: Counts::default(),
            effects: VecDeque::new(),
            rules,
        }
    }

    /// Who lives, as the membership has it; this process may be among them.
    pub fn peers(&mut self, peers: Peers) {
        self.peers = peers;
    }

    /// What the host is to do next. It empties this after each call.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Passes on a version that this writer has stored.
    ///
    /// # Errors
    /// Why it is not passed on; nothing has changed then.
    pub fn published(
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
        let (version, held) = (snapshot.version(), self.held.version());
        if version.epoch != epoch {
            return Err(PublishError::WrongEpoch { version, epoch });
        }
        if version <= held {
            return Err(PublishError::NotNewer { version, held });
        }
        self.held.advance(snapshot.clone(), Arc::clone(&delta));
        self.installation.replace(now, snapshot);
        self.transfer = None;
        self.wants_whole = false;
        self.behind_since = None;
        self.newest_heard = self.newest_heard_or_held();
        self.polling.published(now, &self.rules);
        self.announce(Some(&delta));
        Ok(())
    }

    /// When [`Spreader::wake`] is due.
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
    pub fn heard(&mut self, now: Nanos, from: &MemberId, message: Message, bytes: usize) {
        self.heard_at = Some(now);
        match message {
            Message::Announce { claim, delta } => self.heard_announce(now, from, claim, delta),
            Message::Pull { claim, room, whole } => self.heard_pull(now, from, claim, room, whole),
            Message::Current { claim } => self.heard_current(now, from, claim),
            Message::Deltas { claim, deltas } => {
                self.heard_deltas(now, from, claim, &deltas, bytes)
            }
            Message::Manifest(manifest) => self.heard_manifest(now, from, manifest, bytes),
            Message::Want { claim, buckets } => self.heard_want(now, from, claim, &buckets),
            Message::Chunk(chunk) => self.heard_chunk(now, from, chunk, bytes),
            Message::Unavailable { wanted, claim } => {
                self.heard_unavailable(now, from, wanted, claim)
            }
            Message::Poll(poll) => self.heard_poll(now, from, poll),
            Message::Report(report) => self.heard_report(now, from, report),
            Message::Superseded { by } => self.heard_superseded(now, from, by),
        }
    }

    /// Counts a message that could not be read.
    pub fn unreadable(&mut self) {
        self.counts.unreadable += 1;
    }

    fn send(&mut self, to: &MemberId, message: Message) {
        self.effects.push_back(Effect::Send {
            to: to.clone(),
            message,
        });
    }

    fn tell(&mut self, event: Event) {
        self.effects.push_back(Effect::Event(event));
    }

    fn newest_heard_or_held(&self) -> Claim {
        let held = self.held.claim();
        if held.version > self.newest_heard.version {
            held
        } else {
            self.newest_heard
        }
    }
}
