//! One shard of a snapshot: a small sorted table with its own digest.

use crate::digest::Digest;
use crate::record::{Record, RecordKey, RecordKind};
use std::ops::Range;

/// Shards of a snapshot; a power of two.
pub const BUCKETS: usize = 1 << BUCKET_BITS;
const BUCKET_BITS: u32 = 10;
const KINDS: usize = 3;

/// Where a record stands: its bucket, and its order among the records of its kind there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    pub bucket: usize,
    pub hash: u32,
}

impl Place {
    /// FNV-1a, then the finalizer of splitmix64, as the high bits of FNV alone are spread badly. The same in every
    /// process, since peers compare buckets.
    pub fn of(kind: RecordKind, name: &str) -> Place {
        const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        const FNV_PRIME: u64 = 0x0100_0000_01b3;
        let start = (FNV_OFFSET ^ kind as u64).wrapping_mul(FNV_PRIME);
        let mut hash = name.bytes().fold(start, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        });
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        hash ^= hash >> 31;
        Place {
            bucket: (hash >> (u64::BITS - BUCKET_BITS)) as usize,
            hash: hash as u32,
        }
    }
}

/// Records of one bucket by kind, then hash, then name; the hashes stand apart, so that a search stays in few cache lines.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bucket {
    digest: Digest,
    counts: [usize; KINDS],
    hashes: Vec<u32>,
    records: Vec<Record>,
}

impl Bucket {
    pub fn digest(&self) -> Digest {
        self.digest
    }

    pub fn count(&self, kind: RecordKind) -> usize {
        self.counts[kind as usize]
    }

    pub fn records(&self) -> &[Record] {
        &self.records
    }

    pub fn of_kind(&self, kind: RecordKind) -> &[Record] {
        &self.records[self.range(kind)]
    }

    pub fn get(&self, kind: RecordKind, name: &str, hash: u32) -> Option<&Record> {
        self.position(kind, name, hash)
            .ok()
            .map(|at| &self.records[at])
    }

    /// Puts a record in, in place of one with the same key. Returns whether there was none.
    pub fn put(&mut self, record: Record, hash: u32) -> bool {
        self.digest.add(&record);
        match self.position(record.kind(), record.name(), hash) {
            Ok(at) => {
                self.digest.remove(&self.records[at]);
                self.records[at] = record;
                false
            }
            Err(at) => {
                self.counts[record.kind() as usize] += 1;
                self.hashes.insert(at, hash);
                self.records.insert(at, record);
                true
            }
        }
    }

    /// Whether a record belongs behind all that are there.
    pub fn follows(&self, record: &Record, hash: u32) -> bool {
        let last = self.records.last().zip(self.hashes.last());
        last.is_none_or(|(last, last_hash)| {
            (last.kind(), *last_hash, last.name()) < (record.kind(), hash, record.name())
        })
    }

    /// Puts a record behind all that are there, which it [follows](Bucket::follows).
    pub fn push(&mut self, record: Record, hash: u32) {
        self.digest.add(&record);
        self.counts[record.kind() as usize] += 1;
        self.hashes.push(hash);
        self.records.push(record);
    }

    /// Takes a record out. Returns whether it was there.
    pub fn remove(&mut self, key: &RecordKey, hash: u32) -> bool {
        let Ok(at) = self.position(key.kind, &key.name, hash) else {
            return false;
        };
        self.digest.remove(&self.records[at]);
        self.counts[key.kind as usize] -= 1;
        self.hashes.remove(at);
        self.records.remove(at);
        true
    }

    /// Gives back room that growth has left over.
    pub fn shrink(&mut self) {
        self.hashes.shrink_to_fit();
        self.records.shrink_to_fit();
    }

    fn range(&self, kind: RecordKind) -> Range<usize> {
        let start = self.counts[..kind as usize].iter().sum();
        start..start + self.count(kind)
    }

    /// Where the record is, or else where it belongs.
    fn position(&self, kind: RecordKind, name: &str, hash: u32) -> Result<usize, usize> {
        let Range { start, end } = self.range(kind);
        let first = start + self.hashes[start..end].partition_point(|known| *known < hash);
        let equal = self.hashes[first..end]
            .iter()
            .take_while(|known| **known == hash)
            .count();
        let found =
            self.records[first..first + equal].binary_search_by(|record| record.name().cmp(name));
        found.map(|at| first + at).map_err(|at| first + at)
    }
}
