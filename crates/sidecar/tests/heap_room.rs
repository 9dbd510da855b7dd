//! Tests of `src/heap_room.rs`, and of `src/body_memory.rs` as far as it waits for room.

use havenplank_sidecar::body_memory::{BodyMemory, MemoryExhausted};
use havenplank_sidecar::heap_room::HeapRoom;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const LIMIT: usize = 1000;
const MS: Duration = Duration::from_millis(1);

/// What the process of these tests has allocated.
static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

fn allocated() -> usize {
    ALLOCATED.load(Ordering::Relaxed)
}

fn run_test(work: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(work);
}

/// Whatever holds the memory, also what no reservation counts, a body waits until there is room for it.
#[test]
fn a_reservation_waits_for_room_in_the_process() {
    run_test(async {
        let memory = BodyMemory::with_heap(10 * LIMIT, HeapRoom::new(allocated, LIMIT));
        ALLOCATED.store(LIMIT - 10, Ordering::Relaxed);
        let soon = || Instant::now() + 30 * MS;
        assert!(memory.reserve(10, soon()).await.is_ok());
        assert!(matches!(
            memory.reserve(11, soon()).await,
            Err(MemoryExhausted)
        ));
        assert_eq!((memory.held(), memory.exhausted_count()), (0, 1));
        let release = async {
            tokio::time::sleep(5 * MS).await;
            ALLOCATED.store(0, Ordering::Relaxed);
        };
        let until = Instant::now() + 5000 * MS;
        let (reserved, ()) = tokio::join!(memory.reserve(11, until), release);
        assert!(reserved.is_ok());
    });
}
