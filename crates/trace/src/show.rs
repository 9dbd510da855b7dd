//! Records as JSON, one a line, in the project's words and with names in place of indices.

use crate::record::{Head, Record, Standing, What};
use crate::summary::{ended, vote_name};
use havenplank::interface::*;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_sidecar::engine::Effect;
use havenplank_sidecar::events::Event;
use serde_json::{json, Map, Value};

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

fn load(load: &Option<LoadReport>) -> Value {
    let Some(load) = load else { return Value::Null };
    let fields = [
        ("in_flight", load.in_flight),
        ("queued", load.queued),
        ("busy", load.busy),
        ("latency_ms", load.latency_ms),
        ("delivered_per_s", load.delivered_per_s),
        ("failed_per_s", load.failed_per_s),
    ];
    fields
        .into_iter()
        .filter_map(|(name, value)| Some((name.to_string(), json!(value?))))
        .collect::<Map<_, _>>()
        .into()
}

fn listed(pod: &ListedEndpoint, given: Option<PodId>) -> Value {
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
    } = pod;
    json!({
        "name": name, "address": address.to_string(), "state": pod_state_name(*state), "build": build, "life": incarnation,
        "age_ns": age, "zone": zone, "machine": machine, "cell": cell, "size": size, "index": given,
    })
}

/// The stage of a block's beginning, as [`line`] has it.
pub fn standing(standing: &Standing) -> Value {
    json!({"source": standing.source, "at": standing.at, "in_force": stage(&standing.stage)})
}

/// One record; `at` in nanoseconds on the file's clock.
pub fn line(record: &Record, head: &Head) -> Value {
    let terms = head.sources.get(record.source).map(|source| &source.terms);
    let name =
        |names: Option<&Vec<String>>, at: usize| names.and_then(|names| names.get(at)).cloned();
    let group = |at: usize| {
        terms
            .and_then(|terms| terms.route_classes.get(at))
            .map(|(name, _)| name.clone())
    };
    let pod = record
        .pod
        .as_ref()
        .map(|pod| json!({"name": pod.name, "build": pod.build, "index": pod.pod}));
    let (kind, fields) = match &record.what {
        What::Event(told) => match told {
            Event::Started => ("begin", json!({})),
            Event::RequestArrived {
                request: hit,
                attributes: asked,
            } => {
                let tenant = asked
                    .tenant
                    .and_then(|at| name(terms.map(|terms| &terms.tenants), at));
                let fields = json!({
                    "hit": hit, "path_group": group(asked.route_class), "customer": tenant, "key": asked.key,
                    "left_ns": asked.remaining, "cost_hint_ns": asked.cost_hint, "repeat": asked.is_retry,
                });
                ("hit", fields)
            }
            Event::RequestResumed {
                request: hit,
                prior_attempts: past,
            } => {
                let one = |earlier: &PriorAttempt| json!({"index": earlier.pod, "ago_ns": earlier.ago, "may_have_run": earlier.may_have_run});
                (
                    "resumed",
                    json!({"hit": hit, "past": past.iter().map(one).collect::<Vec<_>>()}),
                )
            }
            Event::SendPermission {
                request: hit,
                attempt: nth,
                allowed: may,
            } => ("may_go", json!({"hit": hit, "nth": nth, "may": may})),
            Event::AttemptEnded {
                request: hit,
                attempt: nth,
                end,
                took,
                load: said,
                delivered: passed,
            } => {
                let fields = json!({
                    "hit": hit, "nth": nth, "end": ended(*end), "took_ns": took, "load": load(said),
                    "to_client": passed,
                });
                ("ended", fields)
            }
            Event::ClientLeft { request: hit } => ("left", json!({"hit": hit})),
            Event::EndpointsListed {
                complete: whole,
                pods,
                pod_ids: given,
            } => {
                let pods: Vec<Value> = pods
                    .iter()
                    .zip(given)
                    .map(|(pod, given)| listed(pod, *given))
                    .collect();
                ("list", json!({"whole": whole, "pods": pods}))
            }
            Event::EndpointWatchFailed => ("list_failed", json!({})),
            Event::StageChanged(news) => ("news", stage(news)),
            Event::VoteAnswered { vote, reply: news } => {
                let told = news.stage.as_ref().map(stage);
                (
                    "voted",
                    json!({"vote": vote, "heard": receipt_name(news.receipt), "stage": told}),
                )
            }
            Event::HealthCheckEnded {
                check: probe,
                result: end,
            } => {
                let fields = json!({"probe": probe, "end": ended(end.end), "took_ns": end.took, "load": load(&end.load)});
                ("probed", fields)
            }
            Event::TallyReported(tally) => {
                let fields = json!({
                    "build": tally.build, "path_group": group(tally.group), "count": tally.count,
                    "failed": tally.failed, "mean_latency_ns": tally.mean_latency, "age_ns": tally.age,
                });
                ("tally", fields)
            }
            Event::FaultReported {
                route_class: at,
                ago,
                ..
            } => ("flagged", json!({"path_group": group(*at), "ago_ns": ago})),
            Event::TimerFired(wake) => ("wake", json!({"wake": wake})),
        },
        What::Effect(effect) => match effect {
            Effect::SendAttempt {
                request: hit,
                attempt: nth,
                timeout: time_out,
                ..
            } => (
                "forward",
                json!({"hit": hit, "nth": nth, "time_out_ns": time_out}),
            ),
            Effect::CancelAttempt {
                request: hit,
                attempt: nth,
            } => ("cancel", json!({"hit": hit, "nth": nth})),
            Effect::Reject {
                request: hit,
                retry_after,
            } => ("bounce", json!({"hit": hit, "come_back_ns": retry_after})),
            Effect::Fail {
                request: hit,
                timed_out: late,
            } => ("error", json!({"hit": hit, "late": late})),
            Effect::CastVote {
                id: vote,
                build,
                stage,
                vote: voice,
            } => (
                "vote",
                json!({"vote": vote, "build": build, "stage": stage, "voice": vote_name(*voice)}),
            ),
            Effect::HealthCheck { check: probe, .. } => ("probe", json!({"probe": probe})),
            Effect::PollEndpoints => ("ask_list", json!({})),
            Effect::WatchEndpoints(on) => ("watch_list", json!({"on": on})),
            Effect::Log(text) => ("log", json!({"text": text})),
        },
        What::Lost { hits, records } => ("lost", json!({"hits": hits, "records": records})),
    };
    let side = match &record.what {
        What::Event(_) => "told",
        What::Effect(_) => "did",
        What::Lost { .. } => "lost",
    };
    let mut line = json!({"at": record.at, "source": record.source, side: kind});
    if record.own != record.at {
        line["own"] = json!(record.own);
    }
    if let Some(pod) = pod {
        line["pod"] = pod;
    }
    if let (Some(line), Value::Object(fields)) = (line.as_object_mut(), fields) {
        line.extend(fields);
    }
    line
}
