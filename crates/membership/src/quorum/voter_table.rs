//! The table of voters by name, with an index of the few that need a check in each period, so that no check walks all
//! rows. Digests are cached until a row changes.

use super::record::VoterRecord;
use super::view::Digests;
use super::voter::Voter;
use crate::Nanos;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// The number of bytes of a hash that a digest keeps.
const DIGEST_BYTES: usize = size_of::<u64>();

/// The voters and former voters, with their counts and indexes.
#[derive(Default)]
pub(super) struct VoterTable {
    by_name: BTreeMap<String, Voter>,
    /// The names of the voters that need a check in each period.
    to_check: BTreeSet<String>,
    /// The time at which the last view of each voter was received, and its name.
    views_by_time: BTreeSet<(Nanos, String)>,
    voter_count: usize,
    /// The number of voters that are alive according to membership.
    alive_count: usize,
    voters_digest: Cell<Option<u64>>,
    alive_digest: Cell<Option<u64>>,
    rows_visited: Cell<u64>,
}

impl VoterTable {
    /// Returns the number of rows, including those of former voters.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn count_voters(&self) -> usize {
        self.voter_count
    }

    /// Returns the number of voters that are alive according to membership.
    pub fn count_alive(&self) -> usize {
        self.alive_count
    }

    pub fn get(&self, name: &str) -> Option<&Voter> {
        self.count_visits(1);
        self.by_name.get(name)
    }

    /// Returns all names in the table.
    pub fn names(&self) -> Vec<String> {
        self.count_visits(self.by_name.len() as u64);
        self.by_name.keys().cloned().collect()
    }

    pub fn names_to_check(&self) -> Vec<String> {
        self.to_check.iter().cloned().collect()
    }

    /// Returns the rows that need a check in each period, ordered by name.
    pub fn to_check(&self) -> impl Iterator<Item = &Voter> {
        self.to_check.iter().filter_map(|name| self.get(name))
    }

    /// Returns the rows after a name, ordered by name.
    pub fn after(&self, name: &str) -> impl Iterator<Item = &Voter> {
        let after_name = (Bound::Excluded(name), Bound::Unbounded);
        let rows = self.by_name.range::<str, _>(after_name);
        rows.map(|(_, voter)| voter)
            .inspect(|_| self.count_visits(1))
    }

    /// Returns the name of the voter with the oldest view, if that view is too old.
    pub fn oldest_view_if(&self, is_too_old: impl Fn(Nanos) -> bool) -> Option<String> {
        let (received_at, name) = self.views_by_time.first()?;
        is_too_old(*received_at).then(|| name.clone())
    }

    pub fn insert(&mut self, voter: Voter) {
        let name = voter.name().to_string();
        self.remove(&name);
        self.index(&name, &voter);
        self.drop_cached_digests();
        self.by_name.insert(name, voter);
    }

    pub fn remove(&mut self, name: &str) {
        if let Some(voter) = self.by_name.remove(name) {
            self.unindex(name, &voter);
            self.drop_cached_digests();
        }
    }

    /// Changes the row of this name, if there is one.
    pub fn update(&mut self, name: &str, change: impl FnOnce(&mut Voter)) {
        let Some(mut voter) = self.by_name.remove(name) else {
            return;
        };
        self.unindex(name, &voter);
        let (record, was_alive) = (voter.record.clone(), voter.is_alive);
        change(&mut voter);
        if voter.record != record {
            self.drop_cached_digests();
        } else if voter.is_alive != was_alive {
            self.alive_digest.set(None);
        }
        self.index(name, &voter);
        self.by_name.insert(name.to_string(), voter);
    }

    pub fn rows_visited(&self) -> u64 {
        self.rows_visited.get()
    }

    /// Returns the two digests of a view.
    pub fn digests(&self, me: &VoterRecord) -> Digests {
        Digests {
            voters: self.voters_digest(me),
            alive: self.alive_digest(me),
        }
    }

    /// Returns the digest of all voters, including us.
    pub fn voters_digest(&self, me: &VoterRecord) -> u64 {
        cached(&self.voters_digest, || {
            let records = self.voters().map(|voter| &voter.record).chain([me]);
            digest(records.map(|record| DigestRow::new(record, record.rejoins)))
        })
    }

    /// Returns the digest of all living voters, including us. It depends on membership alone: whether a voter that
    /// flaps counts as reached differs between sidecars for a while.
    fn alive_digest(&self, me: &VoterRecord) -> u64 {
        cached(&self.alive_digest, || {
            let alive = self.voters().filter(|voter| voter.is_alive);
            let records = alive.map(|voter| &voter.record).chain([me]);
            digest(records.map(|record| DigestRow::new(record, 0)))
        })
    }

    /// Drops both cached digests. To be called when a record has changed, including our own.
    pub fn drop_cached_digests(&self) {
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
        self.voter_count += usize::from(voter.record.is_voter);
        self.alive_count += usize::from(voter.record.is_voter && voter.is_alive);
        if voter.needs_check() {
            self.to_check.insert(name.to_string());
        }
        if let Some(received) = &voter.received {
            self.views_by_time.insert((received.at, name.to_string()));
        }
    }

    fn unindex(&mut self, name: &str, voter: &Voter) {
        self.voter_count -= usize::from(voter.record.is_voter);
        self.alive_count -= usize::from(voter.record.is_voter && voter.is_alive);
        self.to_check.remove(name);
        if let Some(received) = &voter.received {
            self.views_by_time.remove(&(received.at, name.to_string()));
        }
    }
}

/// Returns the cached value, or computes and caches it.
fn cached(cell: &Cell<Option<u64>>, compute: impl FnOnce() -> u64) -> u64 {
    let value = cell.get().unwrap_or_else(compute);
    cell.set(Some(value));
    value
}

/// The fields of a record that a digest covers.
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

/// Hashes the rows, ordered by name. The layout is part of the protocol.
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
