//! The engine of one sidecar: the decisions, with time handed in and effects left in a queue.
//!
//! It opens no socket and reads no clock, so that a recorded run can be played through it again
//! ([`Engine::replay`]) and gives the same decisions.

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

/// Where the clock of an engine begins, in ns: ages of pods and stages are taken off it, and on a clock that begins
/// lower what would lie before 0 counts as long ago.
pub const EPOCH: Nanos = 1 << 50;

/// One sidecar's decisions. Each method runs to its end and leaves effects for [`Engine::next_effect`]; `now`
/// never goes back.
pub struct Engine {
    router: Router,
    host: EngineHost,
    slots: Slots,
    stage: Option<Stage>,
    observer: Option<Box<dyn Observer>>,
    /// What other sidecars have sent for the request that arrives next.
    prior_attempts: Option<Vec<PriorAttempt>>,
}

impl Engine {
    /// Builds an engine whose clock stands at `now`; the same seed and calls give the same decisions.
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

    /// Lets an observer see all events and effects from here on.
    pub fn with_observer(mut self, observer: Box<dyn Observer>) -> Engine {
        self.observer = Some(observer);
        self
    }

    /// Starts the decisions; what they ask of service discovery comes then.
    pub fn start(&mut self, now: Nanos) {
        self.advance(now);
        self.observe(|| Event::Started);
        self.router.start(&mut self.host);
    }

    /// Takes the next effect to carry out.
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

    /// Runs one timer, named, as other calls may come between two that are due at once.
    fn run_timer(&mut self, timer: u64) {
        if let Some(on_due) = self.host.timers.take(timer) {
            self.observe(|| Event::TimerFired(timer));
            on_due(&mut self.router, &mut self.host, ());
        }
        self.host.timers.drop_taken();
    }

    /// Puts these routes in force in place of all before, between two requests: each ends by the rules it began with.
    ///
    /// Returns the slot of each route, in their order; its index goes to another route only once every copy of it is
    /// dropped. A changed route goes on with what was learnt of the one of its name, as its pods answer no other than
    /// before.
    pub fn set_routes(&mut self, now: Nanos, routes: &[(String, RouteClass)]) -> Vec<Slot> {
        self.advance(now);
        let (slots, changes) = self.slots.replace(routes);
        let in_force: Vec<RouteClassId> = slots.iter().map(Slot::route_class).collect();
        self.router.set_route_classes(&changes, &in_force);
        slots
    }

    /// Returns the slots in force, in the order of their indices.
    pub fn slots(&self) -> Vec<Slot> {
        self.slots.in_force()
    }

    /// Returns how many slots there are.
    pub fn slot_counts(&self) -> SlotCounts {
        self.slots.counts()
    }

    /// Returns the longest time that a client of any route in force, or of a request that is held, may wait.
    pub fn longest_client_timeout(&self) -> Nanos {
        self.slots.longest_time_out()
    }

    fn advance(&mut self, now: Nanos) {
        self.host.now = self.host.now.max(now);
    }

    /// Shows an event, before it has any effect. It is only made where somebody observes.
    fn observe(&mut self, event: impl FnOnce() -> Event) {
        if let Some(observer) = &mut self.observer {
            observer.on_event(self.host.now, event());
        }
    }
}
