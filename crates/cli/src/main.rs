//! The program `havenplank`: its command line, and the dispatch to a module for each sub-command.

mod allocator;
mod bench;
mod bench_capacity;
mod bench_proxy_capacity;
mod bench_takeover;
mod bench_trace;
mod distribute;
mod logging;
mod member;
mod platform;
mod scenario;
mod serve;
mod settings;
mod traces;
mod verify;

use anyhow::Context;
use clap::{Parser, Subcommand};
use logging::LogFormat;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit status: done.
pub const DONE: u8 = 0;
/// Exit status: the command failed.
pub const FAILED: u8 = 1;
/// Exit status: an invariant is violated, or a replayed decision differs from the recorded one.
pub const BROKEN: u8 = 2;
/// Exit status: bad usage or settings.
pub const USAGE: u8 = 64;

#[derive(Parser)]
#[command(
    name = "havenplank",
    version,
    about = "A request router that also votes on releases"
)]
struct Args {
    /// Format of the log lines on standard error.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, global = true)]
    log_format: LogFormat,
    /// Lowest level that is logged: error, warn, info, debug or trace; may be set for single modules (MODULE=LEVEL).
    #[arg(long, value_name = "LEVEL", global = true)]
    log: Option<String>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a sidecar until it is stopped by SIGTERM or SIGINT.
    Serve {
        settings: PathBuf,
        /// Value that the script reads with given(NAME, DEFAULT); may be repeated.
        #[arg(long, value_name = "NAME=VALUE")]
        given: Vec<String>,
        /// Seed of the random numbers that the decisions use; by default the time of the start.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Run a sidecar on the operators' platform, configured by the file that PROXY_CONFIG names.
    Platform,
    /// Compile a script of routes and tenants and distribute it to running sidecars.
    Distribute(distribute::DistributeArgs),
    /// Run one member of the membership protocol by itself, to test its network and key.
    #[command(alias = "fellow")]
    Member(member::MemberArgs),
    /// Check a settings script and print every mistake in it.
    Check {
        settings: PathBuf,
        #[arg(long, value_name = "NAME=VALUE")]
        given: Vec<String>,
    },
    /// Run a scenario with emulated peers in this process and sidecars as child processes, then check the invariants
    /// over the ledger of what crossed the sockets.
    #[command(alias = "day")]
    Scenario(scenario::ScenarioArgs),
    /// Measure on loopback: proxy (added latency, CPU and memory per request), trace (cost of recording), memory
    /// (per request in flight), flood (overload), takeover (cost of leases, time to resume), growth (traffic within
    /// groups of 3 to 64 sidecars). trace-file measures a long recording and its tools in virtual time. capacity runs
    /// scale tests: the cost of each component at several sizes, and how it grows with the size.
    Bench(bench::BenchArgs),
    /// Run a process for the bench: pod, small-pod, pods with addresses, or bare with the addresses of the pods.
    #[command(hide = true)]
    BenchPart {
        kind: String,
        pods: Vec<std::net::SocketAddr>,
    },
    /// Read, cut, merge, anonymise, summarise and replay recorded traces.
    Trace {
        #[command(subcommand)]
        command: traces::TraceCommand,
    },
    /// Check the invariants over a stored ledger.
    #[command(alias = "rules")]
    Verify {
        ledger: PathBuf,
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
}

impl Command {
    /// Returns whether the command runs until it is stopped. Such a command logs at level info by default.
    fn is_long_running(&self) -> bool {
        matches!(
            self,
            Command::Serve { .. } | Command::Platform | Command::Member(_) | Command::Distribute(_)
        )
    }
}

fn main() -> ExitCode {
    let args = match Args::try_parse() {
        Ok(args) => args,
        Err(error) => return exit_with_usage(&error),
    };
    let default_level = if args.command.is_long_running() {
        "info"
    } else {
        "warn"
    };
    let level = args.log.as_deref().unwrap_or(default_level);
    if let Err(error) = logging::init(args.log_format, level) {
        eprintln!("havenplank: --log: {error}; expected a level such as info or debug");
        return ExitCode::from(USAGE);
    }
    match run(args.command) {
        Ok(status) => ExitCode::from(status),
        Err(error) => {
            eprintln!("havenplank: {error:#}");
            ExitCode::from(FAILED)
        }
    }
}

/// Prints the message of the argument parser. Clap reports help and version as errors too; these exit with `DONE`.
fn exit_with_usage(error: &clap::Error) -> ExitCode {
    let _ = error.print();
    if error.use_stderr() {
        ExitCode::from(USAGE)
    } else {
        ExitCode::from(DONE)
    }
}

fn run(command: Command) -> anyhow::Result<u8> {
    match command {
        Command::Serve {
            settings,
            given,
            seed,
        } => match settings::load(&settings, &given)? {
            Some(site) => serve::serve(site, seed),
            None => Ok(USAGE),
        },
        Command::Platform => platform::platform(),
        Command::Distribute(args) => distribute::distribute(args),
        Command::Member(args) => member::member(args),
        Command::Check { settings, given } => settings::check(&settings, &given),
        Command::Scenario(args) => scenario::scenario(args),
        Command::Bench(args) => bench::run(args),
        Command::BenchPart { kind, pods } => bench::run_part(&kind, pods),
        Command::Trace { command } => traces::run(command),
        Command::Verify { ledger, json } => verify::verify(&ledger, json.as_deref()),
    }
}

/// Writes a value as JSON to a file.
///
/// # Errors
/// A file that cannot be written.
pub fn write_json(file: &Path, value: &serde_json::Value) -> anyhow::Result<()> {
    std::fs::write(file, format!("{value:#}\n"))
        .with_context(|| format!("cannot write {}", file.display()))
}
