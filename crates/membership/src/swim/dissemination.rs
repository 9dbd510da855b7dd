//! Dissemination: which updates ride on a message to a member.

use super::update_queue::Offer;
use super::Membership;
use crate::frame::max_body_bytes;
use crate::member::{Member, MemberId, MemberState};

/// How often an update is sent, for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;
/// Bytes of a message that updates leave free: the sender's own entry, and the fields around the updates.
const RESERVED_BYTES: usize = 400;

/// The bytes that are left in a message.
pub(super) struct Budget {
    remaining: usize,
}

impl Budget {
    /// The budget of a datagram between these two, with so many bytes kept free.
    pub fn new(from: &MemberId, to: &MemberId, reserved: usize) -> Budget {
        Budget {
            remaining: max_body_bytes(from, to).saturating_sub(reserved),
        }
    }

    /// Takes so many bytes, if they are left.
    pub fn take(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.remaining;
        if fits {
            self.remaining -= bytes;
        }
        fits
    }
}

impl Membership {
    /// Returns the updates that have been sent least, as many as fit; first what the receiver has to refute.
    pub(super) fn select_updates(&mut self, to: &MemberId) -> Vec<Member> {
        let mut budget = Budget::new(&self.me.id, to, RESERVED_BYTES);
        let mut selected = Vec::new();
        selected.extend(self.update_to_refute(to, &mut budget));
        let members = &self.members;
        let max_sends = max_sends(members.len());
        self.updates.fill(max_sends, |name| {
            let Some((member, size)) = members.get_with_size(name) else {
                return Offer::Obsolete;
            };
            if name == to.name {
                return Offer::Skipped;
            }
            if !budget.take(size) {
                return Offer::Misfit;
            }
            selected.push(member.clone());
            Offer::Taken
        });
        selected
    }

    /// What is held against the receiver, if anything is and it fits.
    fn update_to_refute(&self, to: &MemberId, budget: &mut Budget) -> Option<Member> {
        let (member, size) = self.members.get_with_size(&to.name)?;
        let is_refutable =
            member.state != MemberState::Alive && member.id.incarnation >= to.incarnation;
        (is_refutable && budget.take(size)).then(|| member.clone())
    }
}

/// How often an update is sent where so many others are known.
fn max_sends(known: usize) -> u32 {
    let doublings = (known as f64 + 2.0).log2().ceil();
    SENDS_PER_DOUBLING * doublings as u32
}
