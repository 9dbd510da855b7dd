//! Tests of one poll at one aggregator.

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

fn root_poll(count: u64) -> OpenPoll {
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

fn report_all_up_to_date(poll: &Poll, up_to_date: u32) -> Report {
    let tally = Tally {
        up_to_date,
        total: up_to_date,
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
fn replaces_a_silent_aggregator_and_does_not_count_a_second_report_of_a_part() {
    let mut rng = Rand64::new(1);
    let mut open_poll = root_poll(41);
    let requests = open_poll.take_due_requests(0, &mut rng);
    assert_eq!(requests.len(), 4);
    for (aggregator, poll) in &requests[1..] {
        open_poll
            .count_report(aggregator, report_all_up_to_date(poll, 10))
            .unwrap();
    }
    let deadline = open_poll.next_wake().unwrap();
    assert!(open_poll
        .take_due_requests(deadline - 1, &mut rng)
        .is_empty());
    let retries = open_poll.take_due_requests(deadline, &mut rng);
    assert_eq!(retries.len(), 1);
    let ((first, poll), (second, retried_poll)) = (&requests[0], &retries[0]);
    assert_ne!(first, second);
    assert_eq!(poll.interval, retried_poll.interval);
    // A report of a peer that was not polled does not count. The late report of the first aggregator counts, and the
    // report of its replacement does not count any more.
    let unpolled_peer = MemberId {
        name: "s-040".into(),
        incarnation: 9,
    };
    assert_eq!(
        open_poll.count_report(&unpolled_peer, report_all_up_to_date(poll, 10)),
        Err(UncountedReason::NotPolled)
    );
    assert_eq!(
        open_poll.count_report(first, report_all_up_to_date(poll, 10)),
        Ok(())
    );
    assert_eq!(
        open_poll.count_report(second, report_all_up_to_date(retried_poll, 10)),
        Err(UncountedReason::Closed)
    );
    assert!(open_poll.is_finished());
    assert_eq!(
        (open_poll.tally().up_to_date, open_poll.tally().total),
        (41, 41)
    );
}

#[test]
fn reports_peers_that_never_answer_as_silent_and_names_at_most_16() {
    let mut rng = Rand64::new(1);
    let mut open_poll = root_poll(41);
    open_poll.take_due_requests(0, &mut rng);
    while let Some(wake) = open_poll.next_wake() {
        open_poll.take_due_requests(wake, &mut rng);
    }
    let tally = open_poll.tally();
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
