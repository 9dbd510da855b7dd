//! Checks the cost of one sidecar's tables at small sizes, by counts alone: pods visited, effects and bytes, never times.

use havenplank::interface::{AttemptEnd, Nanos, PodState};
use havenplank_capacity::discovery::{change_bytes, complete_list_bytes, control_line_bytes};
use havenplank_capacity::samples;
use havenplank_capacity::tables::{route_table, Driver};
use havenplank_line_protocol::endpoint_list::{self, ListedEndpoint};
use havenplank_settings::{load, Given};
use havenplank_sidecar::engine::{Effect, Engine, EngineSettings, RequestAttributes, EPOCH};
use oorandom::Rand64;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const SEED: u64 = 7;
const FEW_PODS: usize = 200;
const MANY_PODS: usize = 3_000;
/// Requests sent at the same time, so that no response and no tick comes in between. They are fewer than the engine
/// admits.
const BURST_SIZE: u64 = 30;

fn driver(pods: usize) -> Driver {
    let site = samples::load_settings(3, 3).expect("settings of a scale test");
    Driver::new(&site, SEED, samples::pods(pods))
}

#[test]
fn a_request_fetches_no_more_pods_when_more_are_listed() {
    let fetched = |pods: usize| {
        let mut driver = driver(pods);
        driver.send_requests(200, 700).expect("requests");
        let before = driver.effect_counts().attempts;
        let visits =
            driver.pod_visits_during(|driver| (0..BURST_SIZE).for_each(|_| driver.send_request()));
        assert_eq!(driver.effect_counts().attempts - before, BURST_SIZE);
        assert_eq!(
            visits.sorted + visits.scanned,
            0,
            "a request scanned or sorted pods"
        );
        visits.fetched as f64 / BURST_SIZE as f64
    };
    let (few, many) = (fetched(FEW_PODS), fetched(MANY_PODS));
    assert!(
        many <= 1.25 * few && many <= 60.0,
        "pods fetched for a request: {few} of {FEW_PODS}, {many} of {MANY_PODS}"
    );
}

#[test]
fn a_tick_scans_the_pod_table_at_most_twice() {
    let mut driver = driver(MANY_PODS);
    driver.advance_to(EPOCH + SECOND);
    let visits = driver.pod_visits_during(|driver| {
        driver.advance_to(EPOCH + SECOND + 200 * MS);
    });
    assert!(visits.scanned <= 2 * MANY_PODS as u64, "{visits:?}");
    assert!(
        visits.fetched <= 200,
        "a tick fetches more than the pods of the sidecar's subset: {visits:?}"
    );
    assert_eq!(visits.sorted, 0);
}

#[test]
fn a_change_sorts_one_pod_and_scans_only_its_group() {
    let mut driver = driver(MANY_PODS);
    let old = samples::pod(1);
    let draining = ListedEndpoint {
        state: PodState::Draining,
        ..old.clone()
    };
    let gone = ListedEndpoint {
        state: PodState::Gone,
        ..old
    };
    let new = samples::pod_of_build(MANY_PODS + 2, 1, MS);
    // The update of all pods that follows each list scans the table twice in addition.
    let update_scans = 2 * (MANY_PODS as u64 + 1);
    let group_size = (MANY_PODS / samples::ZONES) as u64 + 1;
    for change in [vec![draining], vec![gone], vec![new]] {
        let visits = driver.pod_visits_during(|driver| {
            driver.update_endpoints(change);
        });
        assert!(visits.sorted <= 1, "{visits:?}");
        assert!(
            visits.scanned <= update_scans + group_size + 1,
            "{visits:?}, scans of the update {update_scans}, group size {group_size}"
        );
    }
}

#[test]
fn an_idle_engine_has_no_effects_however_many_pods_are_listed() {
    for pods in [FEW_PODS, MANY_PODS] {
        let mut driver = driver(pods);
        driver.advance_to(EPOCH + SECOND);
        let before = driver.effect_counts().all();
        (0..100).for_each(|tick| {
            driver.advance_to(EPOCH + SECOND + tick * 200 * MS);
        });
        assert_eq!(driver.effect_counts().all(), before, "with {pods} pods");
    }
}

#[test]
fn a_change_takes_few_bytes_and_a_complete_list_no_more_for_each_pod() {
    let one = change_bytes(&samples::pod(MANY_PODS - 1));
    assert!(one <= 160, "{one} bytes for one change");
    let (few, many) = (
        complete_list_bytes(&samples::pods(FEW_PODS)),
        complete_list_bytes(&samples::pods(MANY_PODS)),
    );
    let bytes_per_pod = (many - few) as f64 / (MANY_PODS - FEW_PODS) as f64;
    assert!(
        bytes_per_pod <= one as f64,
        "{bytes_per_pod} bytes per pod of a complete list, {one} for a change"
    );
    let control = control_line_bytes();
    assert!(
        control
            .stage_update
            .max(control.vote)
            .max(control.vote_reply)
            <= 64,
        "{control:?}"
    );
    let read =
        endpoint_list::decode_cached(&endpoint_list::encode_cached(&samples::pods(MANY_PODS)))
            .expect("the list that was just encoded");
    assert_eq!(read, samples::pods(MANY_PODS));
}

#[test]
fn settings_accept_4500_routes_and_150000_tenants_and_report_the_record_limit() {
    let site = samples::load_settings(4_500, 150_000).expect("settings of the planned size");
    assert_eq!(
        (site.route_classes.len(), site.tenants.len()),
        (4_500, 150_000)
    );
    let table = route_table(&site);
    let route = table
        .find("GET", &samples::route_path(4_499))
        .expect("the last route");
    assert_eq!(
        (route.name.as_str(), route.route_class()),
        ("route-4499", 4_499)
    );
    assert_eq!(
        table
            .tenant("tenant-149999")
            .and_then(|tenant| tenant.index),
        Some(149_999)
    );
    let directory = tempfile::tempdir().expect("create a temporary directory");
    let file = directory.path().join("large.star");
    std::fs::write(&file, samples::script(20_000, 1)).expect("write the settings script");
    let problems = load(&file, &Given::new())
        .expect_err("more records than a script may declare")
        .0;
    let problem = &problems[0];
    assert!(
        problem.file.ends_with("large.star") && problem.line == 6,
        "{problem}"
    );
    for text in [
        "path_group(...) is record 16385",
        "expected at most 16384 records",
        "paths = [...]",
    ] {
        assert!(problem.found.contains(text), "{problem} lacks {text:?}");
    }
}

/// Two engines that receive the same calls. One receives only the changed pods, the other also the complete list after
/// each change.
struct EnginePair {
    with_changes: Engine,
    with_complete_lists: Engine,
    now: Nanos,
    attempts: usize,
}

impl EnginePair {
    fn compare(&mut self, call: impl Fn(&mut Engine, Nanos)) {
        let mut effects = [Vec::new(), Vec::new()];
        for (engine, effects) in [&mut self.with_changes, &mut self.with_complete_lists]
            .into_iter()
            .zip(&mut effects)
        {
            call(engine, self.now);
            effects.extend(std::iter::from_fn(|| engine.next_effect()));
        }
        assert_eq!(effects[0], effects[1], "at {} ms", (self.now - EPOCH) / MS);
        self.attempts += effects[0]
            .iter()
            .filter(|effect| matches!(effect, Effect::SendAttempt { .. }))
            .count();
    }
}

/// Returns a random pod. Its size is a fraction, so that sums of sizes are subject to rounding.
fn random_pod(number: usize, rng: &mut Rand64) -> ListedEndpoint {
    let build = 1 + rng.rand_range(0..2) as u32;
    let age = rng.rand_range(0..2) * rng.rand_range(1..8) * SECOND;
    ListedEndpoint {
        size: 0.1 + 0.7 * rng.rand_float(),
        ..samples::pod_of_build(number, build, age)
    }
}

/// Changes one pod at random and returns the change: the pod drains, is gone, returns as another incarnation or build,
/// has another size, or is new.
fn random_change(pods: &mut Vec<ListedEndpoint>, step: u64, rng: &mut Rand64) -> ListedEndpoint {
    let at = rng.rand_range(0..pods.len() as u64) as usize;
    let number = 100 + step as usize;
    match rng.rand_range(0..5) {
        0 => pods[at].state = PodState::Draining,
        1 if pods.len() > 20 => {
            return ListedEndpoint {
                state: PodState::Gone,
                ..pods.remove(at)
            }
        }
        2 => {
            let replacement = random_pod(number, rng);
            pods[at] = ListedEndpoint {
                name: pods[at].name.clone(),
                ..replacement
            };
        }
        3 => pods[at].size = 0.1 + rng.rand_float(),
        _ => {
            let new = random_pod(number, rng);
            pods.push(new.clone());
            return new;
        }
    }
    pods[at].clone()
}

#[test]
fn changes_lead_to_the_same_decisions_as_complete_lists() {
    for seed in 0..6 {
        let site = samples::load_settings(3, 3).expect("settings of a scale test");
        let engine = || Engine::new(EPOCH, seed, &EngineSettings::from(&site));
        let mut rng = Rand64::new(seed as u128);
        let mut pods: Vec<ListedEndpoint> =
            (0..60).map(|number| random_pod(number, &mut rng)).collect();
        let mut pair = EnginePair {
            with_changes: engine(),
            with_complete_lists: engine(),
            now: EPOCH,
            attempts: 0,
        };
        pair.compare(|engine, now| engine.start(now));
        pair.compare(|engine, now| drop(engine.update_endpoints(now, true, pods.clone())));
        for step in 0..1_500u64 {
            pair.now += 20 * MS;
            pair.compare(|engine, now| engine.run_timers(now));
            if step % 3 == 0 {
                let change = random_change(&mut pods, step, &mut rng);
                pair.compare(|engine, now| {
                    drop(engine.update_endpoints(now, false, vec![change.clone()]))
                });
                // Makes this engine build its pod groups again.
                pair.with_complete_lists
                    .update_endpoints(pair.now, true, pods.clone());
            }
            let (key, time_left) = (step + 1, SECOND);
            let attributes = RequestAttributes {
                route_class: 0,
                tenant: None,
                key,
                remaining: time_left,
                cost_hint: None,
                is_retry: false,
            };
            pair.compare(|engine, now| {
                engine.handle_request(now, attributes.clone());
            });
            let end = if rng.rand_range(0..10) == 0 {
                AttemptEnd::Failed
            } else {
                AttemptEnd::Served
            };
            if let Some(request) = step.checked_sub(5) {
                pair.compare(|engine, now| {
                    engine.attempt_ended(now, request, 0, end, 100 * MS, None);
                });
            }
        }
        assert!(
            pair.attempts >= 500,
            "only {} attempts compared",
            pair.attempts
        );
    }
}
