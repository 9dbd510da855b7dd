//! All pods of a day: which run, what each is like, and every change that a node list could tell.

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

/// Pods of a cell, which drop each other's repeats.
const PODS_PER_CELL: usize = 4;
/// Longest that a draining pod finishes its work.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);

pub struct Fleet {
    ledger: LedgerWriter,
    machine: Machine,
    machine_name: String,
    zones: Vec<String>,
    classes: Rc<Vec<ServedClass>>,
    keys_all: Rc<SeenKeys>,
    keys_by_zone: RefCell<HashMap<String, Rc<SeenKeys>>>,
    keys_by_cell: RefCell<HashMap<i64, Rc<SeenKeys>>>,
    pods: RefCell<Vec<Rc<Pod>>>,
    /// Every change, in order: as long as the day's script makes it.
    changes: RefCell<Vec<(Nanos, ListedEndpoint)>>,
    build_faults: RefCell<HashMap<Build, (Faults, Nanos, f64)>>,
    /// How much what all pods share slows them.
    shared_slowdown: Rc<Cell<f64>>,
    next: Cell<u64>,
    random: RefCell<Rand64>,
}

impl Fleet {
    pub fn new(
        day: &Scenario,
        classes: Vec<ServedClass>,
        machine_name: &str,
        fall: (f64, Nanos),
        seed: u64,
        ledger: LedgerWriter,
    ) -> Rc<Fleet> {
        let machine = Machine {
            cores: day.cores,
            speed: day.speed,
            queue: day.queue,
            initial_capacity: day.initial_capacity,
            warm_up: day.warm_up,
            overload_multiple: fall.0,
            overload_window: fall.1,
        };
        Rc::new(Fleet {
            ledger,
            machine,
            machine_name: machine_name.to_string(),
            zones: day.zones.clone(),
            classes: Rc::new(classes),
            keys_all: Rc::default(),
            keys_by_zone: RefCell::default(),
            keys_by_cell: RefCell::default(),
            pods: RefCell::default(),
            changes: RefCell::default(),
            build_faults: RefCell::default(),
            shared_slowdown: Rc::new(Cell::new(1.0)),
            next: Cell::new(0),
            random: RefCell::new(Rand64::new(seed as u128)),
        })
    }

    /// Says what is wrong with a build before its first pod starts.
    pub fn set_build_faults(&self, build: Build, offer: &Offer, group: Option<usize>) {
        let faults = Faults {
            error_group: group,
            ..offer.faults.clone()
        };
        self.build_faults
            .borrow_mut()
            .insert(build, (faults, offer.fault_delay, offer.shared_slowdown));
    }

    /// Starts a pod of a build; `warm` for one that has run since long ago.
    ///
    /// # Errors
    /// No address to be had.
    pub async fn start(
        self: &Rc<Self>,
        build: Build,
        zone: Option<&str>,
        warm: bool,
    ) -> std::io::Result<Rc<Pod>> {
        let number = self.next.replace(self.next.get() + 1);
        let place = number as usize;
        let zone = zone
            .unwrap_or(&self.zones[place % self.zones.len()])
            .to_string();
        let cell = (place / PODS_PER_CELL) as i64;
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
        let (faults, late, _) =
            self.build_faults
                .borrow()
                .get(&build)
                .cloned()
                .unwrap_or((Faults::default(), 0, 1.0));
        let at_once = if late == 0 {
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
            identity, machine, classes, seen_keys, shared, at_once, seed, ledger,
        )
        .await?;
        if late > 0 {
            let pod = pod.clone();
            spawn_local(async move {
                sleep(Duration::from_nanos(late)).await;
                *pod.build_faults.borrow_mut() = faults;
            });
        }
        self.pods.borrow_mut().push(pod.clone());
        self.change(&pod, PodState::Running, warm);
        Ok(pod)
    }

    fn change(&self, pod: &Pod, state: PodState, warm: bool) {
        let age = if warm { 0 } else { pod.up_at.max(1) };
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

    /// Turns new work away from now on, finishes what there is, and goes.
    pub fn drain(self: &Rc<Self>, pod: &Rc<Pod>) {
        if pod.draining.replace(true) || pod.is_down() {
            return;
        }
        let warm = pod.machine.warm_up == 0;
        self.change(pod, PodState::Draining, warm);
        let (fleet, pod) = (self.clone(), pod.clone());
        spawn_local(async move {
            let mut left = MAX_DRAIN_TIME;
            while left > Duration::ZERO
                && !pod.is_down()
                && (pod.busy.get() > 0 || left > MAX_DRAIN_TIME / 2)
            {
                sleep(Duration::from_millis(50)).await;
                left = left.saturating_sub(Duration::from_millis(50));
            }
            fleet.kill(&pod);
        });
    }

    /// Ends a pod at once.
    pub fn kill(&self, pod: &Rc<Pod>) {
        pod.kill();
        self.remove_dead(pod);
    }

    fn remove_dead(&self, pod: &Rc<Pod>) {
        let mut pods = self.pods.borrow_mut();
        if let Some(at) = pods.iter().position(|known| Rc::ptr_eq(known, pod)) {
            pods.remove(at);
            drop(pods);
            self.change(pod, PodState::Gone, pod.machine.warm_up == 0);
        }
    }

    /// A look at all pods: those that fell over are gone, and what a build does to all is felt.
    pub fn update(&self) {
        let fallen: Vec<Rc<Pod>> = self
            .pods
            .borrow()
            .iter()
            .filter(|pod| pod.is_down())
            .cloned()
            .collect();
        fallen.iter().for_each(|pod| self.remove_dead(pod));
        let (mut all, mut felt) = (0.0, 0.0);
        for pod in self.pods.borrow().iter() {
            let attempts = pod.attempts.replace(0) as f64;
            let slows = self
                .build_faults
                .borrow()
                .get(&pod.identity.build)
                .map_or(1.0, |(.., shared)| *shared);
            all += attempts;
            felt += attempts * (slows - 1.0);
        }
        self.shared_slowdown
            .set(1.0 + if all > 0.0 { felt / all } else { 0.0 });
    }

    pub fn running(&self) -> Vec<Rc<Pod>> {
        self.pods
            .borrow()
            .iter()
            .filter(|pod| !pod.draining.get() && !pod.is_down())
            .cloned()
            .collect()
    }

    pub fn running_of_build(&self, build: Build) -> Vec<Rc<Pod>> {
        self.running()
            .into_iter()
            .filter(|pod| pod.identity.build == build)
            .collect()
    }

    /// So many of the pods that run, drawn by random.
    pub fn draw_pods(&self, count: usize) -> Vec<Rc<Pod>> {
        let (mut all, mut drawn) = (self.running(), Vec::new());
        while drawn.len() < count && !all.is_empty() {
            let at = self.random.borrow_mut().rand_range(0..all.len() as u64) as usize;
            drawn.push(all.swap_remove(at));
        }
        drawn
    }

    /// How many changes there were until a time.
    pub fn change_count_at(&self, at: Nanos) -> usize {
        self.changes
            .borrow()
            .partition_point(|(then, _)| *then <= at)
    }

    /// The changes of a range, each pod's age as of now.
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

    /// The list as it stood after so many changes, without what is gone.
    pub fn complete_list(&self, to: usize) -> Vec<ListedEndpoint> {
        let mut last: Vec<ListedEndpoint> = Vec::new();
        let mut places: HashMap<String, usize> = HashMap::new();
        for listed in self.changes_between(0, to) {
            match places.get(&listed.name) {
                Some(at) => last[*at] = listed,
                None => {
                    places.insert(listed.name.clone(), last.len());
                    last.push(listed);
                }
            }
        }
        last.retain(|listed| listed.state != PodState::Gone);
        last
    }

    /// The pods that run at the start, warm.
    ///
    /// # Errors
    /// No address to be had.
    pub async fn start_initial_pods(self: &Rc<Self>, count: usize) -> std::io::Result<()> {
        for _ in 0..count {
            self.start(FIRST_BUILD, None, true).await?;
        }
        Ok(())
    }
}
