//! A configuration on disk: a snapshot, and a log of the deltas since.
//!
//! A folder holds `snapshot`, `log` and `lock`. A delta is on disk before [`Store::append`] returns. When the log has
//! grown long, the snapshot is written beside the old one and renamed into its place, then the log is begun anew; a
//! crash between the two leaves deltas in the log that the snapshot has already, which opening skips.
//!
//! An error of the disk is final: what it holds after a failed write or sync is unknown, and a later sync that succeeds
//! proves nothing. The store then refuses every write; opening it again finds out what is there. That can be the
//! version whose append has failed.

use crate::delta::Delta;
use crate::disk::{Disk, SystemDisk};
use crate::error::ApplyError;
use crate::log_file;
use crate::snapshot::Snapshot;
use crate::snapshot_file;
use crate::version::Version;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::Arc;

const SNAPSHOT: &str = "snapshot";
const LOG: &str = "log";
const LOCK: &str = "lock";
/// A file that is being written and not yet in its place.
const UNFINISHED: &str = "new";
/// The log is folded into the snapshot past this length: some ten thousand changes.
const COMPACT_LOG_BYTES: u64 = 2 << 20;
/// No log grows longer: a delta at most behind [`COMPACT_LOG_BYTES`].
const MAX_LOG_BYTES: u64 = 64 << 20;

/// Why a store cannot be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process holds the folder.
    #[error("{} is used by another process; end that one, or give this one a folder of its own", .folder.display())]
    Locked {
        /// The folder.
        folder: PathBuf,
    },
    /// The disk or the file system failed.
    #[error("cannot {action} {}: {source}; mend the disk, then start again", .path.display())]
    Disk {
        /// What was tried.
        action: &'static str,
        /// At which file or folder.
        path: PathBuf,
        /// Why it failed.
        source: io::Error,
    },
    /// A file holds what no store writes.
    #[error(
        "{} is damaged at byte {offset}: {found}; move its folder aside and start again: a sidecar fetches the \
         configuration from a peer, a distributor compiles its script under a higher epoch",
        .path.display()
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// The first byte that is wrong.
        offset: usize,
        /// What is wrong there.
        found: String,
    },
    /// One of the two files is not there.
    #[error(
        "{} is missing beside {present}; put it back, or move the folder aside and start again: a sidecar fetches \
         the configuration from a peer, a distributor compiles its script under a higher epoch",
        .path.display()
    )]
    Missing {
        /// The missing file.
        path: PathBuf,
        /// The name of the other one.
        present: &'static str,
    },
    /// The disk has failed before.
    #[error("an earlier error of the disk was final; mend the disk, then start again")]
    DiskFailedEarlier,
    /// A snapshot that is not newer.
    #[error("version {offered} is not newer than {have}")]
    NotNewer {
        /// The stored version.
        have: Version,
        /// The one to be stored.
        offered: Version,
    },
    /// A snapshot that does not fit its file.
    #[error("{bytes} bytes, more than the file of a store may have")]
    TooLong {
        /// Bytes that it would take; 0 where there was no memory to encode it.
        bytes: u64,
    },
    /// A delta does not lead on from the stored version.
    #[error(transparent)]
    Apply(#[from] ApplyError),
}

/// A torn end of the log, which was cut off: a delta whose append never returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// Where it began.
    pub offset: u64,
    /// Its length.
    pub bytes: u64,
}

/// What opening found.
pub struct Opened {
    /// The store, ready to be written.
    pub store: Store,
    /// The deltas of the log that lead to the present version, oldest first.
    pub deltas: Vec<Arc<Delta>>,
    /// What was cut off the log, if it was torn.
    pub torn_tail: Option<TornTail>,
}

/// A folder with a configuration, held by one process.
pub struct Store {
    folder: PathBuf,
    disk: Box<dyn Disk>,
    snapshot: Snapshot,
    log: File,
    log_bytes: u64,
    failed: bool,
    /// Released when closed.
    _lock: File,
}

impl Store {
    /// Opens a folder, which is made where there is none.
    ///
    /// # Errors
    /// Another process has it, the disk fails, or a file is missing or damaged.
    pub fn open(folder: &Path) -> Result<Opened, StoreError> {
        Store::open_with_disk(folder, Box::new(SystemDisk))
    }

    /// Opens a folder by way of another [`Disk`].
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn open_with_disk(folder: &Path, mut disk: Box<dyn Disk>) -> Result<Opened, StoreError> {
        make_folder(folder, &mut *disk)?;
        let lock = lock(folder)?;
        create_files(folder, &mut *disk)?;
        let mut snapshot = read_snapshot(&folder.join(SNAPSHOT))?;
        let log_path = folder.join(LOG);
        let log_bytes = read_bounded(&log_path, MAX_LOG_BYTES)?;
        let damaged = |offset, found| StoreError::Damaged {
            path: log_path.clone(),
            offset,
            found,
        };
        let contents =
            log_file::read(&log_bytes).map_err(|damage| damaged(damage.offset, damage.found))?;
        let base = snapshot.version();
        let mut deltas = Vec::new();
        for (offset, delta) in contents.deltas {
            if delta.to > base {
                snapshot = snapshot
                    .apply(&delta)
                    .map_err(|error| damaged(offset, error.to_string()))?;
                deltas.push(Arc::new(delta));
            }
        }
        let log = OpenOptions::new()
            .append(true)
            .open(&log_path)
            .map_err(failed("open", &log_path))?;
        let whole = contents.whole_bytes as u64;
        let torn_tail = cut_torn_tail(&log, &log_path, whole, log_bytes.len() as u64, &mut *disk)?;
        let folder = folder.to_path_buf();
        let store = Store {
            folder,
            disk,
            snapshot,
            log,
            log_bytes: whole,
            failed: false,
            _lock: lock,
        };
        Ok(Opened {
            store,
            deltas,
            torn_tail,
        })
    }

    /// The newest version that is on disk.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Adds a delta to the present version; when this returns, the result is on disk.
    ///
    /// # Errors
    /// The delta does not apply, or the disk fails, which is final.
    pub fn append(&mut self, delta: &Delta) -> Result<&Snapshot, StoreError> {
        self.ensure_usable()?;
        let next = self.snapshot.apply(delta)?;
        let frame = log_file::frame(self.log_bytes, delta);
        let Some(frame) = frame else {
            return self.replace(&next);
        };
        let path = self.folder.join(LOG);
        let written = self.disk.write(&mut self.log, &frame);
        self.note(written, "write", &path)?;
        let synced = self.disk.sync(&self.log);
        self.note(synced, "sync", &path)?;
        self.log_bytes += frame.len() as u64;
        self.snapshot = next;
        if self.log_bytes > COMPACT_LOG_BYTES {
            // The delta is on disk whatever becomes of this; the next write tells of a failure.
            let _ = self.compact();
        }
        Ok(&self.snapshot)
    }

    /// Puts a newer whole snapshot in place of the present one; when this returns, it is on disk.
    ///
    /// # Errors
    /// It is not newer, or the disk fails, which is final.
    pub fn replace(&mut self, snapshot: &Snapshot) -> Result<&Snapshot, StoreError> {
        self.ensure_usable()?;
        let (have, offered) = (self.snapshot.version(), snapshot.version());
        if offered <= have {
            return Err(StoreError::NotNewer { have, offered });
        }
        self.write_whole(snapshot)?;
        self.snapshot = snapshot.clone();
        Ok(&self.snapshot)
    }

    /// Folds the log into the snapshot.
    ///
    /// # Errors
    /// The disk fails, which is final.
    pub fn compact(&mut self) -> Result<(), StoreError> {
        self.ensure_usable()?;
        let snapshot = self.snapshot.clone();
        self.write_whole(&snapshot)
    }

    fn write_whole(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let result = write_snapshot(&self.folder, snapshot, &mut *self.disk)
            .and_then(|()| write_empty_log(&self.folder, &mut *self.disk));
        match result {
            Ok(log) => {
                (self.log, self.log_bytes) = (log, log_file::MAGIC.len() as u64);
                Ok(())
            }
            Err(error) => {
                self.failed = matches!(error, StoreError::Disk { .. });
                Err(error)
            }
        }
    }

    fn ensure_usable(&self) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::DiskFailedEarlier);
        }
        Ok(())
    }

    /// Passes the result of a step on the disk; an error is final.
    fn note(
        &mut self,
        result: io::Result<()>,
        action: &'static str,
        path: &Path,
    ) -> Result<(), StoreError> {
        self.failed |= result.is_err();
        result.map_err(failed(action, path))
    }
}

fn failed<'a>(action: &'static str, path: &'a Path) -> impl FnOnce(io::Error) -> StoreError + 'a {
    move |source| StoreError::Disk {
        action,
        path: path.to_path_buf(),
        source,
    }
}

fn make_folder(folder: &Path, disk: &mut dyn Disk) -> Result<(), StoreError> {
    if folder.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(folder).map_err(failed("make", folder))?;
    match folder
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
    {
        Some(parent) => sync_folder(parent, disk),
        None => sync_folder(Path::new("."), disk),
    }
}

fn sync_folder(folder: &Path, disk: &mut dyn Disk) -> Result<(), StoreError> {
    let opened = File::open(folder).map_err(failed("open", folder))?;
    disk.sync(&opened).map_err(failed("sync", folder))
}

fn lock(folder: &Path) -> Result<File, StoreError> {
    let path = folder.join(LOCK);
    let opened = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path);
    let file = opened.map_err(failed("open", &path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked {
            folder: folder.to_path_buf(),
        }),
        Err(TryLockError::Error(error)) => Err(failed("lock", &path)(error)),
    }
}

/// Makes the files of a new store: the log first, so that a snapshot is never without one.
fn create_files(folder: &Path, disk: &mut dyn Disk) -> Result<(), StoreError> {
    let (snapshot, log) = (folder.join(SNAPSHOT), folder.join(LOG));
    let exists = |path: &Path| path.try_exists().map_err(failed("look for", path));
    match (exists(&snapshot)?, exists(&log)?) {
        (true, true) => Ok(()),
        (true, false) => Err(StoreError::Missing {
            path: log,
            present: SNAPSHOT,
        }),
        (false, true) if read_bounded(&log, MAX_LOG_BYTES)? != log_file::MAGIC => {
            Err(StoreError::Missing {
                path: snapshot,
                present: LOG,
            })
        }
        (false, _) => {
            write_empty_log(folder, disk)?;
            write_snapshot(folder, &Snapshot::empty(), disk)
        }
    }
}

fn read_snapshot(path: &Path) -> Result<Snapshot, StoreError> {
    let bytes = read_bounded(path, snapshot_file::MAX_FILE_BYTES)?;
    snapshot_file::decode(&bytes).map_err(|error| StoreError::Damaged {
        path: path.to_path_buf(),
        offset: 0,
        found: error.to_string(),
    })
}

fn read_bounded(path: &Path, most: u64) -> Result<Vec<u8>, StoreError> {
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(failed("open", path))?;
    file.take(most + 1)
        .read_to_end(&mut bytes)
        .map_err(failed("read", path))?;
    if bytes.len() as u64 > most {
        let found = format!("more than {most} bytes");
        return Err(StoreError::Damaged {
            path: path.to_path_buf(),
            offset: 0,
            found,
        });
    }
    Ok(bytes)
}

/// Cuts a torn end off. The log is synced in any case: its writer may have ended between write and sync.
fn cut_torn_tail(
    log: &File,
    path: &Path,
    whole: u64,
    length: u64,
    disk: &mut dyn Disk,
) -> Result<Option<TornTail>, StoreError> {
    if whole < length {
        disk.truncate(log, whole).map_err(failed("cut", path))?;
    }
    disk.sync(log).map_err(failed("sync", path))?;
    Ok((whole < length).then_some(TornTail {
        offset: whole,
        bytes: length - whole,
    }))
}

fn write_snapshot(
    folder: &Path,
    snapshot: &Snapshot,
    disk: &mut dyn Disk,
) -> Result<(), StoreError> {
    let bytes = snapshot_file::encode(snapshot).unwrap_or_default();
    let length = bytes.len() as u64;
    if length == 0 || length > snapshot_file::MAX_FILE_BYTES {
        return Err(StoreError::TooLong { bytes: length });
    }
    write_file(folder, SNAPSHOT, &bytes, disk).map(drop)
}

fn write_empty_log(folder: &Path, disk: &mut dyn Disk) -> Result<File, StoreError> {
    write_file(folder, LOG, log_file::MAGIC, disk)
}

/// Writes a file beside its place, syncs it, renames it and syncs the folder. Returns it, open at its end.
fn write_file(
    folder: &Path,
    name: &str,
    bytes: &[u8],
    disk: &mut dyn Disk,
) -> Result<File, StoreError> {
    let path = folder.join(name);
    let unfinished = path.with_extension(UNFINISHED);
    let mut file = File::create(&unfinished).map_err(failed("make", &unfinished))?;
    disk.write(&mut file, bytes)
        .map_err(failed("write", &unfinished))?;
    disk.sync(&file).map_err(failed("sync", &unfinished))?;
    disk.rename(&unfinished, &path)
        .map_err(failed("rename", &unfinished))?;
    sync_folder(folder, disk)?;
    Ok(file)
}
