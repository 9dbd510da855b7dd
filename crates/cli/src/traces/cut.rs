//! `havenplank trace cut`: copies the section of a trace between two times.

use super::files::{open, parse_time, status, write};
use crate::USAGE;
use havenplank_trace::cut::{self, Cut};
use std::path::Path;

/// Copies the requests that begin at `from` or later and before `to`, and all other records of that time.
pub(super) fn cut(file: &Path, from: &str, to: &str, output: &Path) -> anyhow::Result<u8> {
    let mut reader = open(file)?;
    let (from, to) = (parse_time(&reader, from)?, parse_time(&reader, to)?);
    if from >= to {
        eprintln!("havenplank: --from: expected a time before --to");
        return Ok(USAGE);
    }
    let (cut, damage) = write(output, |out| cut::cut(&mut reader, out, from, to))?;
    let Cut {
        requests,
        records,
        blocks,
        unfinished,
    } = cut;
    let all_blocks = reader.index.len();
    println!("{requests} requests, {records} records, {blocks} of {all_blocks} blocks read");
    if unfinished > 0 {
        println!("{unfinished} requests have no recorded end");
    }
    Ok(status(file, damage))
}
