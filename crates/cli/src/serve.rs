//! `havenplank serve`: runs the sidecar library with signal handling, a log, a trace recorder and a runtime.

use anyhow::Context;
use havenplank_settings::Site;
use havenplank_sidecar::engine::{EngineSettings, EPOCH};
use havenplank_sidecar::events::Observer;
use havenplank_trace::recorder::{Folder, Limits, Recorder, WriterHandle};
use havenplank_trace::Source;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, SignalKind};

/// Longest time that a stopping sidecar waits until the last blocks of its trace are written.
const TRACE_FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the time since the Unix epoch, in nanoseconds.
fn unix_time_ns() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |since| since.as_nanos() as u64)
}

/// Starts the trace recorder that the settings configure; returns `None` if they configure none.
fn start_recorder(site: &Site, seed: u64) -> anyhow::Result<Option<(Recorder, WriterHandle)>> {
    let Some(trace) = &site.trace else {
        return Ok(None);
    };
    let wall_start = unix_time_ns();
    let folder = Folder::new(&trace.folder, &site.name, wall_start, trace.total_bytes);
    let folder =
        folder.with_context(|| format!("trace.folder: cannot open {}", trace.folder.display()))?;
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

/// Runs a sidecar until it is stopped by SIGTERM or SIGINT.
///
/// # Errors
/// A trace folder that cannot be opened, an address that cannot be bound, and signals that cannot be handled.
pub fn serve(site: Site, seed: Option<u64>) -> anyhow::Result<u8> {
    let seed = seed.unwrap_or_else(unix_time_ns);
    let (observer, writing) = match start_recorder(&site, seed)? {
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
        havenplank_sidecar::serve(site, seed, observer, ready, stop).await?;
        anyhow::Ok(())
    })?;
    // The last task of the runtime owns the engine, and the engine owns the recorder. Dropping the runtime thus ends
    // the recording, so that the last blocks get written.
    drop(runtime);
    if writing.is_some_and(|writing| !writing.wait(TRACE_FLUSH_TIMEOUT)) {
        tracing::warn!("trace incomplete: its last blocks were not written before the time-out");
    }
    Ok(0)
}
