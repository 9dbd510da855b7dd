//! A simulated fleet that replicates the configuration, for the tests of the replication and for scale tests.
//!
//! [`process`] adds a codec and a host to the [`Replicator`](havenplank_configuration::replication::Replicator) that
//! sidecars run. [`fleet`] connects processes of several zones and regions through the simulated network of the
//! emulator. Time is simulated and all random numbers come from a seed, so that each run with the same seed sends the
//! same bytes.

#![warn(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::wildcard_imports,
    clippy::type_complexity
)]

pub mod fleet;
pub mod process;
