//! The JSON view: a record as one JSON object, with names in place of indices. The keys and values are a stable format,
//! described in `docs/trace-format.md`, and do not change with the names in the code.

use crate::record::{Head, Payload, Record, StageInForce};
use crate::summary::{attempt_end_name, vote_name};
use havenplank::interface::{
    LoadReport, Phase, PodId, PodState, PriorAttempt, RequestId, Stage, Tally, VoteReceipt,
    VoteReply,
};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_sidecar::engine::{Effect, EngineSettings, RequestAttributes};
use havenplank_sidecar::events::Event;
use serde_json::{json, Map, Value};

/// Returns the stage in force at the start of a block, with the keys of [`line()`].
pub fn stage_in_force(in_force: &StageInForce) -> Value {
    json!({"source": in_force.source, "at": in_force.at, "in_force": stage(&in_force.stage)})
}

/// Returns one record. The key `at` is in nanoseconds on the file's clock; the keys of other times name their unit.
pub fn line(record: &Record, head: &Head) -> Value {
    let settings = head
        .sources
        .get(record.source)
        .map(|source| &source.settings);
    let names = Names { settings };
    let (side, (kind, fields)) = match &record.payload {
        Payload::Event(event) => ("told", event_view(event, &names)),
        Payload::Effect(effect) => ("did", effect_view(effect)),
        Payload::Lost { requests, records } => {
            let fields = json!({"hits": requests, "records": records});
            ("lost", ("lost", fields))
        }
    };
    let mut line = json!({"at": record.at, "source": record.source, side: kind});
    if record.engine_time != record.at {
        line["own"] = json!(record.engine_time);
    }
    if let Some(pod) = &record.pod {
        line["pod"] = json!({"name": pod.name, "build": pod.build, "index": pod.pod});
    }
    if let (Some(line), Value::Object(fields)) = (line.as_object_mut(), fields) {
        line.extend(fields);
    }
    line
}

/// The name of a record's kind, and its fields as an object.
type KindView = (&'static str, Value);

/// The names of a source's route classes and tenants; none for a source that the head lacks.
struct Names<'a> {
    settings: Option<&'a EngineSettings>,
}

impl Names<'_> {
    fn route_class(&self, index: usize) -> Option<&str> {
        let (name, _) = self.settings?.route_classes.get(index)?;
        Some(name)
    }

    fn tenant(&self, index: usize) -> Option<&str> {
        let name = self.settings?.tenants.get(index)?;
        Some(name)
    }
}

fn event_view(event: &Event, names: &Names) -> KindView {
    match event {
        Event::Started => ("begin", json!({})),
        Event::RequestArrived {
            request,
            attributes,
        } => ("hit", arrival(*request, attributes, names)),
        Event::RequestResumed {
            request,
            prior_attempts,
        } => {
            let prior: Vec<Value> = prior_attempts.iter().map(prior_attempt).collect();
            ("resumed", json!({"hit": request, "past": prior}))
        }
        Event::SendPermission {
            request,
            attempt,
            allowed,
        } => {
            let fields = json!({"hit": request, "nth": attempt, "may": allowed});
            ("may_go", fields)
        }
        Event::AttemptEnded { .. } => ("ended", attempt_end(event)),
        Event::ClientLeft { request } => ("left", json!({"hit": request})),
        Event::EndpointsListed {
            complete,
            pods,
            pod_ids,
        } => ("list", endpoint_list(*complete, pods, pod_ids)),
        Event::EndpointWatchFailed => ("list_failed", json!({})),
        Event::StageChanged(changed) => ("news", stage(changed)),
        Event::VoteAnswered { vote, reply } => ("voted", vote_reply(*vote, reply)),
        Event::HealthCheckEnded { check, result } => {
            let fields = json!({
                "probe": check, "end": attempt_end_name(result.end), "took_ns": result.took,
                "load": load_report(&result.load),
            });
            ("probed", fields)
        }
        Event::TallyReported(reported) => ("tally", tally(reported, names)),
        Event::FaultReported {
            route_class, ago, ..
        } => {
            let fields = json!({"path_group": names.route_class(*route_class), "ago_ns": ago});
            ("flagged", fields)
        }
        Event::TimerFired(timer) => ("wake", json!({"wake": timer})),
    }
}

fn effect_view(effect: &Effect) -> KindView {
    match effect {
        Effect::SendAttempt {
            request,
            attempt,
            timeout,
            ..
        } => {
            let fields = json!({"hit": request, "nth": attempt, "time_out_ns": timeout});
            ("forward", fields)
        }
        Effect::CancelAttempt { request, attempt } => {
            ("cancel", json!({"hit": request, "nth": attempt}))
        }
        Effect::Reject {
            request,
            retry_after,
        } => {
            let fields = json!({"hit": request, "come_back_ns": retry_after});
            ("bounce", fields)
        }
        Effect::Fail { request, timed_out } => {
            ("error", json!({"hit": request, "late": timed_out}))
        }
        Effect::CastVote {
            id,
            build,
            stage,
            vote,
        } => {
            let vote = vote_name(*vote);
            let fields = json!({"vote": id, "build": build, "stage": stage, "voice": vote});
            ("vote", fields)
        }
        Effect::HealthCheck { check, .. } => ("probe", json!({"probe": check})),
        Effect::PollEndpoints => ("ask_list", json!({})),
        Effect::WatchEndpoints(on) => ("watch_list", json!({"on": on})),
        Effect::Log(text) => ("log", json!({"text": text})),
    }
}

fn arrival(request: RequestId, attributes: &RequestAttributes, names: &Names) -> Value {
    let tenant = attributes.tenant.and_then(|tenant| names.tenant(tenant));
    json!({
        "hit": request, "path_group": names.route_class(attributes.route_class), "customer": tenant,
        "key": attributes.key, "left_ns": attributes.remaining, "cost_hint_ns": attributes.cost_hint,
        "repeat": attributes.is_retry,
    })
}

fn prior_attempt(attempt: &PriorAttempt) -> Value {
    let PriorAttempt {
        pod,
        ago,
        may_have_run,
    } = attempt;
    json!({"index": pod, "ago_ns": ago, "may_have_run": may_have_run})
}

fn attempt_end(event: &Event) -> Value {
    let Event::AttemptEnded {
        request,
        attempt,
        end,
        took,
        load,
        delivered,
    } = event
    else {
        return Value::Null;
    };
    json!({
        "hit": request, "nth": attempt, "end": attempt_end_name(*end), "took_ns": took, "load": load_report(load),
        "to_client": delivered,
    })
}

fn endpoint_list(complete: bool, pods: &[ListedEndpoint], pod_ids: &[Option<PodId>]) -> Value {
    let pods = pods.iter().zip(pod_ids);
    let pods: Vec<Value> = pods.map(|(pod, id)| listed_endpoint(pod, *id)).collect();
    json!({"whole": complete, "pods": pods})
}

fn vote_reply(vote: u64, reply: &VoteReply) -> Value {
    let stage = reply.stage.as_ref().map(stage);
    json!({"vote": vote, "heard": receipt_name(reply.receipt), "stage": stage})
}

fn tally(tally: &Tally, names: &Names) -> Value {
    json!({
        "build": tally.build, "path_group": names.route_class(tally.class), "count": tally.count,
        "failed": tally.failed, "mean_latency_ns": tally.mean_latency, "age_ns": tally.age,
    })
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Trial => "trial",
        Phase::RollingBack => "going_back",
        Phase::Released => "released",
        Phase::Withdrawn => "withdrawn",
    }
}

fn receipt_name(receipt: VoteReceipt) -> &'static str {
    match receipt {
        VoteReceipt::Counted => "counted",
        VoteReceipt::Stale => "moot",
        VoteReceipt::Unknown => "unknown",
        VoteReceipt::Rejected => "refused",
    }
}

fn pod_state_name(state: PodState) -> &'static str {
    match state {
        PodState::Running => "running",
        PodState::Draining => "draining",
        PodState::Gone => "gone",
    }
}

fn stage(stage: &Stage) -> Value {
    let Stage {
        build,
        stage,
        phase,
        cap,
        age,
    } = stage;
    json!({"build": build, "stage": stage, "phase": phase_name(*phase), "cap": cap, "age_ns": age})
}

fn load_report(load: &Option<LoadReport>) -> Value {
    let Some(load) = load else { return Value::Null };
    let fields = [
        ("in_flight", load.in_flight),
        ("queued", load.queued),
        ("busy", load.cpu_utilization),
        ("latency_ms", load.latency_ms),
        ("delivered_per_s", load.served_per_s),
        ("failed_per_s", load.failed_per_s),
    ];
    fields
        .into_iter()
        .filter_map(|(name, value)| Some((name.to_string(), json!(value?))))
        .collect::<Map<_, _>>()
        .into()
}

fn listed_endpoint(endpoint: &ListedEndpoint, pod_id: Option<PodId>) -> Value {
    let ListedEndpoint {
        name,
        address,
        state,
        build,
        incarnation,
        age,
        zone,
        machine,
        cell,
        size,
    } = endpoint;
    json!({
        "name": name, "address": address.to_string(), "state": pod_state_name(*state), "build": build,
        "life": incarnation, "age_ns": age, "zone": zone, "machine": machine, "cell": cell, "size": size,
        "index": pod_id,
    })
}
