//! Series that are filled size by size.

use super::call_times::CallTimes;
use crate::report::{Point, Section, Series};

/// One series for each name, filled size by size.
pub(super) struct SeriesBuilder {
    size_of: &'static str,
    columns: Vec<Column>,
}

struct Column {
    name: String,
    points: Vec<Point>,
}

impl SeriesBuilder {
    pub(super) fn new(size_of: &'static str) -> SeriesBuilder {
        SeriesBuilder {
            size_of,
            columns: Vec::new(),
        }
    }

    /// Adds a value at a size to the series of a name.
    pub(super) fn put(&mut self, name: &str, size: usize, value: f64) {
        let point = Point {
            size: size as f64,
            value,
        };
        let known = self.columns.iter_mut().find(|column| column.name == name);
        match known {
            Some(column) => column.points.push(point),
            None => self.columns.push(Column {
                name: name.to_string(),
                points: vec![point],
            }),
        }
    }

    /// Adds the median and the 99th percentile of some times.
    pub(super) fn put_times(&mut self, what: &str, size: usize, timed: &CallTimes) {
        self.put(&format!("{what}_p50_us"), size, timed.us(0.5));
        self.put(&format!("{what}_p99_us"), size, timed.us(0.99));
    }

    pub(super) fn section(self, title: &str, notes: &[&str]) -> Section {
        let size_of = self.size_of;
        let series = |column: Column| Series::new(&column.name, size_of, "process", column.points);
        Section {
            title: title.to_string(),
            series: self.columns.into_iter().map(series).collect(),
            notes: notes.iter().map(|note| note.to_string()).collect(),
        }
    }
}
