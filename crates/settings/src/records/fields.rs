//! Fields that several calls have: addresses, header names, bounded spans; and the units of their defaults.

use crate::reader::FieldReader;
use havenplank::interface::Nanos;
use std::net::SocketAddr;

pub(super) const MS: Nanos = 1_000_000;
pub(super) const SECOND: Nanos = 1_000 * MS;
pub(super) const KIB: u64 = 1024;

/// The shortest and longest period or lease between peers.
const MIN_PEER_SPAN: Nanos = 50 * MS;
const MAX_PEER_SPAN: Nanos = 60 * SECOND;

/// Reads an address with a port.
pub(super) fn read_address(reader: &mut FieldReader, field: &'static str) -> SocketAddr {
    let parsed = reader.parsed(field, "an address with a port, such as \"127.0.0.1:7000\"");
    parsed.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

/// Reads the name of a header, in lower case.
pub(super) fn read_header(reader: &mut FieldReader, field: &'static str, absent: &str) -> String {
    let Some(name) = reader.optional_text(field) else {
        return absent.to_string();
    };
    let is_token = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
    if !name.chars().all(is_token) {
        reader.report(field, format!("found {name:?}"), "a header name");
    }
    name.to_ascii_lowercase()
}

/// Reads a choice that may be left out.
pub(super) fn read_maybe_choice<T: Copy>(
    reader: &mut FieldReader,
    field: &'static str,
    choices: &[(&str, T)],
) -> Option<T> {
    // Marks the field as known where it is absent.
    reader
        .accept(field)
        .then(|| reader.choice(field, choices))
        .flatten()
}

/// Reports a span between peers that is out of its bounds.
pub(super) fn check_peer_span(reader: &mut FieldReader, field: &'static str, span: Nanos) {
    if !(MIN_PEER_SPAN..=MAX_PEER_SPAN).contains(&span) {
        let found = format!("found {}ms", span / MS);
        reader.report(field, found, "a span from 50ms to 60s");
    }
}
