//! `havenplank verify`: checks the invariants over a stored ledger and prints the verdicts.

use crate::{write_json, BROKEN, DONE};
use havenplank_invariants::ledger::{self, Entry};
use havenplank_invariants::Verdict;
use serde_json::json;
use std::path::Path;

/// Number of violations that are printed for each invariant, at most.
const MAX_PRINTED_CASES: usize = 5;

/// Runs `havenplank verify`: checks the invariants over the ledger in a folder.
///
/// # Errors
/// A ledger that cannot be read.
pub fn verify(folder: &Path, json: Option<&Path>) -> anyhow::Result<u8> {
    let verdicts = check(&ledger::read(folder)?)?;
    let broken = print_verdicts(&verdicts);
    if let Some(file) = json {
        write_json(file, &json!({ "rules": verdicts }))?;
    }
    Ok(if broken == 0 { DONE } else { BROKEN })
}

/// Checks the invariants over a ledger.
///
/// # Errors
/// A ledger over which the invariants cannot be checked.
pub fn check(entries: &[Entry]) -> anyhow::Result<Vec<Verdict>> {
    havenplank_invariants::check(entries).map_err(|error| anyhow::anyhow!("ledger: {error}"))
}

/// Prints each invariant with its first violations; returns how many invariants are broken.
pub fn print_verdicts(verdicts: &[Verdict]) -> usize {
    println!();
    for verdict in verdicts {
        let Verdict {
            rule,
            tested,
            broken,
            nearest,
            cases,
        } = verdict;
        let how = if *broken == 0 {
            "kept".to_string()
        } else {
            format!("BROKEN {broken} times")
        };
        println!(
            "rule {rule:<9} {how}, {tested} times tested, nearest to its limit {:.0}%",
            nearest * 100.0
        );
        for case in cases.iter().take(MAX_PRINTED_CASES) {
            println!("     at {:.1} ms: {}", case.at_ms, case.what);
        }
    }
    let broken = verdicts.iter().filter(|verdict| verdict.broken > 0).count();
    println!("rules: {} kept, {broken} broken", verdicts.len() - broken);
    broken
}
