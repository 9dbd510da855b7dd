//! `havenplank trace export` and `havenplank trace show`: records as lines of JSON.

use super::files::{for_each_record, open, status};
use crate::FAILED;
use havenplank_trace::json_view;
use std::io::{BufWriter, Write};
use std::path::Path;

/// Prints every record.
pub(super) fn export(file: &Path) -> anyhow::Result<u8> {
    let mut out = BufWriter::new(std::io::stdout().lock());
    let mut reader = open(file)?;
    let damage = for_each_record(&mut reader, |record, head| {
        writeln!(out, "{}", json_view::line(&record, head))
    })?;
    out.flush()?;
    Ok(status(file, damage))
}

/// Prints the records of one request, only those of the sidecar named `source` if a name is given.
pub(super) fn show(file: &Path, request: u64, source: Option<&str>) -> anyhow::Result<u8> {
    let mut reader = open(file)?;
    let mut shown = 0;
    let damage = for_each_record(&mut reader, |record, head| {
        let name = &head.sources[record.source].settings.name;
        let is_source = source.is_none_or(|source| source == name);
        if is_source && record.request_id() == Some(request) {
            println!("{}", json_view::line(&record, head));
            shown += 1;
        }
        Ok(())
    })?;
    if shown == 0 {
        eprintln!("{}: no records of request {request}", file.display());
        return Ok(FAILED);
    }
    Ok(status(file, damage))
}
