//! Recognises repeated frames by the sequence numbers of each sender.

use crate::member::MemberId;
use std::collections::BTreeMap;

/// How far a sequence number may lag behind the newest one and still be accepted. Within this window numbers are
/// accepted in any order, each once. A sidecar with a thousand requests a second sends this many messages in some 300
/// ms.
pub const REPLAY_WINDOW: u64 = 4_096;
const BITS_PER_WORD: u64 = u64::BITS as u64;
const WINDOW_WORDS: usize = (REPLAY_WINDOW / BITS_PER_WORD) as usize + 1;

/// The sequence numbers received from one sender: a ring of bits, in which a word is cleared when the newest number
/// enters it.
#[derive(Clone, Debug)]
pub struct ReplayWindow {
    newest: u64,
    ring: Box<[u64; WINDOW_WORDS]>,
}

impl Default for ReplayWindow {
    fn default() -> ReplayWindow {
        ReplayWindow {
            newest: 0,
            ring: Box::new([0; WINDOW_WORDS]),
        }
    }
}

impl ReplayWindow {
    /// Records a sequence number. Returns false if it was recorded before or is more than [`REPLAY_WINDOW`] behind the
    /// newest; 0 is never accepted.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence == 0 || sequence.saturating_add(REPLAY_WINDOW) < self.newest {
            return false;
        }
        self.clear_passed_words(sequence / BITS_PER_WORD);
        self.newest = self.newest.max(sequence);
        let word = &mut self.ring[ring_index(sequence / BITS_PER_WORD)];
        let bit = 1 << (sequence % BITS_PER_WORD);
        let is_first = *word & bit == 0;
        *word |= bit;
        is_first
    }

    /// Clears the words that the newest number enters for the first time: they hold numbers of the previous turn of the
    /// ring.
    fn clear_passed_words(&mut self, newest_word: u64) {
        let passed = newest_word.saturating_sub(self.newest / BITS_PER_WORD);
        for lag in 0..passed.min(WINDOW_WORDS as u64) {
            self.ring[ring_index(newest_word - lag)] = 0;
        }
    }
}

fn ring_index(word: u64) -> usize {
    (word % WINDOW_WORDS as u64) as usize
}

/// The replay windows of all senders on one channel. An entry is removed with its member.
#[derive(Default)]
pub(crate) struct ReplayWindows {
    by_name: BTreeMap<String, SenderWindow>,
}

#[derive(Default)]
struct SenderWindow {
    incarnation: u64,
    window: ReplayWindow,
}

impl ReplayWindows {
    /// Records a sequence number of a sender. Returns false for a repeat. A new incarnation begins with an empty
    /// window.
    pub fn accept(&mut self, from: &MemberId, sequence: u64) -> bool {
        let sender = self.by_name.entry(from.name.clone()).or_default();
        if sender.incarnation != from.incarnation {
            *sender = SenderWindow {
                incarnation: from.incarnation,
                window: ReplayWindow::default(),
            };
        }
        sender.window.accept(sequence)
    }

    /// Removes the window of a member.
    pub fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }
}
