//! Writes the head, the blocks, the index and the trailer of a trace file.

use super::block_frame::{encode_frame, BLOCK_TAG, FRAME_BYTES, INDEX_TAG};
use super::{
    IndexEntry, TraceError, MAGIC, MAJOR_VERSION, MAX_BLOCK_BYTES, MINOR_VERSION, TRAILER_MAGIC,
};
use crate::columns::BlockEncoder;
use crate::record::Head;
use std::io::{self, Write};

/// The zstd level of the compression of blocks.
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
    /// The output fails, or the head is larger than 8 MiB.
    pub fn new(mut out: W, head: &Head) -> Result<BlockWriter<W>, TraceError> {
        let head = serde_json::to_vec(head).map_err(io::Error::from)?;
        if head.len() > MAX_BLOCK_BYTES {
            return Err(TraceError::Unusable(format!(
                "the head has {} bytes; expected at most {MAX_BLOCK_BYTES}",
                head.len()
            )));
        }
        let mut bytes = MAGIC.to_vec();
        bytes.extend(MAJOR_VERSION.to_le_bytes());
        bytes.extend(MINOR_VERSION.to_le_bytes());
        bytes.extend((head.len() as u32).to_le_bytes());
        bytes.extend(head);
        let checksum = crc32fast::hash(&bytes);
        bytes.extend(checksum.to_le_bytes());
        out.write_all(&bytes)?;
        Ok(BlockWriter {
            out,
            offset: bytes.len() as u64,
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
                "the uncompressed block has {} bytes; expected at most {MAX_BLOCK_BYTES}",
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

    /// Appends a block; a block without records is not written.
    ///
    /// # Errors
    /// The output fails; the file is then intact up to the end of the previous block.
    pub fn write_block(&mut self, block: &BlockEncoder) -> Result<(), TraceError> {
        if block.records == 0 {
            return Ok(());
        }
        let BlockEncoder {
            records,
            requests,
            shared,
            first,
            last,
            ..
        } = *block;
        let summary = IndexEntry {
            offset: 0,
            packed: 0,
            unpacked: 0,
            records,
            requests,
            shared,
            first,
            last,
        };
        let entry = self.append(BLOCK_TAG, summary, &block.body())?;
        self.index.push(entry);
        Ok(())
    }

    /// Returns the length of the file so far, in bytes.
    pub fn bytes_written(&self) -> u64 {
        self.offset
    }

    /// Passes the written bytes to the operating system, so that they survive the end of this process.
    ///
    /// # Errors
    /// The output fails.
    pub fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }

    /// Writes the index and the trailer. A file without them can be read as well, but is slower to open.
    ///
    /// # Errors
    /// The output fails.
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
        // An index too large for its frame is not written: a reader rebuilds it.
        if index.len() <= MAX_BLOCK_BYTES {
            self.append(INDEX_TAG, blank, &index)?;
            let mut trailer = offset.to_le_bytes().to_vec();
            trailer.extend(TRAILER_MAGIC);
            let checksum = crc32fast::hash(&trailer);
            trailer.extend(checksum.to_le_bytes());
            self.out.write_all(&trailer)?;
        }
        self.out.flush()?;
        Ok(self.out)
    }
}
