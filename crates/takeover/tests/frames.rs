//! Tests that messages between sidecars are byte for byte those of the previous version, because sidecars of both
//! versions run side by side.

mod common;

use common::{recorded_bytes, to_hex};
use havenplank_membership::member::MemberId;
use havenplank_takeover::message::Message;
use havenplank_takeover::record::{Attempt, AttemptState, Outcome, Record};

const FRAMES: &str = include_str!("fixtures/frames.txt");
const REQUEST: u128 = 0x0123_4567_89ab_cdef_0011_2233_4455_6677;

fn member_id(name: &str) -> MemberId {
    MemberId {
        name: name.into(),
        incarnation: 1_764_752_400_000,
    }
}

/// A record with attempts in all states.
fn record(outcome: Option<Outcome>) -> Record {
    let attempt = |pod: &str, age, state| Attempt {
        pod: pod.into(),
        age,
        state,
    };
    Record {
        request: REQUEST,
        owner: member_id("s-1"),
        term: 3,
        version: 300,
        confirmed: true,
        backups: vec![member_id("s-2"), member_id("s-3"), member_id("s-4")],
        digest: u64::MAX,
        payload: vec![1, 2, 3],
        remaining: 5_999_999_999,
        attempts: vec![
            attempt("p-1", 1_000_000, AttemptState::NeverRan),
            attempt("p-2", 2_000, AttemptState::MayHaveRun),
            attempt("p-3", 0, AttemptState::InFlight),
        ],
        outcome,
    }
}

fn finished(outcome: Outcome) -> Message {
    Message::Finished {
        request: REQUEST,
        term: 4,
        outcome,
    }
}

/// One message of every kind, and one with every kind of outcome.
fn messages() -> Vec<(&'static str, Message)> {
    let (request, sent_at, epoch) = (REQUEST, 123_456_789_012, 130);
    let served = Outcome::Served(b"answer".to_vec());
    let store = |record| Message::Store { record, sent_at };
    let stored = Message::Stored {
        request,
        term: 3,
        version: 300,
        sent_at,
        epoch,
    };
    let owned = Message::Owned {
        request,
        term: 3,
        owner: member_id("s-5"),
        key_reused: true,
    };
    let request_vote = Message::RequestVote {
        request,
        term: 4,
        sent_at,
    };
    let vote_granted = Message::VoteGranted {
        record: record(None),
        term: 4,
        sent_at,
        epoch,
    };
    vec![
        ("store", store(record(None))),
        ("store_served", store(record(Some(served.clone())))),
        ("stored", stored),
        ("owned", owned),
        ("full", Message::OutOfCapacity { request }),
        ("renew_lease", Message::RenewLease { sent_at }),
        ("lease_renewed", Message::LeaseRenewed { sent_at, epoch }),
        ("request_vote", request_vote),
        ("vote_granted", vote_granted),
        (
            "await_outcome",
            Message::AwaitOutcome { request, digest: 7 },
        ),
        ("finished_served", finished(served)),
        ("finished_rejected", finished(Outcome::Rejected)),
        (
            "finished_failed",
            finished(Outcome::Failed { retryable: false }),
        ),
        (
            "finished_retryable",
            finished(Outcome::Failed { retryable: true }),
        ),
        ("unknown", Message::UnknownRequest { request }),
        ("release", Message::Release { request, term: 3 }),
    ]
}

#[test]
fn every_message_is_encoded_and_decoded_as_recorded() {
    let recorded = recorded_bytes(FRAMES);
    assert_eq!(recorded.len(), messages().len());
    for (name, message) in messages() {
        let bytes = postcard::to_stdvec(&message).unwrap();
        let expected = recorded.get(name).map(|bytes| to_hex(bytes));
        assert_eq!(Some(to_hex(&bytes)), expected, "{name}");
        let decoded: Message = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(decoded, message, "{name}");
    }
}
