//! `havenplank trace info`: prints an overview of a trace.

use super::files::{format_time, open, Opened};
use havenplank_trace::file::{IndexEntry, MAJOR_VERSION};
use havenplank_trace::{Head, Source};
use std::path::Path;

/// Prints version, sources, time span and counts. Reads only the head and the index of the file.
pub(super) fn info(file: &Path) -> anyhow::Result<u8> {
    let reader = open(file)?;
    print_head(&reader.head, reader.minor_version);
    if let Some((first, last)) = reader.span() {
        let (first, last) = (format_time(&reader, first), format_time(&reader, last));
        println!("{first} to {last}");
    }
    print_counts(&reader);
    Ok(0)
}

fn print_head(head: &Head, minor: u16) {
    let (program, settings) = (&head.program, &head.settings_hash);
    println!("version {MAJOR_VERSION}.{minor}, written by {program}, settings {settings}");
    if head.anonymised {
        println!("anonymised: names are pseudonyms");
    }
    head.sources.iter().for_each(print_source);
}

fn print_source(source: &Source) {
    let (name, share) = (&source.settings.name, source.sample_share);
    let (part, seed) = (source.part, source.seed);
    let note = if source.is_complete {
        ""
    } else {
        ", not all records"
    };
    println!(
        "{name}: incarnation {:016x} part {part}, seed {seed}, share {share}{note}",
        source.incarnation
    );
}

fn print_counts(reader: &Opened) {
    let sum = |of: fn(&IndexEntry) -> u32| reader.index.iter().map(|e| of(e) as u64).sum::<u64>();
    let (hits, records) = (sum(|entry| entry.requests), sum(|entry| entry.records));
    let (packed, unpacked) = (sum(|entry| entry.packed), sum(|entry| entry.unpacked));
    let blocks = reader.index.len();
    println!("{hits} requests, {records} records in {blocks} blocks");
    println!("{packed} bytes compressed, {unpacked} uncompressed");
    if hits > 0 {
        println!("{:.1} bytes per request", packed as f64 / hits as f64);
    }
}
