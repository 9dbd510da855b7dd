//! Who is there: which other sidecars live, known to each within seconds and at a flat cost.

mod follow_ups;
pub mod frame;
pub mod keys;
pub mod member;
mod member_table;
mod message;
pub mod node;
pub mod port_pair;
pub mod quorum;
pub mod swim;
pub mod transport;
mod update_queue;
pub mod view_exchange;
mod voters;

/// Whole nanoseconds on this process's own monotonic clock, or a span.
pub type Nanos = u64;
