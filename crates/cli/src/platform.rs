//! `havenplank platform`: the sidecar on the operators' platform, configured by its environment.

use crate::USAGE;
use anyhow::Context;
use havenplank_platform::{serve, Command, Config};
use std::path::{Path, PathBuf};
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

/// The variable that names the configuration file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";
/// Commands that wait; signals of one kind merge by themselves.
const COMMAND_QUEUE: usize = 4;

/// Runs the sidecar until it is told to stop, and returns the exit code.
pub fn platform() -> anyhow::Result<u8> {
    let Some(file) = std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from) else {
        eprintln!(
            "havenplank: {CONFIG_VARIABLE}: not set, expected the path of a configuration file"
        );
        return Ok(USAGE);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())?;
    runtime.block_on(run(file))
}

async fn run(file: PathBuf) -> anyhow::Result<u8> {
    // Before all else: a signal that comes while we start must not end us.
    let signals = Signals::install()?;
    let config = match Config::load(&file) {
        Ok(config) => config,
        Err(reason) => {
            eprintln!("havenplank: {reason}");
            return Ok(USAGE);
        }
    };
    let name = config.engine.name.clone();
    let descriptors = config.descriptors;
    let instances = config.engine.position.instances;
    let votes = format!("{:?}", config.engine.votes);
    let (sender, commands) = mpsc::channel(COMMAND_QUEUE);
    tokio::task::spawn_local(forward_signals(signals, file, sender));
    let ready = |listen| tracing::info!(name, %listen, descriptors, instances, votes, "listening");
    serve(config, commands, ready).await?;
    Ok(0)
}

/// The signals that a sidecar obeys.
struct Signals {
    reload: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn install() -> anyhow::Result<Signals> {
        Ok(Signals {
            reload: signal(SignalKind::hangup()).context("SIGHUP")?,
            terminate: signal(SignalKind::terminate()).context("SIGTERM")?,
            interrupt: signal(SignalKind::interrupt()).context("SIGINT")?,
        })
    }

    /// Waits for the next command; none where a reload found a configuration that is refused.
    async fn next(&mut self, file: &Path) -> Option<Command> {
        tokio::select! {
            _ = self.terminate.recv() => Some(Command::Stop),
            _ = self.interrupt.recv() => Some(Command::Stop),
            _ = self.reload.recv() => load_again(file),
        }
    }
}

fn load_again(file: &Path) -> Option<Command> {
    match Config::load(file) {
        Ok(config) => Some(Command::Reload(Box::new(config))),
        Err(reason) => {
            tracing::warn!(%reason, "configuration refused, the old one stays");
            None
        }
    }
}

/// Turns signals into commands until nobody takes them.
async fn forward_signals(mut signals: Signals, file: PathBuf, commands: mpsc::Sender<Command>) {
    loop {
        let Some(command) = signals.next(&file).await else {
            continue;
        };
        if commands.send(command).await.is_err() {
            return;
        }
    }
}
