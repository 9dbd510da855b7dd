//! Helpers of several test files.

use std::collections::BTreeMap;

/// The lines of a fixture file, `name hex`, as bytes by name; empty lines and those that begin with `#` are passed over.
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

/// The same bytes as a line of a fixture file shows them.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex digits"))
        .collect()
}
