//! Tests that the parts of a split interval are disjoint and cover all names.

use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn splits_so_that_every_name_but_the_excluded_one_is_in_exactly_one_part(
        names in proptest::collection::btree_set("[ab]{1,6}", 0..60),
        excluded in "[ab]{1,6}",
        parts in 1usize..9,
        probe in "[ab]{1,7}",
    ) {
        let names: Vec<String> = names.into_iter().collect();
        let split = Interval::all().split_around(&excluded, parts, names.len(), |index| &names[index]);
        prop_assert!(split.len() <= parts + 2);
        for (index, name) in names.iter().enumerate() {
            let covering = split.iter().filter(|part| part.interval.contains(name)).count();
            let indexing = split.iter().filter(|part| part.indices.contains(&index)).count();
            let expected = usize::from(*name != excluded);
            prop_assert_eq!((covering, indexing), (expected, expected), "{}", name);
        }
        // A name that is not in the list is in at most one part.
        prop_assert!(split.iter().filter(|part| part.interval.contains(&probe)).count() <= 1);
    }
}
