//! What the membership reports to the rest of the program.

use crate::member::MemberId;

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A member is there that was not: it answered a number drawn for it.
    Joined(MemberId),
    /// A member answered neither a ping nor a ping request.
    Suspected(MemberId),
    /// A suspected member has refuted the suspicion.
    Refuted(MemberId),
    /// A member is dead: it did not refute a suspicion in time, or a later incarnation took its place.
    Lost(MemberId),
    /// A member said that it leaves.
    Left(MemberId),
    /// Our name was known under a later incarnation than ours, from before a start with a clock that was set back. Ours
    /// is higher now.
    IncarnationRaised(MemberId),
}
