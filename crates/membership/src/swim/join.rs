//! Joining: sends joins to non-members, and challenges the non-members that send a join or a ping.
//!
//! A message alone makes no sidecar a member: a non-member must answer a ping with a nonce that was drawn for it, so
//! that a replay of its earlier messages admits no one.

use super::timers::Timer;
use super::{Contact, Membership, PendingAck, MAX_PENDING_ACKS, PENDING_ACK_PERIODS};
use crate::member::{Member, MemberId, MemberState};
use crate::message::Message;
use crate::Nanos;
use std::net::SocketAddr;

/// Periods between two joins, unless no other member is alive.
const JOIN_PERIODS: u64 = 5;

impl Membership {
    /// Sends a join to one of the addresses at which no living member is known, taken from the seed addresses and the
    /// dead members: in each period while no other member is alive, otherwise every [`JOIN_PERIODS`] periods. So either
    /// side of a network partition notices that it has healed.
    pub(super) fn send_join(&mut self) {
        let is_alone = self.members.count_alive() == 0;
        if !is_alone && !self.periods.is_multiple_of(JOIN_PERIODS) {
            return;
        }
        let addresses = self.non_member_addresses();
        let Some(address) = self.draw_address(&addresses) else {
            return;
        };
        let unknown = MemberId {
            name: String::new(),
            incarnation: 0,
        };
        let sender = self.me.clone();
        self.send(unknown, address, Message::Join { sender });
    }

    fn non_member_addresses(&self) -> Vec<SocketAddr> {
        let dead = self
            .members
            .dead()
            .filter(|known| known.member.state == MemberState::Dead)
            .map(|known| known.member.address);
        let is_known =
            |address: &SocketAddr| *address == self.me.address || self.members.is_alive_at(address);
        let addresses = self.seed_addresses.iter().copied().chain(dead);
        addresses.filter(|address| !is_known(address)).collect()
    }

    fn draw_address(&mut self, addresses: &[SocketAddr]) -> Option<SocketAddr> {
        let index = self.random.rand_range(0..addresses.len().max(1) as u64) as usize;
        addresses.get(index).copied()
    }

    /// Pings a non-member, a new incarnation or a member that is considered dead, with a nonce that it cannot know in
    /// advance. A living member that sends a join is pinged as well: it does not know us or considers us dead, and the
    /// ping makes it challenge us.
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
        let contact = Contact {
            id: id.clone(),
            address,
        };
        self.ping(&contact, nonce);
    }

    /// Makes a non-member that answered its challenge a member, and fetches its table to learn what changed while the
    /// two did not know each other.
    pub(super) fn admit(&mut self, now: Nanos, sender: Member, updates: Vec<Member>) {
        let (id, address) = (sender.id.clone(), sender.address);
        self.apply_update(now, sender, &id);
        if self.is_alive(&id) {
            self.apply_updates(now, updates, &id);
            self.fetch_table(&id, address);
        }
    }
}
