//! Events of the wire, decoded into what a listener takes.

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

/// A pod of an endpoint list: read once, mapped to indices by each instance that is pointed to the list.
pub struct ListedPod {
    /// Its name.
    pub pod: String,
    /// The name of its zone.
    pub zone: String,
    /// The name of its machine type; empty where it has none.
    pub machine: String,
    /// All else; its indices are not set yet.
    pub endpoint: Endpoint,
}

/// Endpoint lists by their numbers on the wire.
pub type EndpointLists = BTreeMap<u64, Vec<ListedPod>>;

/// What an instance hears, decoded: names as they stand on the wire, all else as the router takes it.
pub trait InstanceListener {
    /// A new instance.
    fn create(now: Nanos, sidecar: u64, seed: u64, setup: Setup) -> Self;
    /// The time of what comes next.
    fn set_time(&mut self, now: Nanos);
    /// Lends or takes back the buffer for actions.
    fn swap_output(&mut self, _out: &mut String) {}
    /// The names that the instance's settings gave.
    fn names(&self) -> &Names;
    /// Whether a pod was ever listed to this instance.
    fn knows_pod(&self, pod: &str) -> bool;
    /// The instance may begin.
    fn start(&mut self);
    /// A whole endpoint list, or changes to it.
    fn update_endpoints(&mut self, whole: bool, pods: &[ListedPod]);
    /// The watch on the endpoint list failed.
    fn endpoint_watch_failed(&mut self);
    /// A request arrived; the id of `request` is not set yet.
    fn handle_request(&mut self, name: &str, request: IncomingRequest);
    /// An attempt of a request, counted from 0, ended.
    fn attempt_ended(&mut self, name: &str, attempt: usize, outcome: AttemptOutcome);
    /// A request's client left.
    fn client_left(&mut self, name: &str);
    /// A timer fired.
    fn timer_fired(&mut self, id: u64);
    /// The control plane announced a stage.
    fn update_stage(&mut self, stage: Stage);
    /// The answer to the oldest vote that has none.
    fn vote_answered(&mut self, reply: VoteReply);
    /// A sampled count of all instances' attempts.
    fn update_tally(&mut self, tally: Tally);
    /// A client found a fault in a pod's answer.
    fn report_fault(&mut self, pod: &str, class: RouteClassId, ago: Nanos);
    /// The end of the oldest health check of a pod that has none.
    fn health_checked(&mut self, pod: &str, result: HealthCheckResult);
}

/// Whether a verb tells something to one instance.
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
            | event::ANSWER_BEGINS
    )
}

/// Decodes a line for one instance and hands it over.
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
        event::ANSWER_BEGINS => answer_begins(fields, listener)?,
        event::TIMER_FIRED => {
            // Only an alarm that this adapter set has a number.
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
        // Nothing here sends to peers; what one says is read for its form alone.
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
    let whole = match fields.text("how")? {
        "delta" => false,
        "full" | "cached" => true,
        "failed" => {
            listener.endpoint_watch_failed();
            return Ok(());
        }
        _ => return Err(fields.error("how", "not delta, full, cached or failed")),
    };
    let list = lists
        .get(&fields.integer(field::LIST)?)
        .ok_or_else(|| fields.error(field::LIST, "a list never sent"))?;
    listener.update_endpoints(whole, list);
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
        load: load_report::from_row(&listener.names().load_columns, fields)?,
    };
    listener.attempt_ended(name, attempt, outcome);
    Ok(())
}

/// The beginning of an answer is read for its form alone.
fn answer_begins(fields: &Fields, listener: &impl InstanceListener) -> Result<(), WireError> {
    fields.text(field::REQUEST)?;
    fields.integer(field::ATTEMPT)?;
    fields.integer(field::LATENCY)?;
    known_pod(fields, listener)?;
    Ok(())
}

/// A stage, which comes by itself or as the answer to a vote.
fn stage_changed(fields: &Fields, listener: &mut impl InstanceListener) -> Result<(), WireError> {
    let code = fields.integer(field::OUTCOME)?;
    let stage = stage(fields)?;
    let stage = (code == wire_names::SUCCESS).then_some(stage);
    let is_answer = fields.integer_or(field::VOTE, 0)? != 0;
    if is_answer {
        let receipt = wire_names::vote_receipt(code);
        listener.vote_answered(VoteReply { receipt, stage });
    } else if let Some(stage) = stage {
        listener.update_stage(stage);
    }
    Ok(())
}

fn stage(fields: &Fields) -> Result<Stage, WireError> {
    let phase = wire_names::phase(fields.integer_or("standing", 0)?)
        .ok_or_else(|| fields.error("standing", "not 0 to 3"))?;
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
    let load = load_report::from_row(&listener.names().load_columns, fields)?;
    let result = HealthCheckResult {
        end: attempt_end(fields)?,
        took: fields.integer(field::LATENCY)?,
        load,
    };
    listener.health_checked(pod, result);
    Ok(())
}

/// A pod of an endpoint list.
pub(crate) fn listed_pod(fields: &Fields) -> Result<ListedPod, WireError> {
    let state = wire_names::pod_state(fields.text("lifecycle")?)
        .ok_or_else(|| fields.error("lifecycle", "not Running, Stopping or Deleted"))?;
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
        .ok_or_else(|| fields.error(field::OUTCOME, "an unknown outcome"))
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
        Err(fields.error(field::POD, "a pod never listed"))
    }
}
