//! Messages on the configuration: bounds and encodings.

use super::*;
use crate::snapshot::Snapshot;
use proptest::prelude::*;

fn claim() -> Claim {
    Claim {
        version: Version {
            epoch: 2,
            number: 7,
        },
        digest: Digest::default(),
    }
}

fn report(tally: Tally) -> Message {
    let interval = Interval {
        from: "b".into(),
        to: Some("d".into()),
    };
    Message::Report(Report {
        round: 3,
        version: claim().version,
        interval,
        tally,
    })
}

/// A tally of one peer that has the version and one, `c`, that is silent.
fn tally() -> Tally {
    let mut tally = Tally::default();
    tally.add_having();
    tally.add_behind("c", LagReason::Silent);
    tally
}

fn decoded(message: &Message) -> Result<Message, MessageError> {
    Message::decode(&message.encode().unwrap())
}

#[test]
fn what_is_encoded_is_read_back_and_nothing_shorter_or_longer() {
    let good = [
        Message::Announce {
            claim: claim(),
            delta: Some(vec![1, 2]),
        },
        Message::Manifest(Manifest::of(&Snapshot::empty())),
        report(tally()),
    ];
    for message in good {
        let bytes = message.encode().unwrap();
        assert_eq!(Message::decode(&bytes), Ok(message));
        assert!(Message::decode(&bytes[..bytes.len() - 1]).is_err());
        let longer = [bytes, vec![0]].concat();
        assert_eq!(
            Message::decode(&longer),
            Err(MessageError::Trailing { found: 1 })
        );
    }
}

#[test]
fn a_report_whose_tally_contradicts_itself_or_its_interval_is_refused() {
    let of = Tally {
        total: 3,
        ..tally()
    };
    let more = Tally {
        unnamed_behind: u32::MAX,
        ..tally()
    };
    let behind = Tally {
        behind: vec![tally().behind[0].clone(); MAX_NAMED_BEHIND + 1],
        ..tally()
    };
    let outside = Tally {
        behind: vec![LaggingPeer {
            name: "d".into(),
            lag_reason: LagReason::Silent,
        }],
        ..tally()
    };
    for (tally, field) in [
        (of, "of"),
        (more, "of"),
        (behind, "behind"),
        (outside, "behind"),
    ] {
        let read = decoded(&report(tally));
        assert_eq!(read, Err(MessageError::OutOfBounds { field }));
    }
}

#[test]
fn a_list_out_of_its_bounds_is_refused() {
    let want = Message::ChunkRequest {
        claim: claim(),
        buckets: vec![0; BUCKETS + 1],
    };
    let deltas = Message::Deltas {
        claim: claim(),
        deltas: vec![vec![]; MAX_DELTAS + 1],
    };
    for (message, field) in [(want, "buckets"), (deltas, "deltas")] {
        assert_eq!(decoded(&message), Err(MessageError::OutOfBounds { field }));
    }
}

#[test]
fn a_message_that_is_too_long_is_neither_read_nor_written() {
    let long = vec![0; MAX_MESSAGE_BYTES + 1];
    assert!(matches!(
        Message::decode(&long),
        Err(MessageError::TooLong { .. })
    ));
    let announce = Message::Announce {
        claim: claim(),
        delta: Some(long),
    };
    assert!(announce.encode().is_err());
}

proptest! {
    #[test]
    fn noise_is_read_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = Message::decode(&bytes);
    }
}
