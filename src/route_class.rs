//! The route classes by index, with what was learnt of each. State only.

use crate::interface::{RouteClass, RouteClassId};
use std::ops::Index;

/// A route class that is new under an index, or whose rules have changed.
pub struct RouteClassChange {
    /// The index that the class is known by from now on.
    pub class: RouteClassId,
    /// Its rules.
    pub rules: RouteClass,
    /// The class of the same name before it, whose learnt latencies and exposure counts it takes over.
    pub predecessor: Option<RouteClassId>,
    /// The exposure window to count in: its predecessor's, else one that no other class uses.
    pub bucket: usize,
}

/// The latencies of a route class, in nanoseconds.
#[derive(Clone)]
pub(crate) struct LearntLatency {
    pub(crate) mean: f64,
    /// The latency that nine in ten answers keep, by machine type.
    pub(crate) ninth_decile: Vec<f64>,
}

/// The route classes by index.
pub(crate) struct RouteClasses {
    rules: Vec<RouteClass>,
    latencies: Vec<LearntLatency>,
    /// The mean latency assumed of a class of which nothing is learnt yet.
    initial_mean: fn(&RouteClass) -> f64,
    /// The greatest priority weight of the classes in force.
    pub(crate) max_priority_weight: f64,
}

pub(crate) fn max_priority_weight<'a>(classes: impl Iterator<Item = &'a RouteClass>) -> f64 {
    classes
        .map(|class| class.priority_weight)
        .fold(1e-9, f64::max)
}

impl RouteClasses {
    pub(crate) fn new(rules: Vec<RouteClass>, initial_mean: fn(&RouteClass) -> f64) -> Self {
        let unknown = |class: &RouteClass| LearntLatency {
            mean: initial_mean(class),
            ninth_decile: Vec::new(),
        };
        RouteClasses {
            latencies: rules.iter().map(unknown).collect(),
            max_priority_weight: max_priority_weight(rules.iter()),
            rules,
            initial_mean,
        }
    }

    pub(crate) fn apply(&mut self, change: &RouteClassChange) {
        let class = change.class;
        let latency = match change.predecessor {
            Some(known) => self.latencies[known].clone(),
            None => LearntLatency {
                mean: (self.initial_mean)(&change.rules),
                ninth_decile: Vec::new(),
            },
        };
        if self.rules.len() <= class {
            let filler = LearntLatency {
                mean: latency.mean,
                ninth_decile: Vec::new(),
            };
            self.rules.resize(class + 1, change.rules);
            self.latencies.resize(class + 1, filler);
        }
        self.rules[class] = change.rules;
        self.latencies[class] = latency;
    }

    pub(crate) fn latency_mut(&mut self, class: RouteClassId) -> &mut LearntLatency {
        &mut self.latencies[class]
    }

    /// The latency that nine in ten answers keep on a machine type, where any came.
    pub(crate) fn ninth_decile(&self, class: RouteClassId, machine: usize) -> Option<f64> {
        self.latencies[class].ninth_decile.get(machine).copied()
    }
}

impl Index<RouteClassId> for RouteClasses {
    type Output = RouteClass;

    fn index(&self, class: RouteClassId) -> &RouteClass {
        &self.rules[class]
    }
}
