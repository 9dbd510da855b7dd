//! `havenplank scenario`: runs a scenario and prints its outcome.

use crate::verify::{check, print_verdicts};
use crate::{settings, write_json, BROKEN, DONE, USAGE};
use anyhow::{bail, Context};
use havenplank_emulator::clients::ClassOutcomes;
use havenplank_emulator::scenario::{self, Launch, ScenarioOutcome};
use havenplank_emulator::scenario_file::{self, Scenario};
use havenplank_invariants::ledger::{self, LedgerEvent};
use havenplank_invariants::Verdict;
use havenplank_settings::Site;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::time::Instant;

const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Reads a scenario; `None` after its mistakes were printed.
fn read(file: &Path) -> anyhow::Result<Option<Scenario>> {
    let text = std::fs::read_to_string(file).with_context(|| format!("{}", file.display()))?;
    match scenario_file::read(&text) {
        Ok(day) => Ok(Some(day)),
        Err(problems) => {
            problems
                .iter()
                .for_each(|problem| eprintln!("{}: {problem}", file.display()));
            Ok(None)
        }
    }
}

/// Arguments of `havenplank scenario`.
#[derive(clap::Args)]
pub struct ScenarioArgs {
    /// The scenario file.
    #[arg(value_name = "SCENARIO")]
    scenario: PathBuf,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the outcome as JSON, too.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Store the ledger and the sidecars' logs in this folder.
    #[arg(long, value_name = "DIR")]
    ledger: Option<PathBuf>,
    /// Let the sidecars record traces in this folder.
    #[arg(long, value_name = "DIR")]
    trace: Option<PathBuf>,
    /// Run so many sidecars in place of the scenario's own number.
    #[arg(long)]
    sidecars: Option<usize>,
    /// Run so many pods in place of the scenario's own number.
    #[arg(long)]
    pods: Option<usize>,
    /// Requests per second.
    #[arg(long)]
    rate: Option<f64>,
}

/// Runs a scenario, checks the invariants over its ledger and prints the outcome.
///
/// # Errors
/// Files that cannot be read or written, sidecars that cannot be started, and faults that the scenario did not make.
pub fn scenario(args: ScenarioArgs) -> anyhow::Result<u8> {
    let Some(mut script) = read(&args.scenario)? else {
        return Ok(USAGE);
    };
    script.sidecars = args.sidecars.unwrap_or(script.sidecars).max(1);
    script.pods = args.pods.unwrap_or(script.pods).max(1);
    script.rate = args.rate.unwrap_or(script.rate);
    let folder = args.scenario.parent().unwrap_or(Path::new(""));
    let settings_file = folder.join(&script.settings);
    let given = scenario::settings_values(&script);
    let given = given.iter().map(|(name, value)| format!("{name}={value}"));
    let given: Vec<String> = given.collect();
    let Some(site) = settings::load(&settings_file, &given)? else {
        return Ok(USAGE);
    };
    let started = Instant::now();
    let played = play(&args, &script, site, settings_file)?;
    if let Some(folder) = &args.ledger {
        ledger::write(folder, "day", &played.entries)?;
    }
    let verdicts = check(&played.entries)?;
    report(&script, &played, args.seed, started.elapsed().as_secs_f64());
    let broken = print_verdicts(&verdicts);
    if let Some(file) = &args.json {
        write_json(file, &as_json(&script, &played, args.seed, &verdicts))?;
    }
    for trouble in &played.unexpected_faults {
        println!("trouble: {trouble}");
    }
    status(&played, broken)
}

fn play(
    args: &ScenarioArgs,
    script: &Scenario,
    site: Site,
    settings: PathBuf,
) -> anyhow::Result<ScenarioOutcome> {
    let temporary = tempfile::tempdir().context("a folder for lists and logs")?;
    let folder = args.ledger.as_deref().unwrap_or(temporary.path());
    std::fs::create_dir_all(folder).with_context(|| format!("{}", folder.display()))?;
    let launch = Launch {
        program: std::env::current_exe().context("this program's own path")?,
        settings,
        folder: folder.to_path_buf(),
        trace: args.trace.clone(),
    };
    let bar = progress_bar(script.length / NANOS_PER_SECOND);
    let show_progress = |at: u64, line: String| {
        bar.set_position(at / NANOS_PER_SECOND);
        bar.set_message(line);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let playing = scenario::run(script.clone(), site, launch, args.seed, show_progress);
    let played = runtime.block_on(tokio::task::LocalSet::new().run_until(playing))?;
    bar.finish_and_clear();
    Ok(played)
}

/// Returns a bar of so many seconds, hidden where standard error is no terminal.
fn progress_bar(seconds: u64) -> ProgressBar {
    let style = ProgressStyle::with_template("{pos:>3}/{len} s {wide_msg}");
    ProgressBar::new(seconds).with_style(style.unwrap_or(ProgressStyle::default_bar()))
}

/// Returns the exit status: broken invariants first, then a ledger that proves nothing, then unexpected faults.
fn status(played: &ScenarioOutcome, broken: usize) -> anyhow::Result<u8> {
    let (lost, troubles) = (played.lost, played.unexpected_faults.len());
    match (broken, lost, troubles) {
        (0, 0, 0) => Ok(DONE),
        (0, 0, _) => bail!("{troubles} troubles that the script did not make"),
        (0, _, _) => bail!("{lost} entries did not fit into the ledger, so it proves nothing"),
        _ => Ok(BROKEN),
    }
}

/// Returns the priority weight delivered within the latency objective, as a share of the weight requested.
fn service(fared: &[ClassOutcomes]) -> f64 {
    let sum = |of: fn(&ClassOutcomes) -> u64| {
        fared
            .iter()
            .map(|group| group.priority_weight * of(group) as f64)
            .sum::<f64>()
    };
    sum(|group| group.in_time) / sum(|group| group.requests).max(1e-9)
}

fn report(script: &Scenario, played: &ScenarioOutcome, seed: u64, took_s: f64) {
    let Scenario {
        sidecars,
        pods,
        rate,
        ..
    } = script;
    println!(
        "{sidecars} sidecars, {pods} pods, {rate} hits/s, seed {seed}, played in {took_s:.1} s\n"
    );
    println!("path group      asked  in time  late  bounced  errored  left  wrong  p50 ms  p99 ms");
    for ClassOutcomes {
        route_class,
        requests,
        in_time,
        late,
        rejected,
        failed,
        left,
        wrong,
        took_us,
        ..
    } in &played.outcomes
    {
        let ms = |quantile| took_us.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{route_class:<12} {requests:>8} {in_time:>8} {late:>5} {rejected:>8} {failed:>8} {left:>5} {wrong:>6} {:>7.1} {:>7.1}",
            ms(0.5),
            ms(0.99)
        );
    }
    let count = |of: fn(&LedgerEvent) -> bool| {
        played
            .entries
            .iter()
            .filter(|entry| of(&entry.event))
            .count()
    };
    println!(
        "\nservice {:.3}; {} tries by clients, {} forwards, {} turned away unseen, votes {:?}",
        service(&played.outcomes),
        played.attempts,
        count(|seen| matches!(seen, LedgerEvent::Arrived { .. })),
        count(|seen| matches!(seen, LedgerEvent::Unprocessed { .. })),
        played.votes
    );
    for line in &played.release_log {
        println!("{line}");
    }
}

fn as_json(
    script: &Scenario,
    played: &ScenarioOutcome,
    seed: u64,
    verdicts: &[Verdict],
) -> serde_json::Value {
    let group = |fared: &ClassOutcomes| {
        let us = |quantile| fared.took_us.value_at_quantile(quantile);
        json!({
            "path_group": fared.route_class, "asked": fared.requests, "in_time": fared.in_time, "late": fared.late,
            "bounced": fared.rejected, "errored": fared.failed, "left": fared.left, "wrong": fared.wrong,
            "took_p50_us": us(0.5), "took_p99_us": us(0.99),
        })
    };
    json!({
        "sidecars": script.sidecars, "pods": script.pods, "rate_per_s": script.rate, "seed": seed,
        "path_groups": played.outcomes.iter().map(group).collect::<Vec<_>>(),
        "service": service(&played.outcomes), "tries": played.attempts, "votes": played.votes, "story": played.release_log, "troubles": played.unexpected_faults,
        "rules": verdicts,
    })
}
