//! Errors of a configuration that is received, decoded or applied.

use crate::digest::Digest;
use crate::record::{InvalidRecord, RecordKey, RecordKind};
use crate::version::Version;

/// Why a delta cannot be applied, or why records do not form a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The delta builds on another version.
    #[error(
        "the delta builds on version {base}, but version {have} is held; request the deltas since version {have}"
    )]
    WrongBase {
        /// The version held.
        have: Version,
        /// The version on which the delta builds.
        base: Version,
    },
    /// The delta does not lead to a newer version.
    #[error(
        "the delta leads from version {from} to {to}, which is not newer; the delta is dropped"
    )]
    NotNewer {
        /// The version on which the delta builds.
        from: Version,
        /// The version to which the delta leads.
        to: Version,
    },
    /// The delta states another digest than the resulting records have.
    #[error(
        "the result has digest {found}, but the delta states {expected}; request the complete snapshot"
    )]
    DigestMismatch {
        /// The digest that the delta states.
        expected: Digest,
        /// The digest of the records.
        found: Digest,
    },
    /// A record has a field out of its bounds.
    #[error(transparent)]
    Invalid(#[from] InvalidRecord),
    /// Two records with the same key.
    #[error("{record} occurs twice")]
    Duplicate {
        /// The key of both records.
        record: RecordKey,
    },
    /// More records of a kind than a configuration may have.
    #[error("{found} records of kind {kind}; expected at most {max}")]
    TooMany {
        /// The kind of the records.
        kind: RecordKind,
        /// The number found.
        found: usize,
        /// The maximum allowed.
        max: usize,
    },
}

/// Why bytes cannot be decoded as a delta or as buckets.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The encoding is longer than allowed.
    #[error("the encoding has {found} bytes; expected at most {max}")]
    TooLong {
        /// The number found.
        found: usize,
        /// The maximum allowed.
        max: usize,
    },
    /// The bytes are in a format that this release does not know.
    #[error("format {found}, only {known} is known; the sender is of another release")]
    UnknownFormat {
        /// The number of the format.
        found: u8,
        /// The number of the only known format.
        known: u8,
    },
    /// The bytes are truncated or not in the expected encoding.
    #[error("the bytes are truncated or not in the expected encoding: {0}")]
    Malformed(#[from] postcard::Error),
    /// More bytes follow the end of the encoding.
    #[error("{found} bytes follow the end of the encoding; expected none")]
    Trailing {
        /// The number of those bytes.
        found: usize,
    },
    /// A record is out of order, occurs twice or belongs to another bucket.
    #[error("{record} is out of order, occurs twice or belongs to another bucket")]
    OutOfOrder {
        /// The key of the record.
        record: RecordKey,
    },
    /// A record has a field out of its bounds.
    #[error(transparent)]
    Invalid(#[from] InvalidRecord),
}

/// Why a snapshot cannot be assembled from chunks.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// The manifest is of an older version than the one that is held.
    #[error("version {offered} is offered, but version {have} is held, which is newer")]
    OlderVersion {
        /// The version held.
        have: Version,
        /// The version of the manifest.
        offered: Version,
    },
    /// The manifest lists too few or too many buckets.
    #[error("the manifest lists {found} buckets; expected {expected}")]
    BucketCount {
        /// The number of buckets in the manifest.
        found: usize,
        /// The number of buckets of every snapshot.
        expected: usize,
    },
    /// The digests of the buckets do not add up to the digest of the manifest.
    #[error("the digests of the buckets add up to {found}, but the manifest states {expected}")]
    ManifestDigestMismatch {
        /// The digest that the manifest states.
        expected: Digest,
        /// The sum of the digests of its buckets.
        found: Digest,
    },
    /// The chunk has another version than the manifest.
    #[error("the chunk has version {found}, expected {expected}; the chunk is dropped")]
    WrongVersion {
        /// The version of the manifest.
        expected: Version,
        /// The version of the chunk.
        found: Version,
    },
    /// A chunk names a bucket that does not exist, or the same bucket twice.
    #[error("bucket {bucket} is out of range or out of order")]
    InvalidBucketNumber {
        /// The number of the bucket.
        bucket: u16,
    },
    /// The compressed body of a chunk is longer than allowed.
    #[error("the chunk has a body of {found} bytes; expected at most {max}")]
    TooLong {
        /// The number found.
        found: usize,
        /// The maximum allowed.
        max: usize,
    },
    /// The body of a chunk is not compressed, or too long once decompressed.
    #[error("the chunk is not compressed data, or has more than {max} bytes once decompressed")]
    Decompress {
        /// The maximum number of decompressed bytes.
        max: usize,
    },
    /// The buckets of a chunk cannot be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The manifest states another digest than the records of a bucket have.
    #[error(
        "bucket {bucket} has digest {found}, the manifest states {expected}; ask for it again"
    )]
    DigestMismatch {
        /// The number of the bucket.
        bucket: u16,
        /// The digest that the manifest states.
        expected: Digest,
        /// The digest of the records.
        found: Digest,
    },
    /// Some buckets have not been received.
    #[error("{missing} buckets are still missing")]
    Incomplete {
        /// The number of missing buckets.
        missing: usize,
    },
    /// The buckets do not form a snapshot.
    #[error(transparent)]
    Apply(#[from] ApplyError),
}
