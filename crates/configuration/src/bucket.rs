//! One shard of a snapshot: a small sorted table with its own digest.

use crate::digest::Digest;
use crate::record::{Record, RecordKey, RecordKind};
use std::ops::Range;

/// Number of buckets, the shards of a snapshot; a power of two.
pub const BUCKETS: usize = 1 << BUCKET_BITS;
const BUCKET_BITS: u32 = 10;
const RECORD_KINDS: usize = 3;

/// The hash of a record's key: the number of its bucket, and a hash that orders the records of one kind in the bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct KeyHash {
    pub bucket: usize,
    pub hash: u32,
}

impl KeyHash {
    /// Hashes with FNV-1a, then with the finalizer of splitmix64, because the high bits of FNV alone are badly
    /// distributed. Every process must get the same result, since peers compare buckets.
    pub fn of(kind: RecordKind, name: &str) -> KeyHash {
        const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        const FNV_PRIME: u64 = 0x0100_0000_01b3;
        let start = (FNV_OFFSET ^ kind as u64).wrapping_mul(FNV_PRIME);
        let mut hash = name.bytes().fold(start, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        });
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        hash ^= hash >> 31;
        KeyHash {
            bucket: (hash >> (u64::BITS - BUCKET_BITS)) as usize,
            hash: hash as u32,
        }
    }
}

/// The records of one bucket, sorted by kind, then hash, then name. The hashes are in a separate vector, so that a
/// search touches few cache lines.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bucket {
    digest: Digest,
    counts: [usize; RECORD_KINDS],
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
            .map(|index| &self.records[index])
    }

    /// Inserts a record or replaces the one with the same key. Returns whether the key is new.
    pub fn put(&mut self, record: Record, hash: u32) -> bool {
        self.digest.add(&record);
        match self.position(record.kind(), record.name(), hash) {
            Ok(index) => {
                self.digest.remove(&self.records[index]);
                self.records[index] = record;
                false
            }
            Err(index) => {
                self.counts[record.kind() as usize] += 1;
                self.hashes.insert(index, hash);
                self.records.insert(index, record);
                true
            }
        }
    }

    /// Returns whether a record sorts after all records of the bucket.
    pub fn sorts_last(&self, record: &Record, hash: u32) -> bool {
        let last = self.records.last().zip(self.hashes.last());
        last.is_none_or(|(last, last_hash)| {
            (last.kind(), *last_hash, last.name()) < (record.kind(), hash, record.name())
        })
    }

    /// Appends a record that [sorts last](Bucket::sorts_last).
    pub fn push(&mut self, record: Record, hash: u32) {
        self.digest.add(&record);
        self.counts[record.kind() as usize] += 1;
        self.hashes.push(hash);
        self.records.push(record);
    }

    /// Removes a record. Returns whether there was one with this key.
    pub fn remove(&mut self, key: &RecordKey, hash: u32) -> bool {
        let Ok(index) = self.position(key.kind, &key.name, hash) else {
            return false;
        };
        self.digest.remove(&self.records[index]);
        self.counts[key.kind as usize] -= 1;
        self.hashes.remove(index);
        self.records.remove(index);
        true
    }

    /// Releases unused capacity.
    pub fn shrink(&mut self) {
        self.hashes.shrink_to_fit();
        self.records.shrink_to_fit();
    }

    /// Returns the indices of the records of a kind.
    fn range(&self, kind: RecordKind) -> Range<usize> {
        let start = self.counts[..kind as usize].iter().sum();
        start..start + self.count(kind)
    }

    /// Returns the index of the record as `Ok`, or the index at which to insert it as `Err`.
    fn position(&self, kind: RecordKind, name: &str, hash: u32) -> Result<usize, usize> {
        let Range { start, end } = self.range(kind);
        let first = start + self.hashes[start..end].partition_point(|known| *known < hash);
        let equal = self.hashes[first..end]
            .iter()
            .take_while(|known| **known == hash)
            .count();
        let found =
            self.records[first..first + equal].binary_search_by(|record| record.name().cmp(name));
        found
            .map(|index| first + index)
            .map_err(|index| first + index)
    }
}
