//! Reads a trace file: its head, its index, and its records block by block.

use super::block_frame::{decode_frame, u32_at, u64_at, BLOCK_TAG, FRAME_BYTES, INDEX_TAG};
use super::error::{DamageKind, IndexError};
use super::{
    update_stages, IndexEntry, TraceError, MAGIC, MAJOR_VERSION, MAX_BLOCK_BYTES, TRAILER_MAGIC,
};
use crate::columns::BlockDecoder;
use crate::record::{Head, Record, StageInForce};
use havenplank::interface::Nanos;
use std::io::{self, Read, Seek, SeekFrom};

/// Bytes of the magic, the version and the length before the head's JSON.
const HEAD_START_BYTES: usize = 16;
const CHECKSUM_BYTES: usize = 4;
/// Bytes of the trailer: the offset of the index, the magic and the checksum.
const TRAILER_BYTES: u64 = 20;
/// Binary logarithm of the largest zstd window that is accepted, 16 MiB.
const MAX_WINDOW_LOG: u32 = 24;

/// Reads a file. Keeps one block in memory.
pub struct Reader<R> {
    input: R,
    /// The head of the file.
    pub head: Head,
    /// The minor version of the writer. A file of a newer version may hold records that this reader skips.
    pub minor_version: u16,
    /// The blocks of the file, in order.
    pub index: Vec<IndexEntry>,
    /// Why the index was rebuilt from the blocks; `None` where the file has an intact index.
    pub index_error: Option<IndexError>,
    /// Where and why a rebuilt index ends before the end of the file.
    unindexed_tail: Option<UnindexedTail>,
    /// The index of the block to read next.
    next_block: usize,
    /// The offset of the block being read, and its decoder.
    current: Option<(u64, BlockDecoder)>,
    /// Records that were skipped in the blocks before the current one.
    skipped: u64,
    /// The stages in force at the record that was read last.
    pub stages_in_force: Vec<StageInForce>,
}

/// The offset at which the blocks of a file without an index end before the end of the file, and the reason.
#[derive(Clone, Copy)]
enum UnindexedTail {
    /// The bytes at this offset are not a frame.
    NoBlock(u64),
    /// The block at this offset extends past the end of the file.
    BlockCutOff(u64),
}

impl UnindexedTail {
    fn error(self) -> TraceError {
        match self {
            UnindexedTail::NoBlock(at) => TraceError::damage(at, DamageKind::NoBlock),
            UnindexedTail::BlockCutOff(at) => TraceError::damage(at, DamageKind::BlockCutOff),
        }
    }
}

/// The head of a file, with the minor version and the length of the head.
struct StoredHead {
    head: Head,
    minor_version: u16,
    /// The length of the head in bytes, which is the offset of the first block.
    length: u64,
}

fn read_head(input: &mut impl Read) -> Result<StoredHead, TraceError> {
    let start = read_exactly(input, HEAD_START_BYTES)?.filter(|bytes| bytes.starts_with(MAGIC));
    let mut bytes = start.ok_or(TraceError::NotATrace)?;
    let major = u16::from_le_bytes([bytes[8], bytes[9]]);
    let minor_version = u16::from_le_bytes([bytes[10], bytes[11]]);
    if major != MAJOR_VERSION {
        return Err(TraceError::UnsupportedMajor(major));
    }
    let json_length = u32_at(&bytes, 12) as usize;
    let rest = if json_length <= MAX_BLOCK_BYTES {
        read_exactly(input, json_length + CHECKSUM_BYTES)?
    } else {
        None
    };
    let rest = rest.ok_or_else(|| TraceError::damage(12, DamageKind::HeadLength))?;
    let json = &rest[..json_length];
    bytes.extend(json);
    if crc32fast::hash(&bytes) != u32_at(&rest, json_length) {
        return Err(TraceError::damage(16, DamageKind::HeadChecksum));
    }
    let head = serde_json::from_slice(json);
    let head = head.map_err(|error| TraceError::damage(16, DamageKind::Head(error)))?;
    let length = (bytes.len() + CHECKSUM_BYTES) as u64;
    Ok(StoredHead {
        head,
        minor_version,
        length,
    })
}

impl<R: Read + Seek> Reader<R> {
    /// Opens a file. Reads the index, or rebuilds it from the blocks where it is missing or damaged.
    ///
    /// # Errors
    /// The file is not a trace or has another major version, the head is damaged, or the input fails.
    pub fn open(mut input: R) -> Result<Reader<R>, TraceError> {
        let file_length = input.seek(SeekFrom::End(0))?;
        input.seek(SeekFrom::Start(0))?;
        let StoredHead {
            head,
            minor_version,
            length: start,
        } = read_head(&mut input)?;
        let mut reader = Reader {
            input,
            head,
            minor_version,
            index: Vec::new(),
            index_error: None,
            unindexed_tail: None,
            next_block: 0,
            current: None,
            skipped: 0,
            stages_in_force: Vec::new(),
        };
        match reader.read_index(file_length, start) {
            Ok(index) => reader.index = index,
            Err(error) => {
                reader.index_error = Some(error);
                reader.rebuild_index(start, file_length)?;
                reader.limit_sources();
            }
        }
        Ok(reader)
    }

    /// Sets `records_end` of the sources of a file that was not closed to the time after the last record: effects of
    /// the last event may be missing, and a copy of the records must state this in its head.
    fn limit_sources(&mut self) {
        if self.head.merged {
            return;
        }
        let last = self.span().map_or(0, |(_, last)| last);
        let records_end = last.saturating_add(1);
        for source in &mut self.head.sources {
            source.records_end = source.records_end.min(records_end);
        }
    }

    fn read_index(&mut self, file_length: u64, start: u64) -> Result<Vec<IndexEntry>, IndexError> {
        let trailer_at = file_length
            .checked_sub(TRAILER_BYTES)
            .filter(|at| *at >= start)
            .ok_or(IndexError::Missing)?;
        let damaged = || IndexError::Damaged { at: trailer_at };
        self.input.seek(SeekFrom::Start(trailer_at))?;
        let trailer = read_exactly(&mut self.input, TRAILER_BYTES as usize)?
            .filter(|bytes| &bytes[8..16] == TRAILER_MAGIC)
            .ok_or(IndexError::Missing)?;
        if crc32fast::hash(&trailer[..16]) != u32_at(&trailer, 16) {
            return Err(damaged());
        }
        let offset = u64_at(&trailer, 0);
        let (tag, entry, checksum) = self.read_frame(offset)?.ok_or_else(damaged)?;
        let end = offset.saturating_add(FRAME_BYTES as u64 + entry.packed as u64);
        if &tag != INDEX_TAG || end != trailer_at {
            return Err(damaged());
        }
        let bytes = self.read_body(&entry, checksum)?;
        let index: Vec<IndexEntry> = postcard::from_bytes(&bytes).map_err(|_| damaged())?;
        if is_contiguous(&index, start, offset) {
            Ok(index)
        } else {
            Err(damaged())
        }
    }

    /// Reads the frame at an offset; returns `None` where there is no intact frame.
    fn read_frame(&mut self, offset: u64) -> io::Result<Option<([u8; 4], IndexEntry, u32)>> {
        self.input.seek(SeekFrom::Start(offset))?;
        let bytes = read_exactly(&mut self.input, FRAME_BYTES)?;
        Ok(bytes.and_then(|bytes| decode_frame(bytes.first_chunk()?, offset)))
    }

    /// Reads the body after the frame that was read last, verifies its checksum and decompresses it.
    fn read_body(&mut self, entry: &IndexEntry, checksum: u32) -> Result<Vec<u8>, TraceError> {
        let at = entry.offset;
        if entry.packed as usize > MAX_BLOCK_BYTES + (MAX_BLOCK_BYTES >> 4)
            || entry.unpacked as usize > MAX_BLOCK_BYTES
        {
            return Err(TraceError::damage(at, DamageKind::BlockTooLarge));
        }
        let packed = read_exactly(&mut self.input, entry.packed as usize)?;
        let packed = packed.ok_or_else(|| TraceError::damage(at, DamageKind::BlockCutOff))?;
        if crc32fast::hash(&packed) != checksum {
            return Err(TraceError::damage(at, DamageKind::BlockChecksum));
        }
        unpack(&packed, entry.unpacked as usize)
            .map_err(|error| TraceError::damage(at, DamageKind::Decompress(error)))
    }

    /// Rebuilds the index from the frames of the blocks.
    fn rebuild_index(&mut self, start: u64, length: u64) -> Result<(), TraceError> {
        let mut at = start;
        while at < length {
            let Some((tag, entry, _)) = self.read_frame(at)? else {
                self.unindexed_tail = Some(UnindexedTail::NoBlock(at));
                break;
            };
            let end = at + FRAME_BYTES as u64 + entry.packed as u64;
            match &tag {
                BLOCK_TAG if end <= length => self.index.push(entry),
                BLOCK_TAG => {
                    self.unindexed_tail = Some(UnindexedTail::BlockCutOff(at));
                    break;
                }
                // Only the index is damaged: all blocks come before it.
                _ => break,
            }
            at = end;
        }
        Ok(())
    }

    /// Continues the reading at the start of a block, given by its index.
    pub fn seek(&mut self, block: usize) {
        self.next_block = block;
        self.current = None;
    }

    /// Returns the index of the block after the one that was read last.
    pub fn next_block(&self) -> usize {
        self.next_block
    }

    /// Returns the index of the first block that has a record at or after a time.
    pub fn block_at(&self, at: Nanos) -> usize {
        self.index
            .iter()
            .position(|entry| entry.last >= at)
            .unwrap_or(self.index.len())
    }

    /// Returns the times of the first and the last record, in nanoseconds; `None` for a file without records.
    pub fn span(&self) -> Option<(Nanos, Nanos)> {
        let first = self.index.iter().map(|entry| entry.first).min()?;
        Some((first, self.index.iter().map(|entry| entry.last).max()?))
    }

    /// Returns how many records were skipped so far because this program does not know their kind or a value in them.
    pub fn skipped(&self) -> u64 {
        self.skipped + self.current.as_ref().map_or(0, |(_, block)| block.skipped)
    }

    /// Returns the next record; `None` at the end of a complete file.
    ///
    /// # Errors
    /// The file is damaged, after all records before the damage were returned; or the input fails. A file whose writer
    /// was killed may end in damage.
    pub fn record(&mut self) -> Result<Option<Record>, TraceError> {
        loop {
            if let Some((at, block)) = &mut self.current {
                let record = block
                    .next()
                    .map_err(|error| TraceError::damage(*at, error))?;
                if let Some(record) = record {
                    if record.source >= self.head.sources.len() {
                        return Err(TraceError::damage(*at, DamageKind::UnknownSource));
                    }
                    update_stages(&mut self.stages_in_force, &record);
                    return Ok(Some(record));
                }
                self.skipped += block.skipped;
                self.current = None;
            }
            if self.next_block == self.index.len() {
                return match self.unindexed_tail {
                    Some(tail) => Err(tail.error()),
                    None => Ok(None),
                };
            }
            let entry = self.index[self.next_block];
            let block = self.read_block(&entry)?;
            self.stages_in_force.clone_from(&block.stages_in_force);
            self.current = Some((entry.offset, block));
            self.next_block += 1;
        }
    }

    fn read_block(&mut self, entry: &IndexEntry) -> Result<BlockDecoder, TraceError> {
        let at = entry.offset;
        let Some((tag, found, checksum)) = self.read_frame(at)? else {
            return Err(TraceError::damage(at, DamageKind::BlockFrame));
        };
        if &tag != BLOCK_TAG || found != *entry {
            return Err(TraceError::damage(at, DamageKind::OtherBlock));
        }
        let body = self.read_body(entry, checksum)?;
        BlockDecoder::new(body, entry.first)
            .map_err(|error| TraceError::damage(at, DamageKind::Body(error)))
    }
}

/// Whether the blocks of an index follow each other without gaps from `start` to `end`.
fn is_contiguous(index: &[IndexEntry], start: u64, end: u64) -> bool {
    let mut at = start;
    for entry in index {
        if entry.offset != at {
            return false;
        }
        at = at.saturating_add(FRAME_BYTES as u64 + entry.packed as u64);
    }
    at == end
}

/// Reads `count` bytes; returns `None` where the input ends before. The buffer grows with the bytes that are read, so a
/// wrong count cannot cause a large allocation.
fn read_exactly(input: &mut impl Read, count: usize) -> io::Result<Option<Vec<u8>>> {
    let mut bytes = Vec::new();
    input.by_ref().take(count as u64).read_to_end(&mut bytes)?;
    Ok((bytes.len() == count).then_some(bytes))
}

/// Decompresses a block, which must have the stated length.
fn unpack(packed: &[u8], length: usize) -> io::Result<Vec<u8>> {
    let mut decoder = zstd::stream::read::Decoder::with_buffer(packed)?;
    decoder.window_log_max(MAX_WINDOW_LOG)?;
    // Stops one byte past the stated length, so that a longer block is detected without decompressing all of it.
    read_exactly(&mut decoder.by_ref().take(length as u64 + 1), length)?
        .filter(|_| matches!(decoder.read(&mut [0]), Ok(0)))
        .ok_or_else(|| io::Error::other("the decompressed length differs from the stated length"))
}
