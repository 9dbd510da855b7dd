//! What a store does to the disk, behind a trait so that tests can let any single step fail.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// The steps that change what is on disk.
pub trait Disk: Send {
    /// Writes all bytes at the end of a file.
    ///
    /// # Errors
    /// As the disk gives them.
    fn write(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()>;
    /// Returns once a file or folder is on disk.
    ///
    /// # Errors
    /// As the disk gives them.
    fn sync(&mut self, file: &File) -> io::Result<()>;
    /// Puts a file in place of another.
    ///
    /// # Errors
    /// As the disk gives them.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// Cuts a file off.
    ///
    /// # Errors
    /// As the disk gives them.
    fn truncate(&mut self, file: &File, bytes: u64) -> io::Result<()>;
}

/// The disk of the machine.
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
