//! The recorder: looks on at an engine, packs in a thread of its own, and never holds up a hit.

use crate::columns::BlockEncoder;
use crate::file::{update_stages, BlockWriter, TraceError, FULL_BYTES, FULL_RECORDS};
use crate::record::{Card, Head, Record, Source, Standing, What};
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

/// A block is closed after so long, as a kill loses no more than the open one.
const BLOCK_TIME: Nanos = 1_000_000_000;
/// Spells in which hits were left out and that hits in flight may still belong to; no new spell ends while
/// so many are held.
const SPELLS: usize = 64;

/// How much is recorded, and how much of it may wait for the disk.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Share of hits that are recorded, each with all its records.
    pub share: f64,
    /// Bytes of records that wait. From half of it on new hits are left out, so that the rest has room for
    /// those in flight.
    pub queue: usize,
    /// Longest that a hit lives.
    pub longest: Nanos,
    /// A file is closed at this size or age.
    pub file_bytes: u64,
    pub file_age: Nanos,
}

/// Where files go. Only the writing thread uses it, so it may wait.
pub trait Shelf: Send {
    /// # Errors
    /// Why there is no file to be had now; what was to go there is lost and counted.
    fn open(&mut self, part: u64) -> io::Result<Box<dyn Write + Send>>;
    /// A file was closed: the moment to drop old ones.
    fn closed(&mut self) {}
}

/// A folder whose files of one sidecar take a stated total at most; the oldest go first, closed ones only.
pub struct Folder {
    folder: PathBuf,
    name: String,
    began: Nanos,
    total: u64,
    open: Option<PathBuf>,
}

impl Folder {
    /// `began`: nanoseconds since 1970, by which files of several lives sort.
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

impl Shelf for Folder {
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

/// What waits between recorder and writer, and what the writer lost.
#[derive(Default)]
struct Shared {
    waiting: AtomicU64,
    lost_hits: AtomicU64,
    lost_records: AtomicU64,
}

/// Told to the caller when the thread has written everything that it was given.
pub struct Writing {
    done: Receiver<()>,
}

impl Writing {
    /// Waits until all is written, for so long at most; false where the disk was slower.
    pub fn wait(&self, most: Duration) -> bool {
        // The thread says nothing: its end closes the channel.
        self.done.recv_timeout(most) == Err(RecvTimeoutError::Disconnected)
    }
}

/// The witness. Dropping it closes the trace.
pub struct Recorder {
    filling: BlockEncoder,
    standing: Vec<Standing>,
    cards: Vec<Option<Arc<Card>>>,
    /// Hashes below this are in; none for all.
    below: Option<u64>,
    queue: u64,
    longest: Nanos,
    /// Hits left out as the queue was half full: from the first to before the last, and when that was.
    spells: VecDeque<(RequestId, Option<RequestId>, Nanos)>,
    lost: (u64, u64),
    shared: Arc<Shared>,
    to_writer: Sender<BlockEncoder>,
}

/// Spreads hit numbers evenly, so that a share of them is no pattern of them (the finisher of SplitMix64).
fn spread(hit: RequestId) -> u64 {
    let mixed = (hit ^ hit >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 31
}

impl Recorder {
    /// Starts the writing thread. `source.whole`, `share` and `part` are set from the limits.
    pub fn start(mut source: Source, limits: Limits, shelf: Box<dyn Shelf>) -> (Recorder, Writing) {
        let share = limits.share.clamp(0.0, 1.0);
        (source.share, source.whole, source.part) = (share, share >= 1.0, 0);
        let shared = Arc::new(Shared::default());
        let (to_writer, blocks) = mpsc::channel();
        let (ends, done) = mpsc::channel();
        let (counts, sizes) = (shared.clone(), (limits.file_bytes, limits.file_age));
        std::thread::spawn(move || {
            Writes {
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
            filling: BlockEncoder::new(Vec::new()),
            standing: Vec::new(),
            cards: Vec::new(),
            below: (share < 1.0).then_some((share * u64::MAX as f64) as u64),
            queue: limits.queue as u64,
            longest: limits.longest,
            spells: VecDeque::new(),
            lost: (0, 0),
            shared,
            to_writer,
        };
        (recorder, Writing { done })
    }

    fn waiting(&self) -> u64 {
        self.shared.waiting.load(Ordering::Relaxed)
    }

    /// Whether a hit's records are kept: the same answer for all of them.
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
        let waiting = self.waiting() + self.filling.bytes as u64;
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

    fn card(&self, pod: Option<PodId>) -> Option<Arc<Card>> {
        self.cards.get(pod?)?.clone()
    }

    fn put(&mut self, now: Nanos, what: What) {
        let record = Record {
            at: now,
            own: now,
            source: 0,
            what,
            pod: None,
        };
        if record.hit().is_some_and(|hit| !self.keeps(hit)) {
            return;
        }
        let pod = self.card(record.pod_index());
        let record = Record { pod, ..record };
        update_stages(&mut self.standing, &record);
        self.filling.put(record);
        let old = now.saturating_sub(self.filling.first) >= BLOCK_TIME;
        if old || self.filling.bytes >= FULL_BYTES || self.filling.records >= FULL_RECORDS {
            self.close(now);
        }
    }

    fn close(&mut self, now: Nanos) {
        let full = std::mem::replace(&mut self.filling, BlockEncoder::new(self.standing.clone()));
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
        self.lost.0 += self.shared.lost_hits.swap(0, Ordering::Relaxed);
        self.lost.1 += self.shared.lost_records.swap(0, Ordering::Relaxed);
        let (hits, records) = std::mem::take(&mut self.lost);
        if hits + records > 0 {
            let what = What::Lost { hits, records };
            self.filling.put(Record {
                at: now,
                own: now,
                source: 0,
                what,
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
            let same = |card: &Arc<Card>| {
                (card.build, &card.name, &card.zone) == (pod.build, &pod.name, &pod.zone)
            };
            if !self.cards[id].as_ref().is_some_and(same) {
                let (name, zone) = (pod.name.clone(), pod.zone.clone());
                self.cards[id] = Some(Arc::new(Card {
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
        self.put(now, What::Event(told));
    }

    fn on_effect(&mut self, now: Nanos, effect: &Effect) {
        self.put(now, What::Effect(effect.clone()));
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let now = self.filling.at;
        self.close(now);
        if self.filling.records > 0 {
            self.close(now);
        }
    }
}

/// The writing thread.
struct Writes {
    source: Source,
    sizes: (u64, Nanos),
    shelf: Box<dyn Shelf>,
    counts: Arc<Shared>,
    /// The open file and the time of its first record.
    open: Option<(BlockWriter<Box<dyn Write + Send>>, Nanos)>,
}

impl Writes {
    fn run(mut self, blocks: Receiver<BlockEncoder>) {
        for block in blocks {
            if let Err(error) = self.write(&block) {
                tracing::warn!(%error, records = block.records, "a block of the trace is lost");
                self.counts
                    .lost_hits
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
