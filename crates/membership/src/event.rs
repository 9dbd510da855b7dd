//! The membership changes that are reported to the rest of the program.

use crate::member::MemberId;

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A member is alive that was unknown or dead before. It has answered the challenge of this member or of another
    /// one.
    Joined(MemberId),
    /// A member answered neither a direct ping nor an indirect one.
    Suspected(MemberId),
    /// A suspected member has refuted the suspicion.
    Refuted(MemberId),
    /// A member is dead: it did not refute a suspicion in time, or a later incarnation has replaced it.
    Lost(MemberId),
    /// A member announced that it is leaving.
    Left(MemberId),
    /// Other members knew our name under a later incarnation than ours, from a start before the clock was set back.
    /// Ours is now the higher one; the event holds it.
    IncarnationRaised(MemberId),
}
