//! Who belongs, with what is known of each: rows by name, and beside them the few of whom there is something to see, so
//! that no look each period walks all rows. Digests are kept until a row changes.

use crate::member::MemberId;
use crate::quorum::View;
use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// One who belongs, or did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterRecord {
    pub id: MemberId,
    /// Raised by itself alone, to come back after it was voted out.
    pub entry: u32,
    pub belongs: bool,
}

impl VoterRecord {
    /// A later life or entry is newer; of the same one, going is.
    pub(crate) fn newer(&self, known: &VoterRecord) -> bool {
        (self.id.incarnation, self.entry, !self.belongs)
            > (known.id.incarnation, known.entry, !known.belongs)
    }
}

/// A peer's view that was not ours when it was heard.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Difference {
    /// When the first view that differed was heard.
    pub since: Nanos,
    /// Whether a later view, heard `Rules::settles` or more after the first, differed still.
    pub confirmed: bool,
}

/// What a view says of the sender's tables, in short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Digests {
    pub voters: u64,
    pub living: u64,
}

impl From<&View> for Digests {
    fn from(view: &View) -> Digests {
        Digests {
            voters: view.voters,
            living: view.living,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Voter {
    pub row: VoterRecord,
    pub lives: bool,
    /// Since when it lives, or is missed.
    pub since: Nanos,
    pub flaps: u32,
    /// Whether it says that it does not reach us, and when.
    pub misses_us: Option<Nanos>,
    /// Whether its view differs, and what it was when we last heard it: digests and `NAMED` names.
    pub differs: Option<Difference>,
    pub said: Option<(Nanos, View)>,
    /// What we told it last.
    pub told: Option<Digests>,
    /// Who would have it go, and when they last said so; a word leaves after `Rules::word`, and all once it lives.
    pub out: BTreeMap<String, Nanos>,
}

impl Voter {
    pub fn new(now: Nanos, row: VoterRecord) -> Voter {
        Voter {
            row,
            lives: false,
            since: now,
            flaps: 0,
            misses_us: None,
            differs: None,
            said: None,
            told: None,
            out: BTreeMap::new(),
        }
    }

    /// Whether time alone may change what it counts for, or it is not as it should be.
    fn is_notable(&self) -> bool {
        let as_it_should_be = self.lives && self.row.belongs && self.flaps == 0;
        !as_it_should_be
            || self.misses_us.is_some()
            || self.differs.is_some()
            || !self.out.is_empty()
    }
}

#[derive(Default)]
pub(crate) struct VoterTable {
    members: BTreeMap<String, Voter>,
    /// Names of members that are notable.
    notable: BTreeSet<String>,
    /// When each member's view was heard, and its name.
    views: BTreeSet<(Nanos, String)>,
    belonging: usize,
    /// Those who belong and live by membership.
    living: usize,
    roster_digest: Cell<Option<u64>>,
    living_digest: Cell<Option<u64>>,
    rows_visited: Cell<u64>,
}

impl VoterTable {
    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn count_belonging(&self) -> usize {
        self.belonging
    }

    /// Those who belong and live by membership.
    pub fn count_living(&self) -> usize {
        self.living
    }

    pub fn get(&self, name: &str) -> Option<&Voter> {
        self.visit(1);
        self.members.get(name)
    }

    /// All names.
    pub fn names(&self) -> Vec<String> {
        self.visit(self.members.len() as u64);
        self.members.keys().cloned().collect()
    }

    pub fn notable_names(&self) -> Vec<String> {
        self.notable.iter().cloned().collect()
    }

    /// Members that are notable, by name.
    pub fn notable(&self) -> impl Iterator<Item = &Voter> {
        self.notable.iter().filter_map(|name| self.get(name))
    }

    /// Members behind a name, by name.
    pub fn behind(&self, name: &str) -> impl Iterator<Item = &Voter> {
        let members = self
            .members
            .range::<str, _>((Bound::Excluded(name), Bound::Unbounded));
        members.map(|(_, member)| member).inspect(|_| self.visit(1))
    }

    /// The view that was heard longest ago: when, and whose.
    pub fn oldest_view(&self) -> Option<(Nanos, String)> {
        self.views.first().cloned()
    }

    pub fn insert(&mut self, member: Voter) {
        let name = member.row.id.name.clone();
        self.remove(&name);
        self.count_in(&name, &member);
        self.forget_digests(true);
        self.members.insert(name, member);
    }

    pub fn remove(&mut self, name: &str) {
        if let Some(member) = self.members.remove(name) {
            self.count_out(name, &member);
            self.forget_digests(true);
        }
    }

    /// Changes a member; nothing happens where none has that name.
    pub fn update(&mut self, name: &str, change: impl FnOnce(&mut Voter)) {
        let Some(mut member) = self.members.remove(name) else {
            return;
        };
        self.count_out(name, &member);
        let (row, lives) = (member.row.clone(), member.lives);
        change(&mut member);
        if member.row != row || member.lives != lives {
            self.forget_digests(member.row != row);
        }
        self.count_in(name, &member);
        self.members.insert(name.to_string(), member);
    }

    pub fn rows_visited(&self) -> u64 {
        self.rows_visited.get()
    }

    /// Both digests, as a view says them.
    pub fn digests(&self, me: &VoterRecord) -> Digests {
        Digests {
            voters: self.digest_roster(me),
            living: self.digest_living(me),
        }
    }

    /// Of all who belong, and of us.
    pub fn digest_roster(&self, me: &VoterRecord) -> u64 {
        kept(&self.roster_digest, || {
            let rows = self.belonging().map(|member| &member.row).chain([me]);
            digest(rows.map(|row| (row.id.name.as_str(), row.id.incarnation, row.entry)))
        })
    }

    /// Of all who belong and live, and of us. By membership alone: who comes and goes counts differently at each for a
    /// while.
    pub fn digest_living(&self, me: &VoterRecord) -> u64 {
        kept(&self.living_digest, || {
            let rows = self
                .belonging()
                .filter(|member| member.lives)
                .map(|member| &member.row);
            digest(
                rows.chain([me])
                    .map(|row| (row.id.name.as_str(), row.id.incarnation, 0)),
            )
        })
    }

    /// Our own row changed, or that of a member did; or only who lives.
    pub fn forget_digests(&self, rows: bool) {
        self.living_digest.set(None);
        if rows {
            self.roster_digest.set(None);
        }
    }

    fn belonging(&self) -> impl Iterator<Item = &Voter> {
        self.members
            .values()
            .inspect(|_| self.visit(1))
            .filter(|member| member.row.belongs)
    }

    fn visit(&self, rows: u64) {
        self.rows_visited.set(self.rows_visited.get() + rows);
    }

    fn count_in(&mut self, name: &str, member: &Voter) {
        self.visit(1);
        self.belonging += usize::from(member.row.belongs);
        self.living += usize::from(member.row.belongs && member.lives);
        if member.is_notable() {
            self.notable.insert(name.to_string());
        }
        self.views
            .extend(member.said.as_ref().map(|(at, _)| (*at, name.to_string())));
    }

    fn count_out(&mut self, name: &str, member: &Voter) {
        self.belonging -= usize::from(member.row.belongs);
        self.living -= usize::from(member.row.belongs && member.lives);
        self.notable.remove(name);
        if let Some((at, _)) = member.said {
            self.views.remove(&(at, name.to_string()));
        }
    }
}

/// What is kept, or else made and kept.
fn kept(cell: &Cell<Option<u64>>, make: impl FnOnce() -> u64) -> u64 {
    let value = cell.get().unwrap_or_else(make);
    cell.set(Some(value));
    value
}

fn digest<'a>(rows: impl Iterator<Item = (&'a str, u64, u32)>) -> u64 {
    let mut rows: Vec<(&str, u64, u32)> = rows.collect();
    rows.sort_unstable();
    let mut text = Vec::new();
    for (name, life, entry) in rows {
        text.extend_from_slice(&(name.len() as u64).to_le_bytes());
        text.extend_from_slice(name.as_bytes());
        text.extend_from_slice(&life.to_le_bytes());
        text.extend_from_slice(&entry.to_le_bytes());
    }
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(&text).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
