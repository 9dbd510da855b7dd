//! The encoding of records and buckets in files and chunks.

use crate::bucket::{Bucket, KeyHash};
use crate::error::DecodeError;
use crate::record::Record;
use serde::Serialize;
use std::io::Read;

const ZSTD_LEVEL: i32 = 3;

/// Appends the canonical bytes of a value. This cannot fail: a vector accepts every byte, and postcard can encode every
/// type of this package.
pub(crate) fn append<T: Serialize>(value: &T, bytes: &mut Vec<u8>) {
    let written = postcard::to_io(value, bytes);
    debug_assert!(
        written.is_ok(),
        "the types of a configuration always have canonical bytes"
    );
}

/// Appends the number of records in a bucket, then the records.
pub(crate) fn append_bucket(bucket: &Bucket, raw: &mut Vec<u8>) {
    append(&bucket.records().len(), raw);
    bucket
        .records()
        .iter()
        .for_each(|record| append(record, raw));
}

/// Reads one bucket and returns it with the bytes after it. Rejects a record that is invalid, belongs to another bucket
/// or is out of order.
pub(crate) fn read_bucket(number: usize, raw: &[u8]) -> Result<(Bucket, &[u8]), DecodeError> {
    let (count, mut rest) = postcard::take_from_bytes::<usize>(raw)?;
    let mut bucket = Bucket::default();
    for _ in 0..count {
        let (record, remaining) = postcard::take_from_bytes::<Record>(rest)?;
        rest = remaining;
        record.check()?;
        let key_hash = KeyHash::of(record.kind(), record.name());
        if key_hash.bucket != number || !bucket.sorts_last(&record, key_hash.hash) {
            return Err(DecodeError::OutOfOrder {
                record: record.key(),
            });
        }
        bucket.push(record, key_hash.hash);
    }
    bucket.shrink();
    Ok((bucket, rest))
}

/// Compresses with zstd. `None` if the library fails, which happens only when memory runs out.
pub(crate) fn compress(raw: &[u8]) -> Option<Vec<u8>> {
    zstd::bulk::compress(raw, ZSTD_LEVEL).ok()
}

/// Decompresses with zstd. `None` if the bytes are not zstd data or decompress to more than `max_bytes`. Memory grows
/// only with the bytes that were decompressed.
pub(crate) fn decompress(body: &[u8], max_bytes: usize) -> Option<Vec<u8>> {
    let decoder = zstd::stream::read::Decoder::with_buffer(body).ok()?;
    let mut raw = Vec::new();
    decoder
        .take(max_bytes as u64 + 1)
        .read_to_end(&mut raw)
        .ok()?;
    (raw.len() <= max_bytes).then_some(raw)
}
