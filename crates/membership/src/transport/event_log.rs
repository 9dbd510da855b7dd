//! Logs changes of the membership.

use crate::event::MemberEvent;
use crate::member::MemberId;

/// Logs a change of the membership as one line at level info.
pub fn log_event(event: MemberEvent) {
    let (phrase, MemberId { name, incarnation }) = match event {
        MemberEvent::Joined(id) => ("member joined", id),
        MemberEvent::Suspected(id) => ("member suspected", id),
        MemberEvent::Refuted(id) => ("member refuted suspicion", id),
        MemberEvent::Lost(id) => ("member lost", id),
        MemberEvent::Left(id) => ("member left", id),
        MemberEvent::IncarnationRaised(id) => (
            "own incarnation raised above the one that other members know",
            id,
        ),
    };
    tracing::info!(member = name, incarnation, "{phrase}");
}
