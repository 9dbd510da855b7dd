//! Visits the fields of each kind of record, in the order of their columns.

use super::error::ColumnError;
use super::field_visitor::FieldVisitor;
use super::kind::{blank_endpoint, BLANK_STAGE};
use super::COLUMNS_PER_KIND;
use crate::record::{Payload, PodSnapshot, Record};
use havenplank::interface::{
    AttemptEnd, LoadReport, Nanos, Phase, PodId, PodState, PriorAttempt, RequestId, Stage, Tally,
    Vote, VoteReceipt, VoteReply,
};
use havenplank_line_protocol::codec::MAX_ENDPOINTS;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_sidecar::engine::{Effect, RequestAttributes};
use havenplank_sidecar::events::Event;
use std::sync::Arc;

/// The largest number of attempts of a resumed request on its previous sidecar; no sidecar sends as many.
const MAX_PRIOR_ATTEMPTS: usize = 64;
/// Pseudo-column of [`FieldVisitor::last_value`]: the remaining time of the newest request of each source.
const REMAINING_TIME: u16 = 1;
/// Pseudo-column of [`FieldVisitor::last_value`]: the time at which each attempt was sent.
const SENT_TIME: u16 = 5;

const ATTEMPT_ENDS: [AttemptEnd; 8] = [
    AttemptEnd::Served,
    AttemptEnd::Failed,
    AttemptEnd::Rejected,
    AttemptEnd::TimedOut,
    AttemptEnd::ConnectFailed,
    AttemptEnd::Reset,
    AttemptEnd::Cancelled,
    AttemptEnd::NotSent,
];
const POD_STATES: [PodState; 3] = [PodState::Running, PodState::Draining, PodState::Gone];
const PHASES: [Phase; 4] = [
    Phase::Trial,
    Phase::RollingBack,
    Phase::Released,
    Phase::Withdrawn,
];
const VOTES: [Vote; 4] = [Vote::None, Vote::Advance, Vote::Hold, Vote::RollBack];
const VOTE_RECEIPTS: [VoteReceipt; 4] = [
    VoteReceipt::Counted,
    VoteReceipt::Stale,
    VoteReceipt::Unknown,
    VoteReceipt::Rejected,
];

/// The columns, the source and the time of the record being visited.
#[derive(Clone, Copy)]
struct Context {
    /// The first column of the record's kind.
    first: u16,
    /// Index of the record's source.
    source: u64,
    /// The record's time on the engine's clock, in nanoseconds.
    engine_time: Nanos,
}

/// Visits all fields of a record except its kind, times and source, which the caller has encoded or decoded already.
pub(super) fn visit_record(
    visitor: &mut impl FieldVisitor,
    kind: u16,
    source: u64,
    record: &mut Record,
) -> Result<(), ColumnError> {
    let context = Context {
        first: kind * COLUMNS_PER_KIND,
        source,
        engine_time: record.engine_time,
    };
    match &mut record.payload {
        Payload::Event(event) => visit_event(visitor, context, event, &mut record.pod),
        Payload::Effect(effect) => visit_effect(visitor, context, effect, &mut record.pod),
        Payload::Lost { requests, records } => {
            visitor.number(context.first, requests)?;
            visitor.number(context.first + 1, records)
        }
    }
}

fn visit_event<V: FieldVisitor>(
    visitor: &mut V,
    context: Context,
    event: &mut Event,
    snapshot: &mut Option<Arc<PodSnapshot>>,
) -> Result<(), ColumnError> {
    let first = context.first;
    match event {
        Event::Started | Event::EndpointWatchFailed => Ok(()),
        Event::RequestArrived {
            request,
            attributes,
        } => visit_arrival(visitor, context, request, attributes),
        Event::RequestResumed {
            request,
            prior_attempts,
        } => visit_resumption(visitor, context, request, prior_attempts),
        Event::SendPermission {
            request,
            attempt,
            allowed,
        } => {
            visitor.request_id(first, context.source, request)?;
            visitor.number_u32(first + 1, attempt)?;
            visitor.flag(first + 2, allowed)
        }
        ended @ Event::AttemptEnded { .. } => visit_attempt_end(visitor, context, ended),
        Event::ClientLeft { request } => visitor.request_id(first, context.source, request),
        Event::EndpointsListed {
            complete,
            pods,
            pod_ids,
        } => {
            visitor.flag(first, complete)?;
            visit_endpoints(visitor, first + 1, pods, pod_ids)
        }
        Event::StageChanged(stage) => visit_stage(visitor, first, stage),
        Event::VoteAnswered { vote, reply } => visit_vote_reply(visitor, first, vote, reply),
        Event::HealthCheckEnded { check, result } => {
            visitor.delta(first, 0, check)?;
            visitor.variant(first + 1, &mut result.end, &ATTEMPT_ENDS)?;
            visitor.number(first + 2, &mut result.took)?;
            visit_load(visitor, first + 3, &mut result.load)
        }
        Event::TallyReported(tally) => visit_tally(visitor, first, tally),
        Event::FaultReported {
            pod,
            route_class,
            ago,
        } => {
            visitor.pod(first, pod, snapshot)?;
            visitor.index(first + 1, route_class)?;
            visitor.number(first + 2, ago)
        }
        Event::TimerFired(timer) => visitor.delta(first, context.source, timer),
    }
}

fn visit_effect<V: FieldVisitor>(
    visitor: &mut V,
    context: Context,
    effect: &mut Effect,
    snapshot: &mut Option<Arc<PodSnapshot>>,
) -> Result<(), ColumnError> {
    let Context { first, source, .. } = context;
    match effect {
        send @ Effect::SendAttempt { .. } => visit_send(visitor, context, send, snapshot),
        Effect::CancelAttempt { request, attempt } => {
            visitor.request_id(first, source, request)?;
            visitor.number_u32(first + 1, attempt)
        }
        Effect::Reject {
            request,
            retry_after,
        } => {
            visitor.request_id(first, source, request)?;
            visitor.number(first + 1, retry_after)
        }
        Effect::Fail { request, timed_out } => {
            visitor.request_id(first, source, request)?;
            visitor.flag(first + 1, timed_out)
        }
        Effect::CastVote {
            id,
            build,
            stage,
            vote,
        } => {
            visitor.number(first, id)?;
            visitor.number_u32(first + 1, build)?;
            visitor.index(first + 2, stage)?;
            visitor.variant(first + 3, vote, &VOTES)
        }
        Effect::HealthCheck { check, pod } => {
            visitor.delta(first, 0, check)?;
            visitor.pod(first + 1, pod, snapshot)
        }
        Effect::PollEndpoints => Ok(()),
        Effect::WatchEndpoints(on) => visitor.flag(first, on),
        Effect::Log(text) => visitor.text(first, text),
    }
}

fn visit_arrival<V: FieldVisitor>(
    visitor: &mut V,
    context: Context,
    request: &mut RequestId,
    attributes: &mut RequestAttributes,
) -> Result<(), ColumnError> {
    let Context { first, source, .. } = context;
    visitor.request_id(first, source, request)?;
    visitor.index(first + 1, &mut attributes.route_class)?;
    visitor.optional(first + 2, &mut attributes.tenant, 0, |visitor, tenant| {
        visitor.index(first + 3, tenant)
    })?;
    visitor.idempotency_key(first + 4, &mut attributes.key)?;
    let class = attributes.route_class as u64;
    visitor.delta(first + 5, class, &mut attributes.remaining)?;
    *visitor.last_value((REMAINING_TIME, source)) = attributes.remaining;
    visitor.optional(first + 6, &mut attributes.cost_hint, 0, |visitor, cost| {
        visitor.number(first + 7, cost)
    })?;
    visitor.flag(first + 8, &mut attributes.is_retry)
}

fn visit_resumption<V: FieldVisitor>(
    visitor: &mut V,
    context: Context,
    request: &mut RequestId,
    prior_attempts: &mut Vec<PriorAttempt>,
) -> Result<(), ColumnError> {
    let first = context.first;
    visitor.request_id(first, context.source, request)?;
    let mut count = prior_attempts.len();
    visitor.index(first + 1, &mut count)?;
    if count > MAX_PRIOR_ATTEMPTS {
        return Err(ColumnError::OutOfRange(first + 1));
    }
    let blank = PriorAttempt {
        pod: None,
        ago: 0,
        may_have_run: false,
    };
    prior_attempts.resize(count, blank);
    for attempt in prior_attempts {
        visitor.optional(first + 2, &mut attempt.pod, 0, |visitor, pod| {
            visitor.index(first + 3, pod)
        })?;
        visitor.number(first + 4, &mut attempt.ago)?;
        visitor.flag(first + 5, &mut attempt.may_have_run)?;
    }
    Ok(())
}

fn visit_attempt_end(
    visitor: &mut impl FieldVisitor,
    context: Context,
    event: &mut Event,
) -> Result<(), ColumnError> {
    let Event::AttemptEnded {
        request,
        attempt,
        end,
        took,
        load,
        delivered,
    } = event
    else {
        return Ok(());
    };
    let Context { first, source, .. } = context;
    visitor.request_id(first, source, request)?;
    visitor.number_u32(first + 1, attempt)?;
    visitor.variant(first + 2, end, &ATTEMPT_ENDS)?;
    let sent = *visitor.last_value((SENT_TIME, attempt_slot(source, *request, *attempt)));
    // The duration is about the time since the attempt was sent, if the attempt was sent in the same block.
    let expected = if sent == 0 {
        0
    } else {
        context.engine_time.wrapping_sub(sent)
    };
    visitor.difference(first + 3, expected, took)?;
    visitor.flag(first + 4, delivered)?;
    visit_load(visitor, first + 5, load)
}

fn visit_send(
    visitor: &mut impl FieldVisitor,
    context: Context,
    effect: &mut Effect,
    snapshot: &mut Option<Arc<PodSnapshot>>,
) -> Result<(), ColumnError> {
    let Effect::SendAttempt {
        request,
        attempt,
        pod,
        timeout,
    } = effect
    else {
        return Ok(());
    };
    let Context { first, source, .. } = context;
    visitor.request_id(first, source, request)?;
    visitor.number_u32(first + 1, attempt)?;
    visitor.pod(first + 2, pod, snapshot)?;
    let slot = attempt_slot(source, *request, *attempt);
    *visitor.last_value((SENT_TIME, slot)) = context.engine_time;
    // Most attempts are sent when their request arrives, with a timeout of all its remaining time.
    let remaining = *visitor.last_value((REMAINING_TIME, source));
    *visitor.last_value((first + 3, source)) = remaining;
    visitor.delta(first + 3, source, timeout)
}

/// Returns the slot that holds the time at which an attempt was sent. Slots of different attempts may collide, which
/// increases the size of the file but causes no error.
fn attempt_slot(source: u64, request: RequestId, attempt: u32) -> u64 {
    request
        .wrapping_mul(64)
        .wrapping_add(attempt as u64)
        .wrapping_add(source << 52)
}

/// Visits a list of endpoints: its length in `column`, then each endpoint in the 12 columns that follow.
fn visit_endpoints<V: FieldVisitor>(
    visitor: &mut V,
    column: u16,
    pods: &mut Vec<ListedEndpoint>,
    pod_ids: &mut Vec<Option<PodId>>,
) -> Result<(), ColumnError> {
    let mut count = pods.len();
    visitor.index(column, &mut count)?;
    if count > MAX_ENDPOINTS {
        return Err(ColumnError::OutOfRange(column));
    }
    for position in 0..count {
        if position == pods.len() {
            pods.push(blank_endpoint());
            pod_ids.push(None);
        }
        visit_endpoint(visitor, column + 1, &mut pods[position])?;
        visitor.optional(column + 11, &mut pod_ids[position], 0, |visitor, pod| {
            visitor.index(column + 12, pod)
        })?;
    }
    Ok(())
}

fn visit_endpoint(
    visitor: &mut impl FieldVisitor,
    column: u16,
    endpoint: &mut ListedEndpoint,
) -> Result<(), ColumnError> {
    visitor.text(column, &mut endpoint.name)?;
    let mut address = endpoint.address.to_string();
    visitor.text(column + 1, &mut address)?;
    let parsed = address.parse();
    endpoint.address = parsed.map_err(|_| ColumnError::OutOfRange(column + 1))?;
    visitor.variant(column + 2, &mut endpoint.state, &POD_STATES)?;
    visitor.number_u32(column + 3, &mut endpoint.build)?;
    visitor.delta(column + 4, 0, &mut endpoint.incarnation)?;
    visitor.delta(column + 5, 0, &mut endpoint.age)?;
    visitor.text(column + 6, &mut endpoint.zone)?;
    visitor.text(column + 7, &mut endpoint.machine)?;
    visitor.signed(column + 8, &mut endpoint.cell)?;
    visitor.float(column + 9, &mut endpoint.size)
}

/// Visits a load report: a flag that says whether there is one, a bit for each field that is set, then those fields.
fn visit_load<V: FieldVisitor>(
    visitor: &mut V,
    column: u16,
    load: &mut Option<LoadReport>,
) -> Result<(), ColumnError> {
    visitor.optional(column, load, LoadReport::default(), |visitor, load| {
        let fields = [
            &mut load.in_flight,
            &mut load.queued,
            &mut load.cpu_utilization,
            &mut load.latency_ms,
            &mut load.served_per_s,
            &mut load.failed_per_s,
        ];
        let bits = fields.iter().enumerate();
        let mut present: u64 = bits
            .map(|(bit, field)| (field.is_some() as u64) << bit)
            .sum();
        visitor.number(column + 1, &mut present)?;
        for (bit, field) in fields.into_iter().enumerate() {
            *field = (present >> bit & 1 == 1).then_some(field.unwrap_or(0.0));
            if let Some(value) = field {
                visitor.float(column + 2 + bit as u16, value)?;
            }
        }
        Ok(())
    })
}

fn visit_stage(
    visitor: &mut impl FieldVisitor,
    column: u16,
    stage: &mut Stage,
) -> Result<(), ColumnError> {
    visitor.number_u32(column, &mut stage.build)?;
    visitor.index(column + 1, &mut stage.stage)?;
    visitor.variant(column + 2, &mut stage.phase, &PHASES)?;
    visitor.float(column + 3, &mut stage.cap)?;
    visitor.number(column + 4, &mut stage.age)
}

fn visit_vote_reply<V: FieldVisitor>(
    visitor: &mut V,
    column: u16,
    vote: &mut u64,
    reply: &mut VoteReply,
) -> Result<(), ColumnError> {
    visitor.number(column, vote)?;
    visitor.variant(column + 1, &mut reply.receipt, &VOTE_RECEIPTS)?;
    visitor.optional(
        column + 2,
        &mut reply.stage,
        BLANK_STAGE,
        |visitor, stage| visit_stage(visitor, column + 3, stage),
    )
}

fn visit_tally(
    visitor: &mut impl FieldVisitor,
    column: u16,
    tally: &mut Tally,
) -> Result<(), ColumnError> {
    visitor.number_u32(column, &mut tally.build)?;
    visitor.index(column + 1, &mut tally.class)?;
    visitor.number(column + 2, &mut tally.count)?;
    visitor.number(column + 3, &mut tally.failed)?;
    visitor.number(column + 4, &mut tally.mean_latency)?;
    visitor.number(column + 5, &mut tally.age)
}
