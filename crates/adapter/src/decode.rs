//! Decodes the events of the wire protocol into calls of a listener.

use crate::error::WireError;
use crate::line::{Fields, Line};
use crate::load_report;
use crate::setup::{Names, Setup};
use crate::wire_names::{self, event, field};
use havenplank::interface::{
    stable_hash, AttemptEnd, AttemptOutcome, Build, Endpoint, HealthCheckResult, IncomingRequest,
    Nanos, RouteClassId, Stage, Tally, VoteReply,
};
use std::collections::BTreeMap;

/// A pod of an endpoint list. A list is decoded once; each instance that uses it maps the names to its own indices.
pub struct ListedPod {
    /// The name of the pod.
    pub pod: String,
    /// The name of the pod's zone.
    pub zone: String,
    /// The name of the pod's machine type; empty if there is none.
    pub machine: String,
    /// The other properties of the pod; the instance sets the indices in it.
    pub endpoint: Endpoint,
}

/// Endpoint lists by their number on the wire.
pub type EndpointLists = BTreeMap<u64, Vec<ListedPod>>;

/// Receives the decoded events of one instance. Requests and pods are identified by their names on the wire; all other
/// values are in the form that the router expects.
pub trait InstanceListener {
    /// Creates an instance.
    fn create(now: Nanos, sidecar: u64, seed: u64, setup: Setup) -> Self;
    /// Sets the time of the following events.
    fn set_time(&mut self, now: Nanos);
    /// Swaps the instance's buffer of actions with `out`. The session calls this before and after each event, so that
    /// all instances write to the same buffer.
    fn swap_output(&mut self, _out: &mut String) {}
    /// Returns the names in the instance's settings.
    fn names(&self) -> &Names;
    /// Returns whether a pod was in any endpoint list of this instance.
    fn knows_pod(&self, pod: &str) -> bool;
    /// Starts the instance.
    fn start(&mut self);
    /// A complete endpoint list or changes to it arrived.
    fn update_endpoints(&mut self, complete: bool, pods: &[ListedPod]);
    /// The watch on the endpoint list failed.
    fn endpoint_watch_failed(&mut self);
    /// A request arrived; the instance assigns its id, which is not set yet in `request`.
    fn handle_request(&mut self, name: &str, request: IncomingRequest);
    /// An attempt of a request ended; attempts are counted from 0.
    fn attempt_ended(&mut self, name: &str, attempt: usize, outcome: AttemptOutcome);
    /// The client of a request disconnected.
    fn client_left(&mut self, name: &str);
    /// A timer fired.
    fn timer_fired(&mut self, id: u64);
    /// The control plane announced a stage.
    fn update_stage(&mut self, stage: Stage);
    /// The reply to the oldest unanswered vote arrived.
    fn vote_answered(&mut self, reply: VoteReply);
    /// A sampled count of the attempts of all instances arrived.
    fn update_tally(&mut self, tally: Tally);
    /// A client reported a wrong response of a pod, `ago` nanoseconds before now.
    fn report_fault(&mut self, pod: &str, class: RouteClassId, ago: Nanos);
    /// The oldest unfinished health check of a pod ended.
    fn health_checked(&mut self, pod: &str, result: HealthCheckResult);
}

/// Returns whether the verb is that of an event for one instance.
pub(crate) fn is_for_instance(verb: &str) -> bool {
    matches!(
        verb,
        event::ENDPOINTS_CHANGED
            | event::REQUEST
            | event::PEER_MESSAGE
            | event::FAULT_REPORTED
            | event::TIMER_FIRED
            | event::TALLY
            | event::STAGE
            | event::ATTEMPT_ENDED
            | event::CLIENT_LEFT
            | event::HEALTH_CHECKED
            | event::RESPONSE_BEGINS
    )
}

/// Decodes an event for one instance and calls the listener.
pub(crate) fn deliver(
    line: &Line,
    listener: &mut impl InstanceListener,
    lists: &EndpointLists,
) -> Result<(), WireError> {
    let fields = &line.fields();
    match line.verb.as_str() {
        event::ENDPOINTS_CHANGED => endpoints_changed(fields, listener, lists)?,
        event::REQUEST => request(fields, listener)?,
        event::ATTEMPT_ENDED => attempt_ended(fields, listener)?,
        event::CLIENT_LEFT => listener.client_left(fields.text(field::REQUEST)?),
        event::RESPONSE_BEGINS => response_begins(fields, listener)?,
        event::TIMER_FIRED => {
            // Only timers that this adapter set have a number as their key.
            if let Ok(id) = fields.text(field::TIMER)?.parse() {
                listener.timer_fired(id);
            }
        }
        event::STAGE => stage_changed(fields, listener)?,
        event::TALLY => {
            let tally = tally(fields, listener)?;
            listener.update_tally(tally);
        }
        event::FAULT_REPORTED => {
            let pod = known_pod(fields, listener)?;
            let class = route_class(fields, listener)?;
            listener.report_fault(pod, class, fields.integer(field::AGE)?);
        }
        event::HEALTH_CHECKED => health_checked(fields, listener)?,
        // Instances exchange no messages with peers, so a peer message is only validated.
        _ => {
            fields.integer("sender")?;
            fields.text("blob")?;
        }
    }
    Ok(())
}

fn endpoints_changed(
    fields: &Fields,
    listener: &mut impl InstanceListener,
    lists: &EndpointLists,
) -> Result<(), WireError> {
    let complete = match fields.text("how")? {
        "delta" => false,
        "full" | "cached" => true,
        "failed" => {
            listener.endpoint_watch_failed();
            return Ok(());
        }
        _ => return Err(fields.error("how", "expected delta, full, cached or failed")),
    };
    let list = lists
        .get(&fields.integer(field::LIST)?)
        .ok_or_else(|| fields.error(field::LIST, "expected a list sent before"))?;
    listener.update_endpoints(complete, list);
    Ok(())
}

fn request(fields: &Fields, listener: &mut impl InstanceListener) -> Result<(), WireError> {
    let name = fields.text(field::REQUEST)?;
    let class = route_class(fields, listener)?;
    let tenants = &listener.names().tenants;
    let tenant = fields
        .optional_name("clientGroup")?
        .and_then(|name| tenants.iter().position(|known| *known == name));
    let key = fields.optional_text("entity")?;
    let request = IncomingRequest {
        id: 0,
        class,
        tenant,
        key: key.map_or(0, |key| stable_hash(key.as_bytes())),
        remaining: fields.integer("graceNs")?,
        cost_hint: fields.optional_integer("sizeHintNs")?,
        is_retry: fields.flag("repeat")?,
    };
    listener.handle_request(name, request);
    Ok(())
}

fn attempt_ended(fields: &Fields, listener: &mut impl InstanceListener) -> Result<(), WireError> {
    let name = fields.text(field::REQUEST)?;
    let attempt = fields.integer(field::ATTEMPT)? as usize;
    known_pod(fields, listener)?;
    let outcome = AttemptOutcome {
        end: attempt_end(fields)?,
        took: fields.integer(field::LATENCY)?,
        request_finished: fields.flag("over")?,
        load: load_report::from_gauge(&listener.names().load_columns, fields)?,
    };
    listener.attempt_ended(name, attempt, outcome);
    Ok(())
}

/// Validates the event that a response begins, which has no effect on the instance.
fn response_begins(fields: &Fields, listener: &impl InstanceListener) -> Result<(), WireError> {
    fields.text(field::REQUEST)?;
    fields.integer(field::ATTEMPT)?;
    fields.integer(field::LATENCY)?;
    known_pod(fields, listener)?;
    Ok(())
}

/// Decodes a stage, which is either an announcement or the reply to a vote.
fn stage_changed(fields: &Fields, listener: &mut impl InstanceListener) -> Result<(), WireError> {
    let code = fields.integer(field::OUTCOME)?;
    let stage = stage(fields)?;
    let stage = (code == wire_names::SUCCESS).then_some(stage);
    let is_vote_reply = fields.integer_or(field::VOTE, 0)? != 0;
    if is_vote_reply {
        let receipt = wire_names::vote_receipt(code);
        listener.vote_answered(VoteReply { receipt, stage });
    } else if let Some(stage) = stage {
        listener.update_stage(stage);
    }
    Ok(())
}

fn stage(fields: &Fields) -> Result<Stage, WireError> {
    let phase = wire_names::phase(fields.integer_or("standing", 0)?)
        .ok_or_else(|| fields.error("standing", "expected a code from 0 to 3"))?;
    Ok(Stage {
        build: build(fields.integer(field::BUILD)?),
        stage: fields.integer_or(field::STAGE, 0)? as usize,
        phase,
        cap: fields.number_or("limitShare", 0.0)?,
        age: fields.integer_or(field::AGE, 0)?,
    })
}

fn tally(fields: &Fields, listener: &impl InstanceListener) -> Result<Tally, WireError> {
    Ok(Tally {
        build: build(fields.integer(field::BUILD)?),
        class: route_class(fields, listener)?,
        count: fields.integer_or("count", 0)?,
        failed: fields.integer_or("lost", 0)?,
        mean_latency: fields.integer_or(field::LATENCY, 0)?,
        age: fields.integer_or(field::AGE, 0)?,
    })
}

fn health_checked(fields: &Fields, listener: &mut impl InstanceListener) -> Result<(), WireError> {
    let pod = known_pod(fields, listener)?;
    let load = load_report::from_gauge(&listener.names().load_columns, fields)?;
    let result = HealthCheckResult {
        end: attempt_end(fields)?,
        took: fields.integer(field::LATENCY)?,
        load,
    };
    listener.health_checked(pod, result);
    Ok(())
}

/// Decodes a pod of an endpoint list.
pub(crate) fn listed_pod(fields: &Fields) -> Result<ListedPod, WireError> {
    let state = wire_names::pod_state(fields.text("lifecycle")?)
        .ok_or_else(|| fields.error("lifecycle", "expected Running, Stopping or Deleted"))?;
    let endpoint = Endpoint {
        pod: 0,
        name_hash: 0,
        state,
        build: build(fields.integer_or(field::BUILD, 0)?),
        started: fields.integer_or("startedAtNs", 0)?,
        zone: 0,
        machine_type: 0,
        cell: fields.integer_or("block", 0)? as i64,
        size: fields.number_or("size", 1.0)?,
    };
    Ok(ListedPod {
        pod: fields.text(field::POD)?.to_string(),
        zone: fields.text("az")?.to_string(),
        machine: fields
            .optional_text("machine")?
            .unwrap_or_default()
            .to_string(),
        endpoint,
    })
}

fn build(number: u64) -> Build {
    number.min(u32::MAX as u64) as Build
}

fn attempt_end(fields: &Fields) -> Result<AttemptEnd, WireError> {
    wire_names::attempt_end(fields.integer(field::OUTCOME)?)
        .ok_or_else(|| fields.error(field::OUTCOME, "unknown outcome code"))
}

fn route_class(
    fields: &Fields,
    listener: &impl InstanceListener,
) -> Result<RouteClassId, WireError> {
    fields.position_of(field::ROUTE_CLASS, &listener.names().route_classes)
}

fn known_pod<'a>(
    fields: &Fields<'a>,
    listener: &impl InstanceListener,
) -> Result<&'a str, WireError> {
    let name = fields.text(field::POD)?;
    if listener.knows_pod(name) {
        Ok(name)
    } else {
        Err(fields.error(
            field::POD,
            "unknown pod; expected one that was in an endpoint list",
        ))
    }
}
