//! The one program, `havenplank`. Exit status: 0 done, 1 failed, 2 a rule is broken or a replay differs, 64 bad
//! usage or settings.

mod bench;
mod bench_capacity;
mod bench_proxy_capacity;
mod bench_takeover;
mod bench_trace;
mod day;
mod distribute;
mod fellow;
mod platform;
mod serve;
mod traces;

use anyhow::{bail, Context};
use clap::{Parser, Subcommand, ValueEnum};
use havenplank_settings::{Given, Site};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

pub const FAILED: u8 = 1;
pub const BROKEN: u8 = 2;
pub const USAGE: u8 = 64;

#[derive(Parser)]
#[command(name = "havenplank", version, about = "A hit router and release judge")]
struct Args {
    /// How log lines look, on standard error.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, global = true)]
    log_format: LogFormat,
    /// Least level that is logged: error, warn, info, debug or trace, for single modules as well.
    #[arg(long, value_name = "LEVEL", global = true)]
    log: Option<String>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Run a sidecar until it is told to stop by SIGTERM or SIGINT.
    Serve {
        settings: PathBuf,
        /// A value that the script reads with given(NAME, otherwise); may be repeated.
        #[arg(long, value_name = "NAME=VALUE")]
        given: Vec<String>,
        /// Where the decisions' chance starts; drawn where it is left out.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Run a sidecar on the operators' platform, by the file that PROXY_CONFIG names.
    Platform,
    /// Compile a script of routes and tenants and give it out to running sidecars.
    Distribute(distribute::Distribute),
    /// Run one member of the fellowship by itself, to try its network and key.
    Fellow(fellow::Fellow),
    /// Check a settings script and print every mistake in it.
    Check {
        settings: PathBuf,
        #[arg(long, value_name = "NAME=VALUE")]
        given: Vec<String>,
    },
    /// Play a day: stand-ins here, sidecars as child processes, the rules checked from what crossed the sockets.
    Day {
        day: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Write the outcome as JSON, too.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Keep the ledger and the sidecars' logs in this folder.
        #[arg(long, value_name = "DIR")]
        ledger: Option<PathBuf>,
        /// Let the sidecars record hits and decisions in this folder.
        #[arg(long, value_name = "DIR")]
        trace: Option<PathBuf>,
        /// Play with so many sidecars in place of the day's own number.
        #[arg(long)]
        sidecars: Option<usize>,
        #[arg(long)]
        pods: Option<usize>,
        /// Hits a second.
        #[arg(long)]
        rate: Option<f64>,
    },
    /// Measure on loopback: proxy (added latency, CPU and memory a hit), trace (what recording costs), memory
    /// alone, flood (past the maximum), takeover (what guarding costs, how soon another goes on), growth (what
    /// sidecars say to each other, 3 to 64 of them); trace-file: a long recording and its tools, in virtual time;
    /// capacity: scale tests of what each part costs at several sizes, and how that grows.
    Bench {
        #[arg(value_name = "BENCH")]
        bench: String,
        /// Scale tests to run, of `capacity`; may be repeated, all of them where it is left out.
        #[arg(long, value_enum, value_name = "PART")]
        what: Vec<bench_capacity::Part>,
        /// Smaller sizes of `capacity`, in a minute or two.
        #[arg(long)]
        quick: bool,
        /// Length of each measured turn.
        #[arg(long, default_value_t = 4)]
        seconds: u64,
        #[arg(long, default_value_t = 3)]
        rounds: u64,
        /// Hits of the long recording.
        #[arg(long, default_value_t = 1_000_000)]
        hits: u64,
        /// Sidecars killed, one after the other.
        #[arg(long, default_value_t = 200)]
        kills: usize,
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// A part that the bench starts: pod, or bare with the pods' addresses.
    #[command(hide = true)]
    BenchPart {
        kind: String,
        pods: Vec<std::net::SocketAddr>,
    },
    /// Read, cut, merge, anonymise, summarise and replay recorded traces.
    Trace {
        #[command(subcommand)]
        what: traces::Trace,
    },
    /// Check a kept ledger again.
    Rules {
        ledger: PathBuf,
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let args = match Args::try_parse() {
        Ok(args) => args,
        Err(error) => {
            let _ = error.print();
            // Help and version are no mistakes.
            return if error.use_stderr() {
                ExitCode::from(USAGE)
            } else {
                ExitCode::SUCCESS
            };
        }
    };
    let runs = matches!(
        args.command,
        Command::Serve { .. } | Command::Platform | Command::Fellow(_) | Command::Distribute(_)
    );
    let usual = if runs { "info" } else { "warn" };
    let filter = tracing_subscriber::EnvFilter::try_new(args.log.as_deref().unwrap_or(usual));
    let filter = match filter {
        Ok(filter) => filter,
        Err(error) => {
            eprintln!("havenplank: --log: {error}; expected a level such as info or debug");
            return ExitCode::from(USAGE);
        }
    };
    let colour = std::io::IsTerminal::is_terminal(&std::io::stderr());
    let log = tracing_subscriber::fmt()
        .with_ansi(colour)
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match args.log_format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
    match run(args.command) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("havenplank: {error:#}");
            ExitCode::from(FAILED)
        }
    }
}

fn run(command: Command) -> anyhow::Result<u8> {
    match command {
        Command::Serve {
            settings,
            given,
            seed,
        } => match settings_of(&settings, &given)? {
            Some(site) => serve::serve(site, seed),
            None => Ok(USAGE),
        },
        Command::Platform => platform::platform(),
        Command::Fellow(args) => fellow::fellow(args),
        Command::Distribute(args) => distribute::distribute(args),
        Command::Check { settings, given } => match settings_of(&settings, &given)? {
            Some(site) => {
                let routes = match site.configuration {
                    Some(_) => "routes from a distributor".to_string(),
                    None => format!("{} path groups", site.route_classes.len()),
                };
                println!("{}: {routes}, no mistakes", settings.display());
                Ok(0)
            }
            None => Ok(USAGE),
        },
        Command::Trace { what } => traces::run(what),
        Command::Day {
            day,
            seed,
            json,
            ledger,
            trace,
            sidecars,
            pods,
            rate,
        } => {
            let Some(mut script) = day::read(&day)? else {
                return Ok(USAGE);
            };
            script.sidecars = sidecars.unwrap_or(script.sidecars).max(1);
            script.pods = pods.unwrap_or(script.pods).max(1);
            script.rate = rate.unwrap_or(script.rate);
            let settings = day.parent().unwrap_or(Path::new("")).join(&script.settings);
            let given: Vec<String> = havenplank_emulator::day::given(&script)
                .iter()
                .map(|(name, value)| format!("{name}={value}"))
                .collect();
            let Some(site) = settings_of(&settings, &given)? else {
                return Ok(USAGE);
            };
            day::play(
                script,
                site,
                settings,
                seed,
                json.as_deref(),
                ledger.as_deref(),
                trace.as_deref(),
            )
        }
        Command::Bench {
            bench,
            what,
            quick,
            json,
            ..
        } if bench == "capacity" => bench_capacity::bench(&what, quick, json.as_deref()),
        Command::Bench {
            bench, hits, json, ..
        } if bench == "trace-file" => bench_trace::bench(hits, json.as_deref()),
        Command::Bench {
            bench,
            seconds,
            kills,
            json,
            ..
        } if bench == "takeover" => bench_takeover::bench(seconds, kills, json.as_deref()),
        Command::Bench {
            bench,
            seconds,
            json,
            ..
        } if bench == "growth" => bench_takeover::growth(seconds, json.as_deref()),
        Command::Bench {
            bench,
            seconds,
            rounds,
            json,
            ..
        } => bench::bench(&bench, seconds, rounds, json.as_deref()),
        Command::BenchPart { kind, pods } => bench::part(&kind, pods),
        Command::Rules { ledger, json } => day::rules(&ledger, json.as_deref()),
    }
}

/// Values handed to a script.
fn given_of(pairs: &[String]) -> anyhow::Result<Given> {
    let mut values = Given::new();
    for pair in pairs {
        let Some((name, value)) = pair.split_once('=') else {
            bail!("--given {pair:?}: expected NAME=VALUE");
        };
        values.insert(name.to_string(), value.to_string());
    }
    Ok(values)
}

/// The checked settings; `None` after its mistakes were printed.
fn settings_of(file: &Path, given: &[String]) -> anyhow::Result<Option<Site>> {
    let values = given_of(given)?;
    match havenplank_settings::load(file, &values) {
        Ok(site) => Ok(Some(site)),
        Err(problems) => {
            eprintln!("{problems}");
            Ok(None)
        }
    }
}

/// Writes a value as JSON to a file.
pub fn write_json(file: &Path, value: &serde_json::Value) -> anyhow::Result<()> {
    std::fs::write(file, format!("{value:#}\n")).with_context(|| format!("{}", file.display()))
}
