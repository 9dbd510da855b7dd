//! Why received frames were rejected, and how many.

use std::collections::BTreeMap;

/// Why a received frame was rejected. A rejected frame has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rejection {
    /// It is longer than the limit of its channel.
    TooLong,
    /// It is shorter than any frame.
    TooShort,
    /// It has another protocol version, or was sealed for the other channel.
    WrongVersionOrChannel,
    /// Its authentication tag matches none of the keys: the frame is forged, truncated, or of another group.
    BadTag,
    /// It is authentic but cannot be decoded, or holds an invalid name.
    Malformed,
    /// It is addressed to another member or to another incarnation of this one, or claims to be from this member.
    WrongReceiver,
    /// Its sequence number was received before, or is too old to tell whether it was.
    Repeated,
    /// It is from an incarnation that a later one has replaced.
    OldIncarnation,
    /// No package in this process accepts this kind of message.
    UnknownKind,
    /// Its sender is not a living member or does not match the envelope, or it answers no pending ping.
    NotAMember,
}

/// The number of rejected frames, by reason.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounts(BTreeMap<Rejection, u64>);

impl RejectionCounts {
    /// Counts one frame.
    pub fn add(&mut self, reason: Rejection) {
        *self.0.entry(reason).or_default() += 1;
    }

    /// Returns the number of frames that were rejected for this reason.
    pub fn count(&self, reason: Rejection) -> u64 {
        self.0.get(&reason).copied().unwrap_or(0)
    }

    /// Returns the number of frames that were rejected for any reason.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}
