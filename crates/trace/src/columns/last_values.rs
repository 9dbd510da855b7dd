//! The value last seen in each column, which the next value is encoded against.

use std::collections::HashMap;

/// Slots of a column that are stored side by side; a route class or source beyond them is found by hash.
const DENSE_SLOTS: u64 = 64;

/// What was last seen, by column and slot; 0 where nothing was.
#[derive(Default)]
pub(super) struct LastValues {
    dense: Vec<Vec<u64>>,
    sparse: HashMap<(u16, u64), u64>,
}

impl LastValues {
    /// Returns the value of a column's slot, to be read or replaced.
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
