//! The simulator's wire, decoded into calls and encoded from actions, for instances that decide and for whoever
//! writes down what they heard.

pub mod acts;
pub mod door;
pub mod line;
pub mod setup;
