//! A store whose disk fails, tears writes, is cut off or changed at every byte.

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
/// The steps of opening a new store, appending, replacing and compacting are fewer.
const MOST_STEPS: usize = 100;

fn version(number: u64) -> Version {
    Version { epoch: 1, number }
}

/// The configuration of each version: one tenant more each time.
fn wanted(number: u64) -> Snapshot {
    let names = (1..=number).map(|each| format!("tenant-{each}"));
    let records = names.map(|name| tenant(&name, 5));
    let version = if number == 0 {
        Version::NONE
    } else {
        version(number)
    };
    Snapshot::from_records(version, records).expect("records within bounds")
}

fn step(number: u64) -> Delta {
    wanted(number - 1).delta_to(&wanted(number), version(number))
}

/// A closed store that holds all versions, of which the snapshot has the first ones.
fn fill(folder: &Path, in_snapshot: u64) {
    let mut store = Store::open(folder).expect("a new store").store;
    for number in 1..=VERSIONS {
        store.append(&step(number)).expect("appended");
        if number == in_snapshot {
            store.compact().expect("compacted");
        }
    }
}

/// How a step of the disk fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Error,
    /// A write leaves half its bytes behind.
    Torn,
    /// A write leaves all its bytes behind and fails all the same.
    Late,
}

/// Fails one step, and counts the steps before it.
struct FaultyDisk {
    steps_left: usize,
    fault: Fault,
}

impl FaultyDisk {
    fn fails(&mut self) -> bool {
        let fails = self.steps_left == 0;
        self.steps_left = self.steps_left.wrapping_sub(1);
        fails
    }

    fn pass(&mut self, step: impl FnOnce(&mut SystemDisk) -> io::Result<()>) -> io::Result<()> {
        if self.fails() {
            return Err(io::Error::other("injected"));
        }
        step(&mut SystemDisk)
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
        self.pass(|disk| disk.sync(file))
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.pass(|disk| disk.rename(from, to))
    }

    fn truncate(&mut self, file: &File, bytes: u64) -> io::Result<()> {
        self.pass(|disk| disk.truncate(file, bytes))
    }
}

/// Opens, appends, compacts and replaces; returns the last version that was acknowledged and whether a step failed.
fn work_until_failure(folder: &Path, disk: FaultyDisk) -> (u64, bool) {
    let Ok(Opened { mut store, .. }) = Store::open_with_disk(folder, Box::new(disk)) else {
        return (0, true);
    };
    let mut acknowledged = 0;
    for number in 1..=VERSIONS {
        let result = match number {
            VERSIONS => store.replace(&wanted(number)).map(drop),
            _ => store.append(&step(number)).map(drop),
        };
        if let Err(error) = result {
            assert!(matches!(error, StoreError::Disk { .. }), "{error}");
            assert_eq!(
                store.snapshot(),
                &wanted(acknowledged),
                "memory is not ahead of the disk"
            );
            assert!(
                matches!(store.compact(), Err(StoreError::DiskFailedEarlier)),
                "final"
            );
            assert!(
                matches!(
                    store.append(&step(number)),
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
fn whichever_step_of_the_disk_fails_nothing_acknowledged_is_lost() {
    for fault in [Fault::Error, Fault::Torn, Fault::Late] {
        let mut steps = 0;
        loop {
            let folder = tempfile::tempdir().expect("a folder");
            let path = folder.path().join("store");
            let (acknowledged, failed) = work_until_failure(
                &path,
                FaultyDisk {
                    steps_left: steps,
                    fault,
                },
            );
            let opened = Store::open(&path).expect("what is there is whole or torn");
            let number = opened.store.snapshot().version().number;
            assert!(
                (acknowledged..=acknowledged + 1).contains(&number),
                "{fault:?} at step {steps}"
            );
            assert_eq!(opened.store.snapshot(), &wanted(number));
            let mut store = opened.store;
            for next in number + 1..=VERSIONS {
                store.append(&step(next)).expect("it goes on");
            }
            if !failed {
                break;
            }
            steps += 1;
            assert!(steps < MOST_STEPS);
        }
        assert!(steps > 20, "only {steps} steps of the disk");
    }
}

#[test]
fn what_was_appended_is_there_after_a_restart_with_its_deltas() {
    let folder = tempfile::tempdir().expect("a folder");
    fill(folder.path(), 1);
    let opened = Store::open(folder.path()).expect("opened");
    assert_eq!(opened.store.snapshot(), &wanted(VERSIONS));
    assert_eq!(opened.torn_tail, None);
    let numbers: Vec<u64> = opened.deltas.iter().map(|delta| delta.to.number).collect();
    assert_eq!(numbers, [2, 3, 4]);
}

#[test]
fn a_log_cut_at_every_byte_gives_the_last_whole_version() {
    let folder = tempfile::tempdir().expect("a folder");
    fill(folder.path(), 1);
    let log = folder.path().join("log");
    let whole = fs::read(&log).expect("a log");
    let mut last_number = 1;
    for length in 0..=whole.len() {
        fs::write(&log, &whole[..length]).expect("cut");
        if length < 8 {
            assert!(matches!(
                Store::open(folder.path()),
                Err(StoreError::Damaged { offset: 0, .. })
            ));
            continue;
        }
        let opened = Store::open(folder.path()).expect("a cut log is torn at most");
        let number = opened.store.snapshot().version().number;
        assert_eq!(opened.store.snapshot(), &wanted(number));
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
fn room_that_was_never_written_is_a_torn_tail() {
    let folder = tempfile::tempdir().expect("a folder");
    fill(folder.path(), 1);
    let log = folder.path().join("log");
    let whole = fs::read(&log).expect("a log");
    let mut unwritten = whole.clone();
    unwritten.extend([0; 300]);
    fs::write(&log, &unwritten).expect("extended");
    let opened = Store::open(folder.path()).expect("torn");
    assert_eq!(
        opened.torn_tail,
        Some(TornTail {
            offset: whole.len() as u64,
            bytes: 300
        })
    );
    drop(opened);
    let mut half = whole.clone();
    let half_of_last = whole.len() - 30;
    half[half_of_last..].fill(0);
    fs::write(&log, &half).expect("half written");
    let opened = Store::open(folder.path()).expect("torn");
    assert_eq!(opened.store.snapshot(), &wanted(VERSIONS - 1));
}

#[test]
fn a_changed_byte_anywhere_is_refused_with_the_way_out() {
    let folder = tempfile::tempdir().expect("a folder");
    fill(folder.path(), 2);
    for name in ["log", "snapshot"] {
        let path = folder.path().join(name);
        let whole = fs::read(&path).expect("a file");
        for (at, mask) in (0..whole.len()).flat_map(|at| [(at, 1), (at, 0x80), (at, 0xff)]) {
            let mut changed = whole.clone();
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
                "nothing was cut off"
            );
        }
        fs::write(&path, &whole).expect("mended");
    }
    assert_eq!(
        Store::open(folder.path()).expect("whole").store.snapshot(),
        &wanted(VERSIONS)
    );
}

#[test]
fn a_snapshot_cut_at_every_byte_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    fill(folder.path(), 2);
    let path = folder.path().join("snapshot");
    let whole = fs::read(&path).expect("a file");
    for length in 0..whole.len() {
        fs::write(&path, &whole[..length]).expect("cut");
        assert!(matches!(
            Store::open(folder.path()),
            Err(StoreError::Damaged { .. })
        ));
    }
}

#[test]
fn a_missing_file_is_refused() {
    for name in ["log", "snapshot"] {
        let folder = tempfile::tempdir().expect("a folder");
        fill(folder.path(), 2);
        fs::remove_file(folder.path().join(name)).expect("removed");
        let missing = folder.path().join(name);
        match Store::open(folder.path()) {
            Err(StoreError::Missing { path, .. }) => assert_eq!(path, missing),
            other => panic!("{:?}", other.map(drop)),
        }
    }
}

#[test]
fn a_crash_between_snapshot_and_log_leaves_deltas_that_are_skipped() {
    let folder = tempfile::tempdir().expect("a folder");
    fill(folder.path(), 1);
    let old_log = fs::read(folder.path().join("log")).expect("a log");
    Store::open(folder.path())
        .expect("opened")
        .store
        .compact()
        .expect("compacted");
    fs::write(folder.path().join("log"), old_log).expect("as before");
    let opened = Store::open(folder.path()).expect("opened");
    assert_eq!(opened.store.snapshot(), &wanted(VERSIONS));
    assert!(opened.deltas.is_empty());
}

#[test]
fn one_process_at_a_time() {
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
fn what_does_not_fit_is_refused_and_is_not_final() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path()).expect("opened").store;
    assert!(matches!(store.append(&step(2)), Err(StoreError::Apply(_))));
    store.append(&step(1)).expect("appended");
    assert!(matches!(
        store.replace(&wanted(1)),
        Err(StoreError::NotNewer { .. })
    ));
    store.replace(&wanted(3)).expect("replaced");
    store.append(&step(4)).expect("appended");
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
