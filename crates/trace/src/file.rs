//! The file: greeting, blocks, index. `docs/trace-format.md` describes its bytes.

use crate::columns::{BlockDecoder, BlockEncoder, ColumnError};
use crate::record::{Head, Record, Standing};
use havenplank::interface::Nanos;
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Seek, SeekFrom, Write};

pub const MAGIC: &[u8; 8] = b"HPTRACE\n";
/// A reader refuses another major version and passes over what a newer minor one adds.
pub const MAJOR: u16 = 1;
pub const MINOR: u16 = 0;
const BLOCK: &[u8; 4] = b"HPbk";
const INDEX: &[u8; 4] = b"HPix";
const TRAILER: &[u8; 8] = b"HPend\n\0\0";
const FRAME: usize = 48;
const TRAILER_BYTES: u64 = 20;
/// Unpacked bytes of a block at most, and of the greeting: a reader never holds more than a few times this.
const MOST: usize = 8 << 20;
/// A block is closed once it holds so much, whichever comes first.
pub const FULL_BYTES: usize = 512 << 10;
pub const FULL_RECORDS: u32 = 1 << 15;

#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("byte 0: not a trace; expected a file that begins with \"HPTRACE\"")]
    NoTrace,
    #[error("byte 8: major version {0}; expected {MAJOR}, as this program reads no other")]
    Major(u16),
    /// What comes before it was read.
    #[error("byte {at}: {what}")]
    Damage { at: u64, what: String },
    /// Two files that do not go together, or one that the call cannot use.
    #[error("{0}")]
    Unfit(String),
}

/// Where a block lies and what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub offset: u64,
    pub packed: u32,
    pub unpacked: u32,
    pub records: u32,
    pub hits: u32,
    /// Records that other sidecars were told as well.
    pub shared: u32,
    pub first: Nanos,
    pub last: Nanos,
}

fn frame(tag: &[u8; 4], entry: &Entry, sum: u32) -> [u8; FRAME] {
    let mut frame = [0; FRAME];
    let mut at = 0;
    let mut add = |bytes: &[u8]| {
        frame[at..at + bytes.len()].copy_from_slice(bytes);
        at += bytes.len();
    };
    add(tag);
    for number in [
        entry.packed,
        entry.unpacked,
        entry.records,
        entry.hits,
        entry.shared,
    ] {
        add(&number.to_le_bytes());
    }
    add(&entry.first.to_le_bytes());
    add(&entry.last.to_le_bytes());
    add(&sum.to_le_bytes());
    let own = crc32fast::hash(&frame[..FRAME - 4]);
    frame[FRAME - 4..].copy_from_slice(&own.to_le_bytes());
    frame
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    bytes[at..]
        .first_chunk()
        .map_or(0, |chunk| u32::from_le_bytes(*chunk))
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    bytes[at..]
        .first_chunk()
        .map_or(0, |chunk| u64::from_le_bytes(*chunk))
}

/// The frame's tag, entry and the checksum of what follows; `None` where it is no whole frame.
fn unframe(bytes: &[u8; FRAME], offset: u64) -> Option<([u8; 4], Entry, u32)> {
    if crc32fast::hash(&bytes[..FRAME - 4]) != u32_at(bytes, FRAME - 4) {
        return None;
    }
    let entry = Entry {
        offset,
        packed: u32_at(bytes, 4),
        unpacked: u32_at(bytes, 8),
        records: u32_at(bytes, 12),
        hits: u32_at(bytes, 16),
        shared: u32_at(bytes, 20),
        first: u64_at(bytes, 24),
        last: u64_at(bytes, 32),
    };
    Some((*bytes.first_chunk::<4>()?, entry, u32_at(bytes, 40)))
}

/// Packs and appends blocks.
pub struct Sink<W> {
    out: W,
    offset: u64,
    index: Vec<Entry>,
    level: i32,
}

impl<W: Write> Sink<W> {
    /// Writes the greeting.
    ///
    /// # Errors
    /// The output's own, or a head over 8 MiB.
    pub fn new(mut out: W, head: &Head) -> Result<Sink<W>, TraceError> {
        let head = serde_json::to_vec(head).map_err(io::Error::from)?;
        if head.len() > MOST {
            return Err(TraceError::Unfit(format!(
                "a greeting of {} bytes; {MOST} at most",
                head.len()
            )));
        }
        let mut greeting = MAGIC.to_vec();
        greeting.extend(MAJOR.to_le_bytes());
        greeting.extend(MINOR.to_le_bytes());
        greeting.extend((head.len() as u32).to_le_bytes());
        greeting.extend(head);
        let sum = crc32fast::hash(&greeting);
        greeting.extend(sum.to_le_bytes());
        out.write_all(&greeting)?;
        Ok(Sink {
            out,
            offset: greeting.len() as u64,
            index: Vec::new(),
            level: 3,
        })
    }

    fn append(&mut self, tag: &[u8; 4], entry: Entry, bytes: &[u8]) -> Result<Entry, TraceError> {
        if bytes.len() > MOST {
            return Err(TraceError::Unfit(format!(
                "a block of {} bytes; {MOST} at most",
                bytes.len()
            )));
        }
        let packed = zstd::bulk::compress(bytes, self.level)?;
        let (length, unpacked) = (packed.len() as u32, bytes.len() as u32);
        let entry = Entry {
            offset: self.offset,
            packed: length,
            unpacked,
            ..entry
        };
        self.out
            .write_all(&frame(tag, &entry, crc32fast::hash(&packed)))?;
        self.out.write_all(&packed)?;
        self.offset += (FRAME + packed.len()) as u64;
        Ok(entry)
    }

    /// # Errors
    /// The output's own: what the file holds then ends with its last whole block.
    pub fn block(&mut self, block: &BlockEncoder) -> Result<(), TraceError> {
        if block.records == 0 {
            return Ok(());
        }
        let BlockEncoder {
            records,
            requests: hits,
            shared,
            first,
            at,
            ..
        } = *block;
        let told = Entry {
            offset: 0,
            packed: 0,
            unpacked: 0,
            records,
            hits,
            shared,
            first,
            last: at,
        };
        let entry = self.append(BLOCK, told, &block.body())?;
        self.index.push(entry);
        Ok(())
    }

    pub fn bytes(&self) -> u64 {
        self.offset
    }

    /// Hands what was written on to the system, so that it outlives this process.
    ///
    /// # Errors
    /// The output's own.
    pub fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }

    /// Writes the index. A file without it is read all the same, a little slower to open.
    ///
    /// # Errors
    /// The output's own.
    pub fn finish(mut self) -> Result<W, TraceError> {
        let offset = self.offset;
        let index = postcard::to_stdvec(&self.index).unwrap_or_default();
        let blank = Entry {
            offset,
            packed: 0,
            unpacked: 0,
            records: 0,
            hits: 0,
            shared: 0,
            first: 0,
            last: 0,
        };
        // An index too large for its frame is left out, and made anew by whoever opens the file.
        if index.len() <= MOST {
            self.append(INDEX, blank, &index)?;
            let mut trailer = offset.to_le_bytes().to_vec();
            trailer.extend(TRAILER);
            let sum = crc32fast::hash(&trailer);
            trailer.extend(sum.to_le_bytes());
            self.out.write_all(&trailer)?;
        }
        self.out.flush()?;
        Ok(self.out)
    }
}

/// Writes records to a file, block by block. Holds one block.
pub struct Writer<W: Write> {
    sink: Sink<W>,
    filling: BlockEncoder,
    standing: Vec<Standing>,
}

/// Keeps the stage in force at each source.
pub fn stand(standing: &mut Vec<Standing>, record: &Record) {
    let Some(stage) = record.stage() else { return };
    let now = Standing {
        source: record.source,
        at: record.at,
        stage,
    };
    match standing
        .iter_mut()
        .find(|known| known.source == record.source)
    {
        Some(known) => *known = now,
        None => standing.push(now),
    }
}

impl<W: Write> Writer<W> {
    /// `standing`: the stages in force before the first record.
    ///
    /// # Errors
    /// As [`Sink::new`].
    pub fn new(out: W, head: &Head, standing: Vec<Standing>) -> Result<Writer<W>, TraceError> {
        Ok(Writer {
            sink: Sink::new(out, head)?,
            filling: BlockEncoder::new(standing.clone()),
            standing,
        })
    }

    /// # Errors
    /// The output's own.
    pub fn put(&mut self, record: Record) -> Result<(), TraceError> {
        stand(&mut self.standing, &record);
        self.filling.put(record);
        if self.filling.bytes >= FULL_BYTES || self.filling.records >= FULL_RECORDS {
            self.flush()?;
        }
        Ok(())
    }

    /// Closes the block.
    ///
    /// # Errors
    /// The output's own.
    pub fn flush(&mut self) -> Result<(), TraceError> {
        self.sink.block(&self.filling)?;
        self.filling = BlockEncoder::new(self.standing.clone());
        Ok(())
    }

    /// # Errors
    /// The output's own.
    pub fn finish(mut self) -> Result<W, TraceError> {
        self.flush()?;
        self.sink.finish()
    }
}

/// Reads a file, holding one block.
pub struct Reader<R> {
    input: R,
    pub head: Head,
    /// Of the version that wrote it; a newer one may hold what is passed over here.
    pub minor: u16,
    pub index: Vec<Entry>,
    /// Why the index had to be made anew from the blocks, where it had.
    pub rebuilt: Option<String>,
    /// Where the blocks end that were found, and why, where that is not the file's end.
    damage: Option<(u64, String)>,
    next: usize,
    present: Option<(u64, BlockDecoder)>,
    skipped: u64,
    pub standing: Vec<Standing>,
}

fn damage(at: u64, what: impl ToString) -> TraceError {
    TraceError::Damage {
        at,
        what: what.to_string(),
    }
}

/// Reads a stated number of bytes, taking memory only as they come.
fn read_some(input: &mut impl Read, count: usize) -> io::Result<Option<Vec<u8>>> {
    let mut bytes = Vec::new();
    input.by_ref().take(count as u64).read_to_end(&mut bytes)?;
    Ok((bytes.len() == count).then_some(bytes))
}

fn unpack(packed: &[u8], length: usize) -> io::Result<Vec<u8>> {
    let mut decoder = zstd::stream::read::Decoder::with_buffer(packed)?;
    decoder.window_log_max(24)?;
    // One more than told, so that more is noticed and no bomb goes off.
    read_some(&mut decoder.by_ref().take(length as u64 + 1), length)?
        .filter(|_| matches!(decoder.read(&mut [0]), Ok(0)))
        .ok_or_else(|| io::Error::other("unpacks to another length than told"))
}

impl<R: Read + Seek> Reader<R> {
    /// Opens a file by its index, or by a walk over its blocks where that is missing or damaged.
    ///
    /// # Errors
    /// Not a trace, another major version, or a damaged greeting.
    pub fn open(mut input: R) -> Result<Reader<R>, TraceError> {
        let length = input.seek(SeekFrom::End(0))?;
        input.seek(SeekFrom::Start(0))?;
        let greeting = read_some(&mut input, 16)?.filter(|bytes| bytes.starts_with(MAGIC));
        let mut greeting = greeting.ok_or(TraceError::NoTrace)?;
        let major = u16::from_le_bytes([greeting[8], greeting[9]]);
        let minor = u16::from_le_bytes([greeting[10], greeting[11]]);
        if major != MAJOR {
            return Err(TraceError::Major(major));
        }
        let told = u32_at(&greeting, 12) as usize;
        let rest = if told <= MOST {
            read_some(&mut input, told + 4)?
        } else {
            None
        };
        let rest =
            rest.ok_or_else(|| damage(12, "the greeting is cut off or its length is wrong"))?;
        greeting.extend(&rest[..told]);
        if crc32fast::hash(&greeting) != u32_at(&rest, told) {
            return Err(damage(16, "the greeting's checksum is wrong"));
        }
        let head: Head = serde_json::from_slice(&rest[..told])
            .map_err(|error| damage(16, format!("greeting: {error}")))?;
        let start = greeting.len() as u64 + 4;
        let mut reader = Reader {
            input,
            head,
            minor,
            index: Vec::new(),
            rebuilt: None,
            damage: None,
            next: 0,
            present: None,
            skipped: 0,
            standing: Vec::new(),
        };
        match reader.kept_index(length, start) {
            Ok(index) => reader.index = index,
            Err(why) => {
                reader.rebuilt = Some(why);
                reader.walk(start, length)?;
                // What the last call left to do may be missing; whoever copies the records must still know.
                let last = reader.span().map_or(0, |(_, last)| last);
                if !reader.head.merged {
                    let until = last.saturating_add(1);
                    reader
                        .head
                        .sources
                        .iter_mut()
                        .for_each(|source| source.until = source.until.min(until));
                }
            }
        }
        Ok(reader)
    }

    fn kept_index(&mut self, length: u64, start: u64) -> Result<Vec<Entry>, String> {
        let missing = || "no index at the end: the file was not closed".to_string();
        let trailer_at = length
            .checked_sub(TRAILER_BYTES)
            .filter(|at| *at >= start)
            .ok_or_else(missing)?;
        self.input
            .seek(SeekFrom::Start(trailer_at))
            .map_err(|error| error.to_string())?;
        let trailer = read_some(&mut self.input, TRAILER_BYTES as usize)
            .map_err(|error| error.to_string())?;
        let trailer = trailer
            .filter(|bytes| &bytes[8..16] == TRAILER)
            .ok_or_else(missing)?;
        let damaged = || format!("byte {trailer_at}: the index is damaged");
        if crc32fast::hash(&trailer[..16]) != u32_at(&trailer, 16) {
            return Err(damaged());
        }
        let offset = u64_at(&trailer, 0);
        let (tag, entry, sum) = self
            .frame(offset)
            .map_err(|error| error.to_string())?
            .ok_or_else(damaged)?;
        if &tag != INDEX || offset.saturating_add(FRAME as u64 + entry.packed as u64) != trailer_at
        {
            return Err(damaged());
        }
        let bytes = self
            .packed(&entry, sum)
            .map_err(|error| error.to_string())?;
        let index: Vec<Entry> = postcard::from_bytes(&bytes).map_err(|_| damaged())?;
        // Blocks stand side by side from the greeting to the index.
        let mut at = start;
        for entry in &index {
            if entry.offset != at {
                return Err(damaged());
            }
            at = at.saturating_add(FRAME as u64 + entry.packed as u64);
        }
        if at == offset {
            Ok(index)
        } else {
            Err(damaged())
        }
    }

    fn frame(&mut self, offset: u64) -> io::Result<Option<([u8; 4], Entry, u32)>> {
        self.input.seek(SeekFrom::Start(offset))?;
        let bytes = read_some(&mut self.input, FRAME)?;
        Ok(bytes.and_then(|bytes| unframe(bytes.first_chunk()?, offset)))
    }

    /// What follows the frame that was read last, checked and unpacked.
    fn packed(&mut self, entry: &Entry, sum: u32) -> Result<Vec<u8>, TraceError> {
        let at = entry.offset;
        if entry.packed as usize > MOST + (MOST >> 4) || entry.unpacked as usize > MOST {
            return Err(damage(at, "a block larger than any that is written"));
        }
        let packed = read_some(&mut self.input, entry.packed as usize)?;
        let packed = packed.ok_or_else(|| damage(at, "the block is cut off"))?;
        if crc32fast::hash(&packed) != sum {
            return Err(damage(at, "the block's checksum is wrong"));
        }
        unpack(&packed, entry.unpacked as usize)
            .map_err(|error| damage(at, format!("the block {error}")))
    }

    /// Makes the index from the blocks' frames alone.
    fn walk(&mut self, start: u64, length: u64) -> Result<(), TraceError> {
        let mut at = start;
        while at < length {
            let Some((tag, entry, _)) = self.frame(at)? else {
                self.damage = Some((at, "not a block, or one that is cut off".to_string()));
                break;
            };
            let end = at + FRAME as u64 + entry.packed as u64;
            match &tag {
                BLOCK if end <= length => self.index.push(entry),
                BLOCK => {
                    self.damage = Some((at, "the block is cut off".to_string()));
                    break;
                }
                // The blocks are all there; only the index is not.
                _ => break,
            }
            at = end;
        }
        Ok(())
    }

    /// Goes on with the given block of the index.
    pub fn seek(&mut self, block: usize) {
        self.next = block;
        self.present = None;
    }

    /// How many blocks were read to, counted from the file's first.
    pub fn read_to(&self) -> usize {
        self.next
    }

    /// The first block that holds anything at or after a time.
    pub fn block_at(&self, at: Nanos) -> usize {
        self.index
            .iter()
            .position(|entry| entry.last >= at)
            .unwrap_or(self.index.len())
    }

    /// The time of the first record and of the last.
    pub fn span(&self) -> Option<(Nanos, Nanos)> {
        let first = self.index.iter().map(|entry| entry.first).min()?;
        Some((first, self.index.iter().map(|entry| entry.last).max()?))
    }

    /// Records passed over so far, as they are of kinds that this program does not know.
    pub fn skipped(&self) -> u64 {
        self.skipped + self.present.as_ref().map_or(0, |(_, block)| block.skipped)
    }

    /// The next record; `None` at the end of a file that is whole.
    ///
    /// # Errors
    /// Where the file is damaged, after all that comes before. A file whose writer was killed ends so, too.
    pub fn record(&mut self) -> Result<Option<Record>, TraceError> {
        loop {
            if let Some((at, block)) = &mut self.present {
                let record = block
                    .next()
                    .map_err(|wrong: ColumnError| damage(*at, wrong))?;
                if let Some(record) = record {
                    if record.source >= self.head.sources.len() {
                        return Err(damage(*at, "a source that the greeting lacks"));
                    }
                    stand(&mut self.standing, &record);
                    return Ok(Some(record));
                }
                self.skipped += block.skipped;
                self.present = None;
            }
            if self.next == self.index.len() {
                return match self.damage.clone() {
                    Some((at, what)) => Err(damage(at, what)),
                    None => Ok(None),
                };
            }
            let entry = self.index[self.next];
            let block = self.block(&entry)?;
            self.standing.clone_from(&block.standing);
            self.present = Some((entry.offset, block));
            self.next += 1;
        }
    }

    fn block(&mut self, entry: &Entry) -> Result<BlockDecoder, TraceError> {
        let at = entry.offset;
        let Some((tag, found, sum)) = self.frame(at)? else {
            return Err(damage(at, "the block's frame is wrong"));
        };
        if &tag != BLOCK || found != *entry {
            return Err(damage(at, "not the block that the index tells of"));
        }
        let body = self.packed(entry, sum)?;
        BlockDecoder::new(body, entry.first)
            .map_err(|error| damage(at, format!("the block's body: {error}")))
    }
}
