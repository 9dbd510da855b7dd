//! `havenplank trace from-bench`: makes a trace of a bench run from copies of the adapter's input and output.

use super::files::write;
use anyhow::Context;
use havenplank_trace::from_adapter;
use std::fs::File;
use std::io::BufReader;
use std::path::Path;

/// Writes a trace from the lines that the adapter read (`input`) and wrote (`output`).
pub(super) fn from_bench(input: &Path, output: &Path, trace: &Path) -> anyhow::Result<u8> {
    let sources = from_adapter::sources(open_lines(input)?);
    let sources = sources.with_context(|| format!("cannot read {}", input.display()))?;
    let (read, written) = (open_lines(input)?, open_lines(output)?);
    let records = write(trace, |out| {
        from_adapter::write(read, written, sources, out)
    })?;
    println!("{records} records");
    Ok(0)
}

fn open_lines(file: &Path) -> anyhow::Result<BufReader<File>> {
    let opened = File::open(file).with_context(|| format!("cannot open {}", file.display()))?;
    Ok(BufReader::new(opened))
}
