//! Tests of the recorder: sampling, a slow, blocked or full disk, rotation of files, and a killed process.

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

/// Returns the payloads of each request, and the payloads that belong to no request.
fn by_request(records: &[Record]) -> (HashMap<u64, Vec<Payload>>, Vec<Payload>) {
    let (mut requests, mut other_records): (HashMap<u64, Vec<Payload>>, Vec<Payload>) =
        Default::default();
    for record in records {
        match record.request_id() {
            Some(request) => requests
                .entry(request)
                .or_default()
                .push(record.payload.clone()),
            None => other_records.push(record.payload.clone()),
        }
    }
    (requests, other_records)
}

#[test]
fn records_all_records_of_sampled_requests_and_all_other_records() {
    let run = SidecarRun::new("sidecar-0", 2, 8 * S);
    let (all_requests, all_other_records) = by_request(&all(&file(&run)));
    let mut sampled = run.clone();
    sampled.limits.sample_share = 0.25;
    let bytes = file(&sampled);
    let (requests, other_records) = by_request(&all(&bytes));
    assert!(
        (300..500).contains(&requests.len()),
        "{} of {}",
        requests.len(),
        all_requests.len()
    );
    assert!(requests
        .iter()
        .all(|(request, records)| all_requests[request] == *records));
    assert!(other_records == all_other_records);
    assert!(
        matches!(
            replay::replay(vec![open(&bytes)]),
            Err(TraceError::Unusable(_))
        ),
        "a sample cannot be replayed"
    );
}

/// A store whose files block at each flush until a message arrives on the channel or its sender is dropped.
struct BlockedStore(Memory, Arc<Mutex<Receiver<()>>>);

struct BlockedFile(Box<dyn Write + Send>, Arc<Mutex<Receiver<()>>>);

impl FileStore for BlockedStore {
    fn open(&mut self, part: u64) -> io::Result<Box<dyn Write + Send>> {
        Ok(Box::new(BlockedFile(self.0.open(part)?, self.1.clone())))
    }
}

impl Write for BlockedFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        let _ = self.1.lock().unwrap().recv();
        Ok(())
    }
}

/// Records a run while the disk is blocked, which is released after the run; returns the records that were written.
fn record_with_blocked_disk(run: &SidecarRun) -> Vec<Record> {
    let (memory, (sender, permits)) = (Memory::default(), mpsc::channel());
    let store = BlockedStore(memory.clone(), Arc::new(Mutex::new(permits)));
    let (recorder, writer_handle) =
        Recorder::start(run.source(), run.limits.clone(), Box::new(store));
    // The test ends only if the engine does not wait for the disk.
    run_engine(run, recorder);
    drop(sender);
    finish(writer_handle);
    let bytes = memory.0.lock().unwrap()[0].clone();
    all(&bytes)
}

#[test]
fn omits_complete_requests_and_counts_them_when_the_disk_is_slow() {
    let mut run = SidecarRun::new("sidecar-0", 4, 30 * S);
    let (all_requests, other_records) = by_request(&all(&file(&run)));
    run.limits.queue_bytes = 200 << 10;
    let records = record_with_blocked_disk(&run);
    let (requests, found) = by_request(&records);
    let lost = |records: &[Payload]| -> (u64, u64) {
        records.iter().fold((0, 0), |sum, payload| match payload {
            Payload::Lost { requests, records } => (sum.0 + requests, sum.1 + records),
            _ => sum,
        })
    };
    assert!(
        requests.len() > 500 && requests.len() < all_requests.len(),
        "{} of {}",
        requests.len(),
        all_requests.len()
    );
    assert!(
        requests
            .iter()
            .all(|(request, records)| all_requests[request] == *records),
        "each recorded request is complete"
    );
    assert_eq!(
        lost(&found),
        ((all_requests.len() - requests.len()) as u64, 0)
    );
    let kept: Vec<&Payload> = found
        .iter()
        .filter(|payload| !matches!(payload, Payload::Lost { .. }))
        .collect();
    assert!(
        kept.len() == other_records.len() && kept.into_iter().eq(&other_records),
        "all records of no request are recorded"
    );
}

#[test]
fn counts_lost_blocks_when_the_disk_blocks_for_long() {
    let mut run = SidecarRun::new("sidecar-0", 4, 30 * S);
    let total = all(&file(&run)).len();
    run.limits.queue_bytes = 24 << 10;
    let records = record_with_blocked_disk(&run);
    let (mut requests, mut lost) = (0, 0);
    for record in &records {
        if let Payload::Lost {
            requests: lost_requests,
            records: lost_records,
        } = record.payload
        {
            (requests, lost) = (requests + lost_requests, lost + lost_records);
        }
    }
    assert!(
        lost > 0 && requests > 0 && records.len() < total,
        "{requests} {lost}"
    );
}

/// A store whose disk is full from the third block on. It fails in the middle of this block, and then three times when
/// a new file is created; the number is the progress through these states.
struct FullStore(Memory, Arc<Mutex<u32>>);

struct FullFile(Box<dyn Write + Send>, Arc<Mutex<u32>>);

impl FileStore for FullStore {
    fn open(&mut self, part: u64) -> io::Result<Box<dyn Write + Send>> {
        if (3..6).contains(&*self.1.lock().unwrap()) {
            *self.1.lock().unwrap() += 1;
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(Box::new(FullFile(self.0.open(part)?, self.1.clone())))
    }
}

impl Write for FullFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if *self.1.lock().unwrap() == 2 {
            // The first half of the block is written before the disk is full.
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
fn continues_in_a_new_file_after_the_disk_was_full() {
    let run = SidecarRun::new("sidecar-0", 6, 12 * S);
    let memory = Memory::default();
    let store = FullStore(memory.clone(), Arc::default());
    let (recorder, writer_handle) =
        Recorder::start(run.source(), run.limits.clone(), Box::new(store));
    run_engine(&run, recorder);
    finish(writer_handle);
    let files = memory.0.lock().unwrap().clone();
    assert_eq!(files.len(), 2);
    let mut reader = open(&files[0]);
    assert_eq!(
        reader.index.len(),
        2,
        "the first file has its complete blocks"
    );
    let end = loop {
        match reader.record() {
            Ok(Some(_)) => {}
            other => break other,
        }
    };
    assert!(matches!(end, Err(TraceError::Damage { .. })), "{end:?}");
    let (summary, damage) = summary::summarise(&mut open(&files[1]), None).unwrap();
    assert!(
        damage.is_none() && summary.lost_records > 0 && summary.lost_requests > 0,
        "{summary:?}"
    );
    assert_eq!(open(&files[1]).head.sources[0].part, 1);
}

#[test]
fn rotates_files_and_deletes_the_oldest_above_the_size_limit() {
    let folder = tempfile::tempdir().unwrap();
    // Files of other sidecars and files that are not traces are never deleted.
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
        let store = Folder::new(folder.path(), "sidecar-0", began, total).unwrap();
        let (recorder, writer_handle) =
            Recorder::start(run.source(), run.limits.clone(), Box::new(store));
        run_engine(&run, recorder);
        finish(writer_handle);
    }
    let mut names: Vec<String> = std::fs::read_dir(folder.path())
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    let own_files: Vec<&String> = names
        .iter()
        .filter(|name| name.starts_with("sidecar-0-0000") && name.ends_with(".hpt"))
        .collect();
    let size: u64 = own_files
        .iter()
        .map(|name| std::fs::metadata(folder.path().join(name)).unwrap().len())
        .sum();
    assert!(size <= total && size > total / 2, "{size}");
    assert!(names.len() == own_files.len() + 3, "{names:?}");
    assert!(
        own_files
            .iter()
            .all(|name| name.contains("-00000000000000000002-")),
        "the files of the earlier incarnation are deleted first"
    );
    // The remaining files are the last ones without a gap, and each was closed.
    let parts: Vec<u64> = own_files
        .iter()
        .map(|name| name[31..37].parse().unwrap())
        .collect();
    assert!(
        parts.windows(2).all(|two| two[1] == two[0] + 1),
        "{parts:?}"
    );
    for name in own_files {
        assert!(open(&std::fs::read(folder.path().join(name)).unwrap())
            .index_error
            .is_none());
    }
}

#[test]
fn keeps_all_but_the_last_second_when_the_process_is_killed() {
    let run = SidecarRun::new("sidecar-0", 9, 6 * S);
    let complete = all(&file(&run));
    // The file of a killed process ends within a block and has no index.
    let memory = Memory::default();
    let (recorder, writer_handle) =
        Recorder::start(run.source(), run.limits.clone(), Box::new(memory.clone()));
    run_engine(&run, recorder);
    finish(writer_handle);
    let bytes = memory.0.lock().unwrap()[0].clone();
    let last = open(&bytes).index.last().copied().unwrap();
    let mut reader = open(&bytes[..last.offset as usize + 100]);
    assert!(reader.index_error.is_some());
    let mut found = Vec::new();
    let end = loop {
        match reader.record() {
            Ok(Some(record)) => found.push(record),
            other => break other,
        }
    };
    assert!(
        matches!(end, Err(TraceError::Damage { at, .. }) if at == last.offset),
        "{end:?}"
    );
    assert!(complete[..found.len()] == found[..] && found.len() > complete.len() * 3 / 4);
    assert!(complete.last().unwrap().at - found.last().unwrap().at <= 2 * S);
    let found_requests: HashSet<u64> = found.iter().filter_map(Record::request_id).collect();
    assert!(found_requests.len() > 800);
    let (replayed, damage) = replay::replay(vec![open(&bytes[..last.offset as usize])]).unwrap();
    assert!(damage.is_none() && replayed[0].1.first_difference.is_none());
    // In a closed file, missing effects of the last event are a difference. In an unclosed file they are not, nor in a
    // closed copy of it.
    let last_arrival = found
        .iter()
        .rposition(|record| matches!(record.payload, Payload::Event(Event::RequestArrived { .. })))
        .unwrap();
    let mut writer = Writer::new(Vec::new(), &open(&bytes).head, Vec::new()).unwrap();
    found[..=last_arrival]
        .iter()
        .for_each(|record| writer.put(record.clone()).unwrap());
    let closed = writer.finish().unwrap();
    let unclosed = &closed[..closed.len() - 20];
    let mut merged = Vec::new();
    merge::merge(vec![open(unclosed)], &mut merged).unwrap();
    for (file, is_same) in [(&closed[..], false), (unclosed, true), (&merged[..], true)] {
        let (replayed, _) = replay::replay(vec![open(file)]).unwrap();
        assert_eq!(replayed[0].1.first_difference.is_none(), is_same);
    }
    let first = found
        .iter()
        .find(|record| matches!(record.payload, Payload::Event(Event::Started)))
        .unwrap();
    assert_eq!(first.at, EPOCH);
}
