//! Measured figures by size, and the straight lines fitted through them.

use serde::Serialize;
use std::fmt;

/// One measured figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size at which it was measured: a number of sidecars, pods, pod groups, routes or tenants.
    pub size: f64,
    /// The measured value, in the unit at the end of the name of its series.
    pub value: f64,
}

/// A straight line through the points of a series, by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Growth of the value when the size grows by 1.
    pub slope: f64,
    /// The value at size 0.
    pub intercept: f64,
    /// The largest difference between a value and the line, as a share of the largest absolute value.
    pub spread: f64,
}

/// One quantity at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Series {
    /// The measured quantity, with its unit at the end, for example `received_bytes_per_s`.
    pub name: String,
    /// What [`Point::size`] counts, for example `sidecars`, `pods`, `routes` or `tenants`.
    pub size_of: String,
    /// How it was measured: `simulated` (on the simulated network), `sockets` (over loopback), `process` (in this
    /// process or in child processes) or `encoded` (computed from the sizes of encoded lines).
    pub measured_on: String,
    /// One point for each size, in the order in which they were measured.
    pub points: Vec<Point>,
    /// The line through the points; `None` for fewer than two sizes.
    pub fit: Option<Fit>,
}

impl Series {
    /// Returns a series with a line fitted through its points.
    pub fn new(name: &str, size_of: &str, measured_on: &str, points: Vec<Point>) -> Series {
        let fit = fit(&points);
        Series {
            name: name.to_string(),
            size_of: size_of.to_string(),
            measured_on: measured_on.to_string(),
            points,
            fit,
        }
    }

    /// Returns the value of the fitted line at a size, and the ratio of that size to the largest measured one.
    pub fn extrapolate(&self, size: f64) -> Option<(f64, f64)> {
        let largest = self
            .points
            .iter()
            .map(|point| point.size)
            .fold(0.0, f64::max);
        self.fit.map(|fit| {
            (
                fit.intercept + fit.slope * size,
                size / largest.max(f64::MIN_POSITIVE),
            )
        })
    }
}

/// Series that were measured together.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Section {
    /// What was measured.
    pub title: String,
    /// The measured quantities.
    pub series: Vec<Series>,
    /// What a reader needs to interpret the figures: seeds, durations, and what was left out or skipped.
    pub notes: Vec<String>,
}

/// Fits a straight line by least squares. Returns `None` for fewer than two different sizes.
pub fn fit(points: &[Point]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let variance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size).powi(2))
        .sum();
    if points.len() < 2 || variance <= 0.0 {
        return None;
    }
    let covariance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size) * (point.value - mean_value))
        .sum();
    let slope = covariance / variance;
    let intercept = mean_value - slope * mean_size;
    let distance = |point: &Point| (point.value - intercept - slope * point.size).abs();
    let largest = points
        .iter()
        .map(|point| point.value.abs())
        .fold(0.0, f64::max);
    let spread = points.iter().map(distance).fold(0.0, f64::max) / largest.max(f64::MIN_POSITIVE);
    Some(Fit {
        slope,
        intercept,
        spread,
    })
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "## {}", self.title)?;
        for series in &self.series {
            writeln!(
                f,
                "{} by {} ({})",
                series.name, series.size_of, series.measured_on
            )?;
            for point in &series.points {
                writeln!(f, "  {:>10} {:>16.4}", point.size, point.value)?;
            }
            if let Some(fit) = series.fit {
                let Fit {
                    slope,
                    intercept,
                    spread,
                } = fit;
                writeln!(
                    f,
                    "  slope {slope:.6}, at 0 {intercept:.4}, spread {:.1}%",
                    100.0 * spread
                )?;
            }
        }
        for note in &self.notes {
            writeln!(f, "note: {note}")?;
        }
        Ok(())
    }
}
