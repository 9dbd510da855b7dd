//! The file of a complete snapshot: a magic number, the length and the blake3 hash of the body, then the compressed
//! body.

use crate::bucket::BUCKETS;
use crate::digest::Digest;
use crate::encoding::{append, append_bucket, compress, decompress, read_bucket};
use crate::error::{ApplyError, DecodeError};
use crate::snapshot::Snapshot;
use crate::version::Version;
use std::sync::Arc;

const MAGIC: &[u8; 8] = b"hpsnap1\n";
const LENGTH_BYTES: usize = size_of::<u64>();
const HASH_BYTES: usize = blake3::OUT_LEN;
const HEADER_BYTES: usize = MAGIC.len() + LENGTH_BYTES + HASH_BYTES;
/// Longest file; far more than a snapshot with the maximum number of records takes.
pub(crate) const MAX_FILE_BYTES: u64 = 128 << 20;
/// Longest body once decompressed.
const MAX_RAW_BYTES: usize = 256 << 20;

/// Returns the bytes of the file; `None` if there is not enough memory to compress them.
pub(crate) fn encode(snapshot: &Snapshot) -> Option<Vec<u8>> {
    let mut raw = Vec::new();
    append(&(snapshot.version(), snapshot.digest()), &mut raw);
    snapshot
        .buckets()
        .iter()
        .for_each(|bucket| append_bucket(bucket, &mut raw));
    let body = compress(&raw)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&(body.len() as u64).to_le_bytes());
    bytes.extend_from_slice(blake3::hash(&body).as_bytes());
    bytes.extend_from_slice(&body);
    Some(bytes)
}

/// Why bytes cannot be decoded as a snapshot file.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SnapshotFileError {
    #[error("the file is shorter than its header")]
    NoHeader,
    #[error("the file does not begin with the magic number of a snapshot of this release")]
    NoMagic,
    #[error("the body has {found} bytes, but the header states another length")]
    BodyLength { found: usize },
    #[error("the checksum of the body does not match")]
    Checksum,
    #[error("the body cannot be decompressed")]
    Decompress,
    #[error(transparent)]
    Header(#[from] postcard::Error),
    #[error(transparent)]
    Bucket(#[from] DecodeError),
    #[error("the body has {found} bytes after its last bucket; expected none")]
    Trailing { found: usize },
    #[error(transparent)]
    Records(#[from] ApplyError),
    #[error("the records have digest {found}, but the file states {stated}")]
    Digest { found: Digest, stated: Digest },
}

/// Decodes the bytes of a file.
///
/// # Errors
/// The first fault found in the file.
pub(crate) fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotFileError> {
    let no_header = SnapshotFileError::NoHeader;
    let Some((magic, rest)) = bytes.split_first_chunk() else {
        return Err(no_header);
    };
    let Some((length, rest)) = rest.split_first_chunk() else {
        return Err(no_header);
    };
    let Some((hash, body)) = rest.split_first_chunk::<HASH_BYTES>() else {
        return Err(no_header);
    };
    if magic != MAGIC {
        return Err(SnapshotFileError::NoMagic);
    }
    if u64::from_le_bytes(*length) != body.len() as u64 {
        return Err(SnapshotFileError::BodyLength { found: body.len() });
    }
    if blake3::hash(body) != *hash {
        return Err(SnapshotFileError::Checksum);
    }
    read_body(&decompress(body, MAX_RAW_BYTES).ok_or(SnapshotFileError::Decompress)?)
}

/// Reads the decompressed body.
fn read_body(raw: &[u8]) -> Result<Snapshot, SnapshotFileError> {
    let ((version, stated), mut rest) = postcard::take_from_bytes::<(Version, Digest)>(raw)?;
    let mut buckets = Vec::with_capacity(BUCKETS);
    for number in 0..BUCKETS {
        let (bucket, remaining) = read_bucket(number, rest)?;
        rest = remaining;
        buckets.push(Arc::new(bucket));
    }
    if !rest.is_empty() {
        return Err(SnapshotFileError::Trailing { found: rest.len() });
    }
    let snapshot = Snapshot::from_buckets(version, buckets)?;
    let found = snapshot.digest();
    if found != stated {
        return Err(SnapshotFileError::Digest { found, stated });
    }
    Ok(snapshot)
}
