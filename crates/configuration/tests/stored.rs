//! Reads and writes stores and messages recorded with the release build of 0.2.0, before identifiers in the code were
//! renamed. Guards against a change of the stored or transmitted bytes.

use havenplank::interface::{DedupScope, Idempotency};
use havenplank_configuration::chunk::{next_chunk, Chunk, Manifest};
use havenplank_configuration::compile::compile;
use havenplank_configuration::delta::{Change, Delta};
use havenplank_configuration::digest::Digest;
use havenplank_configuration::interval::Interval;
use havenplank_configuration::message::{
    Claim, LagReason, LaggingPeer, Message, Poll, Report, Tally, MAX_MESSAGE_BYTES,
};
use havenplank_configuration::record::{
    BackupMode, Record, RecordKind, RequestRules, TenantLimits,
};
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::store::{Opened, Store};
use havenplank_configuration::version::Version;
use havenplank_settings::Given;
use std::path::Path;

const MS: u64 = 1_000_000;
/// One recorded message of each kind; each line has a name and the message in hexadecimal digits.
const MESSAGES: &str = include_str!("fixtures/messages.txt");

fn fixture(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// Opens a copy of a recorded store, because opening creates a lock file in the folder.
fn open_copy(name: &str) -> Opened {
    let folder = tempfile::tempdir().expect("a folder");
    for file in ["snapshot", "log"] {
        std::fs::copy(fixture(name).join(file), folder.path().join(file)).expect("copied");
    }
    let opened = Store::open(folder.path()).expect("a store");
    assert_eq!(opened.torn_tail, None);
    opened
}

fn versions(deltas: &[std::sync::Arc<Delta>]) -> Vec<(String, String, String)> {
    let version_strings = |delta: &std::sync::Arc<Delta>| {
        (
            delta.from.to_string(),
            delta.to.to_string(),
            delta.digest.to_string(),
        )
    };
    deltas.iter().map(version_strings).collect()
}

fn delta_versions(from: &str, to: &str, digest: &str) -> (String, String, String) {
    (from.to_string(), to.to_string(), digest.to_string())
}

/// The digests of the stored versions 1.1, 1.2, 1.3 and 2.4.
const DIGEST_1: &str = "425afa9da90cae53ddfbce405f98819575c141e2dd908584e1787b4dac03b3ff";
const DIGEST_2: &str = "5e7036de820851be1a4fe76ce3b1e87c84c877278ad677570ce17d30d95e2e09";
const DIGEST_3: &str = "d249a6f68df8521ca363cb017e23334c008e61bd3b995736cba5583f3b3245c0";
const DIGEST_4: &str = "b1ce0855ba8f77884192ad8c1455e36edfc12df2c55697c51ada7249028f3da1";

#[test]
fn reads_the_versions_and_records_of_a_distributor_store() {
    let Opened { store, deltas, .. } = open_copy("distributor");
    let snapshot = store.snapshot();
    assert_eq!(
        versions(&deltas),
        [
            delta_versions("0.0", "1.1", DIGEST_1),
            delta_versions("1.1", "1.2", DIGEST_2),
            delta_versions("1.2", "1.3", DIGEST_3)
        ]
    );
    assert_eq!(
        deltas[2].changes.len(),
        2,
        "one tenant added and one removed"
    );
    assert!(matches!(&deltas[2].changes[0], Change::Remove(key) if key.name == "builds"));
    assert_eq!(RecordKind::ALL.map(|kind| snapshot.count(kind)), [2, 3, 2]);
    let search = snapshot.service("search").expect("a service");
    assert_eq!(search.zones, ["room-1"]);
    let editors = snapshot.tenant("editors").expect("a tenant").limits;
    let limits = TenantLimits {
        requests_per_s: Some(100),
        in_flight: Some(10),
    };
    assert_eq!(editors, limits);
    let query = snapshot.route("query").expect("a route");
    assert_eq!(
        (query.methods.as_slice(), query.paths.as_slice()),
        (
            &["GET".to_string()][..],
            &["/query".to_string(), "/query/*".to_string()][..]
        )
    );
    let rules = RequestRules {
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window: 0,
        latency_objective: 300 * MS,
        deadline: 2_000 * MS,
        priority_weight: 2.5,
        late_weight: 0.25,
        stream: false,
        backup: BackupMode::Off,
    };
    assert_eq!(query.rules, rules);
    let reindex = snapshot.route("reindex").expect("a route").rules;
    assert_eq!(
        (reindex.idempotency, reindex.dedup_scope),
        (Idempotency::Keyed, DedupScope::Zone)
    );
    assert_eq!(reindex.dedup_window, 30_000 * MS);
    assert_eq!(
        snapshot.route("rename").expect("a route").rules.idempotency,
        Idempotency::NonIdempotent
    );
}

#[test]
fn reads_the_store_of_a_writer_that_replaced_another_in_the_next_epoch() {
    let Opened { store, deltas, .. } = open_copy("replaced-writer");
    assert_eq!(versions(&deltas), [delta_versions("1.3", "2.4", DIGEST_4)]);
    assert_eq!(
        store.snapshot().version(),
        Version {
            epoch: 2,
            number: 4
        }
    );
    assert_eq!(store.snapshot().digest().to_string(), DIGEST_4);
    let query = store.snapshot().route("query").expect("a route");
    assert_eq!(query.rules.priority_weight, 4.5);
}

#[test]
fn writes_a_stored_log_with_the_same_bytes() {
    let Opened { deltas, .. } = open_copy("distributor");
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path()).expect("a new store").store;
    deltas.iter().for_each(|delta| {
        store.append(delta).expect("appended");
    });
    for file in ["snapshot", "log"] {
        let written = std::fs::read(folder.path().join(file)).expect("a file");
        let stored = std::fs::read(fixture("distributor").join(file)).expect("a file");
        assert_eq!(written, stored, "{file}");
    }
}

#[test]
fn the_script_of_a_stored_version_compiles_to_the_same_digest() {
    let script =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../settings/tests/fixtures/fleet.star");
    let version = Version {
        epoch: 2,
        number: 4,
    };
    let snapshot = compile(&script, &Given::new(), version).expect("the script is valid");
    assert_eq!(snapshot.digest().to_string(), DIGEST_4);
}

fn claim(number: u64) -> Claim {
    let version = Version { epoch: 2, number };
    let opened = open_copy("distributor");
    let digest = opened.store.snapshot().digest();
    Claim { version, digest }
}

fn interval() -> Interval {
    Interval {
        from: "s-1".to_string(),
        to: Some("s-4".to_string()),
    }
}

fn behind(name: &str, lag_reason: LagReason) -> LaggingPeer {
    LaggingPeer {
        name: name.to_string(),
        lag_reason,
    }
}

/// A tally with every reason for which a peer does not have a version.
fn tally() -> Tally {
    Tally {
        up_to_date: 3,
        total: 9,
        behind: vec![
            behind(
                "s-1",
                LagReason::Behind(Version {
                    epoch: 1,
                    number: 3,
                }),
            ),
            behind("s-2", LagReason::Differs),
            behind("s-3", LagReason::Rejected),
            behind("s-31", LagReason::Silent),
        ],
        unnamed_behind: 2,
    }
}

fn empty_manifest() -> Manifest {
    Manifest {
        version: Version {
            epoch: 2,
            number: 7,
        },
        digest: Digest::default(),
        buckets: Manifest::of(&Snapshot::empty()).buckets,
    }
}

/// A message of each kind, in the order of the recorded ones; the fields of a message have distinct values.
fn messages() -> Vec<(&'static str, Message)> {
    let delta = open_copy("distributor").deltas[1].encode();
    let chunk = Chunk {
        version: Version {
            epoch: 2,
            number: 7,
        },
        buckets: vec![3, 700],
        body: vec![9, 8, 7],
    };
    let poll = Poll {
        round: 300,
        claim: claim(7),
        interval: interval(),
        timeout_ms: 2_500,
    };
    let report = Report {
        round: 300,
        version: Version {
            epoch: 2,
            number: 7,
        },
        interval: interval(),
        tally: tally(),
    };
    vec![
        (
            "announce",
            Message::Announce {
                claim: claim(7),
                delta: Some(delta.clone()),
            },
        ),
        (
            "announce-alone",
            Message::Announce {
                claim: claim(7),
                delta: None,
            },
        ),
        (
            "pull",
            Message::Pull {
                claim: claim(6),
                max_answer_bytes: 8_000,
                manifest_only: true,
            },
        ),
        ("current", Message::Current { claim: claim(7) }),
        (
            "deltas",
            Message::Deltas {
                claim: claim(7),
                deltas: vec![delta, vec![1, 2]],
            },
        ),
        ("manifest", Message::Manifest(empty_manifest())),
        (
            "want",
            Message::ChunkRequest {
                claim: claim(7),
                buckets: vec![0, 3, 700],
            },
        ),
        ("chunk", Message::Chunk(chunk)),
        (
            "unavailable",
            Message::Unavailable {
                requested: Version {
                    epoch: 2,
                    number: 5,
                },
                claim: claim(7),
            },
        ),
        ("poll", Message::Poll(poll)),
        ("report", Message::Report(report)),
        ("superseded", Message::Superseded { by: claim(8) }),
    ]
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn parse_hexadecimal(text: &str) -> Vec<u8> {
    let pair = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two digits");
    (0..text.len()).step_by(2).map(pair).collect()
}

#[test]
fn recorded_messages_of_each_kind_are_decoded_and_encoded_with_the_same_bytes() {
    let recorded: Vec<_> = MESSAGES
        .lines()
        .filter_map(|line| line.split_once(' '))
        .collect();
    let messages = messages();
    assert_eq!(recorded.len(), messages.len());
    for ((name, digits), (expected, message)) in recorded.iter().zip(messages) {
        assert_eq!(*name, expected);
        let encoded = message.encode().expect("within bounds");
        assert!(encoded.len() < MAX_MESSAGE_BYTES);
        assert_eq!(hexadecimal(&encoded), *digits, "{name}");
        assert_eq!(
            Message::decode(&parse_hexadecimal(digits)),
            Ok(message),
            "{name}"
        );
    }
}

#[test]
fn a_recorded_delta_inside_an_announcement_leads_to_the_same_records() {
    let Opened { deltas, .. } = open_copy("distributor");
    let first = Snapshot::empty().apply(&deltas[0]).expect("it applies");
    let line = MESSAGES
        .lines()
        .find_map(|line| line.strip_prefix("announce "));
    let message = Message::decode(&parse_hexadecimal(line.expect("an announcement")));
    let Ok(Message::Announce {
        delta: Some(delta), ..
    }) = message
    else {
        panic!("{message:?}");
    };
    let delta = Delta::decode(&delta).expect("a delta");
    let second = first.apply(&delta).expect("it applies");
    assert_eq!(second.digest().to_string(), DIGEST_2);
    let all_buckets: Vec<u16> = (0..u16::MAX).collect();
    let all = next_chunk(&second, &all_buckets).expect("a chunk");
    assert!(second
        .records()
        .any(|record| matches!(record, Record::Route(_))));
    assert!(!all.body.is_empty());
}
