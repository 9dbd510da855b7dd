//! A part of a trace, by time.

use crate::file::{Reader, TraceError, Writer};
use crate::record::Head;
use crate::trips::{longest, Trips};
use havenplank::interface::Nanos;
use std::io::{Read, Seek, Write};

/// What a cut holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cut {
    pub hits: u64,
    pub records: u64,
    /// Blocks that were read for it.
    pub blocks: usize,
    /// Hits begun within that the file does not follow to their end.
    pub unfinished: usize,
}

/// Copies what lies from `from` to before `to` on the file's clock: hits begun then, to their last record even
/// where that comes later, and all else of that time. Holds a block and the hits in flight.
///
/// # Errors
/// Damage met on the way, after all before it was copied; nothing within those times.
pub fn cut<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>,
    out: W,
    from: Nanos,
    to: Nanos,
) -> Result<(Cut, Option<TraceError>), TraceError> {
    let mut head: Head = reader.head.clone();
    let (first, last) = reader.span().unwrap_or((Nanos::MAX, 0));
    for source in &mut head.sources {
        // What is cut short at its end can still be played; what lacks its beginning cannot. In a merged file
        // the clock of the cut is not the source's own.
        source.whole &= from <= first && (!head.merged || last < to);
        source.until = source.until.min(if head.merged { Nanos::MAX } else { to });
    }
    let first = reader.block_at(from);
    reader.seek(first);
    let end = to.saturating_add(2 * longest(&head.sources));
    let mut trips = Trips::new(&head.sources);
    let (mut writer, mut out) = (None, Some(out));
    let (mut cut, mut damage) = (Cut::default(), None);
    loop {
        let record = match reader.record() {
            Ok(Some(record)) => record,
            Ok(None) => break,
            Err(error) => {
                damage = Some(error);
                break;
            }
        };
        if record.at < from {
            continue;
        }
        let within = record.at < to;
        if record.at > end || (!within && trips.in_flight() == 0) {
            break;
        }
        let wanted = match record.hit() {
            Some(_) if record.opens_hit() => within,
            Some(hit) => trips.holds(record.source, hit),
            None => within,
        };
        if !wanted {
            continue;
        }
        trips.record(&record);
        cut.hits += record.begins_hit() as u64;
        cut.records += 1;
        let writer = match &mut writer {
            Some(writer) => writer,
            None => {
                let Some(out) = out.take() else { break };
                writer.insert(Writer::new(out, &head, reader.standing.clone())?)
            }
        };
        writer.put(record)?;
    }
    cut.blocks = reader.read_to() - first;
    cut.unfinished = trips.in_flight();
    match writer {
        Some(writer) => writer.finish().map(drop)?,
        None if damage.is_none() => {
            return Err(TraceError::Unfit(
                "nothing was recorded within these times".into(),
            ))
        }
        None => {}
    }
    Ok((cut, damage))
}
