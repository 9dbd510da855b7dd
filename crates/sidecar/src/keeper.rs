//! Keeps the configuration in force on disk, on a thread of its own: no request waits for a sync.

use havenplank_configuration::delta::Delta;
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::store::{Store, StoreError};
use havenplank_configuration::version::Version;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use tokio::sync::watch;

/// Dropped, it waits until the last version that it was given is on disk.
pub struct Keeper {
    offers: Option<Sender<Snapshot>>,
    kept: watch::Receiver<Version>,
    thread: Option<JoinHandle<()>>,
}

impl Keeper {
    pub fn start(store: Store) -> Keeper {
        let (offers, offered) = channel();
        let (tell, kept) = watch::channel(store.snapshot().version());
        let thread = std::thread::Builder::new().name("configuration".to_string());
        let thread = thread.spawn(move || keep_all(store, &offered, &tell));
        if let Err(error) = &thread {
            tracing::warn!(%error, "no thread that keeps the configuration: a restart begins without one");
        }
        Keeper { offers: Some(offers), kept, thread: thread.ok() }
    }

    /// Keeps a version in time; of several that wait, the newest alone.
    pub fn keep(&self, snapshot: Snapshot) {
        // Where the disk has failed for good, that was told.
        let _ = self.offers.as_ref().map(|offers| offers.send(snapshot));
    }

    /// The version that a restart would find.
    pub fn kept(&self) -> Version {
        *self.kept.borrow()
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        self.offers = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn keep_all(mut store: Store, offered: &Receiver<Snapshot>, tell: &watch::Sender<Version>) {
    while let Ok(first) = offered.recv() {
        let newest = offered.try_iter().last().unwrap_or(first);
        if let Err(error) = keep(&mut store, &newest) {
            tracing::error!(%error, "the configuration could not be kept; a restart begins with an older one");
            if matches!(error, StoreError::Disk { .. } | StoreError::Failed) {
                return;
            }
        }
        let _ = tell.send(store.snapshot().version());
    }
}

/// What changed since the version on disk is appended, so that a small change is a small write.
fn keep(store: &mut Store, snapshot: &Snapshot) -> Result<(), StoreError> {
    if snapshot.version() <= store.snapshot().version() {
        return Ok(());
    }
    let delta = Delta::between(store.snapshot(), snapshot, snapshot.version());
    store.append(&delta).map(drop)
}
