//! Aligns the clocks of sources by their shared events.

use super::shared_events::{FirstReceived, SharedEvent};
use crate::record::Source;
use havenplank::interface::Nanos;
use std::cmp::{Ordering, Reverse};
use std::collections::HashMap;

/// The largest number of points between which slopes are computed; each point is paired with each later one.
const MAX_POINTS: usize = 256;
/// The largest clock drift that is accepted, in nanoseconds per nanosecond.
const MAX_DRIFT: f64 = 1e-3;
/// The number of points from which a drift is computed; with fewer points only the offset is computed.
const MIN_DRIFT_POINTS: usize = 8;
/// The time span in nanoseconds from which a drift is computed; for a shorter one only the offset is computed.
const MIN_DRIFT_SPAN_NS: f64 = 2e9;

/// The correction of a source's clock by an offset and a drift.
#[derive(Clone, Debug, PartialEq)]
pub struct Clock {
    /// The sidecar's name.
    pub name: String,
    /// The sidecar's incarnation.
    pub incarnation: u64,
    /// Nanoseconds added to the wall clock at the first shared event.
    pub offset: i64,
    /// Nanoseconds added for each nanosecond since the first shared event.
    pub drift: f64,
    /// The number of shared events that the clock was aligned by; 0 where the clock was not corrected, or was corrected
    /// like another incarnation of the same name.
    pub events: usize,
    /// Half of the shared events are within this many nanoseconds of their time in the other sources.
    pub spread: Nanos,
    /// Wall clock time of the first shared event, in nanoseconds since 1970.
    from: i128,
}

impl Clock {
    /// Returns the corrected time of a time on the source's wall clock, in nanoseconds since 1970.
    pub(super) fn corrected(&self, wall_time: i128) -> i128 {
        wall_time + self.offset as i128 + ((wall_time - self.from) as f64 * self.drift) as i128
    }

    fn correct(&mut self, correction: &Correction, events: usize) {
        self.offset = correction.offset;
        self.drift = correction.drift;
        self.spread = correction.spread;
        self.from = correction.from;
        self.events = events;
    }
}

/// Aligns the clocks. The clock of the source with the most shared events is the reference and is not corrected. Then
/// the remaining source that shares the most events with the aligned sources is aligned, until none remains.
pub(super) fn align(sources: &[Source], received: &[FirstReceived]) -> Vec<Clock> {
    let mut clocks: Vec<Clock> = sources.iter().map(uncorrected).collect();
    let mut remaining: Vec<usize> = (0..sources.len()).collect();
    let mut aligned: HashMap<SharedEvent, Vec<i128>> = HashMap::new();
    while let Some(source) = take_best(&mut remaining, received, &aligned) {
        let mut points = common_points(&received[source], &aligned);
        if let Some(correction) = fit(&mut points) {
            clocks[source].correct(&correction, points.len());
        } else if let Some(other) = other_incarnation(&clocks, &remaining, source) {
            // No event in common, but another incarnation of the same sidecar ran on the same machine's clock.
            let correction = Correction {
                from: clocks[other].from,
                offset: clocks[other].offset,
                drift: clocks[other].drift,
                spread: 0,
            };
            clocks[source].correct(&correction, 0);
        }
        for (event, own) in &received[source] {
            let at = clocks[source].corrected(*own);
            aligned.entry(*event).or_default().push(at);
        }
    }
    clocks
}

fn uncorrected(source: &Source) -> Clock {
    Clock {
        name: source.settings.name.clone(),
        incarnation: source.incarnation,
        offset: 0,
        drift: 0.0,
        events: 0,
        spread: 0,
        from: source.wall_start as i128,
    }
}

/// Removes and returns the source that shares the most events with the aligned sources; the first one of several.
fn take_best(
    remaining: &mut Vec<usize>,
    received: &[FirstReceived],
    aligned: &HashMap<SharedEvent, Vec<i128>>,
) -> Option<usize> {
    let shared = |source: usize| {
        let events = received[source].keys();
        let is_first = aligned.is_empty();
        events
            .filter(|event| is_first || aligned.contains_key(event))
            .count()
    };
    let positions = 0..remaining.len();
    let best = positions.max_by_key(|at| (shared(remaining[*at]), Reverse(*at)))?;
    Some(remaining.remove(best))
}

/// Returns two times of each event that an aligned source received: by the source's own clock, and the median of the
/// aligned clocks.
fn common_points(
    received: &FirstReceived,
    aligned: &HashMap<SharedEvent, Vec<i128>>,
) -> Vec<(i128, i128)> {
    let point = |(event, own): (&SharedEvent, &i128)| {
        let mut times = aligned.get(event)?.clone();
        Some((*own, median(&mut times)?))
    };
    received.iter().filter_map(point).collect()
}

/// Returns the aligned source of the same name that was aligned by the most events; the last one of several.
fn other_incarnation(clocks: &[Clock], remaining: &[usize], source: usize) -> Option<usize> {
    (0..clocks.len())
        .filter(|other| *other != source && !remaining.contains(other))
        .filter(|other| clocks[*other].name == clocks[source].name)
        .max_by_key(|other| clocks[*other].events)
}

/// An offset and a drift to correct a clock by.
struct Correction {
    /// Time on the clock from which the drift applies, in nanoseconds since 1970.
    from: i128,
    offset: i64,
    drift: f64,
    spread: Nanos,
}

/// Fits an offset and a drift to points of (own time, aligned time): the medians of the slopes and of the residuals
/// (the Theil-Sen estimator), so that events that were received late have no weight. Returns `None` without points.
fn fit(points: &mut [(i128, i128)]) -> Option<Correction> {
    points.sort_unstable();
    let (first, last) = (points.first()?.0, points.last()?.0);
    let span = (last - first) as f64;
    let step = points.len().div_ceil(MAX_POINTS);
    let sampled = points.iter().step_by(step);
    let sampled: Vec<(f64, f64)> = sampled
        .map(|(own, aligned)| ((own - first) as f64, (aligned - own) as f64))
        .collect();
    let has_drift = sampled.len() >= MIN_DRIFT_POINTS && span >= MIN_DRIFT_SPAN_NS;
    let drift = if has_drift {
        median(&mut slopes(&sampled, span))?.clamp(-MAX_DRIFT, MAX_DRIFT)
    } else {
        0.0
    };
    let residual = |(own, difference): &(f64, f64)| difference - own * drift;
    let mut residuals: Vec<f64> = sampled.iter().map(residual).collect();
    let offset = median(&mut residuals)?;
    let deviations = residuals.iter().map(|residual| (residual - offset).abs());
    let mut deviations: Vec<f64> = deviations.collect();
    Some(Correction {
        from: first,
        offset: offset as i64,
        drift,
        spread: median(&mut deviations)? as Nanos,
    })
}

/// Returns the slopes between points that are at least a quarter of the span apart: the slope between nearer points
/// depends on how late the events were received, not on the drift.
fn slopes(points: &[(f64, f64)], span: f64) -> Vec<f64> {
    let mut slopes = Vec::new();
    for (index, a) in points.iter().enumerate() {
        let later = points[index + 1..].iter();
        let far = later.filter(|b| b.0 - a.0 >= span / 4.0 && b.0 > a.0);
        slopes.extend(far.map(|b| (b.1 - a.1) / (b.0 - a.0)));
    }
    slopes
}

/// Returns the lower median; `None` without values.
fn median<T: Copy + PartialOrd>(values: &mut [T]) -> Option<T> {
    let middle = values.len().checked_sub(1)? / 2;
    let order = |a: &T, b: &T| a.partial_cmp(b).unwrap_or(Ordering::Equal);
    Some(*values.select_nth_unstable_by(middle, order).1)
}

#[cfg(test)]
mod tests {
    use super::*;
    use oorandom::Rand64;

    #[test]
    fn finds_offset_and_drift_when_some_events_arrive_late() {
        let mut random = Rand64::new(5);
        // Ten minutes with an event each second, received up to 40 ms late by both sides and sometimes 2 s later.
        let mut points: Vec<(i128, i128)> = (0..600)
            .map(|n| {
                let own = 1_000_000_000_000i128 + n * 1_000_000_000;
                let late = |random: &mut Rand64| random.rand_range(0..40_000_000) as i128;
                let very_late = if random.rand_range(0..20) == 0 {
                    2_000_000_000
                } else {
                    0
                };
                let aligned = own + 2_500_000_000 + n * 80_000 + late(&mut random)
                    - late(&mut random)
                    + very_late;
                (own, aligned)
            })
            .collect();
        let Correction {
            from,
            offset,
            drift,
            spread,
        } = fit(&mut points).expect("enough points");
        assert_eq!(from, 1_000_000_000_000);
        assert!((offset - 2_500_000_000).abs() < 10_000_000, "{offset}");
        assert!((drift - 80e-6).abs() < 10e-6, "{drift}");
        assert!((1_000_000..30_000_000).contains(&spread), "{spread}");
        // These points are too few, and too close together, for a drift.
        assert_eq!(fit(&mut points[..5]).expect("points").drift, 0.0);
        assert!(fit(&mut []).is_none());
    }
}
