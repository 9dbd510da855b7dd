//! The recorder: observes an engine, compresses and writes in a thread of its own, and never delays a request.

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

/// Nanoseconds after which a block is closed: a kill loses no more than the open one.
const MAX_BLOCK_AGE: Nanos = 1_000_000_000;
/// Spells in which hits were left out and that hits in flight may still belong to; no new spell ends while
/// so many are held.
const SPELLS: usize = 64;

/// How much is recorded, and how much of it may wait for the disk.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Share of the requests that are recorded, 0 to 1, each with all its records.
    pub sample_share: f64,
    /// Bytes of records that may wait for the disk. From half of it on new requests are left out, so that those in
    /// flight have the rest.
    pub queue_bytes: usize,
    /// Longest that a request may last, in nanoseconds.
    pub max_request_duration: Nanos,
    /// Size at which a file is closed, in bytes.
    pub file_bytes: u64,
    /// Age at which a file is closed, in nanoseconds.
    pub file_age: Nanos,
}

/// Where trace files are stored. Only the writing thread uses it, so it may block.
pub trait FileStore: Send {
    /// Creates the file of a part.
    ///
    /// # Errors
    /// Why no file can be created; the block that was to go there is lost and counted.
    fn open(&mut self, part: u64) -> io::Result<Box<dyn Write + Send>>;
    /// Is called when a file was closed, to delete old ones.
    fn closed(&mut self) {}
}

/// A folder that limits the total size of one sidecar's files by deleting the oldest closed ones.
pub struct Folder {
    folder: PathBuf,
    name: String,
    began: Nanos,
    total: u64,
    open: Option<PathBuf>,
}

impl Folder {
    /// Creates the folder if needed; `began` is in nanoseconds since 1970 and orders the files of several incarnations,
    /// `total` is the limit in bytes.
    ///
    /// # Errors
    /// A folder that cannot be made.
    pub fn new(folder: &Path, name: &str, began: Nanos, total: u64) -> io::Result<Folder> {
        std::fs::create_dir_all(folder)?;
        Ok(Folder {
            folder: folder.to_path_buf(),
            name: name.to_string(),
            began,
            total,
            open: None,
        })
    }

    /// The files of this sidecar, oldest first, whatever life wrote them.
    fn files(&self) -> io::Result<Vec<(PathBuf, u64)>> {
        let mut files = Vec::new();
        for entry in std::fs::read_dir(&self.folder)? {
            let entry = entry?;
            let path = entry.path();
            let stem = path
                .file_stem()
                .and_then(|stem| stem.to_str())
                .unwrap_or_default();
            let mut parts = stem.rsplitn(3, '-');
            let digits = |part: Option<&str>| {
                part.is_some_and(|part| part.bytes().all(|b| b.is_ascii_digit()))
            };
            let ours =
                digits(parts.next()) && digits(parts.next()) && parts.next() == Some(&self.name);
            if ours && path.extension().is_some_and(|end| end == "hpt") {
                files.push((path, entry.metadata()?.len()));
            }
        }
        files.sort();
        Ok(files)
    }

    fn drop_old(&self) -> io::Result<()> {
        let files = self.files()?;
        let mut all: u64 = files.iter().map(|(_, bytes)| bytes).sum();
        for (path, bytes) in files {
            if all <= self.total {
                break;
            }
            if Some(&path) != self.open.as_ref() {
                std::fs::remove_file(&path)?;
                tracing::info!(file = %path.display(), bytes, "old trace dropped");
                all -= bytes;
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
        self.open = Some(path);
        Ok(Box::new(file))
    }

    fn closed(&mut self) {
        self.open = None;
        if let Err(error) = self.drop_old() {
            tracing::warn!(%error, "old traces could not be dropped");
        }
    }
}

/// Counters that recorder and writing thread share.
#[derive(Default)]
struct Shared {
    waiting: AtomicU64,
    lost_requests: AtomicU64,
    lost_records: AtomicU64,
}

/// Waits for the writing thread.
pub struct WriterHandle {
    done: Receiver<()>,
}

impl WriterHandle {
    /// Waits until everything is written, for a bounded time; false where the disk was slower.
    pub fn wait(&self, most: Duration) -> bool {
        // Nothing is ever sent: the end of the thread closes the channel.
        self.done.recv_timeout(most) == Err(RecvTimeoutError::Disconnected)
    }
}

/// Records what an engine receives and asks for. Dropping it closes the trace.
pub struct Recorder {
    block: BlockEncoder,
    stages_in_force: Vec<StageInForce>,
    cards: Vec<Option<Arc<PodSnapshot>>>,
    /// Requests whose hash is below this are recorded; `None` for all.
    below: Option<u64>,
    queue: u64,
    longest: Nanos,
    /// Hits left out as the queue was half full: from the first to before the last, and when that was.
    spells: VecDeque<(RequestId, Option<RequestId>, Nanos)>,
    lost: (u64, u64),
    shared: Arc<Shared>,
    to_writer: Sender<BlockEncoder>,
}

/// Hashes a request id, so that a sample of the requests follows no pattern (the finaliser of SplitMix64).
fn spread(hit: RequestId) -> u64 {
    let mixed = (hit ^ hit >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 31
}

impl Recorder {
    /// Starts the writing thread; sets `whole`, `share` and `part` of the source by the limits.
    pub fn start(
        mut source: Source,
        limits: Limits,
        shelf: Box<dyn FileStore>,
    ) -> (Recorder, WriterHandle) {
        let sample_share = limits.sample_share.clamp(0.0, 1.0);
        (source.sample_share, source.is_complete, source.part) =
            (sample_share, sample_share >= 1.0, 0);
        let shared = Arc::new(Shared::default());
        let (to_writer, blocks) = mpsc::channel();
        let (ends, done) = mpsc::channel();
        let (counts, sizes) = (shared.clone(), (limits.file_bytes, limits.file_age));
        std::thread::spawn(move || {
            WritingThread {
                source,
                sizes,
                shelf,
                counts,
                open: None,
            }
            .run(blocks);
            drop(ends);
        });
        let recorder = Recorder {
            block: BlockEncoder::new(Vec::new()),
            stages_in_force: Vec::new(),
            cards: Vec::new(),
            below: (sample_share < 1.0).then_some((sample_share * u64::MAX as f64) as u64),
            queue: limits.queue_bytes as u64,
            longest: limits.max_request_duration,
            spells: VecDeque::new(),
            lost: (0, 0),
            shared,
            to_writer,
        };
        (recorder, WriterHandle { done })
    }

    fn waiting(&self) -> u64 {
        self.shared.waiting.load(Ordering::Relaxed)
    }

    /// Whether a request is recorded: the same for all its records.
    fn keeps(&self, hit: RequestId) -> bool {
        let left_out = |spell: &(RequestId, Option<RequestId>, Nanos)| {
            hit >= spell.0 && spell.1.is_none_or(|end| hit < end)
        };
        self.below.is_none_or(|below| spread(hit) < below) && !self.spells.iter().any(left_out)
    }

    fn begins(&mut self, now: Nanos, hit: RequestId) {
        let longest = self.longest;
        while self
            .spells
            .front()
            .is_some_and(|(_, end, at)| end.is_some() && now > at + 2 * longest)
        {
            self.spells.pop_front();
        }
        let waiting = self.waiting() + self.block.bytes as u64;
        let leaves = |spells: &VecDeque<(RequestId, Option<RequestId>, Nanos)>| {
            matches!(spells.back(), Some((_, None, _)))
        };
        if leaves(&self.spells) && waiting < self.queue / 4 && self.spells.len() < SPELLS {
            if let Some((_, end, at)) = self.spells.back_mut() {
                (*end, *at) = (Some(hit), now);
            }
            tracing::info!(from_hit = hit, "trace goes on: the disk has caught up");
        } else if !leaves(&self.spells) && waiting >= self.queue / 2 {
            tracing::warn!(
                from_hit = hit,
                waiting,
                "trace leaves hits out: the disk is slow"
            );
            self.spells.push_back((hit, None, now));
        }
        if leaves(&self.spells) {
            self.lost.0 += 1;
        }
    }

    fn card(&self, pod: Option<PodId>) -> Option<Arc<PodSnapshot>> {
        self.cards.get(pod?)?.clone()
    }

    fn put(&mut self, now: Nanos, payload: Payload) {
        let record = Record {
            at: now,
            engine_time: now,
            source: 0,
            payload,
            pod: None,
        };
        if record.request_id().is_some_and(|hit| !self.keeps(hit)) {
            return;
        }
        let pod = self.card(record.pod_id());
        let record = Record { pod, ..record };
        update_stages(&mut self.stages_in_force, &record);
        self.block.put(record);
        let old = now.saturating_sub(self.block.first) >= MAX_BLOCK_AGE;
        if old || self.block.bytes >= FULL_BLOCK_BYTES || self.block.records >= FULL_BLOCK_RECORDS {
            self.close(now);
        }
    }

    fn close(&mut self, now: Nanos) {
        let full = std::mem::replace(
            &mut self.block,
            BlockEncoder::new(self.stages_in_force.clone()),
        );
        let bytes = full.bytes as u64;
        if self.waiting() + bytes > self.queue {
            self.lost.0 += full.requests as u64;
            self.lost.1 += full.records as u64;
        } else {
            self.shared.waiting.fetch_add(bytes, Ordering::Relaxed);
            if self.to_writer.send(full).is_err() {
                self.shared.waiting.fetch_sub(bytes, Ordering::Relaxed);
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

    fn listed(&mut self, pods: &[ListedEndpoint], given: &[Option<PodId>]) {
        for (pod, id) in pods
            .iter()
            .zip(given)
            .filter_map(|(pod, id)| Some((pod, (*id)?)))
        {
            if self.cards.len() <= id {
                self.cards.resize(id + 1, None);
            }
            let same = |card: &Arc<PodSnapshot>| {
                (card.build, &card.name, &card.zone) == (pod.build, &pod.name, &pod.zone)
            };
            if !self.cards[id].as_ref().is_some_and(same) {
                let (name, zone) = (pod.name.clone(), pod.zone.clone());
                self.cards[id] = Some(Arc::new(PodSnapshot {
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
    fn on_event(&mut self, now: Nanos, told: Event) {
        match &told {
            Event::RequestArrived { request: hit, .. } => self.begins(now, *hit),
            Event::EndpointsListed {
                pods,
                pod_ids: given,
                ..
            } => self.listed(pods, given),
            _ => {}
        }
        self.put(now, Payload::Event(told));
    }

    fn on_effect(&mut self, now: Nanos, effect: &Effect) {
        self.put(now, Payload::Effect(effect.clone()));
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let now = self.block.at;
        self.close(now);
        if self.block.records > 0 {
            self.close(now);
        }
    }
}

/// The writing thread.
struct WritingThread {
    source: Source,
    sizes: (u64, Nanos),
    shelf: Box<dyn FileStore>,
    counts: Arc<Shared>,
    /// The open file and the time of its first record.
    open: Option<(BlockWriter<Box<dyn Write + Send>>, Nanos)>,
}

impl WritingThread {
    fn run(mut self, blocks: Receiver<BlockEncoder>) {
        for block in blocks {
            if let Err(error) = self.write(&block) {
                tracing::warn!(%error, records = block.records, "a block of the trace is lost");
                self.counts
                    .lost_requests
                    .fetch_add(block.requests as u64, Ordering::Relaxed);
                self.counts
                    .lost_records
                    .fetch_add(block.records as u64, Ordering::Relaxed);
                // The file may end in half a block, so what follows goes to another.
                if self.open.take().is_some() {
                    self.shelf.closed();
                }
            }
            self.counts
                .waiting
                .fetch_sub(block.bytes as u64, Ordering::Relaxed);
        }
        if let Err(error) = self.close() {
            tracing::warn!(%error, "the trace's index could not be written");
        }
    }

    fn write(&mut self, block: &BlockEncoder) -> Result<(), TraceError> {
        let (sink, first) = match &mut self.open {
            Some(open) => open,
            None => {
                let file = self.shelf.open(self.source.part)?;
                let head = Head::new(vec![self.source.clone()]);
                self.source.part += 1;
                self.open
                    .insert((BlockWriter::new(file, &head)?, block.first))
            }
        };
        sink.block(block)?;
        sink.flush()?;
        let (bytes, age) = self.sizes;
        if sink.bytes() >= bytes || block.at.saturating_sub(*first) >= age {
            self.close()?;
        }
        Ok(())
    }

    fn close(&mut self) -> Result<(), TraceError> {
        let Some((sink, _)) = self.open.take() else {
            return Ok(());
        };
        let finished = sink.finish();
        self.shelf.closed();
        finished.map(drop)
    }
}
