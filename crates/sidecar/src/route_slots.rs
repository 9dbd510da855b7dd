//! Assigns the indices of routes in the engine, and tracks which indices are in force and which are still held by a
//! request or a route table.

use havenplank::interface::{Nanos, RouteClass, RouteClassId};
use havenplank::RouteClassChange;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// The index of one version of a route. Copies are counted: as long as one exists, the index is not given to another
/// version or route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot(Rc<RouteClassId>);

impl Slot {
    /// Returns the index.
    pub fn route_class(&self) -> RouteClassId {
        *self.0
    }
}

/// The numbers of slots, to check that they stay bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotCounts {
    /// All slots, the free ones included. Free slots are reused, so the number is bounded by the routes in force and
    /// the slots held at one time.
    pub all: usize,
    /// Slots of the routes in force.
    pub in_force: usize,
    /// Slots of replaced or removed routes that a request or a route table still holds.
    pub retired: usize,
}

/// The free indices that a replacement of routes may reuse.
struct FreeIndices {
    slots: Vec<RouteClassId>,
    /// Free buckets; `None` until the first route needs one.
    buckets: Option<Vec<usize>>,
}

/// The table row of a slot: the version of a route that has the slot.
struct Row {
    name: String,
    rules: RouteClass,
    /// The index of the sliding window in which the router counts the exposure of the route.
    bucket: usize,
    in_force: bool,
    slot: Slot,
}

impl Row {
    fn is_free(&self) -> bool {
        !self.in_force && Rc::strong_count(&self.slot.0) == 1
    }
}

/// All slots of one engine. A changed route gets a new slot. Its previous slot is given to another route only when
/// nothing holds it any more.
pub(crate) struct Slots {
    rows: Vec<Row>,
    /// The latest slot of each name. A removed route keeps its entry until its slot is given to another route.
    latest: HashMap<String, RouteClassId>,
    /// For each bucket, the number of slots that use it. A bucket with 0 users is free.
    bucket_users: Vec<usize>,
}

impl Slots {
    /// Gives each route a slot, in the given order.
    pub fn new(routes: impl Iterator<Item = (String, RouteClass)>) -> Slots {
        let mut slots = Slots {
            rows: Vec::new(),
            latest: HashMap::new(),
            bucket_users: Vec::new(),
        };
        for (name, rules) in routes {
            let index = slots.rows.len();
            slots.latest.entry(name.clone()).or_insert(index);
            slots.bucket_users.push(1);
            slots.rows.push(Row {
                name,
                rules,
                bucket: index,
                in_force: true,
                slot: Slot(Rc::new(index)),
            });
        }
        slots
    }

    /// Returns a copy of the slot with this index. A request holds it until the request has ended.
    pub fn hold(&self, index: RouteClassId) -> Option<Slot> {
        self.rows.get(index).map(|row| row.slot.clone())
    }

    /// Returns the index of the route in force with this name.
    pub fn find(&self, name: &str) -> Option<RouteClassId> {
        self.latest
            .get(name)
            .copied()
            .filter(|index| self.rows[*index].in_force)
    }

    /// Returns the slots of the routes in force, in the order of their indices.
    pub fn in_force(&self) -> Vec<Slot> {
        self.rows
            .iter()
            .filter(|row| row.in_force)
            .map(|row| row.slot.clone())
            .collect()
    }

    /// Returns the longest client timeout, in nanoseconds, of all routes that are in force or held.
    pub fn longest_client_timeout(&self) -> Nanos {
        let used = self.rows.iter().filter(|row| !row.is_free());
        used.map(|row| row.rules.client_timeout).max().unwrap_or(0)
    }

    /// Returns the numbers of slots.
    pub fn counts(&self) -> SlotCounts {
        let in_force = self.rows.iter().filter(|row| row.in_force).count();
        let free = self.rows.iter().filter(|row| row.is_free()).count();
        SlotCounts {
            all: self.rows.len(),
            in_force,
            retired: self.rows.len() - in_force - free,
        }
    }

    /// Replaces the routes in force by the given ones. Returns the slot of each route, in the given order, and the
    /// changes for the router. An unchanged route keeps its slot. Names must be unique.
    pub fn replace(
        &mut self,
        routes: &[(String, RouteClass)],
    ) -> (Vec<Slot>, Vec<RouteClassChange>) {
        let names: HashSet<&str> = routes.iter().map(|(name, _)| name.as_str()).collect();
        let mut free = FreeIndices {
            slots: self.free_slots(&names),
            buckets: None,
        };
        self.retire_all_but(routes);
        let (mut slots, mut changes) = (Vec::with_capacity(routes.len()), Vec::new());
        for route in routes {
            if let Some(index) = self.unchanged(route) {
                slots.push(self.rows[index].slot.clone());
                continue;
            }
            let change = self.add(route, &mut free);
            slots.push(self.rows[change.class].slot.clone());
            changes.push(change);
        }
        (slots, changes)
    }

    /// Marks each route as no longer in force, unless it is among the given routes with the same rules.
    fn retire_all_but(&mut self, routes: &[(String, RouteClass)]) {
        let unchanged = routes.iter().filter_map(|route| self.unchanged(route));
        let unchanged: HashSet<RouteClassId> = unchanged.collect();
        for (index, row) in self.rows.iter_mut().enumerate() {
            row.in_force &= unchanged.contains(&index);
        }
    }

    /// Gives a new or changed route a slot. A changed route keeps the bucket of its predecessor.
    fn add(
        &mut self,
        (name, rules): &(String, RouteClass),
        free: &mut FreeIndices,
    ) -> RouteClassChange {
        let predecessor = self.latest.get(name).copied();
        let bucket = match predecessor {
            Some(index) => self.rows[index].bucket,
            None => self.free_bucket(&mut free.buckets),
        };
        self.bucket_users[bucket] += 1;
        let index = free.slots.pop().unwrap_or(self.rows.len());
        let row = Row {
            name: name.clone(),
            rules: *rules,
            bucket,
            in_force: true,
            slot: Slot(Rc::new(index)),
        };
        match self.rows.get_mut(index) {
            None => self.rows.push(row),
            Some(previous) => {
                let previous = std::mem::replace(previous, row);
                self.remove_previous(&previous, index);
            }
        }
        self.latest.insert(name.clone(), index);
        RouteClassChange {
            class: index,
            rules: *rules,
            predecessor,
            bucket,
        }
    }

    /// Returns the free slots. Leaves out the latest slot of each name in `names`, because it is the predecessor of the
    /// route that gets the name now.
    fn free_slots(&self, names: &HashSet<&str>) -> Vec<RouteClassId> {
        let is_latest = |index: RouteClassId, name: &str| {
            names.contains(name) && self.latest.get(name) == Some(&index)
        };
        let free =
            |(index, row): &(RouteClassId, &Row)| row.is_free() && !is_latest(*index, &row.name);
        self.rows
            .iter()
            .enumerate()
            .filter(free)
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the index of a route that is in force with the same rules.
    fn unchanged(&self, (name, rules): &(String, RouteClass)) -> Option<RouteClassId> {
        self.find(name)
            .filter(|index| self.rows[*index].rules == *rules)
    }

    /// Returns a bucket that no slot uses. The free buckets are listed once in each replacement, since that scans all
    /// buckets.
    fn free_bucket(&mut self, free: &mut Option<Vec<usize>>) -> usize {
        let users = &self.bucket_users;
        let free = free.get_or_insert_with(|| {
            (0..users.len())
                .filter(|bucket| users[*bucket] == 0)
                .collect()
        });
        let unused = std::iter::from_fn(|| free.pop()).find(|bucket| users[*bucket] == 0);
        unused.unwrap_or_else(|| {
            self.bucket_users.push(0);
            self.bucket_users.len() - 1
        })
    }

    /// Removes what was recorded for the previous route of a slot that was given to another route.
    fn remove_previous(&mut self, previous: &Row, index: RouteClassId) {
        self.bucket_users[previous.bucket] -= 1;
        if self.latest.get(&previous.name) == Some(&index) {
            self.latest.remove(&previous.name);
        }
    }
}
