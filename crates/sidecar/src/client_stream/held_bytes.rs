//! Bytes that were read ahead, in pieces of one step each, so that they hold no more memory than is counted.

use crate::read_ahead::{ReadAheadMemory, STEP_BYTES};
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use std::rc::Rc;

/// The bytes that are held for one connection. Their pieces count in the shared memory until they are freed.
pub(super) struct HeldBytes {
    /// Bounded by [`crate::read_ahead::MAX_HELD_BYTES`]; none is empty.
    pieces: VecDeque<BytesMut>,
    length: usize,
    memory: Rc<ReadAheadMemory>,
}

impl HeldBytes {
    pub(super) fn new(memory: Rc<ReadAheadMemory>) -> HeldBytes {
        HeldBytes {
            pieces: VecDeque::new(),
            length: 0,
            memory,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.length
    }

    /// Returns how many more bytes there is memory for.
    pub(super) fn room(&self) -> usize {
        self.memory.room()
    }

    /// Adds bytes behind those that are held.
    pub(super) fn push(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let last = self.pieces.back_mut();
            let Some(last) = last.filter(|last| last.len() < last.capacity()) else {
                self.pieces.push_back(BytesMut::with_capacity(STEP_BYTES));
                self.memory.add(STEP_BYTES);
                continue;
            };
            let fitting = bytes.len().min(last.capacity() - last.len());
            last.extend_from_slice(&bytes[..fitting]);
            bytes = &bytes[fitting..];
        }
    }

    /// Removes at most `limit` bytes from the front and passes them to `receive`, piece by piece.
    pub(super) fn take(&mut self, mut limit: usize, mut receive: impl FnMut(&[u8])) {
        while let Some(first) = self.pieces.front_mut().filter(|_| limit > 0) {
            let taken = first.len().min(limit);
            receive(&first[..taken]);
            first.advance(taken);
            limit -= taken;
            self.length -= taken;
            if first.is_empty() {
                self.pieces.pop_front();
                self.memory.remove(STEP_BYTES);
            }
        }
        if self.pieces.is_empty() {
            // Releases the list itself: few connections read ahead again.
            self.pieces = VecDeque::new();
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.memory.remove(self.pieces.len() * STEP_BYTES);
    }
}
