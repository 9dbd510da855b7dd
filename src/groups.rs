//! The path groups by index, with what was learnt of each: plain state with no decision in it.

use crate::interface::*;
use std::ops::Index;

/// A path group that is new under an index, or whose rules have changed.
pub struct RouteClassChange {
    pub group: RouteClassId,
    pub rules: RouteClass,
    /// The one of the same name before it, whose learnt answer times and counts against the cap it goes on with.
    pub predecessor: Option<RouteClassId>,
    /// The counting window: its predecessor's, else one that no other path group uses.
    pub bucket: usize,
}

/// The path groups by index, with what was learnt of each.
pub struct Groups {
    rules: Vec<RouteClass>,
    /// Of each path group the mean answer time, and for each machine the time that nine in ten answers keep,
    /// by machine since a new build starts on few.
    mean: Vec<f64>,
    slowest: Vec<Vec<f64>>,
    /// The mean of a path group of which nothing is learnt yet.
    first_mean: fn(&RouteClass) -> f64,
    /// The greatest priority weight of those in force, so that no hit has to look through them.
    pub max_priority_weight: f64,
}

pub(crate) fn max_priority_weight<'a>(groups: impl Iterator<Item = &'a RouteClass>) -> f64 {
    groups
        .map(|group| group.priority_weight)
        .fold(1e-9, f64::max)
}

impl Groups {
    pub fn new(rules: Vec<RouteClass>, first_mean: fn(&RouteClass) -> f64) -> Groups {
        let mean = rules.iter().map(first_mean).collect();
        let (slowest, max_priority_weight) = (
            vec![Vec::new(); rules.len()],
            max_priority_weight(rules.iter()),
        );
        Groups {
            rules,
            mean,
            slowest,
            first_mean,
            max_priority_weight,
        }
    }

    pub(crate) fn set(&mut self, change: &RouteClassChange) {
        let RouteClassChange {
            group,
            rules,
            predecessor,
            ..
        } = *change;
        let (mean, slowest) = match predecessor {
            Some(known) => (self.mean[known], self.slowest[known].clone()),
            None => ((self.first_mean)(&rules), Vec::new()),
        };
        if self.rules.len() <= group {
            self.rules.resize(group + 1, rules);
            self.mean.resize(group + 1, mean);
            self.slowest.resize(group + 1, Vec::new());
        }
        self.rules[group] = rules;
        self.mean[group] = mean;
        self.slowest[group] = slowest;
    }

    /// The mean answer time of a path group, and by machine what nine in ten answers keep.
    pub fn learnt(&mut self, group: RouteClassId) -> (&mut f64, &mut Vec<f64>) {
        (&mut self.mean[group], &mut self.slowest[group])
    }

    /// What nine in ten answers keep on a machine, where any came.
    pub fn slowest(&self, group: RouteClassId, machine: usize) -> Option<f64> {
        self.slowest[group].get(machine).copied()
    }
}

impl Index<RouteClassId> for Groups {
    type Output = RouteClass;

    fn index(&self, group: RouteClassId) -> &RouteClass {
        &self.rules[group]
    }
}
