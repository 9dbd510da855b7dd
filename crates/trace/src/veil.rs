//! Names replaced by stand-ins, the same for the same name, from which nothing of the name can be told.

use crate::file::{Reader, TraceError, Writer};
use crate::record::{Card, Head, Record, Standing, What};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_sidecar::engine::Effect;
use havenplank_sidecar::events::Event;
use std::collections::HashMap;
use std::io::{Read, Seek, Write};
use std::net::{IpAddr, Ipv6Addr, SocketAddr};
use std::sync::Arc;

/// Cards whose stand-ins are kept; more than that and they are made anew.
const CARDS: usize = 1 << 16;

/// The key of one call. Whoever has it can tell whether a name that he guesses is in the trace.
pub type Key = [u8; 32];

/// # Errors
/// The system has no chance to give.
pub fn draw_key() -> Result<Key, TraceError> {
    let mut key = [0; 32];
    getrandom::fill(&mut key)
        .map_err(|error| TraceError::Unfit(format!("no key to be drawn: {error}")))?;
    Ok(key)
}

struct Veil {
    key: Key,
    cards: HashMap<Arc<Card>, Arc<Card>>,
}

impl Veil {
    /// A keyed hash of the name; `of` keeps kinds of names apart.
    fn hash(&self, of: &str, name: &[u8]) -> [u8; 32] {
        let mut hash = blake3::Hasher::new_keyed(&self.key);
        hash.update(of.as_bytes()).update(&[0]).update(name);
        *hash.finalize().as_bytes()
    }

    fn number(&self, of: &str, value: u64) -> u64 {
        self.hash(of, &value.to_le_bytes())
            .first_chunk()
            .map_or(1, |chunk| u64::from_le_bytes(*chunk))
            .max(1)
    }

    /// All stand-ins of a kind have one length.
    fn name(&self, of: &str, name: &str) -> String {
        let digits: String = self.hash(of, name.as_bytes())[..10]
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect();
        format!("{of}-{digits}")
    }

    /// An address of the range for local use (fd00::/8), as no other is sure to be nobody's.
    fn address(&self, address: SocketAddr) -> SocketAddr {
        let hash = self.hash("address", address.ip().to_string().as_bytes());
        let mut ip = [0xfd; 16];
        ip[1..].copy_from_slice(&hash[..15]);
        let port = u16::from_le_bytes([hash[15], hash[16]]) ^ address.port();
        // Of one machine, two ports stay two.
        SocketAddr::new(IpAddr::V6(Ipv6Addr::from(ip)), port)
    }

    fn key(&self, key: u64) -> u64 {
        // 0 is no key, and says nothing of one.
        if key == 0 {
            0
        } else {
            self.number("key", key)
        }
    }

    fn pod(&self, pod: &mut ListedEndpoint) {
        pod.name = self.name("pod", &pod.name);
        pod.address = self.address(pod.address);
        pod.incarnation = self.number("life", pod.incarnation);
        pod.zone = self.name("zone", &pod.zone);
        pod.machine = self.name("machine", &pod.machine);
    }

    fn card(&mut self, card: &Arc<Card>) -> Arc<Card> {
        if let Some(known) = self.cards.get(card) {
            return known.clone();
        }
        if self.cards.len() >= CARDS {
            self.cards.clear();
        }
        let (name, zone) = (self.name("pod", &card.name), self.name("zone", &card.zone));
        let veiled = Arc::new(Card {
            name,
            zone,
            ..(**card).clone()
        });
        self.cards.insert(card.clone(), veiled.clone());
        veiled
    }

    fn head(&self, head: &Head) -> Head {
        let mut sources = head.sources.clone();
        for source in &mut sources {
            let terms = &mut source.terms;
            terms.name = self.name("sidecar", &terms.name);
            let veil = |names: &mut Vec<String>, of| {
                names
                    .iter_mut()
                    .for_each(|name| *name = self.name(of, name))
            };
            veil(&mut terms.zones, "zone");
            veil(&mut terms.machines, "machine");
            veil(&mut terms.tenants, "customer");
            terms
                .route_classes
                .iter_mut()
                .for_each(|(name, _)| *name = self.name("group", name));
        }
        // Anew: a fingerprint of the names themselves could be guessed at.
        Head {
            anonymised: true,
            merged: head.merged,
            ..Head::new(sources)
        }
    }

    fn record(&mut self, record: &mut Record) {
        record.pod = record.pod.take().map(|card| self.card(&card));
        match &mut record.what {
            What::Event(Event::RequestArrived {
                attributes: asked, ..
            }) => asked.key = self.key(asked.key),
            What::Event(Event::EndpointsListed { pods, .. }) => {
                pods.iter_mut().for_each(|pod| self.pod(pod))
            }
            What::Effect(Effect::Log(text)) => *text = self.name("log", text),
            _ => {}
        }
    }
}

/// Copies a trace with stand-ins in place of the names of sidecars, pods, zones, machines, path groups and
/// tenants, of keys, addresses, pods' lives and log texts. Numbers, times and the order of records stay, so
/// it plays as before.
///
/// # Errors
/// Damage met on the way, after all before it was copied; the output's own.
pub fn anonymise<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>,
    out: W,
    key: Key,
) -> Result<u64, TraceError> {
    let mut veil = Veil {
        key,
        cards: HashMap::new(),
    };
    let head = veil.head(&reader.head);
    let mut writer = Writer::new(out, &head, Vec::<Standing>::new())?;
    let mut count = 0;
    let damage = loop {
        match reader.record() {
            Ok(Some(mut record)) => {
                veil.record(&mut record);
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
