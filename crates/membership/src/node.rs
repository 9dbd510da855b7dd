//! The membership protocol together with its frames: handles received frames, and queues the frames to send. No I/O;
//! the sockets and the simulated network of the tests run the same code.

use crate::frame::{self, Channel, Envelope};
use crate::inbox::Inbox;
pub use crate::inbox::{NodeEvent, MAX_PENDING_MESSAGES};
use crate::keys::Key;
use crate::member::{Member, MemberId};
use crate::message::Message;
use crate::rejection::{Rejection, RejectionCounts};
use crate::replay::ReplayWindows;
use crate::swim::{ChangedMembers, Effect, Membership, Rules};
use crate::Nanos;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The kind of the membership protocol's own messages; other packages use kinds from 2 on.
pub const MEMBERSHIP_KIND: u8 = 1;

/// A sealed frame that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Outgoing {
    address: SocketAddr,
    bytes: Vec<u8>,
}

/// The state of one channel: the last sequence number sent, and the sequence numbers received from each sender.
#[derive(Default)]
struct ChannelState {
    last_sequence: u64,
    replays: ReplayWindows,
    /// The caller empties this after each call.
    outgoing: VecDeque<Outgoing>,
}

/// One member: the membership protocol, and the messages that other packages send between members.
pub struct Node {
    membership: Membership,
    /// The first key seals frames, and every key opens them. There is at least one.
    keys: Vec<Key>,
    datagrams: ChannelState,
    /// For messages that are too long for a datagram. Streams and datagrams can overtake each other, so each channel
    /// has its own sequence numbers.
    streams: ChannelState,
    /// The kinds of message that other packages of this process read.
    accepted_kinds: Vec<u8>,
    inbox: Inbox,
    /// Received frames that were rejected, by reason.
    pub rejected: RejectionCounts,
    /// Frames sent on both channels.
    pub sent: u64,
    /// Bytes of those frames.
    pub sent_bytes: u64,
    /// Frames received on both channels.
    pub received: u64,
    /// By kind, the messages of other packages that were dropped because too many were unread.
    pub overflowed: BTreeMap<u8, u64>,
}

impl Node {
    /// Makes a node that knows no other member yet. `random_seed` determines the nonces, the order of probes, and when
    /// within a period the first probe is sent. `seed_addresses` are the addresses through which the node joins.
    ///
    /// The first key seals frames, and every key opens them; there must be at least one.
    pub fn new(
        now: Nanos,
        random_seed: u64,
        me: Member,
        seed_addresses: Vec<SocketAddr>,
        rules: Rules,
        keys: Vec<Key>,
    ) -> Node {
        Node {
            membership: Membership::new(now, random_seed, me, seed_addresses, rules),
            keys,
            datagrams: ChannelState::default(),
            streams: ChannelState::default(),
            accepted_kinds: Vec::new(),
            inbox: Inbox::default(),
            rejected: RejectionCounts::default(),
            sent: 0,
            sent_bytes: 0,
            received: 0,
            overflowed: BTreeMap::new(),
        }
    }

    /// Passes messages of this kind to the caller from now on. Messages of a kind that is not accepted are counted and
    /// dropped.
    pub fn accept_kind(&mut self, kind: u8) {
        self.accepted_kinds.push(kind);
    }

    /// Returns the membership.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the members that changed since the last call.
    pub fn take_changed_members(&mut self) -> ChangedMembers {
        self.membership.take_changed_members()
    }

    /// Replaces the keys. An empty list is ignored: without a key nothing could be sent.
    pub fn replace_keys(&mut self, keys: Vec<Key>) {
        if !keys.is_empty() {
            self.keys = keys;
        }
    }

    /// Returns the destination of the next datagram to send, and the datagram.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        let outgoing = self.datagrams.outgoing.pop_front()?;
        Some((outgoing.address, outgoing.bytes))
    }

    /// Returns the destination of the next frame to send over a stream, and the frame.
    pub fn next_stream_message(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        let outgoing = self.streams.outgoing.pop_front()?;
        Some((outgoing.address, outgoing.bytes))
    }

    /// Returns the oldest event that has not been read.
    pub fn next_event(&mut self) -> Option<NodeEvent> {
        self.inbox.pop()
    }

    /// Returns when [`Node::wake`] is due next.
    pub fn next_wake(&self) -> Option<Nanos> {
        self.membership.next_wake()
    }

    /// Runs the timers that are due.
    pub fn wake(&mut self, now: Nanos) {
        self.membership.wake(now);
        self.carry_out_effects();
    }

    /// Tells some members that this one is leaving; they pass the update on.
    pub fn leave(&mut self) {
        self.membership.leave();
        self.carry_out_effects();
    }

    /// Sends a message of another package to a member, as a datagram or, if it is too long for one, over a stream.
    /// Returns false if that incarnation is not known, or if the message is too long for a stream as well.
    pub fn send(&mut self, to: &MemberId, kind: u8, body: Vec<u8>) -> bool {
        let known = self.membership.get(&to.name);
        let Some(address) = known
            .filter(|member| member.id == *to)
            .map(|member| member.address)
        else {
            return false;
        };
        self.seal_and_queue(to.clone(), address, kind, body)
    }

    /// Handles one received datagram, whatever its sender.
    pub fn receive_datagram(&mut self, now: Nanos, bytes: &[u8]) {
        self.receive(now, bytes, Channel::Datagram);
    }

    /// Handles one frame received over a stream.
    pub fn receive_stream_message(&mut self, now: Nanos, bytes: &[u8]) {
        self.receive(now, bytes, Channel::Stream);
    }

    fn receive(&mut self, now: Nanos, bytes: &[u8], channel: Channel) {
        self.received += 1;
        if let Err(reason) = self.handle_frame(now, bytes, channel) {
            self.rejected.add(reason);
        }
        self.carry_out_effects();
    }

    fn handle_frame(
        &mut self,
        now: Nanos,
        bytes: &[u8],
        channel: Channel,
    ) -> Result<(), Rejection> {
        let envelope = frame::open(&self.keys, bytes, channel)?;
        self.check_receiver(&envelope)?;
        self.check_sender(&envelope, channel)?;
        match envelope.kind {
            MEMBERSHIP_KIND => self.handle_membership_message(now, &envelope),
            _ => self.handle_other_message(envelope),
        }
    }

    /// Rejects frames for another receiver. Only a join may be sent to an address whose member the sender does not
    /// know.
    fn check_receiver(&self, envelope: &Envelope) -> Result<(), Rejection> {
        let me = &self.membership.me().id;
        let is_for_us =
            envelope.to == *me || (envelope.to.name.is_empty() && envelope.kind == MEMBERSHIP_KIND);
        if envelope.from == *me || !is_for_us {
            return Err(Rejection::WrongReceiver);
        }
        Ok(())
    }

    /// Rejects frames of an earlier incarnation, and repeated frames of a known one. A repeated frame of a non-member
    /// has no effect, because a non-member is admitted only by an answer to a nonce that was drawn for it.
    fn check_sender(&mut self, envelope: &Envelope, channel: Channel) -> Result<(), Rejection> {
        let from = &envelope.from;
        let Some(known) = self.membership.get(&from.name) else {
            return Ok(());
        };
        if from.incarnation < known.id.incarnation {
            return Err(Rejection::OldIncarnation);
        }
        if known.id != *from {
            return Ok(());
        }
        let replays = &mut self.channel(channel).replays;
        replays
            .accept(from, envelope.sequence)
            .then_some(())
            .ok_or(Rejection::Repeated)
    }

    fn handle_membership_message(
        &mut self,
        now: Nanos,
        envelope: &Envelope,
    ) -> Result<(), Rejection> {
        let message: Message =
            postcard::from_bytes(&envelope.body).map_err(|_| Rejection::Malformed)?;
        if envelope.to.name.is_empty() && !matches!(message, Message::Join { .. }) {
            return Err(Rejection::WrongReceiver);
        }
        self.membership.receive(now, &envelope.from, message)
    }

    fn handle_other_message(&mut self, envelope: Envelope) -> Result<(), Rejection> {
        let Envelope {
            from, kind, body, ..
        } = envelope;
        if !self.accepted_kinds.contains(&kind) {
            return Err(Rejection::UnknownKind);
        }
        if !self.membership.is_alive(&from) {
            return Err(Rejection::NotAMember);
        }
        if !self.inbox.push_message(from, kind, body) {
            *self.overflowed.entry(kind).or_default() += 1;
        }
        Ok(())
    }

    fn carry_out_effects(&mut self) {
        while let Some(effect) = self.membership.next_effect() {
            match effect {
                Effect::Send {
                    to,
                    address,
                    message,
                } => {
                    if let Ok(body) = postcard::to_stdvec(&message) {
                        self.seal_and_queue(to, address, MEMBERSHIP_KIND, body);
                    }
                }
                Effect::Forget(name) => {
                    self.datagrams.replays.remove(&name);
                    self.streams.replays.remove(&name);
                }
                Effect::Event(event) => self.inbox.push_membership(event),
            }
        }
    }

    /// Queues a message on the first channel that it fits. Returns false if it fits neither.
    fn seal_and_queue(
        &mut self,
        to: MemberId,
        address: SocketAddr,
        kind: u8,
        body: Vec<u8>,
    ) -> bool {
        let mut envelope = Envelope {
            from: self.membership.me().id.clone(),
            to,
            sequence: 0,
            kind,
            body,
        };
        for channel in [Channel::Datagram, Channel::Stream] {
            envelope.sequence = self.channel(channel).last_sequence + 1;
            if let Some(bytes) = frame::seal(&self.keys[0], &envelope, channel) {
                self.queue(channel, Outgoing { address, bytes });
                return true;
            }
        }
        false
    }

    fn queue(&mut self, channel: Channel, outgoing: Outgoing) {
        self.sent += 1;
        self.sent_bytes += outgoing.bytes.len() as u64;
        let channel = self.channel(channel);
        channel.last_sequence += 1;
        channel.outgoing.push_back(outgoing);
    }

    fn channel(&mut self, channel: Channel) -> &mut ChannelState {
        match channel {
            Channel::Datagram => &mut self.datagrams,
            Channel::Stream => &mut self.streams,
        }
    }
}
