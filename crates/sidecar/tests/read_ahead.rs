//! How much is read ahead of what a client sends behind a request in flight.

use havenplank_sidecar::heap_room::HeapRoom;
use havenplank_sidecar::read_ahead::{
    next_bytes, ReadAheadMemory, MAX_HELD_BYTES, MIN_HELD_BYTES, STEP_BYTES,
};

#[test]
fn a_connection_reads_ahead_up_to_its_limit_while_there_is_memory() {
    for (held, expected) in [
        (0, STEP_BYTES),
        (MAX_HELD_BYTES - 10, 10),
        (MAX_HELD_BYTES, 0),
    ] {
        assert_eq!(next_bytes(held, usize::MAX), expected, "{held} held");
    }
}

#[test]
fn a_connection_reads_little_ahead_when_memory_is_short() {
    for (held, room, expected) in [
        (0, 0, MIN_HELD_BYTES),
        (MIN_HELD_BYTES - 1, 0, 1),
        (MIN_HELD_BYTES, 0, 0),
        (MIN_HELD_BYTES, 7, 7),
        (MAX_HELD_BYTES / 2, 0, 0),
    ] {
        assert_eq!(next_bytes(held, room), expected, "{held} held, {room} room");
    }
}

/// The buffer of a connection doubles when it grows, so the process needs room for as much again.
#[test]
fn the_memory_has_room_only_where_the_process_has() {
    let memory = ReadAheadMemory::with_heap(1 << 20, HeapRoom::new(|| 90_000, 100_000));
    assert_eq!(memory.room(0), 1 << 20);
    assert_eq!(memory.room(10_000), 1 << 20);
    assert_eq!(memory.room(10_001), 0);
    assert_eq!(ReadAheadMemory::for_connections(0).room(0), 0);
}
