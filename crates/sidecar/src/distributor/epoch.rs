//! Chooses the epoch under which a distributor publishes.

use super::DistributorError;
use havenplank_configuration::version::Version;

/// The epoch of the first writer of a fleet.
const FIRST_EPOCH: u64 = 1;

/// Which epoch a distributor publishes under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochChoice {
    /// The epoch of the store, or the first epoch if the store is empty.
    AsStored,
    /// The given epoch.
    Number(u64),
    /// One above the newest epoch that the peers have.
    ReplaceWriter,
}

impl EpochChoice {
    /// Returns the epoch at the start. A writer that replaces another gets its final epoch from its peers later.
    ///
    /// # Errors
    /// Fails if the given epoch is below the epoch of the store, because one version could then be published twice with
    /// different contents.
    pub(super) fn resolve(self, stored: Version) -> Result<u64, DistributorError> {
        match self {
            EpochChoice::Number(requested) if requested < stored.epoch => {
                Err(DistributorError::LowerEpoch { requested, stored })
            }
            EpochChoice::Number(requested) => Ok(requested),
            EpochChoice::AsStored | EpochChoice::ReplaceWriter => Ok(stored.epoch.max(FIRST_EPOCH)),
        }
    }
}
