//! Bytes of records and buckets, as files and chunks hold them.

use crate::bucket::{Bucket, Place};
use crate::error::DecodeError;
use crate::record::Record;
use serde::Serialize;
use std::io::Read;

const COMPRESSION_LEVEL: i32 = 3;

/// Appends the canonical bytes of a value; a vector takes every byte and no type here has a part that postcard refuses.
pub(crate) fn append<T: Serialize>(value: &T, bytes: &mut Vec<u8>) {
    let written = postcard::to_io(value, bytes);
    debug_assert!(
        written.is_ok(),
        "the types of a configuration always have canonical bytes"
    );
}

/// Appends the records of a bucket after their count.
pub(crate) fn append_bucket(bucket: &Bucket, raw: &mut Vec<u8>) {
    append(&bucket.records().len(), raw);
    bucket
        .records()
        .iter()
        .for_each(|record| append(record, raw));
}

/// Reads one bucket and returns what follows it. Its records are checked, belong there and stand in their order.
pub(crate) fn read_bucket(number: usize, raw: &[u8]) -> Result<(Bucket, &[u8]), DecodeError> {
    let (count, mut rest) = postcard::take_from_bytes::<usize>(raw)?;
    let mut bucket = Bucket::default();
    for _ in 0..count {
        let (record, after) = postcard::take_from_bytes::<Record>(rest)?;
        rest = after;
        record.check()?;
        let place = Place::of(record.kind(), record.name());
        if place.bucket != number || !bucket.follows(&record, place.hash) {
            return Err(DecodeError::OutOfOrder {
                record: record.key(),
            });
        }
        bucket.push(record, place.hash);
    }
    bucket.shrink();
    Ok((bucket, rest))
}

/// Compressed with zstd. `None` where the library refuses, which it does only for want of memory.
pub(crate) fn compress(raw: &[u8]) -> Option<Vec<u8>> {
    zstd::bulk::compress(raw, COMPRESSION_LEVEL).ok()
}

/// What was compressed; `None` where it is no such thing or longer than `most`. Memory grows with what was read.
pub(crate) fn decompress(body: &[u8], most: usize) -> Option<Vec<u8>> {
    let decoder = zstd::stream::read::Decoder::with_buffer(body).ok()?;
    let mut raw = Vec::new();
    decoder.take(most as u64 + 1).read_to_end(&mut raw).ok()?;
    (raw.len() <= most).then_some(raw)
}
