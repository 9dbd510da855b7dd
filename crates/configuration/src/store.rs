//! Stores a configuration on disk, as a snapshot and a log of the later deltas.
//!
//! The folder of a store holds the files `snapshot`, `log` and `lock`. A delta is on disk before [`Store::append`]
//! returns. When the log has grown long, a new snapshot is written to a temporary file and renamed over the old one,
//! and then an empty log replaces the old one. A crash between the two steps leaves deltas in the log that the
//! snapshot contains already; opening the store skips them.
//!
//! A disk error is final: after a failed write or sync it is unknown what is on disk, and a later sync that succeeds
//! proves nothing. The store then rejects every write. Opening the store again finds out which version is on disk.
//! That can be the version whose append failed.

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

const SNAPSHOT_FILE: &str = "snapshot";
const LOG_FILE: &str = "log";
const LOCK_FILE: &str = "lock";
/// The extension of a file that is being written, before it is renamed to its final name.
const UNFINISHED_EXTENSION: &str = "new";
/// A log longer than this is folded into the snapshot; it then holds some ten thousand changes.
const COMPACT_LOG_BYTES: u64 = 2 << 20;
/// Longest log that is read. No store writes a longer one, because the log is folded into the snapshot after the first
/// delta past [`COMPACT_LOG_BYTES`].
const MAX_LOG_BYTES: u64 = 64 << 20;

/// Why a store cannot be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process uses the folder.
    #[error(
        "folder {} is used by another process; stop that process, or give this one another folder",
        .folder.display()
    )]
    Locked {
        /// The folder.
        folder: PathBuf,
    },
    /// The disk or the file system failed.
    #[error("cannot {action} {}: {source}; mend the disk, then start again", .path.display())]
    Disk {
        /// The operation that failed.
        action: &'static str,
        /// The file or folder of the operation.
        path: PathBuf,
        /// The error of the operation.
        source: io::Error,
    },
    /// A file has content that a store never writes.
    #[error(
        "{} is damaged at byte {offset}: {found}; move its folder aside and start again: a sidecar fetches the \
         configuration from a peer, a distributor must compile its script under a higher epoch",
        .path.display()
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// The offset of the damaged part, in bytes.
        offset: usize,
        /// A description of the damage.
        found: String,
    },
    /// One of the two files of the store is missing.
    #[error(
        "{} is missing although {present} exists; restore it, or move the folder aside and start again: a sidecar \
         fetches the configuration from a peer, a distributor must compile its script under a higher epoch",
        .path.display()
    )]
    Missing {
        /// The missing file.
        path: PathBuf,
        /// The name of the file that exists.
        present: &'static str,
    },
    /// The disk failed in an earlier operation.
    #[error("an earlier disk operation failed, so the store accepts no more writes; mend the disk, then start again")]
    DiskFailedEarlier,
    /// The snapshot is not newer than the stored version.
    #[error("version {offered} is not newer than {have}")]
    NotNewer {
        /// The stored version.
        have: Version,
        /// The version of the rejected snapshot.
        offered: Version,
    },
    /// The snapshot is too long for its file, or there is not enough memory to encode it.
    #[error("the snapshot needs {bytes} bytes, more than its file may have (0 bytes: not enough memory to encode it)")]
    TooLong {
        /// The length of the encoded snapshot; 0 if there was not enough memory to encode it.
        bytes: u64,
    },
    /// The delta cannot be applied to the stored version.
    #[error(transparent)]
    Apply(#[from] ApplyError),
}

/// A torn frame at the end of the log, which was cut off: a delta whose append did not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The offset of the torn frame in the log.
    pub offset: u64,
    /// The number of bytes cut off.
    pub bytes: u64,
}

/// The result of opening a store.
pub struct Opened {
    /// The store, ready for writes.
    pub store: Store,
    /// The deltas of the log that lead from the stored snapshot to the newest version, oldest first.
    pub deltas: Vec<Arc<Delta>>,
    /// The torn frame that was cut off the log, if there was one.
    pub torn_tail: Option<TornTail>,
}

/// A folder with a stored configuration, locked by this process.
pub struct Store {
    folder: PathBuf,
    disk: Box<dyn Disk>,
    snapshot: Snapshot,
    log: File,
    log_bytes: u64,
    disk_failed: bool,
    /// Holds the lock of the folder, which the operating system releases when this file is closed.
    _lock: File,
}

impl Store {
    /// Opens the store in a folder; creates a missing folder.
    ///
    /// # Errors
    /// Another process uses the folder, the disk fails, or a file is missing or damaged.
    pub fn open(folder: &Path) -> Result<Opened, StoreError> {
        Store::open_with_disk(folder, Box::new(SystemDisk))
    }

    /// Opens the store in a folder, with all changes made through a given [`Disk`].
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn open_with_disk(folder: &Path, mut disk: Box<dyn Disk>) -> Result<Opened, StoreError> {
        make_folder(folder, &mut *disk)?;
        let lock = lock(folder)?;
        create_files(folder, &mut *disk)?;
        let mut snapshot = read_snapshot(&folder.join(SNAPSHOT_FILE))?;
        let log_path = folder.join(LOG_FILE);
        let raw_log = read_bounded(&log_path, MAX_LOG_BYTES)?;
        let damaged = |offset, found| StoreError::Damaged {
            path: log_path.clone(),
            offset,
            found,
        };
        let contents =
            log_file::read(&raw_log).map_err(|damage| damaged(damage.offset, damage.found))?;
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
            .map_err(disk_error("open", &log_path))?;
        let intact_bytes = contents.intact_bytes as u64;
        let torn_tail = cut_torn_tail(
            &log,
            &log_path,
            intact_bytes,
            raw_log.len() as u64,
            &mut *disk,
        )?;
        let folder = folder.to_path_buf();
        let store = Store {
            folder,
            disk,
            snapshot,
            log,
            log_bytes: intact_bytes,
            disk_failed: false,
            _lock: lock,
        };
        Ok(Opened {
            store,
            deltas,
            torn_tail,
        })
    }

    /// Returns the newest version that is on disk.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Applies a delta to the stored version. The new version is on disk when this returns.
    ///
    /// # Errors
    /// The delta cannot be applied, or the disk fails, which is final.
    pub fn append(&mut self, delta: &Delta) -> Result<&Snapshot, StoreError> {
        self.ensure_usable()?;
        let next = self.snapshot.apply(delta)?;
        let frame = log_file::frame(self.log_bytes, delta);
        let Some(frame) = frame else {
            return self.replace(&next);
        };
        let path = self.folder.join(LOG_FILE);
        let written = self.disk.write(&mut self.log, &frame);
        self.check_disk(written, "write", &path)?;
        let synced = self.disk.sync(&self.log);
        self.check_disk(synced, "sync", &path)?;
        self.log_bytes += frame.len() as u64;
        self.snapshot = next;
        if self.log_bytes > COMPACT_LOG_BYTES {
            // A failure to compact is ignored here, because the delta is already on disk. After a disk error the next
            // write fails.
            let _ = self.compact();
        }
        Ok(&self.snapshot)
    }

    /// Replaces the stored version by a newer snapshot. The snapshot is on disk when this returns.
    ///
    /// # Errors
    /// The snapshot is not newer, is too long, or the disk fails, which is final.
    pub fn replace(&mut self, snapshot: &Snapshot) -> Result<&Snapshot, StoreError> {
        self.ensure_usable()?;
        let (have, offered) = (self.snapshot.version(), snapshot.version());
        if offered <= have {
            return Err(StoreError::NotNewer { have, offered });
        }
        self.write_snapshot_and_empty_log(snapshot)?;
        self.snapshot = snapshot.clone();
        Ok(&self.snapshot)
    }

    /// Writes the newest version as a snapshot and empties the log.
    ///
    /// # Errors
    /// The snapshot is too long, or the disk fails, which is final.
    pub fn compact(&mut self) -> Result<(), StoreError> {
        self.ensure_usable()?;
        let snapshot = self.snapshot.clone();
        self.write_snapshot_and_empty_log(&snapshot)
    }

    fn write_snapshot_and_empty_log(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let result = write_snapshot(&self.folder, snapshot, &mut *self.disk)
            .and_then(|()| write_empty_log(&self.folder, &mut *self.disk));
        match result {
            Ok(log) => {
                (self.log, self.log_bytes) = (log, log_file::MAGIC.len() as u64);
                Ok(())
            }
            Err(error) => {
                self.disk_failed = matches!(error, StoreError::Disk { .. });
                Err(error)
            }
        }
    }

    fn ensure_usable(&self) -> Result<(), StoreError> {
        if self.disk_failed {
            return Err(StoreError::DiskFailedEarlier);
        }
        Ok(())
    }

    /// Converts the result of a disk operation; after an error the store accepts no more writes.
    fn check_disk(
        &mut self,
        result: io::Result<()>,
        action: &'static str,
        path: &Path,
    ) -> Result<(), StoreError> {
        self.disk_failed |= result.is_err();
        result.map_err(disk_error(action, path))
    }
}

fn disk_error<'a>(
    action: &'static str,
    path: &'a Path,
) -> impl FnOnce(io::Error) -> StoreError + 'a {
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
    fs::create_dir_all(folder).map_err(disk_error("make", folder))?;
    match folder
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
    {
        Some(parent) => sync_folder(parent, disk),
        None => sync_folder(Path::new("."), disk),
    }
}

/// Makes the creation and renaming of files in a folder durable.
fn sync_folder(folder: &Path, disk: &mut dyn Disk) -> Result<(), StoreError> {
    let opened = File::open(folder).map_err(disk_error("open", folder))?;
    disk.sync(&opened).map_err(disk_error("sync", folder))
}

fn lock(folder: &Path) -> Result<File, StoreError> {
    let path = folder.join(LOCK_FILE);
    let opened = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path);
    let file = opened.map_err(disk_error("open", &path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked {
            folder: folder.to_path_buf(),
        }),
        Err(TryLockError::Error(error)) => Err(disk_error("lock", &path)(error)),
    }
}

/// Creates the files of a new store. The log comes first, so that a snapshot never exists without a log; a log without
/// deltas and without a snapshot is left by a creation that was interrupted.
fn create_files(folder: &Path, disk: &mut dyn Disk) -> Result<(), StoreError> {
    let (snapshot, log) = (folder.join(SNAPSHOT_FILE), folder.join(LOG_FILE));
    let exists = |path: &Path| path.try_exists().map_err(disk_error("look for", path));
    match (exists(&snapshot)?, exists(&log)?) {
        (true, true) => Ok(()),
        (true, false) => Err(StoreError::Missing {
            path: log,
            present: SNAPSHOT_FILE,
        }),
        (false, true) if read_bounded(&log, MAX_LOG_BYTES)? != log_file::MAGIC => {
            Err(StoreError::Missing {
                path: snapshot,
                present: LOG_FILE,
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

fn read_bounded(path: &Path, max_bytes: u64) -> Result<Vec<u8>, StoreError> {
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(disk_error("open", path))?;
    file.take(max_bytes + 1)
        .read_to_end(&mut bytes)
        .map_err(disk_error("read", path))?;
    if bytes.len() as u64 > max_bytes {
        let found = format!("the file has more than {max_bytes} bytes");
        return Err(StoreError::Damaged {
            path: path.to_path_buf(),
            offset: 0,
            found,
        });
    }
    Ok(bytes)
}

/// Cuts a torn frame off the log. The log is synced even if nothing is torn, because the process that wrote it may have
/// ended between write and sync.
fn cut_torn_tail(
    log: &File,
    path: &Path,
    intact_bytes: u64,
    file_bytes: u64,
    disk: &mut dyn Disk,
) -> Result<Option<TornTail>, StoreError> {
    if intact_bytes < file_bytes {
        disk.truncate(log, intact_bytes)
            .map_err(disk_error("cut", path))?;
    }
    disk.sync(log).map_err(disk_error("sync", path))?;
    Ok((intact_bytes < file_bytes).then_some(TornTail {
        offset: intact_bytes,
        bytes: file_bytes - intact_bytes,
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
    write_file(folder, SNAPSHOT_FILE, &bytes, disk).map(drop)
}

fn write_empty_log(folder: &Path, disk: &mut dyn Disk) -> Result<File, StoreError> {
    write_file(folder, LOG_FILE, log_file::MAGIC, disk)
}

/// Writes a file under a temporary name, syncs it, renames it and syncs the folder. Returns the file, open at its end.
fn write_file(
    folder: &Path,
    name: &str,
    bytes: &[u8],
    disk: &mut dyn Disk,
) -> Result<File, StoreError> {
    let path = folder.join(name);
    let unfinished = path.with_extension(UNFINISHED_EXTENSION);
    let mut file = File::create(&unfinished).map_err(disk_error("make", &unfinished))?;
    disk.write(&mut file, bytes)
        .map_err(disk_error("write", &unfinished))?;
    disk.sync(&file).map_err(disk_error("sync", &unfinished))?;
    disk.rename(&unfinished, &path)
        .map_err(disk_error("rename", &unfinished))?;
    sync_folder(folder, disk)?;
    Ok(file)
}
