//! Properties of snapshots, deltas, digests, chunks and histories, checked with generated records.

mod common;

use common::tenant;
use havenplank::interface::{DedupScope, Idempotency};
use havenplank_configuration::chunk::{next_chunk, Assembly, Chunk, Manifest, TARGET_CHUNK_BYTES};
use havenplank_configuration::delta::{Change, Delta};
use havenplank_configuration::digest::Digest;
use havenplank_configuration::error::{ApplyError, ChunkError, DecodeError};
use havenplank_configuration::history::History;
use havenplank_configuration::record::{
    BackupMode, Record, RecordKey, RecordKind, RequestRules, Route, Service,
};
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::version::Version;
use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

fn version(number: u64) -> Version {
    Version { epoch: 1, number }
}

fn snapshot(number: u64, records: impl IntoIterator<Item = Record>) -> Snapshot {
    Snapshot::from_records(version(number), records).expect("records within bounds")
}

fn service(name: &str, zones: &[&str]) -> Record {
    Service {
        name: name.to_string(),
        zones: zones.iter().map(ToString::to_string).collect(),
    }
    .into()
}

fn route(name: &str, path: &str, priority_weight: f64) -> Record {
    let rules = RequestRules {
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window: 0,
        latency_objective: 100_000_000,
        deadline: 2_000_000_000,
        priority_weight,
        late_weight: 0.5,
        stream: false,
        backup: BackupMode::Off,
    };
    Route {
        name: name.to_string(),
        service: "search".to_string(),
        methods: vec!["GET".to_string()],
        paths: vec![path.to_string()],
        rules,
    }
    .into()
}

fn tenants(count: usize) -> impl Iterator<Item = Record> {
    (0..count).map(|number| tenant(&format!("tenant-{number}"), number as u32 % 1000))
}

fn any_record() -> impl Strategy<Value = Record> {
    let name = "[a-f]{1,2}";
    prop_oneof![
        (name, "[xyz]").prop_map(|(name, zone)| service(&name, &[&zone])),
        (name, 0u32..4).prop_map(|(name, priority_weight)| route(
            &name,
            &format!("/{name}"),
            priority_weight.into()
        )),
        (name, 0u32..4).prop_map(|(name, rate)| tenant(&name, rate)),
    ]
}

/// Generates records with distinct keys.
fn any_records() -> impl Strategy<Value = Vec<Record>> {
    prop::collection::vec(any_record(), 0..120).prop_map(|records| {
        let by_key: BTreeMap<RecordKey, Record> =
            records.into_iter().map(|r| (r.key(), r)).collect();
        by_key.into_values().collect()
    })
}

/// Assembles a snapshot from its chunks, in order, starting from a base.
fn fetch(base: &Snapshot, complete: &Snapshot) -> Result<Snapshot, ChunkError> {
    let mut assembly = Assembly::new(base, Manifest::of(complete))?;
    while let Some(chunk) = next_chunk(complete, &assembly.missing()) {
        assembly.add_chunk(chunk)?;
    }
    assembly.finish()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn a_delta_leads_from_one_snapshot_to_another(before in any_records(), after in any_records()) {
        let (old, new) = (snapshot(1, before), snapshot(9, after));
        let delta = old.delta_to(&new, version(2));
        let decoded = Delta::decode(&delta.encode());
        prop_assert_eq!(decoded.as_ref(), Ok(&delta));
        let applied = old.apply(&delta).expect("the delta applies");
        prop_assert_eq!(applied.digest(), new.digest());
        prop_assert_eq!(applied.bucket_digests(), new.bucket_digests());
        prop_assert_eq!(applied, new.with_version(version(2)));
    }

    #[test]
    fn the_digest_depends_on_the_set_and_not_on_the_order(records in any_records(), seed in any::<u64>()) {
        let mut shuffled = records.clone();
        shuffled.sort_by_cached_key(|record| {
            blake3::hash(format!("{seed}{:?}", record.key()).as_bytes()).to_string()
        });
        let mut sum = Digest::default();
        shuffled.iter().for_each(|record| sum.add(record));
        prop_assert_eq!(snapshot(1, records).digest(), sum);
        prop_assert_eq!(snapshot(1, shuffled.clone()).digest(), sum);
        shuffled.iter().for_each(|record| sum.remove(record));
        prop_assert_eq!(sum, Digest::default());
    }

    #[test]
    fn a_snapshot_holds_the_same_records_as_a_plain_map(
        changes in prop::collection::vec((any_record(), any::<bool>()), 0..16),
    ) {
        let mut current = Snapshot::empty();
        let mut map: HashMap<RecordKey, Record> = HashMap::new();
        for (record, put) in changes {
            match put {
                true => drop(map.insert(record.key(), record.clone())),
                false => drop(map.remove(&record.key())),
            }
            let target = snapshot(0, map.values().cloned());
            current = current.apply(&current.delta_to(&target, current.version().next())).expect("the delta applies");
            prop_assert_eq!(current.get(&record.key()), map.get(&record.key()));
        }
        for kind in RecordKind::ALL {
            prop_assert_eq!(current.count(kind), map.keys().filter(|key| key.kind == kind).count());
        }
        let all = current.services().count() + current.routes().count() + current.tenants().count();
        prop_assert_eq!(all, map.len());
        prop_assert!(map.iter().all(|(key, record)| current.get(key) == Some(record)));
    }

    #[test]
    fn assembles_the_snapshot_from_chunks_in_any_order_with_repeats(
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..12),
        base in 0usize..900,
    ) {
        let complete = snapshot(7, tenants(900).chain([route("r", "/r", 1.0), service("search", &[])]));
        let mut current = snapshot(3, tenants(base));
        let mut assembly = Assembly::new(&current, Manifest::of(&complete)).expect("the manifest is valid");
        let chunks: Vec<Chunk> = (0..8u16)
            .filter_map(|eighth| {
                let wanted: Vec<u16> = (eighth * 128..(eighth + 1) * 128).collect();
                next_chunk(&complete, &wanted)
            })
            .collect();
        for index in order {
            let chunk = index.get(&chunks).clone();
            assembly.add_chunk(chunk.clone()).expect("the chunk matches the manifest");
            assembly.add_chunk(chunk).expect("a repeated chunk is accepted");
        }
        let missing = assembly.missing().len();
        prop_assert_eq!(assembly.clone().finish().is_ok(), missing == 0);
        while let Some(chunk) = next_chunk(&complete, &assembly.missing()) {
            prop_assert!(chunk.buckets.len() == 1 || chunk.body.len() <= TARGET_CHUNK_BYTES);
            assembly.add_chunk(chunk).expect("the chunk matches the manifest");
        }
        current = assembly.finish().expect("all buckets were added");
        prop_assert_eq!(&current, &complete);
    }

    #[test]
    fn a_truncated_or_altered_delta_never_passes_for_the_original(
        records in any_records(), at in any::<prop::sample::Index>(), bit in 0u8..8,
    ) {
        let delta = Snapshot::empty().delta_to(&snapshot(1, records), version(1));
        let mut bytes = delta.encode();
        let at = at.index(bytes.len());
        prop_assert!(Delta::decode(&bytes[..at]).is_err());
        bytes[at] ^= 1 << bit;
        // Bytes that still decode state another version or digest, or the result does not have the stated digest.
        if let Ok(read) = Delta::decode(&bytes) {
            prop_assert!(read != delta);
            let applied = Snapshot::empty().apply(&read);
            prop_assert!(applied.is_err() || read.to != delta.to);
        }
    }

    #[test]
    fn decodes_arbitrary_bytes_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = Delta::decode(&bytes);
        let complete = snapshot(7, tenants(10));
        let mut assembly = Assembly::new(&Snapshot::empty(), Manifest::of(&complete)).expect("the manifest is valid");
        let forged = Chunk { version: complete.version(), buckets: vec![0, 1, 2], body: bytes };
        let before = assembly.missing();
        if assembly.add_chunk(forged).is_err() {
            prop_assert_eq!(assembly.missing(), before);
        }
    }

    #[test]
    fn an_altered_chunk_is_rejected_or_decodes_to_the_same_records(at in any::<prop::sample::Index>(), bit in 0u8..8) {
        let complete = snapshot(7, tenants(200));
        let wanted: Vec<u16> = (0..1024).collect();
        let mut chunk = next_chunk(&complete, &wanted).expect("a chunk");
        let at = at.index(chunk.body.len());
        chunk.body[at] ^= 1 << bit;
        let mut assembly = Assembly::new(&Snapshot::empty(), Manifest::of(&complete)).expect("the manifest is valid");
        if assembly.add_chunk(chunk).is_ok() {
            prop_assert_eq!(fetch(&assembly.finish().expect("all buckets were added"), &complete), Ok(complete));
        }
    }
}

#[test]
fn rejects_a_delta_with_another_base_or_another_result() {
    let (old, new) = (snapshot(1, tenants(5)), snapshot(2, tenants(6)));
    let delta = old.delta_to(&new, version(2));
    let newer = new.apply(&delta);
    assert_eq!(
        newer,
        Err(ApplyError::WrongBase {
            have: version(2),
            base: version(1)
        })
    );
    let mut invalid = delta.clone();
    invalid.changes.clear();
    assert!(matches!(
        old.apply(&invalid),
        Err(ApplyError::DigestMismatch { .. })
    ));
    let mut not_newer = delta.clone();
    not_newer.to = version(1);
    assert!(matches!(
        old.apply(&not_newer),
        Err(ApplyError::NotNewer { .. })
    ));
    let mut unnamed = delta;
    unnamed.changes = vec![Change::Put(tenant("", 1))];
    assert!(matches!(old.apply(&unnamed), Err(ApplyError::Invalid(_))));
    assert_eq!(old, snapshot(1, tenants(5)));
}

#[test]
fn rejects_records_out_of_their_bounds() {
    let long = "n".repeat(65);
    let zones = vec!["z"; 65];
    let mut unserved = route("r", "/r", 1.0);
    if let Record::Route(route) = &mut unserved {
        route.service.clear();
    }
    let invalid = [
        ("name", tenant(&long, 1)),
        ("zones", service("s", &zones)),
        ("zones", service("s", &[""])),
        ("paths", route("r", "", 1.0)),
        ("benefit", route("r", "/r", f64::NAN)),
        ("benefit", route("r", "/r", -1.0)),
        ("benefit", route("r", "/r", -0.0)),
        ("service", unserved),
    ];
    for (field, record) in invalid {
        assert_eq!(record.check().expect_err("out of bounds").field, field);
        let delta = Delta {
            from: Version::NONE,
            to: version(1),
            digest: Digest::default(),
            changes: vec![Change::Put(record)],
        };
        assert!(matches!(
            Delta::decode(&delta.encode()),
            Err(DecodeError::Invalid(_))
        ));
    }
    let twice = Snapshot::from_records(version(1), [tenant("a", 1), tenant("a", 2)]);
    assert!(matches!(twice, Err(ApplyError::Duplicate { .. })));
    let too_many = (0..2001).map(|number| service(&number.to_string(), &[]));
    assert!(matches!(
        Snapshot::from_records(version(1), too_many),
        Err(ApplyError::TooMany {
            kind: RecordKind::Service,
            found: 2001,
            max: 2000
        })
    ));
}

#[test]
fn rejects_a_delta_that_states_many_changes_and_holds_none() {
    let delta = Delta {
        from: version(1),
        to: version(2),
        digest: Digest::default(),
        changes: Vec::new(),
    };
    let mut bytes = delta.encode();
    assert_eq!(bytes.pop(), Some(0), "the number of changes is last");
    bytes.extend([0xff, 0xff, 0xff, 0xff, 0x0f]);
    assert!(matches!(
        Delta::decode(&bytes),
        Err(DecodeError::Malformed(_))
    ));
}

#[test]
fn one_change_alters_one_bucket_and_a_transfer_reuses_the_others() {
    let old = snapshot(1, tenants(5000));
    let with_one_more = old.records().cloned().chain([tenant("one more", 1)]);
    let new = snapshot(2, with_one_more);
    let changed = Assembly::new(&old, Manifest::of(&new))
        .expect("the manifest is valid")
        .missing();
    assert_eq!(changed.len(), 1);
    assert_eq!(fetch(&old, &new), Ok(new.clone()));
    assert_eq!(
        old.delta_to(&new, version(2)).changes,
        [Change::Put(tenant("one more", 1))]
    );
    let older = Assembly::new(&new, Manifest::of(&old)).map(drop);
    assert_eq!(
        older,
        Err(ChunkError::OlderVersion {
            have: version(2),
            offered: version(1)
        })
    );
}

#[test]
fn rejects_chunks_and_manifests_that_do_not_match() {
    let (complete, other) = (snapshot(7, tenants(50)), snapshot(8, tenants(51)));
    let wanted: Vec<u16> = (0..1024).collect();
    let mut assembly =
        Assembly::new(&Snapshot::empty(), Manifest::of(&complete)).expect("the manifest is valid");
    let mut foreign = next_chunk(&other, &wanted).expect("a chunk");
    assert!(matches!(
        assembly.add_chunk(foreign.clone()),
        Err(ChunkError::WrongVersion { .. })
    ));
    foreign.version = complete.version();
    assert!(matches!(
        assembly.add_chunk(foreign),
        Err(ChunkError::DigestMismatch { .. })
    ));
    let mut doubled = next_chunk(&complete, &[3]).expect("a chunk");
    doubled.buckets = vec![3, 3];
    assert_eq!(
        assembly.add_chunk(doubled),
        Err(ChunkError::InvalidBucketNumber { bucket: 3 })
    );
    let mut outside = next_chunk(&complete, &[3, 5000]).expect("a chunk of the bucket that exists");
    assert_eq!(outside.buckets, [3]);
    outside.buckets = vec![1024];
    assert_eq!(
        assembly.add_chunk(outside),
        Err(ChunkError::InvalidBucketNumber { bucket: 1024 })
    );
    assert_eq!(next_chunk(&complete, &[]), None);
    let mut manifest = Manifest::of(&complete);
    manifest.buckets[0] = manifest.digest;
    assert!(matches!(
        Assembly::new(&other, manifest.clone()),
        Err(ChunkError::OlderVersion { .. })
    ));
    let differs = Assembly::new(&Snapshot::empty(), manifest.clone());
    assert!(matches!(
        differs,
        Err(ChunkError::ManifestDigestMismatch { .. })
    ));
    manifest.buckets.pop();
    let short = Assembly::new(&Snapshot::empty(), manifest);
    assert!(matches!(
        short,
        Err(ChunkError::BucketCount { found: 1023, .. })
    ));
}

#[test]
fn rejects_a_chunk_that_decompresses_to_too_many_bytes() {
    let complete = snapshot(7, tenants(50));
    let mut assembly =
        Assembly::new(&Snapshot::empty(), Manifest::of(&complete)).expect("the manifest is valid");
    let body = zstd::bulk::compress(&vec![0; 64 << 20], 3).expect("compressed");
    let forged = Chunk {
        version: complete.version(),
        buckets: vec![0],
        body,
    };
    assert!(matches!(
        assembly.add_chunk(forged),
        Err(ChunkError::Decompress { .. })
    ));
}

fn empty_delta(from: u64, to: u64) -> Arc<Delta> {
    Arc::new(Delta {
        from: version(from),
        to: version(to),
        digest: Digest::default(),
        changes: Vec::new(),
    })
}

#[test]
fn a_history_returns_complete_chains_only() {
    let mut history = History::new(3, 1 << 20);
    assert_eq!(history.since(version(1)), None);
    (1..=5).for_each(|number| history.push(empty_delta(number, number + 1)));
    assert_eq!(
        history.since(version(2)),
        None,
        "the oldest delta was dropped"
    );
    assert_eq!(
        history.since(version(3)),
        Some(vec![
            empty_delta(3, 4),
            empty_delta(4, 5),
            empty_delta(5, 6)
        ])
    );
    assert_eq!(history.since(version(6)), Some(Vec::new()));
    assert_eq!(history.since(version(7)), None);
    history.push(empty_delta(8, 9));
    assert_eq!(history.since(version(5)), None, "a gap begins a new chain");
    assert_eq!(history.since(version(8)), Some(vec![empty_delta(8, 9)]));
    let bytes = empty_delta(1, 2).encode().len();
    let mut small = History::new(100, 2 * bytes);
    (1..=5).for_each(|number| small.push(empty_delta(number, number + 1)));
    assert_eq!(small.since(version(3)), None);
    assert_eq!(small.since(version(4)).map(|chain| chain.len()), Some(2));
}
