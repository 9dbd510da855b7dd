//! Indirect probes: other members ping a target that does not answer us, since the fault may lie on the path between us
//! and it.

use super::timers::Timer;
use super::{Contact, Membership, PendingAck, MAX_PENDING_ACKS, PENDING_ACK_PERIODS};
use crate::member::{Member, MemberId, MAX_NAME_BYTES};
use crate::message::Message;
use crate::Nanos;

impl Membership {
    /// Asks other members to ping the target of a probe that has not been answered in time. Does nothing if this timer
    /// fires late, since the answer may still be unread in the socket.
    pub(super) fn probe_indirectly(&mut self, nonce: u64, is_late: bool) {
        let Some(target) = self.unanswered_target(nonce).filter(|_| !is_late) else {
            return;
        };
        let Some(address) = self.address_of(&target.name) else {
            return;
        };
        let relays = self.draw_contacts(self.rules.indirect_probes, Some(&target));
        if let Some(probe) = &mut self.probe {
            probe.silent_relays = relays.len();
        }
        for relay in relays {
            let request = Message::PingRequest {
                nonce,
                target: target.clone(),
                address,
            };
            self.send(relay.id, relay.address, request);
        }
    }

    fn unanswered_target(&self, nonce: u64) -> Option<MemberId> {
        let probe = self.probe.as_ref()?;
        (probe.nonce == nonce && !probe.is_answered).then(|| probe.target.clone())
    }

    /// Records that a relay is reachable, although the target has not answered the relay either.
    pub(super) fn receive_nack(&mut self, nonce: u64) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce) {
            probe.silent_relays = probe.silent_relays.saturating_sub(1);
        }
    }

    /// Pings a target on behalf of another member.
    pub(super) fn relay_ping(
        &mut self,
        now: Nanos,
        requester: &MemberId,
        requester_nonce: u64,
        target: Contact,
    ) {
        if self.pending_acks.len() >= MAX_PENDING_ACKS || target.id.name.len() > MAX_NAME_BYTES {
            return;
        }
        let nonce = self.draw_nonce();
        let pending = PendingAck::Relay {
            requester: requester.clone(),
            requester_nonce,
        };
        self.pending_acks.insert(nonce, pending);
        self.ping(&target, nonce);
        let timeout = now + self.rules.ping_timeout;
        self.timers.schedule(timeout, Timer::RelayTimeout(nonce));
        let expiry = now + PENDING_ACK_PERIODS * self.rules.period;
        self.timers.schedule(expiry, Timer::PendingAckExpiry(nonce));
    }

    /// Tells the requester that the target has not answered so far.
    pub(super) fn send_nack(&mut self, nonce: u64) {
        let Some(PendingAck::Relay {
            requester,
            requester_nonce,
        }) = self.pending_acks.get(&nonce).cloned()
        else {
            return;
        };
        if let Some(address) = self.address_of(&requester.name) {
            let nack = Message::Nack {
                nonce: requester_nonce,
            };
            self.send(requester, address, nack);
        }
    }

    /// Forwards the target's answer to the requester.
    pub(super) fn relay_ack(&mut self, requester: MemberId, nonce: u64, target: Member) {
        if let Some(address) = self.address_of(&requester.name) {
            let ack = Message::Ack {
                nonce,
                sender: self.me.clone(),
                updates: vec![target],
            };
            self.send(requester, address, ack);
        }
    }
}
