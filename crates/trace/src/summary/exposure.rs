//! The share of a sidecar's requests that an unreleased build received, by exposure window.

use super::{row_or_others, Summary};
use crate::file::Reader;
use crate::record::{Payload, PodSnapshot, Record};
use crate::request_timelines::RequestTimelines;
use havenplank::interface::{Build, ExposureSettings, Nanos, Phase, RouteClassId, Stage};
use havenplank_sidecar::engine::Effect;
use havenplank_sidecar::events::Event;
use std::collections::HashMap;
use std::io::{Read, Seek};
use std::sync::Arc;

/// The requests of one sidecar that an unreleased build received, in consecutive windows of the exposure settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BuildExposure {
    /// Requests with an attempt to the build.
    pub exposed_requests: u64,
    /// All requests that arrived while the build was unreleased.
    pub arrived_requests: u64,
    /// The largest fraction of the exposure allowance that was used in any window; 1 is the complete allowance.
    pub max_allowance_used: f64,
    /// Windows in which requests arrived.
    pub windows: u64,
}

/// The open window of one source.
#[derive(Default)]
pub(super) struct ExposureWindow {
    started_at: Nanos,
    /// Requests that arrived, by route class; all under class 0 where the cap applies to all classes together.
    arrived: HashMap<RouteClassId, f64>,
    /// Requests with an attempt to the build on trial, by route class as above.
    exposed: HashMap<RouteClassId, f64>,
    /// The lowest cap that was in force in the window.
    lowest_cap: f64,
    /// The build on trial; 0 where there is none.
    build: Build,
}

impl ExposureWindow {
    /// Counts a record. Closes the window before, where it has ended or the build on trial has changed.
    pub(super) fn record<R: Read + Seek>(
        &mut self,
        record: &Record,
        reader: &Reader<R>,
        timelines: &RequestTimelines,
        summary: &mut Summary,
    ) {
        let source = &reader.head.sources[record.source];
        let settings = &source.settings.exposure;
        let trial = trial_stage(reader, record.source);
        let build = trial.map_or(0, |stage| stage.build);
        let has_ended = record.at.saturating_sub(self.started_at) >= settings.window.max(1);
        if build != self.build || has_ended {
            self.close(&source.settings.name, settings, summary);
            self.started_at = record.at;
            self.build = build;
            self.lowest_cap = trial.map_or(1.0, |stage| stage.cap);
        }
        let Some(stage) = trial else { return };
        // A cap that is lowered within a window applies from then on, so the window is compared with the lower cap.
        self.lowest_cap = self.lowest_cap.min(stage.cap);
        self.count(record, timelines, settings.per_class);
    }

    fn count(&mut self, record: &Record, timelines: &RequestTimelines, per_class: bool) {
        let row = |class: RouteClassId| if per_class { class } else { 0 };
        match &record.payload {
            Payload::Event(Event::RequestArrived { attributes, .. }) => {
                *self.arrived.entry(row(attributes.route_class)).or_default() += 1.0;
            }
            Payload::Effect(Effect::SendAttempt { request, .. }) => {
                let Some(timeline) = timelines.get(record.source, *request) else {
                    return;
                };
                // A request counts once, however many of its attempts go to the build.
                let mut attempts = timeline.attempts.iter();
                let is_counted = attempts.any(|attempt| self.is_on_trial(&attempt.pod));
                if self.is_on_trial(&record.pod) && !is_counted {
                    *self.exposed.entry(row(timeline.route_class)).or_default() += 1.0;
                }
            }
            _ => {}
        }
    }

    fn is_on_trial(&self, pod: &Option<Arc<PodSnapshot>>) -> bool {
        pod.as_ref().is_some_and(|pod| pod.build == self.build)
    }

    /// Adds the window to the summary and resets it.
    pub(super) fn close(
        &mut self,
        sidecar: &str,
        settings: &ExposureSettings,
        summary: &mut Summary,
    ) {
        let window = std::mem::take(self);
        let arrived: f64 = window.arrived.values().sum();
        let exposed: f64 = window.exposed.values().sum();
        if window.build == 0 || arrived + exposed <= 0.0 {
            return;
        }
        let key = (sidecar.to_string(), window.build);
        let row = row_or_others(&mut summary.exposure, key, ("others".to_string(), 0));
        row.exposed_requests += exposed as u64;
        row.arrived_requests += arrived as u64;
        row.windows += 1;
        for (class, exposed) in &window.exposed {
            let arrived = window.arrived.get(class).copied().unwrap_or(0.0);
            let allowance = settings.free_attempts + window.lowest_cap * arrived;
            row.max_allowance_used = row.max_allowance_used.max(exposed / allowance.max(1e-9));
        }
    }
}

/// Returns the stage in force at a source, unless its build is released.
fn trial_stage<R: Read + Seek>(reader: &Reader<R>, source: usize) -> Option<Stage> {
    let mut in_force = reader.stages_in_force.iter();
    let found = in_force.find(|known| known.source == source)?;
    Some(found.stage).filter(|stage| stage.phase != Phase::Released)
}
