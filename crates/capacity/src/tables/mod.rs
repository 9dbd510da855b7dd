//! What one sidecar's tables cost it: the real engine, without sockets and in virtual time.

mod call_times;
mod driver;
mod lists;
mod lookups;
mod memory;
mod requests;
mod series_builder;
mod settings;

pub use self::call_times::CallTimes;
pub use self::driver::{Driver, EffectCounts};
pub use self::lookups::route_table;

use crate::error::CapacityError;
use crate::report::Section;

/// Requests a second of a sidecar in the mean and of the busiest.
pub const RATES_PER_S: [u64; 2] = [137, 700];

/// The sizes to measure at.
#[derive(Clone, Debug)]
pub struct Options {
    /// Pods of one table.
    pub pods: Vec<usize>,
    /// Pods of one zone and build each, as many as share a table today where they are of many services.
    pub pod_groups: Vec<usize>,
    /// Routes of one script.
    pub routes: Vec<usize>,
    /// Tenants of one script.
    pub tenants: Vec<usize>,
    /// Requests for each size and rate.
    pub requests: usize,
    /// Changes of one pod for each size.
    pub changes: usize,
    /// From which all draws come.
    pub seed: u64,
}

impl Options {
    /// Returns small sizes for CI.
    pub fn quick() -> Options {
        Options {
            pods: vec![100, 1_000, 3_000],
            pod_groups: vec![4, 40],
            routes: vec![10, 400],
            tenants: vec![100, 2_000],
            requests: 500,
            changes: 20,
            seed: 1,
        }
    }

    /// Returns sizes up to those to plan with.
    pub fn full() -> Options {
        Options {
            pods: vec![100, 1_000, 5_000, 10_000, 21_000],
            pod_groups: vec![10, 50, 100, 200, 400],
            routes: vec![10, 100, 1_000, 4_500],
            tenants: vec![100, 1_000, 10_000, 150_000],
            requests: 5_000,
            changes: 200,
            seed: 1,
        }
    }

    fn largest_pods(&self) -> usize {
        self.pods.iter().copied().max().unwrap_or(0)
    }
}

/// Measures all sections of one sidecar's tables. Memory comes first, while no freed memory is there to be used again.
///
/// # Errors
/// Settings of a size that the settings script refuses.
pub fn tables(options: &Options) -> Result<Vec<Section>, CapacityError> {
    Ok(vec![
        memory::memory(options)?,
        lists::lists(options)?,
        lists::ticks(options)?,
        requests::requests_by_pods(options)?,
        requests::requests_by_pod_groups(options)?,
        requests::requests_by_routes(options)?,
        lookups::lookups(options)?,
        settings::settings(options)?,
    ])
}
