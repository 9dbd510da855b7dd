//! The verdict on one rule.

use havenplank::interface::Nanos;
use serde::Serialize;

/// Number of broken cases that are described; further ones are only counted.
const MAX_CASES: usize = 20;
const NS_PER_MS: f64 = 1e6;

/// A case in which a rule was broken.
#[derive(Clone, Debug, Serialize)]
pub struct Case {
    /// When it happened, in milliseconds on the ledger's clock.
    pub at_ms: f64,
    /// What happened.
    pub what: String,
}

/// The verdict on one rule.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The name of the rule.
    pub rule: &'static str,
    /// How many events the rule applied to; a rule with 0 tests proves nothing.
    pub tested: u64,
    /// How often the rule was broken.
    pub broken: u64,
    /// The largest value measured against the rule's limit, as a share of the limit; above 1 breaks the rule.
    pub nearest: f64,
    /// The first broken cases.
    pub cases: Vec<Case>,
}

impl Verdict {
    pub(super) fn new(rule: &'static str) -> Verdict {
        Verdict {
            rule,
            tested: 0,
            broken: 0,
            nearest: 0.0,
            cases: Vec::new(),
        }
    }

    /// Counts a test whose value was this share of the limit.
    pub(super) fn test(&mut self, share: f64) {
        self.tested += 1;
        self.approach(share);
    }

    /// Records a value as a share of the limit, for an event that was already counted as a test.
    pub(super) fn approach(&mut self, share: f64) {
        self.nearest = self.nearest.max(share);
    }

    /// Counts a broken case.
    pub(super) fn report(&mut self, at: Nanos, what: String) {
        self.broken += 1;
        if self.cases.len() < MAX_CASES {
            self.cases.push(Case {
                at_ms: at as f64 / NS_PER_MS,
                what,
            });
        }
    }
}
