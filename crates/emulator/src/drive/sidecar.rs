//! The sidecar process of a drive.

use super::error::DriveError;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// How long the sidecar may take from its start until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of log lines kept for the error when the sidecar does not listen.
const MAX_START_LINES: usize = 64;

/// A running sidecar process; killed when dropped.
pub(super) struct Sidecar {
    child: Child,
    pub(super) address: SocketAddr,
}

impl Sidecar {
    /// Starts the program with these settings and waits until it listens; its log goes to `log`.
    ///
    /// # Errors
    /// The process does not start, or does not listen within [`START_TIMEOUT`].
    pub(super) async fn start(
        program: PathBuf,
        settings: &Path,
        seed: u64,
        log: PathBuf,
        tasks: &mut JoinSet<()>,
    ) -> Result<Sidecar, DriveError> {
        let mut child = Command::new(program)
            .args(["--log-format", "json", "serve"])
            .arg(settings)
            .args(["--seed", &seed.to_string()])
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let (ready, listens) = oneshot::channel();
        let (start_lines, mut logged) = mpsc::channel(MAX_START_LINES);
        if let Some(stderr) = child.stderr.take() {
            let lines = BufReader::new(stderr);
            tasks.spawn_local(read_log(lines, log, ready, start_lines));
        }
        let listens = timeout(START_TIMEOUT, listens).await;
        let Some(address) = listens.ok().and_then(Result::ok) else {
            let mut lines = Vec::new();
            while let Ok(line) = logged.try_recv() {
                lines.push(line);
            }
            return Err(DriveError::NotListening(lines.join("; ")));
        };
        Ok(Sidecar { child, address })
    }

    /// Kills the process; returns its status if it had ended by itself.
    ///
    /// # Errors
    /// The state of the process cannot be read.
    pub(super) async fn stop(mut self) -> Result<Option<ExitStatus>, DriveError> {
        let ended = self.child.try_wait()?;
        let _ = self.child.kill().await;
        Ok(ended)
    }
}

/// Copies the log to a file, sends the lines before the sidecar listens, and then its address.
async fn read_log(
    log: impl AsyncBufRead + Unpin,
    file: PathBuf,
    ready: oneshot::Sender<SocketAddr>,
    start_lines: mpsc::Sender<String>,
) {
    let mut lines = log.lines();
    let mut ready = Some(ready);
    let mut copy = std::fs::File::create(file).ok();
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some(copy) = &mut copy {
            let _ = writeln!(copy, "{line}");
        }
        match (listen_address(&line), ready.take()) {
            (Some(address), Some(ready)) => {
                let _ = ready.send(address);
            }
            // The lines before it listens show why it did not.
            (None, Some(still_waiting)) => {
                ready = Some(still_waiting);
                let _ = start_lines.try_send(line);
            }
            (_, None) => {}
        }
    }
}

fn listen_address(line: &str) -> Option<SocketAddr> {
    let logged: serde_json::Value = serde_json::from_str(line).ok()?;
    logged["fields"]["listen"].as_str()?.parse().ok()
}
