//! Tests of `src/connection_slots.rs`.

use havenplank_platform::connection_slots::{
    eviction_before_accept, eviction_candidate, idle_candidate, silent_candidate, Activity,
    ConnectionState, DescriptorBudget, Eviction,
};
use havenplank_platform::memory_budget::ClientMemory;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

#[test]
fn evicts_silent_connections_first_new_ones_late_and_those_waiting_for_a_response_never() {
    let start = Instant::now();
    let now = start + 1000 * MS;
    let responding = Activity::Responding { write_by: None };
    let reading = |at: u32| Activity::Reading {
        began: start + at * MS,
    };
    let state = |at: u32, has_requested, activity| ConnectionState {
        connected: start + at * MS,
        idle_since: start + at * MS,
        activity,
        has_requested,
    };
    let mut connections = vec![
        (1, state(990, false, Activity::Idle)),
        (2, state(600, true, Activity::Idle)),
        (3, state(0, true, responding)),
        (4, state(700, false, reading(700))),
        (5, state(500, false, Activity::Idle)),
        (6, state(100, true, reading(100))),
        (7, state(400, true, Activity::Idle)),
    ];
    for expected in [5, 4, 7, 2, 1, 6] {
        assert_eq!(eviction_candidate(&connections, now), Some(expected));
        connections.retain(|(id, _)| *id != expected);
    }
    assert_eq!(eviction_candidate(&connections, now), None);
}

#[test]
fn closes_the_longest_idle_connection_when_those_with_requests_reach_their_budget() {
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
    let active = |n: u32| ConnectionState {
        idle_since: start + n * MS,
        has_requested: true,
        ..ConnectionState::new(start)
    };
    let mut connections: Vec<(u64, ConnectionState)> =
        (0..101).map(|n| (u64::from(n), active(n))).collect();
    connections.push((200, ConnectionState::new(start)));
    assert_eq!(idle_candidate(&connections, budget), None);
    connections.push((300, active(300)));
    connections[0].1.activity = Activity::Responding { write_by: None };
    assert_eq!(idle_candidate(&connections, budget), Some(1));
}

#[test]
fn closes_a_connection_by_the_time_limit_of_its_activity() {
    let start = Instant::now();
    let mut state = ConnectionState::new(start);
    assert_eq!(state.closes_at(None), Some(start + 2000 * MS));
    // The first request must be complete well within 3 s of connecting, however late it begins.
    state.activity = Activity::Reading {
        began: start + 1900 * MS,
    };
    assert_eq!(state.closes_at(None), Some(start + 2500 * MS));
    state.has_requested = true;
    assert_eq!(state.closes_at(None), Some(start + 3900 * MS));
    state.activity = Activity::Responding { write_by: None };
    assert_eq!(state.closes_at(None), None);
}

#[test]
fn closes_a_new_connection_later_than_others_at_a_stop() {
    let start = Instant::now();
    let stopped = start + 100 * MS;
    let mut state = ConnectionState::new(start);
    assert_eq!(state.closes_at(Some(stopped)), Some(start + 700 * MS));
    state.has_requested = true;
    assert_eq!(state.closes_at(Some(stopped)), Some(stopped));
}

#[test]
fn a_new_connection_displaces_silent_ones_while_memory_is_short_and_any_when_it_is_exhausted() {
    let expected = [
        (false, ClientMemory::Ample, Eviction::None),
        (true, ClientMemory::Ample, Eviction::Any),
        (false, ClientMemory::Short, Eviction::Silent),
        (true, ClientMemory::Short, Eviction::Any),
        (false, ClientMemory::Exhausted, Eviction::Any),
    ];
    for (is_full, memory, eviction) in expected {
        assert_eq!(eviction_before_accept(is_full, memory), eviction);
    }
}

#[test]
fn only_clients_without_a_complete_request_are_silent_and_not_at_once() {
    let start = Instant::now();
    let now = start + 1000 * MS;
    let state = |at: u32, has_requested, activity| ConnectionState {
        connected: start + at * MS,
        idle_since: start + at * MS,
        activity,
        has_requested,
    };
    let responding = Activity::Responding { write_by: None };
    let reading = Activity::Reading { began: start };
    let mut connections = vec![
        (1, state(0, true, Activity::Idle)),
        (2, state(0, false, responding)),
        (3, state(900, false, reading)),
        (4, state(500, false, reading)),
        (5, state(400, false, Activity::Idle)),
    ];
    for expected in [Some(5), Some(4), None] {
        assert_eq!(silent_candidate(&connections, now), expected);
        connections.retain(|(id, _)| Some(*id) != expected);
    }
}
