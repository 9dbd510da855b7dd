//! Decision and codec together: datagrams in, datagrams out. The shell and the simulated network both drive this.

use crate::peers::Changes;
use crate::swim::{Effect, Event, Fellows, News, Rules, Talk};
use crate::wire::{self, Counts, Key, Letter, Life, Refused, Seen, Way};
use crate::Nanos;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The kind of the fellowship's own messages; other packages take theirs from 2 on.
pub const TALK: u8 = 1;
/// Messages of one other kind that wait to be read here, at most; a further one is lost, as on the way. The fellowship's
/// own are taken in as they come, so that a burst of another kind never keeps them waiting.
pub const WAITING: usize = 256;

/// What has happened since the last look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Happened {
    Told(Event),
    /// A message of another package, from a fellow that lives.
    Came {
        from: Life,
        kind: u8,
        body: Vec<u8>,
    },
}

pub struct Node {
    fellows: Fellows,
    keys: Vec<Key>,
    count: u64,
    /// By name, the counts of its present life. Rows leave with the fellow.
    seen: BTreeMap<String, (u64, Seen)>,
    /// The same for streams, which overtake and are overtaken.
    seen_streams: BTreeMap<String, (u64, Seen)>,
    count_streams: u64,
    /// Kinds of other packages that are read here.
    kinds: Vec<u8>,
    pub refused: Counts,
    pub sent: u64,
    pub sent_bytes: u64,
    pub came: u64,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
    /// What is too long for a datagram. The shell empties both after each call.
    streams: VecDeque<(SocketAddr, Vec<u8>)>,
    happened: VecDeque<Happened>,
    /// By kind, messages that wait, and those that were lost for it. One row a kind that is read here.
    waiting: BTreeMap<u8, usize>,
    pub overrun: BTreeMap<u8, u64>,
}

impl Node {
    /// The first key seals, all open; there must be one.
    pub fn new(
        now: Nanos,
        seed: u64,
        me: News,
        seeds: Vec<SocketAddr>,
        rules: Rules,
        keys: Vec<Key>,
    ) -> Node {
        Node {
            fellows: Fellows::new(now, seed, me, seeds, rules),
            keys,
            count: 0,
            seen: BTreeMap::new(),
            seen_streams: BTreeMap::new(),
            count_streams: 0,
            kinds: Vec::new(),
            refused: Counts::default(),
            sent: 0,
            sent_bytes: 0,
            came: 0,
            out: VecDeque::new(),
            streams: VecDeque::new(),
            happened: VecDeque::new(),
            waiting: BTreeMap::new(),
            overrun: BTreeMap::new(),
        }
    }

    /// Reads messages of this kind from now on; of others they are counted and passed over.
    pub fn reads(&mut self, kind: u8) {
        self.kinds.push(kind);
    }

    pub fn fellows(&self) -> &Fellows {
        &self.fellows
    }

    /// Of whom something changed since this was last asked.
    pub fn take_changes(&mut self) -> Changes {
        self.fellows.take_changes()
    }

    /// Keys read anew. An empty list is passed over: a fellowship without a key would be none.
    pub fn rekey(&mut self, keys: Vec<Key>) {
        if !keys.is_empty() {
            self.keys = keys;
        }
    }

    pub fn datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.out.pop_front()
    }

    /// A letter for the stream to this address.
    pub fn stream(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.streams.pop_front()
    }

    pub fn happened(&mut self) -> Option<Happened> {
        let happened = self.happened.pop_front();
        if let Some(Happened::Came { kind, .. }) = &happened {
            self.waiting
                .entry(*kind)
                .and_modify(|waiting| *waiting -= 1);
        }
        happened
    }

    pub fn next_wake(&self) -> Option<Nanos> {
        self.fellows.next_wake()
    }

    pub fn wake(&mut self, now: Nanos) {
        self.fellows.wake(now);
        self.carry_out();
    }

    pub fn leave(&mut self) {
        self.fellows.leave();
        self.carry_out();
    }

    /// Sends a message of another package to a fellow that lives, as a datagram or over a stream by its length; false
    /// where none of that life is known or it is too long for either.
    pub fn send(&mut self, to: &Life, kind: u8, body: Vec<u8>) -> bool {
        let Some(news) = self.fellows.get(&to.name).filter(|news| news.who == *to) else {
            return false;
        };
        let at = news.at;
        self.seal(to.clone(), at, kind, body)
    }

    /// One datagram that came, from wherever.
    pub fn heard(&mut self, now: Nanos, bytes: &[u8]) {
        self.hear(now, bytes, Way::Datagram);
    }

    /// One letter that came over a stream.
    pub fn heard_stream(&mut self, now: Nanos, bytes: &[u8]) {
        self.hear(now, bytes, Way::Stream);
    }

    fn hear(&mut self, now: Nanos, bytes: &[u8], way: Way) {
        self.came += 1;
        if let Err(why) = self.take(now, bytes, way) {
            self.refused.add(why);
        }
        self.carry_out();
    }

    fn take(&mut self, now: Nanos, bytes: &[u8], way: Way) -> Result<(), Refused> {
        let Letter {
            from,
            to,
            count,
            kind,
            body,
        } = wire::open(&self.keys, bytes, way)?;
        let me = &self.fellows.me().who;
        let hello = to.name.is_empty() && kind == TALK;
        if from == *me || !(hello || to == *me) {
            return Err(Refused::NotForUs);
        }
        let known = self.fellows.get(&from.name);
        if known.is_some_and(|news| from.life < news.who.life) {
            return Err(Refused::OldLife);
        }
        if known.is_some_and(|news| news.who == from) {
            let seen = if way == Way::Stream {
                &mut self.seen_streams
            } else {
                &mut self.seen
            };
            let row = seen.entry(from.name.clone()).or_default();
            if row.0 != from.life {
                *row = (from.life, Seen::default());
            }
            if !row.1.first(count) {
                return Err(Refused::Repeated);
            }
        }
        if kind == TALK {
            let talk: Talk = postcard::from_bytes(&body).map_err(|_| Refused::Unreadable)?;
            if hello && !matches!(talk, Talk::Hello { .. }) {
                return Err(Refused::NotForUs);
            }
            return self
                .fellows
                .heard(now, &from, talk)
                .then_some(())
                .ok_or(Refused::Stranger);
        }
        if !self.kinds.contains(&kind) {
            return Err(Refused::UnknownKind);
        }
        if !self.fellows.lives(&from) {
            return Err(Refused::Stranger);
        }
        let waiting = self.waiting.entry(kind).or_default();
        if *waiting >= WAITING {
            *self.overrun.entry(kind).or_default() += 1;
            return Ok(());
        }
        *waiting += 1;
        self.happened.push_back(Happened::Came { from, kind, body });
        Ok(())
    }

    fn carry_out(&mut self) {
        while let Some(effect) = self.fellows.effect() {
            match effect {
                Effect::Say { to, at, talk } => {
                    if let Ok(body) = postcard::to_stdvec(&talk) {
                        self.seal(to, at, TALK, body);
                    }
                }
                Effect::Forgot(name) => {
                    self.seen.remove(&name);
                    self.seen_streams.remove(&name);
                }
                Effect::Told(event) => self.happened.push_back(Happened::Told(event)),
            }
        }
    }

    fn seal(&mut self, to: Life, at: SocketAddr, kind: u8, body: Vec<u8>) -> bool {
        let mut letter = Letter {
            from: self.fellows.me().who.clone(),
            to,
            count: self.count + 1,
            kind,
            body,
        };
        if let Some(bytes) = wire::seal(&self.keys[0], &letter, Way::Datagram) {
            self.count += 1;
            self.note_sent(&bytes);
            self.out.push_back((at, bytes));
            return true;
        }
        letter.count = self.count_streams + 1;
        let Some(bytes) = wire::seal(&self.keys[0], &letter, Way::Stream) else {
            return false;
        };
        self.count_streams += 1;
        self.note_sent(&bytes);
        self.streams.push_back((at, bytes));
        true
    }

    fn note_sent(&mut self, bytes: &[u8]) {
        self.sent += 1;
        self.sent_bytes += bytes.len() as u64;
    }
}
