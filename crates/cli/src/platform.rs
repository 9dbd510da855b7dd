//! `havenplank platform`: the sidecar on the operators' platform, configured by its environment.

use crate::USAGE;
use anyhow::Context;
use havenplank_platform::{serve, Config, Orders};
use std::path::PathBuf;
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

const FILE: &str = "PROXY_CONFIG";
/// Orders that wait; signals of one kind merge by themselves.
const ORDERS: usize = 4;

pub fn platform() -> anyhow::Result<u8> {
    let Some(file) = std::env::var_os(FILE).map(PathBuf::from) else {
        eprintln!("havenplank: {FILE}: not set, expected the path of a configuration file");
        return Ok(USAGE);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())?;
    runtime.block_on(async {
        // Before all else: a signal that comes while we start must not end us.
        let mut reload = signal(SignalKind::hangup()).context("SIGHUP")?;
        let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
        let config = match Config::load(&file) {
            Ok(config) => config,
            Err(why) => {
                eprintln!("havenplank: {why}");
                return Ok(USAGE);
            }
        };
        let (name, sockets, votes) = (
            config.terms.name.clone(),
            config.sockets,
            format!("{:?}", config.terms.votes),
        );
        let instances = config.terms.position.instances;
        let (orders, ordered) = mpsc::channel(ORDERS);
        tokio::task::spawn_local(async move {
            loop {
                let order = tokio::select! {
                    _ = terminate.recv() => Orders::Stop,
                    _ = interrupt.recv() => Orders::Stop,
                    _ = reload.recv() => match Config::load(&file) {
                        Ok(config) => Orders::Reload(Box::new(config)),
                        Err(why) => {
                            tracing::warn!(%why, "configuration refused, the old one stays");
                            continue;
                        }
                    },
                };
                if orders.send(order).await.is_err() {
                    return;
                }
            }
        });
        let ready = |listen| tracing::info!(name, %listen, sockets, instances, votes, "listening");
        serve(config, ordered, ready).await?;
        Ok(0)
    })
}
