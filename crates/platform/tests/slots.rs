//! Tests of `src/slots.rs`.

use havenplank_platform::slots::{evicted, longest_idle, Shares, Slot};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

#[test]
fn silent_ones_go_first_newcomers_late_and_the_served_never() {
    let start = Instant::now();
    let now = start + 1000 * MS;
    let slot = |at: u32, asked, serving, half: bool| {
        let since = start + at * MS;
        Slot {
            connected: since,
            since,
            began: half.then_some(since),
            serving,
            write_by: None,
            asked,
        }
    };
    let mut slots = vec![
        (1, slot(990, false, false, false)),
        (2, slot(600, true, false, false)),
        (3, slot(0, true, true, false)),
        (4, slot(700, false, false, true)),
        (5, slot(500, false, false, false)),
        (6, slot(100, true, false, true)),
        (7, slot(400, true, false, false)),
    ];
    for wanted in [5, 4, 7, 2, 1, 6] {
        assert_eq!(evicted(&slots, now), Some(wanted));
        slots.retain(|(id, _)| *id != wanted);
    }
    assert_eq!(evicted(&slots, now), None);
}

#[test]
fn those_that_stay_thin_out_before_they_hold_the_clients_third() {
    let start = Instant::now();
    let shares = Shares::of(384);
    assert_eq!(
        shares,
        Shares {
            clients: 160,
            asked: 102,
            pods: 196
        }
    );
    let asked = |n: u32| Slot {
        since: start + n * MS,
        asked: true,
        ..Slot::new(start)
    };
    let mut slots: Vec<(u64, Slot)> = (0..101).map(|n| (n as u64, asked(n))).collect();
    slots.push((200, Slot::new(start)));
    assert_eq!(longest_idle(&slots, shares), None);
    slots.push((300, asked(300)));
    slots[0].1.serving = true;
    assert_eq!(longest_idle(&slots, shares), Some(1));
}

#[test]
fn times_by_which_a_connection_closes() {
    let start = Instant::now();
    let mut slot = Slot::new(start);
    assert_eq!(slot.closes(None), Some(start + 2000 * MS));
    // Its first hit, however late it begins, is dealt with well within 3 s.
    slot.began = Some(start + 1900 * MS);
    assert_eq!(slot.closes(None), Some(start + 2500 * MS));
    slot.asked = true;
    assert_eq!(slot.closes(None), Some(start + 3900 * MS));
    slot.serving = true;
    assert_eq!(slot.closes(None), None);
}
