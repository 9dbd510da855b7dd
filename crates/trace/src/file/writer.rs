//! Writes records to a trace file.

use super::block_writer::BlockWriter;
use super::{update_stages, TraceError, FULL_BLOCK_BYTES, FULL_BLOCK_RECORDS};
use crate::columns::BlockEncoder;
use crate::record::{Head, Record, StageInForce};
use std::io::Write;

/// Writes records to a file, block by block. Keeps one block in memory.
pub struct Writer<W: Write> {
    blocks: BlockWriter<W>,
    block: BlockEncoder,
    stages_in_force: Vec<StageInForce>,
}

impl<W: Write> Writer<W> {
    /// Writes the head; `standing` holds the stages in force before the first record.
    ///
    /// # Errors
    /// The same as of [`BlockWriter::new`].
    pub fn new(
        out: W,
        head: &Head,
        stages_in_force: Vec<StageInForce>,
    ) -> Result<Writer<W>, TraceError> {
        Ok(Writer {
            blocks: BlockWriter::new(out, head)?,
            block: BlockEncoder::new(stages_in_force.clone()),
            stages_in_force,
        })
    }

    /// Appends a record, and writes the block once it is full.
    ///
    /// # Errors
    /// The output fails.
    pub fn put(&mut self, record: Record) -> Result<(), TraceError> {
        update_stages(&mut self.stages_in_force, &record);
        self.block.put(record);
        if self.block.bytes >= FULL_BLOCK_BYTES || self.block.records >= FULL_BLOCK_RECORDS {
            self.flush()?;
        }
        Ok(())
    }

    /// Writes the open block and begins a new one.
    ///
    /// # Errors
    /// The output fails.
    pub fn flush(&mut self) -> Result<(), TraceError> {
        self.blocks.write_block(&self.block)?;
        self.block = BlockEncoder::new(self.stages_in_force.clone());
        Ok(())
    }

    /// Writes the last block and the index.
    ///
    /// # Errors
    /// The output fails.
    pub fn finish(mut self) -> Result<W, TraceError> {
        self.flush()?;
        self.blocks.finish()
    }
}
