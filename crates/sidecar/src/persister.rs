//! Writes the installed configuration to disk. A separate thread does it, so that no request waits for the disk.

use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::store::{Store, StoreError};
use havenplank_configuration::version::Version;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::JoinHandle;
use tokio::sync::watch;

/// Writes versions to a store. When dropped, waits until the newest queued version is on disk.
pub struct Persister {
    mailbox: Arc<Mailbox>,
    persisted: watch::Receiver<Version>,
    thread: Option<JoinHandle<()>>,
}

/// Holds at most one version. A newer version replaces a waiting one, so a slow disk causes no backlog.
#[derive(Default)]
struct Mailbox {
    contents: Mutex<Contents>,
    changed: Condvar,
}

#[derive(Default)]
struct Contents {
    newest: Option<Snapshot>,
    closed: bool,
}

impl Mailbox {
    fn change(&self, change: impl FnOnce(&mut Contents)) {
        change(&mut self.contents.lock().unwrap_or_else(PoisonError::into_inner));
        self.changed.notify_one();
    }

    /// Waits for a version. Returns `None` once the mailbox is closed and empty.
    fn take(&self) -> Option<Snapshot> {
        let contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        let is_empty = |contents: &mut Contents| contents.newest.is_none() && !contents.closed;
        let contents = self.changed.wait_while(contents, is_empty);
        contents
            .unwrap_or_else(PoisonError::into_inner)
            .newest
            .take()
    }
}

impl Persister {
    /// Starts the thread that writes to the store.
    pub fn start(store: Store) -> Persister {
        let mailbox = Arc::new(Mailbox::default());
        let (report, persisted) = watch::channel(store.snapshot().version());
        let thread = std::thread::Builder::new().name("configuration".to_string());
        let thread_mailbox = mailbox.clone();
        let thread = thread.spawn(move || persist_all(store, &thread_mailbox, &report));
        if let Err(error) = &thread {
            tracing::warn!(
                %error,
                "could not start the thread that stores the configuration; new versions are not stored"
            );
        }
        Persister {
            mailbox,
            persisted,
            thread: thread.ok(),
        }
    }

    /// Queues a version. It replaces a version that is still waiting.
    pub fn persist(&self, snapshot: Snapshot) {
        self.mailbox
            .change(|contents| contents.newest = Some(snapshot));
    }

    /// Returns the version that a restart would load.
    pub fn persisted(&self) -> Version {
        *self.persisted.borrow()
    }
}

impl Drop for Persister {
    fn drop(&mut self) {
        self.mailbox.change(|contents| contents.closed = true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn persist_all(mut store: Store, mailbox: &Mailbox, report: &watch::Sender<Version>) {
    while let Some(newest) = mailbox.take() {
        if let Err(error) = persist(&mut store, &newest) {
            tracing::error!(%error, "could not store the configuration; a restart loads an older version");
            if matches!(
                error,
                StoreError::Disk { .. } | StoreError::DiskFailedEarlier
            ) {
                return;
            }
        }
        let _ = report.send(store.snapshot().version());
    }
}

/// Appends the difference to the version on disk, so that a small change causes a small write.
fn persist(store: &mut Store, snapshot: &Snapshot) -> Result<(), StoreError> {
    if snapshot.version() <= store.snapshot().version() {
        return Ok(());
    }
    let delta = store.snapshot().delta_to(snapshot, snapshot.version());
    store.append(&delta).map(drop)
}
