//! Units of time used on the wire, in nanoseconds, the unit of the engine.

use havenplank::interface::Nanos;

pub(crate) const NANOS_PER_MILLI: Nanos = 1_000_000;
pub(crate) const NANOS_PER_SECOND: Nanos = 1_000_000_000;
