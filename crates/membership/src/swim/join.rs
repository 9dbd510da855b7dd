//! Joining: strangers are invited and challenged.
//!
//! Nobody is let in on a message alone: a stranger must answer a number that was drawn for it, so that a repeat of what
//! it once said lets nobody in.

use super::timers::Timer;
use super::{Contact, Membership, PendingAck, MAX_PENDING_ACKS, PENDING_ACK_PERIODS};
use crate::member::{Member, MemberId, MemberState};
use crate::message::Message;
use crate::Nanos;
use std::net::SocketAddr;

/// Periods between two invitations, unless we are alone.
const INVITATION_PERIODS: u64 = 5;

impl Membership {
    /// Sends a join to one address that no living member has, of the seeds and of the dead: each period while we are
    /// alone, else now and then. So a split that heals is noticed from either side.
    pub(super) fn invite_strangers(&mut self) {
        let is_alone = self.members.count_alive() == 0;
        if !is_alone && !self.periods.is_multiple_of(INVITATION_PERIODS) {
            return;
        }
        let addresses = self.stranger_addresses();
        let Some(address) = self.pick_address(&addresses) else {
            return;
        };
        let unknown = MemberId {
            name: String::new(),
            incarnation: 0,
        };
        let sender = self.me.clone();
        self.send(unknown, address, Message::Join { sender });
    }

    fn stranger_addresses(&self) -> Vec<SocketAddr> {
        let dead = self
            .members
            .dead()
            .filter(|known| known.member.state == MemberState::Dead)
            .map(|known| known.member.address);
        let is_met =
            |address: &SocketAddr| *address == self.me.address || self.members.is_alive_at(address);
        let addresses = self.seeds.iter().copied().chain(dead);
        addresses.filter(|address| !is_met(address)).collect()
    }

    fn pick_address(&mut self, addresses: &[SocketAddr]) -> Option<SocketAddr> {
        let index = self.random.rand_range(0..addresses.len().max(1) as u64) as usize;
        addresses.get(index).copied()
    }

    /// Pings a stranger, a new incarnation, or one that is thought dead, with a number that nobody could know before. A
    /// member that does not know us, or thinks us dead, gets a ping as well: it is its reason to challenge us.
    pub(super) fn challenge(&mut self, now: Nanos, id: &MemberId, address: SocketAddr) {
        let known = self.get(&id.name);
        let is_old = known.is_some_and(|known| id.incarnation < known.id.incarnation);
        let is_member = known.is_some_and(|known| known.id == *id && known.is_alive());
        let is_full = self.pending_acks.len() >= MAX_PENDING_ACKS;
        if is_old || id.name == self.me.id.name || is_full {
            return;
        }
        let nonce = self.draw_nonce();
        if !is_member {
            self.pending_acks
                .insert(nonce, PendingAck::Join(id.clone()));
            let expiry = now + PENDING_ACK_PERIODS * self.rules.period;
            self.timers.schedule(expiry, Timer::PendingAckExpiry(nonce));
        }
        let stranger = Contact {
            id: id.clone(),
            address,
        };
        self.ping(&stranger, nonce);
    }

    /// Lets a stranger in that answered its challenge, and asks it for what happened while we did not know each other.
    pub(super) fn admit(&mut self, now: Nanos, sender: Member, updates: Vec<Member>) {
        let (id, address) = (sender.id.clone(), sender.address);
        self.apply_update(now, sender, &id);
        if self.is_alive(&id) {
            self.apply_updates(now, updates, &id);
            self.fetch_table(&id, address);
        }
    }
}
