//! Datagrams between fellows: a version, a body in `postcard`, and a sum keyed with the fellowship's key.
//!
//! What is forged, cut, repeated, too long or meant for another life changes nothing and is counted by reason.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The first byte of a datagram. Another version is counted and passed over, so that both can run side by side.
pub const VERSION: u8 = 1;
/// Longest datagram sent and read, in bytes: below what an Ethernet frame carries after IP and UDP.
pub const LONGEST: usize = 1_200;
/// Longest letter that goes over a stream, in bytes.
pub const LONGEST_STREAM: usize = 1 << 20;
const SUM: usize = 16;
/// What may be in a name, at most, in bytes.
pub const NAME: usize = 64;
/// Counts behind the newest one that may still come, in any order, each once. A sidecar with a thousand hits a second
/// sends so many letters in some 300 ms.
const BEHIND: u64 = 4_096;
const WORDS: usize = BEHIND as usize / 64 + 1;

/// How a letter travels. It is part of what is summed, so that neither can be played back as the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Datagram,
    Stream,
}

impl Way {
    fn first_byte(self) -> u8 {
        match self {
            Way::Datagram => VERSION,
            Way::Stream => VERSION | 0x80,
        }
    }

    pub fn longest(self) -> usize {
        match self {
            Way::Datagram => LONGEST,
            Way::Stream => LONGEST_STREAM,
        }
    }
}

/// A key of the fellowship. Its text form is 64 hex digits.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 32]);

impl fmt::Debug for Key {
    /// Never the key itself, wherever settings are logged.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Why a line of a key file is no key.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("line {line}: expected a key of 64 hex digits")]
pub struct NotAKey {
    pub line: usize,
}

impl Key {
    pub fn new(bytes: [u8; 32]) -> Key {
        Key(bytes)
    }

    /// The keys of a file, one a line; empty lines and those that begin with `#` are passed over. The first one
    /// seals, all of them open: a new key goes to every fellow behind the old one first, then before it.
    ///
    /// # Errors
    /// The first line that is no key; a file without any counts as one at line 1.
    pub fn read(text: &str) -> Result<Vec<Key>, NotAKey> {
        let mut keys = Vec::new();
        for (n, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let hash = blake3::Hash::from_hex(line).map_err(|_| NotAKey { line: n + 1 })?;
            keys.push(Key(*hash.as_bytes()));
        }
        if keys.is_empty() {
            return Err(NotAKey { line: 1 });
        }
        Ok(keys)
    }
}

/// One fellow's life: its name, and a number that grows with each start under that name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    pub name: String,
    pub life: u64,
}

/// One datagram's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Letter {
    pub from: Life,
    /// Whom it is for; a name of no letters where the sender knows an address only.
    pub to: Life,
    /// Grows by one with each letter of a life, so that a repeat can be told.
    pub count: u64,
    /// Which package's message it is, and that message.
    pub kind: u8,
    pub body: Vec<u8>,
}

/// Why a datagram changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
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
pub struct Counts(BTreeMap<Refused, u64>);

impl Counts {
    pub fn add(&mut self, why: Refused) {
        *self.0.entry(why).or_default() += 1;
    }

    pub fn of(&self, why: Refused) -> u64 {
        self.0.get(&why).copied().unwrap_or(0)
    }

    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}

/// How many bytes of body a letter between these two may carry.
pub fn room(from: &Life, to: &Life) -> usize {
    // Two names and lives, count, kind, lengths: each integer takes ten bytes at most.
    let round = SUM + 1 + from.name.len() + to.name.len() + 7 * 10;
    LONGEST.saturating_sub(round)
}

/// `None` for a letter that is too long for this way.
pub fn seal(key: &Key, letter: &Letter, way: Way) -> Option<Vec<u8>> {
    let mut bytes = vec![way.first_byte()];
    bytes.extend(postcard::to_stdvec(letter).ok()?);
    let sum = blake3::keyed_hash(&key.0, &bytes);
    bytes.extend_from_slice(&sum.as_bytes()[..SUM]);
    (bytes.len() <= way.longest()).then_some(bytes)
}

/// # Errors
/// Why it says nothing to us.
pub fn open(keys: &[Key], bytes: &[u8], way: Way) -> Result<Letter, Refused> {
    if bytes.len() > way.longest() {
        return Err(Refused::TooLong);
    }
    let Some((body, sum)) = bytes
        .len()
        .checked_sub(SUM)
        .filter(|at| *at > 1)
        .map(|at| bytes.split_at(at))
    else {
        return Err(Refused::TooShort);
    };
    if body[0] != way.first_byte() {
        return Err(Refused::OtherVersion);
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
    keys.iter().find(fits).ok_or(Refused::BadSum)?;
    let letter: Letter = postcard::from_bytes(&body[1..]).map_err(|_| Refused::Unreadable)?;
    let named = |life: &Life| life.name.len() <= NAME;
    if letter.from.name.is_empty() || !named(&letter.from) || !named(&letter.to) {
        return Err(Refused::Unreadable);
    }
    Ok(letter)
}

/// Which counts of one sender's life came already: a ring of bits, each cleared as the newest count passes it.
#[derive(Clone, Debug)]
pub struct Seen {
    newest: u64,
    ring: Box<[u64; WORDS]>,
}

impl Default for Seen {
    fn default() -> Seen {
        Seen {
            newest: 0,
            ring: Box::new([0; WORDS]),
        }
    }
}

impl Seen {
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

    fn letter(body: Vec<u8>) -> Letter {
        let life = |name: &str, life| Life {
            name: name.into(),
            life,
        };
        Letter {
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
        let whole = letter(vec![1, 2, 3]);
        let bytes = seal(&key, &whole, Way::Datagram).unwrap();
        assert_eq!(
            open(&[Key::new([8; 32]), key.clone()], &bytes, Way::Datagram),
            Ok(whole)
        );
        for at in 0..bytes.len() {
            assert!(open(keys, &bytes[..at], Way::Datagram).is_err());
            for bit in 0..8 {
                let mut changed = bytes.clone();
                changed[at] ^= 1 << bit;
                assert!(
                    open(keys, &changed, Way::Datagram).is_err(),
                    "byte {at}, bit {bit}"
                );
            }
        }
        assert_eq!(
            open(&[Key::new([8; 32])], &bytes, Way::Datagram),
            Err(Refused::BadSum)
        );
        for way in [Way::Datagram, Way::Stream] {
            assert_eq!(
                open(keys, &vec![1; way.longest() + 1], way),
                Err(Refused::TooLong)
            );
            assert_eq!(seal(&key, &letter(vec![0; way.longest()]), way), None);
        }
        assert_eq!(open(keys, &bytes, Way::Stream), Err(Refused::OtherVersion));
        // A name from the wire may be longer than any of ours: no room, and no panic.
        assert_eq!(
            room(
                &letter(vec![]).from,
                &Life {
                    name: "n".repeat(LONGEST),
                    life: 1
                }
            ),
            0
        );
        let most = room(&letter(vec![]).from, &letter(vec![]).to);
        assert!(seal(&key, &letter(vec![0; most]), Way::Datagram).is_some());
    }

    #[test]
    fn keys_are_read_line_by_line() {
        let line = "0f".repeat(32);
        assert_eq!(
            Key::read(&format!("# the new one\n{line}\n\n")),
            Ok(vec![Key::new([15; 32])])
        );
        assert_eq!(
            Key::read(&format!("{line}\nshort\n")),
            Err(NotAKey { line: 2 })
        );
        assert_eq!(Key::read("\n"), Err(NotAKey { line: 1 }));
        assert_eq!(format!("{:?}", Key::new([15; 32])), "Key(..)");
    }

    proptest! {
        #[test]
        fn a_count_is_taken_once(counts in proptest::collection::vec(1u64..12_000, 1..900)) {
            let (mut seen, mut model, mut newest) = (Seen::default(), HashSet::new(), 0);
            for count in counts {
                let fresh = count + BEHIND >= newest && model.insert(count);
                prop_assert_eq!(seen.first(count), fresh);
                newest = newest.max(count);
            }
        }

        #[test]
        fn noise_is_refused_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1_400)) {
            prop_assert!(open(&[Key::new([7; 32])], &bytes, Way::Datagram).is_err());
        }
    }
}
