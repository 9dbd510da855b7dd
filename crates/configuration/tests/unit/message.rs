//! Tests of the encoding of messages and of its bounds.

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
    tally.add_up_to_date();
    tally.add_behind("c", LagReason::Silent);
    tally
}

fn encode_and_decode(message: &Message) -> Result<Message, MessageError> {
    Message::decode(&message.encode().unwrap())
}

#[test]
fn decodes_an_encoded_message_but_no_truncated_or_extended_one() {
    let valid_messages = [
        Message::Announce {
            claim: claim(),
            delta: Some(vec![1, 2]),
        },
        Message::Manifest(Manifest::of(&Snapshot::empty())),
        report(tally()),
    ];
    for message in valid_messages {
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
fn rejects_a_report_whose_tally_contradicts_itself_or_its_interval() {
    let wrong_total = Tally {
        total: 3,
        ..tally()
    };
    let overflowing = Tally {
        unnamed_behind: u32::MAX,
        ..tally()
    };
    let too_many_named = Tally {
        behind: vec![tally().behind[0].clone(); MAX_NAMED_BEHIND + 1],
        ..tally()
    };
    let outside_interval = Tally {
        behind: vec![LaggingPeer {
            name: "d".into(),
            lag_reason: LagReason::Silent,
        }],
        ..tally()
    };
    for (tally, field) in [
        (wrong_total, "of"),
        (overflowing, "of"),
        (too_many_named, "behind"),
        (outside_interval, "behind"),
    ] {
        let decoded = encode_and_decode(&report(tally));
        assert_eq!(decoded, Err(MessageError::OutOfBounds { field }));
    }
}

#[test]
fn rejects_a_list_that_is_longer_than_allowed() {
    let request = Message::ChunkRequest {
        claim: claim(),
        buckets: vec![0; BUCKETS + 1],
    };
    let deltas = Message::Deltas {
        claim: claim(),
        deltas: vec![vec![]; MAX_DELTAS + 1],
    };
    for (message, field) in [(request, "buckets"), (deltas, "deltas")] {
        assert_eq!(
            encode_and_decode(&message),
            Err(MessageError::OutOfBounds { field })
        );
    }
}

#[test]
fn neither_decodes_nor_encodes_a_message_that_is_too_long() {
    let too_long = vec![0; MAX_MESSAGE_BYTES + 1];
    assert!(matches!(
        Message::decode(&too_long),
        Err(MessageError::TooLong { .. })
    ));
    let announce = Message::Announce {
        claim: claim(),
        delta: Some(too_long),
    };
    assert!(announce.encode().is_err());
}

proptest! {
    #[test]
    fn decodes_random_bytes_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = Message::decode(&bytes);
    }
}
