//! `havenplank trace drive`: sends recorded requests to a real sidecar with emulated peers and compares the figures.

use super::files::{open, Opened};
use crate::{write_json, FAILED, USAGE};
use anyhow::Context;
use havenplank_emulator::drive::{self, DriveOutcome, Outcomes};
use indicatif::ProgressBar;
use serde_json::{json, Value};
use std::path::Path;

const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Sends the recorded requests of one source in real time, and prints the recorded figures beside the new ones.
pub(super) fn drive(file: &Path, source: Option<&str>, json: Option<&Path>) -> anyhow::Result<u8> {
    let mut reader = open(file)?;
    let names = source_names(&reader);
    let Some(source) = source_index(&names, source) else {
        eprintln!("havenplank: --source: expected one of {}", names.join(", "));
        return Ok(USAGE);
    };
    let driven = run_drive(&mut reader, source)?;
    print_figures(&driven);
    for fault in &driven.unexpected_faults {
        eprintln!("{fault}");
    }
    if let Some(file) = json {
        write_json(file, &outcome_json(&driven))?;
    }
    Ok(if driven.unexpected_faults.is_empty() {
        0
    } else {
        FAILED
    })
}

/// Returns the names of the recorded sidecars, in the order of the sources.
fn source_names(reader: &Opened) -> Vec<String> {
    let sources = reader.head.sources.iter();
    sources.map(|source| source.settings.name.clone()).collect()
}

/// Returns the index of the named source, or of the only one.
fn source_index(names: &[String], wanted_name: Option<&str>) -> Option<usize> {
    match wanted_name {
        Some(wanted_name) => names.iter().position(|name| name == wanted_name),
        None if names.len() == 1 => Some(0),
        None => None,
    }
}

fn run_drive(reader: &mut Opened, source: usize) -> anyhow::Result<DriveOutcome> {
    let folder = tempfile::tempdir()?;
    let program = std::env::current_exe().context("cannot find the path of this program")?;
    let bar = ProgressBar::new(0);
    let show_progress = |at: u64, end: u64| {
        bar.set_length(end / NANOS_PER_SECOND);
        bar.set_position(at / NANOS_PER_SECOND);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let driving = drive::drive(reader, source, program, folder.path(), show_progress);
    let driven = runtime.block_on(tokio::task::LocalSet::new().run_until(driving))?;
    bar.finish_and_clear();
    Ok(driven)
}

fn print_figures(driven: &DriveOutcome) {
    println!("             hits  delivered  bounced  errored     left  forwards");
    let sides = [("recorded", &driven.recorded), ("driven", &driven.driven)];
    for (side, figures) in sides {
        let Outcomes {
            requests,
            delivered,
            rejected,
            failed,
            left,
            attempts,
            ..
        } = figures;
        println!(
            "{side:<9} {requests:>7} {delivered:>10} {rejected:>8} {failed:>8} {left:>8} {attempts:>9}"
        );
    }
    for (side, figures) in sides {
        for ((build, stage, vote), count) in &figures.votes {
            println!("{side:<9} votes: build {build} stage {stage} {vote}: {count}");
        }
    }
    println!(
        "{} attempts ended as recorded, {} like the last recorded attempt to their build",
        driven.as_recorded, driven.as_build
    );
}

fn outcome_json(driven: &DriveOutcome) -> Value {
    json!({
        "recorded": figures_json(&driven.recorded), "driven": figures_json(&driven.driven),
        "as_recorded": driven.as_recorded, "as_build": driven.as_build,
    })
}

fn figures_json(figures: &Outcomes) -> Value {
    let votes = figures.votes.iter().map(|((build, stage, vote), count)| {
        json!({"build": build, "stage": stage, "voice": vote, "votes": count})
    });
    json!({
        "hits": figures.requests, "delivered": figures.delivered, "bounced": figures.rejected,
        "errored": figures.failed, "left": figures.left, "forwards": figures.attempts,
        "votes": votes.collect::<Vec<_>>(),
    })
}
