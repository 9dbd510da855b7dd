//! Stores on a disk that fails or tears writes, and stores whose files are truncated or altered at every byte.

mod common;

use common::tenant;
use havenplank_configuration::delta::Delta;
use havenplank_configuration::disk::{Disk, SystemDisk};
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::store::{Opened, Store, StoreError, TornTail};
use havenplank_configuration::version::Version;
use std::fs::{self, File};
use std::io;
use std::path::Path;

const VERSIONS: u64 = 4;
/// More disk operations than opening a new store, appending, replacing and compacting take together.
const MAX_OPERATIONS: usize = 100;

fn version(number: u64) -> Version {
    Version { epoch: 1, number }
}

/// The configuration of a version, which has as many tenants as its number.
fn expected_snapshot(number: u64) -> Snapshot {
    let names = (1..=number).map(|each| format!("tenant-{each}"));
    let records = names.map(|name| tenant(&name, 5));
    let version = if number == 0 {
        Version::NONE
    } else {
        version(number)
    };
    Snapshot::from_records(version, records).expect("records within bounds")
}

fn delta_to(number: u64) -> Delta {
    expected_snapshot(number - 1).delta_to(&expected_snapshot(number), version(number))
}

/// Fills a store with all versions and closes it; the first ones are in its snapshot, the others in its log.
fn fill_store(folder: &Path, in_snapshot: u64) {
    let mut store = Store::open(folder).expect("a new store").store;
    for number in 1..=VERSIONS {
        store.append(&delta_to(number)).expect("appended");
        if number == in_snapshot {
            store.compact().expect("compacted");
        }
    }
}

/// How a disk operation fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The operation has no effect.
    Error,
    /// A write puts half of its bytes on disk, then fails.
    Torn,
    /// A write puts all of its bytes on disk, then fails.
    Late,
}

/// A disk of which one operation fails, after a number of operations that succeed.
struct FaultyDisk {
    operations_left: usize,
    fault: Fault,
}

impl FaultyDisk {
    fn fails(&mut self) -> bool {
        let fails = self.operations_left == 0;
        self.operations_left = self.operations_left.wrapping_sub(1);
        fails
    }

    fn run(&mut self, operation: impl FnOnce(&mut SystemDisk) -> io::Result<()>) -> io::Result<()> {
        if self.fails() {
            return Err(io::Error::other("injected"));
        }
        operation(&mut SystemDisk)
    }
}

impl Disk for FaultyDisk {
    fn write(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        if !self.fails() {
            return SystemDisk.write(file, bytes);
        }
        match self.fault {
            Fault::Error => {}
            Fault::Torn => SystemDisk.write(file, &bytes[..bytes.len() / 2])?,
            Fault::Late => SystemDisk.write(file, bytes)?,
        }
        Err(io::Error::other("injected"))
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        self.run(|disk| disk.sync(file))
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.run(|disk| disk.rename(from, to))
    }

    fn truncate(&mut self, file: &File, bytes: u64) -> io::Result<()> {
        self.run(|disk| disk.truncate(file, bytes))
    }
}

/// Opens a store, appends, compacts and replaces, until an operation fails. Returns the number of the last acknowledged
/// version and whether an operation failed.
fn work_until_failure(folder: &Path, disk: FaultyDisk) -> (u64, bool) {
    let Ok(Opened { mut store, .. }) = Store::open_with_disk(folder, Box::new(disk)) else {
        return (0, true);
    };
    let mut acknowledged = 0;
    for number in 1..=VERSIONS {
        let result = match number {
            VERSIONS => store.replace(&expected_snapshot(number)).map(drop),
            _ => store.append(&delta_to(number)).map(drop),
        };
        if let Err(error) = result {
            assert!(matches!(error, StoreError::Disk { .. }), "{error}");
            assert_eq!(
                store.snapshot(),
                &expected_snapshot(acknowledged),
                "the store does not return a version that is not on disk"
            );
            assert!(
                matches!(store.compact(), Err(StoreError::DiskFailedEarlier)),
                "final"
            );
            assert!(
                matches!(
                    store.append(&delta_to(number)),
                    Err(StoreError::DiskFailedEarlier)
                ),
                "final"
            );
            return (acknowledged, true);
        }
        acknowledged = number;
        if number == 2 && store.compact().is_err() {
            return (acknowledged, true);
        }
    }
    (acknowledged, false)
}

#[test]
fn keeps_acknowledged_versions_whichever_disk_operation_fails() {
    for fault in [Fault::Error, Fault::Torn, Fault::Late] {
        let mut operations = 0;
        loop {
            let folder = tempfile::tempdir().expect("a folder");
            let path = folder.path().join("store");
            let (acknowledged, failed) = work_until_failure(
                &path,
                FaultyDisk {
                    operations_left: operations,
                    fault,
                },
            );
            let opened = Store::open(&path).expect("the files are intact or torn");
            let number = opened.store.snapshot().version().number;
            assert!(
                (acknowledged..=acknowledged + 1).contains(&number),
                "{fault:?} at operation {operations}"
            );
            assert_eq!(opened.store.snapshot(), &expected_snapshot(number));
            let mut store = opened.store;
            for next in number + 1..=VERSIONS {
                store
                    .append(&delta_to(next))
                    .expect("the reopened store accepts deltas");
            }
            if !failed {
                break;
            }
            operations += 1;
            assert!(operations < MAX_OPERATIONS);
        }
        assert!(operations > 20, "only {operations} disk operations");
    }
}

#[test]
fn reopening_returns_the_appended_versions_with_their_deltas() {
    let folder = tempfile::tempdir().expect("a folder");
    fill_store(folder.path(), 1);
    let opened = Store::open(folder.path()).expect("opened");
    assert_eq!(opened.store.snapshot(), &expected_snapshot(VERSIONS));
    assert_eq!(opened.torn_tail, None);
    let numbers: Vec<u64> = opened.deltas.iter().map(|delta| delta.to.number).collect();
    assert_eq!(numbers, [2, 3, 4]);
}

#[test]
fn a_log_truncated_at_any_byte_yields_the_last_complete_version() {
    let folder = tempfile::tempdir().expect("a folder");
    fill_store(folder.path(), 1);
    let log = folder.path().join("log");
    let intact = fs::read(&log).expect("a log");
    let mut last_number = 1;
    for length in 0..=intact.len() {
        fs::write(&log, &intact[..length]).expect("truncated");
        if length < 8 {
            assert!(matches!(
                Store::open(folder.path()),
                Err(StoreError::Damaged { offset: 0, .. })
            ));
            continue;
        }
        let opened = Store::open(folder.path()).expect("a truncated log is torn, not damaged");
        let number = opened.store.snapshot().version().number;
        assert_eq!(opened.store.snapshot(), &expected_snapshot(number));
        assert!(number == last_number || number == last_number + 1);
        let kept = fs::metadata(&log).expect("a log").len();
        let torn = (kept < length as u64).then_some(TornTail {
            offset: kept,
            bytes: length as u64 - kept,
        });
        assert_eq!(opened.torn_tail, torn);
        last_number = number;
    }
    assert_eq!(last_number, VERSIONS);
}

#[test]
fn zeros_that_were_never_written_count_as_a_torn_tail() {
    let folder = tempfile::tempdir().expect("a folder");
    fill_store(folder.path(), 1);
    let log = folder.path().join("log");
    let intact = fs::read(&log).expect("a log");
    let mut unwritten = intact.clone();
    unwritten.extend([0; 300]);
    fs::write(&log, &unwritten).expect("extended");
    let opened = Store::open(folder.path()).expect("a torn log opens");
    assert_eq!(
        opened.torn_tail,
        Some(TornTail {
            offset: intact.len() as u64,
            bytes: 300
        })
    );
    drop(opened);
    let mut half = intact.clone();
    let half_of_last = intact.len() - 30;
    half[half_of_last..].fill(0);
    fs::write(&log, &half).expect("half written");
    let opened = Store::open(folder.path()).expect("a torn log opens");
    assert_eq!(opened.store.snapshot(), &expected_snapshot(VERSIONS - 1));
}

#[test]
fn rejects_an_altered_byte_anywhere_and_says_how_to_recover() {
    let folder = tempfile::tempdir().expect("a folder");
    fill_store(folder.path(), 2);
    for name in ["log", "snapshot"] {
        let path = folder.path().join(name);
        let intact = fs::read(&path).expect("a file");
        for (at, mask) in (0..intact.len()).flat_map(|at| [(at, 1), (at, 0x80), (at, 0xff)]) {
            let mut changed = intact.clone();
            changed[at] ^= mask;
            fs::write(&path, &changed).expect("changed");
            let error = Store::open(folder.path()).map(drop).expect_err("damage");
            assert!(
                matches!(error, StoreError::Damaged { .. }),
                "{name} at {at}: {error}"
            );
            assert!(error.to_string().contains("move its folder aside"));
            assert_eq!(
                fs::read(&path).expect("a file"),
                changed,
                "the file was not changed"
            );
        }
        fs::write(&path, &intact).expect("restored");
    }
    assert_eq!(
        Store::open(folder.path()).expect("opened").store.snapshot(),
        &expected_snapshot(VERSIONS)
    );
}

#[test]
fn rejects_a_snapshot_truncated_at_any_byte() {
    let folder = tempfile::tempdir().expect("a folder");
    fill_store(folder.path(), 2);
    let path = folder.path().join("snapshot");
    let intact = fs::read(&path).expect("a file");
    for length in 0..intact.len() {
        fs::write(&path, &intact[..length]).expect("truncated");
        assert!(matches!(
            Store::open(folder.path()),
            Err(StoreError::Damaged { .. })
        ));
    }
}

#[test]
fn rejects_a_store_with_a_missing_file() {
    for name in ["log", "snapshot"] {
        let folder = tempfile::tempdir().expect("a folder");
        fill_store(folder.path(), 2);
        fs::remove_file(folder.path().join(name)).expect("removed");
        let missing = folder.path().join(name);
        match Store::open(folder.path()) {
            Err(StoreError::Missing { path, .. }) => assert_eq!(path, missing),
            other => panic!("{:?}", other.map(drop)),
        }
    }
}

#[test]
fn skips_deltas_left_by_a_crash_between_writing_snapshot_and_log() {
    let folder = tempfile::tempdir().expect("a folder");
    fill_store(folder.path(), 1);
    let old_log = fs::read(folder.path().join("log")).expect("a log");
    Store::open(folder.path())
        .expect("opened")
        .store
        .compact()
        .expect("compacted");
    fs::write(folder.path().join("log"), old_log).expect("the old log is restored");
    let opened = Store::open(folder.path()).expect("opened");
    assert_eq!(opened.store.snapshot(), &expected_snapshot(VERSIONS));
    assert!(opened.deltas.is_empty());
}

#[test]
fn rejects_a_folder_that_is_already_open() {
    let folder = tempfile::tempdir().expect("a folder");
    let first = Store::open(folder.path()).expect("opened");
    assert!(matches!(
        Store::open(folder.path()),
        Err(StoreError::Locked { .. })
    ));
    drop(first);
    assert!(Store::open(folder.path()).is_ok());
}

#[test]
fn stays_usable_after_rejecting_a_delta_or_snapshot() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path()).expect("opened").store;
    assert!(matches!(
        store.append(&delta_to(2)),
        Err(StoreError::Apply(_))
    ));
    store.append(&delta_to(1)).expect("appended");
    assert!(matches!(
        store.replace(&expected_snapshot(1)),
        Err(StoreError::NotNewer { .. })
    ));
    store.replace(&expected_snapshot(3)).expect("replaced");
    store.append(&delta_to(4)).expect("appended");
}

#[test]
fn a_long_log_is_folded_into_the_snapshot() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path()).expect("opened").store;
    let many = |rate| {
        let names = (0..40_000).map(|each| format!("tenant-of-a-long-name-{each}"));
        Snapshot::from_records(version(0), names.map(|name| tenant(&name, rate))).expect("records")
    };
    for number in 1..=2 {
        let next = many(number as u32);
        let delta = store.snapshot().delta_to(&next, version(number));
        store.append(&delta).expect("appended");
    }
    let log_bytes = fs::metadata(folder.path().join("log"))
        .expect("a log")
        .len();
    assert_eq!(log_bytes, 8);
    let held = store.snapshot().clone();
    drop(store);
    assert_eq!(
        Store::open(folder.path()).expect("opened").store.snapshot(),
        &held
    );
}
