//! Merges the traces of many sidecars into one. The clocks are aligned by the events that several sidecars received.

mod clocks;
mod shared_events;

pub use clocks::Clock;

use crate::file::{Reader, TraceError, Writer};
use crate::record::{Head, Record, Source};
use havenplank::interface::Nanos;
use shared_events::{shared_events, wall_time, FirstReceived};
use std::io::{Read, Seek, Write};

/// Writes all records of all files to one file, ordered by time, and returns how each source's clock was corrected.
/// Times in the merged file are nanoseconds since 1970 by the clock of the source with the most shared events. Records
/// of one source keep their order, whatever their corrected times are; records of equal time are ordered by source.
/// Keeps one block of each file in memory.
///
/// # Errors
/// The files cannot be merged, a file is damaged, or the output fails. Damage in a block with shared events is found
/// before anything is written.
pub fn merge<R: Read + Seek, W: Write>(
    mut readers: Vec<Reader<R>>,
    out: W,
) -> Result<Vec<Clock>, TraceError> {
    let anonymised = common_anonymised(&readers)?;
    let MergedSources { sources, indices } = merge_sources(&readers)?;
    let received = first_received(&mut readers, &indices, sources.len())?;
    let clocks = clocks::align(&sources, &received);
    let head = Head {
        anonymised,
        merged: true,
        ..Head::new(sources.clone())
    };
    let mut writer = Writer::new(out, &head, Vec::new())?;
    let mut inputs = Vec::new();
    for (reader, indices) in readers.into_iter().zip(indices) {
        let mut input = Input {
            reader,
            indices,
            next: None,
            last: vec![0; sources.len()],
        };
        input.advance(&clocks, &sources)?;
        inputs.push(input);
    }
    // No record is written with a time before that of the previous record of its source.
    let mut last_written: Vec<Nanos> = vec![0; sources.len()];
    while let Some(index) = next_input(&inputs) {
        let Some(mut record) = inputs[index].next.take() else {
            break;
        };
        let last = &mut last_written[record.source];
        record.at = record.at.max(*last);
        *last = record.at;
        writer.put(record)?;
        inputs[index].advance(&clocks, &sources)?;
    }
    writer.finish()?;
    Ok(clocks)
}

/// Returns whether the files are anonymised, which must be the same for all.
fn common_anonymised<R>(readers: &[Reader<R>]) -> Result<bool, TraceError> {
    let anonymised = readers.first().is_some_and(|reader| reader.head.anonymised);
    let is_common = |reader: &Reader<R>| reader.head.anonymised == anonymised;
    if readers.iter().all(is_common) {
        return Ok(anonymised);
    }
    let message =
        "some files are anonymised and some are not, so their names differ; expected all or none";
    Err(TraceError::Unusable(message.to_string()))
}

/// The sources of the merged file.
struct MergedSources {
    sources: Vec<Source>,
    /// For each file, the merged index of each of its sources.
    indices: Vec<Vec<usize>>,
}

/// Joins the parts of each incarnation, which must be in order, to one source.
fn merge_sources<R: Read + Seek>(readers: &[Reader<R>]) -> Result<MergedSources, TraceError> {
    let mut merged = MergedSources {
        sources: Vec::new(),
        indices: Vec::new(),
    };
    let mut last_parts: Vec<u64> = Vec::new();
    for reader in readers {
        let mut indices = Vec::new();
        for source in &reader.head.sources {
            indices.push(merge_source(&mut merged.sources, &mut last_parts, source)?);
        }
        merged.indices.push(indices);
    }
    Ok(merged)
}

/// Returns the merged index of a source, which is either new or the next part of a known incarnation.
fn merge_source(
    sources: &mut Vec<Source>,
    last_parts: &mut Vec<u64>,
    source: &Source,
) -> Result<usize, TraceError> {
    let (name, part) = (&source.settings.name, source.part);
    let known = sources
        .iter()
        .position(|known| known.incarnation == source.incarnation && known.settings.name == *name);
    let Some(index) = known else {
        last_parts.push(part);
        sources.push(source.clone());
        return Ok(sources.len() - 1);
    };
    let last_part = last_parts[index];
    if part != last_part + 1 {
        let message =
            format!("{name}: part {part} after part {last_part}; expected the files in order");
        return Err(TraceError::Unusable(message));
    }
    last_parts[index] = part;
    sources[index].is_complete &= source.is_complete;
    sources[index].records_end = source.records_end;
    Ok(index)
}

/// Reads when each merged source first received each shared event, and rewinds the files.
fn first_received<R: Read + Seek>(
    readers: &mut [Reader<R>],
    indices: &[Vec<usize>],
    source_count: usize,
) -> Result<Vec<FirstReceived>, TraceError> {
    let mut received = vec![FirstReceived::new(); source_count];
    for (reader, indices) in readers.iter_mut().zip(indices) {
        for (events, index) in shared_events(reader)?.into_iter().zip(indices) {
            for (event, at) in events {
                received[*index].entry(event).or_insert(at);
            }
        }
        reader.seek(0);
    }
    Ok(received)
}

/// Returns the index of the file whose next record is the earliest. The parts of an incarnation must be written in
/// order: a part waits until all earlier files that have the same source are at their end.
fn next_input<R>(inputs: &[Input<R>]) -> Option<usize> {
    let key = |index: usize| {
        let next = inputs[index].next.as_ref()?;
        let waits_for =
            |input: &Input<R>| input.next.is_some() && input.indices.contains(&next.source);
        if inputs[..index].iter().any(waits_for) {
            return None;
        }
        Some((next.at, next.source, index))
    };
    let first = (0..inputs.len()).filter_map(key).min()?;
    Some(first.2)
}

/// One of the files to merge.
struct Input<R> {
    reader: Reader<R>,
    /// The merged index of each source of the file.
    indices: Vec<usize>,
    /// The record to write next, with its merged source index and its corrected time.
    next: Option<Record>,
    /// The time of the last record of each merged source; no later record of the source gets an earlier time.
    last: Vec<Nanos>,
}

impl<R: Read + Seek> Input<R> {
    /// Reads the next record.
    fn advance(&mut self, clocks: &[Clock], sources: &[Source]) -> Result<(), TraceError> {
        self.next = self.reader.record()?;
        if let Some(record) = &mut self.next {
            record.source = self.indices[record.source];
            let own_wall_time = wall_time(&sources[record.source], record.engine_time);
            let at = clocks[record.source].corrected(own_wall_time);
            let last = &mut self.last[record.source];
            *last = Nanos::try_from(at).unwrap_or(0).max(*last);
            record.at = *last;
        }
        Ok(())
    }
}
