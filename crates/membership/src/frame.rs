//! Datagrams between fellows: a version, a body in `postcard`, and a sum keyed with the fellowship's key.
//!
//! What is forged, cut, repeated, too long or meant for another life changes nothing and is counted by reason.

use crate::keys::Key;
use crate::member::{MemberId, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The first byte of a datagram. Another version is counted and passed over, so that both can run side by side.
pub const VERSION: u8 = 1;
/// Longest datagram sent and read, in bytes: below what an Ethernet frame carries after IP and UDP.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Longest letter that goes over a stream, in bytes.
pub const MAX_STREAM_BYTES: usize = 1 << 20;
const SUM: usize = 16;
/// Counts behind the newest one that may still come, in any order, each once. A sidecar with a thousand hits a second
/// sends so many letters in some 300 ms.
const BEHIND: u64 = 4_096;
const WORDS: usize = BEHIND as usize / 64 + 1;

/// How a letter travels. It is part of what is summed, so that neither can be played back as the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    Datagram,
    Stream,
}

impl Channel {
    fn first_byte(self) -> u8 {
        match self {
            Channel::Datagram => VERSION,
            Channel::Stream => VERSION | 0x80,
        }
    }

    pub fn longest(self) -> usize {
        match self {
            Channel::Datagram => MAX_DATAGRAM_BYTES,
            Channel::Stream => MAX_STREAM_BYTES,
        }
    }
}

/// One datagram's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    pub from: MemberId,
    /// Whom it is for; a name of no letters where the sender knows an address only.
    pub to: MemberId,
    /// Grows by one with each letter of a life, so that a repeat can be told.
    pub count: u64,
    /// Which package's message it is, and that message.
    pub kind: u8,
    pub body: Vec<u8>,
}

/// Why a datagram changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rejection {
    TooLong,
    TooShort,
    OtherVersion,
    /// The sum fits none of the keys: forged, cut, or a stranger's.
    BadSum,
    Unreadable,
    /// Meant for another fellow, or for an earlier life of this one.
    NotForUs,
    /// A count that came before, or is too old to tell.
    Repeated,
    /// From a life of its name that a newer one has followed.
    OldLife,
    UnknownKind,
    /// From somebody who has not been let in.
    Stranger,
}

/// Datagrams passed over, by reason. As many rows as there are reasons.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounts(BTreeMap<Rejection, u64>);

impl RejectionCounts {
    pub fn add(&mut self, why: Rejection) {
        *self.0.entry(why).or_default() += 1;
    }

    pub fn of(&self, why: Rejection) -> u64 {
        self.0.get(&why).copied().unwrap_or(0)
    }

    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}

/// How many bytes of body a letter between these two may carry.
pub fn room(from: &MemberId, to: &MemberId) -> usize {
    // Two names and lives, count, kind, lengths: each integer takes ten bytes at most.
    let round = SUM + 1 + from.name.len() + to.name.len() + 7 * 10;
    MAX_DATAGRAM_BYTES.saturating_sub(round)
}

/// `None` for a letter that is too long for this way.
pub fn seal(key: &Key, envelope: &Envelope, channel: Channel) -> Option<Vec<u8>> {
    let mut bytes = vec![channel.first_byte()];
    bytes.extend(postcard::to_stdvec(envelope).ok()?);
    let sum = blake3::keyed_hash(&key.0, &bytes);
    bytes.extend_from_slice(&sum.as_bytes()[..SUM]);
    (bytes.len() <= channel.longest()).then_some(bytes)
}

/// # Errors
/// Why it says nothing to us.
pub fn open(keys: &[Key], bytes: &[u8], channel: Channel) -> Result<Envelope, Rejection> {
    if bytes.len() > channel.longest() {
        return Err(Rejection::TooLong);
    }
    let Some((body, sum)) = bytes
        .len()
        .checked_sub(SUM)
        .filter(|at| *at > 1)
        .map(|at| bytes.split_at(at))
    else {
        return Err(Rejection::TooShort);
    };
    if body[0] != channel.first_byte() {
        return Err(Rejection::OtherVersion);
    }
    let fits = |key: &&Key| {
        let own = blake3::keyed_hash(&key.0, body);
        // In the same time wherever they differ.
        own.as_bytes()[..SUM]
            .iter()
            .zip(sum)
            .fold(0, |differ, (a, b)| differ | (a ^ b))
            == 0
    };
    keys.iter().find(fits).ok_or(Rejection::BadSum)?;
    let envelope: Envelope = postcard::from_bytes(&body[1..]).map_err(|_| Rejection::Unreadable)?;
    let named = |life: &MemberId| life.name.len() <= MAX_NAME_BYTES;
    if envelope.from.name.is_empty() || !named(&envelope.from) || !named(&envelope.to) {
        return Err(Rejection::Unreadable);
    }
    Ok(envelope)
}

/// Which counts of one sender's life came already: a ring of bits, each cleared as the newest count passes it.
#[derive(Clone, Debug)]
pub struct ReplayWindow {
    newest: u64,
    ring: Box<[u64; WORDS]>,
}

impl Default for ReplayWindow {
    fn default() -> ReplayWindow {
        ReplayWindow {
            newest: 0,
            ring: Box::new([0; WORDS]),
        }
    }
}

impl ReplayWindow {
    /// Notes a count; false for one that came before or lies too far behind.
    pub fn first(&mut self, count: u64) -> bool {
        if count == 0 || count.saturating_add(BEHIND) < self.newest {
            return false;
        }
        let (word, last) = (count / 64, self.newest / 64);
        let passed = word.saturating_sub(last).min(WORDS as u64);
        (0..passed).for_each(|n| self.ring[((word - n) % WORDS as u64) as usize] = 0);
        self.newest = self.newest.max(count);
        let (at, bit) = (
            &mut self.ring[(word % WORDS as u64) as usize],
            1 << (count % 64),
        );
        let first = *at & bit == 0;
        *at |= bit;
        first
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::HashSet;

    fn envelope(body: Vec<u8>) -> Envelope {
        let life = |name: &str, life| MemberId {
            name: name.into(),
            incarnation: life,
        };
        Envelope {
            from: life("s-1", 7),
            to: life("s-2", 9),
            count: 3,
            kind: 1,
            body,
        }
    }

    #[test]
    fn every_cut_and_every_changed_byte_is_refused() {
        let key = Key::new([7; 32]);
        let keys = std::slice::from_ref(&key);
        let whole = envelope(vec![1, 2, 3]);
        let bytes = seal(&key, &whole, Channel::Datagram).unwrap();
        assert_eq!(
            open(&[Key::new([8; 32]), key.clone()], &bytes, Channel::Datagram),
            Ok(whole)
        );
        for at in 0..bytes.len() {
            assert!(open(keys, &bytes[..at], Channel::Datagram).is_err());
            for bit in 0..8 {
                let mut changed = bytes.clone();
                changed[at] ^= 1 << bit;
                assert!(
                    open(keys, &changed, Channel::Datagram).is_err(),
                    "byte {at}, bit {bit}"
                );
            }
        }
        assert_eq!(
            open(&[Key::new([8; 32])], &bytes, Channel::Datagram),
            Err(Rejection::BadSum)
        );
        for channel in [Channel::Datagram, Channel::Stream] {
            assert_eq!(
                open(keys, &vec![1; channel.longest() + 1], channel),
                Err(Rejection::TooLong)
            );
            assert_eq!(
                seal(&key, &envelope(vec![0; channel.longest()]), channel),
                None
            );
        }
        assert_eq!(
            open(keys, &bytes, Channel::Stream),
            Err(Rejection::OtherVersion)
        );
        // A name from the wire may be longer than any of ours: no room, and no panic.
        assert_eq!(
            room(
                &envelope(vec![]).from,
                &MemberId {
                    name: "n".repeat(MAX_DATAGRAM_BYTES),
                    incarnation: 1
                }
            ),
            0
        );
        let most = room(&envelope(vec![]).from, &envelope(vec![]).to);
        assert!(seal(&key, &envelope(vec![0; most]), Channel::Datagram).is_some());
    }

    proptest! {
        #[test]
        fn a_count_is_taken_once(counts in proptest::collection::vec(1u64..12_000, 1..900)) {
            let (mut seen, mut model, mut newest) = (ReplayWindow::default(), HashSet::new(), 0);
            for count in counts {
                let fresh = count + BEHIND >= newest && model.insert(count);
                prop_assert_eq!(seen.first(count), fresh);
                newest = newest.max(count);
            }
        }

        #[test]
        fn noise_is_refused_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1_400)) {
            prop_assert!(open(&[Key::new([7; 32])], &bytes, Channel::Datagram).is_err());
        }
    }
}
