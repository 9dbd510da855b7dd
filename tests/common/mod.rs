//! Shared code of the router's tests: a scripted host, and the notation of the scenarios.

pub mod notation;
pub mod scripted_host;
