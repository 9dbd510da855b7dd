//! Log lines on standard error, as text or JSON.

use clap::ValueEnum;
use std::io::IsTerminal;
use tracing_subscriber::filter::ParseError;
use tracing_subscriber::EnvFilter;

/// Format of log lines.
#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

/// Starts logging, with colours on a terminal. Must be called only once, since it sets the global subscriber.
///
/// # Errors
/// Levels that cannot be parsed.
pub fn init(format: LogFormat, levels: &str) -> Result<(), ParseError> {
    let filter = EnvFilter::try_new(levels)?;
    let subscriber = tracing_subscriber::fmt()
        .with_ansi(std::io::stderr().is_terminal())
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().init(),
    }
    Ok(())
}
