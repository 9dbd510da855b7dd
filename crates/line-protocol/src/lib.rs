//! The line protocols between a sidecar, the node list and the release desk, described in docs/protocols.md.
//!
//! Both speak text over TCP, a line a message, first a versioned greeting from either side. [`lines`] is the
//! bounded decoder that both share, [`nodes`] and [`desk`] what is said, [`follow`] the client half that
//! connects again by itself. Decoding yields calls on a listener, so no type here mirrors a line.

pub mod desk;
pub mod follow;
pub mod lines;
pub mod nodes;

pub use lines::FeedError;
