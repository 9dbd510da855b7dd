//! Decision and codec together: datagrams in, datagrams out. The shell and the simulated network both drive this.

use crate::frame::{self, Channel, Envelope, Rejection, RejectionCounts, ReplayWindow};
use crate::keys::Key;
use crate::member::{Member, MemberId};
use crate::member_table::Changes;
use crate::swim::{Effect, MemberEvent, Membership, Message, Rules};
use crate::Nanos;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The kind of the fellowship's own messages; other packages take theirs from 2 on.
pub const MEMBERSHIP_KIND: u8 = 1;
/// Messages of one other kind that wait to be read here, at most; a further one is lost, as on the way. The fellowship's
/// own are taken in as they come, so that a burst of another kind never keeps them waiting.
pub const MAX_PENDING_MESSAGES: usize = 256;

/// What has happened since the last look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    Membership(MemberEvent),
    /// A message of another package, from a fellow that lives.
    Message {
        from: MemberId,
        kind: u8,
        body: Vec<u8>,
    },
}

pub struct Node {
    membership: Membership,
    keys: Vec<Key>,
    count: u64,
    /// By name, the counts of its present life. Rows leave with the fellow.
    seen: BTreeMap<String, (u64, ReplayWindow)>,
    /// The same for streams, which overtake and are overtaken.
    seen_streams: BTreeMap<String, (u64, ReplayWindow)>,
    count_streams: u64,
    /// Kinds of other packages that are read here.
    kinds: Vec<u8>,
    pub rejected: RejectionCounts,
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
    /// What is too long for a datagram. The shell empties both after each call.
    streams: VecDeque<(SocketAddr, Vec<u8>)>,
    happened: VecDeque<NodeEvent>,
    /// By kind, messages that wait, and those that were lost for it. One row a kind that is read here.
    waiting: BTreeMap<u8, usize>,
    pub overflowed: BTreeMap<u8, u64>,
}

impl Node {
    /// The first key seals, all open; there must be one.
    pub fn new(
        now: Nanos,
        seed: u64,
        me: Member,
        seeds: Vec<SocketAddr>,
        rules: Rules,
        keys: Vec<Key>,
    ) -> Node {
        Node {
            membership: Membership::new(now, seed, me, seeds, rules),
            keys,
            count: 0,
            seen: BTreeMap::new(),
            seen_streams: BTreeMap::new(),
            count_streams: 0,
            kinds: Vec::new(),
            rejected: RejectionCounts::default(),
            sent: 0,
            sent_bytes: 0,
            received: 0,
            out: VecDeque::new(),
            streams: VecDeque::new(),
            happened: VecDeque::new(),
            waiting: BTreeMap::new(),
            overflowed: BTreeMap::new(),
        }
    }

    /// Reads messages of this kind from now on; of others they are counted and passed over.
    pub fn accept_kind(&mut self, kind: u8) {
        self.kinds.push(kind);
    }

    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Of whom something changed since this was last asked.
    pub fn take_changes(&mut self) -> Changes {
        self.membership.take_changes()
    }

    /// Keys read anew. An empty list is passed over: a fellowship without a key would be none.
    pub fn replace_keys(&mut self, keys: Vec<Key>) {
        if !keys.is_empty() {
            self.keys = keys;
        }
    }

    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.out.pop_front()
    }

    /// A letter for the stream to this address.
    pub fn next_stream_message(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.streams.pop_front()
    }

    pub fn next_event(&mut self) -> Option<NodeEvent> {
        let happened = self.happened.pop_front();
        if let Some(NodeEvent::Message { kind, .. }) = &happened {
            self.waiting
                .entry(*kind)
                .and_modify(|waiting| *waiting -= 1);
        }
        happened
    }

    pub fn next_wake(&self) -> Option<Nanos> {
        self.membership.next_wake()
    }

    pub fn wake(&mut self, now: Nanos) {
        self.membership.wake(now);
        self.carry_out();
    }

    pub fn leave(&mut self) {
        self.membership.leave();
        self.carry_out();
    }

    /// Sends a message of another package to a fellow that lives, as a datagram or over a stream by its length; false
    /// where none of that life is known or it is too long for either.
    pub fn send(&mut self, to: &MemberId, kind: u8, body: Vec<u8>) -> bool {
        let Some(member) = self
            .membership
            .get(&to.name)
            .filter(|member| member.id == *to)
        else {
            return false;
        };
        let at = member.address;
        self.seal(to.clone(), at, kind, body)
    }

    /// One datagram that came, from wherever.
    pub fn receive_datagram(&mut self, now: Nanos, bytes: &[u8]) {
        self.hear(now, bytes, Channel::Datagram);
    }

    /// One letter that came over a stream.
    pub fn receive_stream_message(&mut self, now: Nanos, bytes: &[u8]) {
        self.hear(now, bytes, Channel::Stream);
    }

    fn hear(&mut self, now: Nanos, bytes: &[u8], channel: Channel) {
        self.received += 1;
        if let Err(why) = self.take(now, bytes, channel) {
            self.rejected.add(why);
        }
        self.carry_out();
    }

    fn take(&mut self, now: Nanos, bytes: &[u8], channel: Channel) -> Result<(), Rejection> {
        let Envelope {
            from,
            to,
            count,
            kind,
            body,
        } = frame::open(&self.keys, bytes, channel)?;
        let me = &self.membership.me().id;
        let hello = to.name.is_empty() && kind == MEMBERSHIP_KIND;
        if from == *me || !(hello || to == *me) {
            return Err(Rejection::NotForUs);
        }
        let known = self.membership.get(&from.name);
        if known.is_some_and(|member| from.incarnation < member.id.incarnation) {
            return Err(Rejection::OldLife);
        }
        if known.is_some_and(|member| member.id == from) {
            let seen = if channel == Channel::Stream {
                &mut self.seen_streams
            } else {
                &mut self.seen
            };
            let row = seen.entry(from.name.clone()).or_default();
            if row.0 != from.incarnation {
                *row = (from.incarnation, ReplayWindow::default());
            }
            if !row.1.first(count) {
                return Err(Rejection::Repeated);
            }
        }
        if kind == MEMBERSHIP_KIND {
            let message: Message =
                postcard::from_bytes(&body).map_err(|_| Rejection::Unreadable)?;
            if hello && !matches!(message, Message::Join { .. }) {
                return Err(Rejection::NotForUs);
            }
            return self
                .membership
                .heard(now, &from, message)
                .then_some(())
                .ok_or(Rejection::Stranger);
        }
        if !self.kinds.contains(&kind) {
            return Err(Rejection::UnknownKind);
        }
        if !self.membership.is_alive(&from) {
            return Err(Rejection::Stranger);
        }
        let waiting = self.waiting.entry(kind).or_default();
        if *waiting >= MAX_PENDING_MESSAGES {
            *self.overflowed.entry(kind).or_default() += 1;
            return Ok(());
        }
        *waiting += 1;
        self.happened
            .push_back(NodeEvent::Message { from, kind, body });
        Ok(())
    }

    fn carry_out(&mut self) {
        while let Some(effect) = self.membership.next_effect() {
            match effect {
                Effect::Send {
                    to,
                    address,
                    message,
                } => {
                    if let Ok(body) = postcard::to_stdvec(&message) {
                        self.seal(to, address, MEMBERSHIP_KIND, body);
                    }
                }
                Effect::Forget(name) => {
                    self.seen.remove(&name);
                    self.seen_streams.remove(&name);
                }
                Effect::Event(event) => self.happened.push_back(NodeEvent::Membership(event)),
            }
        }
    }

    fn seal(&mut self, to: MemberId, address: SocketAddr, kind: u8, body: Vec<u8>) -> bool {
        let mut envelope = Envelope {
            from: self.membership.me().id.clone(),
            to,
            count: self.count + 1,
            kind,
            body,
        };
        if let Some(bytes) = frame::seal(&self.keys[0], &envelope, Channel::Datagram) {
            self.count += 1;
            self.note_sent(&bytes);
            self.out.push_back((address, bytes));
            return true;
        }
        envelope.count = self.count_streams + 1;
        let Some(bytes) = frame::seal(&self.keys[0], &envelope, Channel::Stream) else {
            return false;
        };
        self.count_streams += 1;
        self.note_sent(&bytes);
        self.streams.push_back((address, bytes));
        true
    }

    fn note_sent(&mut self, bytes: &[u8]) {
        self.sent += 1;
        self.sent_bytes += bytes.len() as u64;
    }
}
