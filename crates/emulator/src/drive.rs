//! A recorded life played against a real sidecar, in real time: its hits asked again, its lists and news told
//! again, its pods scripted to end each forward as recorded.

use crate::pod::{ASK, UNSEEN};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use havenplank::interface::*;
use havenplank_line_protocol::codec::{greeting, LineCodec};
use havenplank_line_protocol::control_plane::ClassTally;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_line_protocol::{control_plane, endpoint_list};
use havenplank_settings::words::{self, word_of};
use havenplank_sidecar::engine::{Effect, EngineSettings, RequestAttributes};
use havenplank_sidecar::events::Event;
use havenplank_trace::{Reader, Record, Source, TraceError, What};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self as client, SendRequest};
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{Read, Seek};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::Command;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tokio_util::codec::Framed;

/// Hits of one drive: all of it is held, so a longer trace is to be cut first.
const MOST_HITS: usize = 1_000_000;
const START: Duration = Duration::from_secs(20);
const MARK: &str = "idempotency-key";

#[derive(Debug, thiserror::Error)]
pub enum DriveError {
    #[error("{0}")]
    Trace(#[from] TraceError),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Unfit(String),
    #[error("the sidecar did not listen within 20 s: {0}")]
    Silent(String),
}

/// How the hits of a life fared, and how it voted: as recorded, or as driven.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fared {
    pub hits: u64,
    pub delivered: u64,
    pub bounced: u64,
    pub errored: u64,
    pub left: u64,
    pub forwards: u64,
    /// By build, stage and voice.
    pub votes: BTreeMap<(Build, usize, String), u64>,
}

#[derive(Debug, Default)]
pub struct Driven {
    pub recorded: Fared,
    pub driven: Fared,
    /// Forwards that ended as one of the same hit to the same build did, and those that got the end which the
    /// build's forwards had at that time, as nothing nearer was recorded.
    pub as_recorded: u64,
    pub as_build: u64,
    pub troubles: Vec<String>,
}

/// One recorded forward.
#[derive(Clone, Copy)]
struct End {
    build: Build,
    end: AttemptEnd,
    took: Nanos,
    load: Option<LoadReport>,
}

/// Something to tell the sidecar, and when, counted from the beginning.
enum Say {
    List(bool, Vec<ListedEndpoint>),
    ListFailed,
    Stage(Stage),
    Tally(Tally),
    Flagged(String, RouteClassId, Nanos),
}

/// The script of a drive.
struct Script {
    source: Source,
    /// By time.
    hits: Vec<(Nanos, RequestId, RequestAttributes)>,
    says: Vec<(Nanos, Say)>,
    /// The ends of each hit's forwards, in order.
    ends: HashMap<RequestId, Vec<Option<End>>>,
    /// By build, all ends by time.
    by_build: HashMap<Build, Vec<(Nanos, End)>>,
    recorded: Fared,
    length: Nanos,
}

impl Script {
    fn read<R: Read + Seek>(reader: &mut Reader<R>, number: usize) -> Result<Script, DriveError> {
        let source = reader.head.sources[number].clone();
        let mut script = Script {
            source,
            hits: Vec::new(),
            says: Vec::new(),
            ends: HashMap::new(),
            by_build: HashMap::new(),
            recorded: Fared::default(),
            length: 0,
        };
        let (mut began, mut sent) = (None, HashMap::new());
        while let Some(record) = reader.record()? {
            if record.source != number {
                continue;
            }
            if began.is_none() {
                began = Some(record.own);
                // A cut trace begins with the stage that was in force.
                let standing = reader
                    .standing
                    .iter()
                    .find(|standing| standing.source == number);
                script
                    .says
                    .extend(standing.map(|standing| (0, Say::Stage(standing.stage))));
            }
            script.length = record.own.saturating_sub(began.unwrap_or(record.own));
            script.take(record, &mut sent)?;
        }
        if script.hits.is_empty() {
            return Err(DriveError::Unfit("no hits in the trace".to_string()));
        }
        if !script
            .says
            .iter()
            .any(|(_, say)| matches!(say, Say::List(true, _)))
        {
            script.list_from_names();
        }
        Ok(script)
    }

    fn take(
        &mut self,
        record: Record,
        sent: &mut HashMap<(RequestId, u32), (Nanos, Build, PodId)>,
    ) -> Result<(), DriveError> {
        let at = self.length;
        let fared = &mut self.recorded;
        match record.what {
            What::Event(told) => match told {
                Event::RequestArrived {
                    request: hit,
                    attributes: asked,
                } => {
                    if self.hits.len() >= MOST_HITS {
                        let why = format!(
                            "more than {MOST_HITS} hits; expected a trace that was cut to fewer"
                        );
                        return Err(DriveError::Unfit(why));
                    }
                    fared.hits += 1;
                    self.hits.push((at, hit, asked));
                }
                Event::AttemptEnded {
                    request: hit,
                    attempt: nth,
                    end,
                    took,
                    load,
                    delivered: passed,
                } => {
                    fared.delivered += passed as u64;
                    let Some((sent, build, _)) = sent.remove(&(hit, nth)) else {
                        return Ok(());
                    };
                    let end = End {
                        build,
                        end,
                        took,
                        load,
                    };
                    let ends = self.ends.entry(hit).or_default();
                    ends.resize(ends.len().max(nth as usize + 1), None);
                    ends[nth as usize] = Some(end);
                    self.by_build.entry(build).or_default().push((sent, end));
                }
                Event::ClientLeft { .. } => fared.left += 1,
                Event::EndpointsListed {
                    complete: whole,
                    pods,
                    ..
                } => self.says.push((at, Say::List(whole, pods))),
                Event::EndpointWatchFailed => self.says.push((at, Say::ListFailed)),
                Event::StageChanged(stage) => self.says.push((at, Say::Stage(stage))),
                Event::VoteAnswered { reply: news, .. } => {
                    self.says
                        .extend(news.stage.map(|stage| (at, Say::Stage(stage))));
                }
                Event::TallyReported(tally) => self.says.push((at, Say::Tally(tally))),
                Event::FaultReported {
                    route_class: group,
                    ago,
                    ..
                } => {
                    let name = record.pod.map(|pod| pod.name.clone()).unwrap_or_default();
                    self.says.push((at, Say::Flagged(name, group, ago)));
                }
                _ => {}
            },
            What::Effect(effect) => match effect {
                Effect::SendAttempt {
                    request: hit,
                    attempt: nth,
                    pod,
                    ..
                } => {
                    fared.forwards += 1;
                    let build = record.pod.as_ref().map_or(0, |pod| pod.build);
                    sent.insert((hit, nth), (at, build, pod));
                }
                Effect::Reject { .. } => fared.bounced += 1,
                Effect::Fail { .. } => fared.errored += 1,
                Effect::CastVote {
                    build,
                    stage,
                    vote: voice,
                    ..
                } => {
                    *fared
                        .votes
                        .entry((build, stage, format!("{voice:?}")))
                        .or_default() += 1;
                }
                _ => {}
            },
            What::Lost { .. } => {}
        }
        Ok(())
    }

    /// A cut trace may hold no whole list: two pods then stand for each build that it names.
    fn list_from_names(&mut self) {
        let terms = &self.source.terms;
        let pod = |build: &Build, n: usize| ListedEndpoint {
            name: format!("build-{build}-pod-{n}"),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            state: PodState::Running,
            build: *build,
            incarnation: 1,
            age: 0,
            zone: terms.zones.first().cloned().unwrap_or_default(),
            machine: terms
                .machines
                .first()
                .cloned()
                .unwrap_or_else(|| "machine".to_string()),
            cell: n as i64,
            size: 1.0,
        };
        let mut pods: Vec<ListedEndpoint> = self
            .by_build
            .keys()
            .flat_map(|build| (0..2).map(|n| pod(build, n)))
            .collect();
        pods.sort_by(|a, b| a.name.cmp(&b.name));
        self.says.insert(0, (0, Say::List(true, pods)));
    }

    /// How a forward to a build is to end, and whether that was recorded of this very hit.
    fn end(&self, hit: RequestId, nth: usize, build: Build, now: Nanos) -> Option<(End, bool)> {
        let own = self.ends.get(&hit).into_iter().flatten().flatten();
        let same = |end: &&End| {
            end.build == build && !matches!(end.end, AttemptEnd::NotSent | AttemptEnd::Cancelled)
        };
        let mut of_build = own.filter(same);
        if let Some(end) = of_build
            .nth(nth)
            .or_else(|| self.ends.get(&hit)?.iter().flatten().rfind(same))
        {
            return Some((*end, true));
        }
        let ends = self.by_build.get(&build)?;
        let at = ends
            .partition_point(|(sent, _)| *sent <= now)
            .saturating_sub(1);
        ends.get(at).map(|(_, end)| (*end, false))
    }
}

/// The settings script that a sidecar with these terms is started with.
fn settings(terms: &EngineSettings, nodes: SocketAddr, desk: SocketAddr) -> String {
    let flag = |on: bool| if on { "True" } else { "False" };
    let EngineSettings {
        name,
        position: place,
        zones,
        machines,
        tenants,
        attempts: forwards,
        pods,
        exposure,
        votes,
        endpoint_list: list,
        ..
    } = terms;
    let texts = |name: &str, all: &Vec<String>| match all.is_empty() {
        true => String::new(),
        false => format!(", {name} = {all:?}"),
    };
    let zone = zones.get(place.zone).cloned().unwrap_or_default();
    let mut out = String::new();
    let _ = writeln!(
        out,
        "sidecar(name = {name:?}, instances = {}, rank = {}, zones = {zones:?}, zone = {zone:?}, \
         listen = \"127.0.0.1:0\", admin = \"127.0.0.1:0\"{}{})",
        place.instances,
        place.rank,
        texts("machines", machines),
        texts("customers", tenants),
    );
    for (n, (name, rules)) in terms.route_classes.iter().enumerate() {
        let RouteClass {
            idempotency,
            dedup_scope,
            dedup_window,
            latency_objective,
            client_timeout,
            ..
        } = rules;
        let _ = writeln!(
            out,
            "path_group(name = {name:?}, paths = [\"/{n}\"], kind = {:?}, scope = {:?}, \
             repeat_window = \"{dedup_window}ns\", target_latency = \"{}ns\", client_timeout = \"{client_timeout}ns\", \
             benefit = {:?}, late_benefit = {:?}, stream = {})",
            word_of(&words::IDEMPOTENCY, *idempotency),
            word_of(&words::DEDUP_SCOPE, *dedup_scope),
            latency_objective.min(client_timeout),
            rules.priority_weight,
            rules.late_weight,
            flag(rules.stream),
        );
    }
    let _ = writeln!(
        out,
        "headers(timeout = \"grpc-timeout\", key = \"x-key\", customer = \"x-customer\", cost_hint = \"x-cost\")\n\
         limits(forwards = {}, copies = {}, cancel = {}, come_back = \"{}ns\", cross_zone_price = {:?}, \
         answer_margin = \"0ns\")",
        forwards.max_attempts,
        flag(forwards.hedging),
        flag(forwards.may_cancel),
        forwards.max_retry_after,
        forwards.cross_zone_cost,
    );
    let _ = writeln!(
        out,
        "pods(drain_grace = \"{}ns\", cold_share = {:?}, warm_up = \"{}ns\", fall_multiple = {:?}, \
         fall_window = \"{}ns\", probes = {}, unseen_header = {UNSEEN:?}, load_reports = True, connections = 256)",
        pods.drain_grace,
        pods.initial_capacity,
        pods.warm_up,
        pods.overload_multiple,
        pods.overload_window,
        flag(pods.health_checks),
    );
    let _ = writeln!(
        out,
        "exposure(window = \"{}ns\", free = {:?}, per_group = {}, guarded_stages = {}, one_way = {}, beside = {}, \
         caps = {:?})",
        exposure.window,
        exposure.free_attempts,
        flag(exposure.per_class),
        exposure.idempotent_only_stages,
        flag(exposure.sticky_keys),
        flag(exposure.blue_green),
        exposure.caps,
    );
    let _ = writeln!(
        out,
        "votes(control = {:?}, on_needs = {}, back_needs = {}, life = \"{}ns\", call_time_out = \"{}ns\", calls_per_s = {:?}, \
         step = \"{}ns\")",
        word_of(&words::RELEASE_CONTROL, votes.control),
        votes.advance_quorum,
        votes.rollback_quorum,
        votes.ttl,
        votes.call_timeout,
        votes.calls_per_second,
        votes.stage_duration,
    );
    let _ = writeln!(
        out,
        "nodes(address = \"{nodes}\", must_ask = {}, ask_within = \"{}ns\")\ndesk(address = \"{desk}\")",
        flag(list.poll_only),
        list.poll_interval,
    );
    out
}

/// Everything that the parts of one drive share.
struct Scene {
    script: Script,
    began: Cell<Option<Instant>>,
    /// By name and life, as a name may come back as another pod.
    pods: RefCell<HashMap<(String, u64), SocketAddr>>,
    /// How many forwards of a hit have come so far; the script's length bounds it.
    seen: RefCell<HashMap<RequestId, HashMap<Build, usize>>>,
    counts: RefCell<Driven>,
    /// The list as told last, for a sidecar that asks.
    list: RefCell<BTreeMap<String, ListedEndpoint>>,
}

impl Scene {
    fn now(&self) -> Nanos {
        self.began
            .get()
            .map_or(0, |began| began.elapsed().as_nanos() as Nanos)
    }

    async fn serve(self: Rc<Self>, build: Build, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let stage = self.clone();
            spawn_local(async move {
                let service = service_fn(|request| stage.pod(build, request));
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn pod(
        &self,
        build: Build,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, OnPurpose> {
        let hit = request
            .headers()
            .get(ASK)
            .and_then(|text| text.to_str().ok()?.parse::<RequestId>().ok());
        let Some(hit) = hit else {
            return Ok(Response::new(Full::new(Bytes::new())));
        };
        let nth = {
            let mut seen = self.seen.borrow_mut();
            let count = seen.entry(hit).or_default().entry(build).or_default();
            *count += 1;
            *count - 1
        };
        let planned = self.script.end(hit, nth, build, self.now());
        {
            let mut counts = self.counts.borrow_mut();
            counts.driven.forwards += 1;
            let own = planned.is_some_and(|(_, own)| own);
            counts.as_recorded += own as u64;
            counts.as_build += !own as u64;
        }
        let Some((
            End {
                end, took, load, ..
            },
            _,
        )) = planned
        else {
            return Ok(Response::new(Full::new(Bytes::new())));
        };
        let mut answer = Response::new(Full::new(Bytes::from_static(b"found\n")));
        match end {
            AttemptEnd::Rejected => {
                *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                answer
                    .headers_mut()
                    .insert(UNSEEN, HeaderValue::from_static("1"));
                return Ok(answer);
            }
            AttemptEnd::ConnectFailed => return Err(OnPurpose),
            AttemptEnd::TimedOut => std::future::pending().await,
            _ => sleep(Duration::from_nanos(took)).await,
        }
        match end {
            AttemptEnd::Reset => return Err(OnPurpose),
            AttemptEnd::Failed => *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
            _ => {}
        }
        if let Some(text) = load.and_then(report) {
            answer.headers_mut().insert("endpoint-load-metrics", text);
        }
        Ok(answer)
    }

    /// The pods of a list at the addresses of their stand-ins.
    fn placed(&self, pods: &[ListedEndpoint]) -> Vec<ListedEndpoint> {
        let all = self.pods.borrow();
        let place = |pod: &ListedEndpoint| {
            let address = all
                .get(&(pod.name.clone(), pod.incarnation))
                .copied()
                .unwrap_or(pod.address);
            ListedEndpoint {
                address,
                ..pod.clone()
            }
        };
        pods.iter().map(place).collect()
    }

    async fn nodes(self: Rc<Self>, listener: TcpListener) {
        struct Asks(bool);
        impl endpoint_list::Service for Asks {
            fn greeted(&mut self, _name: String) {
                self.0 = true;
            }
            fn poll(&mut self) {
                self.0 = true;
            }
            fn watch(&mut self, on: bool) {
                self.0 |= on;
            }
        }
        while let Ok((stream, _)) = listener.accept().await {
            let mut framed = Framed::new(
                stream,
                LineCodec::new(endpoint_list::RequestParser::default(), 1024),
            );
            let (mut seq, mut next, mut asks) = (0, 0, Asks(false));
            if framed
                .send(greeting(endpoint_list::PROTOCOL, None))
                .await
                .is_err()
            {
                continue;
            }
            loop {
                let due = self.script.says.get(next).map(|(at, _)| *at);
                tokio::select! {
                    said = framed.next() => match said {
                        Some(Ok(call)) => call(&mut asks),
                        _ => break,
                    },
                    () = self.until(due) => {}
                }
                let mut out = String::new();
                while let Some((_, say)) = self
                    .script
                    .says
                    .get(next)
                    .filter(|(at, _)| *at <= self.now())
                {
                    next += 1;
                    match say {
                        Say::List(whole, pods) => {
                            let mut list = self.list.borrow_mut();
                            if *whole {
                                list.clear();
                            }
                            list.extend(
                                self.placed(pods)
                                    .into_iter()
                                    .map(|pod| (pod.name.clone(), pod)),
                            );
                            list.retain(|_, pod| pod.state != PodState::Gone);
                            drop(list);
                            seq += 1;
                            endpoint_list::write_list(&mut out, seq, *whole, &self.placed(pods));
                        }
                        Say::ListFailed => {
                            seq += 1;
                            endpoint_list::write_poll_failure(&mut out, seq, "as recorded");
                        }
                        _ => {}
                    }
                }
                if std::mem::take(&mut asks.0) && out.is_empty() && !self.list.borrow().is_empty() {
                    seq += 1;
                    let list: Vec<ListedEndpoint> = self.list.borrow().values().cloned().collect();
                    endpoint_list::write_list(&mut out, seq, true, &list);
                }
                if !out.is_empty() && framed.send(out).await.is_err() {
                    break;
                }
            }
        }
    }

    async fn until(&self, due: Option<Nanos>) {
        match (due, self.began.get()) {
            (Some(due), Some(began)) => sleep_until(began + Duration::from_nanos(due)).await,
            (Some(_), None) => sleep(Duration::from_millis(5)).await,
            (None, _) => std::future::pending().await,
        }
    }

    async fn desk(self: Rc<Self>, listener: TcpListener) {
        #[derive(Default)]
        struct Asks(Vec<(u64, Build, usize, Vote)>);
        impl control_plane::Service for Asks {
            fn greeted(&mut self, _name: String) {}
            fn cast_vote(&mut self, vote: u64, build: Build, stage: usize, voice: Vote) {
                self.0.push((vote, build, stage, voice));
            }
        }
        while let Ok((stream, _)) = listener.accept().await {
            let mut framed = Framed::new(
                stream,
                LineCodec::new(control_plane::RequestParser::default(), 1024),
            );
            let (mut seq, mut next, mut asks) = (0, 0, Asks::default());
            if framed
                .send(greeting(control_plane::PROTOCOL, None))
                .await
                .is_err()
            {
                continue;
            }
            loop {
                let due = self.script.says.get(next).map(|(at, _)| *at);
                tokio::select! {
                    said = framed.next() => match said {
                        Some(Ok(call)) => call(&mut asks),
                        _ => break,
                    },
                    () = self.until(due) => {}
                }
                let mut out = String::new();
                let group = |group: RouteClassId| {
                    self.script
                        .source
                        .terms
                        .route_classes
                        .get(group)
                        .map(|(name, _)| name)
                };
                while let Some((_, say)) = self
                    .script
                    .says
                    .get(next)
                    .filter(|(at, _)| *at <= self.now())
                {
                    next += 1;
                    match say {
                        Say::Stage(stage) => {
                            seq += 1;
                            control_plane::write_stage(&mut out, seq, stage);
                        }
                        Say::Tally(tally) => {
                            let Some(group) = group(tally.group) else {
                                continue;
                            };
                            seq += 1;
                            let tally = ClassTally {
                                build: tally.build,
                                class: group.to_string(),
                                count: tally.count,
                                failed: tally.failed,
                                mean_latency: tally.mean_latency,
                                age: tally.age,
                            };
                            control_plane::write_tally(&mut out, seq, &tally);
                        }
                        Say::Flagged(pod, at, ago) => {
                            let Some(group) = group(*at) else { continue };
                            seq += 1;
                            control_plane::write_fault(&mut out, seq, pod, group, *ago);
                        }
                        _ => {}
                    }
                }
                for (vote, build, stage, voice) in std::mem::take(&mut asks.0) {
                    let voted = (build, stage, format!("{voice:?}"));
                    *self
                        .counts
                        .borrow_mut()
                        .driven
                        .votes
                        .entry(voted)
                        .or_default() += 1;
                    seq += 1;
                    // Stages move as recorded, whatever is voted now.
                    control_plane::write_vote_reply(
                        &mut out,
                        seq,
                        vote,
                        VoteReceipt::Counted,
                        None,
                    );
                }
                if !out.is_empty() && framed.send(out).await.is_err() {
                    break;
                }
            }
        }
    }

    async fn ask(
        &self,
        at: SocketAddr,
        idle: &RefCell<Vec<Sender>>,
        hit: RequestId,
        asked: &RequestAttributes,
    ) {
        let terms = &self.script.source.terms;
        let kind = terms
            .route_classes
            .get(asked.route_class)
            .map_or(Idempotency::Idempotent, |(_, rules)| rules.idempotency);
        let asking = async {
            let kept = idle.borrow_mut().pop();
            let mut sender = match kept {
                Some(sender) => sender,
                None => connect(at).await?,
            };
            if sender.ready().await.is_err() {
                sender = connect(at).await?;
            }
            let method = if kind == Idempotency::Idempotent {
                "GET"
            } else {
                "POST"
            };
            let mut request = Request::builder()
                .method(method)
                .uri(format!("/{}", asked.route_class))
                .header("host", "drive")
                .header(ASK, hit)
                .header(
                    "grpc-timeout",
                    format!("{}u", (asked.remaining / 1_000).min(99_999_999)),
                );
            if asked.key != 0 {
                request = request.header("x-key", format!("{:x}", asked.key));
            }
            if let Some(name) = asked.tenant.and_then(|at| terms.tenants.get(at)) {
                request = request.header("x-customer", name);
            }
            if let Some(cost) = asked.cost_hint {
                request = request.header("x-cost", cost / 1_000);
            }
            if kind == Idempotency::Keyed {
                request = request.header(MARK, format!("\"hit-{hit}\""));
            }
            let request = request.body(Full::new(Bytes::new())).ok()?;
            let response = sender.send_request(request).await.ok()?;
            let (status, retry) = (
                response.status(),
                response.headers().contains_key("retry-after"),
            );
            response.into_body().collect().await.ok()?;
            idle.borrow_mut().push(sender);
            Some((status, retry))
        };
        let wait = Duration::from_nanos(asked.remaining) + Duration::from_millis(500);
        let answer = timeout(wait, asking).await.ok().flatten();
        let mut counts = self.counts.borrow_mut();
        let fared = &mut counts.driven;
        fared.hits += 1;
        match answer {
            Some((StatusCode::SERVICE_UNAVAILABLE, true)) => fared.bounced += 1,
            Some((status, _)) if status.is_server_error() => fared.errored += 1,
            Some(_) => fared.delivered += 1,
            None => fared.left += 1,
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

async fn connect(at: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(at).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = client::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move {
        let _ = connection.await;
    });
    Some(sender)
}

#[derive(Debug, thiserror::Error)]
#[error("reset on purpose")]
struct OnPurpose;

/// A load report in the text form of `endpoint-load-metrics`.
fn report(load: LoadReport) -> Option<HeaderValue> {
    let fields = [
        ("cpu_utilization", load.busy),
        ("rps_fractional", load.delivered_per_s),
        ("eps", load.failed_per_s),
        ("named_metrics.in_flight", load.in_flight),
        ("named_metrics.queued", load.queued),
        ("named_metrics.latency_ms", load.latency_ms),
    ];
    let told: Vec<String> = fields
        .iter()
        .filter_map(|(name, value)| Some(format!("{name}={}", (*value)?)))
        .collect();
    if told.is_empty() {
        return None;
    }
    HeaderValue::from_str(&format!("TEXT {}", told.join(", "))).ok()
}

/// Plays one source of a trace; `program` is this program, `folder` keeps the sidecar's settings and log.
///
/// # Errors
/// A damaged trace, one without hits or with too many, no sockets to be had, a sidecar that does not start.
pub async fn drive<R: Read + Seek>(
    reader: &mut Reader<R>,
    number: usize,
    program: PathBuf,
    folder: &Path,
    mut tell: impl FnMut(Nanos, Nanos),
) -> Result<Driven, DriveError> {
    let script = Script::read(reader, number)?;
    let (nodes, desk) = (
        TcpListener::bind("127.0.0.1:0").await?,
        TcpListener::bind("127.0.0.1:0").await?,
    );
    let text = settings(
        &script.source.terms,
        nodes.local_addr()?,
        desk.local_addr()?,
    );
    let file = folder.join("drive.star");
    std::fs::write(&file, text)?;
    let (seed, length, recorded) = (script.source.seed, script.length, script.recorded.clone());
    let stage = Rc::new(Scene {
        script,
        began: Cell::new(None),
        pods: RefCell::default(),
        seen: RefCell::default(),
        counts: RefCell::default(),
        list: RefCell::default(),
    });
    let mut tasks = JoinSet::new();
    for (_, say) in &stage.script.says {
        let Say::List(_, pods) = say else { continue };
        for pod in pods {
            let key = (pod.name.clone(), pod.incarnation);
            if stage.pods.borrow().contains_key(&key) {
                continue;
            }
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            stage.pods.borrow_mut().insert(key, listener.local_addr()?);
            tasks.spawn_local(stage.clone().serve(pod.build, listener));
        }
    }
    tasks.spawn_local(stage.clone().nodes(nodes));
    tasks.spawn_local(stage.clone().desk(desk));
    let mut child = Command::new(program)
        .args(["--log-format", "json", "serve"])
        .arg(&file)
        .args(["--seed", &seed.to_string()])
        .stdin(Stdio::null())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()?;
    let (ready, listens) = oneshot::channel();
    let (says, mut said) = mpsc::channel(64);
    if let Some(log) = child.stderr.take() {
        tasks.spawn_local(read_log(
            BufReader::new(log),
            folder.join("drive.log"),
            ready,
            says,
        ));
    }
    let Some(at) = timeout(START, listens).await.ok().and_then(Result::ok) else {
        let mut lines = Vec::new();
        while let Ok(line) = said.try_recv() {
            lines.push(line);
        }
        return Err(DriveError::Silent(lines.join("; ")));
    };
    let (began, idle) = (Instant::now(), Rc::new(RefCell::new(Vec::new())));
    stage.began.set(Some(began));
    // The list and the stage reach the sidecar before its first hit, as they had when it was recorded.
    sleep(Duration::from_millis(100)).await;
    let (mut out, mut shown) = (JoinSet::new(), 0);
    for n in 0..stage.script.hits.len() {
        let (due, hit, asked) = stage.script.hits[n].clone();
        sleep_until(began + Duration::from_millis(100) + Duration::from_nanos(due)).await;
        let (stage, idle) = (stage.clone(), idle.clone());
        out.spawn_local(async move { stage.ask(at, &idle, hit, &asked).await });
        while out.try_join_next().is_some() {}
        if due / 1_000_000_000 > shown {
            shown = due / 1_000_000_000;
            tell(due, length);
        }
    }
    while out.join_next().await.is_some() {}
    let ended = child.try_wait()?;
    let _ = child.kill().await;
    tasks.abort_all();
    let mut driven = std::mem::take(&mut *stage.counts.borrow_mut());
    driven.recorded = recorded;
    driven
        .troubles
        .extend(ended.map(|status| format!("the sidecar ended by itself: {status}")));
    Ok(driven)
}

async fn read_log(
    log: impl tokio::io::AsyncBufRead + Unpin,
    file: PathBuf,
    ready: oneshot::Sender<SocketAddr>,
    says: mpsc::Sender<String>,
) {
    use std::io::Write as _;
    let (mut lines, mut ready, mut kept) =
        (log.lines(), Some(ready), std::fs::File::create(file).ok());
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some(kept) = &mut kept {
            let _ = writeln!(kept, "{line}");
        }
        let said = serde_json::from_str::<serde_json::Value>(&line).unwrap_or_default();
        let listen = said["fields"]["listen"]
            .as_str()
            .and_then(|text| text.parse().ok());
        match (listen, ready.is_some()) {
            (Some(at), true) => drop(ready.take().map(|ready| ready.send(at))),
            // Before it listens, what it says is why it does not.
            (None, true) => drop(says.try_send(line)),
            _ => {}
        }
    }
}
