//! Measures what the tables of one sidecar (pods, routes, tenants) cost its engine. The engine is the product's,
//! without sockets and in virtual time.

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

/// Requests per second: of a sidecar on average, and of the busiest sidecar.
pub const RATES_PER_S: [u64; 2] = [137, 700];

/// The sizes to measure.
#[derive(Clone, Debug)]
pub struct Options {
    /// Numbers of pods in the table.
    pub pods: Vec<usize>,
    /// Numbers of groups into which the pods of one table are divided, each of one zone and build. In a sidecar of many
    /// services, whose pods share one table, the groups stand for the services.
    pub pod_groups: Vec<usize>,
    /// Numbers of routes in a settings script.
    pub routes: Vec<usize>,
    /// Numbers of tenants in a settings script.
    pub tenants: Vec<usize>,
    /// Number of requests for each size and rate.
    pub requests: usize,
    /// Number of replaced pods for each size.
    pub changes: usize,
    /// The seed of all random numbers.
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

    /// Returns sizes up to those of the planned fleet.
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

/// Measures all sections of one sidecar's tables. Memory is measured first, because memory that other measurements have
/// freed would be reused and hide the growth.
///
/// # Errors
/// The settings check rejects a generated settings script, a file cannot be written, or a histogram cannot be created.
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
