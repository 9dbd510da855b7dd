//! Counts over a sliding window of time.

use crate::interface::Nanos;

/// Counts over a sliding window, kept in slices that are emptied as the window moves on.
#[derive(Clone)]
pub(crate) struct SlidingWindow {
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

    /// An empty window of the same span.
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
        for step in 0..(slice - self.latest.min(slice)).min(slices) {
            self.counts[((slice - step) % slices) as usize] = 0;
        }
        self.latest = self.latest.max(slice);
    }

    pub(crate) fn add(&mut self, now: Nanos) {
        self.advance(now);
        let slice = self.latest as usize % self.counts.len();
        self.counts[slice] += 1;
    }

    /// Never less than what the last span held.
    pub(crate) fn upper_bound(&mut self, now: Nanos) -> u32 {
        self.advance(now);
        self.counts.iter().sum()
    }

    /// Never more than what the last span held.
    pub(crate) fn lower_bound(&mut self, now: Nanos) -> u32 {
        let all = self.upper_bound(now);
        let latest = self.latest as usize;
        let slices = self.counts.len();
        all - self.counts[(latest + 1) % slices] - self.counts[(latest + 2) % slices]
    }
}
