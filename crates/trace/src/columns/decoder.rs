//! Decodes the columns of one block into records.

use super::error::ColumnError;
use super::field_visitor::FieldVisitor;
use super::kind::blank_payload;
use super::last_values::LastValues;
use super::visit::visit_record;
use super::{BlockBody, COLUMN_COUNT, ENGINE_TIME_COLUMN, KIND_COLUMN, SOURCE_COLUMN, TIME_COLUMN};
use crate::record::{PodSnapshot, Record, StageInForce};
use havenplank::interface::{Nanos, PodId};
use integer_encoding::VarInt;
use std::sync::Arc;

/// The largest size of all texts of one record, in bytes. The largest endpoint list with names of usual length needs a
/// quarter of it.
const MAX_RECORD_TEXT_BYTES: usize = 16 << 20;

/// Decodes one block, one record at a time.
pub struct BlockDecoder {
    bytes: Vec<u8>,
    /// For each column, the range of `bytes` that is not read yet.
    columns: Vec<(usize, usize)>,
    pods: Vec<Arc<PodSnapshot>>,
    keys: Vec<u64>,
    texts: Vec<String>,
    /// The stages in force before the first record, one for each source that has any.
    pub stages_in_force: Vec<StageInForce>,
    last_values: LastValues,
    at: Nanos,
    has_unknown_value: bool,
    /// Bytes of text that the current record may still have: a forged record could refer to the same dictionary entry a
    /// million times.
    text_budget: usize,
    /// Records that were skipped because this program does not know their kind or a value in them.
    pub skipped: u64,
}

impl BlockDecoder {
    /// Creates a decoder of an uncompressed body; `first_at` is the time of its first record, in nanoseconds on the
    /// file's clock.
    ///
    /// # Errors
    /// The bytes are not the body of a block.
    pub fn new(bytes: Vec<u8>, first_at: Nanos) -> Result<BlockDecoder, postcard::Error> {
        // Fields that a newer minor version adds at the end are ignored.
        let (body, _) = postcard::take_from_bytes::<BlockBody>(&bytes)?;
        let columns = column_ranges(&bytes, &body);
        let BlockBody {
            pods,
            keys,
            texts,
            stages_in_force,
            ..
        } = body;
        Ok(BlockDecoder {
            pods: pods.into_iter().map(Arc::new).collect(),
            bytes,
            columns,
            keys,
            texts,
            stages_in_force,
            last_values: LastValues::default(),
            at: first_at,
            has_unknown_value: false,
            text_budget: 0,
            skipped: 0,
        })
    }

    /// Returns the next record that this program knows; `None` at the block's end.
    ///
    /// # Errors
    /// The block does not follow the format, though its checksum is right.
    pub fn next(&mut self) -> Result<Option<Record>, ColumnError> {
        while self.has_more() {
            let (kind, mut record) = match self.next_header()? {
                Some(header) => header,
                None => continue,
            };
            let source = record.source as u64;
            visit_record(self, kind, source, &mut record)?;
            if !self.has_unknown_value {
                return Ok(Some(record));
            }
            self.skipped += 1;
        }
        Ok(None)
    }

    fn has_more(&self) -> bool {
        let (start, end) = self.columns[KIND_COLUMN as usize];
        start != end
    }

    /// Reads the kind, the times and the source of the next record; returns `None` where the kind is unknown and the
    /// record is skipped.
    fn next_header(&mut self) -> Result<Option<(u16, Record)>, ColumnError> {
        let (mut kind, mut step, mut source, mut engine_time_offset) = (0, 0, 0, 0);
        self.number(KIND_COLUMN, &mut kind)?;
        self.number(TIME_COLUMN, &mut step)?;
        self.number(SOURCE_COLUMN, &mut source)?;
        self.delta(ENGINE_TIME_COLUMN, source, &mut engine_time_offset)?;
        let at = self.at.checked_add(step);
        self.at = at.ok_or(ColumnError::OutOfRange(TIME_COLUMN))?;
        let source = u16::try_from(source);
        let source = source.map_err(|_| ColumnError::OutOfRange(SOURCE_COLUMN))?;
        self.has_unknown_value = false;
        self.text_budget = MAX_RECORD_TEXT_BYTES;
        let Some(payload) = blank_payload(kind) else {
            self.skipped += 1;
            return Ok(None);
        };
        let record = Record {
            at: self.at,
            engine_time: self.at.wrapping_add(engine_time_offset),
            source: usize::from(source),
            payload,
            pod: None,
        };
        Ok(Some((kind as u16, record)))
    }
}

/// Returns where each column's bytes begin and end within the block; columns unknown to this program are ignored.
fn column_ranges(bytes: &[u8], body: &BlockBody) -> Vec<(usize, usize)> {
    let mut ranges = vec![(0, 0); COLUMN_COUNT];
    let base = bytes.as_ptr() as usize;
    for (column, values) in &body.columns {
        // The values borrow from `bytes`, so the difference of the addresses is their offset.
        let start = values.as_ptr() as usize - base;
        if let Some(range) = ranges.get_mut(*column as usize) {
            *range = (start, start + values.len());
        }
    }
    ranges
}

impl FieldVisitor for BlockDecoder {
    fn number(&mut self, column: u16, value: &mut u64) -> Result<(), ColumnError> {
        let (from, to) = self.columns[column as usize];
        let (read, used) =
            u64::decode_var(&self.bytes[from..to]).ok_or(ColumnError::Truncated(column))?;
        self.columns[column as usize].0 += used;
        *value = read;
        Ok(())
    }

    fn float(&mut self, column: u16, value: &mut f64) -> Result<(), ColumnError> {
        let mut encoded = 0;
        self.number(column, &mut encoded)?;
        if encoded != 1 {
            *value = (encoded >> 1) as f64 / 1000.0;
            return Ok(());
        }
        let (from, to) = self.columns[column as usize];
        let bits = self.bytes[from..to]
            .first_chunk::<8>()
            .ok_or(ColumnError::Truncated(column))?;
        *value = f64::from_bits(u64::from_le_bytes(*bits));
        self.columns[column as usize].0 += 8;
        Ok(())
    }

    fn idempotency_key(&mut self, column: u16, value: &mut u64) -> Result<(), ColumnError> {
        let mut entry = 0;
        self.index(column, &mut entry)?;
        *value = *self
            .keys
            .get(entry)
            .ok_or(ColumnError::MissingEntry(column))?;
        Ok(())
    }

    fn text(&mut self, column: u16, value: &mut String) -> Result<(), ColumnError> {
        let mut entry = 0;
        self.index(column, &mut entry)?;
        let found = self
            .texts
            .get(entry)
            .ok_or(ColumnError::MissingEntry(column))?;
        self.text_budget = self
            .text_budget
            .checked_sub(found.len())
            .ok_or(ColumnError::OutOfRange(column))?;
        value.clone_from(found);
        Ok(())
    }

    fn pod(
        &mut self,
        column: u16,
        pod: &mut PodId,
        snapshot: &mut Option<Arc<PodSnapshot>>,
    ) -> Result<(), ColumnError> {
        let mut entry = 0;
        self.index(column, &mut entry)?;
        let found = self
            .pods
            .get(entry)
            .ok_or(ColumnError::MissingEntry(column))?;
        *pod = found.pod;
        *snapshot = Some(found.clone());
        Ok(())
    }

    fn last_value(&mut self, column_and_slot: (u16, u64)) -> &mut u64 {
        self.last_values.entry(column_and_slot)
    }

    fn mark_unknown(&mut self) {
        self.has_unknown_value = true;
    }
}
