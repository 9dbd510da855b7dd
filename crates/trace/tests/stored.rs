//! A trace that the release build of 0.2.0 recorded, before any name in the code changed, is read, exported and
//! replayed with the same results.

use havenplank_trace::{replay, show, Reader};
use std::io::Cursor;

/// One sidecar in an emulated run of seven seconds: a bad build on trial is rolled back by votes. The process was
/// killed at the end of the run, so the file has no index.
const TRACE: &[u8] = include_bytes!("fixtures/sidecar-1.hpt");
/// What `trace export` of that build printed for [`TRACE`], compressed.
const EXPORTED: &[u8] = include_bytes!("fixtures/sidecar-1.jsonl.zst");
const RECORDS: usize = 1_502;
const REQUESTS: u64 = 372;
const DECISIONS: u64 = 1_090;

fn open() -> Reader<Cursor<&'static [u8]>> {
    Reader::open(Cursor::new(TRACE)).expect("a trace")
}

fn exported() -> String {
    let text = zstd::decode_all(EXPORTED).expect("compressed text");
    String::from_utf8(text).expect("text")
}

#[test]
fn the_head_of_a_stored_trace_reads_and_is_written_with_the_same_bytes() {
    let mut head = open().head;
    // For a file without an index the reader sets the end of the records; the stored head has none.
    head.sources[0].records_end = u64::MAX;
    let written = serde_json::to_vec(&head).expect("a head is JSON");
    let stored = TRACE
        .windows(written.len())
        .any(|bytes| bytes == written.as_slice());
    assert!(stored, "{}", String::from_utf8_lossy(&written));
    assert_eq!(head.settings_hash, "ce6616b21f19e0b4");
    let [source] = head.sources.as_slice() else {
        panic!("{} sources", head.sources.len());
    };
    assert_eq!(
        (source.settings.name.as_str(), source.seed),
        ("sidecar-1", 5876099971135200)
    );
    assert_eq!(source.settings.exposure.caps, [0.136, 0.425, 1.0, 1.0]);
    assert_eq!(source.settings.votes.rollback_quorum, 1);
}

#[test]
fn the_json_view_of_a_stored_trace_equals_the_text_that_version_0_2_0_printed() {
    let (mut reader, text) = (open(), exported());
    let mut printed = text.lines();
    let mut count = 0;
    while let Some(record) = reader.record().expect("a record") {
        let line = show::line(&record, &reader.head).to_string();
        assert_eq!(Some(line.as_str()), printed.next(), "record {count}");
        count += 1;
    }
    assert_eq!((count, printed.next()), (RECORDS, None));
    let has = |key: &str| text.contains(&format!("\"{key}\""));
    assert!(
        ["vote", "voted", "bounce", "error", "wake", "news", "may_go"]
            .into_iter()
            .all(has)
    );
}

#[test]
fn a_replay_of_a_stored_trace_takes_the_same_decisions() {
    let (mut outcomes, damage) = replay::replay(vec![open()]).expect("a replay");
    assert!(damage.is_none() && outcomes.len() == 1);
    let (name, outcome) = outcomes.remove(0);
    assert_eq!(
        (name.as_str(), &outcome.first_difference, outcome.stopped_at),
        ("sidecar-1", &None, None)
    );
    let counts = (outcome.records, outcome.requests, outcome.compared);
    assert_eq!(counts, (RECORDS as u64, REQUESTS, DECISIONS));
}
