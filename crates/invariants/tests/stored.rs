//! A ledger that the release build of 0.2.0 wrote before any name in the code changed reads, is written and judged the same.

use havenplank_invariants::check;
use havenplank_invariants::ledger::{self, Answer, Entry, Seen};
use serde_json::{json, Value};
use std::path::Path;

/// Two sidecars and four pods for eight seconds: a build on trial, pods that die and leave, a sidecar killed and one
/// told to stop.
const LEDGER: &str = include_str!("fixtures/day.ledger");
/// What `rules --json` of that build said of [`LEDGER`].
const VERDICTS: &str = include_str!("fixtures/verdicts.json");

fn entries() -> Vec<Entry> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures");
    ledger::read(&folder).expect("a ledger")
}

fn count(entries: &[Entry], is: impl Fn(&Seen) -> bool) -> usize {
    entries.iter().filter(|entry| is(&entry.seen)).count()
}

#[test]
fn a_stored_ledger_reads_whole() {
    let entries = entries();
    assert_eq!(entries.len(), LEDGER.lines().count());
    let answered = |wanted: Answer| {
        count(
            &entries,
            |seen| matches!(seen, Seen::Answered { answer, .. } if *answer == wanted),
        )
    };
    assert_eq!(
        [answered(Answer::Delivered), answered(Answer::Bounced)],
        [73, 11]
    );
    assert_eq!(
        count(&entries, |seen| matches!(seen, Seen::Arrived { .. })),
        74
    );
    assert_eq!(
        count(&entries, |seen| matches!(seen, Seen::SidecarKilled { .. })),
        1
    );
    let Seen::Figures(figures) = &entries[0].seen else {
        panic!("{:?}", entries[0]);
    };
    assert_eq!(figures.exposure.caps, [0.136, 0.425, 1.0, 1.0]);
    assert_eq!(figures.groups[1].dedup_window, 6_000_000_000);
}

#[test]
fn a_stored_ledger_is_written_with_the_same_bytes() {
    let folder = tempfile::tempdir().expect("a folder");
    ledger::write(folder.path(), "day", &entries()).expect("written");
    let written = std::fs::read_to_string(folder.path().join("day.ledger")).expect("a file");
    let differing = written
        .lines()
        .zip(LEDGER.lines())
        .find(|(now, then)| now != then);
    assert_eq!((differing, written.len()), (None, LEDGER.len()));
}

#[test]
fn the_verdict_on_a_stored_ledger_is_the_one_of_then() {
    let verdicts = check(&entries()).expect("a verdict");
    let then: Value = serde_json::from_str(VERDICTS).expect("JSON");
    assert_eq!(json!({ "rules": verdicts }), then);
}
