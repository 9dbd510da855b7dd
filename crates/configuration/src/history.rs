//! The latest deltas, for peers that are only a few versions behind.

use crate::delta::Delta;
use crate::version::Version;
use std::collections::VecDeque;
use std::sync::Arc;

/// A chain of deltas, each of which builds on the version that the one before it leads to. The oldest are dropped when
/// the chain exceeds its limits.
#[derive(Clone, Debug)]
pub struct History {
    max_deltas: usize,
    max_bytes: usize,
    bytes: usize,
    deltas: VecDeque<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    delta: Arc<Delta>,
    bytes: usize,
}

impl History {
    /// Returns an empty history that keeps at most `max_deltas` deltas and `max_bytes` encoded bytes.
    pub fn new(max_deltas: usize, max_bytes: usize) -> History {
        History {
            max_deltas,
            max_bytes,
            bytes: 0,
            deltas: VecDeque::new(),
        }
    }

    /// Adds the next delta. A delta that does not build on the version of the last one begins a new chain.
    pub fn push(&mut self, delta: Arc<Delta>) {
        if self
            .deltas
            .back()
            .is_some_and(|last| last.delta.to != delta.from)
        {
            self.deltas.clear();
            self.bytes = 0;
        }
        let bytes = delta.encode().len();
        self.bytes += bytes;
        self.deltas.push_back(Entry { delta, bytes });
        while self.deltas.len() > self.max_deltas || self.bytes > self.max_bytes {
            let Some(oldest) = self.deltas.pop_front() else {
                return;
            };
            self.bytes -= oldest.bytes;
        }
    }

    /// Returns all deltas after a version; an empty list for the newest version. `None` if the history no longer has
    /// every delta since then, so that the complete snapshot is needed.
    pub fn since(&self, have: Version) -> Option<Vec<Arc<Delta>>> {
        if self.deltas.back()?.delta.to == have {
            return Some(Vec::new());
        }
        let first = self
            .deltas
            .iter()
            .position(|entry| entry.delta.from == have)?;
        Some(
            self.deltas
                .range(first..)
                .map(|entry| Arc::clone(&entry.delta))
                .collect(),
        )
    }
}
