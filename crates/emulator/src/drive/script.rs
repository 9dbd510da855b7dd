//! The script of a drive: what is sent when, and how each attempt ends.

use super::outcome::Outcomes;
use havenplank::interface::{
    AttemptEnd, Build, LoadReport, Nanos, PodState, RequestId, RouteClassId, Stage, Tally,
};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_sidecar::engine::RequestAttributes;
use havenplank_trace::Source;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Emulated pods of each build when the trace holds no complete endpoint list.
const PODS_PER_UNLISTED_BUILD: usize = 2;

/// How one recorded attempt ended.
#[derive(Clone, Copy)]
pub(super) struct RecordedAttempt {
    pub(super) build: Build,
    pub(super) end: AttemptEnd,
    pub(super) took: Nanos,
    pub(super) load: Option<LoadReport>,
}

impl RecordedAttempt {
    /// Whether a pod of this build ended the attempt.
    fn ended_by(&self, build: Build) -> bool {
        self.build == build && !matches!(self.end, AttemptEnd::NotSent | AttemptEnd::Cancelled)
    }
}

/// An attempt's end and when the attempt was sent.
#[derive(Clone, Copy)]
pub(super) struct TimedAttempt {
    pub(super) sent: Nanos,
    pub(super) attempt: RecordedAttempt,
}

/// How an emulated pod is to end an attempt.
#[derive(Clone, Copy)]
pub(super) struct PlannedEnd {
    pub(super) attempt: RecordedAttempt,
    /// Whether the attempt belongs to the same request.
    pub(super) of_request: bool,
}

/// A recorded request and when its client sent it.
#[derive(Clone)]
pub(super) struct RecordedRequest {
    pub(super) at: Nanos,
    pub(super) request: RequestId,
    pub(super) attributes: RequestAttributes,
}

/// A message that a service sends to the sidecar.
pub(super) enum Notification {
    Endpoints {
        complete: bool,
        pods: Vec<ListedEndpoint>,
    },
    PollFailed,
    Stage(Stage),
    Tally(Tally),
    Fault {
        pod: String,
        route_class: RouteClassId,
        ago: Nanos,
    },
}

/// A notification and when it is due.
pub(super) struct TimedNotification {
    pub(super) at: Nanos,
    pub(super) notification: Notification,
}

/// The script of a drive; all times are counted from the first record of its source.
pub(super) struct Script {
    pub(super) source: Source,
    /// In order of time.
    pub(super) requests: Vec<RecordedRequest>,
    /// In order of time.
    pub(super) notifications: Vec<TimedNotification>,
    /// The attempts of each request, by number; `None` for one that did not end.
    pub(super) attempts: HashMap<RequestId, Vec<Option<RecordedAttempt>>>,
    /// All attempts of each build, in the order in which they ended.
    pub(super) by_build: HashMap<Build, Vec<TimedAttempt>>,
    pub(super) recorded: Outcomes,
    pub(super) length: Nanos,
}

impl Script {
    pub(super) fn new(source: Source) -> Script {
        Script {
            source,
            requests: Vec::new(),
            notifications: Vec::new(),
            attempts: HashMap::new(),
            by_build: HashMap::new(),
            recorded: Outcomes::default(),
            length: 0,
        }
    }

    pub(super) fn has_complete_list(&self) -> bool {
        self.notifications.iter().any(|timed| {
            matches!(
                timed.notification,
                Notification::Endpoints { complete: true, .. }
            )
        })
    }

    /// Adds a complete list with emulated pods of each build, for a cut trace that holds no complete list.
    pub(super) fn list_pods_of_builds(&mut self) {
        let mut pods: Vec<ListedEndpoint> = self
            .by_build
            .keys()
            .flat_map(|build| (0..PODS_PER_UNLISTED_BUILD).map(|n| self.unlisted_pod(*build, n)))
            .collect();
        pods.sort_by(|a, b| a.name.cmp(&b.name));
        let notification = Notification::Endpoints {
            complete: true,
            pods,
        };
        self.notifications.insert(
            0,
            TimedNotification {
                at: 0,
                notification,
            },
        );
    }

    fn unlisted_pod(&self, build: Build, n: usize) -> ListedEndpoint {
        let settings = &self.source.settings;
        let machine = settings.machines.first().cloned();
        ListedEndpoint {
            name: format!("build-{build}-pod-{n}"),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            state: PodState::Running,
            build,
            incarnation: 1,
            age: 0,
            zone: settings.zones.first().cloned().unwrap_or_default(),
            machine: machine.unwrap_or_else(|| "machine".to_string()),
            cell: n as i64,
            size: 1.0,
        }
    }

    /// How the `nth` attempt of a request at a build is to end.
    ///
    /// If the request has recorded attempts at that build, returns the `nth` of them, or the last one if there are
    /// fewer. Otherwise returns the build's attempt that was sent last before `now`.
    pub(super) fn planned_end(
        &self,
        request: RequestId,
        nth: usize,
        build: Build,
        now: Nanos,
    ) -> Option<PlannedEnd> {
        let own: Vec<&RecordedAttempt> = self
            .attempts
            .get(&request)
            .into_iter()
            .flatten()
            .flatten()
            .filter(|attempt| attempt.ended_by(build))
            .collect();
        if let Some(attempt) = own.get(nth).or(own.last()) {
            return Some(PlannedEnd {
                attempt: **attempt,
                of_request: true,
            });
        }
        let of_build = self.by_build.get(&build)?;
        let at = of_build
            .partition_point(|timed| timed.sent <= now)
            .saturating_sub(1);
        of_build.get(at).map(|timed| PlannedEnd {
            attempt: timed.attempt,
            of_request: false,
        })
    }
}
