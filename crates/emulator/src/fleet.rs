//! All pods of a scenario: which run, with which faults, and every change that an endpoint list announces.

use crate::ledger_writer::LedgerWriter;
use crate::pod::{Faults, Machine, Pod, PodIdentity, SeenKeys, ServedClass};
use crate::scenario_file::{Offer, Scenario, FIRST_BUILD};
use havenplank::interface::{Build, DedupScope, Nanos, PodState};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use oorandom::Rand64;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Number of pods in a cell; with the narrowest scope of deduplication, pods of one cell drop each other's repeats.
const PODS_PER_CELL: usize = 4;
/// Longest time for which a draining pod finishes its work.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);

/// The pods of a scenario.
pub struct Fleet {
    ledger: LedgerWriter,
    machine: Machine,
    machine_name: String,
    zones: Vec<String>,
    classes: Rc<Vec<ServedClass>>,
    /// Idempotency keys for classes whose repeats are dropped by all pods.
    keys_all: Rc<SeenKeys>,
    /// Idempotency keys for classes whose repeats are dropped within a zone.
    keys_by_zone: RefCell<HashMap<String, Rc<SeenKeys>>>,
    /// Idempotency keys for classes whose repeats are dropped within a cell.
    keys_by_cell: RefCell<HashMap<i64, Rc<SeenKeys>>>,
    pods: RefCell<Vec<Rc<Pod>>>,
    /// Every change of a pod's state with its time, in order; bounded by the scenario's builds and faults.
    /// Here `age` holds the time of the pod's start, or 0 for a warm pod.
    changes: RefCell<Vec<(Nanos, ListedEndpoint)>>,
    /// By build: its faults, how long after the start of a pod they begin, and the factor by which the build would slow
    /// all pods if it received all traffic.
    build_faults: RefCell<HashMap<Build, (Faults, Nanos, f64)>>,
    /// Factor by which a resource that all pods share slows them.
    shared_slowdown: Rc<Cell<f64>>,
    next_number: Cell<u64>,
    random: RefCell<Rand64>,
}

impl Fleet {
    /// A fleet without pods. `overload` is the overload multiple and the overload window.
    pub fn new(
        scenario: &Scenario,
        classes: Vec<ServedClass>,
        machine_name: &str,
        overload: (f64, Nanos),
        seed: u64,
        ledger: LedgerWriter,
    ) -> Rc<Fleet> {
        let machine = Machine {
            cores: scenario.cores,
            speed: scenario.speed,
            queue: scenario.queue,
            initial_capacity: scenario.initial_capacity,
            warm_up: scenario.warm_up,
            overload_multiple: overload.0,
            overload_window: overload.1,
        };
        Rc::new(Fleet {
            ledger,
            machine,
            machine_name: machine_name.to_string(),
            zones: scenario.zones.clone(),
            classes: Rc::new(classes),
            keys_all: Rc::default(),
            keys_by_zone: RefCell::default(),
            keys_by_cell: RefCell::default(),
            pods: RefCell::default(),
            changes: RefCell::default(),
            build_faults: RefCell::default(),
            shared_slowdown: Rc::new(Cell::new(1.0)),
            next_number: Cell::new(0),
            random: RefCell::new(Rand64::new(seed as u128)),
        })
    }

    /// Sets the faults of a build, before its first pod starts. `class` is the only route class with errors, if set.
    pub fn set_build_faults(&self, build: Build, offer: &Offer, class: Option<usize>) {
        let faults = Faults {
            error_group: class,
            ..offer.faults.clone()
        };
        self.build_faults
            .borrow_mut()
            .insert(build, (faults, offer.fault_delay, offer.shared_slowdown));
    }

    /// Starts a pod of a build. A `warm` pod has no slow start, as if it had been running for a long time.
    ///
    /// # Errors
    /// No socket can be bound.
    pub async fn start(
        self: &Rc<Self>,
        build: Build,
        zone: Option<&str>,
        warm: bool,
    ) -> std::io::Result<Rc<Pod>> {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let index = number as usize;
        let zone = zone
            .unwrap_or(&self.zones[index % self.zones.len()])
            .to_string();
        let cell = (index / PODS_PER_CELL) as i64;
        let identity = PodIdentity {
            name: format!("pod-{number}"),
            incarnation: number + 1,
            build,
            zone: zone.clone(),
            cell,
        };
        let mut machine = self.machine;
        if warm {
            machine.warm_up = 0;
        }
        let mut seen_keys = [self.keys_all.clone(), Rc::default(), Rc::default()];
        seen_keys[DedupScope::Zone as usize] = self
            .keys_by_zone
            .borrow_mut()
            .entry(zone)
            .or_default()
            .clone();
        seen_keys[DedupScope::Cell as usize] = self
            .keys_by_cell
            .borrow_mut()
            .entry(cell)
            .or_default()
            .clone();
        let (faults, fault_delay, _) =
            self.build_faults
                .borrow()
                .get(&build)
                .cloned()
                .unwrap_or((Faults::default(), 0, 1.0));
        let initial_faults = if fault_delay == 0 {
            faults.clone()
        } else {
            Faults::default()
        };
        let seed = self.random.borrow_mut().rand_u64();
        let (classes, shared, ledger) = (
            self.classes.clone(),
            self.shared_slowdown.clone(),
            self.ledger.clone(),
        );
        let pod = Pod::start(
            identity,
            machine,
            classes,
            seen_keys,
            shared,
            initial_faults,
            seed,
            ledger,
        )
        .await?;
        if fault_delay > 0 {
            let pod = pod.clone();
            spawn_local(async move {
                sleep(Duration::from_nanos(fault_delay)).await;
                *pod.build_faults.borrow_mut() = faults;
            });
        }
        self.pods.borrow_mut().push(pod.clone());
        self.record_change(&pod, PodState::Running, warm);
        Ok(pod)
    }

    /// Appends a change of a pod's state.
    fn record_change(&self, pod: &Pod, state: PodState, warm: bool) {
        let age = if warm { 0 } else { pod.started_at.max(1) };
        let PodIdentity {
            name,
            incarnation,
            build,
            zone,
            cell,
        } = pod.identity.clone();
        let (address, machine) = (pod.address, self.machine_name.clone());
        let size = self.machine.cores as f64;
        let listed = ListedEndpoint {
            name,
            address,
            state,
            build,
            incarnation,
            age,
            zone,
            machine,
            cell,
            size,
        };
        self.changes.borrow_mut().push((self.ledger.now(), listed));
    }

    /// Lets a pod reject new requests, finish those in flight, and end.
    pub fn drain(self: &Rc<Self>, pod: &Rc<Pod>) {
        if pod.draining.replace(true) || pod.is_down() {
            return;
        }
        let warm = pod.machine.warm_up == 0;
        self.record_change(pod, PodState::Draining, warm);
        let (fleet, pod) = (self.clone(), pod.clone());
        spawn_local(async move {
            let mut remaining = MAX_DRAIN_TIME;
            while remaining > Duration::ZERO
                && !pod.is_down()
                && (pod.running.get() > 0 || remaining > MAX_DRAIN_TIME / 2)
            {
                sleep(Duration::from_millis(50)).await;
                remaining = remaining.saturating_sub(Duration::from_millis(50));
            }
            fleet.kill(&pod);
        });
    }

    /// Ends a pod at once.
    pub fn kill(&self, pod: &Rc<Pod>) {
        pod.kill();
        self.remove_dead(pod);
    }

    /// Removes a pod that ended, and records it as gone.
    fn remove_dead(&self, pod: &Rc<Pod>) {
        let mut pods = self.pods.borrow_mut();
        if let Some(at) = pods.iter().position(|known| Rc::ptr_eq(known, pod)) {
            pods.remove(at);
            drop(pods);
            self.record_change(pod, PodState::Gone, pod.machine.warm_up == 0);
        }
    }

    /// Removes the pods that failed, and updates the shared slowdown by each build's share of the attempts.
    pub fn update(&self) {
        let failed: Vec<Rc<Pod>> = self
            .pods
            .borrow()
            .iter()
            .filter(|pod| pod.is_down())
            .cloned()
            .collect();
        failed.iter().for_each(|pod| self.remove_dead(pod));
        let (mut all, mut added) = (0.0, 0.0);
        for pod in self.pods.borrow().iter() {
            let attempts = pod.attempts.replace(0) as f64;
            let slowdown = self
                .build_faults
                .borrow()
                .get(&pod.identity.build)
                .map_or(1.0, |(.., slowdown)| *slowdown);
            all += attempts;
            added += attempts * (slowdown - 1.0);
        }
        self.shared_slowdown
            .set(1.0 + if all > 0.0 { added / all } else { 0.0 });
    }

    /// The pods that accept requests.
    pub fn running(&self) -> Vec<Rc<Pod>> {
        self.pods
            .borrow()
            .iter()
            .filter(|pod| !pod.draining.get() && !pod.is_down())
            .cloned()
            .collect()
    }

    /// The pods of a build that accept requests.
    pub fn running_of_build(&self, build: Build) -> Vec<Rc<Pod>> {
        self.running()
            .into_iter()
            .filter(|pod| pod.identity.build == build)
            .collect()
    }

    /// Draws `count` of the running pods at random.
    pub fn draw_pods(&self, count: usize) -> Vec<Rc<Pod>> {
        let (mut all, mut drawn) = (self.running(), Vec::new());
        while drawn.len() < count && !all.is_empty() {
            let at = self.random.borrow_mut().rand_range(0..all.len() as u64) as usize;
            drawn.push(all.swap_remove(at));
        }
        drawn
    }

    /// Number of changes up to a time.
    pub fn change_count_at(&self, at: Nanos) -> usize {
        self.changes
            .borrow()
            .partition_point(|(then, _)| *then <= at)
    }

    /// The changes in a range of indices, with each pod's age as of now.
    pub fn changes_between(&self, from: usize, to: usize) -> Vec<ListedEndpoint> {
        let now = self.ledger.now();
        let aged = |(_, listed): &(Nanos, ListedEndpoint)| {
            let age = if listed.age == 0 {
                0
            } else {
                now.saturating_sub(listed.age).max(1)
            };
            ListedEndpoint {
                age,
                ..listed.clone()
            }
        };
        self.changes.borrow()[from..to].iter().map(aged).collect()
    }

    /// The complete list after the first `to` changes, without pods that are gone.
    pub fn complete_list(&self, to: usize) -> Vec<ListedEndpoint> {
        let mut listed_pods: Vec<ListedEndpoint> = Vec::new();
        let mut positions: HashMap<String, usize> = HashMap::new();
        for listed in self.changes_between(0, to) {
            match positions.get(&listed.name) {
                Some(at) => listed_pods[*at] = listed,
                None => {
                    positions.insert(listed.name.clone(), listed_pods.len());
                    listed_pods.push(listed);
                }
            }
        }
        listed_pods.retain(|listed| listed.state != PodState::Gone);
        listed_pods
    }

    /// Starts the pods that run when the scenario begins, warm.
    ///
    /// # Errors
    /// No socket can be bound.
    pub async fn start_initial_pods(self: &Rc<Self>, count: usize) -> std::io::Result<()> {
        for _ in 0..count {
            self.start(FIRST_BUILD, None, true).await?;
        }
        Ok(())
    }
}
