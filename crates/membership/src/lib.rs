//! Who is there: which other sidecars live, known to each within seconds and at a flat cost.
//!
//! [`standing`] says what a sidecar may believe of its own place: who belongs, how many of them it reaches.
//! [`views`] keeps that up to date and tells one peer of it each period.
//! [`swim`] decides: free of I/O, with time and chance handed in. [`wire`] turns what it says into keyed datagrams
//! and back. [`node`] is both together, as the simulated network of the tests drives it; [`shell`] gives it one UDP
//! socket. Other packages send their own kinds of message through the same socket, key and codec.

mod follow_ups;
mod gossip;
pub mod news;
pub mod node;
pub mod peers;
mod roster;
pub mod shell;
pub mod standing;
pub mod swim;
pub mod views;
pub mod wire;

/// Whole nanoseconds on this process's own monotonic clock, or a span.
pub type Nanos = u64;
