//! `havenplank day` and `havenplank rules`: plays a scripted day and prints what it came to.

use crate::{write_json, BROKEN};
use anyhow::{bail, Context};
use havenplank_emulator::clients::Fared;
use havenplank_emulator::day::{self, Launch, Played};
use havenplank_emulator::notation::{self, Day};
use havenplank_invariants::ledger::{self, Entry, Seen};
use havenplank_invariants::Verdict;
use havenplank_settings::Site;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::json;
use std::path::{Path, PathBuf};

/// The day of a file; `None` after its mistakes were printed.
pub fn read(file: &Path) -> anyhow::Result<Option<Day>> {
    let text = std::fs::read_to_string(file).with_context(|| format!("{}", file.display()))?;
    match notation::read(&text) {
        Ok(day) => Ok(Some(day)),
        Err(problems) => {
            problems
                .iter()
                .for_each(|problem| eprintln!("{}: {problem}", file.display()));
            Ok(None)
        }
    }
}

pub fn play(
    script: Day,
    site: Site,
    settings: PathBuf,
    seed: u64,
    json: Option<&Path>,
    kept: Option<&Path>,
    trace: Option<&Path>,
) -> anyhow::Result<u8> {
    let own = tempfile::tempdir().context("a folder for lists and logs")?;
    let folder = kept.unwrap_or(own.path()).to_path_buf();
    std::fs::create_dir_all(&folder).with_context(|| format!("{}", folder.display()))?;
    let program = std::env::current_exe().context("this program's own path")?;
    let trace = trace.map(Path::to_path_buf);
    let launch = Launch {
        program,
        settings,
        folder,
        trace,
    };
    // Hidden where standard error is no terminal.
    let bar = ProgressBar::new(script.length / 1_000_000_000);
    bar.set_style(
        ProgressStyle::with_template("{pos:>3}/{len} s {wide_msg}")
            .unwrap_or(ProgressStyle::default_bar()),
    );
    let tell = |at: u64, line: String| {
        bar.set_position(at / 1_000_000_000);
        bar.set_message(line);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    let begun = std::time::Instant::now();
    let played =
        runtime.block_on(local.run_until(day::play(script.clone(), site, launch, seed, tell)))?;
    bar.finish_and_clear();
    if let Some(folder) = kept {
        ledger::write(folder, "day", &played.entries)?;
    }
    let verdicts = judge(&played.entries)?;
    report(&script, &played, seed, begun.elapsed().as_secs_f64());
    let broken = print_rules(&verdicts);
    if let Some(file) = json {
        write_json(file, &as_json(&script, &played, seed, &verdicts))?;
    }
    for trouble in &played.troubles {
        println!("trouble: {trouble}");
    }
    match (broken, played.lost, played.troubles.is_empty()) {
        (0, 0, true) => Ok(0),
        (0, 0, false) => bail!(
            "{} troubles that the script did not make",
            played.troubles.len()
        ),
        (0, lost, _) => bail!("{lost} entries did not fit into the ledger, so it proves nothing"),
        _ => Ok(BROKEN),
    }
}

pub fn rules(folder: &Path, json: Option<&Path>) -> anyhow::Result<u8> {
    let verdicts = judge(&ledger::read(folder)?)?;
    let broken = print_rules(&verdicts);
    if let Some(file) = json {
        write_json(file, &json!({ "rules": verdicts }))?;
    }
    Ok(if broken == 0 { 0 } else { BROKEN })
}

fn judge(entries: &[Entry]) -> anyhow::Result<Vec<Verdict>> {
    havenplank_invariants::check(entries).map_err(|what| anyhow::anyhow!("ledger: {what}"))
}

fn print_rules(verdicts: &[Verdict]) -> usize {
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
        for case in cases.iter().take(5) {
            println!("     at {:.1} ms: {}", case.at_ms, case.what);
        }
    }
    let broken = verdicts.iter().filter(|verdict| verdict.broken > 0).count();
    println!("rules: {} kept, {broken} broken", verdicts.len() - broken);
    broken
}

/// Benefit delivered within the target latency, of the priority weight asked for.
fn service(fared: &[Fared]) -> f64 {
    let sum = |of: fn(&Fared) -> u64| {
        fared
            .iter()
            .map(|group| group.priority_weight * of(group) as f64)
            .sum::<f64>()
    };
    sum(|group| group.in_time) / sum(|group| group.asked).max(1e-9)
}

fn report(script: &Day, played: &Played, seed: u64, took_s: f64) {
    let Day {
        sidecars,
        pods,
        rate,
        ..
    } = script;
    println!(
        "{sidecars} sidecars, {pods} pods, {rate} hits/s, seed {seed}, played in {took_s:.1} s\n"
    );
    println!("path group      asked  in time  late  bounced  errored  left  wrong  p50 ms  p99 ms");
    for Fared {
        group,
        asked,
        in_time,
        late,
        bounced,
        errored,
        left,
        wrong,
        took_us,
        ..
    } in &played.fared
    {
        let ms = |quantile| took_us.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{group:<12} {asked:>8} {in_time:>8} {late:>5} {bounced:>8} {errored:>8} {left:>5} {wrong:>6} {:>7.1} {:>7.1}",
            ms(0.5),
            ms(0.99)
        );
    }
    let count = |of: fn(&Seen) -> bool| {
        played
            .entries
            .iter()
            .filter(|entry| of(&entry.seen))
            .count()
    };
    println!(
        "\nservice {:.3}; {} tries by clients, {} forwards, {} turned away unseen, votes {:?}",
        service(&played.fared),
        played.tries,
        count(|seen| matches!(seen, Seen::Arrived { .. })),
        count(|seen| matches!(seen, Seen::Unseen { .. })),
        played.votes
    );
    for line in &played.story {
        println!("{line}");
    }
}

fn as_json(script: &Day, played: &Played, seed: u64, verdicts: &[Verdict]) -> serde_json::Value {
    let group = |fared: &Fared| {
        let us = |quantile| fared.took_us.value_at_quantile(quantile);
        json!({
            "path_group": fared.group, "asked": fared.asked, "in_time": fared.in_time, "late": fared.late,
            "bounced": fared.bounced, "errored": fared.errored, "left": fared.left, "wrong": fared.wrong,
            "took_p50_us": us(0.5), "took_p99_us": us(0.99),
        })
    };
    json!({
        "sidecars": script.sidecars, "pods": script.pods, "rate_per_s": script.rate, "seed": seed,
        "path_groups": played.fared.iter().map(group).collect::<Vec<_>>(),
        "service": service(&played.fared), "tries": played.tries, "votes": played.votes, "story": played.story, "troubles": played.troubles,
        "rules": verdicts,
    })
}
