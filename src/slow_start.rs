//! Slow start: how much a pod that warms up may get from all sidecars together.
//!
//! Inputs: a pod's age and size, and what warm pods of its machine type answer to this instance. Answers are
//! the guide, not attempts, since attempts outrun any capacity when the rest of the fleet is lost or full.
//! Harm: where the settings call pods cold for longer than they are, warm ones carry more than they need to.

use crate::exposure::WINDOW_SLICES;
use crate::interface::{AttemptEnd, Endpoint, Nanos, PodId, PodSettings};
use crate::pod_table::{Pod, PodTable};
use crate::window::SlidingWindow;

/// The part of the overload multiple that all instances together may use on a pod that warms up.
const OVERLOAD_FRACTION: f64 = 0.6;
/// What a machine type without warm pods is taken to carry, as a part of the weakest other.
const UNKNOWN_TYPE_FRACTION: f64 = 0.5;

/// The warm pods of one machine type.
struct MachineTypeStats {
    answers: SlidingWindow,
    size: f64,
}

/// What pods that warm up may get.
pub(crate) struct SlowStart {
    pub(crate) settings: PodSettings,
    machines: Vec<MachineTypeStats>,
}

impl SlowStart {
    pub(crate) fn new(settings: PodSettings) -> SlowStart {
        SlowStart {
            settings,
            machines: Vec::new(),
        }
    }

    /// The part of its capacity that a pod surely has.
    pub(crate) fn warmth(&self, now: Nanos, endpoint: &Endpoint) -> f64 {
        let initial = self.settings.initial_capacity;
        let age = now.saturating_sub(endpoint.started) as f64;
        let warmed_up = age / self.settings.warm_up.max(1) as f64;
        (initial + (1.0 - initial) * warmed_up).min(1.0)
    }

    pub(crate) fn is_warm(&self, now: Nanos, endpoint: &Endpoint) -> bool {
        self.warmth(now, endpoint) >= 1.0
    }

    /// Marks the pods whose time to warm up is over and sums up their size by machine type.
    pub(crate) fn update(&mut self, now: Nanos, pods: &mut PodTable) {
        for machine in &mut self.machines {
            machine.size = 0.0;
        }
        let window = self.settings.overload_window;
        for pod in pods.all_mut() {
            let age = now.saturating_sub(pod.endpoint.started);
            pod.warm = pod.is_running() && age >= self.settings.warm_up;
            if !pod.warm {
                continue;
            }
            let machine = pod.endpoint.machine_type;
            if self.machines.len() <= machine {
                self.machines.resize_with(machine + 1, || MachineTypeStats {
                    answers: SlidingWindow::new(window, WINDOW_SLICES),
                    size: 0.0,
                });
            }
            self.machines[machine].size += pod.endpoint.size;
        }
    }

    /// Counts an answer of a warm pod.
    pub(crate) fn record_attempt_end(&mut self, now: Nanos, pod: &Pod, end: AttemptEnd) {
        if end == AttemptEnd::Served && pod.warm {
            if let Some(machine) = self.machines.get_mut(pod.endpoint.machine_type) {
                machine.answers.add(now);
            }
        }
    }

    /// What the warm pods of a machine type answered of late for each unit of size, where there are any.
    fn answers_per_size(&mut self, now: Nanos, machine: usize) -> Option<f64> {
        let known = self.machines.get_mut(machine);
        let machine = known.filter(|machine| machine.size > 0.0)?;
        Some(machine.answers.upper_bound(now) as f64 / machine.size)
    }

    /// Whether a pod has room for one more attempt, which a warm one always has. A part under one attempt is
    /// drawn for, lest those of many instances add up: `luck` is a draw from 0 to the window's requests for
    /// each unit of size that the pod is drawn from. In a subset a pod hears from fewer instances, and each
    /// has more of it.
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
        let others: Vec<f64> = (0..self.machines.len())
            .filter_map(|machine| self.answers_per_size(now, machine))
            .collect();
        let weakest = || others.iter().copied().reduce(f64::min).unwrap_or(0.0);
        let answers = self
            .answers_per_size(now, endpoint.machine_type)
            .unwrap_or_else(|| UNKNOWN_TYPE_FRACTION * weakest());
        let multiple = self.settings.overload_multiple;
        let most = OVERLOAD_FRACTION * multiple * warmth * answers * endpoint.size;
        let sent = pods.get_mut(id).map_or(0, |pod| pod.sent.upper_bound(now)) as f64;
        let fits = sent + 1.0 <= most / pods.subset_fraction(&endpoint);
        let drawn = others.is_empty() || demand_draw * warmth * endpoint.size < most;
        fits || (sent < 1.0 && drawn)
    }
}
