//! `sidecar(...)`: its name, its place in the fleet and where it listens.

use super::fields::read_address;
use crate::reader::FieldReader;
use havenplank::interface::FleetPosition;
use std::net::SocketAddr;

/// The zone that distributors of a configuration tell their peers; no sidecar is in it.
pub const DISTRIBUTOR_ZONE: &str = "distributor";
const MAX_INSTANCES: u64 = 1_000_000;

/// What `sidecar(...)` states.
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
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-._".contains(c);
    if !name.chars().all(is_plain) {
        let found = format!("found {name:?}");
        reader.report("name", found, "letters, digits, -, . and _");
    }
    name
}

/// Reads the rank. Which pods a sidecar keeps to follows from it, so it may only be left out where there is one sidecar.
fn read_rank(reader: &mut FieldReader, instances: usize) -> usize {
    let rank = match instances {
        0 | 1 => reader.integer_or("rank", 0..=0, 0),
        many => reader.integer("rank", 0..=many as u64 - 1),
    };
    rank as usize
}

/// Reads the own zone, as its place among all zones.
fn read_zone(reader: &mut FieldReader, zones: &[String]) -> usize {
    let zone = reader.text("zone");
    if zones.iter().any(|zone| zone == DISTRIBUTOR_ZONE) {
        let found = format!("found {DISTRIBUTOR_ZONE:?}");
        reader.report("zones", found, "another name, as distributors have it");
        return 0;
    }
    let place = zones.iter().position(|known| *known == zone);
    if place.is_none() {
        reader.report("zone", format!("found {zone:?}"), "one of zones");
    }
    place.unwrap_or(0)
}
