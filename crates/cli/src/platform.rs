//! `havenplank platform`: runs a sidecar on the operators' platform, configured by the file that PROXY_CONFIG names.

use crate::allocator::allocated_bytes;
use crate::USAGE;
use anyhow::Context;
use havenplank_platform::{serve, Command, Config};
use std::path::{Path, PathBuf};
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

/// Environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";
/// Capacity of the command queue. Few are enough, since pending signals of one kind merge into one.
const COMMAND_QUEUE: usize = 4;

/// Runs the sidecar until a signal stops it, and returns the exit code.
pub fn platform() -> anyhow::Result<u8> {
    let Some(file) = std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from) else {
        eprintln!(
            "havenplank: {CONFIG_VARIABLE}: not set; expected the path of a configuration file"
        );
        return Ok(USAGE);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())?;
    runtime.block_on(run(file))
}

async fn run(file: PathBuf) -> anyhow::Result<u8> {
    // Handlers are installed first, so that a signal during the start does not kill the process.
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
    serve(config, allocated_bytes, commands, ready).await?;
    Ok(0)
}

/// The signals that control a sidecar.
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

    /// Waits for the next command. Returns `None` after a reload whose configuration was rejected.
    async fn next(&mut self, file: &Path) -> Option<Command> {
        tokio::select! {
            _ = self.terminate.recv() => Some(Command::Stop),
            _ = self.interrupt.recv() => Some(Command::Stop),
            _ = self.reload.recv() => reload_config(file),
        }
    }
}

fn reload_config(file: &Path) -> Option<Command> {
    match Config::load(file) {
        Ok(config) => Some(Command::Reload(Box::new(config))),
        Err(reason) => {
            tracing::warn!(%reason, "configuration rejected; the old one stays in force");
            None
        }
    }
}

/// Forwards signals as commands until the receiver is dropped.
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
