//! Tests that each sequence number is accepted once, in any order.

use havenplank_membership::replay::{ReplayWindow, REPLAY_WINDOW};
use proptest::prelude::*;
use std::collections::HashSet;

proptest! {
    #[test]
    fn a_sequence_number_is_accepted_once_within_the_window(
        sequences in proptest::collection::vec(1u64..12_000, 1..900),
    ) {
        let mut window = ReplayWindow::default();
        let (mut accepted, mut newest) = (HashSet::new(), 0);
        for sequence in sequences {
            let is_first = sequence + REPLAY_WINDOW >= newest && accepted.insert(sequence);
            prop_assert_eq!(window.accept(sequence), is_first);
            newest = newest.max(sequence);
        }
    }
}
