//! The indices that routes have in the decisions: which are in force, and which a request still holds.

use havenplank::interface::{Nanos, RouteClass, RouteClassId};
use havenplank::RouteClassChange;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// The index of one version of a route. As long as a copy of it lives, the index means that version and no other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot(Rc<RouteClassId>);

impl Slot {
    /// Returns the index.
    pub fn route_class(&self) -> RouteClassId {
        *self.0
    }
}

/// How many slots there are, for whoever checks that they stay bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotCounts {
    /// Given out at any time: no more than routes and requests that were held at once.
    pub all: usize,
    /// Those of the routes in force.
    pub in_force: usize,
    /// Replaced or removed, and held by a request or a route table.
    pub retired: usize,
}

/// What a replacement may use again.
struct FreeIndices {
    slots: Vec<RouteClassId>,
    /// Looked up with the first route that needs one.
    buckets: Option<Vec<usize>>,
}

/// One version of a route.
struct Row {
    name: String,
    rules: RouteClass,
    /// Where the decisions count its requests.
    bucket: usize,
    in_force: bool,
    slot: Slot,
}

impl Row {
    fn is_free(&self) -> bool {
        !self.in_force && Rc::strong_count(&self.slot.0) == 1
    }
}

/// All slots of one engine. A changed route gets a slot of its own; the one before it is given to another route only
/// when nothing holds it any more.
pub(crate) struct Slots {
    rows: Vec<Row>,
    /// The latest slot of each name; also of a route that was removed, until its slot is given to another.
    latest: HashMap<String, RouteClassId>,
    /// How many slots count their requests in a bucket; one that none uses is free.
    bucket_users: Vec<usize>,
}

impl Slots {
    /// Gives each of these routes a slot, in their order.
    pub fn new(routes: impl Iterator<Item = (String, RouteClass)>) -> Slots {
        let mut slots = Slots {
            rows: Vec::new(),
            latest: HashMap::new(),
            bucket_users: Vec::new(),
        };
        for (name, rules) in routes {
            let group = slots.rows.len();
            slots.latest.entry(name.clone()).or_insert(group);
            slots.bucket_users.push(1);
            slots.rows.push(Row {
                name,
                rules,
                bucket: group,
                in_force: true,
                slot: Slot(Rc::new(group)),
            });
        }
        slots
    }

    /// Returns the slot of a request that comes under this index, to be held until it has ended.
    pub fn hold(&self, group: RouteClassId) -> Option<Slot> {
        self.rows.get(group).map(|row| row.slot.clone())
    }

    /// Returns the slot in force of this name.
    pub fn find(&self, name: &str) -> Option<RouteClassId> {
        self.latest
            .get(name)
            .copied()
            .filter(|group| self.rows[*group].in_force)
    }

    /// Returns the slots in force, in the order of their indices.
    pub fn in_force(&self) -> Vec<Slot> {
        self.rows
            .iter()
            .filter(|row| row.in_force)
            .map(|row| row.slot.clone())
            .collect()
    }

    /// Returns the longest client time-out of all that are in force or held.
    pub fn longest_client_timeout(&self) -> Nanos {
        let used = self.rows.iter().filter(|row| !row.is_free());
        used.map(|row| row.rules.client_timeout).max().unwrap_or(0)
    }

    /// Returns how many slots there are.
    pub fn counts(&self) -> SlotCounts {
        let in_force = self.rows.iter().filter(|row| row.in_force).count();
        let free = self.rows.iter().filter(|row| row.is_free()).count();
        SlotCounts {
            all: self.rows.len(),
            in_force,
            retired: self.rows.len() - in_force - free,
        }
    }

    /// Puts these routes in force in place of all before. Returns the slot of each, in their order, and what has
    /// changed for the decisions. A route that stays as it was keeps its slot; names are expected once each.
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
            if let Some(group) = self.unchanged(route) {
                slots.push(self.rows[group].slot.clone());
                continue;
            }
            let change = self.add(route, &mut free);
            slots.push(self.rows[change.class].slot.clone());
            changes.push(change);
        }
        (slots, changes)
    }

    /// Takes all routes out of force that do not stay as they are.
    fn retire_all_but(&mut self, routes: &[(String, RouteClass)]) {
        let unchanged = routes.iter().filter_map(|route| self.unchanged(route));
        let unchanged: HashSet<RouteClassId> = unchanged.collect();
        for (group, row) in self.rows.iter_mut().enumerate() {
            row.in_force &= unchanged.contains(&group);
        }
    }

    /// Gives a new or changed route a slot.
    fn add(
        &mut self,
        (name, rules): &(String, RouteClass),
        free: &mut FreeIndices,
    ) -> RouteClassChange {
        let predecessor = self.latest.get(name).copied();
        let bucket = match predecessor {
            Some(known) => self.rows[known].bucket,
            None => self.free_bucket(&mut free.buckets),
        };
        self.bucket_users[bucket] += 1;
        let group = free.slots.pop().unwrap_or(self.rows.len());
        let row = Row {
            name: name.clone(),
            rules: *rules,
            bucket,
            in_force: true,
            slot: Slot(Rc::new(group)),
        };
        match self.rows.get_mut(group) {
            None => self.rows.push(row),
            Some(known) => {
                let before = std::mem::replace(known, row);
                self.forget(&before, group);
            }
        }
        self.latest.insert(name.clone(), group);
        RouteClassChange {
            class: group,
            rules: *rules,
            predecessor,
            bucket,
        }
    }

    /// Returns slots that nothing holds, but for those whose routes come back under their names: they are predecessors.
    fn free_slots(&self, names: &HashSet<&str>) -> Vec<RouteClassId> {
        let comes_back = |group: RouteClassId, name: &str| {
            names.contains(name) && self.latest.get(name) == Some(&group)
        };
        let free =
            |(group, row): &(RouteClassId, &Row)| row.is_free() && !comes_back(*group, &row.name);
        self.rows
            .iter()
            .enumerate()
            .filter(free)
            .map(|(group, _)| group)
            .collect()
    }

    /// Returns the slot in force of a route that stays as it is.
    fn unchanged(&self, (name, rules): &(String, RouteClass)) -> Option<RouteClassId> {
        self.find(name)
            .filter(|group| self.rows[*group].rules == *rules)
    }

    /// Returns a bucket that no slot uses. Those that were free at the start of a replacement are looked up once.
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

    /// Ends what a slot was before it was given to another route.
    fn forget(&mut self, before: &Row, group: RouteClassId) {
        self.bucket_users[before.bucket] -= 1;
        if self.latest.get(&before.name) == Some(&group) {
            self.latest.remove(&before.name);
        }
    }
}
