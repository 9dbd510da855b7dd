//! The table of peers, with indexes beside it, so that no question on the steady path walks all of it.

use crate::member::Member;
use crate::Nanos;
use oorandom::Rand64;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::ops::Bound;

/// One peer, living or gone.
pub(crate) struct KnownMember {
    pub member: Member,
    /// Since when it lives, or is gone.
    pub since: Nanos,
    /// Who suspects it, and since when.
    pub doubted: BTreeSet<String>,
    pub doubted_at: Nanos,
}

/// Which peers changed since the last look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// Any of them may have.
    All,
    Names(BTreeSet<String>),
}

struct Row {
    peer: KnownMember,
    /// What its news take in a message, in bytes.
    size: usize,
}

pub(crate) struct MemberTable {
    by_name: BTreeMap<String, Row>,
    /// Names of those that live, in no order, so that one can be drawn by chance; and where each stands there.
    living: Vec<String>,
    positions: HashMap<String, usize>,
    /// Addresses of those that live, and how many live at each.
    addresses: HashMap<SocketAddr, usize>,
    /// Names of those that do not live.
    gone: BTreeSet<String>,
    changes: Changes,
    /// Changed names that are kept apart, at most; beyond it all count as changed.
    most_changes: usize,
    rows_visited: Cell<u64>,
}

impl MemberTable {
    pub fn new(most_changes: usize) -> MemberTable {
        MemberTable {
            by_name: BTreeMap::new(),
            living: Vec::new(),
            positions: HashMap::new(),
            addresses: HashMap::new(),
            gone: BTreeSet::new(),
            changes: Changes::All,
            most_changes,
            rows_visited: Cell::new(0),
        }
    }

    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn count_living(&self) -> usize {
        self.living.len()
    }

    pub fn get(&self, name: &str) -> Option<&KnownMember> {
        self.visit(1);
        self.by_name.get(name).map(|row| &row.peer)
    }

    /// A peer's news and what they take in a message.
    pub fn news_with_size(&self, name: &str) -> Option<(&Member, usize)> {
        self.visit(1);
        self.by_name
            .get(name)
            .map(|row| (&row.peer.member, row.size))
    }

    /// All that live, by name.
    pub fn living(&self) -> impl Iterator<Item = &Member> {
        let rows = self.by_name.values().inspect(|_| self.visit(1));
        rows.map(|row| &row.peer.member)
            .filter(|member| member.is_alive())
    }

    /// Those that live behind a name, by name.
    pub fn living_after<'a>(&'a self, name: &str) -> impl Iterator<Item = (&'a Member, usize)> {
        let rows = self
            .by_name
            .range::<str, _>((Bound::Excluded(name), Bound::Unbounded));
        let rows = rows
            .inspect(|_| self.visit(1))
            .map(|(_, row)| (&row.peer.member, row.size));
        rows.filter(|(member, _)| member.is_alive())
    }

    /// Those that do not live, by name.
    pub fn gone(&self) -> impl Iterator<Item = &KnownMember> {
        self.gone.iter().filter_map(|name| self.get(name))
    }

    pub fn lives_at(&self, address: &SocketAddr) -> bool {
        self.addresses.contains_key(address)
    }

    /// So many of those that live, drawn by chance without one, each once: the first draws of a shuffle.
    pub fn draw(&self, chance: &mut Rand64, many: usize, without: Option<&str>) -> Vec<&Member> {
        let count = self.living.len();
        let mut moved: HashMap<usize, usize> = HashMap::new();
        let mut drawn = Vec::new();
        for position in 0..count {
            if drawn.len() >= many {
                break;
            }
            let other = chance.rand_range(position as u64..count as u64) as usize;
            let chosen = moved.get(&other).copied().unwrap_or(other);
            let displaced = moved.get(&position).copied().unwrap_or(position);
            moved.insert(other, displaced);
            let name = &self.living[chosen];
            if Some(name.as_str()) != without {
                drawn.extend(self.get(name).map(|peer| &peer.member));
            }
        }
        drawn
    }

    /// Names of all that live, in no order.
    pub fn living_names(&self) -> &[String] {
        self.visit(self.living.len() as u64);
        &self.living
    }

    pub fn insert(&mut self, peer: KnownMember) {
        let name = peer.member.id.name.clone();
        self.remove(&name);
        let row = Row {
            size: encoded_size(&peer.member),
            peer,
        };
        self.index(&name, &row.peer.member);
        self.by_name.insert(name, row);
    }

    /// Changes a peer; nothing happens where none has that name.
    pub fn update(&mut self, name: &str, change: impl FnOnce(&mut KnownMember)) {
        let Some(mut row) = self.by_name.remove(name) else {
            return;
        };
        self.unindex(name, &row.peer.member);
        change(&mut row.peer);
        row.size = encoded_size(&row.peer.member);
        self.index(name, &row.peer.member);
        self.by_name.insert(name.to_string(), row);
    }

    pub fn remove(&mut self, name: &str) -> bool {
        let Some(row) = self.by_name.remove(name) else {
            return false;
        };
        self.unindex(name, &row.peer.member);
        true
    }

    /// The names that changed since this was last asked.
    pub fn take_changes(&mut self) -> Changes {
        std::mem::replace(&mut self.changes, Changes::Names(BTreeSet::new()))
    }

    pub fn rows_visited(&self) -> u64 {
        self.rows_visited.get()
    }

    fn visit(&self, rows: u64) {
        self.rows_visited.set(self.rows_visited.get() + rows);
    }

    fn note_change(&mut self, name: &str) {
        self.visit(1);
        if let Changes::Names(names) = &mut self.changes {
            if names.len() < self.most_changes {
                names.insert(name.to_string());
            } else {
                self.changes = Changes::All;
            }
        }
    }

    fn index(&mut self, name: &str, member: &Member) {
        self.note_change(name);
        if !member.is_alive() {
            self.gone.insert(name.to_string());
            return;
        }
        self.positions.insert(name.to_string(), self.living.len());
        self.living.push(name.to_string());
        *self.addresses.entry(member.address).or_default() += 1;
    }

    fn unindex(&mut self, name: &str, member: &Member) {
        self.note_change(name);
        self.gone.remove(name);
        let Some(position) = self.positions.remove(name) else {
            return;
        };
        self.living.swap_remove(position);
        if let Some(moved) = self.living.get(position) {
            self.positions.insert(moved.clone(), position);
        }
        if let Some(count) = self.addresses.get_mut(&member.address) {
            *count -= 1;
            if *count == 0 {
                self.addresses.remove(&member.address);
            }
        }
    }
}

fn encoded_size(member: &Member) -> usize {
    postcard::to_stdvec(member).map_or(usize::MAX, |bytes| bytes.len())
}
