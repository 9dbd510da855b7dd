//! Laws of snapshots, deltas, digests and chunks, for any records.

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

/// Records with a key of their own each.
fn any_records() -> impl Strategy<Value = Vec<Record>> {
    prop::collection::vec(any_record(), 0..120).prop_map(|records| {
        let by_key: BTreeMap<RecordKey, Record> =
            records.into_iter().map(|r| (r.key(), r)).collect();
        by_key.into_values().collect()
    })
}

/// Fetches a snapshot from another over chunks, in order.
fn fetch(base: &Snapshot, whole: &Snapshot) -> Result<Snapshot, ChunkError> {
    let mut assembly = Assembly::new(base, Manifest::of(whole))?;
    while let Some(piece) = next_chunk(whole, &assembly.missing()) {
        assembly.add_chunk(piece)?;
    }
    assembly.finish()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn a_delta_leads_from_one_snapshot_to_another(before in any_records(), after in any_records()) {
        let (old, new) = (snapshot(1, before), snapshot(9, after));
        let delta = old.delta_to(&new, version(2));
        let sent = Delta::decode(&delta.encode());
        prop_assert_eq!(sent.as_ref(), Ok(&delta));
        let applied = old.apply(&delta).expect("it fits");
        prop_assert_eq!(applied.digest(), new.digest());
        prop_assert_eq!(applied.bucket_digests(), new.bucket_digests());
        prop_assert_eq!(applied, new.with_version(version(2)));
    }

    #[test]
    fn the_digest_belongs_to_the_set(records in any_records(), seed in any::<u64>()) {
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
    fn a_snapshot_agrees_with_a_plain_map(
        changes in prop::collection::vec((any_record(), any::<bool>()), 0..16),
    ) {
        let mut held = Snapshot::empty();
        let mut map: HashMap<RecordKey, Record> = HashMap::new();
        for (record, put) in changes {
            match put {
                true => drop(map.insert(record.key(), record.clone())),
                false => drop(map.remove(&record.key())),
            }
            let target = snapshot(0, map.values().cloned());
            held = held.apply(&held.delta_to(&target, held.version().next())).expect("it fits");
            prop_assert_eq!(held.get(&record.key()), map.get(&record.key()));
        }
        for kind in RecordKind::ALL {
            prop_assert_eq!(held.count(kind), map.keys().filter(|key| key.kind == kind).count());
        }
        let all = held.services().count() + held.routes().count() + held.tenants().count();
        prop_assert_eq!(all, map.len());
        prop_assert!(map.iter().all(|(key, record)| held.get(key) == Some(record)));
    }

    #[test]
    fn chunks_in_any_order_with_repeats_and_a_restart_give_the_snapshot(
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..12),
        base in 0usize..900,
    ) {
        let whole = snapshot(7, tenants(900).chain([route("r", "/r", 1.0), service("search", &[])]));
        let mut held = snapshot(3, tenants(base));
        let mut assembly = Assembly::new(&held, Manifest::of(&whole)).expect("it fits");
        let pieces: Vec<Chunk> = (0..8u16)
            .filter_map(|part| {
                let wanted: Vec<u16> = (part * 128..(part + 1) * 128).collect();
                next_chunk(&whole, &wanted)
            })
            .collect();
        for index in order {
            let piece = index.get(&pieces).clone();
            assembly.add_chunk(piece.clone()).expect("it fits");
            assembly.add_chunk(piece).expect("a repeat changes nothing");
        }
        let cut_off = assembly.missing().len();
        prop_assert_eq!(assembly.clone().finish().is_ok(), cut_off == 0);
        while let Some(piece) = next_chunk(&whole, &assembly.missing()) {
            prop_assert!(piece.buckets.len() == 1 || piece.body.len() <= TARGET_CHUNK_BYTES);
            assembly.add_chunk(piece).expect("it fits");
        }
        held = assembly.finish().expect("it is whole");
        prop_assert_eq!(&held, &whole);
    }

    #[test]
    fn a_delta_that_was_cut_or_changed_is_an_error_or_equal(
        records in any_records(), at in any::<prop::sample::Index>(), bit in 0u8..8,
    ) {
        let delta = Snapshot::empty().delta_to(&snapshot(1, records), version(1));
        let mut bytes = delta.encode();
        let at = at.index(bytes.len());
        prop_assert!(Delta::decode(&bytes[..at]).is_err());
        bytes[at] ^= 1 << bit;
        // What still reads as a delta states another version or digest, or its result has not the digest stated.
        if let Ok(read) = Delta::decode(&bytes) {
            prop_assert!(read != delta);
            let applied = Snapshot::empty().apply(&read);
            prop_assert!(applied.is_err() || read.to != delta.to);
        }
    }

    #[test]
    fn any_bytes_are_read_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = Delta::decode(&bytes);
        let whole = snapshot(7, tenants(10));
        let mut assembly = Assembly::new(&Snapshot::empty(), Manifest::of(&whole)).expect("it fits");
        let forged = Chunk { version: whole.version(), buckets: vec![0, 1, 2], body: bytes };
        let before = assembly.missing();
        if assembly.add_chunk(forged).is_err() {
            prop_assert_eq!(assembly.missing(), before);
        }
    }

    #[test]
    fn a_changed_chunk_is_refused_or_equal(at in any::<prop::sample::Index>(), bit in 0u8..8) {
        let whole = snapshot(7, tenants(200));
        let wanted: Vec<u16> = (0..1024).collect();
        let mut piece = next_chunk(&whole, &wanted).expect("a piece");
        let at = at.index(piece.body.len());
        piece.body[at] ^= 1 << bit;
        let mut assembly = Assembly::new(&Snapshot::empty(), Manifest::of(&whole)).expect("it fits");
        if assembly.add_chunk(piece).is_ok() {
            prop_assert_eq!(fetch(&assembly.finish().expect("all of it"), &whole), Ok(whole));
        }
    }
}

#[test]
fn a_delta_of_another_base_or_another_result_changes_nothing() {
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
    let mut wrong = delta.clone();
    wrong.changes.clear();
    assert!(matches!(
        old.apply(&wrong),
        Err(ApplyError::DigestMismatch { .. })
    ));
    let mut back = delta.clone();
    back.to = version(1);
    assert!(matches!(old.apply(&back), Err(ApplyError::NotNewer { .. })));
    let mut unnamed = delta;
    unnamed.changes = vec![Change::Put(tenant("", 1))];
    assert!(matches!(old.apply(&unnamed), Err(ApplyError::Invalid(_))));
    assert_eq!(old, snapshot(1, tenants(5)));
}

#[test]
fn records_past_their_bounds_are_refused() {
    let long = "n".repeat(65);
    let zones = vec!["z"; 65];
    let mut unserved = route("r", "/r", 1.0);
    if let Record::Route(route) = &mut unserved {
        route.service.clear();
    }
    let wrong = [
        ("name", tenant(&long, 1)),
        ("zones", service("s", &zones)),
        ("zones", service("s", &[""])),
        ("paths", route("r", "", 1.0)),
        ("benefit", route("r", "/r", f64::NAN)),
        ("benefit", route("r", "/r", -1.0)),
        ("benefit", route("r", "/r", -0.0)),
        ("service", unserved),
    ];
    for (field, record) in wrong {
        assert_eq!(record.check().expect_err("out of bounds").field, field);
        let bare = Delta {
            from: Version::NONE,
            to: version(1),
            digest: Digest::default(),
            changes: vec![Change::Put(record)],
        };
        assert!(matches!(
            Delta::decode(&bare.encode()),
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
fn a_delta_that_states_many_changes_and_holds_none_is_refused() {
    let bare = Delta {
        from: version(1),
        to: version(2),
        digest: Digest::default(),
        changes: Vec::new(),
    };
    let mut bytes = bare.encode();
    assert_eq!(bytes.pop(), Some(0), "the number of changes is last");
    bytes.extend([0xff, 0xff, 0xff, 0xff, 0x0f]);
    assert!(matches!(
        Delta::decode(&bytes),
        Err(DecodeError::Malformed(_))
    ));
}

#[test]
fn one_change_copies_one_bucket_and_a_transfer_reuses_the_rest() {
    let old = snapshot(1, tenants(5000));
    let with_one_more = old.records().cloned().chain([tenant("one more", 1)]);
    let new = snapshot(2, with_one_more);
    let changed = Assembly::new(&old, Manifest::of(&new))
        .expect("it fits")
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
fn chunks_that_do_not_fit_the_manifest_are_refused() {
    let (whole, other) = (snapshot(7, tenants(50)), snapshot(8, tenants(51)));
    let wanted: Vec<u16> = (0..1024).collect();
    let mut assembly = Assembly::new(&Snapshot::empty(), Manifest::of(&whole)).expect("it fits");
    let mut foreign = next_chunk(&other, &wanted).expect("a piece");
    assert!(matches!(
        assembly.add_chunk(foreign.clone()),
        Err(ChunkError::WrongVersion { .. })
    ));
    foreign.version = whole.version();
    assert!(matches!(
        assembly.add_chunk(foreign),
        Err(ChunkError::DigestMismatch { .. })
    ));
    let mut doubled = next_chunk(&whole, &[3]).expect("a piece");
    doubled.buckets = vec![3, 3];
    assert_eq!(
        assembly.add_chunk(doubled),
        Err(ChunkError::InvalidBucketNumber { bucket: 3 })
    );
    let mut outside = next_chunk(&whole, &[3, 5000]).expect("a piece of what exists");
    assert_eq!(outside.buckets, [3]);
    outside.buckets = vec![1024];
    assert_eq!(
        assembly.add_chunk(outside),
        Err(ChunkError::InvalidBucketNumber { bucket: 1024 })
    );
    assert_eq!(next_chunk(&whole, &[]), None);
    let mut manifest = Manifest::of(&whole);
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
fn a_body_that_grows_without_end_is_refused() {
    let whole = snapshot(7, tenants(50));
    let mut assembly = Assembly::new(&Snapshot::empty(), Manifest::of(&whole)).expect("it fits");
    let body = zstd::bulk::compress(&vec![0; 64 << 20], 3).expect("compressed");
    let forged = Chunk {
        version: whole.version(),
        buckets: vec![0],
        body,
    };
    assert!(matches!(
        assembly.add_chunk(forged),
        Err(ChunkError::Decompress { .. })
    ));
}

fn link(from: u64, to: u64) -> Arc<Delta> {
    Arc::new(Delta {
        from: version(from),
        to: version(to),
        digest: Digest::default(),
        changes: Vec::new(),
    })
}

#[test]
fn a_history_gives_whole_chains_only() {
    let mut history = History::new(3, 1 << 20);
    assert_eq!(history.since(version(1)), None);
    (1..=5).for_each(|number| history.push(link(number, number + 1)));
    assert_eq!(history.since(version(2)), None, "dropped past the bound");
    assert_eq!(
        history.since(version(3)),
        Some(vec![link(3, 4), link(4, 5), link(5, 6)])
    );
    assert_eq!(history.since(version(6)), Some(Vec::new()));
    assert_eq!(history.since(version(7)), None);
    history.push(link(8, 9));
    assert_eq!(history.since(version(5)), None, "a gap begins a new chain");
    assert_eq!(history.since(version(8)), Some(vec![link(8, 9)]));
    let bytes = link(1, 2).encode().len();
    let mut small = History::new(100, 2 * bytes);
    (1..=5).for_each(|number| small.push(link(number, number + 1)));
    assert_eq!(small.since(version(3)), None);
    assert_eq!(small.since(version(4)).map(|chain| chain.len()), Some(2));
}
