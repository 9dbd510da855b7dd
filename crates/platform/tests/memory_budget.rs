//! Tests of `src/memory_budget.rs`.

use havenplank_platform::memory_budget::{rejects_head, ClientMemory, MemoryBudget};

const PROCESS_BYTES: usize = 32_000_000;

#[test]
fn memory_for_clients_ends_before_that_for_the_requests_they_have_sent() {
    let budget = MemoryBudget::new(PROCESS_BYTES, 0);
    assert!(budget.client_heap < budget.body_heap);
    assert!(budget.body_heap < budget.response_heap);
    assert!(
        budget.response_heap <= PROCESS_BYTES / 4 * 3,
        "no room for the allocator"
    );
    let expected = [
        (budget.client_heap, ClientMemory::Ample),
        (budget.client_heap + 1, ClientMemory::Short),
        (budget.response_heap, ClientMemory::Short),
        (budget.response_heap + 1, ClientMemory::Exhausted),
    ];
    for (allocated, memory) in expected {
        assert_eq!(budget.client_memory(allocated), memory, "{allocated}");
    }
}

#[test]
fn only_long_heads_are_rejected_and_only_when_memory_is_exhausted() {
    assert!(!rejects_head(16 << 10, ClientMemory::Ample));
    assert!(!rejects_head(16 << 10, ClientMemory::Short));
    assert!(rejects_head(16 << 10, ClientMemory::Exhausted));
    assert!(!rejects_head(4 << 10, ClientMemory::Exhausted));
}

/// A reload decodes the configuration while requests hold the memory that they may.
#[test]
fn memory_for_a_reload_stays_free_for_each_listed_endpoint_up_to_a_quarter() {
    let heap = |endpoints| MemoryBudget::new(PROCESS_BYTES, endpoints).response_heap;
    assert!(heap(3200) < heap(14) && heap(14) < heap(0));
    assert_eq!(heap(65_536), heap(usize::MAX));
    assert!(heap(usize::MAX) >= heap(0) / 4 * 3);
}
