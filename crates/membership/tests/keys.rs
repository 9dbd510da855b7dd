//! Tests how key files are read.

use havenplank_membership::keys::{read_keys, InvalidKey, Key, KeyFileError};
use std::error::Error;
use std::path::Path;

#[test]
fn reads_one_key_from_each_line_and_names_an_invalid_line() {
    let line = "0f".repeat(32);
    let text = format!("# the new one\n{line}\n\n");
    assert_eq!(Key::parse_all(&text), Ok(vec![Key::new([15; 32])]));
    let invalid = Key::parse_all(&format!("{line}\nshort\n"));
    assert_eq!(invalid, Err(InvalidKey { line: 2 }));
    assert_eq!(Key::parse_all("\n"), Err(InvalidKey { line: 1 }));
    assert_eq!(format!("{:?}", Key::new([15; 32])), "Key(..)");
}

#[test]
fn the_error_for_an_unreadable_file_names_the_file_what_was_expected_and_the_cause() {
    let error = read_keys(Path::new("no/such/file")).expect_err("no such file");
    assert!(matches!(error, KeyFileError::Unreadable { .. }));
    assert!(error.source().is_some());
    let text = error.to_string();
    assert!(
        text.starts_with("no/such/file: ") && text.ends_with("that this process may read"),
        "{text}"
    );
}
