//! Intervals of peer names, and how one is split into disjoint parts.

use serde::{Deserialize, Serialize};
use std::ops::Range;

/// The names from `from` on, up to but not including `to`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// The lowest name that is in the interval.
    pub from: String,
    /// The lowest name above the interval; `None` for no upper end.
    pub to: Option<String>,
}

/// A part of an interval, with its share of the list of names by which the interval was split.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntervalPart {
    /// The interval that this part covers.
    pub interval: Interval,
    /// Indices of its names in that list.
    pub indices: Range<usize>,
}

impl Interval {
    /// Returns the interval of all possible names.
    pub fn all() -> Interval {
        Interval {
            from: String::new(),
            to: None,
        }
    }

    /// Returns whether a name is in the interval.
    pub fn contains(&self, name: &str) -> bool {
        self.from.as_str() <= name && self.to.as_deref().is_none_or(|to| name < to)
    }

    /// Returns the indices of this interval's names in a sorted list of `count` names.
    pub fn index_range<'a>(&self, count: usize, name: impl Fn(usize) -> &'a str) -> Range<usize> {
        let first = partition_point(count, |index| name(index) < self.from.as_str());
        let end = self
            .to
            .as_deref()
            .map_or(count, |to| partition_point(count, |index| name(index) < to));
        first..end.max(first)
    }

    /// Splits the interval without the name `own` into disjoint intervals, each with about as many names of a sorted
    /// list of `count` names. Returns about `parts` of them, at most two more; intervals without any name of the list
    /// are left out.
    pub fn split_around<'a>(
        &self,
        own: &str,
        parts: usize,
        count: usize,
        name: impl Fn(usize) -> &'a str,
    ) -> Vec<IntervalPart> {
        let indices = self.index_range(count, &name);
        let names_per_part = indices.len().div_ceil(parts.max(1)).max(1);
        let mut split_parts = Vec::new();
        let (below, above) = self.split_at(own);
        for side in [below, above].into_iter().flatten() {
            let side_indices = side.index_range(count, &name);
            let starts: Vec<usize> = side_indices.clone().step_by(names_per_part).collect();
            for (position, &start) in starts.iter().enumerate() {
                let next = starts.get(position + 1).copied();
                let from = if position == 0 {
                    side.from.clone()
                } else {
                    name(start).to_string()
                };
                let to = next.map_or(side.to.clone(), |next| Some(name(next).to_string()));
                let indices = start..next.unwrap_or(side_indices.end);
                split_parts.push(IntervalPart {
                    interval: Interval { from, to },
                    indices,
                });
            }
        }
        split_parts
    }

    /// Returns the intervals below and above the name `own`; the complete interval and `None` if `own` is not in it.
    fn split_at(&self, own: &str) -> (Option<Interval>, Option<Interval>) {
        if !self.contains(own) {
            return (Some(self.clone()), None);
        }
        let below = Interval {
            from: self.from.clone(),
            to: Some(own.to_string()),
        };
        // No string sorts between a name and the same name with the lowest character, `\0`, appended.
        let above = Interval {
            from: format!("{own}\0"),
            to: self.to.clone(),
        };
        (Some(below), Some(above))
    }
}

/// Returns the first index for which `is_before` is false, by binary search.
fn partition_point(count: usize, is_before: impl Fn(usize) -> bool) -> usize {
    let (mut low, mut high) = (0, count);
    while low < high {
        let middle = low + (high - low) / 2;
        if is_before(middle) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    low
}

#[cfg(test)]
#[path = "../tests/unit/interval.rs"]
mod tests;
