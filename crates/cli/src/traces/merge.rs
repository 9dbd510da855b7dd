//! `havenplank trace merge`: merges the traces of many sidecars into one.

use super::files::{open_all, write};
use havenplank_trace::merge::{self, Clock};
use std::path::{Path, PathBuf};

/// Merges traces and prints the correction of each source's clock.
pub(super) fn merge(files: &[PathBuf], output: &Path) -> anyhow::Result<u8> {
    let readers = open_all(files)?;
    let clocks = write(output, |out| merge::merge(readers, out))?;
    clocks.iter().for_each(print_clock);
    Ok(0)
}

fn print_clock(clock: &Clock) {
    let Clock {
        name,
        offset,
        drift,
        events,
        spread,
        ..
    } = clock;
    let offset_ms = *offset as f64 / 1e6;
    let drift_ppm = drift * 1e6;
    let spread_ms = *spread as f64 / 1e6;
    println!(
        "{name}: {offset_ms:+.3} ms, {drift_ppm:+.1} ppm, by {events} shared events, half of them within {spread_ms:.3} ms"
    );
}
