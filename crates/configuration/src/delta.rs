//! What changed between two versions, and its encoding.

use crate::digest::Digest;
use crate::encoding::append;
use crate::error::DecodeError;
use crate::record::{Record, RecordKey};
use crate::version::Version;
use serde::{Deserialize, Serialize};

/// The longest encoded delta: three times all tenants of the size to plan with.
pub const MAX_DELTA_BYTES: usize = 16 << 20;
/// The least that one change takes: which, of which kind, the length of its name, and that.
const MIN_CHANGE_BYTES: usize = 4;
const FORMAT: u8 = 1;

/// One record that is new, changed or gone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// New, or in place of the one with the same key.
    Put(Record),
    /// Gone.
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

/// The way from one version to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Delta {
    /// The version that it builds on.
    pub from: Version,
    /// The version that it leads to.
    pub to: Version,
    /// The digest of the result.
    pub digest: Digest,
    /// What changes, by key, each key once.
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
    /// The bytes that [`Delta::decode`] reads.
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

    /// Reads an encoded delta. Memory grows with what was read, never with what a length states.
    ///
    /// # Errors
    /// Bytes that [`Delta::encode`] does not write, or a record out of bounds.
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
        let stated = header.changes as usize;
        let mut changes: Vec<Change> =
            Vec::with_capacity(stated.min(rest.len() / MIN_CHANGE_BYTES));
        let mut last_key = None;
        for _ in 0..stated {
            let (change, after) = postcard::take_from_bytes::<Change>(rest)?;
            rest = after;
            check(&change)?;
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

fn check(change: &Change) -> Result<(), DecodeError> {
    match change {
        Change::Put(record) => record.check()?,
        Change::Remove(key) => key.check()?,
    }
    Ok(())
}
