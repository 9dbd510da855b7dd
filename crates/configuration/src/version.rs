//! Versions of a configuration, ordered by the epoch of the writer, then by a number.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The version of one configuration. A version of a higher epoch is newer whatever the numbers are, because its writer
/// has replaced the previous one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Increased by an operator when another distributor becomes the writer.
    pub epoch: u64,
    /// Increased by the writer with each change; not reset by a new epoch.
    pub number: u64,
}

impl Version {
    /// The version before the first configuration.
    pub const NONE: Version = Version {
        epoch: 0,
        number: 0,
    };

    /// Returns the next version of the same writer.
    pub fn next(self) -> Version {
        Version {
            number: self.number.saturating_add(1),
            ..self
        }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}
