//! The frame in front of each block and of the index.

use super::IndexEntry;

/// The size of a frame in bytes.
pub(super) const FRAME_BYTES: usize = 48;
/// The tag of a block of records.
pub(super) const BLOCK_TAG: &[u8; 4] = b"HPbk";
/// The tag of the index.
pub(super) const INDEX_TAG: &[u8; 4] = b"HPix";

/// Returns the bytes of a frame; `checksum` is the checksum of the bytes that follow the frame.
pub(super) fn encode_frame(tag: &[u8; 4], entry: &IndexEntry, checksum: u32) -> [u8; FRAME_BYTES] {
    let mut frame = [0; FRAME_BYTES];
    let mut at = 0;
    let mut add = |bytes: &[u8]| {
        frame[at..at + bytes.len()].copy_from_slice(bytes);
        at += bytes.len();
    };
    add(tag);
    for number in [
        entry.packed,
        entry.unpacked,
        entry.records,
        entry.requests,
        entry.shared,
    ] {
        add(&number.to_le_bytes());
    }
    add(&entry.first.to_le_bytes());
    add(&entry.last.to_le_bytes());
    add(&checksum.to_le_bytes());
    let own_checksum = crc32fast::hash(&frame[..FRAME_BYTES - 4]);
    frame[FRAME_BYTES - 4..].copy_from_slice(&own_checksum.to_le_bytes());
    frame
}

/// Reads a little-endian integer of 32 bits at an offset; returns 0 where the bytes end before its end.
pub(super) fn u32_at(bytes: &[u8], at: usize) -> u32 {
    bytes[at..]
        .first_chunk()
        .map_or(0, |chunk| u32::from_le_bytes(*chunk))
}

/// Reads a little-endian integer of 64 bits at an offset; returns 0 where the bytes end before its end.
pub(super) fn u64_at(bytes: &[u8], at: usize) -> u64 {
    bytes[at..]
        .first_chunk()
        .map_or(0, |chunk| u64::from_le_bytes(*chunk))
}

/// Returns the frame's tag, its index entry and the checksum of the bytes that follow; `None` where the frame's own
/// checksum is wrong.
pub(super) fn decode_frame(
    bytes: &[u8; FRAME_BYTES],
    offset: u64,
) -> Option<([u8; 4], IndexEntry, u32)> {
    if crc32fast::hash(&bytes[..FRAME_BYTES - 4]) != u32_at(bytes, FRAME_BYTES - 4) {
        return None;
    }
    let entry = IndexEntry {
        offset,
        packed: u32_at(bytes, 4),
        unpacked: u32_at(bytes, 8),
        records: u32_at(bytes, 12),
        requests: u32_at(bytes, 16),
        shared: u32_at(bytes, 20),
        first: u64_at(bytes, 24),
        last: u64_at(bytes, 32),
    };
    Some((*bytes.first_chunk::<4>()?, entry, u32_at(bytes, 40)))
}
