//! The endpoint list on disk, for a start without service discovery.

use crate::shell::Shell;
use havenplank::interface::Nanos;
use havenplank_line_protocol::endpoint_list::{self, ListedEndpoint};
use havenplank_line_protocol::CachedListError;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::task::spawn_blocking;

/// Why a cached list cannot be taken in.
#[derive(Debug, thiserror::Error)]
enum CacheError {
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    #[error("{0}")]
    Malformed(#[from] CachedListError),
}

/// Takes in the list that an earlier run wrote.
pub fn load(shell: &Rc<Shell>, path: &Path) {
    match read(path) {
        Ok(pods) => {
            tracing::info!(pods = pods.len(), "list kept by an earlier life taken in");
            shell.call(|engine, now| engine.update_endpoints(now, true, pods));
        }
        Err(why) => tracing::warn!(
            file = %path.display(),
            why = why.to_string(),
            "no kept list"
        ),
    }
}

/// Reads a cached list. Its pods' ages go on from when the file was written.
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

/// Writes the list each time that it changes; never ends where the settings have a file for it.
pub async fn run(shell: Rc<Shell>) {
    let Some(path) = shell.site.cached_list.clone() else {
        return;
    };
    loop {
        shell.endpoints_changed.notified().await;
        let text = endpoint_list::encode_cached(&shell.listed_pods());
        let path = path.clone();
        if let Ok(Err(error)) = spawn_blocking(move || replace(&path, &text)).await {
            tracing::warn!(%error, "the list could not be kept");
        }
    }
}

/// Writes a file beside the old one and moves it there, so that a kill leaves the old one or the new one.
fn replace(path: &Path, text: &str) -> io::Result<()> {
    let mut beside = path.as_os_str().to_os_string();
    beside.push(".new");
    let beside = PathBuf::from(beside);
    std::fs::write(&beside, text)?;
    std::fs::rename(&beside, path)
}
