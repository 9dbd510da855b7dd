//! The program `havenplank`: its command line, and the dispatch to a module for each sub-command.

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
/// Exit status: an invariant is broken, or a replay differs.
pub const BROKEN: u8 = 2;
/// Exit status: bad usage or settings.
pub const USAGE: u8 = 64;

#[derive(Parser)]
#[command(
    name = "havenplank",
    version,
    about = "A request router and release judge"
)]
struct Args {
    /// Format of log lines, on standard error.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, global = true)]
    log_format: LogFormat,
    /// Least level that is logged: error, warn, info, debug or trace, for single modules as well.
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
        /// A value that the script reads with given(NAME, otherwise); may be repeated.
        #[arg(long, value_name = "NAME=VALUE")]
        given: Vec<String>,
        /// Seed of the decisions' random numbers; drawn where it is left out.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Run a sidecar on the operators' platform, by the file that PROXY_CONFIG names.
    Platform,
    /// Compile a script of routes and tenants and distribute it to running sidecars.
    Distribute(distribute::Distribute),
    /// Run one member of the membership protocol by itself, to test its network and key.
    #[command(alias = "fellow")]
    Member(member::MemberArgs),
    /// Check a settings script and print every mistake in it.
    Check {
        settings: PathBuf,
        #[arg(long, value_name = "NAME=VALUE")]
        given: Vec<String>,
    },
    /// Run a scenario: emulated peers here, sidecars as child processes, the invariants checked by the ledger of
    /// what crossed the sockets.
    #[command(alias = "day")]
    Scenario(scenario::ScenarioArgs),
    /// Measure on loopback: proxy (added latency, CPU and memory per request), trace (cost of recording), memory
    /// alone, flood (past the maximum), takeover (cost of leases, time to resume), growth (traffic between
    /// 3 to 64 sidecars); trace-file: a long recording and its tools, in virtual time; capacity: scale tests of
    /// what each part costs at several sizes, and how that grows.
    Bench(bench::BenchArgs),
    /// A process that the bench starts: pod, or bare with the pods' addresses.
    #[command(hide = true)]
    BenchPart {
        kind: String,
        pods: Vec<std::net::SocketAddr>,
    },
    /// Read, cut, merge, anonymise, summarise and replay recorded traces.
    Trace {
        #[command(subcommand)]
        what: traces::TraceCommand,
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
    /// Whether the command runs until it is stopped, and so logs at info.
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
        Err(error) => return usage(&error),
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

/// Prints what is wrong with the command line. Help and version come here too and are no mistake.
fn usage(error: &clap::Error) -> ExitCode {
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
        Command::BenchPart { kind, pods } => bench::part(&kind, pods),
        Command::Trace { what } => traces::run(what),
        Command::Verify { ledger, json } => verify::verify(&ledger, json.as_deref()),
    }
}

/// Writes a value as JSON to a file.
///
/// # Errors
/// A file that cannot be written.
pub fn write_json(file: &Path, value: &serde_json::Value) -> anyhow::Result<()> {
    std::fs::write(file, format!("{value:#}\n")).with_context(|| format!("{}", file.display()))
}
