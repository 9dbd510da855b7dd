//! Tests of `src/connection_slots.rs`.

use havenplank_platform::connection_slots::{
    eviction_candidate, idle_candidate, Activity, ConnectionSlot, DescriptorBudget,
};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

#[test]
fn evicts_silent_ones_first_newcomers_late_and_those_that_wait_for_a_response_never() {
    let start = Instant::now();
    let now = start + 1000 * MS;
    let responding = Activity::Responding { write_by: None };
    let reading = |at: u32| Activity::Reading {
        began: start + at * MS,
    };
    let slot = |at: u32, has_requested, activity| ConnectionSlot {
        connected: start + at * MS,
        idle_since: start + at * MS,
        activity,
        has_requested,
    };
    let mut slots = vec![
        (1, slot(990, false, Activity::Idle)),
        (2, slot(600, true, Activity::Idle)),
        (3, slot(0, true, responding)),
        (4, slot(700, false, reading(700))),
        (5, slot(500, false, Activity::Idle)),
        (6, slot(100, true, reading(100))),
        (7, slot(400, true, Activity::Idle)),
    ];
    for expected in [5, 4, 7, 2, 1, 6] {
        assert_eq!(eviction_candidate(&slots, now), Some(expected));
        slots.retain(|(id, _)| *id != expected);
    }
    assert_eq!(eviction_candidate(&slots, now), None);
}

#[test]
fn closes_the_one_idle_the_longest_before_those_that_stay_hold_the_clients_third() {
    let start = Instant::now();
    let budget = DescriptorBudget::new(384);
    assert_eq!(
        budget,
        DescriptorBudget {
            clients: 160,
            active_clients: 102,
            pods: 196
        }
    );
    let active = |n: u32| ConnectionSlot {
        idle_since: start + n * MS,
        has_requested: true,
        ..ConnectionSlot::new(start)
    };
    let mut slots: Vec<(u64, ConnectionSlot)> =
        (0..101).map(|n| (u64::from(n), active(n))).collect();
    slots.push((200, ConnectionSlot::new(start)));
    assert_eq!(idle_candidate(&slots, budget), None);
    slots.push((300, active(300)));
    slots[0].1.activity = Activity::Responding { write_by: None };
    assert_eq!(idle_candidate(&slots, budget), Some(1));
}

#[test]
fn closes_a_connection_by_what_it_is_at() {
    let start = Instant::now();
    let mut slot = ConnectionSlot::new(start);
    assert_eq!(slot.closes_at(None), Some(start + 2000 * MS));
    // Its first request, however late it begins, is dealt with well within 3 s.
    slot.activity = Activity::Reading {
        began: start + 1900 * MS,
    };
    assert_eq!(slot.closes_at(None), Some(start + 2500 * MS));
    slot.has_requested = true;
    assert_eq!(slot.closes_at(None), Some(start + 3900 * MS));
    slot.activity = Activity::Responding { write_by: None };
    assert_eq!(slot.closes_at(None), None);
}

#[test]
fn closes_a_newcomer_later_than_others_at_a_stop() {
    let start = Instant::now();
    let stopped = start + 100 * MS;
    let mut slot = ConnectionSlot::new(start);
    assert_eq!(slot.closes_at(Some(stopped)), Some(start + 700 * MS));
    slot.has_requested = true;
    assert_eq!(slot.closes_at(Some(stopped)), Some(stopped));
}
