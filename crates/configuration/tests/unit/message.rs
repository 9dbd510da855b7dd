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

#[test]
fn what_is_encoded_is_read_back_and_what_is_out_of_bounds_is_refused() {
    let mut tally = Tally::default();
    tally.add_having();
    tally.add_behind("c", LagReason::Silent);
    let good = [
        Message::Announce {
            claim: claim(),
            delta: Some(vec![1, 2]),
        },
        Message::Manifest(Manifest::of(&Snapshot::empty())),
        report(tally.clone()),
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
    let bad = [
        (
            report(Tally {
                of: 3,
                ..tally.clone()
            }),
            "of",
        ),
        (
            report(Tally {
                more: u32::MAX,
                ..tally.clone()
            }),
            "of",
        ),
        (
            report(Tally {
                behind: vec![tally.behind[0].clone(); 17],
                ..tally.clone()
            }),
            "behind",
        ),
        (
            Message::Want {
                claim: claim(),
                buckets: vec![0; BUCKETS + 1],
            },
            "buckets",
        ),
        (
            Message::Deltas {
                claim: claim(),
                deltas: vec![vec![]; MAX_DELTAS + 1],
            },
            "deltas",
        ),
    ];
    for (message, field) in bad {
        let read = Message::decode(&message.encode().unwrap());
        assert_eq!(read, Err(MessageError::OutOfBounds { field }));
    }
    let outside = PeerBehind {
        name: "d".into(),
        lag_reason: LagReason::Silent,
    };
    let read = Message::decode(
        &report(Tally {
            behind: vec![outside],
            ..tally
        })
        .encode()
        .unwrap(),
    );
    assert_eq!(read, Err(MessageError::OutOfBounds { field: "behind" }));
    let long = vec![0; MAX_MESSAGE_BYTES + 1];
    assert!(matches!(
        Message::decode(&long),
        Err(MessageError::TooLong { .. })
    ));
    assert!(Message::Announce {
        claim: claim(),
        delta: Some(long)
    }
    .encode()
    .is_err());
}

proptest! {
    #[test]
    fn noise_is_read_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = Message::decode(&bytes);
    }
}
