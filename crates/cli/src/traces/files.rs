//! Opens, writes and reads trace files, and parses the times on the command line.

use anyhow::{bail, Context};
use havenplank_trace::file::{TraceError, MAJOR_VERSION, MINOR_VERSION};
use havenplank_trace::{Head, Reader, Record};
use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, UNIX_EPOCH};

/// A trace file open for reading.
pub(super) type Opened = Reader<BufReader<File>>;

/// Opens a trace. Warns on standard error if its index is missing or its version is newer than this program's.
pub(super) fn open(file: &Path) -> anyhow::Result<Opened> {
    let opened = File::open(file).with_context(|| format!("cannot open {}", file.display()))?;
    let reader = Reader::open(BufReader::new(opened))
        .with_context(|| format!("cannot read {}", file.display()))?;
    if let Some(reason) = &reader.index_error {
        eprintln!(
            "{}: {reason}; reading all blocks to rebuild the index",
            file.display()
        );
    }
    if reader.minor_version > MINOR_VERSION {
        let minor = reader.minor_version;
        eprintln!(
            "{}: version {MAJOR_VERSION}.{minor} is newer than this program's; unknown records are skipped",
            file.display()
        );
    }
    Ok(reader)
}

/// Writes to a temporary file beside `file` and renames it once it is complete.
pub(super) fn write<T>(
    file: &Path,
    write_contents: impl FnOnce(&mut BufWriter<File>) -> Result<T, TraceError>,
) -> anyhow::Result<T> {
    let mut temporary = file.as_os_str().to_owned();
    temporary.push(".new");
    let write_and_rename = || -> anyhow::Result<T> {
        let mut out = BufWriter::new(File::create(&temporary)?);
        let result = write_contents(&mut out)?;
        out.into_inner()?.sync_all()?;
        std::fs::rename(&temporary, file)?;
        Ok(result)
    };
    write_and_rename()
        .inspect_err(|_| drop(std::fs::remove_file(&temporary)))
        .with_context(|| format!("cannot write {}", file.display()))
}

/// Returns the exit status for a trace that was read to its end or to a damaged place. Prints the damage.
pub(super) fn status(file: &Path, damage: Option<TraceError>) -> u8 {
    match damage {
        Some(error) => {
            eprintln!(
                "{}: {error}; the records before the damage were read",
                file.display()
            );
            crate::FAILED
        }
        None => 0,
    }
}

/// Parses a duration such as "10s" into nanoseconds; returns `None` if the text is no duration.
pub(super) fn parse_span(text: &str) -> Option<u64> {
    u64::try_from(humantime::parse_duration(text).ok()?.as_nanos()).ok()
}

/// Parses a time from the command line into nanoseconds on the file's clock. A duration counts from the first record.
pub(super) fn parse_time(reader: &Opened, text: &str) -> anyhow::Result<u64> {
    let (first, _) = reader.span().unwrap_or_default();
    if let Some(since) = parse_span(text) {
        return Ok(first.saturating_add(since));
    }
    let Ok(at) = humantime::parse_rfc3339_weak(text) else {
        bail!("{text:?}: expected a duration since the first record such as \"90s\", or a time such as 2026-12-01T08:30:00Z");
    };
    let unix_ns = at
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_nanos() as u64);
    Ok(reader.head.file_time(unix_ns))
}

/// Formats a time of the file, in nanoseconds on its clock, as RFC 3339 in UTC.
pub(super) fn format_time(reader: &Opened, at: u64) -> String {
    let time = UNIX_EPOCH + Duration::from_nanos(reader.head.wall_time(at));
    humantime::format_rfc3339_millis(time).to_string()
}

/// Opens several traces, in order.
pub(super) fn open_all(files: &[PathBuf]) -> anyhow::Result<Vec<Opened>> {
    files.iter().map(|file| open(file)).collect()
}

/// Calls `with` for every record; returns the damage at which reading ended, if there was any.
pub(super) fn for_each_record(
    reader: &mut Opened,
    mut with: impl FnMut(Record, &Head) -> std::io::Result<()>,
) -> anyhow::Result<Option<TraceError>> {
    loop {
        match reader.record() {
            Ok(Some(record)) => with(record, &reader.head)?,
            Ok(None) => return Ok(None),
            Err(error) => return Ok(Some(error)),
        }
    }
}

/// Prints a text. Returns no error if the reader of the pipe closes it early.
pub(super) fn print(text: &str) -> anyhow::Result<()> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        result => Ok(result?),
    }
}
