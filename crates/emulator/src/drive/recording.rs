//! Reads the script of a drive from a trace.

use super::error::DriveError;
use super::script::{
    Notification, RecordedAttempt, RecordedRequest, Script, TimedAttempt, TimedNotification,
};
use havenplank::interface::{Build, Nanos, RequestId};
use havenplank_sidecar::engine::{Effect, RequestAttributes};
use havenplank_sidecar::events::Event;
use havenplank_trace::{Payload, Reader, Record};
use std::collections::HashMap;
use std::io::{Read, Seek};

/// Maximum number of requests of one drive. A drive is held in memory, so a longer trace must be cut first.
const MAX_REQUESTS: usize = 1_000_000;

/// One attempt of a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct AttemptKey {
    request: RequestId,
    attempt: u32,
}

/// When an attempt was sent, and to which build.
struct SentAttempt {
    at: Nanos,
    build: Build,
}

/// Reads a script, and keeps the attempts that have not ended yet.
struct ScriptReader {
    script: Script,
    in_flight: HashMap<AttemptKey, SentAttempt>,
}

/// Reads the script of source `number`.
///
/// # Errors
/// A damaged trace, or one without requests or with more than [`MAX_REQUESTS`].
pub(super) fn read_script<R: Read + Seek>(
    reader: &mut Reader<R>,
    number: usize,
) -> Result<Script, DriveError> {
    let source = reader.head.sources[number].clone();
    let mut script_reader = ScriptReader {
        script: Script::new(source),
        in_flight: HashMap::new(),
    };
    let mut began = None;
    while let Some(record) = reader.record()? {
        if record.source != number {
            continue;
        }
        if began.is_none() {
            began = Some(record.engine_time);
            // A cut trace begins with the stage that was in force.
            let standing = reader
                .stages_in_force
                .iter()
                .find(|standing| standing.source == number);
            if let Some(standing) = standing {
                script_reader.notify(Notification::Stage(standing.stage));
            }
        }
        script_reader.script.length = record
            .engine_time
            .saturating_sub(began.unwrap_or(record.engine_time));
        script_reader.read_record(record)?;
    }
    let mut script = script_reader.script;
    if script.requests.is_empty() {
        return Err(DriveError::UnsuitableTrace(
            "the trace has no requests; expected at least one".to_string(),
        ));
    }
    if !script.has_complete_list() {
        script.list_pods_of_builds();
    }
    Ok(script)
}

impl ScriptReader {
    fn notify(&mut self, notification: Notification) {
        let at = self.script.length;
        self.script
            .notifications
            .push(TimedNotification { at, notification });
    }

    fn read_record(&mut self, record: Record) -> Result<(), DriveError> {
        match record.payload {
            Payload::Event(Event::RequestArrived {
                request,
                attributes,
            }) => self.read_request(request, attributes)?,
            Payload::Event(Event::FaultReported {
                route_class, ago, ..
            }) => {
                let pod = record.pod.map(|pod| pod.name.clone()).unwrap_or_default();
                self.notify(Notification::Fault {
                    pod,
                    route_class,
                    ago,
                });
            }
            Payload::Event(event) => self.read_event(event),
            Payload::Effect(effect) => {
                let build = record.pod.as_ref().map_or(0, |pod| pod.build);
                self.read_effect(effect, build);
            }
            Payload::Lost { .. } => {}
        }
        Ok(())
    }

    fn read_request(
        &mut self,
        request: RequestId,
        attributes: RequestAttributes,
    ) -> Result<(), DriveError> {
        if self.script.requests.len() >= MAX_REQUESTS {
            let message =
                format!("the trace has more than {MAX_REQUESTS} requests; cut it to fewer");
            return Err(DriveError::UnsuitableTrace(message));
        }
        self.script.recorded.requests += 1;
        self.script.requests.push(RecordedRequest {
            at: self.script.length,
            request,
            attributes,
        });
        Ok(())
    }

    fn read_event(&mut self, event: Event) {
        match event {
            Event::AttemptEnded {
                request,
                attempt,
                end,
                took,
                load,
                delivered,
            } => {
                self.script.recorded.delivered += delivered as u64;
                let key = AttemptKey { request, attempt };
                let Some(sent) = self.in_flight.remove(&key) else {
                    return;
                };
                let ended = RecordedAttempt {
                    build: sent.build,
                    end,
                    took,
                    load,
                };
                self.record_end(key, sent.at, ended);
            }
            Event::ClientLeft { .. } => self.script.recorded.left += 1,
            Event::EndpointsListed { complete, pods, .. } => {
                self.notify(Notification::Endpoints { complete, pods });
            }
            Event::EndpointWatchFailed => self.notify(Notification::PollFailed),
            Event::StageChanged(stage) => self.notify(Notification::Stage(stage)),
            Event::VoteAnswered { reply, .. } => {
                if let Some(stage) = reply.stage {
                    self.notify(Notification::Stage(stage));
                }
            }
            Event::TallyReported(tally) => self.notify(Notification::Tally(tally)),
            _ => {}
        }
    }

    fn record_end(&mut self, key: AttemptKey, sent: Nanos, attempt: RecordedAttempt) {
        let nth = key.attempt as usize;
        let attempts = self.script.attempts.entry(key.request).or_default();
        attempts.resize(attempts.len().max(nth + 1), None);
        attempts[nth] = Some(attempt);
        let of_build = self.script.by_build.entry(attempt.build).or_default();
        of_build.push(TimedAttempt { sent, attempt });
    }

    fn read_effect(&mut self, effect: Effect, build_of_pod: Build) {
        let recorded = &mut self.script.recorded;
        match effect {
            Effect::SendAttempt {
                request, attempt, ..
            } => {
                recorded.attempts += 1;
                let sent = SentAttempt {
                    at: self.script.length,
                    build: build_of_pod,
                };
                self.in_flight.insert(AttemptKey { request, attempt }, sent);
            }
            Effect::Reject { .. } => recorded.rejected += 1,
            Effect::Fail { .. } => recorded.failed += 1,
            Effect::CastVote {
                build, stage, vote, ..
            } => recorded.count_vote(build, stage, vote),
            _ => {}
        }
    }
}
