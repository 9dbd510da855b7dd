//! Work in hand survives the loss of its sidecar: guardians know of it, and one of them finishes it.
//!
//! [`Takeover`] decides: free of I/O, time and chance handed in. [`Rules`] are its limits. [`record`] is what is known
//! of one piece of work and what sidecars say to each other about it. [`guardians`] picks who guards.

pub mod guardians;
pub mod record;
mod rules;
mod takeover;

pub use havenplank_fellows::Ns;
pub use rules::Rules;
pub use takeover::{Effect, Takeover};
