//! Ranges of names, split so that no name is in two of them.

use serde::{Deserialize, Serialize};
use std::ops::Range;

/// The names from one on, up to another that is not among them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// The first name that can be in it.
    pub from: String,
    /// The first name behind it; `None` for no upper end.
    pub to: Option<String>,
}

/// A part of an interval, and the places of its names in the list that was split.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntervalPart {
    /// The part.
    pub interval: Interval,
    /// Places of its names in the list that was split.
    pub indices: Range<usize>,
}

impl Interval {
    /// Every name there can be.
    pub fn all() -> Interval {
        Interval {
            from: String::new(),
            to: None,
        }
    }

    /// Returns whether a name is in it.
    pub fn contains(&self, name: &str) -> bool {
        self.from.as_str() <= name && self.to.as_deref().is_none_or(|to| name < to)
    }

    /// The places of this interval's names in a sorted list.
    pub fn index_range<'a>(&self, count: usize, name: impl Fn(usize) -> &'a str) -> Range<usize> {
        let first = partition_point(count, |place| name(place) < self.from.as_str());
        let end = self
            .to
            .as_deref()
            .map_or(count, |to| partition_point(count, |place| name(place) < to));
        first..end.max(first)
    }

    /// Splits all of the interval but `own` into some `parts` disjoint intervals of about as many names of a sorted
    /// list each, two more at most; an interval without any of the names is left out.
    pub fn split_around<'a>(
        &self,
        own: &str,
        parts: usize,
        count: usize,
        name: impl Fn(usize) -> &'a str,
    ) -> Vec<IntervalPart> {
        let places = self.index_range(count, &name);
        let size = places.len().div_ceil(parts.max(1)).max(1);
        let mut split = Vec::new();
        let (below, above) = self.without(own);
        for side in [below, above].into_iter().flatten() {
            let places = side.index_range(count, &name);
            let starts: Vec<usize> = places.clone().step_by(size).collect();
            for (at, &start) in starts.iter().enumerate() {
                let next = starts.get(at + 1).copied();
                let from = if at == 0 {
                    side.from.clone()
                } else {
                    name(start).to_string()
                };
                let to = next.map_or(side.to.clone(), |next| Some(name(next).to_string()));
                let indices = start..next.unwrap_or(places.end);
                split.push(IntervalPart {
                    interval: Interval { from, to },
                    indices,
                });
            }
        }
        split
    }

    /// What lies below and above one name.
    fn without(&self, own: &str) -> (Option<Interval>, Option<Interval>) {
        if !self.contains(own) {
            return (Some(self.clone()), None);
        }
        let below = Interval {
            from: self.from.clone(),
            to: Some(own.to_string()),
        };
        // No string lies between a name and the same one with the lowest character behind it.
        let above = Interval {
            from: format!("{own}\0"),
            to: self.to.clone(),
        };
        (Some(below), Some(above))
    }
}

/// The first place at which `before` no longer holds.
fn partition_point(count: usize, before: impl Fn(usize) -> bool) -> usize {
    let (mut low, mut high) = (0, count);
    while low < high {
        let middle = low + (high - low) / 2;
        if before(middle) {
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
