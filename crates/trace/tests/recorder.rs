//! The recorder when the disk is slow, fails or is full, when it records a sample, and when it is killed.

mod common;

use common::*;
use havenplank_sidecar::engine::EPOCH;
use havenplank_sidecar::events::Event;
use havenplank_trace::recorder::{FileStore, Folder, Recorder};
use havenplank_trace::{merge, replay, summary, Payload, Record, TraceError, Writer};
use std::collections::{HashMap, HashSet};
use std::io::{self, Write};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};

/// The records by hit, and those of none.
fn by_hit(records: &[Record]) -> (HashMap<u64, Vec<Payload>>, Vec<Payload>) {
    let (mut requests, mut besides): (HashMap<u64, Vec<Payload>>, Vec<Payload>) =
        Default::default();
    for record in records {
        match record.request_id() {
            Some(hit) => requests
                .entry(hit)
                .or_default()
                .push(record.payload.clone()),
            None => besides.push(record.payload.clone()),
        }
    }
    (requests, besides)
}

#[test]
fn a_sample_holds_each_hit_whole_and_everything_else() {
    let run = SidecarRun::new("sidecar-0", 2, 8 * S);
    let (all_hits, all_besides) = by_hit(&all(&file(&run)));
    let mut sampled = run.clone();
    sampled.limits.sample_share = 0.25;
    let bytes = file(&sampled);
    let (requests, besides) = by_hit(&all(&bytes));
    assert!(
        (300..500).contains(&requests.len()),
        "{} of {}",
        requests.len(),
        all_hits.len()
    );
    assert!(requests
        .iter()
        .all(|(hit, records)| all_hits[hit] == *records));
    assert!(besides == all_besides);
    assert!(
        matches!(
            replay::replay(vec![open(&bytes)]),
            Err(TraceError::Unusable(_))
        ),
        "not all hits are there"
    );
}

/// Lets a block through for each word that it is sent, and all of them once nobody can send any more.
struct Gate(Memory, Arc<Mutex<Receiver<()>>>);

struct Gated(Box<dyn Write + Send>, Arc<Mutex<Receiver<()>>>);

impl FileStore for Gate {
    fn open(&mut self, part: u64) -> io::Result<Box<dyn Write + Send>> {
        Ok(Box::new(Gated(self.0.open(part)?, self.1.clone())))
    }
}

impl Write for Gated {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        let _ = self.1.lock().unwrap().recv();
        Ok(())
    }
}

/// A life whose disk stands still until it is over; its records.
fn behind_a_gate(run: &SidecarRun) -> Vec<Record> {
    let (memory, (open, gate)) = (Memory::default(), mpsc::channel());
    let shelf = Gate(memory.clone(), Arc::new(Mutex::new(gate)));
    let (recorder, writing) = Recorder::start(run.source(), run.limits.clone(), Box::new(shelf));
    // The engine lives through this without waiting for the gate, or the test would not end.
    run_engine(run, recorder);
    drop(open);
    finish(writing);
    let bytes = memory.0.lock().unwrap()[0].clone();
    all(&bytes)
}

#[test]
fn a_slow_disk_costs_whole_hits_which_are_counted() {
    let mut run = SidecarRun::new("sidecar-0", 4, 30 * S);
    let (every, besides) = by_hit(&all(&file(&run)));
    run.limits.queue_bytes = 200 << 10;
    let records = behind_a_gate(&run);
    let (requests, found) = by_hit(&records);
    let lost = |records: &[Payload]| -> (u64, u64) {
        records.iter().fold((0, 0), |sum, what| match what {
            Payload::Lost { requests, records } => (sum.0 + requests, sum.1 + records),
            _ => sum,
        })
    };
    assert!(
        requests.len() > 500 && requests.len() < every.len(),
        "{} of {}",
        requests.len(),
        every.len()
    );
    assert!(
        requests.iter().all(|(hit, records)| every[hit] == *records),
        "no hit in part"
    );
    assert_eq!(lost(&found), ((every.len() - requests.len()) as u64, 0));
    let told: Vec<&Payload> = found
        .iter()
        .filter(|what| !matches!(what, Payload::Lost { .. }))
        .collect();
    assert!(
        told.len() == besides.len() && told.into_iter().eq(&besides),
        "all else is there"
    );
}

#[test]
fn a_disk_that_stands_still_for_long_loses_blocks_and_says_so() {
    let mut run = SidecarRun::new("sidecar-0", 4, 30 * S);
    let every = all(&file(&run)).len();
    run.limits.queue_bytes = 24 << 10;
    let records = behind_a_gate(&run);
    let (mut requests, mut lost) = (0, 0);
    for record in &records {
        if let Payload::Lost {
            requests: h,
            records: r,
        } = record.payload
        {
            (requests, lost) = (requests + h, lost + r);
        }
    }
    assert!(
        lost > 0 && requests > 0 && records.len() < every,
        "{requests} {lost}"
    );
}

/// A disk whose third block finds no room, for a while.
struct Fails(Memory, Arc<Mutex<u32>>);

struct Failing(Box<dyn Write + Send>, Arc<Mutex<u32>>);

impl FileStore for Fails {
    fn open(&mut self, part: u64) -> io::Result<Box<dyn Write + Send>> {
        if (3..6).contains(&*self.1.lock().unwrap()) {
            *self.1.lock().unwrap() += 1;
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(Box::new(Failing(self.0.open(part)?, self.1.clone())))
    }
}

impl Write for Failing {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if *self.1.lock().unwrap() == 2 {
            // Half of a block is on the disk already.
            let half = self.0.write(&bytes[..bytes.len() / 2])?;
            *self.1.lock().unwrap() = 3;
            return Ok(half);
        }
        if *self.1.lock().unwrap() == 3 {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        self.0.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        let mut flushed = self.1.lock().unwrap();
        if *flushed < 2 {
            *flushed += 1;
        }
        Ok(())
    }
}

#[test]
fn a_full_disk_breaks_the_file_off_and_another_goes_on() {
    let run = SidecarRun::new("sidecar-0", 6, 12 * S);
    let memory = Memory::default();
    let shelf = Fails(memory.clone(), Arc::default());
    let (recorder, writing) = Recorder::start(run.source(), run.limits.clone(), Box::new(shelf));
    run_engine(&run, recorder);
    finish(writing);
    let files = memory.0.lock().unwrap().clone();
    assert_eq!(files.len(), 2);
    let mut reader = open(&files[0]);
    assert_eq!(reader.index.len(), 2, "what was whole");
    let ends = loop {
        match reader.record() {
            Ok(Some(_)) => {}
            other => break other,
        }
    };
    assert!(matches!(ends, Err(TraceError::Damage { .. })), "{ends:?}");
    let (summary, damage) = summary::summarise(&mut open(&files[1]), None).unwrap();
    assert!(
        damage.is_none() && summary.lost_records > 0 && summary.lost_requests > 0,
        "{summary:?}"
    );
    assert_eq!(open(&files[1]).head.sources[0].part, 1);
}

#[test]
fn files_roll_and_the_oldest_go_at_the_total() {
    let folder = tempfile::tempdir().unwrap();
    // Of other sidecars, and no trace at all: never touched.
    for name in [
        "sidecar-0-1-00000000000000000001-000000.hpt",
        "sidecar-0-notes.txt",
        "sidecar-00.hpt",
    ] {
        std::fs::write(folder.path().join(name), vec![0; 9_000]).unwrap();
    }
    let mut run = SidecarRun::new("sidecar-0", 8, 20 * S);
    run.limits.file_age = S;
    let total = 60_000;
    for began in [1, 2] {
        let shelf = Folder::new(folder.path(), "sidecar-0", began, total).unwrap();
        let (recorder, writing) =
            Recorder::start(run.source(), run.limits.clone(), Box::new(shelf));
        run_engine(&run, recorder);
        finish(writing);
    }
    let mut names: Vec<String> = std::fs::read_dir(folder.path())
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    let ours: Vec<&String> = names
        .iter()
        .filter(|name| name.starts_with("sidecar-0-0000") && name.ends_with(".hpt"))
        .collect();
    let size: u64 = ours
        .iter()
        .map(|name| std::fs::metadata(folder.path().join(name)).unwrap().len())
        .sum();
    assert!(size <= total && size > total / 2, "{size}");
    assert!(names.len() == ours.len() + 3, "{names:?}");
    assert!(
        ours.iter()
            .all(|name| name.contains("-00000000000000000002-")),
        "the earlier life's went first"
    );
    // Those left are the last, without a gap, and each is whole.
    let parts: Vec<u64> = ours
        .iter()
        .map(|name| name[31..37].parse().unwrap())
        .collect();
    assert!(
        parts.windows(2).all(|two| two[1] == two[0] + 1),
        "{parts:?}"
    );
    for name in ours {
        assert!(open(&std::fs::read(folder.path().join(name)).unwrap())
            .index_error
            .is_none());
    }
}

#[test]
fn a_recorder_that_is_killed_leaves_all_but_its_last_second() {
    let run = SidecarRun::new("sidecar-0", 9, 6 * S);
    let whole = all(&file(&run));
    // A kill is a file as it stands when nothing more is written: no last block, no index.
    let memory = Memory::default();
    let (recorder, writing) =
        Recorder::start(run.source(), run.limits.clone(), Box::new(memory.clone()));
    run_engine(&run, recorder);
    finish(writing);
    let bytes = memory.0.lock().unwrap()[0].clone();
    let last = open(&bytes).index.last().copied().unwrap();
    let mut reader = open(&bytes[..last.offset as usize + 100]);
    assert!(reader.index_error.is_some());
    let mut found = Vec::new();
    let ended = loop {
        match reader.record() {
            Ok(Some(record)) => found.push(record),
            other => break other,
        }
    };
    assert!(
        matches!(ended, Err(TraceError::Damage { at, .. }) if at == last.offset),
        "{ended:?}"
    );
    assert!(whole[..found.len()] == found[..] && found.len() > whole.len() * 3 / 4);
    assert!(whole.last().unwrap().at - found.last().unwrap().at <= 2 * S);
    let begun: HashSet<u64> = found.iter().filter_map(Record::request_id).collect();
    assert!(begun.len() > 800);
    let (played, damage) = replay::replay(vec![open(&bytes[..last.offset as usize])]).unwrap();
    assert!(damage.is_none() && played[0].1.first_difference.is_none());
    // Nor is it a difference in a copy, which is closed, that the last call's effects were not written.
    let told = found
        .iter()
        .rposition(|record| matches!(record.payload, Payload::Event(Event::RequestArrived { .. })))
        .unwrap();
    let mut writer = Writer::new(Vec::new(), &open(&bytes).head, Vec::new()).unwrap();
    found[..=told]
        .iter()
        .for_each(|record| writer.put(record.clone()).unwrap());
    let ends = writer.finish().unwrap();
    let unclosed = &ends[..ends.len() - 20];
    let mut merged = Vec::new();
    merge::merge(vec![open(unclosed)], &mut merged).unwrap();
    for (file, same) in [(&ends[..], false), (unclosed, true), (&merged[..], true)] {
        let (played, _) = replay::replay(vec![open(file)]).unwrap();
        assert_eq!(played[0].1.first_difference.is_none(), same);
    }
    let first = found
        .iter()
        .find(|record| matches!(record.payload, Payload::Event(Event::Started)))
        .unwrap();
    assert_eq!(first.at, EPOCH);
}
