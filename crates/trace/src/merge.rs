//! Many sidecars' traces in one, their clocks set against each other by what all of them were told.

use crate::file::{Reader, TraceError, Writer};
use crate::record::{Head, Record, Source, What};
use havenplank::interface::Nanos;
use havenplank_sidecar::events::Event;
use std::collections::HashMap;
use std::io::{Read, Seek, Write};

/// Shared events of a source that are compared; later ones are left out, the times before tell enough.
const EVENTS: usize = 4_096;
/// Pairs of which slopes are taken: every pair of so many points.
const POINTS: usize = 256;
/// No clock of use drifts faster than this.
const DRIFT: f64 = 1e-3;
/// Points and time that a slope needs; with less only the offset is told.
const FEW: usize = 8;
const SHORT: f64 = 2e9;

/// How a source's clock is read: its wall clock, put right by an offset and a drift.
#[derive(Clone, Debug, PartialEq)]
pub struct Clock {
    pub name: String,
    pub life: u64,
    /// Added to its wall clock at its first shared event, in nanoseconds.
    pub offset: i64,
    /// Nanoseconds added for each that passes.
    pub drift: f64,
    /// Shared events that it was set by; 0 where it was taken as it stands, or as another life of its name.
    pub events: usize,
    /// Half of these events lie within so many nanoseconds of where the clock now puts them.
    pub spread: Nanos,
    from: i128,
}

impl Clock {
    fn at(&self, wall: i128) -> i128 {
        wall + self.offset as i128 + ((wall - self.from) as f64 * self.drift) as i128
    }
}

/// What two sidecars hear of in the same words: the state of a pod's life, and a stage. The first hearing counts.
type SharedEvent = (u64, u64, u64, u64);

fn wall(source: &Source, own: Nanos) -> i128 {
    source.wall as i128 + own as i128 - source.began as i128
}

/// A text as a number, the same in every process.
fn number(text: &str) -> u64 {
    let hash = blake3::hash(text.as_bytes());
    hash.as_bytes()
        .first_chunk()
        .map_or(0, |chunk| u64::from_le_bytes(*chunk))
}

/// The first hearing of each shared event, by the sources' own walls. Reads only blocks that hold such.
fn events<R: Read + Seek>(
    reader: &mut Reader<R>,
) -> Result<Vec<HashMap<SharedEvent, i128>>, TraceError> {
    let sources = reader.head.sources.clone();
    let mut heard: Vec<HashMap<SharedEvent, i128>> = vec![HashMap::new(); sources.len()];
    let wanted: Vec<usize> = reader
        .index
        .iter()
        .enumerate()
        .filter(|(_, entry)| entry.shared > 0)
        .map(|(n, _)| n)
        .collect();
    for block in wanted {
        let mut left = reader.index[block].records as u64;
        reader.seek(block);
        while left > 0 {
            let skipped = reader.skipped();
            let Some(record) = reader.record()? else {
                break;
            };
            left = left.saturating_sub(1 + reader.skipped() - skipped);
            let (heard, at) = (
                &mut heard[record.source],
                wall(&sources[record.source], record.own),
            );
            if heard.len() >= EVENTS {
                continue;
            }
            match &record.what {
                What::Event(Event::StageChanged(stage)) => {
                    let event = (
                        0,
                        stage.build as u64,
                        stage.stage as u64,
                        stage.phase as u64,
                    );
                    heard.entry(event).or_insert(at);
                }
                // What a list tells at a start was true before; only changes are news to all at once.
                What::Event(Event::EndpointsListed {
                    complete: false,
                    pods,
                    ..
                }) => {
                    for pod in pods {
                        heard
                            .entry((1, number(&pod.name), pod.incarnation, pod.state as u64))
                            .or_insert(at);
                    }
                }
                _ => {}
            }
        }
    }
    Ok(heard)
}

fn median<T: Copy + PartialOrd>(values: &mut [T]) -> Option<T> {
    let middle = values.len().checked_sub(1)? / 2;
    let order = |a: &T, b: &T| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal);
    Some(*values.select_nth_unstable_by(middle, order).1)
}

/// The offset and drift that lay these points, (own wall, true wall), on each other: medians of slopes and of
/// what is left, so that single late hearings pull at neither.
fn fit(points: &mut [(i128, i128)]) -> Option<(i128, i64, f64, Nanos)> {
    points.sort_unstable();
    let (first, last) = (points.first()?.0, points.last()?.0);
    let step = points.len().div_ceil(POINTS);
    let few: Vec<(f64, f64)> = points
        .iter()
        .step_by(step)
        .map(|(own, told)| ((own - first) as f64, (told - own) as f64))
        .collect();
    let mut slopes = Vec::new();
    for (n, a) in few.iter().enumerate() {
        // Near points tell of their lateness and not of drift.
        let far = few[n + 1..]
            .iter()
            .filter(|b| b.0 - a.0 >= (last - first) as f64 / 4.0 && b.0 > a.0);
        slopes.extend(far.map(|b| (b.1 - a.1) / (b.0 - a.0)));
    }
    let long = few.len() >= FEW && (last - first) as f64 >= SHORT;
    let drift = if long {
        median(&mut slopes)?.clamp(-DRIFT, DRIFT)
    } else {
        0.0
    };
    let mut rests: Vec<f64> = few.iter().map(|(own, apart)| apart - own * drift).collect();
    let offset = median(&mut rests)?;
    let mut spread: Vec<f64> = rests.iter().map(|rest| (rest - offset).abs()).collect();
    Some((first, offset as i64, drift, median(&mut spread)? as Nanos))
}

/// Sets the clocks: first the source with the most events, as it stands; then, each time, the one that shares
/// the most events with those set before.
fn clocks(sources: &[Source], heard: &[HashMap<SharedEvent, i128>]) -> Vec<Clock> {
    let blank = |source: &Source| Clock {
        name: source.terms.name.clone(),
        life: source.life,
        offset: 0,
        drift: 0.0,
        events: 0,
        spread: 0,
        from: source.wall as i128,
    };
    let mut clocks: Vec<Clock> = sources.iter().map(blank).collect();
    let mut left: Vec<usize> = (0..sources.len()).collect();
    let mut agreed: HashMap<SharedEvent, Vec<i128>> = HashMap::new();
    while !left.is_empty() {
        let shared = |n: usize| match agreed.is_empty() {
            true => heard[n].len(),
            false => heard[n]
                .keys()
                .filter(|event| agreed.contains_key(event))
                .count(),
        };
        // Of equals the first.
        let best = (0..left.len())
            .max_by_key(|at| (shared(left[*at]), std::cmp::Reverse(*at)))
            .unwrap_or(0);
        let n = left.remove(best);
        let together = |(event, own): (&SharedEvent, &i128)| {
            let told = agreed.get(event)?;
            Some((*own, median(&mut told.clone())?))
        };
        let mut points: Vec<(i128, i128)> = heard[n].iter().filter_map(together).collect();
        if let Some((from, offset, drift, spread)) = fit(&mut points) {
            let events = points.len();
            clocks[n] = Clock {
                offset,
                drift,
                events,
                spread,
                from,
                ..clocks[n].clone()
            };
        } else if let Some(other) = (0..sources.len())
            .filter(|other| {
                !left.contains(other) && *other != n && clocks[*other].name == clocks[n].name
            })
            .max_by_key(|other| clocks[*other].events)
        {
            // Nothing in common, but another life of the same sidecar on the same machine's clock.
            let Clock {
                offset,
                drift,
                from,
                ..
            } = clocks[other];
            clocks[n] = Clock {
                offset,
                drift,
                from,
                ..clocks[n].clone()
            };
        }
        for (event, own) in &heard[n] {
            agreed.entry(*event).or_default().push(clocks[n].at(*own));
        }
    }
    clocks
}

/// Parts of one life come one after the other and count as one source.
fn sources_of<R: Read + Seek>(
    readers: &[Reader<R>],
) -> Result<(Vec<Source>, Vec<Vec<usize>>), TraceError> {
    let (mut sources, mut places): (Vec<Source>, Vec<Vec<usize>>) = (Vec::new(), Vec::new());
    let mut parts: Vec<u64> = Vec::new();
    for reader in readers {
        let mut of = Vec::new();
        for source in &reader.head.sources {
            let known = sources
                .iter()
                .position(|s| s.life == source.life && s.terms.name == source.terms.name);
            match known {
                Some(at) if source.part == parts[at] + 1 => {
                    parts[at] += 1;
                    sources[at].whole &= source.whole;
                    sources[at].until = source.until;
                    of.push(at);
                }
                Some(at) => {
                    let (name, part) = (&source.terms.name, source.part);
                    let why = format!(
                        "{name}: part {part} after part {}; expected the files in order",
                        parts[at]
                    );
                    return Err(TraceError::Unfit(why));
                }
                None => {
                    of.push(sources.len());
                    parts.push(source.part);
                    sources.push(source.clone());
                }
            }
        }
        places.push(of);
    }
    Ok((sources, places))
}

/// Writes all records of all files to one, by time. The clock of the outcome is nanoseconds since 1970, as the
/// source with the most shared events has it. Records of one source keep their order, whatever the clocks
/// say; equal times go by source. Holds a block of each file.
///
/// # Errors
/// Files that do not go together; damage in any of them, before anything is written where it lies in a block
/// with shared events.
pub fn merge<R: Read + Seek, W: Write>(
    mut readers: Vec<Reader<R>>,
    out: W,
) -> Result<Vec<Clock>, TraceError> {
    if readers
        .iter()
        .any(|reader| reader.head.anonymised != readers[0].head.anonymised)
    {
        return Err(TraceError::Unfit(
            "some are anonymised and some are not: their names differ".to_string(),
        ));
    }
    let (sources, places) = sources_of(&readers)?;
    let mut heard: Vec<HashMap<SharedEvent, i128>> = vec![HashMap::new(); sources.len()];
    for (reader, of) in readers.iter_mut().zip(&places) {
        for (events, place) in events(reader)?.into_iter().zip(of) {
            for (event, at) in events {
                heard[*place].entry(event).or_insert(at);
            }
        }
        reader.seek(0);
    }
    let clocks = clocks(&sources, &heard);
    let anonymised = readers.first().is_some_and(|reader| reader.head.anonymised);
    let head = Head {
        anonymised,
        merged: true,
        ..Head::new(sources.clone())
    };
    let mut writer = Writer::new(out, &head, Vec::new())?;
    let mut lines: Vec<Line<R>> = Vec::new();
    for (reader, places) in readers.into_iter().zip(places) {
        lines.push(Line {
            reader,
            places,
            next: None,
            last: vec![0; sources.len()],
            skipped: 0,
        });
    }
    // Parts of one life must not overtake each other: each waits for the one before it.
    let mut floors: Vec<Nanos> = vec![0; sources.len()];
    for line in &mut lines {
        line.step(&clocks, &sources)?;
    }
    loop {
        let ready = |n: &usize| {
            let Some(next) = &lines[*n].next else {
                return false;
            };
            !lines[..*n]
                .iter()
                .any(|line| line.next.is_some() && line.places.contains(&next.source))
        };
        let key = |n: &usize| {
            lines[*n]
                .next
                .as_ref()
                .map(|next| (next.at, next.source, *n))
        };
        let Some(n) = (0..lines.len()).filter(ready).min_by_key(key) else {
            break;
        };
        let Some(mut record) = lines[n].next.take() else {
            break;
        };
        let floor = &mut floors[record.source];
        record.at = record.at.max(*floor);
        *floor = record.at;
        writer.put(record)?;
        lines[n].step(&clocks, &sources)?;
    }
    writer.finish()?;
    Ok(clocks)
}

/// One file on its way into the merged one.
struct Line<R> {
    reader: Reader<R>,
    /// The merged number of each of its sources.
    places: Vec<usize>,
    next: Option<Record>,
    last: Vec<Nanos>,
    skipped: u64,
}

impl<R: Read + Seek> Line<R> {
    fn step(&mut self, clocks: &[Clock], sources: &[Source]) -> Result<(), TraceError> {
        self.next = self.reader.record()?;
        self.skipped = self.reader.skipped();
        if let Some(record) = &mut self.next {
            record.source = self.places[record.source];
            let at = clocks[record.source].at(wall(&sources[record.source], record.own));
            let last = &mut self.last[record.source];
            *last = Nanos::try_from(at).unwrap_or(0).max(*last);
            record.at = *last;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use oorandom::Rand64;

    #[test]
    fn offset_and_drift_are_found_among_late_hearings() {
        let mut chance = Rand64::new(5);
        // Ten minutes, an event each second, heard up to 40 ms late on both sides and now and then much later.
        let mut points: Vec<(i128, i128)> = (0..600)
            .map(|n| {
                let own = 1_000_000_000_000i128 + n * 1_000_000_000;
                let late = |chance: &mut Rand64| chance.rand_range(0..40_000_000) as i128;
                let very = if chance.rand_range(0..20) == 0 {
                    2_000_000_000
                } else {
                    0
                };
                let told =
                    own + 2_500_000_000 + n * 80_000 + late(&mut chance) - late(&mut chance) + very;
                (own, told)
            })
            .collect();
        let (from, offset, drift, spread) = fit(&mut points).expect("points enough");
        assert_eq!(from, 1_000_000_000_000);
        assert!((offset - 2_500_000_000).abs() < 10_000_000, "{offset}");
        assert!((drift - 80e-6).abs() < 10e-6, "{drift}");
        assert!((1_000_000..30_000_000).contains(&spread), "{spread}");
        // Too few, or too close together, for a drift.
        assert_eq!(fit(&mut points[..5]).expect("points").2, 0.0);
        assert!(fit(&mut []).is_none());
    }
}
