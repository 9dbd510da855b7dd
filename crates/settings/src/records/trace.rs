//! `trace(...)`: the recording of requests and decisions to files.

use super::fields::{KIB, SECOND};
use crate::reader::FieldReader;
use crate::site::TraceSettings;
use std::path::PathBuf;

/// Reads the settings of the recording. Returns `None` if no folder is set, in which case nothing is recorded.
pub(super) fn read(reader: &mut FieldReader) -> Option<TraceSettings> {
    let folder = reader.optional_text("folder").map(PathBuf::from);
    let trace = TraceSettings {
        folder: folder.clone().unwrap_or_default(),
        share: reader.number_or("share", 0.0..=1.0, 1.0),
        queue_bytes: reader.size_or("queue_bytes", 256 * KIB..=1 << 30, 8 << 20) as usize,
        file_bytes: reader.size_or("file_bytes", 64 * KIB..=1 << 40, 256 << 20),
        file_age: match reader.has("file_age") {
            true => reader.positive_duration("file_age"),
            false => reader.duration_or("file_age", 3_600 * SECOND),
        },
        total_bytes: reader.size_or("total_bytes", 64 * KIB..=1 << 44, 4 << 30),
    };
    if trace.total_bytes < trace.file_bytes {
        let found = format!("found {}", trace.total_bytes);
        reader.report("total_bytes", found, "at least file_bytes");
    }
    folder.map(|_| trace)
}
