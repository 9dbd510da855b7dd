//! Why a frame that came in changed nothing, and how often.

use std::collections::BTreeMap;

/// Why a frame changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rejection {
    /// It is longer than any frame of its channel.
    TooLong,
    /// It is shorter than any frame.
    TooShort,
    /// It has another version, or was meant for the other channel.
    WrongVersionOrChannel,
    /// Its authentication tag fits none of the keys: forged, cut, or of another group.
    BadTag,
    /// It is authentic and cannot be decoded.
    Malformed,
    /// It is meant for another member, or for an earlier incarnation of this one.
    WrongReceiver,
    /// Its sequence number came before, or is too old to tell.
    Repeated,
    /// It is from an incarnation that a later one has followed.
    OldIncarnation,
    /// Nobody here reads this kind of message.
    UnknownKind,
    /// It is from somebody who is not a member.
    NotAMember,
}

/// The number of frames that changed nothing, by reason.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounts(BTreeMap<Rejection, u64>);

impl RejectionCounts {
    /// Counts one frame.
    pub fn add(&mut self, reason: Rejection) {
        *self.0.entry(reason).or_default() += 1;
    }

    /// Returns the number of frames with this reason.
    pub fn count(&self, reason: Rejection) -> u64 {
        self.0.get(&reason).copied().unwrap_or(0)
    }

    /// Returns the number of frames with any reason.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}
