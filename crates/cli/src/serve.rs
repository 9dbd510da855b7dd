//! `havenplank serve`: signals, log, recorder and runtime around the sidecar library, nothing else.

use anyhow::Context;
use havenplank_settings::Site;
use havenplank_sidecar::engine::{EngineSettings, EPOCH};
use havenplank_sidecar::events::Observer;
use havenplank_trace::recorder::{Folder, Limits, Recorder, WriterHandle};
use havenplank_trace::Source;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, SignalKind};

/// How long a stop waits for the trace's last blocks.
const WRITES: Duration = Duration::from_secs(5);

fn wall() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |since| since.as_nanos() as u64)
}

/// The recorder that the settings ask for, if they do.
fn recorder(site: &Site, seed: u64) -> anyhow::Result<Option<(Recorder, WriterHandle)>> {
    let Some(trace) = &site.trace else {
        return Ok(None);
    };
    let wall_start = wall();
    let folder = Folder::new(&trace.folder, &site.name, wall_start, trace.total_bytes);
    let folder = folder.with_context(|| format!("trace.folder: {}", trace.folder.display()))?;
    let (settings, incarnation) = (
        EngineSettings::from(site),
        wall_start ^ (std::process::id() as u64) << 32,
    );
    let source = Source {
        settings,
        seed,
        incarnation,
        part: 0,
        engine_start: EPOCH,
        wall_start,
        sample_share: 1.0,
        is_complete: true,
        records_end: u64::MAX,
    };
    let limits = Limits {
        sample_share: trace.share,
        queue_bytes: trace.queue_bytes,
        max_request_duration: site
            .route_classes
            .iter()
            .map(|group| group.rules.client_timeout)
            .max()
            .unwrap_or(0),
        file_bytes: trace.file_bytes,
        file_age: trace.file_age,
    };
    Ok(Some(Recorder::start(source, limits, Box::new(folder))))
}

pub fn serve(site: Site, seed: Option<u64>) -> anyhow::Result<u8> {
    let seed = seed.unwrap_or_else(wall);
    let (witness, writing) = match recorder(&site, seed)? {
        Some((recorder, writing)) => (Some(Box::new(recorder) as Box<dyn Observer>), Some(writing)),
        None => (None, None),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())?;
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
        havenplank_sidecar::serve(site, seed, witness, ready, stop).await?;
        anyhow::Ok(())
    })?;
    // The engine goes with the runtime's last task, and the recorder with the engine.
    drop(runtime);
    if writing.is_some_and(|writing| !writing.wait(WRITES)) {
        tracing::warn!("the disk was too slow for the trace's last blocks");
    }
    Ok(0)
}
