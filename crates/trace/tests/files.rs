//! Files cut off, flipped, lying, newer and older: read up to the damage, or refused, never made up.

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

/// A short file of several blocks, with its records.
fn short() -> (Vec<u8>, Vec<Record>) {
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
fn a_hit_that_goes_on_from_elsewhere_reads_as_written() {
    let (bytes, mut records) = short();
    let at = records.iter().position(Record::is_arrival).unwrap();
    let hit = records[at].request_id().unwrap();
    let known = PriorAttempt {
        pod: Some(1),
        ago: 40 * MS,
        may_have_run: true,
    };
    let past = vec![
        known,
        PriorAttempt {
            pod: None,
            ago: MS,
            may_have_run: false,
        },
    ];
    let payload = Payload::Event(Event::RequestResumed {
        request: hit,
        prior_attempts: past,
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
    let (found, amiss) = read(&writer.finish().unwrap());
    assert!(amiss.is_none() && found == records);
}

/// All that can be read, and whether the reader said that anything is amiss.
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
fn cut_at_every_byte_it_reads_up_to_the_last_whole_block() {
    let (bytes, records) = short();
    let index = open(&bytes).index;
    assert!(index.len() >= 4 && read(&bytes) == (records.clone(), None));
    for length in 0..bytes.len() {
        let (found, amiss) = read(&bytes[..length]);
        let whole = |entry: &&havenplank_trace::file::IndexEntry| {
            entry.offset as usize + 48 + entry.packed as usize <= length
        };
        let there: usize = index
            .iter()
            .take_while(whole)
            .map(|entry| entry.records as usize)
            .sum();
        assert!(amiss.is_some(), "{length}: silent");
        assert!(
            found.len() == there && found[..] == records[..there],
            "{length}: {} of {there}",
            found.len()
        );
    }
}

#[test]
fn a_flipped_byte_is_told_and_nothing_is_made_up() {
    let (bytes, records) = short();
    for at in 0..bytes.len() {
        for bit in [0x01, 0x80] {
            let mut flipped = bytes.clone();
            flipped[at] ^= bit;
            let (found, amiss) = read(&flipped);
            assert!(amiss.is_some(), "byte {at}: silent");
            assert!(records.starts_with(&found), "byte {at}: other records");
        }
    }
}

/// A frame as the format has it, its checksums right whatever it says.
fn frame(packed: &[u8], unpacked: u32, tag: &[u8]) -> Vec<u8> {
    let mut frame = tag.to_vec();
    for number in [packed.len() as u32, unpacked, 1, 0, 0] {
        frame.extend(number.to_le_bytes());
    }
    frame.extend(EPOCH.to_le_bytes());
    frame.extend(EPOCH.to_le_bytes());
    frame.extend(crc32fast::hash(packed).to_le_bytes());
    let sum = crc32fast::hash(&frame);
    frame.extend(sum.to_le_bytes());
    frame.extend(packed);
    frame
}

fn greeting(major: u16, minor: u16, head: &[u8], told: u32) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(major.to_le_bytes());
    bytes.extend(minor.to_le_bytes());
    bytes.extend(told.to_le_bytes());
    bytes.extend(head);
    let sum = crc32fast::hash(&bytes);
    bytes.extend(sum.to_le_bytes());
    bytes
}

fn head() -> Vec<u8> {
    serde_json::to_vec(&Head::new(
        vec![SidecarRun::new("sidecar-0", 1, S).source()],
    ))
    .unwrap()
}

/// A file of one block whose body is this.
fn with_body(body: &[u8]) -> Vec<u8> {
    let head = head();
    let mut bytes = greeting(1, 0, &head, head.len() as u32);
    bytes.extend(frame(
        &zstd::bulk::compress(body, 3).unwrap(),
        body.len() as u32,
        b"HPbk",
    ));
    bytes
}

#[test]
fn lying_lengths_and_bombs_are_refused() {
    let head = head();
    let (_, amiss) = read(&greeting(1, 0, &head, u32::MAX));
    assert!(amiss.unwrap().contains("the head is cut off"));
    // A gigabyte of nothing in a few bytes: told as such, and told as less.
    let bomb = zstd::bulk::compress(&vec![0; 64 << 20], 19).unwrap();
    assert!(bomb.len() < 10_000);
    for told in [64 << 20, 1 << 20] {
        let mut bytes = greeting(1, 0, &head, head.len() as u32);
        bytes.extend(frame(&bomb, told, b"HPbk"));
        let (found, amiss) = read(&bytes);
        let amiss = amiss.unwrap();
        assert!(
            found.is_empty() && (amiss.contains("larger") || amiss.contains("length")),
            "{amiss}"
        );
    }
    // Postcard's counts: a dictionary of 2^60 entries in nine bytes, and a list as long.
    let (_, amiss) = read(&with_body(&[
        0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x0f,
    ]));
    assert!(amiss.unwrap().contains("body"));
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
    let (found, amiss) = read(&with_body(&body));
    assert!(
        found.is_empty()
            && amiss
                .as_ref()
                .is_some_and(|amiss| amiss.contains("column 97")),
        "{amiss:?}"
    );
}

#[test]
fn newer_minor_versions_are_read_without_what_is_new_and_major_ones_refused() {
    let (mut bytes, _) = short();
    bytes[8] = 2;
    assert!(matches!(
        Reader::open(Cursor::new(&bytes)),
        Err(TraceError::UnsupportedMajor(2))
    ));
    // Minor 7: a field of the greeting, a kind, a choice and a column that nobody knows, and a field of the body.
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
    let mut bytes = greeting(1, 7, &head, head.len() as u32);
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

/// A file that version 1.0 wrote: every later version of major 1 reads the same in it.
#[test]
fn the_kept_file_of_version_1_0_reads_as_ever() {
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
            Payload::Event(Event::RequestArrived {
                attributes: asked, ..
            }) => requests += asked.remaining,
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

    /// Bodies whose checksums are right and whose content is not.
    #[test]
    fn any_body_is_read_or_refused(changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6)) {
        let (bytes, _) = short();
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
        // Calls that no sidecar was told, in orders that never were: played or found to differ.
        let _ = replay::replay(vec![reader]);
    }

    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        read(&bytes);
        read(&with_body(&bytes));
        let mut after = greeting(1, 0, &head(), head().len() as u32);
        after.extend(&bytes);
        read(&after);
    }
}
