//! Caches the endpoint list on disk, so that a sidecar can start while service discovery is unreachable.

use crate::shell::Shell;
use havenplank::interface::Nanos;
use havenplank_line_protocol::endpoint_list::{self, ListedEndpoint};
use havenplank_line_protocol::CachedListError;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::task::spawn_blocking;

/// The reason why a cached list cannot be loaded.
#[derive(Debug, thiserror::Error)]
enum CacheError {
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    #[error("{0}")]
    Malformed(#[from] CachedListError),
}

/// Loads the list that an earlier run cached.
pub fn load(shell: &Rc<Shell>, path: &Path) {
    match read(path) {
        Ok(pods) => {
            tracing::info!(pods = pods.len(), "loaded the cached endpoint list");
            shell.call(|engine, now| engine.update_endpoints(now, true, pods));
        }
        Err(error) => tracing::warn!(
            file = %path.display(),
            error = error.to_string(),
            "could not load the cached endpoint list"
        ),
    }
}

/// Reads a cached list. Adds the time since the file was written to the ages of its pods. An age of 0, which
/// means that the pod started long ago, stays 0.
fn read(path: &Path) -> Result<Vec<ListedEndpoint>, CacheError> {
    let text = std::fs::read_to_string(path)?;
    let mut pods = endpoint_list::decode_cached(&text)?;
    let written = std::fs::metadata(path).and_then(|metadata| metadata.modified());
    let age = written.map_or(Duration::ZERO, |at| {
        SystemTime::now().duration_since(at).unwrap_or_default()
    });
    for pod in pods.iter_mut().filter(|pod| pod.age > 0) {
        pod.age = pod.age.saturating_add(age.as_nanos() as Nanos);
    }
    Ok(pods)
}

/// Writes the list each time it changes. Never returns, unless the settings name no file for the list.
pub async fn run(shell: Rc<Shell>) {
    let Some(path) = shell.site.cached_list.clone() else {
        return;
    };
    loop {
        shell.endpoints_changed.notified().await;
        let text = endpoint_list::encode_cached(&shell.listed_pods());
        let path = path.clone();
        if let Ok(Err(error)) = spawn_blocking(move || replace(&path, &text)).await {
            tracing::warn!(%error, "could not cache the endpoint list");
        }
    }
}

/// Writes a new file next to the old one and renames it, so that a crash leaves either the old or the new list intact.
fn replace(path: &Path, text: &str) -> io::Result<()> {
    let mut temporary = path.as_os_str().to_os_string();
    temporary.push(".new");
    let temporary = PathBuf::from(temporary);
    std::fs::write(&temporary, text)?;
    std::fs::rename(&temporary, path)
}
