//! Counts of events in a sliding time window.

use crate::interface::Nanos;

/// A count of the events in a sliding time window. The window is divided into slices, which are reset as it moves on.
#[derive(Clone)]
pub(crate) struct SlidingWindow {
    /// The duration of a slice.
    slice: Nanos,
    /// The number of the latest slice, counted from the clock's zero.
    latest: Nanos,
    counts: Vec<u32>,
}

impl SlidingWindow {
    pub(crate) fn new(span: Nanos, slices: usize) -> SlidingWindow {
        SlidingWindow {
            slice: (span / slices as Nanos).max(1),
            latest: 0,
            counts: vec![0; slices + 1],
        }
    }

    /// Returns an empty window of the same span.
    pub(crate) fn emptied(&self) -> SlidingWindow {
        SlidingWindow {
            slice: self.slice,
            latest: 0,
            counts: vec![0; self.counts.len()],
        }
    }

    fn advance(&mut self, now: Nanos) {
        let slice = now / self.slice;
        let slices = self.counts.len() as Nanos;
        for offset in 0..(slice - self.latest.min(slice)).min(slices) {
            self.counts[((slice - offset) % slices) as usize] = 0;
        }
        self.latest = self.latest.max(slice);
    }

    pub(crate) fn add(&mut self, now: Nanos) {
        self.advance(now);
        let slice = self.latest as usize % self.counts.len();
        self.counts[slice] += 1;
    }

    /// Returns a count that is never lower than the number of events in the window.
    pub(crate) fn upper_bound(&mut self, now: Nanos) -> u32 {
        self.advance(now);
        self.counts.iter().sum()
    }

    /// Returns a count that is never higher than the number of events in the window.
    pub(crate) fn lower_bound(&mut self, now: Nanos) -> u32 {
        let all = self.upper_bound(now);
        let latest = self.latest as usize;
        let slices = self.counts.len();
        all - self.counts[(latest + 1) % slices] - self.counts[(latest + 2) % slices]
    }
}
