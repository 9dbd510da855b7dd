//! The recorder: observes an engine and encodes its events and effects in blocks. A separate thread compresses the
//! blocks and writes them, so that a slow disk never delays a request.

use crate::columns::BlockEncoder;
use crate::file::{update_stages, BlockWriter, TraceError, FULL_BLOCK_BYTES, FULL_BLOCK_RECORDS};
use crate::record::{Head, Payload, PodSnapshot, Record, Source, StageInForce};
use havenplank::interface::{Nanos, PodId, RequestId};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_sidecar::engine::Effect;
use havenplank_sidecar::events::{Event, Observer};
use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::time::Duration;

/// Age in nanoseconds at which a block is closed. A sidecar that is killed loses only its open block.
const MAX_BLOCK_AGE: Nanos = 1_000_000_000;
/// Ranges of omitted requests that the recorder remembers, because requests in flight may belong to them. Recording
/// does not resume while it remembers this many.
const MAX_OMITTED_RANGES: usize = 64;

/// Limits of what is recorded, of the queue to the disk, and of the files.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The share of the requests that are recorded, 0 to 1. A recorded request has all its records.
    pub sample_share: f64,
    /// Bytes of records that may wait for the disk. Once half of the queue is full, new requests are omitted, so that
    /// the other half is free for the requests in flight.
    pub queue_bytes: usize,
    /// The longest duration of a request, in nanoseconds.
    pub max_request_duration: Nanos,
    /// Size at which a file is closed, in bytes.
    pub file_bytes: u64,
    /// Age at which a file is closed, in nanoseconds.
    pub file_age: Nanos,
}

/// Where trace files are stored. Only the writing thread calls it, so its methods may block.
pub trait FileStore: Send {
    /// Creates the file of a part; `part` counts the files of one recorder from 0.
    ///
    /// # Errors
    /// The file cannot be created. The block that was to be written to it is lost and counted.
    fn open(&mut self, part: u64) -> io::Result<Box<dyn Write + Send>>;
    /// Is called after a file was closed; the store may then delete old files.
    fn closed(&mut self) {}
}

/// A folder of trace files. It limits the total size of one sidecar's files by deleting the oldest closed ones.
pub struct Folder {
    folder: PathBuf,
    name: String,
    began: Nanos,
    max_total_bytes: u64,
    open_file: Option<PathBuf>,
}

impl Folder {
    /// Creates the folder if needed. `began` is the start of the incarnation in nanoseconds since 1970 and orders the
    /// files of several incarnations.
    ///
    /// # Errors
    /// The folder cannot be created.
    pub fn new(
        folder: &Path,
        name: &str,
        began: Nanos,
        max_total_bytes: u64,
    ) -> io::Result<Folder> {
        std::fs::create_dir_all(folder)?;
        Ok(Folder {
            folder: folder.to_path_buf(),
            name: name.to_string(),
            began,
            max_total_bytes,
            open_file: None,
        })
    }

    /// Returns the files of all incarnations of this sidecar with their sizes in bytes, oldest first.
    fn list_files(&self) -> io::Result<Vec<(PathBuf, u64)>> {
        let mut files = Vec::new();
        for entry in std::fs::read_dir(&self.folder)? {
            let entry = entry?;
            let path = entry.path();
            let stem = path
                .file_stem()
                .and_then(|stem| stem.to_str())
                .unwrap_or_default();
            let mut parts = stem.rsplitn(3, '-');
            let is_number = |part: Option<&str>| {
                part.is_some_and(|part| part.bytes().all(|b| b.is_ascii_digit()))
            };
            let is_ours = is_number(parts.next())
                && is_number(parts.next())
                && parts.next() == Some(&self.name);
            if is_ours && path.extension().is_some_and(|extension| extension == "hpt") {
                files.push((path, entry.metadata()?.len()));
            }
        }
        files.sort();
        Ok(files)
    }

    /// Deletes the oldest files, but not the open one, until the total size is within the limit.
    fn delete_oldest(&self) -> io::Result<()> {
        let files = self.list_files()?;
        let mut total: u64 = files.iter().map(|(_, bytes)| bytes).sum();
        for (path, bytes) in files {
            if total <= self.max_total_bytes {
                break;
            }
            if Some(&path) != self.open_file.as_ref() {
                std::fs::remove_file(&path)?;
                tracing::info!(file = %path.display(), bytes, "deleted an old trace file");
                total -= bytes;
            }
        }
        Ok(())
    }
}

impl FileStore for Folder {
    fn open(&mut self, part: u64) -> io::Result<Box<dyn Write + Send>> {
        let path = self
            .folder
            .join(format!("{}-{:020}-{part:06}.hpt", self.name, self.began));
        let file = File::create_new(&path)?;
        self.open_file = Some(path);
        Ok(Box::new(file))
    }

    fn closed(&mut self) {
        self.open_file = None;
        if let Err(error) = self.delete_oldest() {
            tracing::warn!(%error, "could not delete old trace files");
        }
    }
}

/// Counters that the recorder and the writing thread share.
#[derive(Default)]
struct SharedCounters {
    /// Bytes of the blocks that wait for the disk.
    waiting_bytes: AtomicU64,
    /// Requests and records of blocks that could not be written, until the recorder adds them to its own counts.
    lost_requests: AtomicU64,
    lost_records: AtomicU64,
}

/// A handle to wait for the writing thread.
pub struct WriterHandle {
    done: Receiver<()>,
}

impl WriterHandle {
    /// Waits until all records are written, at most for `timeout`; returns false where the timeout has passed before.
    pub fn wait(&self, timeout: Duration) -> bool {
        // Nothing is ever sent on this channel: the end of the thread closes it.
        self.done.recv_timeout(timeout) == Err(RecvTimeoutError::Disconnected)
    }
}

/// Records the events that an engine receives and the effects that it requests. Dropping the recorder closes the
/// trace.
pub struct Recorder {
    block: BlockEncoder,
    stages_in_force: Vec<StageInForce>,
    pod_snapshots: Vec<Option<Arc<PodSnapshot>>>,
    /// Requests whose hash is below this are recorded; `None` where all requests are recorded.
    sample_threshold: Option<u64>,
    queue_bytes: u64,
    max_request_duration: Nanos,
    /// Requests omitted because the queue was half full: the id of the first, the id after the last (`None` while
    /// requests are being omitted), and the time of the latest change to the range in nanoseconds.
    omitted_ranges: VecDeque<(RequestId, Option<RequestId>, Nanos)>,
    /// Requests and records that were lost since the last [`Payload::Lost`].
    lost: (u64, u64),
    shared: Arc<SharedCounters>,
    to_writer: Sender<BlockEncoder>,
}

/// Hashes a request id with the finaliser of SplitMix64, so that a sample of the requests follows no pattern.
fn hash_request_id(request: RequestId) -> u64 {
    let mixed = (request ^ request >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 31
}

impl Recorder {
    /// Starts the writing thread. Sets `sample_share` and `is_complete` of the source by the limits, and `part` to 0.
    pub fn start(
        mut source: Source,
        limits: Limits,
        store: Box<dyn FileStore>,
    ) -> (Recorder, WriterHandle) {
        let sample_share = limits.sample_share.clamp(0.0, 1.0);
        (source.sample_share, source.is_complete, source.part) =
            (sample_share, sample_share >= 1.0, 0);
        let shared = Arc::new(SharedCounters::default());
        let (to_writer, blocks) = mpsc::channel();
        let (thread_end, done) = mpsc::channel();
        let (counters, file_limits) = (shared.clone(), (limits.file_bytes, limits.file_age));
        std::thread::spawn(move || {
            WritingThread {
                source,
                file_limits,
                store,
                counters,
                open: None,
            }
            .run(blocks);
            drop(thread_end);
        });
        let recorder = Recorder {
            block: BlockEncoder::new(Vec::new()),
            stages_in_force: Vec::new(),
            pod_snapshots: Vec::new(),
            sample_threshold: (sample_share < 1.0)
                .then_some((sample_share * u64::MAX as f64) as u64),
            queue_bytes: limits.queue_bytes as u64,
            max_request_duration: limits.max_request_duration,
            omitted_ranges: VecDeque::new(),
            lost: (0, 0),
            shared,
            to_writer,
        };
        (recorder, WriterHandle { done })
    }

    fn waiting_bytes(&self) -> u64 {
        self.shared.waiting_bytes.load(Ordering::Relaxed)
    }

    /// Whether a request is recorded; the answer is the same for all its records.
    fn is_recorded(&self, request: RequestId) -> bool {
        let is_omitted = |range: &(RequestId, Option<RequestId>, Nanos)| {
            request >= range.0 && range.1.is_none_or(|end| request < end)
        };
        self.sample_threshold
            .is_none_or(|sample_threshold| hash_request_id(request) < sample_threshold)
            && !self.omitted_ranges.iter().any(is_omitted)
    }

    /// Decides, when a request arrives, whether new requests are omitted: from half of the queue on, until the queue is
    /// less than a quarter full.
    fn request_arrived(&mut self, now: Nanos, request: RequestId) {
        let max_duration = self.max_request_duration;
        while self
            .omitted_ranges
            .front()
            .is_some_and(|(_, end, at)| end.is_some() && now > at + 2 * max_duration)
        {
            self.omitted_ranges.pop_front();
        }
        let waiting = self.waiting_bytes() + self.block.bytes as u64;
        let is_omitting = |omitted_ranges: &VecDeque<(RequestId, Option<RequestId>, Nanos)>| {
            matches!(omitted_ranges.back(), Some((_, None, _)))
        };
        if is_omitting(&self.omitted_ranges)
            && waiting < self.queue_bytes / 4
            && self.omitted_ranges.len() < MAX_OMITTED_RANGES
        {
            if let Some((_, end, at)) = self.omitted_ranges.back_mut() {
                (*end, *at) = (Some(request), now);
            }
            tracing::info!(
                from_request = request,
                "trace records new requests again; the disk has caught up"
            );
        } else if !is_omitting(&self.omitted_ranges) && waiting >= self.queue_bytes / 2 {
            tracing::warn!(
                from_request = request,
                waiting,
                "trace omits new requests; the disk is too slow"
            );
            self.omitted_ranges.push_back((request, None, now));
        }
        if is_omitting(&self.omitted_ranges) {
            self.lost.0 += 1;
        }
    }

    /// Returns the latest snapshot of a listed pod.
    fn snapshot(&self, pod: Option<PodId>) -> Option<Arc<PodSnapshot>> {
        self.pod_snapshots.get(pod?)?.clone()
    }

    fn record(&mut self, now: Nanos, payload: Payload) {
        let record = Record {
            at: now,
            engine_time: now,
            source: 0,
            payload,
            pod: None,
        };
        if record
            .request_id()
            .is_some_and(|request| !self.is_recorded(request))
        {
            return;
        }
        let pod = self.snapshot(record.pod_id());
        let record = Record { pod, ..record };
        update_stages(&mut self.stages_in_force, &record);
        self.block.put(record);
        let is_old = now.saturating_sub(self.block.first) >= MAX_BLOCK_AGE;
        if is_old
            || self.block.bytes >= FULL_BLOCK_BYTES
            || self.block.records >= FULL_BLOCK_RECORDS
        {
            self.close_block(now);
        }
    }

    /// Sends the open block to the writing thread, or counts its records as lost where the queue has no room for it.
    /// The new block begins with the count of lost records, if there are any.
    fn close_block(&mut self, now: Nanos) {
        let block = std::mem::replace(
            &mut self.block,
            BlockEncoder::new(self.stages_in_force.clone()),
        );
        let bytes = block.bytes as u64;
        if self.waiting_bytes() + bytes > self.queue_bytes {
            self.lost.0 += block.requests as u64;
            self.lost.1 += block.records as u64;
        } else {
            self.shared
                .waiting_bytes
                .fetch_add(bytes, Ordering::Relaxed);
            if self.to_writer.send(block).is_err() {
                self.shared
                    .waiting_bytes
                    .fetch_sub(bytes, Ordering::Relaxed);
            }
        }
        self.lost.0 += self.shared.lost_requests.swap(0, Ordering::Relaxed);
        self.lost.1 += self.shared.lost_records.swap(0, Ordering::Relaxed);
        let (requests, records) = std::mem::take(&mut self.lost);
        if requests + records > 0 {
            let payload = Payload::Lost { requests, records };
            self.block.put(Record {
                at: now,
                engine_time: now,
                source: 0,
                payload,
                pod: None,
            });
        }
    }

    fn update_pod_snapshots(&mut self, pods: &[ListedEndpoint], pod_ids: &[Option<PodId>]) {
        for (pod, id) in pods
            .iter()
            .zip(pod_ids)
            .filter_map(|(pod, id)| Some((pod, (*id)?)))
        {
            if self.pod_snapshots.len() <= id {
                self.pod_snapshots.resize(id + 1, None);
            }
            let is_same = |snapshot: &Arc<PodSnapshot>| {
                (snapshot.build, &snapshot.name, &snapshot.zone)
                    == (pod.build, &pod.name, &pod.zone)
            };
            if !self.pod_snapshots[id].as_ref().is_some_and(is_same) {
                let (name, zone) = (pod.name.clone(), pod.zone.clone());
                self.pod_snapshots[id] = Some(Arc::new(PodSnapshot {
                    pod: id,
                    build: pod.build,
                    name,
                    zone,
                }));
            }
        }
    }
}

impl Observer for Recorder {
    fn on_event(&mut self, now: Nanos, event: Event) {
        match &event {
            Event::RequestArrived { request, .. } => self.request_arrived(now, *request),
            Event::EndpointsListed { pods, pod_ids, .. } => {
                self.update_pod_snapshots(pods, pod_ids)
            }
            _ => {}
        }
        self.record(now, Payload::Event(event));
    }

    fn on_effect(&mut self, now: Nanos, effect: &Effect) {
        self.record(now, Payload::Effect(effect.clone()));
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let now = self.block.last;
        self.close_block(now);
        // The new block has a record if records were lost.
        if self.block.records > 0 {
            self.close_block(now);
        }
    }
}

/// The thread that compresses blocks and writes them to files.
struct WritingThread {
    source: Source,
    /// Size in bytes and age in nanoseconds at which a file is closed.
    file_limits: (u64, Nanos),
    store: Box<dyn FileStore>,
    counters: Arc<SharedCounters>,
    /// The open file and the time of its first record.
    open: Option<(BlockWriter<Box<dyn Write + Send>>, Nanos)>,
}

impl WritingThread {
    fn run(mut self, blocks: Receiver<BlockEncoder>) {
        for block in blocks {
            if let Err(error) = self.write_block(&block) {
                tracing::warn!(
                    %error,
                    records = block.records,
                    "could not write a block of the trace; its records are lost"
                );
                self.counters
                    .lost_requests
                    .fetch_add(block.requests as u64, Ordering::Relaxed);
                self.counters
                    .lost_records
                    .fetch_add(block.records as u64, Ordering::Relaxed);
                // The file may end within a block, so the next block is written to a new file.
                if self.open.take().is_some() {
                    self.store.closed();
                }
            }
            self.counters
                .waiting_bytes
                .fetch_sub(block.bytes as u64, Ordering::Relaxed);
        }
        if let Err(error) = self.close_file() {
            tracing::warn!(%error, "could not write the index of the trace");
        }
    }

    /// Writes a block, and creates or closes its file where needed.
    fn write_block(&mut self, block: &BlockEncoder) -> Result<(), TraceError> {
        let (writer, first) = match &mut self.open {
            Some(open) => open,
            None => {
                let file = self.store.open(self.source.part)?;
                let head = Head::new(vec![self.source.clone()]);
                self.source.part += 1;
                self.open
                    .insert((BlockWriter::new(file, &head)?, block.first))
            }
        };
        writer.write_block(block)?;
        writer.flush()?;
        let (max_bytes, max_age) = self.file_limits;
        if writer.bytes_written() >= max_bytes || block.last.saturating_sub(*first) >= max_age {
            self.close_file()?;
        }
        Ok(())
    }

    fn close_file(&mut self) -> Result<(), TraceError> {
        let Some((writer, _)) = self.open.take() else {
            return Ok(());
        };
        let finished = writer.finish();
        self.store.closed();
        finished.map(drop)
    }
}
