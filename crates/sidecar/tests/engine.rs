//! The engine by itself: virtual time, no sockets, and the same decisions each time it is told the same.

use havenplank::interface::{
    AttemptEnd, Nanos, Phase, PodState, PriorAttempt, Stage, Vote, VoteReceipt, VoteReply,
};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_settings::{load, Given};
use havenplank_sidecar::engine::{Effect, Engine, EngineSettings, RequestAttributes, EPOCH};
use std::path::Path;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

fn site() -> EngineSettings {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/site.star");
    EngineSettings::from(
        &load(&file, &Given::new()).unwrap_or_else(|problems| panic!("{problems}")),
    )
}

fn listed(n: u16, build: u32, life: u64, age: Nanos) -> ListedEndpoint {
    ListedEndpoint {
        name: format!("pod-{n}"),
        address: ([127, 0, 0, 1], 4000 + n).into(),
        state: PodState::Running,
        build,
        incarnation: life,
        age,
        zone: "room-1".to_string(),
        machine: "three-core".to_string(),
        cell: 0,
        size: 3.0,
    }
}

fn asked(n: u64) -> RequestAttributes {
    let group = (n % 3) as usize;
    RequestAttributes {
        route_class: group,
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

/// A run of 20 s: old pods answer well, those of build 2 fail; every effect, in order.
fn run(seed: u64, vote_answered: bool) -> Vec<(Nanos, Effect)> {
    let site = site();
    let mut engine = Engine::new(EPOCH, seed, &site);
    engine.start(EPOCH);
    let old = (0..6)
        .map(|n| listed(n, 1, 1, 0))
        .chain((6..9).map(|n| listed(n, 2, 1, 10 * S)));
    engine.update_endpoints(EPOCH, true, old.collect());
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
    let mut out: Vec<(Nanos, u64, u32, AttemptEnd)> = Vec::new();
    let mut done = Vec::new();
    for tick in 0..20_000 {
        let now = EPOCH + tick * MS;
        if engine.next_timer().is_some_and(|at| at <= now) {
            engine.run_timers(now);
        }
        if tick % 5 == 0 {
            engine.handle_request(now, asked(tick / 5));
        }
        while let Some(at) = out.iter().position(|(due, ..)| *due <= now) {
            let (_, hit, nth, end) = out.remove(at);
            engine.attempt_ended(now, hit, nth, end, 30 * MS, None);
        }
        for effect in effects(&mut engine) {
            match &effect {
                Effect::SendAttempt {
                    request: hit,
                    attempt: nth,
                    pod,
                    ..
                } => {
                    assert!(
                        engine.may_send(now, *hit, *nth),
                        "nothing has changed since it was chosen"
                    );
                    let end = if *pod >= 6 {
                        AttemptEnd::Failed
                    } else {
                        AttemptEnd::Served
                    };
                    out.push((now + 30 * MS, *hit, *nth, end));
                }
                Effect::CastVote { id: vote, .. } => {
                    let heard = if vote_answered {
                        VoteReceipt::Counted
                    } else {
                        VoteReceipt::Unknown
                    };
                    engine.vote_answered(
                        now,
                        *vote,
                        VoteReply {
                            receipt: heard,
                            stage: None,
                        },
                    );
                    // An answer that comes again is nobody's.
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
            done.push((now, effect));
        }
    }
    done
}

#[test]
fn the_same_told_gives_the_same_decisions() {
    let (first, again, other) = (run(1, true), run(1, true), run(2, true));
    assert!(first.len() > 4_000, "{}", first.len());
    assert_eq!(first, again);
    assert_ne!(first, other, "another seed draws other pods");
}

#[test]
fn a_vote_without_an_answer_is_cast_again() {
    let backs = |run: Vec<(Nanos, Effect)>| {
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
    let (answered, unanswered) = (backs(run(1, true)), backs(run(1, false)));
    assert!(
        (1..=6).contains(&answered),
        "renewed within its life of 6 s: {answered}"
    );
    assert!(unanswered > 3 * answered, "tried again soon: {unanswered}");
}

#[test]
fn each_hit_has_one_answer_and_nothing_after_it() {
    let site = site();
    let mut engine = Engine::new(EPOCH, 1, &site);
    engine.start(EPOCH);
    let hit = engine.handle_request(EPOCH, asked(0));
    assert!(
        effects(&mut engine).contains(&Effect::Reject {
            request: hit,
            retry_after: S
        }),
        "no pods: at once"
    );
    engine.update_endpoints(EPOCH, true, vec![listed(0, 1, 1, 0)]);
    let hit = engine.handle_request(EPOCH, asked(2));
    assert!(matches!(
        effects(&mut engine)[..],
        [Effect::SendAttempt { attempt: 0, .. }]
    ));
    assert!(!engine.attempt_ended(EPOCH + S, hit, 0, AttemptEnd::TimedOut, S, None));
    assert_eq!(
        effects(&mut engine),
        [Effect::Fail {
            request: hit,
            timed_out: true
        }]
    );
    assert!(
        !engine.attempt_ended(EPOCH + S, hit, 0, AttemptEnd::Served, S, None),
        "its forward ended before"
    );
    assert!(!engine.may_send(EPOCH + S, hit, 0) && effects(&mut engine).is_empty());
    let hit = engine.handle_request(EPOCH + S, asked(2));
    effects(&mut engine);
    engine.client_left(EPOCH + S, hit);
    assert!(
        !engine.attempt_ended(EPOCH + S, hit, 0, AttemptEnd::Served, MS, None),
        "nobody is there to be answered"
    );
    assert!(effects(&mut engine).is_empty() && engine.status().requests == 0);
}

#[test]
fn a_pod_that_came_back_is_another_and_names_do_not_pile_up() {
    let site = site();
    let mut engine = Engine::new(EPOCH, 1, &site);
    engine.update_endpoints(EPOCH, true, vec![listed(0, 1, 1, 0)]);
    let hit = engine.handle_request(EPOCH, asked(0));
    assert!(engine.may_send(EPOCH, hit, 0));
    engine.update_endpoints(EPOCH + MS, false, vec![listed(0, 1, 2, 0)]);
    assert!(
        !engine.may_send(EPOCH + MS, hit, 0),
        "another life, even where both began long ago"
    );
    engine.attempt_ended(EPOCH + MS, hit, 0, AttemptEnd::NotSent, MS, None);
    // A thousand lists of new names: indices are used again once nothing is out there.
    let mut most = 0;
    for n in 0..1_000 {
        let now = EPOCH + S + n as Nanos * MS;
        engine.update_endpoints(now, true, vec![listed(n as u16 + 10, 1, 1, 0)]);
        let hit = engine.handle_request(now, asked(0));
        for effect in effects(&mut engine) {
            if let Effect::SendAttempt {
                attempt: nth, pod, ..
            } = effect
            {
                most = most.max(pod);
                engine.attempt_ended(now, hit, nth, AttemptEnd::Served, MS, None);
            }
        }
    }
    assert!(most < 5, "index {most}");
}

#[test]
fn a_hit_taken_elsewhere_goes_on_by_what_may_have_run() {
    let site = site();
    let [tagged, mutating] = [1, 2];
    let earlier = |pod, ago, may_have_run| PriorAttempt {
        pod,
        ago,
        may_have_run,
    };
    let begin = |past: Vec<PriorAttempt>, group| {
        let mut engine = Engine::new(EPOCH, 1, &site);
        engine.start(EPOCH);
        let given = engine.update_endpoints(
            EPOCH,
            true,
            (0..3).map(|n| listed(n, 1, 1, 60 * S)).collect(),
        );
        assert_eq!(given, [Some(0), Some(1), Some(2)]);
        effects(&mut engine);
        engine.resume_next_request(EPOCH, past);
        engine.handle_request(
            EPOCH,
            RequestAttributes {
                route_class: group,
                ..asked(0)
            },
        );
        effects(&mut engine)
    };
    for n in 0..3 {
        let others = (0..3)
            .filter(|pod| *pod != n)
            .map(|pod| earlier(Some(pod), S, false))
            .collect();
        let went = begin(others, mutating);
        assert!(
            matches!(went[..], [Effect::SendAttempt { pod, attempt: 0, .. }] if pod == n),
            "{went:?}"
        );
    }
    let may = vec![earlier(Some(0), S, false), earlier(None, S, true)];
    assert!(matches!(
        begin(may.clone(), mutating)[..],
        [Effect::Fail { .. }]
    ));
    assert!(matches!(
        begin(may.clone(), tagged)[..],
        [Effect::SendAttempt { .. }]
    ));
    // Past the six seconds in which pods drop its repeats the first one counts, whatever came later.
    let long_ago = vec![earlier(Some(0), 7 * S, true), earlier(Some(1), S, true)];
    assert!(matches!(begin(long_ago, tagged)[..], [Effect::Fail { .. }]));
    let used_up = (0..4).map(|_| earlier(None, S, false)).collect();
    assert!(matches!(
        begin(used_up, mutating)[..],
        [Effect::Reject { .. }]
    ));
}

#[test]
fn a_repeat_that_waits_for_a_connection_past_its_window_does_not_go() {
    let mut site = site();
    let (tagged, window) = (1, 200 * MS);
    site.route_classes[tagged].1.dedup_window = window;
    let mut engine = Engine::new(EPOCH, 1, &site);
    engine.start(EPOCH);
    engine.update_endpoints(
        EPOCH,
        true,
        (0..3).map(|n| listed(n, 1, 1, 60 * S)).collect(),
    );
    // Hits before it, without which there is no budget for a retry.
    for _ in 0..30 {
        let hit = engine.handle_request(EPOCH, asked(0));
        engine.attempt_ended(EPOCH, hit, 0, AttemptEnd::Served, MS, None);
    }
    let mut repeated = |first: AttemptEnd| {
        let hit = engine.handle_request(
            EPOCH,
            RequestAttributes {
                route_class: tagged,
                ..asked(0)
            },
        );
        effects(&mut engine);
        assert!(engine.may_send(EPOCH, hit, 0), "no window yet");
        engine.attempt_ended(EPOCH + window / 2, hit, 0, first, MS, None);
        assert!(matches!(
            effects(&mut engine)[..],
            [Effect::SendAttempt { attempt: 1, .. }]
        ));
        let within = engine.may_send(EPOCH + window - 1, hit, 1);
        (within, engine.may_send(EPOCH + window, hit, 1))
    };
    assert_eq!(
        repeated(AttemptEnd::Reset),
        (true, false),
        "what may have run"
    );
    assert_eq!(
        repeated(AttemptEnd::Rejected),
        (true, true),
        "what never ran has no window"
    );
}

/// Builds that hits of one key go to after a forward of it to the newest, all of which end so.
fn builds_after(each: AttemptEnd) -> Vec<u32> {
    let mut site = site();
    site.exposure.sticky_keys = true;
    let mut engine = Engine::new(EPOCH, 3, &site);
    engine.start(EPOCH);
    let pods = (0..4)
        .map(|n| listed(n, 1, 1, 60 * S))
        .chain((4..8).map(|n| listed(n, 2, 1, 60 * S)));
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
    let (mut ended, mut builds) = (false, Vec::new());
    for n in 0..120 {
        let now = EPOCH + n * 100 * MS;
        let hit = engine.handle_request(
            now,
            RequestAttributes {
                key: 5,
                route_class: 0,
                ..asked(0)
            },
        );
        let mut after = Vec::new();
        for effect in effects(&mut engine) {
            if let Effect::SendAttempt {
                request: of,
                attempt: nth,
                pod,
                ..
            } = effect
            {
                if of != hit {
                    continue;
                }
                let newest = pod >= 4;
                if ended {
                    builds.push(1 + newest as u32);
                }
                let end = if newest { each } else { AttemptEnd::Served };
                ended |= newest;
                after.push((nth, end));
            }
        }
        for (nth, end) in after {
            engine.attempt_ended(now + MS, hit, nth, end, MS, None);
        }
        engine.client_left(now + MS, hit);
        effects(&mut engine);
    }
    assert!(builds.len() > 20);
    builds
}

#[test]
fn a_key_that_the_newest_build_may_have_answered_goes_to_no_earlier_one() {
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
            "{end:?}: no answer was made"
        );
    }
}
