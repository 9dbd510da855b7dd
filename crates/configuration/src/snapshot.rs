//! One complete configuration. A snapshot is immutable, cheap to clone, and shares unchanged buckets with earlier ones.

use crate::bucket::{Bucket, KeyHash};
use crate::delta::{Change, Delta};
use crate::digest::Digest;
use crate::error::ApplyError;
use crate::record::{Record, RecordKey, RecordKind, Route, Service, Tenant};
use crate::version::Version;
use std::fmt;
use std::sync::Arc;

pub use crate::bucket::BUCKETS;

/// Maximum number of services in one configuration: five times the planned 400.
pub const MAX_SERVICES: usize = 2_000;
/// Maximum number of routes in one configuration: over four times the planned 4,500.
pub const MAX_ROUTES: usize = 20_000;
/// Maximum number of tenants in one configuration: over three times the planned 150,000.
pub const MAX_TENANTS: usize = 500_000;

impl RecordKind {
    /// All kinds, in the order in which buckets hold them.
    pub const ALL: [RecordKind; 3] = [RecordKind::Service, RecordKind::Route, RecordKind::Tenant];

    /// Returns how many records of this kind a configuration may have.
    pub fn max_records(self) -> usize {
        match self {
            RecordKind::Service => MAX_SERVICES,
            RecordKind::Route => MAX_ROUTES,
            RecordKind::Tenant => MAX_TENANTS,
        }
    }
}

/// The configuration of one version, divided into [`BUCKETS`] buckets by the hash of each record's key. A bucket is
/// shared between snapshots until it changes.
#[derive(Clone)]
pub struct Snapshot {
    version: Version,
    digest: Digest,
    buckets: Arc<Vec<Arc<Bucket>>>,
}

impl Snapshot {
    /// Returns the snapshot before the first configuration, which has no records.
    pub fn empty() -> Snapshot {
        let bucket = Arc::new(Bucket::default());
        let buckets = Arc::new(vec![bucket; BUCKETS]);
        Snapshot {
            version: Version::NONE,
            digest: Digest::default(),
            buckets,
        }
    }

    /// Returns a snapshot of these records.
    ///
    /// # Errors
    /// A record has a field out of its bounds, two records have the same key, or there are too many records of a kind.
    pub fn from_records(
        version: Version,
        records: impl IntoIterator<Item = Record>,
    ) -> Result<Snapshot, ApplyError> {
        let mut buckets = vec![Bucket::default(); BUCKETS];
        for record in records {
            record.check()?;
            let key_hash = KeyHash::of(record.kind(), record.name());
            let bucket = &mut buckets[key_hash.bucket];
            if bucket
                .get(record.kind(), record.name(), key_hash.hash)
                .is_some()
            {
                return Err(ApplyError::Duplicate {
                    record: record.key(),
                });
            }
            bucket.put(record, key_hash.hash);
        }
        buckets.iter_mut().for_each(Bucket::shrink);
        Snapshot::from_buckets(version, buckets.into_iter().map(Arc::new).collect())
    }

    /// Returns a snapshot of buckets whose records the caller has checked.
    pub(crate) fn from_buckets(
        version: Version,
        buckets: Vec<Arc<Bucket>>,
    ) -> Result<Snapshot, ApplyError> {
        let mut digest = Digest::default();
        buckets
            .iter()
            .for_each(|bucket| digest.add_all(&bucket.digest()));
        let snapshot = Snapshot {
            version,
            digest,
            buckets: Arc::new(buckets),
        };
        for kind in RecordKind::ALL {
            let (found, max) = (snapshot.count(kind), kind.max_records());
            if found > max {
                return Err(ApplyError::TooMany { kind, found, max });
            }
        }
        Ok(snapshot)
    }

    /// Returns its version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns a snapshot of the same records under another version.
    pub fn with_version(&self, version: Version) -> Snapshot {
        Snapshot {
            version,
            ..self.clone()
        }
    }

    /// Returns the digest of all its records.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the record of a key.
    pub fn get(&self, key: &RecordKey) -> Option<&Record> {
        self.find(key.kind, &key.name)
    }

    /// Returns the service of a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        match self.find(RecordKind::Service, name) {
            Some(Record::Service(service)) => Some(service),
            _ => None,
        }
    }

    /// Returns the route of a name.
    pub fn route(&self, name: &str) -> Option<&Route> {
        match self.find(RecordKind::Route, name) {
            Some(Record::Route(route)) => Some(route),
            _ => None,
        }
    }

    /// Returns the tenant of a name.
    pub fn tenant(&self, name: &str) -> Option<&Tenant> {
        match self.find(RecordKind::Tenant, name) {
            Some(Record::Tenant(tenant)) => Some(tenant),
            _ => None,
        }
    }

    /// Returns all services, in unspecified order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.of_kind(RecordKind::Service)
            .filter_map(|record| match record {
                Record::Service(service) => Some(service),
                _ => None,
            })
    }

    /// Returns all routes, in unspecified order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.of_kind(RecordKind::Route)
            .filter_map(|record| match record {
                Record::Route(route) => Some(&**route),
                _ => None,
            })
    }

    /// Returns all tenants, in unspecified order.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.of_kind(RecordKind::Tenant)
            .filter_map(|record| match record {
                Record::Tenant(tenant) => Some(tenant),
                _ => None,
            })
    }

    /// Returns all records, in unspecified order.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.buckets.iter().flat_map(|bucket| bucket.records())
    }

    /// Returns how many records of a kind there are.
    pub fn count(&self, kind: RecordKind) -> usize {
        self.buckets.iter().map(|bucket| bucket.count(kind)).sum()
    }

    /// Returns the configuration to which a delta leads; this one stays unchanged.
    ///
    /// # Errors
    /// The delta builds on another version or leads to no newer one, a record has a field out of its bounds, there are
    /// too many records of a kind, or the result has another digest than the delta states.
    pub fn apply(&self, delta: &Delta) -> Result<Snapshot, ApplyError> {
        if delta.from != self.version {
            return Err(ApplyError::WrongBase {
                have: self.version,
                base: delta.from,
            });
        }
        if delta.to <= delta.from {
            return Err(ApplyError::NotNewer {
                from: delta.from,
                to: delta.to,
            });
        }
        let mut buckets = Vec::clone(&self.buckets);
        for change in &delta.changes {
            apply_change(&mut buckets, change)?;
        }
        let next = Snapshot::from_buckets(delta.to, buckets)?;
        if next.digest != delta.digest {
            return Err(ApplyError::DigestMismatch {
                expected: delta.digest,
                found: next.digest,
            });
        }
        Ok(next)
    }

    /// Returns the delta that leads from this configuration to the records of another one, as version `to`.
    pub fn delta_to(&self, new_records: &Snapshot, to: Version) -> Delta {
        let mut changes = Vec::new();
        for (before, after) in self.buckets.iter().zip(new_records.buckets.iter()) {
            if before.digest() == after.digest() {
                continue;
            }
            let added_or_changed = after
                .records()
                .iter()
                .filter(|record| self.find_record(record) != Some(*record));
            changes.extend(added_or_changed.map(|record| Change::Put(record.clone())));
            let removed = before
                .records()
                .iter()
                .filter(|record| new_records.find_record(record).is_none());
            changes.extend(removed.map(|record| Change::Remove(record.key())));
        }
        changes.sort_by_cached_key(Change::key);
        Delta {
            from: self.version,
            to,
            digest: new_records.digest(),
            changes,
        }
    }

    /// Returns the digest of each bucket. Two snapshots have the same records in a bucket if its digests are equal.
    pub fn bucket_digests(&self) -> Vec<Digest> {
        self.buckets.iter().map(|bucket| bucket.digest()).collect()
    }

    pub(crate) fn buckets(&self) -> &[Arc<Bucket>] {
        &self.buckets
    }

    /// Returns the record of this snapshot that has the same key as `other`.
    pub(crate) fn find_record(&self, other: &Record) -> Option<&Record> {
        self.find(other.kind(), other.name())
    }

    fn find(&self, kind: RecordKind, name: &str) -> Option<&Record> {
        let key_hash = KeyHash::of(kind, name);
        self.buckets[key_hash.bucket].get(kind, name, key_hash.hash)
    }

    fn of_kind(&self, kind: RecordKind) -> impl Iterator<Item = &Record> {
        self.buckets
            .iter()
            .flat_map(move |bucket| bucket.of_kind(kind))
    }
}

fn apply_change(buckets: &mut [Arc<Bucket>], change: &Change) -> Result<(), ApplyError> {
    match change {
        Change::Put(record) => {
            record.check()?;
            let key_hash = KeyHash::of(record.kind(), record.name());
            Arc::make_mut(&mut buckets[key_hash.bucket]).put(record.clone(), key_hash.hash);
        }
        Change::Remove(key) => {
            let key_hash = KeyHash::of(key.kind, &key.name);
            Arc::make_mut(&mut buckets[key_hash.bucket]).remove(key, key_hash.hash);
        }
    }
    Ok(())
}

/// Shows version, digest and counts only, because all records would be too long for a log line.
impl fmt::Debug for Snapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut output = f.debug_struct("Snapshot");
        output
            .field("version", &self.version)
            .field("digest", &self.digest.to_string());
        output.field("services", &self.count(RecordKind::Service));
        output.field("routes", &self.count(RecordKind::Route));
        output
            .field("tenants", &self.count(RecordKind::Tenant))
            .finish()
    }
}

/// Two snapshots are equal if their versions and all their records are.
impl PartialEq for Snapshot {
    fn eq(&self, other: &Snapshot) -> bool {
        let pairs = || self.buckets.iter().zip(other.buckets.iter());
        let equal =
            |(a, b): (&Arc<Bucket>, &Arc<Bucket>)| Arc::ptr_eq(a, b) || a.records() == b.records();
        self.version == other.version && self.digest == other.digest && pairs().all(equal)
    }
}
