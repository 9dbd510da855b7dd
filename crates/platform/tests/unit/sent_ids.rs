//! Tests of `src/sent_ids.rs`.

use super::*;

fn id(n: usize) -> HeaderValue {
    HeaderValue::from_str(&n.to_string()).expect("a value")
}

#[test]
fn remembers_the_ids_that_were_sent_last_and_no_more_of_them_than_its_limit() {
    let ids = SentIds::default();
    for n in 0..MAX_IDS {
        ids.insert(&id(n));
        ids.insert(&id(n));
    }
    assert!(ids.contains(&id(0)) && ids.contains(&id(MAX_IDS - 1)));
    assert!(!ids.contains(&id(MAX_IDS)));
    ids.insert(&id(MAX_IDS));
    assert!(!ids.contains(&id(0)), "the oldest");
    assert!(ids.contains(&id(1)) && ids.contains(&id(MAX_IDS)));
    let state = ids.state.borrow();
    assert_eq!((state.hashes.len(), state.by_age.len()), (MAX_IDS, MAX_IDS));
}
