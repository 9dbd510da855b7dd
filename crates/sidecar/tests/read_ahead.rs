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

#[test]
fn the_memory_has_room_only_where_the_process_has() {
    let limits = [
        (100_000, 1 << 20),
        (90_000 + STEP_BYTES, 1 << 20),
        (94_000, 0),
    ];
    for (limit, expected) in limits {
        let heap = HeapRoom::new(|| 90_000, limit);
        let memory = ReadAheadMemory::with_heap(1 << 20, heap);
        assert_eq!(memory.room(), expected, "of {limit}");
    }
    assert_eq!(ReadAheadMemory::for_connections(0).room(), 0);
}
