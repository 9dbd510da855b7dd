//! The engine of one sidecar: it makes all decisions. Its caller passes in the time, and the engine queues its effects.
//!
//! The engine opens no socket and reads no clock, so that replaying a recorded run ([`Engine::replay`]) gives the same
//! decisions.

mod effect;
mod endpoints;
pub mod events;
mod host;
mod lookups;
mod release;
mod replay;
mod request;
mod requests;
mod settings;
mod timers;

pub use effect::Effect;
pub use lookups::{EngineStatus, TestSums};
pub use request::RequestAttributes;
pub use settings::EngineSettings;

use crate::pod_registry::PodRegistry;
use crate::route_slots::{Slot, SlotCounts, Slots};
use events::{Event, Observer};
use havenplank::interface::{Nanos, PriorAttempt, RouteClass, RouteClassId, RouterSettings, Stage};
use havenplank::Router;
use host::EngineHost;

/// The time at which an engine's clock starts, in nanoseconds. The engine computes start times of pods and stages by
/// subtracting their ages from the clock. On a clock that starts near 0 such a time would fall below 0, and the pod or
/// stage would count as started long ago.
pub const EPOCH: Nanos = 1 << 50;

/// Makes the decisions of one sidecar. Each method runs to its end without waiting and queues its effects for
/// [`Engine::next_effect`]. The `now` arguments never decrease from call to call.
pub struct Engine {
    router: Router,
    host: EngineHost,
    slots: Slots,
    stage: Option<Stage>,
    observer: Option<Box<dyn Observer>>,
    /// The attempts that other sidecars have sent for the next request to arrive.
    prior_attempts: Option<Vec<PriorAttempt>>,
}

impl Engine {
    /// Creates an engine whose clock shows `now`. The same seed and the same calls give the same decisions.
    pub fn new(now: Nanos, seed: u64, settings: &EngineSettings) -> Engine {
        let pods = PodRegistry::new(
            settings.zones.clone(),
            settings.machines.clone(),
            settings.reuse_pod_ids,
        );
        let route_classes = settings.route_classes.iter();
        let router = Router::new(
            now,
            seed,
            RouterSettings {
                position: settings.position.clone(),
                route_classes: route_classes.map(|(_, rules)| *rules).collect(),
                attempts: settings.attempts.clone(),
                pods: settings.pods.clone(),
                exposure: settings.exposure.clone(),
                votes: settings.votes.clone(),
                endpoint_list: settings.endpoint_list.clone(),
            },
        );
        Engine {
            router,
            host: EngineHost::new(now, pods),
            slots: Slots::new(settings.route_classes.iter().cloned()),
            stage: None,
            observer: None,
            prior_attempts: None,
        }
    }

    /// Adds an observer, which receives all later events and effects.
    pub fn with_observer(mut self, observer: Box<dyn Observer>) -> Engine {
        self.observer = Some(observer);
        self
    }

    /// Starts the engine, which queues the first requests to service discovery.
    pub fn start(&mut self, now: Nanos) {
        self.advance(now);
        self.observe(|| Event::Started);
        self.router.start(&mut self.host);
    }

    /// Removes the next effect to carry out from the queue and returns it.
    pub fn next_effect(&mut self) -> Option<Effect> {
        let effect = self.host.effects.pop_front()?;
        if let Some(observer) = &mut self.observer {
            observer.on_effect(self.host.now, &effect);
        }
        Some(effect)
    }

    /// Returns when the next timer is due.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.host.timers.next_due()
    }

    /// Runs every timer that is due.
    pub fn run_timers(&mut self, now: Nanos) {
        self.advance(now);
        while let Some(timer) = self.host.timers.pop_due(self.host.now) {
            self.run_timer(timer);
        }
    }

    /// Runs one timer, given by its id: in a replay, other calls may come between two timers that are due at once.
    fn run_timer(&mut self, timer: u64) {
        if let Some(on_due) = self.host.timers.take(timer) {
            self.observe(|| Event::TimerFired(timer));
            on_due(&mut self.router, &mut self.host, ());
        }
        self.host.timers.drop_taken();
    }

    /// Replaces all routes. Requests in flight end by the rules that they began with.
    ///
    /// Returns the slot of each route, in the same order. The index of a slot is given to another route only after
    /// every copy of the slot is dropped. A changed route keeps the learnt latencies and the exposure counts of its
    /// name, because its pods respond no differently than before the change.
    pub fn set_routes(&mut self, now: Nanos, routes: &[(String, RouteClass)]) -> Vec<Slot> {
        self.advance(now);
        let (slots, changes) = self.slots.replace(routes);
        let in_force: Vec<RouteClassId> = slots.iter().map(Slot::route_class).collect();
        self.router.set_route_classes(&changes, &in_force);
        slots
    }

    /// Returns the slots of the current routes, in the order of their indices.
    pub fn slots(&self) -> Vec<Slot> {
        self.slots.in_force()
    }

    /// Returns the numbers of slots, by state.
    pub fn slot_counts(&self) -> SlotCounts {
        self.slots.counts()
    }

    /// Returns the longest client timeout, in nanoseconds, of the current routes and of the routes of requests in
    /// flight.
    pub fn longest_client_timeout(&self) -> Nanos {
        self.slots.longest_client_timeout()
    }

    fn advance(&mut self, now: Nanos) {
        self.host.now = self.host.now.max(now);
    }

    /// Passes an event to the observer before the event has any effect. The event is built only if there is an
    /// observer.
    fn observe(&mut self, event: impl FnOnce() -> Event) {
        if let Some(observer) = &mut self.observer {
            observer.on_event(self.host.now, event());
        }
    }
}
