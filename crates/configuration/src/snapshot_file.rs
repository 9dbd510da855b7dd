//! The file of a whole snapshot: a magic word, the length and blake3 hash of the body, then the body, compressed.

use crate::bucket::BUCKETS;
use crate::digest::Digest;
use crate::encoding::{append, append_bucket, compress, decompress, read_bucket};
use crate::snapshot::Snapshot;
use crate::version::Version;
use std::sync::Arc;

const MAGIC: &[u8; 8] = b"hpsnap1\n";
const LENGTH_BYTES: usize = size_of::<u64>();
const HASH_BYTES: usize = blake3::OUT_LEN;
const HEADER_BYTES: usize = MAGIC.len() + LENGTH_BYTES + HASH_BYTES;
/// The longest file: far more than the most records that a snapshot may have take.
pub(crate) const MAX_FILE_BYTES: u64 = 128 << 20;
const MAX_RAW_BYTES: usize = 256 << 20;

/// The bytes of the file; `None` for want of memory.
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

/// The snapshot of a file.
///
/// # Errors
/// What is wrong with the file, in a few words.
pub(crate) fn decode(bytes: &[u8]) -> Result<Snapshot, String> {
    let (magic, rest) = bytes.split_first_chunk().ok_or("shorter than its header")?;
    let (length, rest) = rest.split_first_chunk().ok_or("shorter than its header")?;
    let (hash, body) = rest
        .split_first_chunk::<HASH_BYTES>()
        .ok_or("shorter than its header")?;
    if magic != MAGIC {
        return Err("not a snapshot of this release".to_string());
    }
    if u64::from_le_bytes(*length) != body.len() as u64 {
        return Err(format!(
            "{} bytes of body, its header states others",
            body.len()
        ));
    }
    if blake3::hash(body) != *hash {
        return Err("its checksum differs".to_string());
    }
    let raw = decompress(body, MAX_RAW_BYTES).ok_or("its body cannot be decompressed")?;
    read(&raw)
}

fn read(raw: &[u8]) -> Result<Snapshot, String> {
    let header = postcard::take_from_bytes::<(Version, Digest)>(raw);
    let ((version, digest), mut rest) = header.map_err(|error| error.to_string())?;
    let mut buckets = Vec::with_capacity(BUCKETS);
    for number in 0..BUCKETS {
        let (bucket, after) = read_bucket(number, rest).map_err(|error| error.to_string())?;
        rest = after;
        buckets.push(Arc::new(bucket));
    }
    if !rest.is_empty() {
        return Err(format!("{} bytes too many in its body", rest.len()));
    }
    let snapshot = Snapshot::from_buckets(version, buckets).map_err(|error| error.to_string())?;
    if snapshot.digest() != digest {
        return Err(format!(
            "its records have digest {}, it states {digest}",
            snapshot.digest()
        ));
    }
    Ok(snapshot)
}
