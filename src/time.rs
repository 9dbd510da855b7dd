//! Units of time.

use crate::interface::Nanos;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1_000 * MILLISECOND;
