//! The messages of the replication between peers, and their bounded encoding.
//!
//! Sizes are checked before and while bytes are read. What is out of bounds is an error that the caller counts; no
//! message that cannot be read changes anything.

use crate::chunk::{Chunk, Manifest, MAX_CHUNK_BYTES};
use crate::digest::Digest;
use crate::interval::Interval;
use crate::snapshot::BUCKETS;
use crate::version::Version;
use serde::{Deserialize, Serialize};

/// The longest message: what a stream between peers carries, less its envelope.
pub const MAX_MESSAGE_BYTES: usize = (1 << 20) - 1_024;
/// The longest message that is sent as one datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1_000;
/// Names of peers that are behind in one report.
pub const MAX_NAMED_BEHIND: usize = 16;
/// Deltas in one message.
pub const MAX_DELTAS: usize = 1_024;
/// The longest name of a peer, and the longest end of an interval: one more.
const MAX_PEER_NAME_BYTES: usize = 64;

/// Which configuration somebody holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The version.
    pub version: Version,
    /// The digest of all its records.
    pub digest: Digest,
}

/// How a peer stands to a version that it does not have in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LagReason {
    /// An older one is in force.
    Behind(Version),
    /// The same version is in force, with other records: two writers made it.
    Differs,
    /// Its host could not take the version in.
    Rejected,
    /// It did not answer.
    Silent,
}

/// A peer that does not have the polled version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingPeer {
    /// The peer's name.
    pub name: String,
    /// How it stands to the version.
    pub lag_reason: LagReason,
}

/// How many of how many have a version in force, or a newer one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// How many have it.
    pub up_to_date: u32,
    /// How many were counted.
    pub total: u32,
    /// Names of those that do not have it, [`MAX_NAMED_BEHIND`] at most.
    pub behind: Vec<LaggingPeer>,
    /// Those that are behind beyond the named ones.
    pub unnamed_behind: u32,
}

/// The question how many of an interval have a version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// The number of the round, which the writer counts.
    pub round: u64,
    /// The version that is asked for.
    pub claim: Claim,
    /// The names that are asked.
    pub interval: Interval,
    /// How long the answer may take, in milliseconds.
    pub timeout_ms: u32,
}

/// The answer to a [`Poll`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The round of the poll.
    pub round: u64,
    /// The version that was asked for.
    pub version: Version,
    /// The names that were asked.
    pub interval: Interval,
    /// Who has it.
    pub tally: Tally,
}

/// One message between peers. Peers of other releases read it by the order of variants and fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A version is new here. The delta that leads to it is with it where it fits a datagram.
    Announce {
        /// The version that is new.
        claim: Claim,
        /// The encoded delta.
        delta: Option<Vec<u8>>,
    },
    /// What do you have? Answered by [`Message::Current`], [`Message::Deltas`], [`Message::Manifest`], or another
    /// pull where the asked one is behind itself.
    Pull {
        /// What the asker holds.
        claim: Claim,
        /// How many bytes the answer may have; 0 asks for the claim alone.
        max_answer_bytes: u32,
        /// Deltas did not apply: the manifest is wanted.
        manifest_only: bool,
    },
    /// This is what is held here, and nothing more comes.
    Current {
        /// What is held.
        claim: Claim,
    },
    /// Encoded deltas that lead on from what the asker has, and where all of them lead.
    Deltas {
        /// Where all of them lead.
        claim: Claim,
        /// Each encoded, in order.
        deltas: Vec<Vec<u8>>,
    },
    /// What a whole snapshot consists of.
    Manifest(Manifest),
    /// Asks for one chunk with some of these buckets.
    ChunkRequest {
        /// The snapshot.
        claim: Claim,
        /// Numbers of the buckets that are missing.
        buckets: Vec<u16>,
    },
    /// Some whole buckets of a snapshot.
    Chunk(Chunk),
    /// The wanted version is not held here, or no more is given away now.
    Unavailable {
        /// The version that was asked for.
        requested: Version,
        /// What is held instead.
        claim: Claim,
    },
    /// Asks who of an interval has a version in force.
    Poll(Poll),
    /// Answers a poll.
    Report(Report),
    /// A higher epoch is in force: its writer has replaced yours.
    Superseded {
        /// The version that is in force.
        by: Claim,
    },
}

/// Why bytes are no message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// More bytes than a message may have.
    #[error("a message of {found} bytes, {most} at most", most = MAX_MESSAGE_BYTES)]
    TooLong {
        /// How many there are.
        found: usize,
    },
    /// Bytes that are no such encoding.
    #[error("cut short or no such encoding: {0}")]
    Malformed(#[from] postcard::Error),
    /// Bytes after the end.
    #[error("{found} bytes too many at the end")]
    Trailing {
        /// How many.
        found: usize,
    },
    /// A field that no sender writes so.
    #[error("{field} is out of its bounds")]
    OutOfBounds {
        /// Its name.
        field: &'static str,
    },
}

impl Message {
    /// The bytes that [`Message::decode`] reads.
    ///
    /// # Errors
    /// Longer than a message may be.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let bytes = postcard::to_stdvec(self)?;
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong { found: bytes.len() });
        }
        Ok(bytes)
    }

    /// Reads a message. Memory grows with what was read, never with what a length states.
    ///
    /// # Errors
    /// Bytes that [`Message::encode`] does not write, or a field out of its bounds.
    pub fn decode(bytes: &[u8]) -> Result<Message, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong { found: bytes.len() });
        }
        let (message, rest) = postcard::take_from_bytes::<Message>(bytes)?;
        if !rest.is_empty() {
            return Err(MessageError::Trailing { found: rest.len() });
        }
        message.check()?;
        Ok(message)
    }

    fn check(&self) -> Result<(), MessageError> {
        match self {
            Message::Deltas { deltas, .. } => ensure(deltas.len() <= MAX_DELTAS, "deltas"),
            Message::Manifest(manifest) => ensure(manifest.buckets.len() == BUCKETS, "buckets"),
            Message::ChunkRequest { buckets, .. } => ensure(buckets.len() <= BUCKETS, "buckets"),
            Message::Chunk(chunk) => {
                ensure(chunk.buckets.len() <= BUCKETS, "buckets")?;
                ensure(chunk.body.len() <= MAX_CHUNK_BYTES, "body")
            }
            Message::Poll(poll) => check_interval(&poll.interval),
            Message::Report(report) => {
                check_interval(&report.interval)?;
                check_tally(&report.tally, &report.interval)
            }
            _ => Ok(()),
        }
    }
}

fn ensure(holds: bool, field: &'static str) -> Result<(), MessageError> {
    holds
        .then_some(())
        .ok_or(MessageError::OutOfBounds { field })
}

fn check_interval(interval: &Interval) -> Result<(), MessageError> {
    let fits = |end: &str| end.len() <= MAX_PEER_NAME_BYTES + 1;
    ensure(
        fits(&interval.from) && interval.to.as_deref().is_none_or(fits),
        "interval",
    )
}

fn check_tally(tally: &Tally, interval: &Interval) -> Result<(), MessageError> {
    ensure(tally.behind.len() <= MAX_NAMED_BEHIND, "behind")?;
    ensure(
        tally
            .behind
            .iter()
            .all(|peer| interval.contains(&peer.name)),
        "behind",
    )?;
    let behind = tally.unnamed_behind.checked_add(tally.behind.len() as u32);
    let sum = behind.and_then(|behind| behind.checked_add(tally.up_to_date));
    ensure(sum == Some(tally.total), "of")
}

impl Tally {
    /// Counts one peer that has the version.
    pub fn add_having(&mut self) {
        self.up_to_date = self.up_to_date.saturating_add(1);
        self.total = self.total.saturating_add(1);
    }

    /// Counts one peer that does not.
    pub fn add_behind(&mut self, name: &str, lag_reason: LagReason) {
        self.total = self.total.saturating_add(1);
        self.name_behind(LaggingPeer {
            name: name.to_string(),
            lag_reason,
        });
    }

    /// Counts what another has counted in an interval of its own.
    pub fn add(&mut self, other: Tally) {
        self.up_to_date = self.up_to_date.saturating_add(other.up_to_date);
        self.total = self.total.saturating_add(other.total);
        self.unnamed_behind = self.unnamed_behind.saturating_add(other.unnamed_behind);
        other
            .behind
            .into_iter()
            .for_each(|peer| self.name_behind(peer));
    }

    fn name_behind(&mut self, peer: LaggingPeer) {
        if self.behind.len() < MAX_NAMED_BEHIND {
            self.behind.push(peer);
        } else {
            self.unnamed_behind = self.unnamed_behind.saturating_add(1);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/message.rs"]
mod tests;
