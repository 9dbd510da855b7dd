//! Helpers that several test files share.

use std::collections::BTreeMap;

/// Returns the byte strings of a fixture file by name. A line has the form `name hex`; empty lines and lines that begin
/// with `#` are skipped.
///
/// # Panics
/// On a line of another form.
pub fn recorded_bytes(fixture: &str) -> BTreeMap<&str, Vec<u8>> {
    fixture
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .map(|line| {
            let (name, hex) = line.split_once(' ').expect("a name and hex digits");
            (name, from_hex(hex))
        })
        .collect()
}

/// Returns the hex digits of these bytes, as in a line of a fixture file.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&hex[start..start + 2], 16).expect("hex digits"))
        .collect()
}
