//! Helpers for the test files.

use std::collections::BTreeMap;

/// Parses the lines of a fixture file, `name hex`, into bytes by name. Skips empty lines and those that begin with `#`.
///
/// # Panics
/// If a line has another form.
pub fn recorded_bytes(fixture: &str) -> BTreeMap<&str, Vec<u8>> {
    fixture
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .map(|line| {
            let (name, hex) = line
                .split_once(' ')
                .expect("fixture line: expected a name, a space and hex digits");
            (name, from_hex(hex))
        })
        .collect()
}

/// Returns the bytes as hex digits, as in a fixture file.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|start| {
            u8::from_str_radix(&hex[start..start + 2], 16)
                .expect("fixture line: expected two hex digits per byte")
        })
        .collect()
}
