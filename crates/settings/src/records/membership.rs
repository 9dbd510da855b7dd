//! `fellowship(...)`, `takeover(...)` and `configuration(...)`: what a sidecar does together with its peers.

use super::calls::Calls;
use super::fields::{check_peer_duration, read_address, KIB, MS, SECOND};
use crate::reader::FieldReader;
use crate::site::{ConfigurationSettings, MembershipSettings, TakeoverSettings};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Fields that belonged to `takeover(...)` before `fellowship(...)` existed.
const MOVED_FROM_TAKEOVER: [&str; 5] = ["listen", "advertise", "meet", "keys", "period"];
/// The highest rate limit for fetching or serving a configuration, in bytes per second.
const MAX_BYTES_PER_S: u64 = 1 << 30;
const DEFAULT_BYTES_PER_S: u64 = 8_000;
/// The largest limit on backed up requests, and on records held for peers, that the settings accept.
const MAX_RECORDS: u64 = 1_000_000;

/// The settings for work with peers; each is `None` if the script does not call its record function.
pub(super) struct PeerSettings {
    pub(super) membership: Option<MembershipSettings>,
    pub(super) takeover: Option<TakeoverSettings>,
    pub(super) configuration: Option<ConfigurationSettings>,
}

pub(super) fn read(calls: &mut Calls) -> PeerSettings {
    let membership = calls.read_if_called("fellowship", read_membership);
    let has_membership = membership.is_some();
    let takeover = calls.read_if_called("takeover", |reader| {
        let takeover = read_takeover(reader);
        require_membership(
            reader,
            has_membership,
            "fellowship(...), as backups are chosen among its members",
        );
        takeover
    });
    let configuration = calls.read_if_called("configuration", |reader| {
        let configuration = read_configuration(reader);
        let expected = "fellowship(...), as peers send the configuration";
        require_membership(reader, has_membership, expected);
        configuration
    });
    PeerSettings {
        membership,
        takeover,
        configuration,
    }
}

fn require_membership(reader: &mut FieldReader, has_membership: bool, expected: &str) {
    if !has_membership {
        reader.report("fellowship", "no call of fellowship(...)", expected);
    }
}

fn read_membership(reader: &mut FieldReader) -> MembershipSettings {
    let listen = read_address(reader, "listen");
    let seeds = reader.text_list_or_empty("meet");
    let seeds = seeds
        .iter()
        .filter_map(|text| parse_peer(reader, "meet", text))
        .collect();
    let advertise = reader
        .optional_text("advertise")
        .and_then(|text| parse_peer(reader, "advertise", &text));
    let keys = PathBuf::from(reader.text("keys"));
    let probe_interval = reader.duration_or("period", 500 * MS);
    check_peer_duration(reader, "period", probe_interval);
    MembershipSettings {
        listen,
        advertise,
        seeds,
        keys,
        probe_interval,
    }
}

fn parse_peer(reader: &mut FieldReader, field: &'static str, text: &str) -> Option<SocketAddr> {
    let parsed = text.parse().ok();
    if parsed.is_none() {
        let expected = "IP addresses with a port, such as \"127.0.0.1:7002\"";
        reader.report(field, format!("found {text:?}"), expected);
    }
    parsed
}

fn read_takeover(reader: &mut FieldReader) -> TakeoverSettings {
    for moved in MOVED_FROM_TAKEOVER {
        if reader.accept(moved) {
            let expected = format!("fellowship({moved} = ...), which is a separate call");
            reader.report(moved, "found in takeover(...)", expected);
        }
    }
    let takeover = TakeoverSettings {
        backups: reader.integer_or("guardians", 1..=7, 3) as usize,
        lease: reader.duration_or("lease", 600 * MS),
        response_retention: reader.duration_or("keep", 5 * SECOND),
        max_in_flight: reader.integer_or("held", 1..=MAX_RECORDS, 20_000) as usize,
        max_records: reader.integer_or("kept", 1..=MAX_RECORDS, 60_000) as usize,
        max_record_bytes: reader.size_or("kept_bytes", KIB..=1 << 40, 256 << 20) as usize,
    };
    check_peer_duration(reader, "lease", takeover.lease);
    takeover
}

fn read_configuration(reader: &mut FieldReader) -> ConfigurationSettings {
    let rates = KIB..=MAX_BYTES_PER_S;
    ConfigurationSettings {
        cache_folder: PathBuf::from(reader.text("keep")),
        fetch_bytes_per_s: reader.size_or("fetch_bytes_per_s", rates.clone(), DEFAULT_BYTES_PER_S),
        serve_bytes_per_s: reader.size_or("serve_bytes_per_s", rates, DEFAULT_BYTES_PER_S),
    }
}
