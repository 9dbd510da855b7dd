//! The last value of each column, from which the difference of the next value is encoded.

use std::collections::HashMap;

/// The number of slots of a column that are stored in a vector; higher slots, of further route classes or sources,
/// are in a hash map.
const DENSE_SLOTS: u64 = 64;

/// The last value of each column and slot; 0 where there was none.
#[derive(Default)]
pub(super) struct LastValues {
    dense: Vec<Vec<u64>>,
    sparse: HashMap<(u16, u64), u64>,
}

impl LastValues {
    /// Returns the last value of a column's slot, to be read or replaced.
    pub(super) fn entry(&mut self, (column, slot): (u16, u64)) -> &mut u64 {
        if slot >= DENSE_SLOTS {
            return self.sparse.entry((column, slot)).or_default();
        }
        let (column, slot) = (column as usize, slot as usize);
        if self.dense.len() <= column {
            self.dense.resize(column + 1, Vec::new());
        }
        let slots = &mut self.dense[column];
        if slots.len() <= slot {
            slots.resize(slot + 1, 0);
        }
        &mut slots[slot]
    }
}
