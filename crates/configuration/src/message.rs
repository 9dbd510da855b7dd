//! The messages that peers exchange to replicate the configuration, and their encoding with size limits.
//!
//! Sizes are checked before and while bytes are read. A message that exceeds a limit or cannot be read is an error,
//! which the caller counts; such a message changes nothing.

use crate::chunk::{Chunk, Manifest, MAX_CHUNK_BYTES};
use crate::digest::Digest;
use crate::interval::Interval;
use crate::snapshot::BUCKETS;
use crate::version::Version;
use serde::{Deserialize, Serialize};

/// Longest encoded message, in bytes: the longest frame of a stream between peers, less 1,024 bytes for its envelope.
pub const MAX_MESSAGE_BYTES: usize = (1 << 20) - 1_024;
/// Longest message that is sent as one datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_000;
/// Maximum number of lagging peers that one report names; further ones are only counted.
pub const MAX_NAMED_BEHIND: usize = 16;
/// Maximum number of deltas in one message.
pub const MAX_DELTAS: usize = 1_024;
/// Longest name of a peer, in bytes. An end of an interval may be one byte longer, because the first name above a given
/// one is that name with a zero byte appended.
const MAX_PEER_NAME_BYTES: usize = 64;

/// The configuration that a peer states it has: its version and its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The version.
    pub version: Version,
    /// The digest of all its records.
    pub digest: Digest,
}

/// Why a peer does not have the polled version in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LagReason {
    /// An older version is in force.
    Behind(Version),
    /// The same version is in force with other records: two writers have published it.
    Differs,
    /// The host of the peer rejected the version.
    Rejected,
    /// The peer did not answer the poll.
    Silent,
}

/// A peer that does not have the polled version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingPeer {
    /// The peer's name.
    pub name: String,
    /// Why it does not have the version in force.
    pub lag_reason: LagReason,
}

/// Counts the peers that have a version or a newer one in force, and those that do not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Peers that have the version or a newer one in force.
    pub up_to_date: u32,
    /// All peers counted.
    pub total: u32,
    /// Peers that do not have it; at most [`MAX_NAMED_BEHIND`] are named.
    pub behind: Vec<LaggingPeer>,
    /// How many further peers do not have it.
    pub unnamed_behind: u32,
}

/// Asks how many peers of an interval of names have a version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// The number of the polling round; the writer counts its rounds.
    pub round: u64,
    /// The version that the poll is about.
    pub claim: Claim,
    /// The interval of names that is polled.
    pub interval: Interval,
    /// Time within which the answer must arrive, in milliseconds.
    pub timeout_ms: u32,
}

/// The answer to a [`Poll`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The round of the poll.
    pub round: u64,
    /// The version that the poll was about.
    pub version: Version,
    /// The interval of names that was polled.
    pub interval: Interval,
    /// How many peers of the interval have the version in force.
    pub tally: Tally,
}

/// One message between peers. The order of variants and fields is part of the encoding, and peers of other releases
/// depend on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Announces a version that is new at the sender, with the delta that leads to it if the delta fits a datagram.
    Announce {
        /// The new version.
        claim: Claim,
        /// The encoded delta.
        delta: Option<Vec<u8>>,
    },
    /// Asks a peer which version it has. The peer answers with [`Message::Current`], [`Message::Deltas`] or
    /// [`Message::Manifest`]; if it is behind the sender, it also sends a pull of its own.
    Pull {
        /// The newest version that the sender has verified.
        claim: Claim,
        /// Maximum size of the answer, in bytes; 0 requests the claim alone.
        max_answer_bytes: u32,
        /// Set if deltas did not apply at the sender, so that only a manifest helps.
        manifest_only: bool,
    },
    /// Answers a pull with the sender's version alone; no deltas and no manifest follow.
    Current {
        /// The newest version that the sender has verified.
        claim: Claim,
    },
    /// Answers a pull with deltas that continue from the requester's version.
    Deltas {
        /// The newest version of the sender; these deltas may end before it.
        claim: Claim,
        /// The encoded deltas, in the order in which they apply.
        deltas: Vec<Vec<u8>>,
    },
    /// Answers a pull with the digests of all buckets of the newest snapshot.
    Manifest(Manifest),
    /// Asks for one chunk with as many of these buckets as fit.
    ChunkRequest {
        /// The snapshot.
        claim: Claim,
        /// Numbers of the buckets that the sender lacks.
        buckets: Vec<u16>,
    },
    /// Some buckets of a snapshot, each complete.
    Chunk(Chunk),
    /// Answers a chunk request if the sender does not have the snapshot or its budget for serving others is spent.
    Unavailable {
        /// The version of the requested snapshot.
        requested: Version,
        /// The newest version that the sender has verified.
        claim: Claim,
    },
    /// Asks which peers of an interval have a version in force.
    Poll(Poll),
    /// Answers a poll.
    Report(Report),
    /// Tells a peer that the epoch of its version has been replaced by a higher one.
    Superseded {
        /// The version of the higher epoch.
        by: Claim,
    },
}

/// Why a message cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    #[error("message has {found} bytes, at most {limit} are allowed", limit = MAX_MESSAGE_BYTES)]
    TooLong {
        /// Its length, in bytes.
        found: usize,
    },
    /// The bytes are truncated or not the encoding of a message.
    #[error("message is truncated or not validly encoded: {0}")]
    Malformed(#[from] postcard::Error),
    /// Bytes follow the end of the message.
    #[error("message is followed by {found} unexpected bytes")]
    Trailing {
        /// How many bytes follow.
        found: usize,
    },
    /// A field has a value that no sender writes.
    #[error("field {field} of the message is out of bounds")]
    OutOfBounds {
        /// The name of the field.
        field: &'static str,
    },
}

impl Message {
    /// Returns the bytes that [`Message::decode`] reads.
    ///
    /// # Errors
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let bytes = postcard::to_stdvec(self)?;
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong { found: bytes.len() });
        }
        Ok(bytes)
    }

    /// Decodes a message. Memory grows with the bytes that were read, never with a length that the bytes merely state.
    ///
    /// # Errors
    /// The bytes are not the encoding of a message, or a field is out of bounds.
    pub fn decode(bytes: &[u8]) -> Result<Message, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong { found: bytes.len() });
        }
        let (message, trailing) = postcard::take_from_bytes::<Message>(bytes)?;
        if !trailing.is_empty() {
            return Err(MessageError::Trailing {
                found: trailing.len(),
            });
        }
        message.check_bounds()?;
        Ok(message)
    }

    fn check_bounds(&self) -> Result<(), MessageError> {
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

fn ensure(is_valid: bool, field: &'static str) -> Result<(), MessageError> {
    is_valid
        .then_some(())
        .ok_or(MessageError::OutOfBounds { field })
}

fn check_interval(interval: &Interval) -> Result<(), MessageError> {
    let has_valid_length = |end: &str| end.len() <= MAX_PEER_NAME_BYTES + 1;
    ensure(
        has_valid_length(&interval.from) && interval.to.as_deref().is_none_or(has_valid_length),
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
    let total = behind.and_then(|behind| behind.checked_add(tally.up_to_date));
    // Logs and `GET /state` also name the total `of`.
    ensure(total == Some(tally.total), "of")
}

impl Tally {
    /// Counts one peer that has the version.
    pub fn add_up_to_date(&mut self) {
        self.up_to_date = self.up_to_date.saturating_add(1);
        self.total = self.total.saturating_add(1);
    }

    /// Counts one peer that does not have the version.
    pub fn add_behind(&mut self, name: &str, lag_reason: LagReason) {
        self.total = self.total.saturating_add(1);
        self.push_behind(LaggingPeer {
            name: name.to_string(),
            lag_reason,
        });
    }

    /// Adds the counts of another interval.
    pub fn add(&mut self, other: Tally) {
        self.up_to_date = self.up_to_date.saturating_add(other.up_to_date);
        self.total = self.total.saturating_add(other.total);
        self.unnamed_behind = self.unnamed_behind.saturating_add(other.unnamed_behind);
        other
            .behind
            .into_iter()
            .for_each(|peer| self.push_behind(peer));
    }

    fn push_behind(&mut self, peer: LaggingPeer) {
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
