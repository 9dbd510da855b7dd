//! `havenplank trace replay`: replays recorded events through the library and compares its decisions.

use super::files::open_all;
use crate::{BROKEN, FAILED};
use havenplank_trace::replay::{self, Difference, Outcome};
use std::path::PathBuf;

/// Replays traces. Returns `BROKEN` if a decision differs from the recorded one.
pub(super) fn replay(files: &[PathBuf]) -> anyhow::Result<u8> {
    let (outcomes, damage) = replay::replay(open_all(files)?)?;
    let mut status = 0;
    for (name, outcome) in outcomes {
        print_outcome(&name, &outcome);
        if outcome.first_difference.is_some() {
            status = BROKEN;
        }
    }
    if let Some(error) = damage {
        eprintln!("{error}; the records before the damage were replayed");
        status = status.max(FAILED);
    }
    Ok(status)
}

fn print_outcome(name: &str, outcome: &Outcome) {
    let Outcome {
        requests,
        compared,
        records,
        first_difference,
        stopped_at,
    } = outcome;
    println!("{name}: {requests} requests, {records} records, {compared} decisions compared");
    if let Some(at) = stopped_at {
        println!("{name}: replayed up to {at}; the records after it are missing");
    }
    let Some(difference) = first_difference else {
        println!("{name}: identical");
        return;
    };
    let Difference {
        record,
        at,
        recorded,
        replayed,
    } = difference;
    println!("{name}: differs first at record {record}, time {at}:");
    println!("  recorded {recorded}\n  now      {replayed}");
}
