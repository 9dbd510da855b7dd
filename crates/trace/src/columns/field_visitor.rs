//! The visitor that encodes or decodes the fields of a record, one column each.

use super::error::ColumnError;
use crate::record::PodSnapshot;
use havenplank::interface::{PodId, RequestId};
use std::sync::Arc;

/// Pseudo-column of [`FieldVisitor::last_value`]: the newest request id of each source. Values of pseudo-columns are
/// not in the file.
const NEWEST_REQUEST: u16 = 0;

/// Visits the fields of a record, either to encode or to decode them. Encoder and decoder run the same code over a
/// record, so that they cannot disagree on the format.
pub(super) trait FieldVisitor {
    /// Visits an integer.
    fn number(&mut self, column: u16, value: &mut u64) -> Result<(), ColumnError>;
    /// Visits a float; its exact bits are preserved.
    fn float(&mut self, column: u16, value: &mut f64) -> Result<(), ColumnError>;
    /// Visits an idempotency key, as an entry of the block's dictionary of keys.
    fn idempotency_key(&mut self, column: u16, value: &mut u64) -> Result<(), ColumnError>;
    /// Visits a text, as an entry of the block's dictionary of texts.
    fn text(&mut self, column: u16, value: &mut String) -> Result<(), ColumnError>;
    /// Visits a pod, as an entry of the block's dictionary of pods.
    fn pod(
        &mut self,
        column: u16,
        pod: &mut PodId,
        snapshot: &mut Option<Arc<PodSnapshot>>,
    ) -> Result<(), ColumnError>;
    /// Returns the last value of a column's slot, from which the difference of the next value is encoded.
    fn last_value(&mut self, column_and_slot: (u16, u64)) -> &mut u64;
    /// Marks the record as having a value of a newer version: the decoder skips the record after visiting its fields.
    fn mark_unknown(&mut self);

    /// Visits an integer as its difference from the last one in the same slot.
    fn delta(&mut self, column: u16, slot: u64, value: &mut u64) -> Result<(), ColumnError> {
        let last = *self.last_value((column, slot));
        self.difference(column, last, value)?;
        *self.last_value((column, slot)) = *value;
        Ok(())
    }

    /// Visits an integer as its difference from an expected value.
    fn difference(
        &mut self,
        column: u16,
        expected: u64,
        value: &mut u64,
    ) -> Result<(), ColumnError> {
        let mut difference = zigzag(value.wrapping_sub(expected) as i64);
        self.number(column, &mut difference)?;
        *value = expected.wrapping_add(unzigzag(difference) as u64);
        Ok(())
    }

    /// Visits a request id as its difference from the newest request id of the source so far.
    fn request_id(
        &mut self,
        column: u16,
        source: u64,
        request: &mut RequestId,
    ) -> Result<(), ColumnError> {
        let newest = *self.last_value((NEWEST_REQUEST, source));
        let mut behind = zigzag(newest.wrapping_sub(*request) as i64);
        self.number(column, &mut behind)?;
        *request = newest.wrapping_sub(unzigzag(behind) as u64);
        *self.last_value((NEWEST_REQUEST, source)) = newest.max(*request);
        Ok(())
    }

    /// Visits a signed integer.
    fn signed(&mut self, column: u16, value: &mut i64) -> Result<(), ColumnError> {
        let mut number = zigzag(*value);
        self.number(column, &mut number)?;
        *value = unzigzag(number);
        Ok(())
    }

    /// Visits an index or a count.
    fn index(&mut self, column: u16, value: &mut usize) -> Result<(), ColumnError> {
        let mut number = *value as u64;
        self.number(column, &mut number)?;
        *value = usize::try_from(number).map_err(|_| ColumnError::OutOfRange(column))?;
        Ok(())
    }

    /// Visits an integer of 32 bits.
    fn number_u32(&mut self, column: u16, value: &mut u32) -> Result<(), ColumnError> {
        let mut number = *value as u64;
        self.number(column, &mut number)?;
        *value = u32::try_from(number).map_err(|_| ColumnError::OutOfRange(column))?;
        Ok(())
    }

    /// Visits a flag: 0 is false, any other number is true.
    fn flag(&mut self, column: u16, value: &mut bool) -> Result<(), ColumnError> {
        let mut number = *value as u64;
        self.number(column, &mut number)?;
        *value = number != 0;
        Ok(())
    }

    /// Visits an enum value as its position in `variants`; minor versions may append variants at the end.
    fn variant<T: Copy + PartialEq>(
        &mut self,
        column: u16,
        value: &mut T,
        variants: &[T],
    ) -> Result<(), ColumnError> {
        let position = variants.iter().position(|variant| variant == value);
        let mut number = position.unwrap_or(0) as u64;
        self.number(column, &mut number)?;
        let position = usize::try_from(number).ok();
        match position.and_then(|position| variants.get(position)) {
            Some(variant) => *value = *variant,
            None => self.mark_unknown(),
        }
        Ok(())
    }

    /// Visits a flag that says whether there is a value, then the value with `visit`. Decoding starts from `blank`.
    fn optional<T>(
        &mut self,
        column: u16,
        value: &mut Option<T>,
        blank: T,
        visit: impl FnOnce(&mut Self, &mut T) -> Result<(), ColumnError>,
    ) -> Result<(), ColumnError> {
        let mut is_some = value.is_some();
        self.flag(column, &mut is_some)?;
        if !is_some {
            *value = None;
            return Ok(());
        }
        visit(self, value.get_or_insert(blank))
    }
}

/// Maps signed integers of small magnitude to small unsigned integers (zigzag encoding).
fn zigzag(value: i64) -> u64 {
    ((value << 1) ^ (value >> 63)) as u64
}

/// Reverses [`zigzag`].
fn unzigzag(value: u64) -> i64 {
    (value >> 1) as i64 ^ -((value & 1) as i64)
}
