//! A simulated fleet of processes in zones and regions; tests set which peers each process knows.

use crate::process::{process_name, Process};
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

/// One millisecond in nanoseconds.
pub const MS: Nanos = 1_000_000;
/// One second in nanoseconds.
pub const SECOND: Nanos = 1_000 * MS;
/// The process that is the writer of epoch 1.
const FIRST_WRITER: Id = 0;
/// The number of zones in each region.
const ZONES: [usize; 4] = [4, 4, 3, 3];

/// Returns the zone of a process as `region/zone`. Consecutive processes are in consecutive zones.
pub fn zone(id: Id) -> String {
    let (region, zone) = region_and_zone(id);
    format!("r{region}/z{zone}")
}

fn region_and_zone(id: Id) -> (usize, usize) {
    let zone = id % ZONES.iter().sum::<usize>();
    let mut end = 0;
    let ends = ZONES.iter().map(|zones| {
        end += zones;
        end
    });
    (ends.take_while(|end| *end <= zone).count(), zone)
}

/// Returns the index of the region of a process.
pub fn region_index(id: Id) -> usize {
    region_and_zone(id).0
}

/// Returns the least and greatest network delay between two processes: 0.5 to 1 ms in a zone, 2 to 4 ms in a region, 40
/// to 90 ms between regions.
pub fn delay(from: Id, to: Id) -> (Nanos, Nanos) {
    let ((from_region, from_zone), (to_region, to_zone)) =
        (region_and_zone(from), region_and_zone(to));
    if from_zone == to_zone {
        (MS / 2, MS)
    } else if from_region == to_region {
        (2 * MS, 4 * MS)
    } else {
        let nearest = 40 + 10 * (from_region.abs_diff(to_region) as Nanos - 1);
        (nearest * MS, (nearest + 30).min(90) * MS)
    }
}

/// Returns version 1 of epoch 1 with `count` tenants.
pub fn tenant_snapshot(count: usize) -> Snapshot {
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

/// Returns changes to the limits of about `tenants_per_change` of all tenants. The tenants and the limit depend on
/// `number`.
pub fn tenant_changes(number: u64, tenant_count: usize, tenants_per_change: usize) -> Vec<Change> {
    let first = number as usize * 7_919;
    let mut indices: Vec<usize> = (0..tenants_per_change)
        .map(|n| (first + n * 31) % tenant_count.max(tenants_per_change * 31))
        .collect();
    indices.sort_unstable();
    indices.dedup();
    let value = 1_000 + (number % 1_000_000) as u32;
    indices
        .into_iter()
        .map(|n| Change::Put(tenant(n, value)))
        .collect()
}

/// The publication of one version.
#[derive(Clone, Copy, Debug)]
pub struct Publication {
    /// When it was published, on the network's clock.
    pub at: Nanos,
    /// The published version.
    pub version: Version,
    /// The process that published it.
    pub writer: Id,
}

/// Processes on a simulated network. The first process is the writer.
pub struct Fleet {
    /// The simulated network, which also keeps the time.
    pub net: Net<Process>,
    /// The settings of processes that are started from now on.
    pub settings: ReplicationSettings,
    seed: u64,
    incarnations: BTreeMap<Id, u64>,
    /// All publications, in order.
    pub publications: Vec<Publication>,
    /// The digests that writers gave each version: more than one if two writers published the same version.
    pub digests: BTreeMap<Version, Vec<Digest>>,
    change_count: u64,
    tenant_count: usize,
    /// Tenants that [`Fleet::next_change`] changes at once.
    pub tenants_per_change: usize,
}

impl Fleet {
    /// Returns a fleet whose processes all have `base` and know each other; the first one is the writer of epoch 1.
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
            incarnations: BTreeMap::new(),
            publications: Vec::new(),
            digests: BTreeMap::from([(base.version(), vec![base.digest()])]),
            change_count: 0,
            tenant_count: base.tenants().count(),
            tenants_per_change: 5,
        };
        for id in 0..count {
            let role = if id == FIRST_WRITER {
                Role::Writer { epoch: 1 }
            } else {
                Role::Sidecar
            };
            fleet.join(clock(id), role, base.clone());
        }
        fleet.set_peers_everywhere();
        fleet
    }

    fn join(&mut self, clock: Clock, role: Role, snapshot: Snapshot) {
        let id = self.incarnations.len();
        self.incarnations.insert(id, 1);
        let (seed, me, settings) = (self.seed_of(id), self.peer(id), self.settings.clone());
        let cached = CachedConfiguration {
            snapshot,
            deltas: Vec::new(),
        };
        self.net.join(clock, |now, _| {
            Process::new(now, seed, me, role, cached, settings)
        });
    }

    /// Restarts a process under a higher incarnation, with the given snapshot in force.
    pub fn restart(&mut self, id: Id, role: Role, cached: Snapshot) {
        *self.incarnations.entry(id).or_default() += 1;
        let (seed, me, settings) = (self.seed_of(id), self.peer(id), self.settings.clone());
        let cached = CachedConfiguration {
            snapshot: cached,
            deltas: Vec::new(),
        };
        self.net.restart(id, |now, _| {
            Process::new(now, seed, me, role, cached, settings)
        });
    }

    fn seed_of(&self, id: Id) -> u64 {
        self.seed
            .wrapping_mul(1_000_003)
            .wrapping_add(id as u64 * 64 + self.incarnations[&id])
    }

    /// Returns a process as its peers know it, in its current incarnation.
    pub fn peer(&self, id: Id) -> Peer {
        Peer {
            member_id: MemberId {
                name: process_name(id),
                incarnation: self.incarnations[&id],
            },
            zone: zone(id),
        }
    }

    /// Returns the list of peers for these processes.
    pub fn peers(&self, ids: impl IntoIterator<Item = Id>) -> Peers {
        Peers::new(ids.into_iter().map(|id| self.peer(id)).collect())
    }

    /// Gives every process the list of all processes that are alive.
    pub fn set_peers_everywhere(&mut self) {
        let alive = self.net.ids().filter(|id| self.net.host(*id).is_some());
        let peers = self.peers(alive);
        for id in self.net.ids() {
            self.set_peers(id, &peers);
        }
    }

    /// Gives one process its list of peers.
    pub fn set_peers(&mut self, id: Id, peers: &Peers) {
        if let Some(process) = self.net.host_mut(id) {
            process.replicator.set_peers(peers.clone());
        }
    }

    /// Returns the next change; it differs from all earlier ones.
    pub fn next_change(&mut self) -> Vec<Change> {
        self.change_count += 1;
        tenant_changes(
            self.change_count,
            self.tenant_count,
            self.tenants_per_change,
        )
    }

    /// Publishes one change from a writer.
    ///
    /// # Errors
    /// The reason why the writer refuses the change.
    pub fn publish(&mut self, id: Id, epoch: u64) -> Result<Version, PublishError> {
        let changes = self.next_change();
        let (now, own_time) = (self.net.now(), self.net.own_time(id));
        let Some(writer) = self.net.host_mut(id) else {
            return Err(PublishError::NotWriter);
        };
        let version = writer.publish(own_time, epoch, changes)?;
        let digest = writer.in_force.digest();
        self.digests.entry(version).or_default().push(digest);
        self.net.send_ready(id);
        self.publications.push(Publication {
            at: now,
            version,
            writer: id,
        });
        Ok(version)
    }

    /// Runs the simulation for a duration in nanoseconds.
    pub fn run_for(&mut self, duration: Nanos) {
        let until = self.net.now() + duration;
        self.net.run(until, |_, _| {});
    }

    /// Returns, for each publication of the first process since `from`, the time until that version or a newer one was
    /// in force at each of these processes; `None` if it is not in force yet. Assumes that the clocks of the processes
    /// show the network's time.
    pub fn latencies(&self, from: Nanos, ids: &[Id]) -> Vec<Option<Nanos>> {
        let measured = self
            .publications
            .iter()
            .filter(|publication| publication.at >= from && publication.writer == FIRST_WRITER);
        measured
            .flat_map(|publication| ids.iter().map(|id| self.latency(publication, *id)))
            .collect()
    }

    fn latency(&self, publication: &Publication, id: Id) -> Option<Nanos> {
        let installations = &self.net.host(id)?.installations;
        let first =
            installations.partition_point(|installed| installed.version < publication.version);
        let installed = installations.get(first)?;
        Some(installed.at.saturating_sub(publication.at))
    }
}
