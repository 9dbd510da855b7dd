//! What can be wrong with a configuration on its way, typed.

use crate::digest::Digest;
use crate::record::{RecordKey, RecordKind};
use crate::version::Version;

/// A record with a field out of its bounds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{record}: {field}: found {found}; expected {expected}")]
pub struct InvalidRecord {
    pub record: RecordKey,
    pub field: &'static str,
    pub found: String,
    pub expected: String,
}

/// Why a delta or a set of records makes no snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    #[error(
        "the delta begins at version {wants}, but version {have} is held; ask for the deltas since then"
    )]
    WrongBase { have: Version, wants: Version },
    #[error("the delta leads from version {from} back to {to}; it is dropped")]
    NotNewer { from: Version, to: Version },
    #[error(
        "the result has digest {found}, the delta states {expected}; ask for the whole snapshot"
    )]
    DigestDiffers { expected: Digest, found: Digest },
    #[error(transparent)]
    Invalid(#[from] InvalidRecord),
    #[error("{record} stands there twice")]
    Duplicate { record: RecordKey },
    #[error("{found} records of kind {kind}, {most} at most")]
    TooMany {
        kind: RecordKind,
        found: usize,
        most: usize,
    },
}

/// Why bytes are no delta or manifest.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    #[error("{found} bytes, {most} at most")]
    TooLong { found: usize, most: usize },
    #[error("format {found}, only {known} is known; the sender is of another release")]
    UnknownFormat { found: u8, known: u8 },
    #[error("cut short or no such encoding: {0}")]
    Malformed(#[from] postcard::Error),
    #[error("{found} bytes too many at the end")]
    Trailing { found: usize },
    #[error("{record} is out of order or stands there twice")]
    OutOfOrder { record: RecordKey },
    #[error(transparent)]
    Invalid(#[from] InvalidRecord),
}

/// Why a snapshot cannot be put together from chunks.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    #[error("version {offered} is offered, but version {have} is held, which is newer")]
    OlderVersion { have: Version, offered: Version },
    #[error("a manifest of {found} buckets, expected {expected}")]
    BucketCount { found: usize, expected: usize },
    #[error("the buckets of the manifest have digest {found} together, it states {expected}")]
    ManifestDiffers { expected: Digest, found: Digest },
    #[error("a chunk of version {found}, expected {expected}; it is dropped")]
    WrongVersion { expected: Version, found: Version },
    #[error("bucket {bucket} is out of range or out of order")]
    BadBucket { bucket: u16 },
    #[error("a chunk of {found} bytes, {most} at most")]
    TooLong { found: usize, most: usize },
    #[error("a chunk that cannot be decompressed within {most} bytes")]
    Decompress { most: usize },
    #[error(transparent)]
    Decode(#[from] DecodeError),
    #[error(
        "bucket {bucket} has digest {found}, the manifest states {expected}; ask for it again"
    )]
    DigestDiffers {
        bucket: u16,
        expected: Digest,
        found: Digest,
    },
    #[error("{missing} buckets are missing yet")]
    Incomplete { missing: usize },
    #[error(transparent)]
    Apply(#[from] ApplyError),
}
