//! A ledger that the release build of 0.2.0 wrote, before identifiers in the code were renamed, is still read, written
//! and checked with the same result.

use havenplank_invariants::check;
use havenplank_invariants::ledger::{self, Answer, Entry, LedgerEvent};
use serde_json::{json, Value};
use std::path::Path;

/// Two sidecars and four pods for eight seconds, with a build on trial, pods that die or drain, one sidecar that is
/// killed and one that is asked to stop.
const LEDGER: &str = include_str!("fixtures/day.ledger");
/// The output of `rules --json` of that build for [`LEDGER`].
const VERDICTS: &str = include_str!("fixtures/verdicts.json");
/// Entries that [`LEDGER`] lacks, as that build writes them.
const OTHER_LINES: [&str; 3] = [
    r#"{"at":36031940623,"seen":{"sidecar_stops":{"sidecar":"sidecar-1"}}}"#,
    r#"{"at":16687440909,"seen":{"unseen":{"ask":11378,"pod":"pod-18","life":19}}}"#,
    r#"{"at":16687440909,"seen":{"pod_fell":{"pod":"pod-18","life":19}}}"#,
];

fn entries() -> Vec<Entry> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures");
    ledger::read(&folder).expect("a ledger")
}

fn count(entries: &[Entry], matches: impl Fn(&LedgerEvent) -> bool) -> usize {
    entries.iter().filter(|entry| matches(&entry.event)).count()
}

#[test]
fn reads_a_stored_ledger_completely() {
    let entries = entries();
    assert_eq!(entries.len(), LEDGER.lines().count());
    let answered = |wanted: Answer| {
        count(
            &entries,
            |event| matches!(event, LedgerEvent::Answered { answer, .. } if *answer == wanted),
        )
    };
    assert_eq!(
        [answered(Answer::Delivered), answered(Answer::Bounced)],
        [73, 11]
    );
    assert_eq!(
        count(&entries, |event| matches!(
            event,
            LedgerEvent::Arrived { .. }
        )),
        74
    );
    assert_eq!(
        count(&entries, |event| matches!(
            event,
            LedgerEvent::SidecarKilled { .. }
        )),
        1
    );
    let LedgerEvent::Parameters(parameters) = &entries[0].event else {
        panic!("{:?}", entries[0]);
    };
    assert_eq!(parameters.exposure.caps, [0.136, 0.425, 1.0, 1.0]);
    assert_eq!(parameters.classes[1].dedup_window, 6_000_000_000);
}

#[test]
fn writes_a_stored_ledger_with_the_same_bytes() {
    let folder = tempfile::tempdir().expect("a folder");
    ledger::write(folder.path(), "day", &entries()).expect("written");
    let written = std::fs::read_to_string(folder.path().join("day.ledger")).expect("a file");
    let differing = written
        .lines()
        .zip(LEDGER.lines())
        .find(|(written, stored)| written != stored);
    assert_eq!((differing, written.len()), (None, LEDGER.len()));
}

#[test]
fn reads_and_writes_entries_that_the_stored_ledger_lacks_with_the_same_bytes() {
    for line in OTHER_LINES {
        let entry: Entry = serde_json::from_str(line).expect("an entry");
        assert_eq!(serde_json::to_string(&entry).expect("JSON"), line);
    }
}

#[test]
fn returns_the_recorded_verdicts_for_a_stored_ledger() {
    let verdicts = check(&entries()).expect("a verdict");
    let recorded: Value = serde_json::from_str(VERDICTS).expect("JSON");
    assert_eq!(json!({ "rules": verdicts }), recorded);
}
