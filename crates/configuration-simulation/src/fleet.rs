//! A simulated fleet of processes in zones and regions, with a given membership.

use crate::process::{name, Process};
use havenplank_configuration::delta::Change;
use havenplank_configuration::digest::Digest;
use havenplank_configuration::record::{Record, Tenant, TenantLimits};
use havenplank_configuration::replication::{
    CachedConfiguration, Nanos, Peer, Peers, PublishError, ReplicationSettings, Role,
};
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::version::Version;
use havenplank_emulator::net::{Clock, Id, Net, NetworkFaults};
use havenplank_membership::member::MemberId;
use std::collections::BTreeMap;

/// Nanoseconds of a millisecond.
pub const MS: Nanos = 1_000_000;
/// Nanoseconds of a second.
pub const SECOND: Nanos = 1_000 * MS;
/// The process that writes epoch 1.
const FIRST_WRITER: Id = 0;
/// Zones of each region.
const ZONES: [usize; 4] = [4, 4, 3, 3];

/// Where each process is, by number: zone after zone in turn.
pub fn zone(id: Id) -> String {
    let (region, zone) = place(id);
    format!("r{region}/z{zone}")
}

fn place(id: Id) -> (usize, usize) {
    let zone = id % ZONES.iter().sum::<usize>();
    let mut end = 0;
    let ends = ZONES.iter().map(|zones| {
        end += zones;
        end
    });
    (ends.take_while(|end| *end <= zone).count(), zone)
}

/// The region of a process, by number.
pub fn place_region(id: Id) -> usize {
    place(id).0
}

/// 1 ms in a zone, 2 to 4 ms in a region, 40 to 90 ms between regions.
pub fn delay(from: Id, to: Id) -> (Nanos, Nanos) {
    let ((from_region, from_zone), (to_region, to_zone)) = (place(from), place(to));
    if from_zone == to_zone {
        (MS / 2, MS)
    } else if from_region == to_region {
        (2 * MS, 4 * MS)
    } else {
        let nearest = 40 + 10 * (from_region.abs_diff(to_region) as Nanos - 1);
        (nearest * MS, (nearest + 30).min(90) * MS)
    }
}

/// A configuration of so many tenants.
pub fn tenants(count: usize) -> Snapshot {
    let records = (0..count).map(|n| tenant(n, 100));
    let snapshot = Snapshot::from_records(
        Version {
            epoch: 1,
            number: 1,
        },
        records,
    );
    snapshot.unwrap_or_else(|_| Snapshot::empty())
}

fn tenant(n: usize, requests_per_s: u32) -> Record {
    let limits = TenantLimits {
        requests_per_s: Some(requests_per_s),
        in_flight: Some(50),
    };
    Record::Tenant(Tenant {
        name: format!("tenant-{n:06}"),
        limits,
    })
}

/// A change of some tenants, other with each number.
pub fn change(number: u64, tenants: usize, width: usize) -> Vec<Change> {
    let first = number as usize * 7_919;
    let mut places: Vec<usize> = (0..width)
        .map(|n| (first + n * 31) % tenants.max(width * 31))
        .collect();
    places.sort_unstable();
    places.dedup();
    let value = 1_000 + (number % 1_000_000) as u32;
    places
        .into_iter()
        .map(|n| Change::Put(tenant(n, value)))
        .collect()
}

/// A version that a writer has published.
#[derive(Clone, Copy, Debug)]
pub struct Publication {
    /// When, on the network's clock.
    pub at: Nanos,
    /// Which.
    pub version: Version,
    /// By whom.
    pub writer: Id,
}

/// Processes on a simulated network, of which the first one is the writer.
pub struct Fleet {
    /// The network, which keeps the time.
    pub net: Net<Process>,
    /// What processes are started with from now on.
    pub settings: ReplicationSettings,
    seed: u64,
    lives: BTreeMap<Id, u64>,
    /// Publications, in order.
    pub published: Vec<Publication>,
    /// The contents that writers gave each version: more than one where two wrote the same.
    pub digests: BTreeMap<Version, Vec<Digest>>,
    changes: u64,
    tenants: usize,
    /// Tenants that one change touches.
    pub width: usize,
}

impl Fleet {
    /// Processes that all hold `base` and know each other; the first one is the writer of epoch 1.
    pub fn new(count: usize, seed: u64, base: &Snapshot, faults: NetworkFaults) -> Fleet {
        Fleet::with_clocks(count, seed, base, faults, |_| Clock::default())
    }

    /// Returns a fleet as [`Fleet::new`] does, with a clock for each process.
    pub fn with_clocks(
        count: usize,
        seed: u64,
        base: &Snapshot,
        faults: NetworkFaults,
        clock: impl Fn(Id) -> Clock,
    ) -> Fleet {
        let mut net = Net::new(seed, faults);
        net.delay = Some(Box::new(delay));
        let settings = ReplicationSettings::default();
        let mut fleet = Fleet {
            net,
            settings,
            seed,
            lives: BTreeMap::new(),
            published: Vec::new(),
            digests: BTreeMap::from([(base.version(), vec![base.digest()])]),
            changes: 0,
            tenants: base.tenants().count(),
            width: 5,
        };
        for id in 0..count {
            let role = if id == FIRST_WRITER {
                Role::Writer { epoch: 1 }
            } else {
                Role::Sidecar
            };
            fleet.join(clock(id), role, base.clone());
        }
        fleet.tell_everyone();
        fleet
    }

    fn join(&mut self, clock: Clock, role: Role, snapshot: Snapshot) {
        let id = self.lives.len();
        self.lives.insert(id, 1);
        let (seed, me, settings) = (self.seed_of(id), self.peer(id), self.settings.clone());
        let kept = CachedConfiguration {
            snapshot,
            deltas: Vec::new(),
        };
        self.net.join(clock, |now, _| {
            Process::new(now, seed, me, role, kept, settings)
        });
    }

    /// Starts a process anew, under a later life, with what it kept.
    pub fn restart(&mut self, id: Id, role: Role, kept: Snapshot) {
        *self.lives.entry(id).or_default() += 1;
        let (seed, me, settings) = (self.seed_of(id), self.peer(id), self.settings.clone());
        let kept = CachedConfiguration {
            snapshot: kept,
            deltas: Vec::new(),
        };
        self.net.restart(id, |now, _| {
            Process::new(now, seed, me, role, kept, settings)
        });
    }

    fn seed_of(&self, id: Id) -> u64 {
        self.seed
            .wrapping_mul(1_000_003)
            .wrapping_add(id as u64 * 64 + self.lives[&id])
    }

    /// Returns a process as its peers know it, in its present incarnation.
    pub fn peer(&self, id: Id) -> Peer {
        Peer {
            life: MemberId {
                name: name(id),
                incarnation: self.lives[&id],
            },
            zone: zone(id),
        }
    }

    /// The list of these processes.
    pub fn peers(&self, ids: impl IntoIterator<Item = Id>) -> Peers {
        Peers::new(ids.into_iter().map(|id| self.peer(id)).collect())
    }

    /// Tells every process of all that live.
    pub fn tell_everyone(&mut self) {
        let living = self.net.ids().filter(|id| self.net.host(*id).is_some());
        let peers = self.peers(living);
        for id in self.net.ids() {
            self.tell(id, &peers);
        }
    }

    /// Tells a process who lives.
    pub fn tell(&mut self, id: Id, peers: &Peers) {
        if let Some(process) = self.net.host_mut(id) {
            process.replicator.set_peers(peers.clone());
        }
    }

    /// Returns the next change, other than all before.
    pub fn next_change(&mut self) -> Vec<Change> {
        self.changes += 1;
        change(self.changes, self.tenants, self.width)
    }

    /// One change, published by a writer.
    ///
    /// # Errors
    /// Why the writer refuses.
    pub fn publish(&mut self, id: Id, epoch: u64) -> Result<Version, PublishError> {
        let changes = self.next_change();
        let (now, own) = (self.net.now(), self.net.own_time(id));
        let Some(writer) = self.net.host_mut(id) else {
            return Err(PublishError::NotWriter);
        };
        let version = writer.publish(own, epoch, changes)?;
        let digest = writer.in_force.digest();
        self.digests.entry(version).or_default().push(digest);
        self.net.send_ready(id);
        self.published.push(Publication {
            at: now,
            version,
            writer: id,
        });
        Ok(version)
    }

    /// Lets time pass, in nanoseconds.
    pub fn run_for(&mut self, span: Nanos) {
        let until = self.net.now() + span;
        self.net.run(until, |_, _| {});
    }

    /// For each publication by the first process since `from` and up to now, how long it took until it or a newer one
    /// was in force at each of these processes; `None` where it is not yet. For clocks that stand at the network's time.
    pub fn latencies(&self, from: Nanos, ids: &[Id]) -> Vec<Option<Nanos>> {
        let published = self
            .published
            .iter()
            .filter(|publication| publication.at >= from && publication.writer == FIRST_WRITER);
        published
            .flat_map(|publication| ids.iter().map(|id| self.latency(publication, *id)))
            .collect()
    }

    fn latency(&self, publication: &Publication, id: Id) -> Option<Nanos> {
        let log = &self.net.host(id)?.log;
        let first = log.partition_point(|installed| installed.version < publication.version);
        let installed = log.get(first)?;
        Some(installed.at.saturating_sub(publication.at))
    }
}
