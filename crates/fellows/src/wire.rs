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
const SUM: usize = 16;
/// What may be in a name, at most, in bytes.
pub const NAME: usize = 64;
/// Counts behind the newest one that may still come, in any order, each once.
const BEHIND: u64 = 128;

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

/// `None` for a letter that would not fit a datagram.
pub fn seal(key: &Key, letter: &Letter) -> Option<Vec<u8>> {
    let mut bytes = vec![VERSION];
    bytes.extend(postcard::to_stdvec(letter).ok()?);
    let sum = blake3::keyed_hash(&key.0, &bytes);
    bytes.extend_from_slice(&sum.as_bytes()[..SUM]);
    (bytes.len() <= LONGEST).then_some(bytes)
}

/// # Errors
/// Why it says nothing to us.
pub fn open(keys: &[Key], bytes: &[u8]) -> Result<Letter, Refused> {
    if bytes.len() > LONGEST {
        return Err(Refused::TooLong);
    }
    let Some((body, sum)) = bytes.len().checked_sub(SUM).filter(|at| *at > 1).map(|at| bytes.split_at(at))
    else {
        return Err(Refused::TooShort);
    };
    if body[0] != VERSION {
        return Err(Refused::OtherVersion);
    }
    let fits = |key: &&Key| {
        let own = blake3::keyed_hash(&key.0, body);
        // In the same time wherever they differ.
        own.as_bytes()[..SUM].iter().zip(sum).fold(0, |differ, (a, b)| differ | (a ^ b)) == 0
    };
    keys.iter().find(fits).ok_or(Refused::BadSum)?;
    let letter: Letter = postcard::from_bytes(&body[1..]).map_err(|_| Refused::Unreadable)?;
    let named = |life: &Life| life.name.len() <= NAME;
    if letter.from.name.is_empty() || !named(&letter.from) || !named(&letter.to) {
        return Err(Refused::Unreadable);
    }
    Ok(letter)
}

/// Which counts of one sender's life came already.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    newest: u64,
    before: u128,
}

impl Seen {
    /// Notes a count; false for one that came before or lies too far behind.
    pub fn first(&mut self, count: u64) -> bool {
        if count > self.newest {
            let ahead = count - self.newest;
            let moved = if ahead < BEHIND { self.before << ahead } else { 0 };
            // The one that was newest is now `ahead` behind.
            let mark = if self.newest > 0 && ahead <= BEHIND { 1u128 << (ahead - 1) } else { 0 };
            (self.newest, self.before) = (count, moved | mark);
            return true;
        }
        let behind = self.newest - count;
        if count == 0 || behind == 0 || behind > BEHIND || self.before >> (behind - 1) & 1 == 1 {
            return false;
        }
        self.before |= 1 << (behind - 1);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::HashSet;

    fn letter(body: Vec<u8>) -> Letter {
        let life = |name: &str, life| Life { name: name.into(), life };
        Letter { from: life("s-1", 7), to: life("s-2", 9), count: 3, kind: 1, body }
    }

    #[test]
    fn every_cut_and_every_changed_byte_is_refused() {
        let key = Key::new([7; 32]);
        let keys = std::slice::from_ref(&key);
        let whole = letter(vec![1, 2, 3]);
        let bytes = seal(&key, &whole).unwrap();
        assert_eq!(open(&[Key::new([8; 32]), key.clone()], &bytes), Ok(whole));
        for at in 0..bytes.len() {
            assert!(open(keys, &bytes[..at]).is_err());
            for bit in 0..8 {
                let mut changed = bytes.clone();
                changed[at] ^= 1 << bit;
                assert!(open(keys, &changed).is_err(), "byte {at}, bit {bit}");
            }
        }
        assert_eq!(open(&[Key::new([8; 32])], &bytes), Err(Refused::BadSum));
        assert_eq!(open(keys, &vec![1; LONGEST + 1]), Err(Refused::TooLong));
        assert_eq!(seal(&key, &letter(vec![0; LONGEST])), None);
        // A name from the wire may be longer than any of ours: no room, and no panic.
        assert_eq!(room(&letter(vec![]).from, &Life { name: "n".repeat(LONGEST), life: 1 }), 0);
        let most = room(&letter(vec![]).from, &letter(vec![]).to);
        assert!(seal(&key, &letter(vec![0; most])).is_some());
    }

    #[test]
    fn keys_are_read_line_by_line() {
        let line = "0f".repeat(32);
        assert_eq!(Key::read(&format!("# the new one\n{line}\n\n")), Ok(vec![Key::new([15; 32])]));
        assert_eq!(Key::read(&format!("{line}\nshort\n")), Err(NotAKey { line: 2 }));
        assert_eq!(Key::read("\n"), Err(NotAKey { line: 1 }));
        assert_eq!(format!("{:?}", Key::new([15; 32])), "Key(..)");
    }

    proptest! {
        #[test]
        fn a_count_is_taken_once(counts in proptest::collection::vec(1u64..400, 1..300)) {
            let (mut seen, mut model, mut newest) = (Seen::default(), HashSet::new(), 0);
            for count in counts {
                let fresh = count + BEHIND >= newest && model.insert(count);
                prop_assert_eq!(seen.first(count), fresh);
                newest = newest.max(count);
            }
        }

        #[test]
        fn noise_is_refused_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1_400)) {
            prop_assert!(open(&[Key::new([7; 32])], &bytes).is_err());
        }
    }
}
