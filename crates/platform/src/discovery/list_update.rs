//! Decodes the endpoint list of discovery: the only place that knows the names of its fields.

use crate::fields::{self, FieldError};
use crate::units::NANOS_PER_MILLI;
use crate::wall_clock::UnixTime;
use havenplank::interface::{Build, Nanos, PodState};
use havenplank_adapter::line::Fields;
use havenplank_line_protocol::codec::MAX_ENDPOINTS;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;

/// The field with the entries of an update.
pub const ENTRIES: &str = "hosts";

/// An update of the endpoint list: the complete list, or the entries that changed.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// The version that the update leads to.
    pub version: u64,
    /// Whether `endpoints` is the complete list.
    pub complete: bool,
    /// The complete list or the changed entries.
    pub endpoints: Vec<ListedEndpoint>,
}

/// Why an update was rejected.
#[derive(Debug, thiserror::Error)]
pub enum UpdateError {
    /// A field outside of the entries is missing or invalid.
    #[error(transparent)]
    Fields(#[from] FieldError),
    /// An entry is invalid.
    #[error("hosts[{index}]: {source}")]
    Entry {
        /// The position of the entry, counted from 0.
        index: usize,
        /// What is wrong with it.
        #[source]
        source: FieldError,
    },
    /// The update has more entries than [`MAX_ENDPOINTS`].
    #[error("hosts: expected at most {MAX_ENDPOINTS}")]
    TooManyEntries,
    /// The decoded entries would hold more memory than they may.
    #[error("hosts: {entries} entries hold more than {max_bytes} bytes; raise limits.memory_mb")]
    TooMuchMemory {
        /// The number of entries decoded so far.
        entries: usize,
        /// The limit, in bytes.
        max_bytes: usize,
    },
    /// The field `hosts` occurs more than once.
    #[error("hosts: expected one array of objects")]
    SeveralArrays,
}

/// Collects the entries of one update as they arrive, and limits the memory that they hold.
pub struct UpdateDecoder {
    endpoints: Vec<ListedEndpoint>,
    held_bytes: usize,
    max_bytes: usize,
}

impl UpdateDecoder {
    /// Creates a decoder whose entries may hold `max_bytes` of memory.
    pub fn new(max_bytes: usize) -> UpdateDecoder {
        UpdateDecoder {
            endpoints: Vec::new(),
            held_bytes: 0,
            max_bytes,
        }
    }

    /// Decodes the next entry; its age is measured at `now`.
    ///
    /// # Errors
    /// Fails if a field is missing or wrong, and if the update has too many entries or holds too much memory.
    pub fn add_entry(&mut self, text: &[u8], now: UnixTime) -> Result<(), UpdateError> {
        let index = self.endpoints.len();
        if index >= MAX_ENDPOINTS {
            return Err(UpdateError::TooManyEntries);
        }
        let entry = fields::parse_object("entry", text)
            .and_then(|entry| decode_endpoint(&entry.fields(), now));
        let endpoint = entry.map_err(|source| UpdateError::Entry { index, source })?;
        self.held_bytes += memory_of(&endpoint);
        if self.held_bytes > self.max_bytes {
            return Err(UpdateError::TooMuchMemory {
                entries: index + 1,
                max_bytes: self.max_bytes,
            });
        }
        self.endpoints.push(endpoint);
        Ok(())
    }

    /// Decodes the rest of the update, in which each entry is an empty object, and returns the complete update. The
    /// decoder is then ready for the next one.
    ///
    /// # Errors
    /// Fails if a field is missing or wrong.
    pub fn finish(&mut self, envelope: &[u8]) -> Result<ListUpdate, UpdateError> {
        let envelope = fields::parse_object("endpoint list", envelope)?;
        let fields = envelope.fields();
        let entries = fields.objects(ENTRIES).map_err(FieldError::from)?.len();
        let update = list_update(&fields, std::mem::take(&mut self.endpoints))?;
        self.held_bytes = 0;
        if entries != update.endpoints.len() {
            return Err(UpdateError::SeveralArrays);
        }
        Ok(update)
    }
}

/// Returns the bytes that a decoded entry holds.
fn memory_of(endpoint: &ListedEndpoint) -> usize {
    let texts = [&endpoint.name, &endpoint.zone, &endpoint.machine];
    let text_bytes: usize = texts.iter().map(|text| text.capacity()).sum();
    size_of::<ListedEndpoint>() + text_bytes
}

/// Decodes a complete update; ages are measured at `now`.
///
/// # Errors
/// Fails at the first field that is missing or wrong, and on a list of more than [`MAX_ENDPOINTS`].
pub fn decode(fields: &Fields, now: UnixTime) -> Result<ListUpdate, FieldError> {
    let hosts = fields.objects(ENTRIES)?;
    if hosts.len() > MAX_ENDPOINTS {
        return Err(fields::invalid(fields, ENTRIES, "expected at most 65536"));
    }
    let endpoints = hosts
        .iter()
        .map(|host| decode_endpoint(host, now))
        .collect::<Result<_, _>>()?;
    list_update(fields, endpoints)
}

fn list_update(fields: &Fields, endpoints: Vec<ListedEndpoint>) -> Result<ListUpdate, FieldError> {
    Ok(ListUpdate {
        version: fields.integer("seq")?,
        complete: fields.flag("whole")?,
        endpoints,
    })
}

fn decode_endpoint(host: &Fields, now: UnixTime) -> Result<ListedEndpoint, FieldError> {
    let state = decode_state(host)?;
    let started_ms = host.integer_or("born_ms", 0)?;
    let address = host.text("dial")?.parse();
    let address =
        address.map_err(|_| fields::invalid(host, "dial", "expected an IP address with a port"))?;
    let build = host
        .integer_or("revision_no", 0)?
        .min(u64::from(Build::MAX));
    Ok(ListedEndpoint {
        name: host.text("host")?.to_string(),
        address,
        state,
        build: build as Build,
        incarnation: started_ms,
        age: age(started_ms, now),
        zone: host.optional_text("site")?.unwrap_or_default().to_string(),
        machine: host.optional_text("class")?.unwrap_or_default().to_string(),
        cell: host.integer_or("block", 0)? as i64,
        size: host.number_or("share", 1.0)?,
    })
}

fn decode_state(host: &Fields) -> Result<PodState, FieldError> {
    match host.text("health")? {
        "active" => Ok(PodState::Running),
        "leaving" => Ok(PodState::Draining),
        "left" => Ok(PodState::Gone),
        _ => Err(fields::invalid(
            host,
            "health",
            "expected active, leaving or left",
        )),
    }
}

/// Returns how long ago a pod's process started. 0 means long ago, both on the wire and in the result.
fn age(started_ms: u64, now: UnixTime) -> Nanos {
    if started_ms == 0 {
        return 0;
    }
    let started = started_ms.saturating_mul(NANOS_PER_MILLI);
    now.nanos().saturating_sub(started).max(1)
}
