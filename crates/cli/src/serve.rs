//! `havenplank serve`: signals, log and runtime around the sidecar library, nothing else.

use anyhow::Context;
use havenplank_settings::Site;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, SignalKind};

pub fn serve(site: Site, seed: Option<u64>) -> anyhow::Result<u8> {
    let drawn = || SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_nanos() as u64);
    let seed = seed.unwrap_or_else(drawn);
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
        let name = site.name.clone();
        let ready = |at: havenplank_sidecar::Addresses| {
            tracing::info!(name, seed, listen = %at.listen, admin = %at.admin, "listening");
        };
        let stop = async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        havenplank_sidecar::serve(site, seed, ready, stop).await?;
        Ok(0)
    })
}
