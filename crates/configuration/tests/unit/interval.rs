//! Splits of intervals: disjoint, and complete.

use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn every_name_but_the_own_one_is_in_exactly_one_part(
        names in proptest::collection::btree_set("[ab]{1,6}", 0..60),
        own in "[ab]{1,6}",
        parts in 1usize..9,
        probe in "[ab]{1,7}",
    ) {
        let names: Vec<String> = names.into_iter().collect();
        let split = Interval::all().split_around(&own, parts, names.len(), |at| &names[at]);
        prop_assert!(split.len() <= parts + 2);
        for (at, name) in names.iter().enumerate() {
            let within = split.iter().filter(|part| part.interval.contains(name)).count();
            let placed = split.iter().filter(|part| part.indices.contains(&at)).count();
            let expected = usize::from(*name != own);
            prop_assert_eq!((within, placed), (expected, expected), "{}", name);
        }
        // A name that the list does not have is in one at most.
        prop_assert!(split.iter().filter(|part| part.interval.contains(&probe)).count() <= 1);
    }
}
