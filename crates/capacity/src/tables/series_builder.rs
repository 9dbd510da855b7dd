//! Collects the points of several series.

use super::call_times::CallTimes;
use crate::report::{Point, Section, Series};

/// Collects points into one series for each name.
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

    /// Adds the value at a size to the series with this name.
    pub(super) fn add(&mut self, name: &str, size: usize, value: f64) {
        let point = Point {
            size: size as f64,
            value,
        };
        let column = self.columns.iter_mut().find(|column| column.name == name);
        match column {
            Some(column) => column.points.push(point),
            None => self.columns.push(Column {
                name: name.to_string(),
                points: vec![point],
            }),
        }
    }

    /// Adds the median and the 99th percentile of the times of some calls.
    pub(super) fn add_times(&mut self, call: &str, size: usize, times: &CallTimes) {
        self.add(&format!("{call}_p50_us"), size, times.quantile_us(0.5));
        self.add(&format!("{call}_p99_us"), size, times.quantile_us(0.99));
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
