//! Decides under which epoch a distributor publishes.

use super::DistributorError;
use havenplank_configuration::version::Version;

/// The epoch of the first writer of a fleet.
const FIRST_EPOCH: u64 = 1;

/// Which epoch a distributor publishes under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochChoice {
    /// That of its store, or the first.
    AsStored,
    /// This one.
    Number(u64),
    /// One above the newest that its peers have.
    ReplaceWriter,
}

impl EpochChoice {
    /// Returns the epoch to begin with; a writer that replaces another learns its own from its peers.
    ///
    /// # Errors
    /// A number below the epoch of the store: a version would be published twice with two contents.
    pub(super) fn resolve(self, stored: Version) -> Result<u64, DistributorError> {
        match self {
            EpochChoice::Number(asked) if asked < stored.epoch => {
                Err(DistributorError::LowerEpoch { asked, stored })
            }
            EpochChoice::Number(asked) => Ok(asked),
            EpochChoice::AsStored | EpochChoice::ReplaceWriter => Ok(stored.epoch.max(FIRST_EPOCH)),
        }
    }
}
