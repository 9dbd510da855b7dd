//! Any file, and any block body with correct checksums, is read or rejected without a panic and with memory in
//! proportion to the input. Run with: cargo +nightly fuzz run read --fuzz-dir crates/trace/fuzz -- -max_total_time=300

#![no_main]

use havenplank_trace::{summary, Reader};
use libfuzzer_sys::fuzz_target;
use std::io::Cursor;

const STORED: &[u8] = include_bytes!("../../tests/files/version-1.0.hpt");

fn read(bytes: &[u8]) {
    let Ok(mut reader) = Reader::open(Cursor::new(bytes)) else {
        return;
    };
    while let Ok(Some(record)) = reader.record() {
        assert!(record.source < reader.head.sources.len());
    }
    if let Ok(mut reader) = Reader::open(Cursor::new(bytes)) {
        let _ = summary::summarise(&mut reader, Some(1_000_000_000));
    }
}

/// Returns a file with the head of the stored file and one block with the given body.
fn with_body(body: &[u8]) -> Vec<u8> {
    let length = u32::from_le_bytes([STORED[12], STORED[13], STORED[14], STORED[15]]) as usize;
    let mut bytes = STORED[..16 + length + 4].to_vec();
    let packed = zstd::bulk::compress(body, 1).unwrap_or_default();
    let mut frame = b"HPbk".to_vec();
    for number in [packed.len() as u32, body.len() as u32, 1, 0, 0] {
        frame.extend(number.to_le_bytes());
    }
    frame.extend([0; 16]);
    frame.extend(crc32fast::hash(&packed).to_le_bytes());
    let checksum = crc32fast::hash(&frame);
    frame.extend(checksum.to_le_bytes());
    bytes.extend(frame);
    bytes.extend(packed);
    bytes
}

fuzz_target!(|bytes: &[u8]| {
    match bytes.split_first() {
        Some((0, rest)) => read(rest),
        Some((_, rest)) => read(&with_body(rest)),
        None => {}
    }
});
