//! havenplank: a hit router and release judge.
//!
//! [`logic`] holds every decision, [`interface`] the calls and effects between it and whatever hosts it.

mod groups;
pub mod interface;
pub mod logic;
mod state;
mod table;
mod tail;

pub use state::Visits;
