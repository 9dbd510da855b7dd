//! The engine without sockets and in virtual time: its effects for given events.

use havenplank::interface::{
    AttemptEnd, Nanos, Phase, PodState, PriorAttempt, Stage, Vote, VoteReceipt, VoteReply,
};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_settings::{load, Given};
use havenplank_sidecar::engine::{Effect, Engine, EngineSettings, RequestAttributes, EPOCH};
use std::path::Path;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

fn settings() -> EngineSettings {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/site.star");
    EngineSettings::from(
        &load(&file, &Given::new()).unwrap_or_else(|problems| panic!("{problems}")),
    )
}

fn listed_endpoint(n: u16, build: u32, pod_incarnation: u64, age: Nanos) -> ListedEndpoint {
    ListedEndpoint {
        name: format!("pod-{n}"),
        address: ([127, 0, 0, 1], 4000 + n).into(),
        state: PodState::Running,
        build,
        incarnation: pod_incarnation,
        age,
        zone: "room-1".to_string(),
        machine: "three-core".to_string(),
        cell: 0,
        size: 3.0,
    }
}

fn attributes(n: u64) -> RequestAttributes {
    let route_class = (n % 3) as usize;
    RequestAttributes {
        route_class,
        tenant: None,
        key: n % 7 + 1,
        remaining: S,
        cost_hint: None,
        is_retry: false,
    }
}

fn effects(engine: &mut Engine) -> Vec<Effect> {
    std::iter::from_fn(|| engine.next_effect()).collect()
}

/// Runs the engine for 20 s of virtual time and returns its effects in order. Pods of build 1 serve every attempt, pods
/// of build 2 fail every attempt.
fn run(seed: u64, vote_answered: bool) -> Vec<(Nanos, Effect)> {
    let settings = settings();
    let mut engine = Engine::new(EPOCH, seed, &settings);
    engine.start(EPOCH);
    let pods = (0..6)
        .map(|n| listed_endpoint(n, 1, 1, 0))
        .chain((6..9).map(|n| listed_endpoint(n, 2, 1, 10 * S)));
    engine.update_endpoints(EPOCH, true, pods.collect());
    engine.update_stage(
        EPOCH,
        Stage {
            build: 2,
            stage: 2,
            phase: Phase::Trial,
            cap: 1.0,
            age: S,
        },
    );
    let mut in_flight: Vec<(Nanos, u64, u32, AttemptEnd)> = Vec::new();
    let mut recorded = Vec::new();
    for tick in 0..20_000 {
        let now = EPOCH + tick * MS;
        if engine.next_timer().is_some_and(|at| at <= now) {
            engine.run_timers(now);
        }
        if tick % 5 == 0 {
            engine.handle_request(now, attributes(tick / 5));
        }
        while let Some(at) = in_flight.iter().position(|(due, ..)| *due <= now) {
            let (_, request, attempt, end) = in_flight.remove(at);
            engine.attempt_ended(now, request, attempt, end, 30 * MS, None);
        }
        for effect in effects(&mut engine) {
            match &effect {
                Effect::SendAttempt {
                    request,
                    attempt,
                    pod,
                    ..
                } => {
                    assert!(
                        engine.may_send(now, *request, *attempt),
                        "an attempt must be allowed when nothing has changed since its pod was chosen"
                    );
                    let end = if *pod >= 6 {
                        AttemptEnd::Failed
                    } else {
                        AttemptEnd::Served
                    };
                    in_flight.push((now + 30 * MS, *request, *attempt, end));
                }
                Effect::CastVote { id: vote, .. } => {
                    let receipt = if vote_answered {
                        VoteReceipt::Counted
                    } else {
                        VoteReceipt::Unknown
                    };
                    engine.vote_answered(
                        now,
                        *vote,
                        VoteReply {
                            receipt,
                            stage: None,
                        },
                    );
                    // A second reply to the same vote must be ignored.
                    engine.vote_answered(
                        now,
                        *vote,
                        VoteReply {
                            receipt: VoteReceipt::Rejected,
                            stage: None,
                        },
                    );
                }
                _ => {}
            }
            recorded.push((now, effect));
        }
    }
    recorded
}

#[test]
fn the_same_events_and_seed_give_the_same_decisions() {
    let (first, again, other) = (run(1, true), run(1, true), run(2, true));
    assert!(first.len() > 4_000, "{}", first.len());
    assert_eq!(first, again);
    assert_ne!(first, other, "another seed must choose other pods");
}

#[test]
fn a_vote_without_a_reply_is_cast_again() {
    let rollback_votes = |run: Vec<(Nanos, Effect)>| {
        run.iter()
            .filter(|(_, effect)| {
                matches!(
                    effect,
                    Effect::CastVote {
                        vote: Vote::RollBack,
                        ..
                    }
                )
            })
            .count()
    };
    let (answered, unanswered) = (rollback_votes(run(1, true)), rollback_votes(run(1, false)));
    assert!(
        (1..=6).contains(&answered),
        "an answered vote is renewed before it expires after 6 s: {answered}"
    );
    assert!(
        unanswered > 3 * answered,
        "an unanswered vote must be cast again soon: {unanswered}"
    );
}

#[test]
fn each_request_gets_one_final_answer_and_no_effect_after_it() {
    let settings = settings();
    let mut engine = Engine::new(EPOCH, 1, &settings);
    engine.start(EPOCH);
    let request = engine.handle_request(EPOCH, attributes(0));
    assert!(
        effects(&mut engine).contains(&Effect::Reject {
            request,
            retry_after: S
        }),
        "without pods a request must be rejected at once"
    );
    engine.update_endpoints(EPOCH, true, vec![listed_endpoint(0, 1, 1, 0)]);
    let request = engine.handle_request(EPOCH, attributes(2));
    assert!(matches!(
        effects(&mut engine)[..],
        [Effect::SendAttempt { attempt: 0, .. }]
    ));
    assert!(!engine.attempt_ended(EPOCH + S, request, 0, AttemptEnd::TimedOut, S, None));
    assert_eq!(
        effects(&mut engine),
        [Effect::Fail {
            request,
            timed_out: true
        }]
    );
    assert!(
        !engine.attempt_ended(EPOCH + S, request, 0, AttemptEnd::Served, S, None),
        "the attempt had ended before"
    );
    assert!(!engine.may_send(EPOCH + S, request, 0) && effects(&mut engine).is_empty());
    let request = engine.handle_request(EPOCH + S, attributes(2));
    effects(&mut engine);
    engine.client_left(EPOCH + S, request);
    assert!(
        !engine.attempt_ended(EPOCH + S, request, 0, AttemptEnd::Served, MS, None),
        "no response may be delivered to a client that has disconnected"
    );
    assert!(effects(&mut engine).is_empty() && engine.status().requests == 0);
}

#[test]
fn a_restarted_pod_gets_no_earlier_attempt_and_pod_indices_are_reused() {
    let settings = settings();
    let mut engine = Engine::new(EPOCH, 1, &settings);
    engine.update_endpoints(EPOCH, true, vec![listed_endpoint(0, 1, 1, 0)]);
    let request = engine.handle_request(EPOCH, attributes(0));
    assert!(engine.may_send(EPOCH, request, 0));
    engine.update_endpoints(EPOCH + MS, false, vec![listed_endpoint(0, 1, 2, 0)]);
    assert!(
        !engine.may_send(EPOCH + MS, request, 0),
        "another incarnation must not get the attempt, even if both started long ago"
    );
    engine.attempt_ended(EPOCH + MS, request, 0, AttemptEnd::NotSent, MS, None);
    // 1,000 lists, each with one new pod name: an index must be reused once its pod has no attempt in flight.
    let mut highest_index = 0;
    for n in 0..1_000 {
        let now = EPOCH + S + n as Nanos * MS;
        engine.update_endpoints(now, true, vec![listed_endpoint(n as u16 + 10, 1, 1, 0)]);
        let request = engine.handle_request(now, attributes(0));
        for effect in effects(&mut engine) {
            if let Effect::SendAttempt { attempt, pod, .. } = effect {
                highest_index = highest_index.max(pod);
                engine.attempt_ended(now, request, attempt, AttemptEnd::Served, MS, None);
            }
        }
    }
    assert!(highest_index < 5, "index {highest_index}");
}

#[test]
fn a_resumed_request_is_retried_only_if_its_prior_attempts_allow_it() {
    let settings = settings();
    let [keyed, non_idempotent] = [1, 2];
    let prior = |pod, ago, may_have_run| PriorAttempt {
        pod,
        ago,
        may_have_run,
    };
    let resume = |prior_attempts: Vec<PriorAttempt>, route_class| {
        let mut engine = Engine::new(EPOCH, 1, &settings);
        engine.start(EPOCH);
        let pod_ids = engine.update_endpoints(
            EPOCH,
            true,
            (0..3).map(|n| listed_endpoint(n, 1, 1, 60 * S)).collect(),
        );
        assert_eq!(pod_ids, [Some(0), Some(1), Some(2)]);
        effects(&mut engine);
        engine.resume_next_request(EPOCH, prior_attempts);
        engine.handle_request(
            EPOCH,
            RequestAttributes {
                route_class,
                ..attributes(0)
            },
        );
        effects(&mut engine)
    };
    for n in 0..3 {
        let others = (0..3)
            .filter(|pod| *pod != n)
            .map(|pod| prior(Some(pod), S, false))
            .collect();
        let effects_left = resume(others, non_idempotent);
        assert!(
            matches!(effects_left[..], [Effect::SendAttempt { pod, attempt: 0, .. }] if pod == n),
            "{effects_left:?}"
        );
    }
    let with_possible_run = vec![prior(Some(0), S, false), prior(None, S, true)];
    assert!(matches!(
        resume(with_possible_run.clone(), non_idempotent)[..],
        [Effect::Fail { .. }]
    ));
    assert!(matches!(
        resume(with_possible_run.clone(), keyed)[..],
        [Effect::SendAttempt { .. }]
    ));
    // Pods drop repeats for 6 seconds. Once the first attempt is older than that, no retry is allowed, even if a later
    // attempt is more recent.
    let long_ago = vec![prior(Some(0), 7 * S, true), prior(Some(1), S, true)];
    assert!(matches!(resume(long_ago, keyed)[..], [Effect::Fail { .. }]));
    let used_up = (0..4).map(|_| prior(None, S, false)).collect();
    assert!(matches!(
        resume(used_up, non_idempotent)[..],
        [Effect::Reject { .. }]
    ));
}

#[test]
fn a_retry_that_waited_past_the_dedup_window_is_not_sent() {
    let mut settings = settings();
    let (keyed, window) = (1, 200 * MS);
    settings.route_classes[keyed].1.dedup_window = window;
    let mut engine = Engine::new(EPOCH, 1, &settings);
    engine.start(EPOCH);
    engine.update_endpoints(
        EPOCH,
        true,
        (0..3).map(|n| listed_endpoint(n, 1, 1, 60 * S)).collect(),
    );
    // Earlier requests fill the retry budget.
    for _ in 0..30 {
        let request = engine.handle_request(EPOCH, attributes(0));
        engine.attempt_ended(EPOCH, request, 0, AttemptEnd::Served, MS, None);
    }
    let mut retry_allowed = |first_end: AttemptEnd| {
        let request = engine.handle_request(
            EPOCH,
            RequestAttributes {
                route_class: keyed,
                ..attributes(0)
            },
        );
        effects(&mut engine);
        assert!(
            engine.may_send(EPOCH, request, 0),
            "the first attempt has no dedup window"
        );
        engine.attempt_ended(EPOCH + window / 2, request, 0, first_end, MS, None);
        assert!(matches!(
            effects(&mut engine)[..],
            [Effect::SendAttempt { attempt: 1, .. }]
        ));
        let within = engine.may_send(EPOCH + window - 1, request, 1);
        (within, engine.may_send(EPOCH + window, request, 1))
    };
    assert_eq!(
        retry_allowed(AttemptEnd::Reset),
        (true, false),
        "an attempt that may have run limits its retry to the dedup window"
    );
    assert_eq!(
        retry_allowed(AttemptEnd::Rejected),
        (true, true),
        "a rejected attempt never ran, so its retry has no dedup window"
    );
}

/// Returns the builds that requests with one key go to after the first attempt at the newest build. Every attempt at
/// the newest build ends with `newest_end`.
fn builds_after(newest_end: AttemptEnd) -> Vec<u32> {
    let mut settings = settings();
    settings.exposure.sticky_keys = true;
    let mut engine = Engine::new(EPOCH, 3, &settings);
    engine.start(EPOCH);
    let pods = (0..4)
        .map(|n| listed_endpoint(n, 1, 1, 60 * S))
        .chain((4..8).map(|n| listed_endpoint(n, 2, 1, 60 * S)));
    engine.update_endpoints(EPOCH, true, pods.collect());
    engine.update_stage(
        EPOCH,
        Stage {
            build: 2,
            stage: 0,
            phase: Phase::Trial,
            cap: 1.0,
            age: S,
        },
    );
    let (mut newest_tried, mut builds) = (false, Vec::new());
    for n in 0..120 {
        let now = EPOCH + n * 100 * MS;
        let request = engine.handle_request(
            now,
            RequestAttributes {
                key: 5,
                route_class: 0,
                ..attributes(0)
            },
        );
        let mut to_end = Vec::new();
        for effect in effects(&mut engine) {
            if let Effect::SendAttempt {
                request: of,
                attempt,
                pod,
                ..
            } = effect
            {
                if of != request {
                    continue;
                }
                let newest = pod >= 4;
                if newest_tried {
                    builds.push(1 + newest as u32);
                }
                let end = if newest {
                    newest_end
                } else {
                    AttemptEnd::Served
                };
                newest_tried |= newest;
                to_end.push((attempt, end));
            }
        }
        for (attempt, end) in to_end {
            engine.attempt_ended(now + MS, request, attempt, end, MS, None);
        }
        engine.client_left(now + MS, request);
        effects(&mut engine);
    }
    assert!(builds.len() > 20);
    builds
}

#[test]
fn a_key_that_the_newest_build_may_have_served_never_goes_to_an_earlier_build() {
    for end in [
        AttemptEnd::Served,
        AttemptEnd::Reset,
        AttemptEnd::TimedOut,
        AttemptEnd::Cancelled,
    ] {
        assert!(builds_after(end).iter().all(|build| *build == 2), "{end:?}");
    }
    for end in [
        AttemptEnd::Rejected,
        AttemptEnd::ConnectFailed,
        AttemptEnd::Failed,
    ] {
        assert!(
            builds_after(end).contains(&1),
            "{end:?}: the newest build made no response, so an earlier build is allowed"
        );
    }
}
