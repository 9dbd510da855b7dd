//! One round of a poll at one head.

use super::super::peers::Peer;
use super::*;
use crate::digest::Digest;
use crate::interval::Interval;
use crate::message::Claim;
use crate::version::Version;

fn peers(count: u64) -> Peers {
    let member_id = |n| MemberId {
        name: format!("s-{n:03}"),
        incarnation: 1,
    };
    Peers::new(
        (0..count)
            .map(|n| Peer {
                member_id: member_id(n),
                zone: "r/z".into(),
            })
            .collect(),
    )
}

fn root(count: u64) -> OpenPoll {
    let claim = Claim {
        version: Version {
            epoch: 1,
            number: 4,
        },
        digest: Digest::default(),
    };
    let poll = Poll {
        round: 1,
        claim,
        interval: Interval::all(),
        timeout_ms: 8_000,
    };
    OpenPoll::new(poll, None, "s-000", None, peers(count), 4)
}

fn answer(poll: &Poll, have: u32) -> Report {
    let tally = Tally {
        up_to_date: have,
        total: have,
        ..Tally::default()
    };
    Report {
        round: poll.round,
        version: poll.claim.version,
        interval: poll.interval.clone(),
        tally,
    }
}

#[test]
fn a_silent_head_is_replaced_and_the_second_report_of_an_interval_is_not_counted() {
    let mut rng = Rand64::new(1);
    let mut open = root(41);
    let asked = open.ask_due_heads(0, &mut rng);
    assert_eq!(asked.len(), 4);
    for (head, poll) in &asked[1..] {
        open.report(head, answer(poll, 10)).unwrap();
    }
    let expires = open.next_wake().unwrap();
    assert!(open.ask_due_heads(expires - 1, &mut rng).is_empty());
    let again = open.ask_due_heads(expires, &mut rng);
    assert_eq!(again.len(), 1);
    let ((first, poll), (second, same)) = (&asked[0], &again[0]);
    assert_ne!(first, second);
    assert_eq!(poll.interval, same.interval);
    // A stranger's report counts nothing; the late one of the first head counts, the second one's no more.
    let stranger = MemberId {
        name: "s-040".into(),
        incarnation: 9,
    };
    assert_eq!(
        open.report(&stranger, answer(poll, 10)),
        Err(UncountedReason::NotAsked)
    );
    assert_eq!(open.report(first, answer(poll, 10)), Ok(()));
    assert_eq!(
        open.report(second, answer(same, 10)),
        Err(UncountedReason::Closed)
    );
    assert!(open.is_finished());
    assert_eq!((open.tally().up_to_date, open.tally().total), (41, 41));
}

#[test]
fn who_never_answers_is_reported_as_silent_by_name_up_to_a_bound() {
    let mut rng = Rand64::new(1);
    let mut open = root(41);
    open.ask_due_heads(0, &mut rng);
    while let Some(wake) = open.next_wake() {
        open.ask_due_heads(wake, &mut rng);
    }
    let tally = open.tally();
    assert_eq!(
        (
            tally.up_to_date,
            tally.total,
            tally.behind.len(),
            tally.unnamed_behind
        ),
        (1, 41, 16, 24)
    );
    assert!(tally
        .behind
        .iter()
        .all(|peer| peer.lag_reason == LagReason::Silent));
}
