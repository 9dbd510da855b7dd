//! The keywords by which the settings script names the values of an enum.

use crate::site::BackupMode;
use havenplank::interface::{DedupScope, Idempotency, ReleaseControl};

/// The keywords of `path_group(kind = ...)`.
pub const IDEMPOTENCY: [(&str, Idempotency); 3] = [
    ("repeatable", Idempotency::Idempotent),
    ("tagged", Idempotency::Keyed),
    ("mutating", Idempotency::NonIdempotent),
];

/// The keywords of `path_group(scope = ...)`.
pub const DEDUP_SCOPE: [(&str, DedupScope); 3] = [
    ("all", DedupScope::All),
    ("zone", DedupScope::Zone),
    ("cell", DedupScope::Cell),
];

/// The keywords of `path_group(guard = ...)`.
pub const BACKUP_MODE: [(&str, BackupMode); 3] = [
    ("off", BackupMode::Off),
    ("before-forward", BackupMode::BeforeAttempt),
    ("behind", BackupMode::InBackground),
];

/// The keywords of `votes(control = ...)`.
pub const RELEASE_CONTROL: [(&str, ReleaseControl); 3] = [
    ("any", ReleaseControl::AnyVote),
    ("count", ReleaseControl::Quorum),
    ("clock", ReleaseControl::Timed),
];

/// Returns the keyword of a value in one of the tables of this module.
///
/// # Panics
///
/// Panics if the table lacks the value. The tables of this module have a keyword for every value of their enum.
pub fn keyword_of<T: Copy + PartialEq>(table: &[(&'static str, T)], value: T) -> &'static str {
    let found = table.iter().find(|(_, known)| *known == value);
    found.expect("each value has a keyword in the table").0
}
