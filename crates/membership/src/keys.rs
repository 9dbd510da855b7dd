//! The keys that authenticate frames, and the file that they are read from.

use std::path::{Path, PathBuf};
use std::{fmt, io};

/// A key of the fellowship. Its text form is 64 hex digits.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(pub(crate) [u8; 32]);

impl fmt::Debug for Key {
    /// Never the key itself, wherever settings are logged.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Why a line of a key file is no key.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("line {line}: expected a key of 64 hex digits")]
pub struct InvalidKey {
    pub line: usize,
}

impl Key {
    pub fn new(bytes: [u8; 32]) -> Key {
        Key(bytes)
    }

    /// The keys of a file, one a line; empty lines and those that begin with `#` are passed over. The first one
    /// seals, all of them open: a new key goes to every fellow behind the old one first, then before it.
    ///
    /// # Errors
    /// The first line that is no key; a file without any counts as one at line 1.
    pub fn read(text: &str) -> Result<Vec<Key>, InvalidKey> {
        let mut keys = Vec::new();
        for (n, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let hash = blake3::Hash::from_hex(line).map_err(|_| InvalidKey { line: n + 1 })?;
            keys.push(Key(*hash.as_bytes()));
        }
        if keys.is_empty() {
            return Err(InvalidKey { line: 1 });
        }
        Ok(keys)
    }
}

/// Why a key file gives no keys.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    #[error("{file}: {error}; expected a file of keys that this process may read", file = file.display())]
    Unreadable { file: PathBuf, error: io::Error },
    #[error("{file}, {error}", file = file.display())]
    InvalidKey { file: PathBuf, error: InvalidKey },
}

/// The keys of a file; why not, with its name, where it has none.
///
/// # Errors
/// A file that cannot be read, or a line that is no key.
pub fn read_keys(file: &Path) -> Result<Vec<Key>, KeyFileError> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|error| KeyFileError::Unreadable {
        file: file.to_path_buf(),
        error,
    })?;
    Key::read(&text).map_err(|error| KeyFileError::InvalidKey {
        file: file.to_path_buf(),
        error,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_are_read_line_by_line() {
        let line = "0f".repeat(32);
        assert_eq!(
            Key::read(&format!("# the new one\n{line}\n\n")),
            Ok(vec![Key::new([15; 32])])
        );
        assert_eq!(
            Key::read(&format!("{line}\nshort\n")),
            Err(InvalidKey { line: 2 })
        );
        assert_eq!(Key::read("\n"), Err(InvalidKey { line: 1 }));
        assert_eq!(format!("{:?}", Key::new([15; 32])), "Key(..)");
    }
}
