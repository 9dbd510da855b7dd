//! The words that the settings script uses for the values of an enum.

use crate::site::BackupMode;
use havenplank::interface::{DedupScope, Idempotency, ReleaseControl};

/// The words of `path_group(kind = ...)`.
pub const IDEMPOTENCY: [(&str, Idempotency); 3] = [
    ("repeatable", Idempotency::Idempotent),
    ("tagged", Idempotency::Keyed),
    ("mutating", Idempotency::NonIdempotent),
];

/// The words of `path_group(scope = ...)`.
pub const DEDUP_SCOPE: [(&str, DedupScope); 3] = [
    ("all", DedupScope::All),
    ("zone", DedupScope::Zone),
    ("cell", DedupScope::Cell),
];

/// The words of `path_group(guard = ...)`.
pub const BACKUP_MODE: [(&str, BackupMode); 3] = [
    ("off", BackupMode::Off),
    ("before-forward", BackupMode::BeforeAttempt),
    ("behind", BackupMode::InBackground),
];

/// The words of `votes(control = ...)`.
pub const RELEASE_CONTROL: [(&str, ReleaseControl); 3] = [
    ("any", ReleaseControl::AnyVote),
    ("count", ReleaseControl::Quorum),
    ("clock", ReleaseControl::Timed),
];

/// Returns the word that stands for a value in a table of words.
///
/// # Panics
///
/// Where the table lacks the value, which no table of this module does.
pub fn keyword_of<T: Copy + PartialEq>(words: &[(&'static str, T)], value: T) -> &'static str {
    let found = words.iter().find(|(_, known)| *known == value);
    found.expect("a table has a word for each value").0
}
