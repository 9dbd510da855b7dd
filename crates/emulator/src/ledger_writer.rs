//! The ledger while it is written: events of all emulated components, on one clock.

use havenplank::interface::Nanos;
use havenplank_invariants::ledger::{Entry, LedgerEvent, MAX_ENTRIES};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// Collects the entries of a ledger; clones write to the same one.
#[derive(Clone)]
pub struct LedgerWriter {
    began: Instant,
    /// Up to [`MAX_ENTRIES`] entries, and the number of further ones, which are dropped and reported with the outcome.
    contents: Rc<RefCell<(Vec<Entry>, u64)>>,
}

impl LedgerWriter {
    /// Starts an empty ledger and its clock.
    pub fn new() -> LedgerWriter {
        LedgerWriter {
            began: Instant::now(),
            contents: Rc::default(),
        }
    }

    /// Nanoseconds since the ledger was started.
    pub fn now(&self) -> Nanos {
        self.began.elapsed().as_nanos() as Nanos
    }

    /// Records an event and returns its time.
    pub fn write(&self, event: LedgerEvent) -> Nanos {
        let at = self.now();
        let (entries, lost) = &mut *self.contents.borrow_mut();
        if entries.len() < MAX_ENTRIES {
            entries.push(Entry { at, event });
        } else {
            *lost += 1;
        }
        at
    }

    /// Takes the entries so far, in order of time, and returns them with the number of dropped ones.
    pub fn take(&self) -> (Vec<Entry>, u64) {
        let (entries, lost) = &mut *self.contents.borrow_mut();
        (std::mem::take(entries), *lost)
    }
}

impl Default for LedgerWriter {
    fn default() -> LedgerWriter {
        LedgerWriter::new()
    }
}
