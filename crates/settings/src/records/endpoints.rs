//! `nodes(...)` and `desk(...)`: the connections to service discovery and to the control plane, both of which use line
//! protocols.

use super::fields::{read_address, KIB};
use crate::reader::FieldReader;
use crate::site::LineProtocolEndpoint;
use havenplank::interface::EndpointListSettings;
use std::path::PathBuf;

/// The settings of `nodes(...)`.
pub(super) struct Discovery {
    pub(super) endpoint: LineProtocolEndpoint,
    pub(super) list: EndpointListSettings,
    pub(super) cached_list: Option<PathBuf>,
}

pub(super) fn read_discovery(reader: &mut FieldReader) -> Discovery {
    Discovery {
        endpoint: read_endpoint(reader),
        list: read_list(reader),
        cached_list: reader.optional_text("keep").map(PathBuf::from),
    }
}

pub(super) fn read_endpoint(reader: &mut FieldReader) -> LineProtocolEndpoint {
    LineProtocolEndpoint {
        address: read_address(reader, "address"),
        max_line_bytes: reader.size_or("line_bytes", 128..=1 << 20, 4 * KIB) as usize,
    }
}

fn read_list(reader: &mut FieldReader) -> EndpointListSettings {
    let must_watch = reader.flag_or("must_ask", false);
    let max_watch_retry_delay = match must_watch {
        true => reader.duration("ask_within"),
        false => reader.duration_or("ask_within", 0),
    };
    EndpointListSettings {
        must_watch,
        max_watch_retry_delay,
    }
}
