//! What the ledger says of one rule.

use havenplank::interface::Nanos;
use serde::Serialize;

/// Broken cases that are described; more are only counted.
const MAX_CASES: usize = 20;
const NS_PER_MS: f64 = 1e6;

/// Where a rule was broken.
#[derive(Clone, Debug, Serialize)]
pub struct Case {
    /// When, in milliseconds on the ledger's clock.
    pub at_ms: f64,
    /// What happened.
    pub what: String,
}

/// What the ledger says of one rule.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The name of the rule.
    pub rule: &'static str,
    /// How often something came under the rule at all: a rule that nothing tested proves nothing.
    pub tested: u64,
    /// How often it was broken.
    pub broken: u64,
    /// The nearest approach as a share of the limit; above 1 is broken.
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

    /// Counts one test that came as near to the limit as this share of it.
    pub(super) fn test(&mut self, share: f64) {
        self.tested += 1;
        self.approach(share);
    }

    /// Takes note of an approach to the limit that was counted as a test before.
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
