//! `pods(...)`: how pods warm up, drain and become overloaded, and the limits on connections to them.

use super::fields::{read_header, MS, SECOND};
use crate::reader::FieldReader;
use crate::site::UpstreamSettings;
use havenplank::interface::PodSettings;

/// The settings of `pods(...)`.
pub(super) struct Pods {
    pub(super) settings: PodSettings,
    pub(super) upstream: UpstreamSettings,
}

pub(super) fn read(reader: &mut FieldReader) -> Pods {
    Pods {
        settings: PodSettings {
            drain_grace: reader.duration("drain_grace"),
            initial_capacity: reader.number("cold_share", 0.001..=1.0),
            warm_up: reader.duration("warm_up"),
            overload_multiple: reader.number("fall_multiple", 1.0..=1000.0),
            overload_window: reader.duration("fall_window"),
            health_checks: reader.flag_or("probes", false),
        },
        upstream: read_upstream(reader),
    }
}

fn read_upstream(reader: &mut FieldReader) -> UpstreamSettings {
    UpstreamSettings {
        connect_timeout: reader.duration_or("connect_time", 250 * MS),
        max_connections_per_pod: reader.integer_or("connections", 1..=65_536, 64) as usize,
        idle_timeout: reader.duration_or("idle", 30 * SECOND),
        unprocessed_status: reader.integer_or("unseen_status", 400..=599, 503) as u16,
        unprocessed_header: read_header(reader, "unseen_header", "x-never-ran"),
        load_reports: reader.flag_or("load_reports", false),
        health_check_path: reader
            .optional_text("probe_path")
            .unwrap_or_else(|| "/".to_string()),
    }
}
