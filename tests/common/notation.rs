//! The notation of the scenarios in `tests/cases`. A command is a word, a name and `key=value` pairs. A line has one
//! or more commands, separated by semicolons.

use super::scripted_host::{ScriptedHost, ScriptedPod};
use havenplank::interface::{
    stable_hash, AttemptEnd, AttemptSettings, Build, DedupScope, Endpoint, EndpointListSettings,
    ExposureSettings, FleetPosition, Idempotency, IncomingRequest, Nanos, Phase, PodId,
    PodSettings, PodState, ReleaseControl, RequestId, RouteClass, RouterSettings, Stage, Vote,
    VoteSettings,
};
use havenplank::Router;
use std::collections::HashMap;

/// The time at which a scenario starts. It is far from 0, so that a pod with the start time 0 started long ago.
pub const START: Nanos = 1_000_000_000_000;
const SEED: u64 = 7;

/// Returns the word for a vote in the scenarios.
pub fn vote_word(vote: Vote) -> &'static str {
    match vote {
        Vote::None => "none",
        Vote::Advance => "on",
        Vote::Hold => "hold",
        Vote::RollBack => "back",
    }
}

/// Parses a duration such as `20ms` or `2s`.
pub fn duration(text: &str) -> Nanos {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e6),
        None => (text.strip_suffix('s').unwrap_or(text), 1e9),
    };
    let number: Result<f64, _> = number.parse();
    (number.unwrap_or_else(|_| panic!("found {text:?}, expected a duration such as 20ms or 2s"))
        * unit) as Nanos
}

/// How a pod answers: the kind of the answer, and its latency.
#[derive(Clone)]
pub struct Answer {
    kind: String,
    pub latency: Nanos,
}

impl Answer {
    pub fn parse(text: &str) -> Answer {
        let (kind, latency) = text.split_once(':').unwrap_or((text, "0s"));
        Answer {
            kind: kind.to_string(),
            latency: duration(latency),
        }
    }

    /// Returns how an attempt of a request ends at the pod.
    pub fn end(&self, request: RequestId) -> AttemptEnd {
        match self.kind.as_str() {
            "ok" => AttemptEnd::Served,
            "error" => AttemptEnd::Failed,
            "dead" => AttemptEnd::ConnectFailed,
            "full" => AttemptEnd::Rejected,
            // Faulty requests: every fourth one fails at any pod.
            "fourth" if request.is_multiple_of(4) => AttemptEnd::Failed,
            "fourth" => AttemptEnd::Served,
            _ => AttemptEnd::TimedOut,
        }
    }
}

/// The `key=value` pairs of a command.
pub struct Pairs<'a>(HashMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    pub fn parse(command: &'a str) -> Pairs<'a> {
        let words = command.split_whitespace();
        Pairs(words.filter_map(|word| word.split_once('=')).collect())
    }

    fn has(&self, key: &str) -> bool {
        self.0.contains_key(key)
    }

    fn text(&self, key: &str, default: &str) -> String {
        self.0.get(key).unwrap_or(&default).to_string()
    }

    fn duration(&self, key: &str, default: &str) -> Nanos {
        duration(&self.text(key, default))
    }

    fn number(&self, key: &str, default: f64) -> f64 {
        self.0.get(key).map_or(default, |text| {
            let number = text.parse();
            number.unwrap_or_else(|_| panic!("found {text:?}, expected a number"))
        })
    }

    fn flag(&self, key: &str) -> bool {
        self.number(key, 0.0) > 0.0
    }

    pub fn route_class(&self) -> RouteClass {
        let idempotency = match self.text("kind", "repeatable").as_str() {
            "tagged" => Idempotency::Keyed,
            "mutating" => Idempotency::NonIdempotent,
            _ => Idempotency::Idempotent,
        };
        let dedup_scope = match self.text("scope", "all").as_str() {
            "zone" => DedupScope::Zone,
            _ => DedupScope::All,
        };
        RouteClass {
            idempotency,
            dedup_scope,
            dedup_window: self.duration("window", "5s"),
            latency_objective: self.duration("target", "1s"),
            client_timeout: self.duration("timeout", "2s"),
            priority_weight: self.number("benefit", 1.0),
            late_weight: self.number("late", 0.0),
            stream: false,
        }
    }

    pub fn router(&self, now: Nanos, route_classes: Vec<RouteClass>) -> Router {
        let settings = RouterSettings {
            position: FleetPosition {
                rank: self.number("rank", 0.0) as usize,
                instances: self.number("instances", 1.0) as usize,
                zone: 0,
            },
            route_classes,
            attempts: AttemptSettings {
                max_attempts: 4,
                hedging: self.flag("copies"),
                may_cancel: true,
                max_retry_after: duration("500ms"),
                cross_zone_cost: self.number("cross", 0.0),
            },
            pods: PodSettings {
                drain_grace: duration("500ms"),
                initial_capacity: self.number("cold", 0.3),
                warm_up: duration("5s"),
                overload_multiple: 2.0,
                overload_window: duration("1s"),
                health_checks: false,
            },
            exposure: self.exposure(),
            votes: self.votes(),
            endpoint_list: EndpointListSettings {
                must_watch: self.flag("ask"),
                max_watch_retry_delay: duration("10s"),
            },
        };
        Router::new(now, SEED, settings)
    }

    fn exposure(&self) -> ExposureSettings {
        let caps = self.text("caps", "0.1,0.5,1");
        ExposureSettings {
            window: duration("2s"),
            free_attempts: self.number("free", 2.0),
            per_class: self.flag("per_group"),
            idempotent_only_stages: self.number("guarded", 0.0) as usize,
            sticky_keys: self.flag("one_way"),
            blue_green: true,
            caps: caps.split(',').map(|cap| cap.parse().unwrap()).collect(),
        }
    }

    fn votes(&self) -> VoteSettings {
        let control = match self.text("control", "any").as_str() {
            "count" => ReleaseControl::Quorum,
            "clock" => ReleaseControl::Timed,
            _ => ReleaseControl::AnyVote,
        };
        VoteSettings {
            control,
            advance_quorum: self.number("on_needs", 0.0) as usize,
            rollback_quorum: self.number("back_needs", 1.0) as usize,
            ttl: self.duration("life", "4s"),
            call_timeout: self.duration("call", "1200ms"),
            calls_per_second: self.number("calls_per_s", 25.0),
            stage_duration: self.duration("step", "4s"),
        }
    }

    fn stage(&self) -> Stage {
        let phase = match self.text("phase", "trial").as_str() {
            "back" => Phase::RollingBack,
            "released" => Phase::Released,
            "withdrawn" => Phase::Withdrawn,
            _ => Phase::Trial,
        };
        Stage {
            build: self.number("build", 2.0) as Build,
            stage: self.number("stage", 0.0) as usize,
            phase,
            cap: self.number("cap", 0.1),
            age: self.duration("age", "0s"),
        }
    }

    fn request(&self, id: RequestId) -> IncomingRequest {
        IncomingRequest {
            class: self.number("group", 0.0) as usize,
            key: self.number("key", 0.0) as u64,
            remaining: self.duration("left", "2s"),
            ..request(id)
        }
    }
}

/// A request without a key, with two seconds left.
pub fn request(id: RequestId) -> IncomingRequest {
    IncomingRequest {
        id,
        class: 0,
        tenant: None,
        key: 0,
        remaining: duration("2s"),
        cost_hint: None,
        is_retry: false,
    }
}

/// A running pod of size 1 in the first zone.
pub fn endpoint(pod: PodId, name: &str, build: Build, started: Nanos) -> Endpoint {
    Endpoint {
        pod,
        name_hash: stable_hash(name.as_bytes()),
        state: PodState::Running,
        build,
        started,
        zone: 0,
        machine_type: 0,
        cell: 0,
        size: 1.0,
    }
}

/// Runs a scenario, command by command.
pub fn run_scenario(text: &str) {
    let mut scenario = Scenario::new();
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let commands = lines.flat_map(|line| line.split(';'));
    for command in commands.filter(|command| !command.trim().is_empty()) {
        scenario.execute(command);
    }
}

/// A scenario that is running.
struct Scenario {
    host: ScriptedHost,
    router: Option<Router>,
    route_classes: Vec<RouteClass>,
    /// The last `rules` command.
    rules: String,
    /// The listed pods, in the order of their last change.
    endpoints: Vec<Endpoint>,
    /// The names of the pods, by index.
    names: Vec<String>,
    requests: u64,
}

impl Scenario {
    fn new() -> Scenario {
        Scenario {
            host: ScriptedHost::new(START),
            router: None,
            route_classes: Vec::new(),
            rules: String::new(),
            endpoints: Vec::new(),
            names: Vec::new(),
            requests: 0,
        }
    }

    fn execute(&mut self, command: &str) {
        let words: Vec<&str> = command.split_whitespace().collect();
        let pairs = Pairs::parse(command);
        match words[0] {
            "group" => return self.route_classes.push(pairs.route_class()),
            "rules" => return self.rules = command.to_string(),
            "restart" => return self.restart(),
            _ if self.router.is_none() => self.restart(),
            _ => {}
        }
        let router = self.router.as_mut().unwrap();
        match words[0] {
            "pod" => self.change_pod(words[1], &pairs),
            "acts" => {
                let pod = self.pod(words[1]);
                self.host.pods[pod].answer = Answer::parse(words[2]);
            }
            "news" => router.update_stage(&mut self.host, pairs.stage()),
            "hits" => self.schedule_requests(words[1].parse().unwrap(), &pairs),
            "flag" => self.report_faults(words[1], pairs.number("times", 1.0) as u32),
            "list-failed" => router.endpoint_watch_failed(&mut self.host),
            "forget" => self.host.counts.clear(),
            "run" => {
                let until = self.host.now + duration(words[1]);
                self.host.run_until(router, until);
            }
            "expect" => self.expect(command, words[1], words[2], words[3]),
            other => panic!("unknown command {other:?}"),
        }
    }

    fn restart(&mut self) {
        let rules = Pairs::parse(&self.rules);
        self.host.loses_replies = rules.flag("unheard");
        self.host.clear_scheduled();
        let router = rules.router(self.host.now, self.route_classes.clone());
        let router = self.router.insert(router);
        router.start(&mut self.host);
        router.update_endpoints(&mut self.host, true, &self.endpoints);
    }

    fn pod(&self, name: &str) -> PodId {
        self.names.iter().position(|known| known == name).unwrap()
    }

    fn change_pod(&mut self, name: &str, pairs: &Pairs) {
        let build = pairs.number("build", 1.0) as Build;
        let answer = Answer::parse(&pairs.text("acts", "ok:20ms"));
        let pod_script = ScriptedPod { answer, build };
        let pod = match self.names.iter().position(|known| known == name) {
            Some(pod) => {
                self.host.pods[pod] = pod_script;
                pod
            }
            None => {
                self.names.push(name.to_string());
                self.host.pods.push(pod_script);
                self.names.len() - 1
            }
        };
        let started = if pairs.has("fresh") { self.host.now } else { 0 };
        let state = match pairs.text("state", "running").as_str() {
            "draining" => PodState::Draining,
            "gone" => PodState::Gone,
            _ => PodState::Running,
        };
        let endpoint = Endpoint {
            state,
            zone: pairs.number("zone", 0.0) as usize,
            ..endpoint(pod, name, build, started)
        };
        self.endpoints.retain(|known| known.pod != pod);
        self.endpoints.push(endpoint);
        let router = self.router.as_mut().unwrap();
        router.update_endpoints(&mut self.host, false, &[endpoint]);
    }

    fn schedule_requests(&mut self, count: u64, pairs: &Pairs) {
        let interval = pairs.duration("every", "10ms");
        for n in 0..count {
            self.requests += 1;
            let at = self.host.now + n * interval;
            self.host.schedule_request(at, pairs.request(self.requests));
        }
    }

    fn report_faults(&mut self, name: &str, times: u32) {
        let pod = self.pod(name);
        let router = self.router.as_mut().unwrap();
        for _ in 0..times {
            router.report_fault(&mut self.host, pod, 0, duration("1s"));
        }
    }

    fn expect(&self, command: &str, name: &str, comparison: &str, bound: &str) {
        let (sum, slow_sum, periods_sum) = self.router.as_ref().unwrap().sums();
        let value = match name {
            "sum" => sum,
            "slow_sum" => slow_sum,
            "slot_sum" => periods_sum,
            "open" => self.host.open_requests() as f64,
            name => self.host.count_of(name),
        };
        let bound: f64 = bound.parse().unwrap();
        let is_met = match comparison {
            "=" => (value - bound).abs() < 1e-3,
            "<=" => value <= bound,
            ">=" => value >= bound,
            other => panic!("unknown comparison {other:?}, expected =, <= or >="),
        };
        let counts = &self.host.counts;
        assert!(is_met, "{command}: found {value}; counts {counts:?}");
    }
}
