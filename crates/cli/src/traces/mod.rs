//! `havenplank trace`: tools for recorded traces, with one module per sub-command.

mod anonymise;
mod cut;
mod drive;
mod export;
mod files;
mod from_bench;
mod info;
mod merge;
mod replay;
mod summarise;

use clap::Subcommand;
use std::path::PathBuf;

/// Sub-commands of `havenplank trace`.
#[derive(Subcommand)]
pub enum TraceCommand {
    /// Print an overview of a trace, from its head and index.
    Info { file: PathBuf },
    /// Copy the records between two times, each since the first record ("90s") or absolute (RFC 3339, UTC).
    Cut {
        file: PathBuf,
        #[arg(long)]
        from: String,
        #[arg(long)]
        to: String,
        #[arg(long, short, value_name = "FILE")]
        output: PathBuf,
    },
    /// Merge traces into one, with clocks aligned by the events that all sidecars received. The files of one process
    /// must be given in order.
    Merge {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long, short, value_name = "FILE")]
        output: PathBuf,
    },
    /// Copy with pseudonyms for names, keys, addresses and log texts. Their key is discarded unless --key names a file.
    Anonymise {
        file: PathBuf,
        #[arg(long, short, value_name = "FILE")]
        output: PathBuf,
        /// Use the key in this file, which is created if it is missing. Traces with the same key get the same
        /// pseudonyms.
        #[arg(long, value_name = "FILE")]
        key: Option<PathBuf>,
    },
    /// Print figures by build, route class and pod, and by time span if --span is given.
    Summarise {
        file: PathBuf,
        /// Length of one time span, such as "10s".
        #[arg(long)]
        span: Option<String>,
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Print every record as a line of JSON.
    Export { file: PathBuf },
    /// Print all records of one request.
    Show {
        file: PathBuf,
        /// Id of the request.
        #[arg(long = "hit", value_name = "HIT")]
        request: u64,
        /// Name of the sidecar; by default the records of all sidecars are printed.
        #[arg(long)]
        source: Option<String>,
    },
    /// Send one sidecar's recorded requests and faults to a real sidecar with emulated peers, in real time.
    Drive {
        file: PathBuf,
        /// Name of the sidecar; needed if the trace holds several.
        #[arg(long)]
        source: Option<String>,
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Make a trace of a bench run from copies of the adapter's input and output, as `tee` makes them.
    FromBench {
        input: PathBuf,
        output: PathBuf,
        #[arg(long, short = 'o', value_name = "FILE")]
        trace: PathBuf,
    },
    /// Replay the recorded events through the library and compare every decision.
    Replay {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

/// Runs a sub-command and returns its exit status.
///
/// # Errors
/// Files that cannot be read or written, and arguments that do not fit the trace.
pub fn run(command: TraceCommand) -> anyhow::Result<u8> {
    match command {
        TraceCommand::Info { file } => info::info(&file),
        TraceCommand::Cut {
            file,
            from,
            to,
            output,
        } => cut::cut(&file, &from, &to, &output),
        TraceCommand::Merge { files, output } => merge::merge(&files, &output),
        TraceCommand::Anonymise { file, output, key } => {
            anonymise::anonymise(&file, &output, key.as_deref())
        }
        TraceCommand::Summarise { file, span, json } => {
            summarise::summarise(&file, span.as_deref(), json.as_deref())
        }
        TraceCommand::Export { file } => export::export(&file),
        TraceCommand::Show {
            file,
            request,
            source,
        } => export::show(&file, request, source.as_deref()),
        TraceCommand::Drive { file, source, json } => {
            drive::drive(&file, source.as_deref(), json.as_deref())
        }
        TraceCommand::FromBench {
            input,
            output,
            trace,
        } => from_bench::from_bench(&input, &output, &trace),
        TraceCommand::Replay { files } => replay::replay(&files),
    }
}
