//! Measures the encoded size, memory use and speed of a configuration of the planned size: 400 services, 4,500 routes,
//! 150,000 tenants.

use havenplank_configuration::chunk::{next_chunk, Chunk};
use havenplank_configuration::compile::compile;
use havenplank_configuration::delta::{Change, Delta};
use havenplank_configuration::record::{Record, Tenant, TenantLimits};
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::version::Version;
use havenplank_settings::Given;
use std::hint::black_box;
use std::time::Instant;

const TENANTS: usize = 150_000;
const LOOKUPS: usize = 3_000_000;
const APPLIED_DELTAS: u64 = 1_000;
const PAGE_BYTES: usize = 4096;
const SCRIPT: &str = r#"
for n in range(400):
    service(name = "service-%d" % n, zones = ["zone-a", "zone-b", "zone-c"])
for n in range(4500):
    route(name = "route-%d" % n, service = "service-%d" % (n % 400), methods = ["GET"],
          paths = ["/service-%d/route-%d/*" % (n % 400, n)], kind = "idempotent", latency_target = "100ms",
          deadline = "2s")
tenants(file = "tenants.jsonl")
"#;

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}

fn tenant(number: usize, requests_per_s: u32) -> Tenant {
    let limits = TenantLimits {
        requests_per_s: Some(requests_per_s),
        in_flight: Some(50),
    };
    Tenant {
        name: format!("tenant-{number:06}"),
        limits,
    }
}

fn lookups_per_s(snapshot: &Snapshot, tenants: usize) -> f64 {
    let names: Vec<String> = (0..tenants).map(|number| tenant(number, 1).name).collect();
    let started = Instant::now();
    let found = (0..LOOKUPS).filter(|index| {
        let name = &names[(index * 7919) % tenants];
        black_box(snapshot.tenant(black_box(name))).is_some()
    });
    assert_eq!(found.count(), LOOKUPS);
    LOOKUPS as f64 / started.elapsed().as_secs_f64()
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let folder = tempfile::tempdir()?;
    let script = folder.path().join("fleet.star");
    std::fs::write(&script, SCRIPT)?;
    let line = |n| {
        format!(
            "{{\"name\": \"tenant-{n:06}\", \"requests_per_s\": {}, \"in_flight\": 50}}\n",
            n % 977
        )
    };
    std::fs::write(
        folder.path().join("tenants.jsonl"),
        (0..TENANTS).map(line).collect::<String>(),
    )?;
    let started = Instant::now();
    let compiled = compile(
        &script,
        &Given::new(),
        Version {
            epoch: 1,
            number: 1,
        },
    )?;
    println!("compile_ms {}", started.elapsed().as_millis());

    let full_delta = Snapshot::empty().delta_to(&compiled, compiled.version());
    println!("encoded_bytes {}", full_delta.encode().len());
    let wanted: Vec<u16> = (0..1024).collect();
    let (mut sent, mut chunks) = (0, Vec::<Chunk>::new());
    while let Some(chunk) = next_chunk(&compiled, &wanted[sent..]) {
        sent += chunk.buckets.len();
        chunks.push(chunk);
    }
    println!(
        "compressed_bytes {}",
        chunks.iter().map(|chunk| chunk.body.len()).sum::<usize>()
    );
    println!("chunks {}", chunks.len());

    let records: Vec<Record> = compiled.records().cloned().collect();
    let before = resident_bytes();
    let copy = Snapshot::from_records(compiled.version(), records.iter().cloned())?;
    println!(
        "snapshot_resident_bytes {}",
        resident_bytes().saturating_sub(before)
    );

    let mut current = copy;
    let mut bytes = 0;
    let mut elapsed = std::time::Duration::ZERO;
    for index in 0..APPLIED_DELTAS {
        let change = Change::Put(tenant(index as usize * 149, 5_000).into());
        let digest_after = match &change {
            Change::Put(record) => {
                let mut digest = current.digest();
                if let Some(old) = current.get(&record.key()) {
                    digest.remove(old);
                }
                digest.add(record);
                digest
            }
            Change::Remove(_) => current.digest(),
        };
        let to = current.version().next();
        let delta = Delta {
            from: current.version(),
            to,
            digest: digest_after,
            changes: vec![change],
        };
        bytes = delta.encode().len();
        let started = Instant::now();
        current = current.apply(&delta)?;
        elapsed += started.elapsed();
    }
    println!("one_tenant_delta_bytes {bytes}");
    println!(
        "apply_one_change_us {:.1}",
        elapsed.as_secs_f64() * 1e6 / APPLIED_DELTAS as f64
    );
    println!(
        "lookups_per_s_of_150000 {:.0}",
        lookups_per_s(&current, TENANTS)
    );
    let small = Snapshot::from_records(
        Version::NONE,
        (0..100).map(|number| tenant(number, 1).into()),
    )?;
    println!("lookups_per_s_of_100 {:.0}", lookups_per_s(&small, 100));
    Ok(())
}
