//! All pods of a day: which run, what each is like, and every change that a node list could tell.

use crate::book::Book;
use crate::notation::{Day, Offer, FIRST};
use crate::pod::{Faults, Machine, Marks, Pod, Served, Who};
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
const CELL: usize = 4;
/// Longest that a draining pod finishes its work.
const DRAINS: Duration = Duration::from_secs(3);

pub struct Fleet {
    book: Book,
    machine: Machine,
    machine_name: String,
    zones: Vec<String>,
    groups: Rc<Vec<Served>>,
    marks_all: Rc<Marks>,
    marks_by_zone: RefCell<HashMap<String, Rc<Marks>>>,
    marks_by_cell: RefCell<HashMap<i64, Rc<Marks>>>,
    pods: RefCell<Vec<Rc<Pod>>>,
    /// Every change, in order: as long as the day's script makes it.
    changes: RefCell<Vec<(Nanos, ListedEndpoint)>>,
    bad: RefCell<HashMap<Build, (Faults, Nanos, f64)>>,
    /// How much what all pods share slows them.
    shared: Rc<Cell<f64>>,
    next: Cell<u64>,
    chance: RefCell<Rand64>,
}

impl Fleet {
    pub fn new(
        day: &Day,
        groups: Vec<Served>,
        machine_name: &str,
        fall: (f64, Nanos),
        seed: u64,
        book: Book,
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
            book,
            machine,
            machine_name: machine_name.to_string(),
            zones: day.zones.clone(),
            groups: Rc::new(groups),
            marks_all: Rc::default(),
            marks_by_zone: RefCell::default(),
            marks_by_cell: RefCell::default(),
            pods: RefCell::default(),
            changes: RefCell::default(),
            bad: RefCell::default(),
            shared: Rc::new(Cell::new(1.0)),
            next: Cell::new(0),
            chance: RefCell::new(Rand64::new(seed as u128)),
        })
    }

    /// Says what is wrong with a build before its first pod starts.
    pub fn spoil(&self, build: Build, offer: &Offer, group: Option<usize>) {
        let faults = Faults {
            error_group: group,
            ..offer.faults.clone()
        };
        self.bad
            .borrow_mut()
            .insert(build, (faults, offer.late, offer.shared));
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
        let cell = (place / CELL) as i64;
        let who = Who {
            name: format!("pod-{number}"),
            life: number + 1,
            build,
            zone: zone.clone(),
            cell,
        };
        let mut machine = self.machine;
        if warm {
            machine.warm_up = 0;
        }
        let mut marks = [self.marks_all.clone(), Rc::default(), Rc::default()];
        marks[DedupScope::Zone as usize] = self
            .marks_by_zone
            .borrow_mut()
            .entry(zone)
            .or_default()
            .clone();
        marks[DedupScope::Cell as usize] = self
            .marks_by_cell
            .borrow_mut()
            .entry(cell)
            .or_default()
            .clone();
        let (faults, late, _) =
            self.bad
                .borrow()
                .get(&build)
                .cloned()
                .unwrap_or((Faults::default(), 0, 1.0));
        let at_once = if late == 0 {
            faults.clone()
        } else {
            Faults::default()
        };
        let seed = self.chance.borrow_mut().rand_u64();
        let (groups, shared, book) = (self.groups.clone(), self.shared.clone(), self.book.clone());
        let pod = Pod::start(who, machine, groups, marks, shared, at_once, seed, book).await?;
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
        let Who {
            name,
            life,
            build,
            zone,
            cell,
        } = pod.who.clone();
        let (address, machine) = (pod.address, self.machine_name.clone());
        let size = self.machine.cores as f64;
        let listed = ListedEndpoint {
            name,
            address,
            state,
            build,
            incarnation: life,
            age,
            zone,
            machine,
            cell,
            size,
        };
        self.changes.borrow_mut().push((self.book.now(), listed));
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
            let mut left = DRAINS;
            while left > Duration::ZERO
                && !pod.is_down()
                && (pod.busy.get() > 0 || left > DRAINS / 2)
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
        self.buried(pod);
    }

    fn buried(&self, pod: &Rc<Pod>) {
        let mut pods = self.pods.borrow_mut();
        if let Some(at) = pods.iter().position(|known| Rc::ptr_eq(known, pod)) {
            pods.remove(at);
            drop(pods);
            self.change(pod, PodState::Gone, pod.machine.warm_up == 0);
        }
    }

    /// A look at all pods: those that fell over are gone, and what a build does to all is felt.
    pub fn look(&self) {
        let fallen: Vec<Rc<Pod>> = self
            .pods
            .borrow()
            .iter()
            .filter(|pod| pod.is_down())
            .cloned()
            .collect();
        fallen.iter().for_each(|pod| self.buried(pod));
        let (mut all, mut felt) = (0.0, 0.0);
        for pod in self.pods.borrow().iter() {
            let forwards = pod.forwards.replace(0) as f64;
            let slows = self
                .bad
                .borrow()
                .get(&pod.who.build)
                .map_or(1.0, |(.., shared)| *shared);
            all += forwards;
            felt += forwards * (slows - 1.0);
        }
        self.shared
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

    pub fn of(&self, build: Build) -> Vec<Rc<Pod>> {
        self.running()
            .into_iter()
            .filter(|pod| pod.who.build == build)
            .collect()
    }

    /// So many of the pods that run, drawn by chance.
    pub fn some(&self, count: usize) -> Vec<Rc<Pod>> {
        let (mut all, mut drawn) = (self.running(), Vec::new());
        while drawn.len() < count && !all.is_empty() {
            let at = self.chance.borrow_mut().rand_range(0..all.len() as u64) as usize;
            drawn.push(all.swap_remove(at));
        }
        drawn
    }

    /// How many changes there were until a time.
    pub fn until(&self, at: Nanos) -> usize {
        self.changes
            .borrow()
            .partition_point(|(then, _)| *then <= at)
    }

    /// The changes of a range, each pod's age as of now.
    pub fn changes(&self, from: usize, to: usize) -> Vec<ListedEndpoint> {
        let now = self.book.now();
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
    pub fn whole(&self, to: usize) -> Vec<ListedEndpoint> {
        let mut last: Vec<ListedEndpoint> = Vec::new();
        let mut places: HashMap<String, usize> = HashMap::new();
        for listed in self.changes(0, to) {
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
    pub async fn begin(self: &Rc<Self>, count: usize) -> std::io::Result<()> {
        for _ in 0..count {
            self.start(FIRST, None, true).await?;
        }
        Ok(())
    }
}
