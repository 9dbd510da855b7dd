//! havenplank: a hit router and release judge.
//!
//! [`logic`] holds every decision, [`port`] the calls and effects between it and whatever hosts it.

mod groups;
pub mod logic;
pub mod port;
mod state;
mod table;
mod tail;

pub use state::Visits;
