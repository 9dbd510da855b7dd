//! One piece of work as its guardians know it, and what sidecars say to each other about work in hand.

use crate::Ns;
use havenplank_fellows::wire::Life;
use serde::{Deserialize, Serialize};

/// Names a piece of work: made of the client's key, or of the hit's own mark where it has none.
pub type Mark = u128;

/// What is known of a forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Went {
    /// About to go, or gone with no end known: it may have run.
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Past {
    pub pod: String,
    /// How long ago it was about to go.
    pub age: Ns,
    pub went: Went,
}

/// The final answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Done {
    Delivered(Vec<u8>),
    /// Nothing of it has an effect, or pods drop the repeat.
    Bounced,
    /// `again`: pods drop the repeat of what may have run.
    Errored {
        again: bool,
    },
}

impl Done {
    /// Whether a new hit under the same key may begin, as the client was told that a retry does no harm.
    pub fn reopens(&self) -> bool {
        matches!(self, Done::Bounced | Done::Errored { again: true })
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    pub mark: Mark,
    /// Who may act on it, and since which change of hands.
    pub holder: Life,
    pub term: u32,
    /// Grows with each change that the holder of this term makes.
    pub version: u32,
    /// Whether the holder has learnt that more than half keep it. Until then it may yet serve the hit unguarded, so
    /// that nobody else may begin.
    pub firm: bool,
    /// Who guards it, the same from its beginning to its end.
    pub guardians: Vec<Life>,
    /// A sum of the hit, so that another hit under the same key can be told.
    pub sum: u64,
    /// The hit, as it is sent.
    pub ask: Vec<u8>,
    /// What the client still waits.
    pub left: Ns,
    /// Its forwards, in the order of going.
    pub past: Vec<Past>,
    pub done: Option<Done>,
}

impl Record {
    /// The same, so much later: spans travel, as no two clocks agree.
    pub fn later(&self, by: Ns) -> Record {
        let mut record = self.clone();
        record.left = record.left.saturating_sub(by);
        record.past.iter_mut().for_each(|past| past.age = past.age.saturating_add(by));
        record
    }

    /// Bytes of the hit and of its answer.
    pub fn weight(&self) -> usize {
        let answer = match &self.done {
            Some(Done::Delivered(answer)) => answer.len(),
            _ => 0,
        };
        self.ask.len() + answer
    }

    /// More than half of its guardians.
    pub fn enough(&self) -> usize {
        self.guardians.len() / 2 + 1
    }
}

/// Stamps are the sender's own clock and come back as they were.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Say {
    /// Guard this, or this newer state of it.
    Keep {
        record: Record,
        stamp: Ns,
    },
    Kept {
        mark: Mark,
        term: u32,
        version: u32,
        stamp: Ns,
        epoch: u32,
    },
    /// Another holds it, by a later term or an earlier word.
    Held {
        mark: Mark,
        term: u32,
        by: Life,
        differs: bool,
    },
    /// No room for more.
    Full {
        mark: Mark,
    },
    /// My right on all that you guard for me, for another span.
    Renew {
        stamp: Ns,
    },
    Renewed {
        stamp: Ns,
        epoch: u32,
    },
    /// I would finish it, in this term.
    Vote {
        mark: Mark,
        term: u32,
        stamp: Ns,
    },
    Voted {
        record: Record,
        term: u32,
        stamp: Ns,
        epoch: u32,
    },
    /// Tell me when it is done.
    Wait {
        mark: Mark,
        sum: u64,
    },
    Done {
        mark: Mark,
        term: u32,
        done: Done,
    },
    /// Nothing is known of it here.
    Nothing {
        mark: Mark,
    },
    /// A claim is given up; nothing was sent for it.
    Free {
        mark: Mark,
        term: u32,
    },
}
