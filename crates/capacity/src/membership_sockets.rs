//! (to come)
