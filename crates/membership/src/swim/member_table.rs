//! The table of the other members, with indexes, so that no lookup in normal operation walks all rows.

use crate::member::Member;
use crate::Nanos;
use oorandom::Rand64;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::ops::Bound;

/// A member, alive or dead, and what only this sidecar knows of it.
pub(super) struct KnownMember {
    pub member: Member,
    /// Since when it has been alive, or not alive.
    pub status_since: Nanos,
    /// The names of the members that suspect it.
    pub suspected_by: BTreeSet<String>,
    /// When its current suspicion began; has no meaning while it is not suspected.
    pub suspected_at: Nanos,
}

/// The members that changed since the last
/// [`Membership::take_changed_members`](super::Membership::take_changed_members).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangedMembers {
    /// Any member may have changed.
    All,
    /// The members of these names changed.
    Names(BTreeSet<String>),
}

struct Row {
    known: KnownMember,
    /// The encoded size of the member in a message, in bytes.
    size: usize,
}

/// All other members by name.
pub(super) struct MemberTable {
    by_name: BTreeMap<String, Row>,
    /// The names of the living members, in no particular order, so that one can be drawn at random.
    alive: Vec<String>,
    /// The position of each name in `alive`.
    positions: HashMap<String, usize>,
    /// The addresses of the living members, and how many members have each.
    addresses: HashMap<SocketAddr, usize>,
    /// The names of the members that are dead or have left.
    dead: BTreeSet<String>,
    changes: ChangedMembers,
    /// Limit on the changed names that are kept; above it all members count as changed.
    max_changes: usize,
    rows_visited: Cell<u64>,
}

impl MemberTable {
    pub fn new(max_changes: usize) -> MemberTable {
        MemberTable {
            by_name: BTreeMap::new(),
            alive: Vec::new(),
            positions: HashMap::new(),
            addresses: HashMap::new(),
            dead: BTreeSet::new(),
            changes: ChangedMembers::All,
            max_changes,
            rows_visited: Cell::new(0),
        }
    }

    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn count_alive(&self) -> usize {
        self.alive.len()
    }

    pub fn get(&self, name: &str) -> Option<&KnownMember> {
        self.count_visits(1);
        self.by_name.get(name).map(|row| &row.known)
    }

    /// Returns a member and its encoded size in bytes.
    pub fn get_with_size(&self, name: &str) -> Option<(&Member, usize)> {
        self.count_visits(1);
        self.by_name
            .get(name)
            .map(|row| (&row.known.member, row.size))
    }

    /// Returns all living members, ordered by name.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        let rows = self.by_name.values().inspect(|_| self.count_visits(1));
        rows.map(|row| &row.known.member)
            .filter(|member| member.is_alive())
    }

    /// Returns the living members after a name, ordered by name, each with its encoded size in bytes.
    pub fn alive_after<'a>(&'a self, name: &str) -> impl Iterator<Item = (&'a Member, usize)> {
        let after_name = (Bound::Excluded(name), Bound::Unbounded);
        let rows = self.by_name.range::<str, _>(after_name);
        rows.inspect(|_| self.count_visits(1))
            .map(|(_, row)| (&row.known.member, row.size))
            .filter(|(member, _)| member.is_alive())
    }

    /// Returns the members that are dead or have left, ordered by name.
    pub fn dead(&self) -> impl Iterator<Item = &KnownMember> {
        self.dead.iter().filter_map(|name| self.get(name))
    }

    pub fn is_alive_at(&self, address: &SocketAddr) -> bool {
        self.addresses.contains_key(address)
    }

    /// Draws up to `count` different living members at random, leaving out `excluded`: the first steps of a shuffle, in
    /// which only the moved positions are stored.
    pub fn draw(&self, random: &mut Rand64, count: usize, excluded: Option<&str>) -> Vec<&Member> {
        let alive = self.alive.len();
        let mut moved: HashMap<usize, usize> = HashMap::new();
        let mut drawn = Vec::new();
        for position in 0..alive {
            if drawn.len() >= count {
                break;
            }
            let other = random.rand_range(position as u64..alive as u64) as usize;
            let chosen = moved.get(&other).copied().unwrap_or(other);
            let displaced = moved.get(&position).copied().unwrap_or(position);
            moved.insert(other, displaced);
            let name = &self.alive[chosen];
            if Some(name.as_str()) != excluded {
                drawn.extend(self.get(name).map(|known| &known.member));
            }
        }
        drawn
    }

    /// Returns the names of all living members, in no particular order.
    pub fn alive_names(&self) -> &[String] {
        self.count_visits(self.alive.len() as u64);
        &self.alive
    }

    pub fn insert(&mut self, known: KnownMember) {
        let name = known.member.id.name.clone();
        self.remove(&name);
        let row = Row {
            size: encoded_bytes(&known.member),
            known,
        };
        self.index(&name, &row.known.member);
        self.by_name.insert(name, row);
    }

    /// Changes the member of this name, if there is one.
    pub fn update(&mut self, name: &str, change: impl FnOnce(&mut KnownMember)) {
        let Some(mut row) = self.by_name.remove(name) else {
            return;
        };
        self.unindex(name, &row.known.member);
        change(&mut row.known);
        row.size = encoded_bytes(&row.known.member);
        self.index(name, &row.known.member);
        self.by_name.insert(name.to_string(), row);
    }

    /// Removes a member. Returns false if no member has that name.
    pub fn remove(&mut self, name: &str) -> bool {
        let Some(row) = self.by_name.remove(name) else {
            return false;
        };
        self.unindex(name, &row.known.member);
        true
    }

    /// Returns the members that changed since the last call.
    pub fn take_changed_members(&mut self) -> ChangedMembers {
        std::mem::replace(&mut self.changes, ChangedMembers::Names(BTreeSet::new()))
    }

    pub fn rows_visited(&self) -> u64 {
        self.rows_visited.get()
    }

    fn count_visits(&self, rows: u64) {
        self.rows_visited.set(self.rows_visited.get() + rows);
    }

    fn record_change(&mut self, name: &str) {
        self.count_visits(1);
        if let ChangedMembers::Names(names) = &mut self.changes {
            if names.len() < self.max_changes {
                names.insert(name.to_string());
            } else {
                self.changes = ChangedMembers::All;
            }
        }
    }

    fn index(&mut self, name: &str, member: &Member) {
        self.record_change(name);
        if !member.is_alive() {
            self.dead.insert(name.to_string());
            return;
        }
        self.positions.insert(name.to_string(), self.alive.len());
        self.alive.push(name.to_string());
        *self.addresses.entry(member.address).or_default() += 1;
    }

    fn unindex(&mut self, name: &str, member: &Member) {
        self.record_change(name);
        self.dead.remove(name);
        let Some(position) = self.positions.remove(name) else {
            return;
        };
        self.alive.swap_remove(position);
        if let Some(moved) = self.alive.get(position) {
            self.positions.insert(moved.clone(), position);
        }
        self.release_address(&member.address);
    }

    fn release_address(&mut self, address: &SocketAddr) {
        if let Some(count) = self.addresses.get_mut(address) {
            *count -= 1;
            if *count == 0 {
                self.addresses.remove(address);
            }
        }
    }
}

fn encoded_bytes(member: &Member) -> usize {
    postcard::to_stdvec(member).map_or(usize::MAX, |bytes| bytes.len())
}
