//! The changes between two versions, and their encoding.

use crate::digest::Digest;
use crate::encoding::append;
use crate::error::DecodeError;
use crate::record::{Record, RecordKey};
use crate::version::Version;
use serde::{Deserialize, Serialize};

/// Longest encoded delta, in bytes: three times one with the 150,000 tenants of a planned fleet.
pub const MAX_DELTA_BYTES: usize = 16 << 20;
/// Smallest encoded size of one change, in bytes: the variant, the kind of record, the length of the name, and a name
/// of one byte.
const MIN_CHANGE_BYTES: usize = 4;
/// The number of the encoding that this release writes and reads.
const FORMAT: u8 = 1;

/// One record that was added, changed or removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Adds the record, or replaces the one with the same key.
    Put(Record),
    /// Removes the record of this key.
    Remove(RecordKey),
}

impl Change {
    /// Returns the key of the record that changes.
    pub fn key(&self) -> RecordKey {
        match self {
            Change::Put(record) => record.key(),
            Change::Remove(key) => key.clone(),
        }
    }
}

/// The changes that lead from one version to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Delta {
    /// The version that the delta builds on.
    pub from: Version,
    /// The version that the delta leads to.
    pub to: Version,
    /// The digest of all records of the resulting version.
    pub digest: Digest,
    /// The changes, sorted by key; each key occurs once.
    pub changes: Vec<Change>,
}

#[derive(Serialize, Deserialize)]
struct Header {
    format: u8,
    from: Version,
    to: Version,
    digest: Digest,
    changes: u32,
}

impl Delta {
    /// Returns the bytes that [`Delta::decode`] reads.
    pub fn encode(&self) -> Vec<u8> {
        let header = Header {
            format: FORMAT,
            from: self.from,
            to: self.to,
            digest: self.digest,
            changes: u32::try_from(self.changes.len()).unwrap_or(u32::MAX),
        };
        let mut bytes = Vec::new();
        append(&header, &mut bytes);
        self.changes
            .iter()
            .for_each(|change| append(change, &mut bytes));
        bytes
    }

    /// Decodes a delta. Memory grows with the bytes that were read, never with a length that the bytes state.
    ///
    /// # Errors
    /// The bytes are not the encoding of a delta, or a record has a field out of its bounds.
    pub fn decode(bytes: &[u8]) -> Result<Delta, DecodeError> {
        if bytes.len() > MAX_DELTA_BYTES {
            return Err(DecodeError::TooLong {
                found: bytes.len(),
                max: MAX_DELTA_BYTES,
            });
        }
        let (header, mut rest) = postcard::take_from_bytes::<Header>(bytes)?;
        if header.format != FORMAT {
            return Err(DecodeError::UnknownFormat {
                found: header.format,
                known: FORMAT,
            });
        }
        let stated_changes = header.changes as usize;
        let mut changes: Vec<Change> =
            Vec::with_capacity(stated_changes.min(rest.len() / MIN_CHANGE_BYTES));
        let mut last_key = None;
        for _ in 0..stated_changes {
            let (change, remaining) = postcard::take_from_bytes::<Change>(rest)?;
            rest = remaining;
            check_change(&change)?;
            let key = change.key();
            if last_key.is_some_and(|last| last >= key) {
                return Err(DecodeError::OutOfOrder { record: key });
            }
            last_key = Some(key);
            changes.push(change);
        }
        if !rest.is_empty() {
            return Err(DecodeError::Trailing { found: rest.len() });
        }
        Ok(Delta {
            from: header.from,
            to: header.to,
            digest: header.digest,
            changes,
        })
    }
}

fn check_change(change: &Change) -> Result<(), DecodeError> {
    match change {
        Change::Put(record) => record.check()?,
        Change::Remove(key) => key.check()?,
    }
    Ok(())
}
