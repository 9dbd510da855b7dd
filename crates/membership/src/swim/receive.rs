//! Handles the messages of members and of non-members, by kind.

use super::{Contact, Membership, PendingAck};
use crate::member::{Member, MemberId};
use crate::message::Message;
use crate::rejection::Rejection;
use crate::Nanos;

impl Membership {
    /// Handles a message of a member or of a non-member.
    ///
    /// # Errors
    /// [`Rejection::NotAMember`] for a message that only members may send, for one whose sender does not match the
    /// envelope, and for an answer to no pending ping.
    pub fn receive(
        &mut self,
        now: Nanos,
        from: &MemberId,
        message: Message,
    ) -> Result<(), Rejection> {
        let is_member = self.is_alive(from);
        match message {
            Message::Join { sender } if sender.id == *from => {
                self.challenge(now, from, sender.address);
                return Ok(());
            }
            Message::Ping {
                nonce,
                sender,
                updates,
            } if sender.id == *from => {
                let contact = Contact::of(&sender);
                if is_member {
                    self.apply_update(now, sender, from);
                    self.apply_updates(now, updates, from);
                } else {
                    self.challenge(now, from, contact.address);
                    self.refute_all(&updates);
                }
                self.send_ack(contact, nonce);
                return Ok(());
            }
            Message::Ack {
                nonce,
                sender,
                updates,
            } if sender.id == *from => {
                let is_expected = self.receive_ack(now, nonce, sender, updates);
                return is_expected.then_some(()).ok_or(Rejection::NotAMember);
            }
            Message::Join { .. } | Message::Ping { .. } | Message::Ack { .. } => {
                return Err(Rejection::NotAMember);
            }
            _ if !is_member => return Err(Rejection::NotAMember),
            Message::PingRequest {
                nonce,
                target: id,
                address,
            } => self.relay_ping(now, from, nonce, Contact { id, address }),
            Message::Nack { nonce } => self.receive_nack(nonce),
            Message::TableRequest { after } => self.send_table(from, &after),
            Message::Table { members, more } => self.receive_table(now, from, members, more),
        }
        Ok(())
    }

    fn send_ack(&mut self, to: Contact, nonce: u64) {
        let updates = self.select_updates(&to.id);
        let ack = Message::Ack {
            nonce,
            sender: self.me.clone(),
            updates,
        };
        self.send(to.id, to.address, ack);
    }

    /// Handles an answer. Returns false if it answers no pending ping.
    fn receive_ack(
        &mut self,
        now: Nanos,
        nonce: u64,
        sender: Member,
        updates: Vec<Member>,
    ) -> bool {
        match self.pending_acks.remove(&nonce) {
            Some(PendingAck::Join(challenged)) if challenged == sender.id => {
                self.admit(now, sender, updates);
                true
            }
            Some(PendingAck::Relay {
                requester,
                requester_nonce,
            }) => {
                self.relay_ack(requester, requester_nonce, sender);
                true
            }
            Some(mismatched) => {
                self.pending_acks.insert(nonce, mismatched);
                false
            }
            None => self.answer_probe(now, nonce, sender, updates),
        }
    }
}
