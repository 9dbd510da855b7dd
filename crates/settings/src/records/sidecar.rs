//! `sidecar(...)`: the sidecar's name, its position in the fleet and the addresses on which it listens.

use super::fields::read_address;
use crate::reader::FieldReader;
use havenplank::interface::FleetPosition;
use std::net::SocketAddr;

/// The zone that the distributors of a configuration announce to their peers. No sidecar may be in it.
pub const DISTRIBUTOR_ZONE: &str = "distributor";
const MAX_INSTANCES: u64 = 1_000_000;

/// The settings of `sidecar(...)`.
pub(super) struct Sidecar {
    pub(super) name: String,
    pub(super) position: FleetPosition,
    pub(super) zones: Vec<String>,
    pub(super) machines: Vec<String>,
    pub(super) tenants: Vec<String>,
    pub(super) listen: SocketAddr,
    pub(super) admin: SocketAddr,
}

pub(super) fn read(reader: &mut FieldReader) -> Sidecar {
    let name = read_name(reader);
    let instances = reader.integer("instances", 1..=MAX_INSTANCES) as usize;
    let rank = read_rank(reader, instances);
    let zones = reader.text_list("zones");
    let machines = reader.text_list_or_empty("machines");
    let tenants = reader.text_list_or_empty("customers");
    let zone = read_zone(reader, &zones);
    Sidecar {
        name,
        position: FleetPosition {
            rank,
            instances,
            zone,
        },
        zones,
        machines,
        tenants,
        listen: read_address(reader, "listen"),
        admin: read_address(reader, "admin"),
    }
}

fn read_name(reader: &mut FieldReader) -> String {
    let name = reader.text("name");
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-._".contains(c);
    if !name.chars().all(is_allowed) {
        let found = format!("found {name:?}");
        reader.report("name", found, "only letters, digits, -, . and _");
    }
    name
}

/// Reads the rank. It determines which pods a sidecar uses, so it is optional only if there is a single sidecar.
fn read_rank(reader: &mut FieldReader, instances: usize) -> usize {
    let rank = match instances {
        0 | 1 => reader.integer_or("rank", 0..=0, 0),
        instances => reader.integer("rank", 0..=instances as u64 - 1),
    };
    rank as usize
}

/// Reads the sidecar's own zone and returns its index in `zones`.
fn read_zone(reader: &mut FieldReader, zones: &[String]) -> usize {
    let zone = reader.text("zone");
    if zones.iter().any(|zone| zone == DISTRIBUTOR_ZONE) {
        let found = format!("found {DISTRIBUTOR_ZONE:?}");
        reader.report(
            "zones",
            found,
            "another name, as this one is reserved for distributors",
        );
        return 0;
    }
    let index = zones.iter().position(|known| *known == zone);
    if index.is_none() {
        reader.report("zone", format!("found {zone:?}"), "one of zones");
    }
    index.unwrap_or(0)
}
