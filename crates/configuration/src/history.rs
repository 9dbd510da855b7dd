//! The latest deltas, for peers that are a little behind.

use crate::delta::Delta;
use crate::version::Version;
use std::collections::VecDeque;
use std::sync::Arc;

/// A chain of deltas, each beginning where the one before it ends; the oldest are dropped past the bounds.
#[derive(Clone, Debug)]
pub struct History {
    most: usize,
    most_bytes: usize,
    bytes: usize,
    deltas: VecDeque<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    delta: Arc<Delta>,
    bytes: usize,
}

impl History {
    /// A history of at most `most` deltas and `most_bytes` encoded bytes.
    pub fn new(most: usize, most_bytes: usize) -> History {
        History {
            most,
            most_bytes,
            bytes: 0,
            deltas: VecDeque::new(),
        }
    }

    /// Adds the next delta. One that does not begin where the last ends begins a new chain.
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
        while self.deltas.len() > self.most || self.bytes > self.most_bytes {
            let Some(oldest) = self.deltas.pop_front() else {
                return;
            };
            self.bytes -= oldest.bytes;
        }
    }

    /// All deltas that lead on from a version; none of them for the newest one itself. `None` where no whole chain
    /// from there is left: the whole snapshot is needed.
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
