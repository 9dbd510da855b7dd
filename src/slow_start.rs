//! Slow start: how many attempts a pod that warms up may get from all instances together.
//!
//! Inputs: the age and size of a pod, and how many answers warm pods of its machine type send to this instance.
//! Answers are counted and not attempts, as attempts exceed any capacity when the rest of the fleet is lost or
//! overloaded. Risk: where the warm-up time in the settings is longer than pods need, the warm pods carry more
//! load than necessary.

use crate::exposure::WINDOW_SLICES;
use crate::interface::{AttemptEnd, Endpoint, Nanos, PodId, PodSettings};
use crate::pod_table::{Pod, PodTable};
use crate::window::SlidingWindow;

/// The fraction of the overload multiple that all instances together may use on a pod that warms up.
const OVERLOAD_FRACTION: f64 = 0.6;
/// The capacity assumed of a machine type without warm pods, as a fraction of the weakest other type.
const UNKNOWN_TYPE_FRACTION: f64 = 0.5;

/// The answers and the total size of the warm pods of one machine type.
struct MachineTypeStats {
    answers: SlidingWindow,
    size: f64,
}

/// Limits the attempts to pods that warm up.
pub(crate) struct SlowStart {
    pub(crate) settings: PodSettings,
    machine_types: Vec<MachineTypeStats>,
}

impl SlowStart {
    pub(crate) fn new(settings: PodSettings) -> SlowStart {
        SlowStart {
            settings,
            machine_types: Vec::new(),
        }
    }

    /// Returns the fraction of its full capacity that a pod has at least, by its age.
    pub(crate) fn warmth(&self, now: Nanos, endpoint: &Endpoint) -> f64 {
        let initial = self.settings.initial_capacity;
        let age = now.saturating_sub(endpoint.started) as f64;
        let warmed_up = age / self.settings.warm_up.max(1) as f64;
        (initial + (1.0 - initial) * warmed_up).min(1.0)
    }

    pub(crate) fn is_warm(&self, now: Nanos, endpoint: &Endpoint) -> bool {
        self.warmth(now, endpoint) >= 1.0
    }

    /// Marks the pods whose warm-up time is over and sums up their sizes by machine type.
    pub(crate) fn update(&mut self, now: Nanos, pods: &mut PodTable) {
        for stats in &mut self.machine_types {
            stats.size = 0.0;
        }
        let window = self.settings.overload_window;
        for pod in pods.all_mut() {
            let age = now.saturating_sub(pod.endpoint.started);
            pod.warm = pod.is_running() && age >= self.settings.warm_up;
            if !pod.warm {
                continue;
            }
            let machine_type = pod.endpoint.machine_type;
            if self.machine_types.len() <= machine_type {
                self.machine_types
                    .resize_with(machine_type + 1, || MachineTypeStats {
                        answers: SlidingWindow::new(window, WINDOW_SLICES),
                        size: 0.0,
                    });
            }
            self.machine_types[machine_type].size += pod.endpoint.size;
        }
    }

    /// Counts an answer of a warm pod.
    pub(crate) fn record_attempt_end(&mut self, now: Nanos, pod: &Pod, end: AttemptEnd) {
        if end == AttemptEnd::Served && pod.warm {
            if let Some(stats) = self.machine_types.get_mut(pod.endpoint.machine_type) {
                stats.answers.add(now);
            }
        }
    }

    /// Returns the recent answers of the warm pods of a machine type per unit of size, or `None` without warm pods.
    fn answers_per_size(&mut self, now: Nanos, machine_type: usize) -> Option<f64> {
        let stats = self.machine_types.get_mut(machine_type);
        let stats = stats.filter(|stats| stats.size > 0.0)?;
        Some(stats.answers.upper_bound(now) as f64 / stats.size)
    }

    /// Whether a pod has room for one more attempt. A warm pod always has.
    ///
    /// If this instance's allowance for the pod is below one attempt, a random draw decides; otherwise the single
    /// attempts of many instances would add up to an overload. `demand_draw` is drawn between 0 and twice the
    /// requests in the window per unit of size of the pods that the request may go to. A pod in a subset gets
    /// attempts from fewer instances, so the allowance of each of them is larger.
    pub(crate) fn has_room(
        &mut self,
        now: Nanos,
        pods: &mut PodTable,
        id: PodId,
        demand_draw: f64,
    ) -> bool {
        let Some(endpoint) = pods.get(id).map(|pod| pod.endpoint) else {
            return false;
        };
        let warmth = self.warmth(now, &endpoint);
        if warmth >= 1.0 {
            return true;
        }
        let answers_by_type: Vec<f64> = (0..self.machine_types.len())
            .filter_map(|machine_type| self.answers_per_size(now, machine_type))
            .collect();
        let weakest = || {
            answers_by_type
                .iter()
                .copied()
                .reduce(f64::min)
                .unwrap_or(0.0)
        };
        let answers = self
            .answers_per_size(now, endpoint.machine_type)
            .unwrap_or_else(|| UNKNOWN_TYPE_FRACTION * weakest());
        let multiple = self.settings.overload_multiple;
        let allowance = OVERLOAD_FRACTION * multiple * warmth * answers * endpoint.size;
        let sent = pods.get_mut(id).map_or(0, |pod| pod.sent.upper_bound(now)) as f64;
        let within_allowance = sent + 1.0 <= allowance / pods.subset_fraction(&endpoint);
        let is_drawn =
            answers_by_type.is_empty() || demand_draw * warmth * endpoint.size < allowance;
        within_allowance || (sent < 1.0 && is_drawn)
    }
}
