//! The table of voters by name, and beside it the few of which there is something to see, so that no look each period
//! walks all of it. Digests are cached until a row changes.

use super::record::VoterRecord;
use super::view::Digests;
use super::voter::Voter;
use crate::Nanos;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// What a digest keeps of a hash.
const DIGEST_BYTES: usize = size_of::<u64>();

/// Voters, and those that were, with what is counted of them.
#[derive(Default)]
pub(super) struct VoterTable {
    by_name: BTreeMap<String, Voter>,
    /// The names of those that are notable.
    notable: BTreeSet<String>,
    /// When each one's view was received, and its name.
    views: BTreeSet<(Nanos, String)>,
    voters: usize,
    /// The voters that are alive by membership.
    alive: usize,
    voters_digest: Cell<Option<u64>>,
    alive_digest: Cell<Option<u64>>,
    rows_visited: Cell<u64>,
}

impl VoterTable {
    /// Returns the number of rows, those that were voters among them.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn count_voters(&self) -> usize {
        self.voters
    }

    /// Returns the number of voters that are alive by membership.
    pub fn count_alive(&self) -> usize {
        self.alive
    }

    pub fn get(&self, name: &str) -> Option<&Voter> {
        self.count_visits(1);
        self.by_name.get(name)
    }

    /// Returns all names.
    pub fn names(&self) -> Vec<String> {
        self.count_visits(self.by_name.len() as u64);
        self.by_name.keys().cloned().collect()
    }

    pub fn notable_names(&self) -> Vec<String> {
        self.notable.iter().cloned().collect()
    }

    /// Returns the rows that are notable, by name.
    pub fn notable(&self) -> impl Iterator<Item = &Voter> {
        self.notable.iter().filter_map(|name| self.get(name))
    }

    /// Returns the rows behind a name, by name.
    pub fn after(&self, name: &str) -> impl Iterator<Item = &Voter> {
        let behind = (Bound::Excluded(name), Bound::Unbounded);
        let rows = self.by_name.range::<str, _>(behind);
        rows.map(|(_, voter)| voter)
            .inspect(|_| self.count_visits(1))
    }

    /// Returns whose view was received longest ago, if that is too long ago.
    pub fn oldest_view_if(&self, is_too_old: impl Fn(Nanos) -> bool) -> Option<String> {
        let (received_at, name) = self.views.first()?;
        is_too_old(*received_at).then(|| name.clone())
    }

    pub fn insert(&mut self, voter: Voter) {
        let name = voter.name().to_string();
        self.remove(&name);
        self.index(&name, &voter);
        self.forget_voters_digest();
        self.by_name.insert(name, voter);
    }

    pub fn remove(&mut self, name: &str) {
        if let Some(voter) = self.by_name.remove(name) {
            self.unindex(name, &voter);
            self.forget_voters_digest();
        }
    }

    /// Changes a row; nothing happens where none has that name.
    pub fn update(&mut self, name: &str, change: impl FnOnce(&mut Voter)) {
        let Some(mut voter) = self.by_name.remove(name) else {
            return;
        };
        self.unindex(name, &voter);
        let (record, was_alive) = (voter.record.clone(), voter.is_alive);
        change(&mut voter);
        if voter.record != record {
            self.forget_voters_digest();
        } else if voter.is_alive != was_alive {
            self.alive_digest.set(None);
        }
        self.index(name, &voter);
        self.by_name.insert(name.to_string(), voter);
    }

    pub fn rows_visited(&self) -> u64 {
        self.rows_visited.get()
    }

    /// Returns both digests, as a view has them.
    pub fn digests(&self, me: &VoterRecord) -> Digests {
        Digests {
            voters: self.voters_digest(me),
            alive: self.alive_digest(me),
        }
    }

    /// Returns the digest of all voters and of us.
    pub fn voters_digest(&self, me: &VoterRecord) -> u64 {
        cached(&self.voters_digest, || {
            let records = self.voters().map(|voter| &voter.record).chain([me]);
            digest(records.map(|record| DigestRow::new(record, record.rejoins)))
        })
    }

    /// Returns the digest of all voters that are alive, and of us. It goes by membership alone: who comes and goes counts
    /// differently at each sidecar for a while.
    fn alive_digest(&self, me: &VoterRecord) -> u64 {
        cached(&self.alive_digest, || {
            let alive = self.voters().filter(|voter| voter.is_alive);
            let records = alive.map(|voter| &voter.record).chain([me]);
            digest(records.map(|record| DigestRow::new(record, 0)))
        })
    }

    /// To be called when a record has changed, our own among them.
    pub fn forget_voters_digest(&self) {
        self.alive_digest.set(None);
        self.voters_digest.set(None);
    }

    fn voters(&self) -> impl Iterator<Item = &Voter> {
        let rows = self.by_name.values().inspect(|_| self.count_visits(1));
        rows.filter(|voter| voter.record.is_voter)
    }

    fn count_visits(&self, rows: u64) {
        self.rows_visited.set(self.rows_visited.get() + rows);
    }

    fn index(&mut self, name: &str, voter: &Voter) {
        self.count_visits(1);
        self.voters += usize::from(voter.record.is_voter);
        self.alive += usize::from(voter.record.is_voter && voter.is_alive);
        if voter.is_notable() {
            self.notable.insert(name.to_string());
        }
        if let Some(received) = &voter.received {
            self.views.insert((received.at, name.to_string()));
        }
    }

    fn unindex(&mut self, name: &str, voter: &Voter) {
        self.voters -= usize::from(voter.record.is_voter);
        self.alive -= usize::from(voter.record.is_voter && voter.is_alive);
        self.notable.remove(name);
        if let Some(received) = &voter.received {
            self.views.remove(&(received.at, name.to_string()));
        }
    }
}

/// Returns the cached value, or computes and caches it.
fn cached(cell: &Cell<Option<u64>>, compute: impl FnOnce() -> u64) -> u64 {
    let value = cell.get().unwrap_or_else(compute);
    cell.set(Some(value));
    value
}

/// What a digest takes of a record.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DigestRow<'a> {
    name: &'a str,
    incarnation: u64,
    rejoins: u32,
}

impl<'a> DigestRow<'a> {
    fn new(record: &'a VoterRecord, rejoins: u32) -> DigestRow<'a> {
        DigestRow {
            name: &record.id.name,
            incarnation: record.id.incarnation,
            rejoins,
        }
    }
}

/// Hashes the rows in their order. The form is part of the protocol.
fn digest<'a>(rows: impl Iterator<Item = DigestRow<'a>>) -> u64 {
    let mut rows: Vec<DigestRow<'a>> = rows.collect();
    rows.sort_unstable();
    let mut hash = blake3::Hasher::new();
    for row in rows {
        hash.update(&(row.name.len() as u64).to_le_bytes());
        hash.update(row.name.as_bytes());
        hash.update(&row.incarnation.to_le_bytes());
        hash.update(&row.rejoins.to_le_bytes());
    }
    let mut first_bytes = [0; DIGEST_BYTES];
    first_bytes.copy_from_slice(&hash.finalize().as_bytes()[..DIGEST_BYTES]);
    u64::from_le_bytes(first_bytes)
}
