//! A simulated fleet that replicates configurations, for the tests of the replication and for the scale tests.
//!
//! [`process`] puts a codec and a host around the [`Replicator`](havenplank_configuration::replication::Replicator) that
//! sidecars run; [`fleet`] connects processes of several zones and regions by the simulated network of the emulator.
//! Time is simulated and every draw comes from a seed, so a run repeats to the byte.

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
