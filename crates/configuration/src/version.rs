//! Which configuration is newer than which: the epoch of its writer, then a number.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The place of one configuration in the order of all. A higher epoch is newer whatever the numbers say: it belongs to a
/// writer that has replaced the one before.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Raised by an operator when another distributor becomes the writer.
    pub epoch: u64,
    /// Raised by the writer with each change; goes on across epochs.
    pub number: u64,
}

impl Version {
    /// Before the first configuration.
    pub const NONE: Version = Version {
        epoch: 0,
        number: 0,
    };

    /// The version that the same writer makes next.
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
