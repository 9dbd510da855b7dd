//! The allocator of the program: that of the C library, with a count of the allocated bytes.

use cap::Cap;
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Returns how many bytes the process has allocated at present. Its resident memory is larger by what the allocator
/// keeps free, by stacks and by static data.
pub fn allocated_bytes() -> usize {
    ALLOCATOR.allocated()
}
