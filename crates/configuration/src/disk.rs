//! The disk operations of a store, behind a trait so that tests can make any single operation fail.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// The operations that change what is on disk.
pub trait Disk: Send {
    /// Writes all bytes at the current position of a file.
    ///
    /// # Errors
    /// The operation fails.
    fn write(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()>;
    /// Flushes a file or folder to the disk; returns when its data is durable.
    ///
    /// # Errors
    /// The operation fails.
    fn sync(&mut self, file: &File) -> io::Result<()>;
    /// Renames a file; a file at the target path is replaced.
    ///
    /// # Errors
    /// The operation fails.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// Shortens a file to a length in bytes.
    ///
    /// # Errors
    /// The operation fails.
    fn truncate(&mut self, file: &File, bytes: u64) -> io::Result<()>;
}

/// The file system of the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemDisk;

impl Disk for SystemDisk {
    fn write(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        file.sync_all()
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn truncate(&mut self, file: &File, bytes: u64) -> io::Result<()> {
        file.set_len(bytes)
    }
}
