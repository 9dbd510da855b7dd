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

/// Reads a scenario. Prints the mistakes of a bad file and returns `None`.
fn read(file: &Path) -> anyhow::Result<Option<Scenario>> {
    let text =
        std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    match scenario_file::read(&text) {
        Ok(scenario) => Ok(Some(scenario)),
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
    /// Also write the outcome as JSON to this file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Store the ledger and the logs of the sidecars in this folder.
    #[arg(long, value_name = "DIR")]
    ledger: Option<PathBuf>,
    /// Let the sidecars record traces in this folder.
    #[arg(long, value_name = "DIR")]
    trace: Option<PathBuf>,
    /// Number of sidecars; by default the scenario's.
    #[arg(long)]
    sidecars: Option<usize>,
    /// Number of pods; by default the scenario's.
    #[arg(long)]
    pods: Option<usize>,
    /// Requests per second; by default the scenario's.
    #[arg(long)]
    rate: Option<f64>,
}

/// Runs a scenario, checks the invariants over its ledger and prints the outcome.
///
/// # Errors
/// Files that cannot be read or written, sidecars that cannot be started, and faults that the scenario does not
/// contain.
pub fn scenario(args: ScenarioArgs) -> anyhow::Result<u8> {
    let Some(mut scenario) = read(&args.scenario)? else {
        return Ok(USAGE);
    };
    scenario.sidecars = args.sidecars.unwrap_or(scenario.sidecars).max(1);
    scenario.pods = args.pods.unwrap_or(scenario.pods).max(1);
    scenario.rate = args.rate.unwrap_or(scenario.rate);
    let folder = args.scenario.parent().unwrap_or(Path::new(""));
    let settings_file = folder.join(&scenario.settings);
    let given = scenario::settings_values(&scenario);
    let given = given.iter().map(|(name, value)| format!("{name}={value}"));
    let given: Vec<String> = given.collect();
    let Some(site) = settings::load(&settings_file, &given)? else {
        return Ok(USAGE);
    };
    let started = Instant::now();
    let outcome = run(&args, &scenario, site, settings_file)?;
    if let Some(folder) = &args.ledger {
        ledger::write(folder, "day", &outcome.entries)?;
    }
    let verdicts = check(&outcome.entries)?;
    print_outcome(
        &scenario,
        &outcome,
        args.seed,
        started.elapsed().as_secs_f64(),
    );
    let broken = print_verdicts(&verdicts);
    if let Some(file) = &args.json {
        write_json(
            file,
            &outcome_json(&scenario, &outcome, args.seed, &verdicts),
        )?;
    }
    for fault in &outcome.unexpected_faults {
        println!("unexpected fault: {fault}");
    }
    status(&outcome, broken)
}

fn run(
    args: &ScenarioArgs,
    scenario: &Scenario,
    site: Site,
    settings: PathBuf,
) -> anyhow::Result<ScenarioOutcome> {
    let temporary =
        tempfile::tempdir().context("cannot create a temporary folder for lists and logs")?;
    let folder = args.ledger.as_deref().unwrap_or(temporary.path());
    std::fs::create_dir_all(folder)
        .with_context(|| format!("cannot create {}", folder.display()))?;
    let launch = Launch {
        program: std::env::current_exe().context("cannot find the path of this program")?,
        settings,
        folder: folder.to_path_buf(),
        trace: args.trace.clone(),
    };
    let bar = progress_bar(scenario.length / NANOS_PER_SECOND);
    let show_progress = |at: u64, line: String| {
        bar.set_position(at / NANOS_PER_SECOND);
        bar.set_message(line);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let running = scenario::run(scenario.clone(), site, launch, args.seed, show_progress);
    let outcome = runtime.block_on(tokio::task::LocalSet::new().run_until(running))?;
    bar.finish_and_clear();
    Ok(outcome)
}

/// Returns a progress bar over the length of a scenario. `indicatif` hides the bar if standard error is no terminal.
fn progress_bar(seconds: u64) -> ProgressBar {
    let style = ProgressStyle::with_template("{pos:>3}/{len} s {wide_msg}");
    ProgressBar::new(seconds).with_style(style.unwrap_or(ProgressStyle::default_bar()))
}

/// Returns the exit status. Violated invariants take precedence, then an incomplete ledger, then unexpected faults.
fn status(outcome: &ScenarioOutcome, broken: usize) -> anyhow::Result<u8> {
    let (lost, faults) = (outcome.lost, outcome.unexpected_faults.len());
    match (broken, lost, faults) {
        (0, 0, 0) => Ok(DONE),
        (0, 0, _) => bail!("{faults} faults that the scenario does not contain"),
        (0, _, _) => bail!(
            "ledger incomplete: {lost} entries did not fit, so the invariants are not verified"
        ),
        _ => Ok(BROKEN),
    }
}

/// Returns the priority weight delivered within the latency objective, as a share of the weight requested.
fn service_ratio(classes: &[ClassOutcomes]) -> f64 {
    let sum = |of: fn(&ClassOutcomes) -> u64| {
        classes
            .iter()
            .map(|class| class.priority_weight * of(class) as f64)
            .sum::<f64>()
    };
    sum(|class| class.in_time) / sum(|class| class.requests).max(1e-9)
}

fn print_outcome(scenario: &Scenario, outcome: &ScenarioOutcome, seed: u64, took_s: f64) {
    let Scenario {
        sidecars,
        pods,
        rate,
        ..
    } = scenario;
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
    } in &outcome.outcomes
    {
        let ms = |quantile| took_us.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{route_class:<12} {requests:>8} {in_time:>8} {late:>5} {rejected:>8} {failed:>8} {left:>5} {wrong:>6} {:>7.1} {:>7.1}",
            ms(0.5),
            ms(0.99)
        );
    }
    let count = |of: fn(&LedgerEvent) -> bool| {
        outcome
            .entries
            .iter()
            .filter(|entry| of(&entry.event))
            .count()
    };
    println!(
        "\nservice {:.3}; {} attempts by clients, {} attempts at pods, {} rejected unprocessed, votes {:?}",
        service_ratio(&outcome.outcomes),
        outcome.attempts,
        count(|event| matches!(event, LedgerEvent::Arrived { .. })),
        count(|event| matches!(event, LedgerEvent::Unprocessed { .. })),
        outcome.votes
    );
    for line in &outcome.release_log {
        println!("{line}");
    }
}

fn outcome_json(
    scenario: &Scenario,
    outcome: &ScenarioOutcome,
    seed: u64,
    verdicts: &[Verdict],
) -> serde_json::Value {
    let class_json = |class: &ClassOutcomes| {
        let us = |quantile| class.took_us.value_at_quantile(quantile);
        json!({
            "path_group": class.route_class, "asked": class.requests, "in_time": class.in_time, "late": class.late,
            "bounced": class.rejected, "errored": class.failed, "left": class.left, "wrong": class.wrong,
            "took_p50_us": us(0.5), "took_p99_us": us(0.99),
        })
    };
    json!({
        "sidecars": scenario.sidecars, "pods": scenario.pods, "rate_per_s": scenario.rate, "seed": seed,
        "path_groups": outcome.outcomes.iter().map(class_json).collect::<Vec<_>>(),
        "service": service_ratio(&outcome.outcomes), "tries": outcome.attempts, "votes": outcome.votes, "story": outcome.release_log, "troubles": outcome.unexpected_faults,
        "rules": verdicts,
    })
}
