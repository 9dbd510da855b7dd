//! Anonymises a trace: replaces every name by a pseudonym. Equal names have equal pseudonyms, and a pseudonym reveals
//! nothing about its name.

use crate::file::{Reader, TraceError, Writer};
use crate::record::{Head, Payload, PodSnapshot, Record, StageInForce};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_sidecar::engine::Effect;
use havenplank_sidecar::events::Event;
use std::collections::HashMap;
use std::io::{Read, Seek, Write};
use std::net::{IpAddr, Ipv6Addr, SocketAddr};
use std::sync::Arc;

/// Anonymised pods in the cache; a full cache is cleared.
const MAX_CACHED_PODS: usize = 1 << 16;

/// The key of the pseudonyms. With the key, a guessed name can be checked for being in the trace.
pub type Key = [u8; 32];

/// Bytes of the hash in a pseudonym, each written as two hexadecimal digits.
const PSEUDONYM_BYTES: usize = 10;

/// Returns a random key.
///
/// # Errors
/// The operating system returns no random bytes.
pub fn random_key() -> Result<Key, TraceError> {
    let mut key = [0; 32];
    getrandom::fill(&mut key).map_err(|error| {
        TraceError::Unusable(format!(
            "the operating system returned no random bytes for a key: {error}"
        ))
    })?;
    Ok(key)
}

struct Anonymiser {
    key: Key,
    /// The anonymised form of each pod seen since the cache was cleared.
    pods: HashMap<Arc<PodSnapshot>, Arc<PodSnapshot>>,
}

impl Anonymiser {
    /// Returns a keyed hash of a name; equal names of different `kind` have different hashes.
    fn hash(&self, kind: &str, name: &[u8]) -> [u8; 32] {
        let mut hash = blake3::Hasher::new_keyed(&self.key);
        hash.update(kind.as_bytes()).update(&[0]).update(name);
        *hash.finalize().as_bytes()
    }

    /// Returns a pseudonym for a number, which is never 0.
    fn number(&self, kind: &str, value: u64) -> u64 {
        self.hash(kind, &value.to_le_bytes())
            .first_chunk()
            .map_or(1, |chunk| u64::from_le_bytes(*chunk))
            .max(1)
    }

    /// Returns a pseudonym for a name; all pseudonyms of a kind have the same length.
    fn name(&self, kind: &str, name: &str) -> String {
        let digits: String = self.hash(kind, name.as_bytes())[..PSEUDONYM_BYTES]
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect();
        format!("{kind}-{digits}")
    }

    /// Returns an address in the IPv6 range for local use (fd00::/8), which is never assigned publicly.
    fn address(&self, address: SocketAddr) -> SocketAddr {
        let hash = self.hash("address", address.ip().to_string().as_bytes());
        let mut ip = [0xfd; 16];
        ip[1..].copy_from_slice(&hash[..15]);
        let port = u16::from_le_bytes([hash[15], hash[16]]) ^ address.port();
        // Different ports of one address remain different.
        SocketAddr::new(IpAddr::V6(Ipv6Addr::from(ip)), port)
    }

    fn idempotency_key(&self, key: u64) -> u64 {
        // 0 means that there is no key.
        if key == 0 {
            0
        } else {
            self.number("key", key)
        }
    }

    fn endpoint(&self, endpoint: &mut ListedEndpoint) {
        endpoint.name = self.name("pod", &endpoint.name);
        endpoint.address = self.address(endpoint.address);
        endpoint.incarnation = self.number("life", endpoint.incarnation);
        endpoint.zone = self.name("zone", &endpoint.zone);
        endpoint.machine = self.name("machine", &endpoint.machine);
    }

    fn pod(&mut self, snapshot: &Arc<PodSnapshot>) -> Arc<PodSnapshot> {
        if let Some(known) = self.pods.get(snapshot) {
            return known.clone();
        }
        if self.pods.len() >= MAX_CACHED_PODS {
            self.pods.clear();
        }
        let (name, zone) = (
            self.name("pod", &snapshot.name),
            self.name("zone", &snapshot.zone),
        );
        let anonymised = Arc::new(PodSnapshot {
            name,
            zone,
            ..(**snapshot).clone()
        });
        self.pods.insert(snapshot.clone(), anonymised.clone());
        anonymised
    }

    fn head(&self, head: &Head) -> Head {
        let mut sources = head.sources.clone();
        for source in &mut sources {
            let settings = &mut source.settings;
            settings.name = self.name("sidecar", &settings.name);
            let replace = |names: &mut Vec<String>, kind| {
                names
                    .iter_mut()
                    .for_each(|name| *name = self.name(kind, name))
            };
            replace(&mut settings.zones, "zone");
            replace(&mut settings.machines, "machine");
            replace(&mut settings.tenants, "customer");
            settings
                .route_classes
                .iter_mut()
                .for_each(|(name, _)| *name = self.name("group", name));
        }
        // The new head has a new hash of the settings: with the hash of the original settings, guessed names could be
        // checked.
        Head {
            anonymised: true,
            merged: head.merged,
            ..Head::new(sources)
        }
    }

    fn record(&mut self, record: &mut Record) {
        record.pod = record.pod.take().map(|snapshot| self.pod(&snapshot));
        match &mut record.payload {
            Payload::Event(Event::RequestArrived { attributes, .. }) => {
                attributes.key = self.idempotency_key(attributes.key)
            }
            Payload::Event(Event::EndpointsListed { pods, .. }) => {
                pods.iter_mut().for_each(|pod| self.endpoint(pod))
            }
            Payload::Effect(Effect::Log(text)) => *text = self.name("log", text),
            _ => {}
        }
    }
}

/// Copies a trace with pseudonyms in place of the names of sidecars, pods, zones, machines, route classes and tenants,
/// of idempotency keys, addresses, pods' incarnations and log texts. Counts, times and the order of records do not
/// change, so that the replay of the copy has the same result. Returns the number of records.
///
/// # Errors
/// Damage in the trace, after all records before it were copied; errors of the output.
pub fn anonymise<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>,
    out: W,
    key: Key,
) -> Result<u64, TraceError> {
    let mut anonymiser = Anonymiser {
        key,
        pods: HashMap::new(),
    };
    let head = anonymiser.head(&reader.head);
    let mut writer = Writer::new(out, &head, Vec::<StageInForce>::new())?;
    let mut count = 0;
    let damage = loop {
        match reader.record() {
            Ok(Some(mut record)) => {
                anonymiser.record(&mut record);
                writer.put(record)?;
                count += 1;
            }
            Ok(None) => break None,
            Err(error) => break Some(error),
        }
    };
    writer.finish()?;
    damage.map_or(Ok(count), Err)
}
