//! Decodes the endpoint list of discovery: the only place that knows the names of its fields.

use crate::fields::{self, FieldError};
use crate::units::NANOS_PER_MILLI;
use crate::wall_clock::UnixTime;
use havenplank::interface::{Build, Nanos, PodState};
use havenplank_adapter::line::Fields;
use havenplank_line_protocol::codec::MAX_ENDPOINTS;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;

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

/// Decodes one update; ages are measured at `now`.
///
/// # Errors
/// Fails at the first field that is missing or wrong, and on a list of more than [`MAX_ENDPOINTS`].
pub fn decode(fields: &Fields, now: UnixTime) -> Result<ListUpdate, FieldError> {
    let hosts = fields.objects("hosts")?;
    if hosts.len() > MAX_ENDPOINTS {
        return Err(fields::invalid(fields, "hosts", "expected at most 65536"));
    }
    let endpoints = hosts
        .iter()
        .map(|host| decode_endpoint(host, now))
        .collect::<Result<_, _>>()?;
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
