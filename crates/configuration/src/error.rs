//! What can be wrong with a configuration on its way, typed.

use crate::digest::Digest;
use crate::record::{InvalidRecord, RecordKey, RecordKind};
use crate::version::Version;

/// Why a delta or a set of records makes no snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The delta builds on another version.
    #[error(
        "the delta begins at version {base}, but version {have} is held; ask for the deltas since then"
    )]
    WrongBase {
        /// The version held.
        have: Version,
        /// The version on which the delta builds.
        base: Version,
    },
    /// The delta leads to no newer version.
    #[error("the delta leads from version {from} back to {to}; it is dropped")]
    NotNewer {
        /// Where it begins.
        from: Version,
        /// Where it leads.
        to: Version,
    },
    /// The result has other records than the delta states.
    #[error(
        "the result has digest {found}, the delta states {expected}; ask for the whole snapshot"
    )]
    DigestMismatch {
        /// What the delta states.
        expected: Digest,
        /// What the records have.
        found: Digest,
    },
    /// A record with a field out of its bounds.
    #[error(transparent)]
    Invalid(#[from] InvalidRecord),
    /// Two records with one key.
    #[error("{record} stands there twice")]
    Duplicate {
        /// Their key.
        record: RecordKey,
    },
    /// More records of a kind than a configuration may have.
    #[error("{found} records of kind {kind}, {max} at most")]
    TooMany {
        /// The kind.
        kind: RecordKind,
        /// How many there are.
        found: usize,
        /// How many there may be.
        max: usize,
    },
}

/// Why bytes are no delta or manifest.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// More bytes than may be read.
    #[error("{found} bytes, {max} at most")]
    TooLong {
        /// How many there are.
        found: usize,
        /// How many there may be.
        max: usize,
    },
    /// An encoding that this release does not know.
    #[error("format {found}, only {known} is known; the sender is of another release")]
    UnknownFormat {
        /// The number of the format.
        found: u8,
        /// The number of the only known one.
        known: u8,
    },
    /// Bytes that are no such encoding.
    #[error("cut short or no such encoding: {0}")]
    Malformed(#[from] postcard::Error),
    /// Bytes after the end.
    #[error("{found} bytes too many at the end")]
    Trailing {
        /// How many.
        found: usize,
    },
    /// A record that does not stand in its place.
    #[error("{record} is out of order or stands there twice")]
    OutOfOrder {
        /// Its key.
        record: RecordKey,
    },
    /// A record with a field out of its bounds.
    #[error(transparent)]
    Invalid(#[from] InvalidRecord),
}

/// Why a snapshot cannot be put together from chunks.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// The manifest is of a version before the one that is held.
    #[error("version {offered} is offered, but version {have} is held, which is newer")]
    OlderVersion {
        /// The version held.
        have: Version,
        /// That of the manifest.
        offered: Version,
    },
    /// The manifest does not name each bucket once.
    #[error("a manifest of {found} buckets, expected {expected}")]
    BucketCount {
        /// How many it names.
        found: usize,
        /// How many there are.
        expected: usize,
    },
    /// The manifest contradicts itself.
    #[error("the buckets of the manifest have digest {found} together, it states {expected}")]
    ManifestDigestMismatch {
        /// What it states.
        expected: Digest,
        /// What its buckets have together.
        found: Digest,
    },
    /// A chunk of another version than the manifest.
    #[error("a chunk of version {found}, expected {expected}; it is dropped")]
    WrongVersion {
        /// That of the manifest.
        expected: Version,
        /// That of the chunk.
        found: Version,
    },
    /// A chunk names a bucket that does not exist, or one twice.
    #[error("bucket {bucket} is out of range or out of order")]
    InvalidBucketNumber {
        /// Its number.
        bucket: u16,
    },
    /// A chunk of more bytes than may be read.
    #[error("a chunk of {found} bytes, {max} at most")]
    TooLong {
        /// How many there are.
        found: usize,
        /// How many there may be.
        max: usize,
    },
    /// A chunk that is not compressed, or too long once decompressed.
    #[error("a chunk that cannot be decompressed within {max} bytes")]
    Decompress {
        /// Bytes that it may have then.
        max: usize,
    },
    /// Buckets that cannot be read.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// A bucket with other records than the manifest states.
    #[error(
        "bucket {bucket} has digest {found}, the manifest states {expected}; ask for it again"
    )]
    DigestMismatch {
        /// Its number.
        bucket: u16,
        /// What the manifest states.
        expected: Digest,
        /// What the records have.
        found: Digest,
    },
    /// Buckets are missing yet.
    #[error("{missing} buckets are missing yet")]
    Incomplete {
        /// How many.
        missing: usize,
    },
    /// The buckets make no snapshot.
    #[error(transparent)]
    Apply(#[from] ApplyError),
}
