//! `havenplank trace anonymise`: copies a trace with pseudonyms in place of names.

use super::files::{open, status, write};
use anyhow::{bail, Context};
use havenplank_trace::anonymise;
use havenplank_trace::file::TraceError;
use std::path::Path;

/// Copies a trace with pseudonyms. `key_file` holds the key from which they derive; a missing file is created with a
/// new key.
pub(super) fn anonymise(file: &Path, output: &Path, key_file: Option<&Path>) -> anyhow::Result<u8> {
    let mut reader = open(file)?;
    let key = read_or_create_key(key_file)?;
    let mut damage = None;
    let copied = write(output, |out| {
        match anonymise::anonymise(&mut reader, out, key) {
            Err(error @ TraceError::Damage { .. }) => {
                damage = Some(error);
                Ok(None)
            }
            other => other.map(Some),
        }
    })?;
    if let Some(records) = copied {
        println!("{records} records");
    }
    Ok(status(file, damage))
}

/// Returns the key in `file`, which is created with a new key if it does not exist. Without a file, returns a new key.
fn read_or_create_key(file: Option<&Path>) -> anyhow::Result<anonymise::Key> {
    let Some(file) = file else {
        return Ok(anonymise::random_key()?);
    };
    if !file.exists() {
        let key = anonymise::random_key()?;
        let text: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
        std::fs::write(file, text + "\n")
            .with_context(|| format!("cannot write {}", file.display()))?;
        return Ok(key);
    }
    let text =
        std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    let text = text.trim();
    let mut key = [0; 32];
    let invalid_key = || format!("{}: line 1: expected 64 hexadecimal digits", file.display());
    if text.len() != 64 || !text.is_ascii() {
        bail!(invalid_key());
    }
    for (byte, start) in key.iter_mut().zip((0..64).step_by(2)) {
        *byte = u8::from_str_radix(&text[start..start + 2], 16)
            .ok()
            .with_context(invalid_key)?;
    }
    Ok(key)
}
