//! Dissemination: which updates are piggybacked on a message to a member.

use super::update_queue::OfferOutcome;
use super::Membership;
use crate::frame::max_body_bytes;
use crate::member::{Member, MemberId, MemberState};

/// How often an update is sent for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;
/// Bytes of a message that updates leave free, for the sender's own entry and the fields around the updates.
const RESERVED_BYTES: usize = 400;

/// The number of bytes that are left in a message.
pub(super) struct Budget {
    remaining: usize,
}

impl Budget {
    /// Makes the budget of a datagram between these two members, less the reserved bytes.
    pub fn new(from: &MemberId, to: &MemberId, reserved: usize) -> Budget {
        Budget {
            remaining: max_body_bytes(from, to).saturating_sub(reserved),
        }
    }

    /// Uses up this many bytes. Returns false if fewer are left.
    pub fn try_use(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.remaining;
        if fits {
            self.remaining -= bytes;
        }
        fits
    }
}

impl Membership {
    /// Returns the updates that were sent least often, as many as fit. The first one is the update that the receiver
    /// has to refute, if any.
    pub(super) fn select_updates(&mut self, to: &MemberId) -> Vec<Member> {
        let mut budget = Budget::new(&self.me.id, to, RESERVED_BYTES);
        let mut selected = Vec::new();
        selected.extend(self.update_to_refute(to, &mut budget));
        let members = &self.members;
        let max_sends = max_sends(members.len());
        self.updates.fill(max_sends, |name| {
            let Some((member, size)) = members.get_with_size(name) else {
                return OfferOutcome::Obsolete;
            };
            if name == to.name {
                return OfferOutcome::Skipped;
            }
            if !budget.try_use(size) {
                return OfferOutcome::TooLong;
            }
            selected.push(member.clone());
            OfferOutcome::Added
        });
        selected
    }

    /// Returns the update that the receiver has to refute: its own entry, if that says anything but alive, and if it
    /// fits.
    fn update_to_refute(&self, to: &MemberId, budget: &mut Budget) -> Option<Member> {
        let (member, size) = self.members.get_with_size(&to.name)?;
        let is_refutable =
            member.state != MemberState::Alive && member.id.incarnation >= to.incarnation;
        (is_refutable && budget.try_use(size)).then(|| member.clone())
    }
}

/// Returns how often an update is sent, given the number of other members.
fn max_sends(known: usize) -> u32 {
    let doublings = (known as f64 + 2.0).log2().ceil();
    SENDS_PER_DOUBLING * doublings as u32
}
