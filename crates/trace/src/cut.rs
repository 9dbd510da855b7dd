//! Copies the section of a trace between two times.

use crate::file::{Reader, TraceError, Writer};
use crate::record::{Head, Record};
use crate::request_timelines::{max_request_duration, RequestTimelines};
use havenplank::interface::Nanos;
use std::io::{Read, Seek, Write};

/// The size of a cut.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cut {
    /// Requests that arrived between the times.
    pub requests: u64,
    /// Records copied.
    pub records: u64,
    /// Blocks that were read.
    pub blocks: usize,
    /// Requests whose end is not in the file.
    pub unfinished: usize,
}

/// Copies the records from `from` (inclusive) to `to` (exclusive), in nanoseconds on the file's clock: all records of
/// the requests that begin in this time, even those after `to`, and all records of this time that belong to no request.
/// Returns the damage that ended the copy, if there was any. Keeps one block and the requests in flight in memory.
///
/// # Errors
/// There are no records between these times, or the output fails.
pub fn cut<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>,
    out: W,
    from: Nanos,
    to: Nanos,
) -> Result<(Cut, Option<TraceError>), TraceError> {
    let head = cut_head(reader, from, to);
    let first_block = reader.block_at(from);
    reader.seek(first_block);
    let mut cutter = Cutter {
        from,
        to,
        end: to.saturating_add(2 * max_request_duration(&head.sources)),
        timelines: RequestTimelines::new(&head.sources),
        cut: Cut::default(),
    };
    let mut output = Output::Unopened(out);
    let damage = loop {
        let record = match reader.record() {
            Ok(Some(record)) => record,
            Ok(None) => break None,
            Err(error) => break Some(error),
        };
        if cutter.is_past(&record) {
            break None;
        }
        if cutter.includes(&record) {
            output = output.put(record, &head, reader)?;
        }
    };
    let written = output.finish()?;
    if !written && damage.is_none() {
        let message = "the trace has no records between the given times";
        return Err(TraceError::Unusable(message.into()));
    }
    let mut cut = cutter.cut;
    cut.blocks = reader.next_block() - first_block;
    cut.unfinished = cutter.timelines.in_flight();
    Ok((cut, damage))
}

/// Returns the head of the cut. A source that is cut at its end can still be replayed; one that lacks its beginning
/// cannot. In a merged file `to` is not a time of the source's clock, so `records_end` is not changed.
fn cut_head<R: Read + Seek>(reader: &Reader<R>, from: Nanos, to: Nanos) -> Head {
    let mut head = reader.head.clone();
    let (first, last) = reader.span().unwrap_or((Nanos::MAX, 0));
    let records_end = if head.merged { Nanos::MAX } else { to };
    for source in &mut head.sources {
        source.is_complete &= from <= first && (!head.merged || last < to);
        source.records_end = source.records_end.min(records_end);
    }
    head
}

/// Chooses the records of a cut.
struct Cutter {
    from: Nanos,
    to: Nanos,
    /// No request of the cut has records after this time.
    end: Nanos,
    timelines: RequestTimelines,
    cut: Cut,
}

impl Cutter {
    /// Whether neither this record nor a later one belongs to the cut.
    fn is_past(&self, record: &Record) -> bool {
        if record.at < self.from {
            return false;
        }
        let is_after = record.at >= self.to;
        record.at > self.end || (is_after && self.timelines.in_flight() == 0)
    }

    /// Whether the record belongs to the cut; one that does is counted.
    fn includes(&mut self, record: &Record) -> bool {
        if record.at < self.from {
            return false;
        }
        let is_within = record.at < self.to;
        let is_included = match record.request_id() {
            Some(_) if record.begins_request() => is_within,
            Some(request) => self.timelines.contains(record.source, request),
            None => is_within,
        };
        if is_included {
            self.timelines.record(record);
            self.cut.requests += record.is_arrival() as u64;
            self.cut.records += 1;
        }
        is_included
    }
}

/// The output, to which nothing is written before the first record.
enum Output<W: Write> {
    Unopened(W),
    Open(Box<Writer<W>>),
}

impl<W: Write> Output<W> {
    fn put<R: Read + Seek>(
        self,
        record: Record,
        head: &Head,
        reader: &Reader<R>,
    ) -> Result<Output<W>, TraceError> {
        let mut writer = match self {
            Output::Unopened(out) => {
                Box::new(Writer::new(out, head, reader.stages_in_force.clone())?)
            }
            Output::Open(writer) => writer,
        };
        writer.put(record)?;
        Ok(Output::Open(writer))
    }

    /// Closes the file; returns whether anything was written.
    fn finish(self) -> Result<bool, TraceError> {
        match self {
            Output::Unopened(_) => Ok(false),
            Output::Open(writer) => writer.finish().map(|_| true),
        }
    }
}
