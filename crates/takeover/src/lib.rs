//! Work in hand survives the loss of its sidecar: guardians know of it, and one of them finishes it.
//!
//! [`hold`] decides: free of I/O, time and chance handed in. [`record`] is what is known of one piece of work and what
//! sidecars say to each other about it. [`guardians`] picks who guards.

pub mod guardians;
pub mod hold;
pub mod record;

pub use havenplank_fellows::Ns;
