//! Events decoded into calls of the module, its effects encoded into actions. Ids become small indices here.

use crate::line::{Fields, Line};
use crate::setup::{self, Names, Setup};
use havenplank::interface::*;
use havenplank::Router;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::fmt::Write as _;
use std::io;

/// A pod as a bank lists it: read once, mapped to indices by each instance that is pointed to the bank.
pub struct Row {
    pub pod: String,
    pub zone: String,
    pub machine: String,
    pub entry: Endpoint,
}

/// What an instance hears, decoded: names as they stand on the wire, all else as the module takes it.
pub trait Hears {
    fn attach(now: Nanos, sidecar: u64, seed: u64, setup: Setup) -> Self;
    /// The time of what comes next.
    fn at(&mut self, now: Nanos);
    /// Lends or takes back what is to be answered with.
    fn swap(&mut self, _out: &mut String) {}
    fn names(&self) -> &Names;
    fn knows(&self, pod: &str) -> bool;
    fn begin(&mut self);
    fn list(&mut self, whole: bool, rows: &[Row]);
    fn list_failed(&mut self);
    /// The id of `hit` is not set yet.
    fn hit(&mut self, name: &str, hit: IncomingRequest);
    fn ended(&mut self, name: &str, nth: usize, outcome: AttemptOutcome);
    fn left(&mut self, name: &str);
    fn woken(&mut self, id: u64);
    fn news(&mut self, stage: Stage);
    /// The answer to the oldest vote that has none.
    fn voted(&mut self, news: VoteReply);
    fn tally(&mut self, tally: Tally);
    fn flagged(&mut self, pod: &str, group: RouteClassId, ago: Nanos);
    /// The end of the oldest probe of a pod that has none.
    fn probed(&mut self, pod: &str, end: HealthCheckResult);
}

/// The forwards of a hit that are out, and whether its final answer is still owed.
struct Held {
    name: String,
    open: bool,
    forwards: Vec<Option<Callback<AttemptOutcome>>>,
}

/// The host of one instance.
struct Door {
    now: Nanos,
    sidecar: u64,
    names: Names,
    /// Grows with the pods ever listed to this instance, not with hits; a restart empties it.
    pods: HashMap<String, PodId>,
    pod_names: Vec<String>,
    hit_ids: HashMap<String, RequestId>,
    /// Emptied of a hit once it is answered and all its forwards have returned.
    hits: HashMap<RequestId, Held>,
    next_hit: RequestId,
    /// A wake leaves when its alarm comes.
    wakes: HashMap<u64, Callback<()>>,
    next_wake: u64,
    votes: VecDeque<Callback<VoteReply>>,
    probes: HashMap<PodId, VecDeque<Callback<HealthCheckResult>>>,
    out: String,
}

/// An instance that decides.
pub struct Instance {
    logic: Router,
    door: Door,
}

/// The wire to any number of instances, which decide or only write down what they hear.
pub struct Wire<H> {
    now: Nanos,
    turn: u64,
    banks: BTreeMap<u64, Vec<Row>>,
    /// None for an instance that was stopped.
    pub instances: BTreeMap<u64, Option<Box<H>>>,
    strange: HashSet<String>,
    out: String,
}

impl<H> Default for Wire<H> {
    fn default() -> Wire<H> {
        let (banks, instances, strange) = (BTreeMap::new(), BTreeMap::new(), HashSet::new());
        Wire {
            now: 0,
            turn: 0,
            banks,
            instances,
            strange,
            out: String::new(),
        }
    }
}

impl Door {
    fn act(&mut self, verb: &str) -> &mut String {
        let _ = write!(
            self.out,
            "{{\"verb\":\"{verb}\",\"sidecar\":{}",
            self.sidecar
        );
        &mut self.out
    }

    fn end(&mut self) {
        self.out.push_str("}\n");
    }

    fn on_hit(&mut self, verb: &str, hit: RequestId) -> &mut String {
        let name = self
            .hits
            .get(&hit)
            .map(|held| Value::from(held.name.as_str()).to_string())
            .unwrap_or_default();
        let out = self.act(verb);
        let _ = write!(out, ",\"opId\":{name}");
        out
    }

    fn answer(&mut self, hit: RequestId) {
        if let Some(held) = self.hits.get_mut(&hit) {
            held.open = false;
        }
        self.sweep(hit);
    }

    fn sweep(&mut self, hit: RequestId) {
        if self
            .hits
            .get(&hit)
            .is_some_and(|held| !held.open && held.forwards.iter().all(Option::is_none))
        {
            if let Some(held) = self.hits.remove(&hit) {
                self.hit_ids.remove(&held.name);
            }
        }
    }

    fn pod_index(&mut self, name: &str) -> PodId {
        if let Some(id) = self.pods.get(name) {
            return *id;
        }
        let id = self.pod_names.len();
        self.pods.insert(name.to_string(), id);
        self.pod_names.push(name.to_string());
        id
    }
}

fn known_pod<'a>(heard: &impl Hears, fields: &Fields<'a>) -> Result<&'a str, String> {
    let name = fields.text("pod")?;
    if heard.knows(name) {
        Ok(name)
    } else {
        Err(fields.complain("pod", "a pod never listed"))
    }
}

fn load(names: &Names, fields: &Fields) -> Result<Option<LoadReport>, String> {
    let Some(row) = fields.maybe_numbers("gauge")? else {
        return Ok(None);
    };
    let mut load = LoadReport::default();
    names
        .load
        .iter()
        .zip(row)
        .for_each(|(name, value)| gauge(&mut load, name, value));
    Ok(Some(load))
}

fn gauge(load: &mut LoadReport, column: &str, value: f64) {
    match column {
        "busy_reqs" => load.in_flight = Some(value),
        "pending" => load.queued = Some(value),
        "cpu_share" => load.busy = Some(value),
        "svc_ms" => load.latency_ms = Some(value),
        "served_ps" => load.delivered_per_s = Some(value),
        "failed_ps" => load.failed_per_s = Some(value),
        _ => {}
    }
}

/// A load report as a JSON object of the given columns; none where it cannot be read.
pub fn load_of(columns: &[String], text: &[u8]) -> Option<LoadReport> {
    let told: Value = serde_json::from_slice(text).ok()?;
    let mut load = LoadReport::default();
    for (column, value) in told
        .as_object()?
        .iter()
        .filter(|(column, _)| columns.contains(column))
    {
        gauge(&mut load, column, value.as_f64()?);
    }
    Some(load)
}

impl Host for Door {
    fn now(&self) -> Nanos {
        self.now
    }

    fn is_open(&self, hit: RequestId) -> bool {
        self.hits.get(&hit).is_some_and(|held| held.open)
    }

    fn send_attempt(
        &mut self,
        hit: RequestId,
        pod: PodId,
        time_out: Nanos,
        then: Callback<AttemptOutcome>,
    ) {
        if !self.is_open(hit) {
            return;
        }
        let name = Value::from(self.pod_names[pod].as_str()).to_string();
        let out = self.on_hit("ATTEMPT", hit);
        let _ = write!(out, ",\"pod\":{name},\"patienceNs\":{time_out}");
        self.end();
        if let Some(held) = self.hits.get_mut(&hit) {
            held.forwards.push(Some(then));
        }
    }

    fn cancel_attempt(&mut self, hit: RequestId, forward: u32) {
        if self
            .hits
            .get(&hit)
            .is_some_and(|held| (forward as usize) < held.forwards.len())
        {
            let _ = write!(self.on_hit("RETRACT", hit), ",\"trial\":{forward}");
            self.end();
        }
    }

    fn reject(&mut self, hit: RequestId, retry_after: Nanos) {
        if self.is_open(hit) {
            let _ = write!(self.on_hit("REFUSE", hit), ",\"waitNs\":{retry_after}");
            self.end();
            self.answer(hit);
        }
    }

    fn fail(&mut self, hit: RequestId) {
        if self.is_open(hit) {
            self.on_hit("LOSE", hit);
            self.end();
            self.answer(hit);
        }
    }

    fn cast_vote(&mut self, build: Build, stage: usize, voice: Vote, then: Callback<VoteReply>) {
        let sense = match voice {
            Vote::None => 0,
            Vote::Advance => 1,
            Vote::Hold => 2,
            Vote::RollBack => 3,
        };
        let _ = write!(
            self.act("VERDICT"),
            ",\"release\":{build},\"wave\":{stage},\"sense\":{sense}"
        );
        self.end();
        self.votes.push_back(then);
    }

    fn health_check(&mut self, pod: PodId, then: Callback<HealthCheckResult>) {
        let name = Value::from(self.pod_names[pod].as_str()).to_string();
        let _ = write!(self.act("TOUCH"), ",\"pod\":{name}");
        self.end();
        self.probes.entry(pod).or_default().push_back(then);
    }

    fn poll_endpoints(&mut self) {
        self.act("QUERY_ALL");
        self.end();
    }

    fn watch_endpoints(&mut self, on: bool) {
        let _ = write!(self.act("TAIL"), ",\"enable\":{on}");
        self.end();
    }

    fn set_timer(&mut self, after: Nanos, then: Callback<()>) {
        let id = self.next_wake;
        self.next_wake += 1;
        self.wakes.insert(id, then);
        let _ = write!(
            self.act("TIMER"),
            ",\"keyBack\":\"{id}\",\"fromNowNs\":{after}"
        );
        self.end();
    }

    fn log(&mut self, line: &str) {
        let text = Value::from(line).to_string();
        let _ = write!(self.act("TRACE"), ",\"message\":{text}");
        self.end();
    }
}

fn ended(fields: &Fields) -> Result<AttemptEnd, String> {
    Ok(match fields.whole("ending")? {
        100 => AttemptEnd::Served,
        301 => AttemptEnd::Failed,
        302 => AttemptEnd::Rejected,
        303 => AttemptEnd::TimedOut,
        304 => AttemptEnd::ConnectFailed,
        305 => AttemptEnd::Reset,
        306 => AttemptEnd::Cancelled,
        307 => AttemptEnd::NotSent,
        _ => return Err(fields.complain("ending", "an unknown outcome")),
    })
}

fn row(fields: &Fields) -> Result<Row, String> {
    let state = match fields.text("lifecycle")? {
        "Running" => PodState::Running,
        "Stopping" => PodState::Draining,
        "Deleted" => PodState::Gone,
        _ => return Err(fields.complain("lifecycle", "not Running, Stopping or Deleted")),
    };
    let entry = Endpoint {
        pod: 0,
        name_hash: 0,
        state,
        build: fields.whole_or("release", 0)?.min(u32::MAX as u64) as Build,
        started: fields.whole_or("startedAtNs", 0)?,
        zone: 0,
        machine: 0,
        cell: fields.whole_or("block", 0)? as i64,
        size: fields.number_or("size", 1.0)?,
    };
    Ok(Row {
        pod: fields.text("pod")?.to_string(),
        zone: fields.text("az")?.to_string(),
        machine: fields
            .maybe_text("machine")?
            .unwrap_or_default()
            .to_string(),
        entry,
    })
}

/// The position of a name, giving a new one the next place.
fn place(names: &mut Vec<String>, name: &str) -> usize {
    names
        .iter()
        .position(|known| known == name)
        .unwrap_or_else(|| {
            names.push(name.to_string());
            names.len() - 1
        })
}

fn stage(fields: &Fields) -> Result<Stage, String> {
    let phase = match fields.whole_or("standing", 0)? {
        0 => Phase::Trial,
        1 => Phase::RollingBack,
        2 => Phase::Released,
        3 => Phase::Withdrawn,
        _ => return Err(fields.complain("standing", "not 0 to 3")),
    };
    Ok(Stage {
        build: fields.whole("release")?.min(u32::MAX as u64) as Build,
        stage: fields.whole_or("wave", 0)? as usize,
        phase,
        cap: fields.number_or("limitShare", 0.0)?,
        age: fields.whole_or("latenessNs", 0)?,
    })
}

impl Hears for Instance {
    fn attach(now: Nanos, sidecar: u64, seed: u64, s: Setup) -> Instance {
        let logic = Router::new(
            now,
            seed,
            RouterSettings {
                position: s.place,
                route_classes: s.groups,
                attempts: s.forwards,
                pods: s.pods,
                exposure: s.exposure,
                votes: s.votes,
                endpoint_list: s.list,
            },
        );
        let door = Door {
            now,
            sidecar,
            names: s.names,
            pods: HashMap::new(),
            pod_names: Vec::new(),
            hit_ids: HashMap::new(),
            hits: HashMap::new(),
            next_hit: 0,
            wakes: HashMap::new(),
            next_wake: 0,
            votes: VecDeque::new(),
            probes: HashMap::new(),
            out: String::new(),
        };
        Instance { logic, door }
    }

    fn at(&mut self, now: Nanos) {
        self.door.now = now;
    }

    fn swap(&mut self, out: &mut String) {
        std::mem::swap(&mut self.door.out, out);
    }

    fn names(&self) -> &Names {
        &self.door.names
    }

    fn knows(&self, pod: &str) -> bool {
        self.door.pods.contains_key(pod)
    }

    fn begin(&mut self) {
        self.logic.start(&mut self.door);
    }

    fn list(&mut self, whole: bool, rows: &[Row]) {
        let door = &mut self.door;
        let mut entries = Vec::with_capacity(rows.len());
        for row in rows {
            let mut entry = row.entry;
            (entry.pod, entry.name_hash) =
                (door.pod_index(&row.pod), stable_hash(row.pod.as_bytes()));
            entry.zone = place(&mut door.names.zones, &row.zone);
            entry.machine = place(&mut door.names.machines, &row.machine);
            entries.push(entry);
        }
        self.logic.update_endpoints(door, whole, &entries);
    }

    fn list_failed(&mut self) {
        self.logic.endpoint_watch_failed(&mut self.door);
    }

    fn hit(&mut self, name: &str, hit: IncomingRequest) {
        let door = &mut self.door;
        let id = door.next_hit;
        door.next_hit += 1;
        door.hit_ids.insert(name.to_string(), id);
        door.hits.insert(
            id,
            Held {
                name: name.to_string(),
                open: true,
                forwards: Vec::new(),
            },
        );
        self.logic
            .handle_request(door, IncomingRequest { id, ..hit });
    }

    fn ended(&mut self, name: &str, nth: usize, outcome: AttemptOutcome) {
        let door = &mut self.door;
        let Some(hit) = door.hit_ids.get(name).copied() else {
            return;
        };
        let Some(held) = door.hits.get_mut(&hit) else {
            return;
        };
        held.open &= !outcome.over;
        if let Some(then) = held.forwards.get_mut(nth).and_then(Option::take) {
            then(&mut self.logic, door, outcome);
        }
        door.sweep(hit);
    }

    fn left(&mut self, name: &str) {
        if let Some(hit) = self.door.hit_ids.get(name).copied() {
            self.door.answer(hit);
        }
    }

    fn woken(&mut self, id: u64) {
        if let Some(then) = self.door.wakes.remove(&id) {
            then(&mut self.logic, &mut self.door, ());
        }
    }

    fn news(&mut self, stage: Stage) {
        self.logic.update_stage(&mut self.door, stage);
    }

    fn voted(&mut self, news: VoteReply) {
        if let Some(then) = self.door.votes.pop_front() {
            then(&mut self.logic, &mut self.door, news);
        }
    }

    fn tally(&mut self, tally: Tally) {
        self.logic.update_tally(&mut self.door, tally);
    }

    fn flagged(&mut self, pod: &str, group: RouteClassId, ago: Nanos) {
        if let Some(pod) = self.door.pods.get(pod).copied() {
            self.logic.report_fault(&mut self.door, pod, group, ago);
        }
    }

    fn probed(&mut self, pod: &str, end: HealthCheckResult) {
        let probes = self
            .door
            .pods
            .get(pod)
            .and_then(|pod| self.door.probes.get_mut(pod));
        if let Some(then) = probes.and_then(VecDeque::pop_front) {
            then(&mut self.logic, &mut self.door, end);
        }
    }
}

fn event(
    heard: &mut impl Hears,
    line: &Line,
    banks: &BTreeMap<u64, Vec<Row>>,
) -> Result<(), String> {
    let f = line.of();
    match line.verb.as_str() {
        "ROSTER_CHANGE" => {
            let whole = match f.text("how")? {
                "delta" => false,
                "full" | "cached" => true,
                "failed" => {
                    heard.list_failed();
                    return Ok(());
                }
                _ => return Err(f.complain("how", "not delta, full, cached or failed")),
            };
            let rows = banks
                .get(&f.whole("bank")?)
                .ok_or_else(|| f.complain("bank", "a list never sent"))?;
            heard.list(whole, rows);
        }
        "KNOCK" => {
            let name = f.text("opId")?;
            let group = f.named("grade", &heard.names().groups)?;
            let tenant = match f.maybe_name("clientGroup")? {
                Some(name) => heard
                    .names()
                    .tenants
                    .iter()
                    .position(|known| *known == name),
                None => None,
            };
            let hit = IncomingRequest {
                id: 0,
                class: group,
                tenant,
                key: f
                    .maybe_text("entity")?
                    .map_or(0, |key| stable_hash(key.as_bytes())),
                remaining: f.whole("graceNs")?,
                cost_hint: f.maybe_whole("sizeHintNs")?,
                is_retry: f.flag("repeat")?,
            };
            heard.hit(name, hit);
        }
        "RETURNED" => {
            let name = f.text("opId")?;
            let trial = f.whole("trial")? as usize;
            known_pod(heard, &f)?;
            let outcome = AttemptOutcome {
                end: ended(&f)?,
                took: f.whole("latencyNs")?,
                over: f.flag("over")?,
                load: load(heard.names(), &f)?,
            };
            heard.ended(name, trial, outcome);
        }
        "HANGUP" => heard.left(f.text("opId")?),
        "HEADERS" => {
            f.text("opId")?;
            f.whole("trial")?;
            f.whole("latencyNs")?;
            known_pod(heard, &f)?;
        }
        "ALARM" => {
            if let Ok(id) = f.text("keyBack")?.parse() {
                heard.woken(id);
            }
        }
        "ROLLOUT_STATE" => {
            let ending = f.whole("ending")?;
            let told = stage(&f)?;
            let told = (ending == 100).then_some(told);
            if f.whole_or("sense", 0)? == 0 {
                if let Some(told) = told {
                    heard.news(told);
                }
            } else {
                let answer = match ending {
                    100 => VoteReceipt::Counted,
                    307 => VoteReceipt::Stale,
                    303 => VoteReceipt::Unknown,
                    _ => VoteReceipt::Rejected,
                };
                heard.voted(VoteReply {
                    receipt: answer,
                    stage: told,
                });
            }
        }
        "DIGEST" => {
            let tally = Tally {
                build: f.whole("release")?.min(u32::MAX as u64) as Build,
                group: f.named("grade", &heard.names().groups)?,
                count: f.whole_or("count", 0)?,
                failed: f.whole_or("lost", 0)?,
                mean_latency: f.whole_or("latencyNs", 0)?,
                age: f.whole_or("latenessNs", 0)?,
            };
            heard.tally(tally);
        }
        "CONTESTED" => {
            let pod = known_pod(heard, &f)?;
            let group = f.named("grade", &heard.names().groups)?;
            heard.flagged(pod, group, f.whole("latenessNs")?);
        }
        "PING_RESULT" => {
            let pod = known_pod(heard, &f)?;
            let load = load(heard.names(), &f)?;
            heard.probed(
                pod,
                HealthCheckResult {
                    end: ended(&f)?,
                    took: f.whole("latencyNs")?,
                    load,
                },
            );
        }
        // Nothing here sends to peers; what one says is read for its form alone.
        _ => {
            f.whole("sender")?;
            f.text("blob")?;
        }
    }
    Ok(())
}

impl<H: Hears> Wire<H> {
    /// Takes one line; the number of the batch where the line ends one.
    pub fn line(&mut self, line: Line) -> Result<Option<u64>, String> {
        let f = line.of();
        match line.verb.as_str() {
            "ROUND" => {
                self.now = f.whole("momentNs")?;
                self.turn = f.whole("turn")?;
            }
            "GO" => return Ok(Some(self.turn)),
            "LIST" => {
                let rows = f
                    .objects("records")?
                    .iter()
                    .map(row)
                    .collect::<Result<_, _>>()?;
                self.banks.insert(f.whole("bank")?, rows);
            }
            "ATTACH" => self.attach(&f)?,
            "POWER_OFF" => {
                let sidecar = f.whole("sidecar")?;
                let known = self.instances.get_mut(&sidecar);
                *known.ok_or_else(|| f.complain("sidecar", "an instance never started"))? = None;
            }
            "ROSTER_CHANGE" | "KNOCK" | "NEIGHBOUR_SAYS" | "CONTESTED" | "ALARM" | "DIGEST"
            | "ROLLOUT_STATE" | "RETURNED" | "HANGUP" | "PING_RESULT" | "HEADERS" => {
                let sidecar = f.whole("sidecar")?;
                let known = self.instances.get_mut(&sidecar);
                let instance =
                    known.ok_or_else(|| f.complain("sidecar", "an instance never started"))?;
                if let Some(instance) = instance {
                    instance.at(self.now);
                    instance.swap(&mut self.out);
                    let done = event(instance.as_mut(), &line, &self.banks);
                    instance.swap(&mut self.out);
                    done?;
                }
            }
            other => {
                if self.strange.insert(other.to_string()) {
                    eprintln!(
                        "havenplank-adapter: line {}: {other}: unknown verb, skipped",
                        line.number
                    );
                }
            }
        }
        Ok(None)
    }

    fn attach(&mut self, f: &Fields) -> Result<(), String> {
        let sidecar = f.whole("sidecar")?;
        let seed = f.whole("prng")?;
        let setup = setup::read(&f.object("setup")?)?;
        let mut instance = Box::new(H::attach(self.now, sidecar, seed, setup));
        instance.swap(&mut self.out);
        instance.begin();
        instance.swap(&mut self.out);
        self.instances.insert(sidecar, Some(instance));
        Ok(())
    }

    pub fn reply(&mut self, turn: u64, output: &mut impl io::Write) -> io::Result<()> {
        output.write_all(self.out.as_bytes())?;
        self.out.clear();
        writeln!(output, "{{\"verb\":\"YIELD\",\"turn\":{turn}}}")
    }
}
