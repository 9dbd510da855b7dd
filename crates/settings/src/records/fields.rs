//! Readers of the field types that several calls have in common (addresses, header names, bounded durations), and the
//! units of default values.

use crate::reader::FieldReader;
use havenplank::interface::Nanos;
use std::net::SocketAddr;

pub(super) const MS: Nanos = 1_000_000;
pub(super) const SECOND: Nanos = 1_000 * MS;
pub(super) const KIB: u64 = 1024;

/// The shortest and longest probe interval or lease between peers.
const MIN_PEER_DURATION: Nanos = 50 * MS;
const MAX_PEER_DURATION: Nanos = 60 * SECOND;

/// Reads an IP address with a port.
pub(super) fn read_address(reader: &mut FieldReader, field: &'static str) -> SocketAddr {
    let parsed = reader.parsed(
        field,
        "an IP address with a port, such as \"127.0.0.1:7000\"",
    );
    parsed.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

/// Reads a header name and returns it in lower case; returns `default` if the field is absent.
pub(super) fn read_header(reader: &mut FieldReader, field: &'static str, default: &str) -> String {
    let Some(name) = reader.optional_text(field) else {
        return default.to_string();
    };
    let is_token = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
    if !name.chars().all(is_token) {
        reader.report(field, format!("found {name:?}"), "a header name");
    }
    name.to_ascii_lowercase()
}

/// Reads a keyword, or returns `None` if the field is absent.
pub(super) fn read_optional_choice<T: Copy>(
    reader: &mut FieldReader,
    field: &'static str,
    choices: &[(&str, T)],
) -> Option<T> {
    // Marks the field as known even if it is absent, so that a misspelled field's problem lists it.
    reader
        .accept(field)
        .then(|| reader.choice(field, choices))
        .flatten()
}

/// Reports a probe interval or lease that is out of bounds.
pub(super) fn check_peer_duration(reader: &mut FieldReader, field: &'static str, duration: Nanos) {
    if !(MIN_PEER_DURATION..=MAX_PEER_DURATION).contains(&duration) {
        let found = format!("found {}ms", duration / MS);
        reader.report(field, found, "a duration from 50ms to 60s");
    }
}
