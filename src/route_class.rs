//! The route classes by index, with the learnt latencies of each.

use crate::interface::{RouteClass, RouteClassId};
use std::ops::Index;

/// A route class that is added, or whose rules change.
pub struct RouteClassChange {
    /// The index of the class from now on.
    pub class: RouteClassId,
    /// The rules of the class.
    pub rules: RouteClass,
    /// The class that had the same name before. The new one inherits its learnt latencies and exposure counts.
    pub predecessor: Option<RouteClassId>,
    /// The index of the sliding window that counts the exposure of this class: that of its predecessor, or
    /// one that no other class uses where there is no predecessor.
    pub bucket: usize,
}

/// The learnt latencies of a route class, in nanoseconds.
#[derive(Clone)]
pub(crate) struct LatencyEstimate {
    pub(crate) mean: f64,
    /// The 90th percentile of the latency, by machine type.
    pub(crate) p90: Vec<f64>,
}

/// The route classes by index.
pub(crate) struct RouteClasses {
    rules: Vec<RouteClass>,
    latencies: Vec<LatencyEstimate>,
    /// Returns the mean latency assumed for a class before anything is learnt.
    initial_mean: fn(&RouteClass) -> f64,
    /// The greatest priority weight among the classes in force.
    pub(crate) max_priority_weight: f64,
}

pub(crate) fn max_priority_weight<'a>(classes: impl Iterator<Item = &'a RouteClass>) -> f64 {
    classes
        .map(|class| class.priority_weight)
        .fold(1e-9, f64::max)
}

impl RouteClasses {
    pub(crate) fn new(rules: Vec<RouteClass>, initial_mean: fn(&RouteClass) -> f64) -> Self {
        let initial = |class: &RouteClass| LatencyEstimate {
            mean: initial_mean(class),
            p90: Vec::new(),
        };
        RouteClasses {
            latencies: rules.iter().map(initial).collect(),
            max_priority_weight: max_priority_weight(rules.iter()),
            rules,
            initial_mean,
        }
    }

    pub(crate) fn apply(&mut self, change: &RouteClassChange) {
        let class = change.class;
        let latency = match change.predecessor {
            Some(predecessor) => self.latencies[predecessor].clone(),
            None => LatencyEstimate {
                mean: (self.initial_mean)(&change.rules),
                p90: Vec::new(),
            },
        };
        if self.rules.len() <= class {
            let placeholder = LatencyEstimate {
                mean: latency.mean,
                p90: Vec::new(),
            };
            self.rules.resize(class + 1, change.rules);
            self.latencies.resize(class + 1, placeholder);
        }
        self.rules[class] = change.rules;
        self.latencies[class] = latency;
    }

    pub(crate) fn latency_mut(&mut self, class: RouteClassId) -> &mut LatencyEstimate {
        &mut self.latencies[class]
    }

    /// Returns the 90th percentile of the latency on a machine type; `None` before an attempt there has ended.
    pub(crate) fn p90(&self, class: RouteClassId, machine_type: usize) -> Option<f64> {
        self.latencies[class].p90.get(machine_type).copied()
    }
}

impl Index<RouteClassId> for RouteClasses {
    type Output = RouteClass;

    fn index(&self, class: RouteClassId) -> &RouteClass {
        &self.rules[class]
    }
}
