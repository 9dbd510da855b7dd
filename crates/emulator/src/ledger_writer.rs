//! The ledger while it is written: entries from all stand-ins, on one clock.

use havenplank::interface::Nanos;
use havenplank_invariants::ledger::{Entry, LedgerEvent, MAX_ENTRIES};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

#[derive(Clone)]
pub struct LedgerWriter {
    began: Instant,
    /// No more than a ledger may hold; what comes beyond is counted and lost, and the day says so.
    contents: Rc<RefCell<(Vec<Entry>, u64)>>,
}

impl LedgerWriter {
    pub fn new() -> LedgerWriter {
        LedgerWriter {
            began: Instant::now(),
            contents: Rc::default(),
        }
    }

    pub fn now(&self) -> Nanos {
        self.began.elapsed().as_nanos() as Nanos
    }

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

    /// All entries so far in order of time, and how many were lost.
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
