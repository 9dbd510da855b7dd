//! What one sidecar's tables cost, held by counts at small sizes: pods looked at, effects and bytes, never time.

use havenplank::interface::{AttemptEnd, Nanos, PodState};
use havenplank_capacity::discovery::{change_bytes, complete_list_bytes, control_line_bytes};
use havenplank_capacity::samples;
use havenplank_capacity::tables::{route_table, Driver};
use havenplank_line_protocol::endpoint_list::{self, ListedEndpoint};
use havenplank_settings::{load, Given};
use havenplank_sidecar::engine::{Effect, Engine, EngineSettings, RequestAttributes, EPOCH};
use oorandom::Rand64;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const SEED: u64 = 7;
const FEW: usize = 200;
const MANY: usize = 3_000;
/// At once, so that no answer and no tick comes between, and fewer than the engine lets in.
const AT_ONCE: u64 = 30;

fn driver(pods: usize) -> Driver {
    let site = samples::load_settings(3, 3).expect("settings of a scale test");
    Driver::new(&site, SEED, samples::pods(pods))
}

#[test]
fn a_request_fetches_no_more_pods_where_more_are_listed() {
    let fetched = |pods: usize| {
        let mut driver = driver(pods);
        driver.send_requests(200, 700).expect("requests");
        let before = driver.effect_counts().attempts;
        let visits =
            driver.pod_visits_during(|driver| (0..AT_ONCE).for_each(|_| driver.send_request()));
        assert_eq!(driver.effect_counts().attempts - before, AT_ONCE);
        assert_eq!(
            visits.sorted + visits.scanned,
            0,
            "a pass over the table within a request"
        );
        visits.fetched as f64 / AT_ONCE as f64
    };
    let (few, many) = (fetched(FEW), fetched(MANY));
    assert!(
        many <= 1.25 * few && many <= 60.0,
        "fetched for a request: {few} with {FEW}, {many} with {MANY}"
    );
}

#[test]
fn a_tick_passes_over_the_table_twice_at_most() {
    let mut driver = driver(MANY);
    driver.advance_to(EPOCH + S);
    let visits = driver.pod_visits_during(|driver| {
        driver.advance_to(EPOCH + S + 200 * MS);
    });
    assert!(visits.scanned <= 2 * MANY as u64, "{visits:?}");
    assert!(
        visits.fetched <= 200,
        "a tick fetches the pods that the sidecar keeps to: {visits:?}"
    );
    assert_eq!(visits.sorted, 0);
}

#[test]
fn one_change_sorts_one_pod_and_passes_over_its_side_alone() {
    let mut driver = driver(MANY);
    let old = samples::pod(1);
    let drained = ListedEndpoint {
        state: PodState::Draining,
        ..old.clone()
    };
    let gone = ListedEndpoint {
        state: PodState::Gone,
        ..old
    };
    let new = samples::pod_of_build(MANY + 2, 1, MS);
    // The look at all pods that follows each list comes on top: two passes.
    let survey = 2 * (MANY as u64 + 1);
    let side = (MANY / samples::ZONES) as u64 + 1;
    for change in [vec![drained], vec![gone], vec![new]] {
        let visits = driver.pod_visits_during(|driver| {
            driver.update_endpoints(change);
        });
        assert!(visits.sorted <= 1, "{visits:?}");
        assert!(
            visits.scanned <= survey + side + 1,
            "{visits:?}, survey {survey}, side {side}"
        );
    }
}

#[test]
fn an_engine_at_rest_leaves_no_effects_however_much_is_listed() {
    for pods in [FEW, MANY] {
        let mut driver = driver(pods);
        driver.advance_to(EPOCH + S);
        let before = driver.effect_counts().all();
        (0..100).for_each(|tick| {
            driver.advance_to(EPOCH + S + tick * 200 * MS);
        });
        assert_eq!(driver.effect_counts().all(), before, "with {pods} pods");
    }
}

#[test]
fn a_change_on_the_line_costs_the_same_in_any_list_and_a_whole_list_its_pods() {
    let one = change_bytes(&samples::pod(MANY - 1));
    assert!(one <= 160, "{one} bytes for one change");
    let (few, many) = (
        complete_list_bytes(&samples::pods(FEW)),
        complete_list_bytes(&samples::pods(MANY)),
    );
    let each = (many - few) as f64 / (MANY - FEW) as f64;
    assert!(
        each <= one as f64,
        "{each} bytes for a pod of a whole list, {one} for a change"
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
    let read = endpoint_list::decode_cached(&endpoint_list::encode_cached(&samples::pods(MANY)))
        .expect("its own list");
    assert_eq!(read, samples::pods(MANY));
}

#[test]
fn settings_take_4500_routes_and_150000_tenants_and_name_their_limit() {
    let site = samples::load_settings(4_500, 150_000).expect("the size to plan for");
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
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("large.star");
    std::fs::write(&file, samples::script(20_000, 1)).expect("a file");
    let problems = load(&file, &Given::new())
        .expect_err("more records than a script may call for")
        .0;
    let problem = &problems[0];
    assert!(
        problem.file.ends_with("large.star") && problem.line == 6,
        "{problem}"
    );
    for part in [
        "path_group(...) is record 16385",
        "16384 at most",
        "paths = [...]",
    ] {
        assert!(problem.found.contains(part), "{problem} lacks {part:?}");
    }
}

/// Two engines that are asked the same; one hears of changes alone, the other of the whole list as well.
struct Pair {
    by_changes: Engine,
    by_wholes: Engine,
    now: Nanos,
    attempts: usize,
}

impl Pair {
    fn compare(&mut self, call: impl Fn(&mut Engine, Nanos)) {
        let mut effects = [Vec::new(), Vec::new()];
        for (engine, effects) in [&mut self.by_changes, &mut self.by_wholes]
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

/// A pod of any zone and build, and of a size whose sum rounds.
fn any_pod(number: usize, chance: &mut Rand64) -> ListedEndpoint {
    let build = 1 + chance.rand_range(0..2) as u32;
    let age = chance.rand_range(0..2) * chance.rand_range(1..8) * S;
    ListedEndpoint {
        size: 0.1 + 0.7 * chance.rand_float(),
        ..samples::pod_of_build(number, build, age)
    }
}

/// Lets one pod drain, go, come back as another incarnation or build, change its size, or be a new one.
fn change(pods: &mut Vec<ListedEndpoint>, step: u64, chance: &mut Rand64) -> ListedEndpoint {
    let at = chance.rand_range(0..pods.len() as u64) as usize;
    let number = 100 + step as usize;
    match chance.rand_range(0..5) {
        0 => pods[at].state = PodState::Draining,
        1 if pods.len() > 20 => {
            return ListedEndpoint {
                state: PodState::Gone,
                ..pods.remove(at)
            }
        }
        2 => {
            let renewed = any_pod(number, chance);
            pods[at] = ListedEndpoint {
                name: pods[at].name.clone(),
                ..renewed
            };
        }
        3 => pods[at].size = 0.1 + chance.rand_float(),
        _ => {
            let new = any_pod(number, chance);
            pods.push(new.clone());
            return new;
        }
    }
    pods[at].clone()
}

#[test]
fn changes_lead_to_the_same_decisions_as_whole_lists() {
    for seed in 0..6 {
        let site = samples::load_settings(3, 3).expect("settings of a scale test");
        let engine = || Engine::new(EPOCH, seed, &EngineSettings::from(&site));
        let mut chance = Rand64::new(seed as u128);
        let mut pods: Vec<ListedEndpoint> =
            (0..60).map(|number| any_pod(number, &mut chance)).collect();
        let mut pair = Pair {
            by_changes: engine(),
            by_wholes: engine(),
            now: EPOCH,
            attempts: 0,
        };
        pair.compare(|engine, now| engine.start(now));
        pair.compare(|engine, now| drop(engine.update_endpoints(now, true, pods.clone())));
        for step in 0..1_500u64 {
            pair.now += 20 * MS;
            pair.compare(|engine, now| engine.run_timers(now));
            if step % 3 == 0 {
                let change = change(&mut pods, step, &mut chance);
                pair.compare(|engine, now| {
                    drop(engine.update_endpoints(now, false, vec![change.clone()]))
                });
                // Makes this one's sides anew.
                pair.by_wholes
                    .update_endpoints(pair.now, true, pods.clone());
            }
            let (key, left) = (step + 1, S);
            let asked = RequestAttributes {
                route_class: 0,
                tenant: None,
                key,
                remaining: left,
                cost_hint: None,
                is_retry: false,
            };
            pair.compare(|engine, now| {
                engine.handle_request(now, asked.clone());
            });
            let end = if chance.rand_range(0..10) == 0 {
                AttemptEnd::Failed
            } else {
                AttemptEnd::Served
            };
            if let Some(hit) = step.checked_sub(5) {
                pair.compare(|engine, now| {
                    engine.attempt_ended(now, hit, 0, end, 100 * MS, None);
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
