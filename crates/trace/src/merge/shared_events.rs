//! The events that several sidecars receive at about the same time, by which their clocks are aligned.

use crate::file::{Reader, TraceError};
use crate::record::{Payload, Record, Source};
use havenplank::interface::{Nanos, Stage};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_sidecar::events::Event;
use std::collections::HashMap;
use std::io::{Read, Seek};

/// The number of shared events of a source that are compared; later events are ignored, as these are enough.
const MAX_EVENTS: usize = 4_096;

/// An event that several sidecars receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum SharedEvent {
    /// A stage of a release.
    Stage { build: u64, stage: u64, phase: u64 },
    /// A state change of a pod's incarnation.
    Pod {
        name_hash: u64,
        incarnation: u64,
        state: u64,
    },
}

/// When a source first received each shared event, in nanoseconds since 1970 on its wall clock.
pub(super) type FirstReceived = HashMap<SharedEvent, i128>;

/// Converts a time on the clock of a source's engine to its wall clock, in nanoseconds since 1970.
pub(super) fn wall_time(source: &Source, own: Nanos) -> i128 {
    source.wall_start as i128 + own as i128 - source.engine_start as i128
}

/// Reads the shared events of each source of a file; blocks without shared events are not read.
pub(super) fn shared_events<R: Read + Seek>(
    reader: &mut Reader<R>,
) -> Result<Vec<FirstReceived>, TraceError> {
    let sources = reader.head.sources.clone();
    let mut received = vec![FirstReceived::new(); sources.len()];
    for block in 0..reader.index.len() {
        if reader.index[block].shared > 0 {
            read_block(reader, block, &sources, &mut received)?;
        }
    }
    Ok(received)
}

fn read_block<R: Read + Seek>(
    reader: &mut Reader<R>,
    block: usize,
    sources: &[Source],
    received: &mut [FirstReceived],
) -> Result<(), TraceError> {
    let mut remaining = reader.index[block].records as u64;
    reader.seek(block);
    while remaining > 0 {
        let skipped_before = reader.skipped();
        let Some(record) = reader.record()? else {
            break;
        };
        let skipped = reader.skipped() - skipped_before;
        remaining = remaining.saturating_sub(1 + skipped);
        let at = wall_time(&sources[record.source], record.engine_time);
        let received = &mut received[record.source];
        if received.len() < MAX_EVENTS {
            add_events(received, &record, at);
        }
    }
    Ok(())
}

fn add_events(received: &mut FirstReceived, record: &Record, at: i128) {
    match &record.payload {
        Payload::Event(Event::StageChanged(stage)) => {
            received.entry(stage_event(stage)).or_insert(at);
        }
        // A complete list repeats earlier states; only changes reach all sidecars at about the same time.
        Payload::Event(Event::EndpointsListed {
            complete: false,
            pods,
            ..
        }) => {
            for pod in pods {
                received.entry(pod_event(pod)).or_insert(at);
            }
        }
        _ => {}
    }
}

fn stage_event(stage: &Stage) -> SharedEvent {
    SharedEvent::Stage {
        build: stage.build as u64,
        stage: stage.stage as u64,
        phase: stage.phase as u64,
    }
}

fn pod_event(pod: &ListedEndpoint) -> SharedEvent {
    SharedEvent::Pod {
        name_hash: hash(&pod.name),
        incarnation: pod.incarnation,
        state: pod.state as u64,
    }
}

/// Returns a hash of a text that is the same in every process.
fn hash(text: &str) -> u64 {
    let hash = blake3::hash(text.as_bytes());
    let start = hash.as_bytes().first_chunk();
    start.map_or(0, |chunk| u64::from_le_bytes(*chunk))
}
