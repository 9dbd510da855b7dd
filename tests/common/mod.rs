//! What the tests of the router share: a scripted host and the notation of the cases.

pub mod notation;
pub mod scripted_host;
