//! Tests of `src/discovery/watch_selection.rs`.

use havenplank_platform::discovery::watch_selection::{
    CandidateAction, OpenCandidate, UpdateAction, WatchMessage, WatchSelection,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn changes(version: u64) -> WatchMessage {
    WatchMessage::Update {
        version,
        complete: false,
    }
}

fn complete(version: u64) -> WatchMessage {
    WatchMessage::Update {
        version,
        complete: true,
    }
}

/// Returns a selection with an active watch, whose last message came at `start` and led to version 4.
fn with_active(start: Instant) -> WatchSelection {
    let mut selection = WatchSelection::new(start, address(1), 3);
    let due = selection.on_deadline(start);
    let first = OpenCandidate {
        address: address(1),
        since: 3,
    };
    assert_eq!((due.drop_active, due.open), (false, Some(first)));
    let promoted = selection.on_candidate_message(start, changes(4));
    assert_eq!(
        promoted,
        Some(CandidateAction::Promote(UpdateAction::Apply))
    );
    selection
}

#[test]
fn opens_a_candidate_next_to_an_overdue_watch_and_drops_the_watch_once_silent() {
    let start = Instant::now();
    let mut selection = with_active(start);
    let since_four = OpenCandidate {
        address: address(1),
        since: 4,
    };
    // Opens a candidate when the watch is overdue, and a new one each second while none delivers a message.
    for at in [2500, 3500] {
        assert_eq!(selection.next_deadline(), start + at * MS);
        let due = selection.on_deadline(start + at * MS);
        assert_eq!((due.drop_active, due.open), (false, Some(since_four)));
    }
    // At 4.5 s the watch is dropped and the candidate, a second old, is replaced.
    assert_eq!(selection.next_deadline(), start + 4500 * MS);
    let due = selection.on_deadline(start + 4500 * MS);
    assert_eq!((due.drop_active, due.open), (true, Some(since_four)));
    // The last candidate opens within the 6 s after which discovery considers the sidecar informed.
    assert_eq!(selection.next_deadline(), start + 5500 * MS);
}

#[test]
fn an_overdue_watch_that_delivers_a_message_stays_active_next_to_its_candidate() {
    let start = Instant::now();
    let mut selection = with_active(start);
    selection.on_deadline(start + 2500 * MS);
    let action = selection.on_active_message(start + 2600 * MS, changes(6));
    assert_eq!((action, selection.version()), (UpdateAction::Apply, 6));
    // The candidate delivers older changes: it becomes active and its update is ignored.
    let outcome = selection.on_candidate_message(start + 2700 * MS, changes(5));
    assert_eq!(
        outcome,
        Some(CandidateAction::Promote(UpdateAction::Ignore))
    );
    assert_eq!(selection.version(), 6);
}

#[test]
fn a_complete_list_may_return_to_an_earlier_version_but_not_in_an_outdated_message() {
    let start = Instant::now();
    let mut selection = with_active(start);
    selection.on_address_change(start, address(2));
    selection.on_active_message(start, changes(9));
    // The candidate was opened at version 4 and delivers version 3, but version 9 came meanwhile on the active watch:
    // another candidate is opened at version 9.
    let outcome = selection.on_candidate_message(start, complete(3));
    let again = OpenCandidate {
        address: address(2),
        since: 9,
    };
    assert_eq!(outcome, Some(CandidateAction::Replace(again)));
    let outcome = selection.on_candidate_message(start, complete(3));
    assert_eq!(outcome, Some(CandidateAction::Promote(UpdateAction::Apply)));
    assert_eq!(selection.version(), 3);
}

#[test]
fn a_watch_that_ended_is_opened_again_after_the_backoff_at_the_present_address() {
    let start = Instant::now();
    let mut selection = with_active(start);
    selection.on_active_end(start, 30 * MS);
    assert_eq!(selection.next_deadline(), start + 30 * MS);
    assert_eq!(selection.on_deadline(start + 29 * MS).open, None);
    let opened = selection.on_deadline(start + 30 * MS).open;
    assert_eq!(opened.map(|open| open.address), Some(address(1)));
    selection.on_candidate_end(start + 40 * MS, 60 * MS);
    assert_eq!(selection.next_deadline(), start + 100 * MS);
    // A new address is tried without waiting for the backoff.
    let opened = selection.on_address_change(start + 50 * MS, address(2));
    assert_eq!(opened.address, address(2));
}

#[test]
fn an_active_watch_at_a_previous_address_has_a_candidate_at_the_present_one_after_the_backoff_only()
{
    let start = Instant::now();
    let mut selection = with_active(start);
    selection.on_address_change(start, address(2));
    selection.on_candidate_end(start + 10 * MS, 20 * MS);
    // After the backoff only; there is no wait until the watch is overdue.
    assert_eq!(selection.next_deadline(), start + 30 * MS);
}
