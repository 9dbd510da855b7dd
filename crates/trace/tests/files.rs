//! Files that are cut off, damaged, forged, newer or older are read up to the damage or rejected; a reader never
//! returns records that were not written.

mod common;

use common::*;
use havenplank::interface::PriorAttempt;
use havenplank_sidecar::engine::{Effect, EPOCH};
use havenplank_sidecar::events::Event;
use havenplank_trace::file::{Reader, MAGIC};
use havenplank_trace::{replay, Head, Payload, Record, TraceError, Writer};
use proptest::prelude::*;
use std::io::Cursor;
use std::path::Path;

/// Returns a short file of several blocks, and its records.
fn short_file() -> (Vec<u8>, Vec<Record>) {
    let bytes = file(&SidecarRun::new("sidecar-0", 13, 300 * MS));
    let records = all(&bytes);
    let mut writer = Writer::new(Vec::new(), &open(&bytes).head, Vec::new()).unwrap();
    for (n, record) in records.iter().enumerate() {
        writer.put(record.clone()).unwrap();
        if n % 60 == 59 {
            writer.flush().unwrap();
        }
    }
    (writer.finish().unwrap(), records)
}

#[test]
fn reads_a_resumed_request_as_written() {
    let (bytes, mut records) = short_file();
    let at = records.iter().position(Record::is_arrival).unwrap();
    let hit = records[at].request_id().unwrap();
    let known = PriorAttempt {
        pod: Some(1),
        ago: 40 * MS,
        may_have_run: true,
    };
    let prior_attempts = vec![
        known,
        PriorAttempt {
            pod: None,
            ago: MS,
            may_have_run: false,
        },
    ];
    let payload = Payload::Event(Event::RequestResumed {
        request: hit,
        prior_attempts,
    });
    records.insert(
        at,
        Record {
            payload,
            pod: None,
            ..records[at].clone()
        },
    );
    assert!(
        records[at].begins_request()
            && records[at].request_id() == Some(hit)
            && !records[at].is_arrival()
    );
    let mut writer = Writer::new(Vec::new(), &open(&bytes).head, Vec::new()).unwrap();
    records
        .iter()
        .for_each(|record| writer.put(record.clone()).unwrap());
    let (found, error) = read(&writer.finish().unwrap());
    assert!(error.is_none() && found == records);
}

/// Returns all records that can be read, and the error or the reason for which the index was rebuilt, if any.
fn read(bytes: &[u8]) -> (Vec<Record>, Option<String>) {
    let mut reader = match Reader::open(Cursor::new(bytes)) {
        Ok(reader) => reader,
        Err(error) => return (Vec::new(), Some(error.to_string())),
    };
    let mut records = Vec::new();
    loop {
        match reader.record() {
            Ok(Some(record)) => records.push(record),
            Ok(None) => return (records, reader.index_error.map(|error| error.to_string())),
            Err(error) => return (records, Some(error.to_string())),
        }
    }
}

#[test]
fn reads_up_to_the_last_complete_block_when_cut_off_at_any_byte() {
    let (bytes, records) = short_file();
    let index = open(&bytes).index;
    assert!(index.len() >= 4 && read(&bytes) == (records.clone(), None));
    for length in 0..bytes.len() {
        let (found, error) = read(&bytes[..length]);
        let is_complete = |entry: &&havenplank_trace::file::IndexEntry| {
            entry.offset as usize + 48 + entry.packed as usize <= length
        };
        let expected: usize = index
            .iter()
            .take_while(is_complete)
            .map(|entry| entry.records as usize)
            .sum();
        assert!(error.is_some(), "cut off at {length}: no error");
        assert!(
            found.len() == expected && found[..] == records[..expected],
            "cut off at {length}: {} of {expected}",
            found.len()
        );
    }
}

#[test]
fn reports_a_changed_byte_and_returns_no_wrong_record() {
    let (bytes, records) = short_file();
    for at in 0..bytes.len() {
        for bit in [0x01, 0x80] {
            let mut flipped = bytes.clone();
            flipped[at] ^= bit;
            let (found, error) = read(&flipped);
            assert!(error.is_some(), "byte {at}: no error");
            assert!(records.starts_with(&found), "byte {at}: wrong records");
        }
    }
}

/// Returns a frame with correct checksums, whatever its content is.
fn frame(packed: &[u8], unpacked: u32, tag: &[u8]) -> Vec<u8> {
    let mut frame = tag.to_vec();
    for number in [packed.len() as u32, unpacked, 1, 0, 0] {
        frame.extend(number.to_le_bytes());
    }
    frame.extend(EPOCH.to_le_bytes());
    frame.extend(EPOCH.to_le_bytes());
    frame.extend(crc32fast::hash(packed).to_le_bytes());
    let checksum = crc32fast::hash(&frame);
    frame.extend(checksum.to_le_bytes());
    frame.extend(packed);
    frame
}

/// Returns the head of a file with a correct checksum; `length` is the stated length of the JSON.
fn head_bytes(major: u16, minor: u16, head: &[u8], length: u32) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(major.to_le_bytes());
    bytes.extend(minor.to_le_bytes());
    bytes.extend(length.to_le_bytes());
    bytes.extend(head);
    let checksum = crc32fast::hash(&bytes);
    bytes.extend(checksum.to_le_bytes());
    bytes
}

fn head() -> Vec<u8> {
    serde_json::to_vec(&Head::new(
        vec![SidecarRun::new("sidecar-0", 1, S).source()],
    ))
    .unwrap()
}

/// Returns a file of one block with the given body.
fn with_body(body: &[u8]) -> Vec<u8> {
    let head = head();
    let mut bytes = head_bytes(1, 0, &head, head.len() as u32);
    bytes.extend(frame(
        &zstd::bulk::compress(body, 3).unwrap(),
        body.len() as u32,
        b"HPbk",
    ));
    bytes
}

#[test]
fn rejects_wrong_lengths_and_decompression_bombs() {
    let head = head();
    let (_, error) = read(&head_bytes(1, 0, &head, u32::MAX));
    assert!(error.unwrap().contains("the head is cut off"));
    // A few kilobytes that decompress to 64 MiB of zeros, with the true length and with a shorter one in the frame.
    let bomb = zstd::bulk::compress(&vec![0; 64 << 20], 19).unwrap();
    assert!(bomb.len() < 10_000);
    for length in [64 << 20, 1 << 20] {
        let mut bytes = head_bytes(1, 0, &head, head.len() as u32);
        bytes.extend(frame(&bomb, length, b"HPbk"));
        let (found, error) = read(&bytes);
        let error = error.unwrap();
        assert!(
            found.is_empty() && (error.contains("larger") || error.contains("length")),
            "{error}"
        );
    }
    // Counts in the postcard encoding: a dictionary of 2^60 entries in nine bytes, and a list that is about as long.
    let (_, error) = read(&with_body(&[
        0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x0f,
    ]));
    assert!(error.unwrap().contains("body"));
    let columns: &[(u16, &[u8])] = &[
        (0, &[6]),
        (1, &[0]),
        (2, &[0]),
        (3, &[0]),
        (96, &[1]),
        (97, &[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f]),
    ];
    let empty: (Vec<u8>, Vec<u8>, Vec<u8>, Vec<u8>) = Default::default();
    let body = postcard::to_stdvec(&(empty, columns)).unwrap();
    let (found, error) = read(&with_body(&body));
    assert!(
        found.is_empty()
            && error
                .as_ref()
                .is_some_and(|error| error.contains("column 97")),
        "{error:?}"
    );
}

#[test]
fn skips_unknown_content_of_newer_minor_versions_and_rejects_newer_major_versions() {
    let (mut bytes, _) = short_file();
    bytes[8] = 2;
    assert!(matches!(
        Reader::open(Cursor::new(&bytes)),
        Err(TraceError::UnsupportedMajor(2))
    ));
    // Minor version 7 with an unknown field of the head, an unknown kind, an unknown enum value, unknown columns, and
    // an unknown field of the body.
    let mut head: serde_json::Value = serde_json::from_slice(&head()).unwrap();
    head["colour"] = "blue".into();
    let head = serde_json::to_vec(&head).unwrap();
    let columns: &[(u16, &[u8])] = &[
        (0, &[1, 30, 4, 7]),
        (1, &[0, 5, 5, 5]),
        (2, &[0, 0, 0, 0]),
        (3, &[0, 0, 0, 0]),
        (64, &[0]),
        (65, &[0]),
        (66, &[77]),
        (67, &[1]),
        (68, &[0]),
        (69, &[0]),
        (480, &[1, 2, 3]),
        (9_000, &[4]),
    ];
    let empty: (Vec<u8>, Vec<u8>, Vec<u8>, Vec<u8>) = Default::default();
    let body = postcard::to_stdvec(&(empty, columns, "new")).unwrap();
    let mut bytes = head_bytes(1, 7, &head, head.len() as u32);
    bytes.extend(frame(
        &zstd::bulk::compress(&body, 3).unwrap(),
        body.len() as u32,
        b"HPbk",
    ));
    let mut reader = open(&bytes);
    let records: Vec<Record> = std::iter::from_fn(|| reader.record().unwrap()).collect();
    let times: Vec<u64> = records.iter().map(|record| record.at - EPOCH).collect();
    assert!(
        reader.minor_version == 7 && times == [0, 15] && reader.skipped() == 2,
        "{times:?} {}",
        reader.skipped()
    );
}

/// Every version of major 1 must read the same from the file that version 1.0 wrote.
#[test]
fn reads_the_stored_file_of_version_1_0() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/files/version-1.0.hpt");
    let bytes = std::fs::read(path).unwrap();
    let reader = open(&bytes);
    assert!(
        reader.minor_version == 0
            && reader.index_error.is_none()
            && reader.head.sources[0].settings.name == "sidecar-0"
    );
    let records = all(&bytes);
    let (mut requests, mut took, mut to_pod, mut listed) = (0, 0, 0, 0);
    for record in &records {
        match &record.payload {
            Payload::Event(Event::RequestArrived { attributes, .. }) => {
                requests += attributes.remaining
            }
            Payload::Event(Event::AttemptEnded { took: ns, .. }) => took += ns,
            Payload::Event(Event::EndpointsListed { pods, .. }) => listed += pods.len(),
            Payload::Effect(Effect::SendAttempt { .. }) => {
                let name = record.pod.as_ref().map(|pod| pod.name.as_str());
                to_pod += (name == Some("searchnode3.krakow.example.org")) as u32;
            }
            _ => {}
        }
    }
    assert_eq!(
        (records.len(), requests, took, to_pod, listed),
        (1671, 1_057_983_905_706, 11_772_410_187, 35, 21)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Bodies with correct checksums and changed content.
    #[test]
    fn reads_or_rejects_any_body(changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6)) {
        let (bytes, _) = short_file();
        let entry = open(&bytes).index[1];
        let from = entry.offset as usize + 48;
        let mut body = zstd::bulk::decompress(&bytes[from..from + entry.packed as usize], 1 << 20).unwrap();
        for (at, byte) in changes {
            let at = at.index(body.len());
            body[at] = byte;
        }
        let changed = with_body(&body);
        read(&changed);
        let reader = Reader::open(Cursor::new(&changed[..])).unwrap();
        // Events in orders that no sidecar ever received: replayed, or reported as a difference.
        let _ = replay::replay(vec![reader]);
    }

    #[test]
    fn reads_or_rejects_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        read(&bytes);
        read(&with_body(&bytes));
        let mut after = head_bytes(1, 0, &head(), head().len() as u32);
        after.extend(&bytes);
        read(&after);
    }
}
