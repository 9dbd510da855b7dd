//! The keys that authenticate frames, and the file that they are read from.

use std::path::{Path, PathBuf};
use std::{fmt, io};

/// The length of a key, in bytes. As text a key has two hex digits for each byte.
const KEY_BYTES: usize = 32;

/// A key that all members share.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; KEY_BYTES]);

impl fmt::Debug for Key {
    /// Hides the key itself, since settings are logged.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// A line of a key file is not a key.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("line {line}: expected a key of 64 hex digits")]
pub struct InvalidKey {
    /// The number of the line, from 1.
    pub line: usize,
}

/// A key file could not be read or holds an invalid line.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// The file cannot be read.
    #[error("{file}: {source}; expected a file of keys that this process may read", file = file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file can be read, but one of its lines is not a key, or it holds no key at all.
    #[error("{file}, {source}", file = file.display())]
    InvalidKey {
        /// The file.
        file: PathBuf,
        /// The line in question.
        source: InvalidKey,
    },
}

impl Key {
    /// Makes a key of these bytes.
    pub fn new(bytes: [u8; KEY_BYTES]) -> Key {
        Key(bytes)
    }

    /// Parses the text of a key file: one key on each line; empty lines and lines that begin with `#` are skipped. The
    /// first key seals frames, and every key opens them. To replace a key without rejected frames, first add the new
    /// key after the old one on every member, then move it before the old one.
    ///
    /// # Errors
    /// The first line that is not a key; for a text without any key, line 1.
    pub fn parse_all(text: &str) -> Result<Vec<Key>, InvalidKey> {
        let mut keys = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let invalid = |_| InvalidKey { line: index + 1 };
            let bytes = blake3::Hash::from_hex(line).map_err(invalid)?;
            keys.push(Key(*bytes.as_bytes()));
        }
        if keys.is_empty() {
            return Err(InvalidKey { line: 1 });
        }
        Ok(keys)
    }

    /// Returns the keyed hash of the content of a frame.
    pub(crate) fn tag(&self, content: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, content)
    }
}

/// Reads the keys from a file, as [`Key::parse_all`] does.
///
/// # Errors
/// A file that cannot be read, or a line that is not a key.
pub fn read_keys(file: &Path) -> Result<Vec<Key>, KeyFileError> {
    let text = std::fs::read_to_string(file).map_err(|source| KeyFileError::Unreadable {
        file: file.to_path_buf(),
        source,
    })?;
    Key::parse_all(&text).map_err(|source| KeyFileError::InvalidKey {
        file: file.to_path_buf(),
        source,
    })
}
