//! Writes the parts of a trace file: head, blocks, index and trailer.

use super::block_frame::{encode_frame, BLOCK_TAG, FRAME_BYTES, INDEX_TAG};
use super::{
    IndexEntry, TraceError, MAGIC, MAJOR_VERSION, MAX_BLOCK_BYTES, MINOR_VERSION, TRAILER_MAGIC,
};
use crate::columns::BlockEncoder;
use crate::record::Head;
use std::io::{self, Write};

/// The level of zstd that blocks are compressed with.
const COMPRESSION_LEVEL: i32 = 3;

/// Compresses blocks and appends them to a file.
pub struct BlockWriter<W> {
    out: W,
    offset: u64,
    index: Vec<IndexEntry>,
}

impl<W: Write> BlockWriter<W> {
    /// Writes the head of a file.
    ///
    /// # Errors
    /// Errors of the output, or a head over 8 MiB.
    pub fn new(mut out: W, head: &Head) -> Result<BlockWriter<W>, TraceError> {
        let head = serde_json::to_vec(head).map_err(io::Error::from)?;
        if head.len() > MAX_BLOCK_BYTES {
            return Err(TraceError::Unusable(format!(
                "a greeting of {} bytes; {MAX_BLOCK_BYTES} at most",
                head.len()
            )));
        }
        let mut greeting = MAGIC.to_vec();
        greeting.extend(MAJOR_VERSION.to_le_bytes());
        greeting.extend(MINOR_VERSION.to_le_bytes());
        greeting.extend((head.len() as u32).to_le_bytes());
        greeting.extend(head);
        let sum = crc32fast::hash(&greeting);
        greeting.extend(sum.to_le_bytes());
        out.write_all(&greeting)?;
        Ok(BlockWriter {
            out,
            offset: greeting.len() as u64,
            index: Vec::new(),
        })
    }

    fn append(
        &mut self,
        tag: &[u8; 4],
        entry: IndexEntry,
        bytes: &[u8],
    ) -> Result<IndexEntry, TraceError> {
        if bytes.len() > MAX_BLOCK_BYTES {
            return Err(TraceError::Unusable(format!(
                "a block of {} bytes; {MAX_BLOCK_BYTES} at most",
                bytes.len()
            )));
        }
        let packed = zstd::bulk::compress(bytes, COMPRESSION_LEVEL)?;
        let (length, unpacked) = (packed.len() as u32, bytes.len() as u32);
        let entry = IndexEntry {
            offset: self.offset,
            packed: length,
            unpacked,
            ..entry
        };
        self.out
            .write_all(&encode_frame(tag, &entry, crc32fast::hash(&packed)))?;
        self.out.write_all(&packed)?;
        self.offset += (FRAME_BYTES + packed.len()) as u64;
        Ok(entry)
    }

    /// Appends a block; one without records is left out.
    ///
    /// # Errors
    /// Errors of the output, after which the file is good up to the block before.
    pub fn block(&mut self, block: &BlockEncoder) -> Result<(), TraceError> {
        if block.records == 0 {
            return Ok(());
        }
        let BlockEncoder {
            records,
            requests,
            shared,
            first,
            at,
            ..
        } = *block;
        let told = IndexEntry {
            offset: 0,
            packed: 0,
            unpacked: 0,
            records,
            requests,
            shared,
            first,
            last: at,
        };
        let entry = self.append(BLOCK_TAG, told, &block.body())?;
        self.index.push(entry);
        Ok(())
    }

    /// Returns the length of the file so far, in bytes.
    pub fn bytes(&self) -> u64 {
        self.offset
    }

    /// Passes what was written to the operating system, so that it survives the end of this process.
    ///
    /// # Errors
    /// Errors of the output.
    pub fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }

    /// Writes the index. A file without it can be read as well, but is slower to open.
    ///
    /// # Errors
    /// Errors of the output.
    pub fn finish(mut self) -> Result<W, TraceError> {
        let offset = self.offset;
        let index = postcard::to_stdvec(&self.index).unwrap_or_default();
        let blank = IndexEntry {
            offset,
            packed: 0,
            unpacked: 0,
            records: 0,
            requests: 0,
            shared: 0,
            first: 0,
            last: 0,
        };
        // An index too large for its frame is left out: a reader rebuilds it.
        if index.len() <= MAX_BLOCK_BYTES {
            self.append(INDEX_TAG, blank, &index)?;
            let mut trailer = offset.to_le_bytes().to_vec();
            trailer.extend(TRAILER_MAGIC);
            let sum = crc32fast::hash(&trailer);
            trailer.extend(sum.to_le_bytes());
            self.out.write_all(&trailer)?;
        }
        self.out.flush()?;
        Ok(self.out)
    }
}
