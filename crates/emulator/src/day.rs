//! Plays a day: stand-ins in this process, sidecars as child processes, and a script of troubles.

use crate::book::Book;
use crate::clients::{Clients, Fared, Target};
use crate::desk::{Desk, Terms};
use crate::fleet::Fleet;
use crate::nodes::Nodes;
use crate::notation::{part, Day, What};
use crate::pod::{Pod, Served};
use havenplank::interface::{Idempotency, Nanos, ReleaseControl};
use havenplank_invariants::ledger::{Entry, Exposure, Figures, Group, Seen};
use havenplank_settings::Site;
use oorandom::Rand64;
use rustix::process::{kill_process, Pid, Signal};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

const START: Duration = Duration::from_secs(20);
/// How long after its time is up a final answer still counts, and how late the other side may see something.
const ANSWER_SLACK: Nanos = 20_000_000;
const TRANSIT: Nanos = 50_000_000;

/// How sidecars are started.
#[derive(Clone, Debug)]
pub struct Launch {
    pub program: PathBuf,
    pub settings: PathBuf,
    /// Where each keeps its last list and its log.
    pub folder: PathBuf,
    /// Where the sidecars record, if they are to.
    pub trace: Option<PathBuf>,
}

/// What a day came to.
pub struct Played {
    pub entries: Vec<Entry>,
    pub lost: u64,
    pub fared: Vec<Fared>,
    pub tries: u64,
    /// What happened to builds, a line each.
    pub story: Vec<String>,
    pub votes: BTreeMap<String, u64>,
    /// CPU time and highest memory of all sidecars' lives that ended by themselves or at the day's end.
    pub troubles: Vec<String>,
}

#[derive(Debug, thiserror::Error)]
pub enum DayError {
    #[error("stand-ins: {0}")]
    Io(#[from] std::io::Error),
    #[error("{0} did not say where it listens within {START:?}; its log is beside its list")]
    Silent(String),
}

struct Runner {
    book: Book,
    launch: Launch,
    day: Day,
    feeds: (SocketAddr, SocketAddr),
    targets: Vec<Rc<Target>>,
    children: RefCell<Vec<Option<Child>>>,
    chance: RefCell<Rand64>,
    votes: Rc<RefCell<BTreeMap<String, u64>>>,
    troubles: Rc<RefCell<Vec<String>>>,
    over: Cell<bool>,
}

/// The figures that the rules are checked by, from the settings that sidecars get.
pub fn figures(site: &Site) -> Figures {
    let group = |group: &havenplank_settings::RouteClassSettings| {
        Group::new(
            &group.name,
            group.rules.idempotency,
            group.rules.dedup_scope,
            group.rules.dedup_window,
        )
    };
    Figures {
        groups: site.route_classes.iter().map(group).collect(),
        drain_grace: site.pods.drain_grace,
        overload_multiple: site.pods.overload_multiple,
        overload_window: site.pods.overload_window,
        exposure: Exposure::from(&site.exposure),
        answer_slack: ANSWER_SLACK,
        transit: TRANSIT,
    }
}

/// The values that a settings script is given for a day, apart from names and addresses.
pub fn given(day: &Day) -> Vec<(String, String)> {
    let [on, back] =
        [day.advance_quorum, day.rollback_quorum].map(|share| part(share, day.sidecars));
    [
        ("instances", day.sidecars.to_string()),
        ("control", day.control.clone()),
        (
            "on_needs",
            if day.control == "count" { on } else { 0 }.to_string(),
        ),
        (
            "back_needs",
            if day.control == "any" { 1 } else { back }.to_string(),
        ),
        ("zone", day.zones[0].clone()),
    ]
    .map(|(name, value)| (name.to_string(), value))
    .to_vec()
}

/// Plays a day to its end. `tell` is called once a second with the time and a line for a terminal.
///
/// # Errors
/// No sockets to be had, or a sidecar that does not start.
pub async fn play(
    day: Day,
    site: Site,
    launch: Launch,
    seed: u64,
    mut tell: impl FnMut(Nanos, String),
) -> Result<Played, DayError> {
    let (book, site) = (Book::new(), Rc::new(site));
    book.write(Seen::Figures(figures(&site)));
    let served = |group: &havenplank_settings::RouteClassSettings| Served {
        scope: group.rules.dedup_scope,
        tagged: group.rules.idempotency == Idempotency::Keyed,
        dedup_window: group.rules.dedup_window,
    };
    let machine = site
        .machines
        .first()
        .cloned()
        .unwrap_or_else(|| "machine".to_string());
    let fall = (site.pods.overload_multiple, site.pods.overload_window);
    let groups = site.route_classes.iter().map(served).collect();
    let fleet = Fleet::new(&day, groups, &machine, fall, seed ^ 1, book.clone());
    fleet.begin(day.pods).await?;
    let nodes = Nodes::new(book.clone(), fleet.clone(), day.notice, day.period);
    let terms = Terms {
        control: site.votes.control,
        advance_quorum: if site.votes.control == ReleaseControl::AnyVote {
            1
        } else {
            part(day.advance_quorum, day.sidecars)
        },
        rollback_quorum: site.votes.rollback_quorum,
        life: site.votes.ttl,
        step: site.votes.stage_duration,
        calls_per_second: site.votes.calls_per_second,
        caps: site.exposure.caps.clone(),
        shares: day.stages.clone(),
        places: day.pods,
    };
    let names = site
        .route_classes
        .iter()
        .map(|group| group.name.clone())
        .collect();
    let desk = Desk::new(
        book.clone(),
        fleet.clone(),
        terms,
        day.offers.clone(),
        names,
    );
    let (nodes_listener, desk_listener) = (loopback_listener().await?, loopback_listener().await?);
    let feeds = (nodes_listener.local_addr()?, desk_listener.local_addr()?);
    let targets: Vec<Rc<Target>> = (0..day.sidecars)
        .map(|n| Target::new(&format!("sidecar-{n}")))
        .collect();
    let clients = Clients::new(book.clone(), site.clone(), &day, targets.clone(), seed ^ 2);
    let mut tasks = JoinSet::new();
    tasks.spawn_local(nodes.clone().serve(nodes_listener));
    tasks.spawn_local(desk.clone().serve(desk_listener));
    let looked = fleet.clone();
    tasks.spawn_local(async move {
        loop {
            sleep(Duration::from_millis(200)).await;
            looked.look();
        }
    });
    let runner = Rc::new(Runner {
        book: book.clone(),
        launch,
        feeds,
        children: RefCell::new((0..day.sidecars).map(|_| None).collect()),
        targets,
        chance: RefCell::new(Rand64::new(seed as u128 ^ 3)),
        votes: Rc::default(),
        troubles: Rc::default(),
        over: Cell::new(false),
        day: day.clone(),
    });
    for n in 0..day.sidecars {
        runner.start(n).await?;
    }
    tasks.spawn_local(desk.clone().run());
    let began = Instant::now();
    for event in day.events.clone() {
        let (runner, fleet, nodes) = (runner.clone(), fleet.clone(), nodes.clone());
        let (desk, clients) = (desk.clone(), clients.clone());
        tasks.spawn_local(async move {
            sleep_until(began + Duration::from_nanos(event.at)).await;
            runner
                .trouble(
                    event.what,
                    Duration::from_nanos(event.lasts),
                    fleet,
                    nodes,
                    desk,
                    clients,
                )
                .await;
        });
    }
    let asking = clients.clone();
    let mut run = spawn_local(async move { asking.run().await });
    loop {
        tokio::select! {
            _ = &mut run => break,
            () = sleep(Duration::from_secs(1)) => {
                let fared = clients.fared.borrow();
                let sum = |of: fn(&Fared) -> u64| fared.iter().map(of).sum::<u64>();
                let line = format!(
                    "{} pods, {} asked, {} in time, {} bounced, {} errored",
                    fleet.running().len(), sum(|f| f.asked), sum(|f| f.in_time), sum(|f| f.bounced),
                    sum(|f| f.errored),
                );
                tell(began.elapsed().as_nanos() as Nanos, line);
            }
        }
    }
    runner.over.set(true);
    tasks.abort_all();
    runner.end().await;
    let (entries, lost) = book.close();
    let fared = clients.fared.borrow().clone();
    let story = desk.story.borrow().clone();
    let votes = runner.votes.borrow().clone();
    let troubles = runner.troubles.borrow().clone();
    Ok(Played {
        entries,
        lost,
        fared,
        tries: clients.tries.get(),
        story,
        votes,
        troubles,
    })
}

/// A listener at a port that the system chooses. It is kept until it is served on: a port that is let go may be taken.
async fn loopback_listener() -> std::io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").await
}

impl Runner {
    /// Starts a sidecar and waits until it listens.
    async fn start(&self, n: usize) -> Result<(), DayError> {
        let target = self.targets[n].clone();
        let name = target.name.clone();
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.launch.folder.join(format!("{name}.log")))?;
        let seed = self.chance.borrow_mut().rand_u64() >> 1;
        let kept = self
            .launch
            .folder
            .join(format!("{name}.list"))
            .display()
            .to_string();
        let mut values = given(&self.day);
        let own = [
            ("name", name.clone()),
            ("rank", n.to_string()),
            ("listen", "127.0.0.1:0".to_string()),
            ("admin", "127.0.0.1:0".to_string()),
            ("nodes", self.feeds.0.to_string()),
            ("desk", self.feeds.1.to_string()),
            ("keep", kept),
            ("zone", self.day.zones[n % self.day.zones.len()].clone()),
        ];
        if let Some(folder) = &self.launch.trace {
            values.push(("trace".to_string(), folder.display().to_string()));
        }
        values.extend(own.map(|(name, value)| (name.to_string(), value)));
        let mut command = Command::new(&self.launch.program);
        command
            .args(["--log-format", "json", "serve"])
            .arg(&self.launch.settings);
        command.args(["--seed", &seed.to_string()]);
        for (name, value) in values {
            command.args(["--given", &format!("{name}={value}")]);
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = child.kill_on_drop(true).spawn()?;
        let (ready, listens) = oneshot::channel();
        if let Some(log_of) = child.stderr.take() {
            let (votes, troubles) = (self.votes.clone(), self.troubles.clone());
            spawn_local(read_log(
                BufReader::new(log_of),
                log,
                name.clone(),
                ready,
                votes,
                troubles,
            ));
        }
        let addresses = timeout(START, listens).await.ok().and_then(Result::ok);
        let (listen, admin) = addresses.ok_or(DayError::Silent(name.clone()))?;
        self.book.write(Seen::SidecarUp { sidecar: name });
        self.children.borrow_mut()[n] = Some(child);
        target.comes_up(listen, admin);
        Ok(())
    }

    async fn bounce(&self, n: usize, down: Duration, kindly: bool) {
        let Some(mut child) = self.children.borrow_mut()[n].take() else {
            return;
        };
        let (target, name) = (&self.targets[n], self.targets[n].name.clone());
        if kindly {
            self.book.write(Seen::SidecarStops { sidecar: name });
            target.goes_down();
            if let Some(pid) = child.id().and_then(|pid| Pid::from_raw(pid as i32)) {
                let _ = kill_process(pid, Signal::TERM);
            }
            let ended = timeout(Duration::from_secs(10), child.wait()).await;
            if !matches!(ended, Ok(Ok(status)) if status.success()) {
                self.troubles
                    .borrow_mut()
                    .push(format!("{}: did not stop as told: {ended:?}", target.name));
            }
        } else {
            self.book.write(Seen::SidecarKilled { sidecar: name });
            target.goes_down();
            let _ = child.kill().await;
        }
        sleep(down).await;
        if !self.over.get() {
            if let Err(error) = self.start(n).await {
                self.troubles.borrow_mut().push(error.to_string());
            }
        }
    }

    async fn end(&self) {
        let children: Vec<Option<Child>> = self.children.borrow_mut().drain(..).collect();
        for (n, mut child) in children
            .into_iter()
            .enumerate()
            .filter_map(|(n, child)| Some((n, child?)))
        {
            if let Ok(Some(status)) = child.try_wait() {
                self.troubles.borrow_mut().push(format!(
                    "{} ended by itself: {status}",
                    self.targets[n].name
                ));
            }
            let _ = child.kill().await;
        }
    }

    fn drawn(&self, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.targets.len()).collect();
        let mut drawn = Vec::new();
        while drawn.len() < count && !all.is_empty() {
            let at = self.chance.borrow_mut().rand_range(0..all.len() as u64) as usize;
            drawn.push(all.swap_remove(at));
        }
        drawn
    }

    async fn trouble(
        self: Rc<Self>,
        what: What,
        lasts: Duration,
        fleet: Rc<Fleet>,
        nodes: Rc<Nodes>,
        desk: Rc<Desk>,
        clients: Rc<Clients>,
    ) {
        tracing::info!(?what, "trouble");
        match what {
            What::Pods(count, faults) => {
                let pods = fleet.some(count);
                pods.iter()
                    .for_each(|pod| *pod.faults.borrow_mut() = faults.clone());
                sleep(lasts).await;
                pods.iter()
                    .for_each(|pod| *pod.faults.borrow_mut() = Default::default());
            }
            What::ZoneLost(zone) => {
                let lost: Vec<Rc<Pod>> = fleet
                    .running()
                    .into_iter()
                    .filter(|pod| pod.who.zone == zone)
                    .collect();
                lost.iter().for_each(|pod| fleet.kill(pod));
                sleep(lasts).await;
                for pod in lost {
                    let _ = fleet.start(pod.who.build, Some(&zone), false).await;
                }
            }
            What::NodesAway => {
                nodes.away.set(true);
                sleep(lasts).await;
                nodes.away.set(false);
            }
            What::NodesStale(by) => {
                nodes.stale.set(by);
                sleep(lasts).await;
                nodes.stale.set(0);
            }
            What::DeskAway => {
                desk.away.set(true);
                sleep(lasts).await;
                desk.away.set(false);
            }
            What::DeskLate(by) => {
                desk.late.set(by);
                sleep(lasts).await;
                desk.late.set(0);
            }
            What::DeskMute => {
                desk.mute.set(true);
                sleep(lasts).await;
                desk.mute.set(false);
            }
            What::Rate(surge) => {
                clients.surge.set(surge);
                sleep(lasts).await;
                clients.surge.set(1.0);
            }
            What::Kill(count, down) | What::Stop(count, down) => {
                let kindly = matches!(what, What::Stop(..));
                let mut all = JoinSet::new();
                for n in self.drawn(count) {
                    let runner = self.clone();
                    all.spawn_local(async move {
                        runner.bounce(n, Duration::from_nanos(down), kindly).await
                    });
                }
                while all.join_next().await.is_some() {}
            }
            What::Roll(batch, down) => {
                let order = self.drawn(self.targets.len());
                let batches: Vec<&[usize]> = order.chunks(batch.max(1)).collect();
                let pause = lasts / batches.len().max(1) as u32;
                for batch in batches {
                    let next = Instant::now() + pause;
                    let mut all = JoinSet::new();
                    for n in batch.iter().copied() {
                        let runner = self.clone();
                        let down = Duration::from_nanos(down);
                        all.spawn_local(async move { runner.bounce(n, down, false).await });
                    }
                    while all.join_next().await.is_some() {}
                    sleep_until(next).await;
                }
            }
            What::Drain(count) | What::Die(count) => {
                let kindly = matches!(what, What::Drain(_));
                for pod in fleet.some(count) {
                    if kindly {
                        fleet.drain(&pod);
                    } else {
                        fleet.kill(&pod);
                    }
                    let _ = fleet.start(pod.who.build, Some(&pod.who.zone), false).await;
                }
            }
        }
    }
}

/// Keeps a sidecar's log, and reads off it where it listens and how it votes.
async fn read_log(
    log_of: impl tokio::io::AsyncBufRead + Unpin,
    mut log: std::fs::File,
    name: String,
    ready: oneshot::Sender<(SocketAddr, SocketAddr)>,
    votes: Rc<RefCell<BTreeMap<String, u64>>>,
    troubles: Rc<RefCell<Vec<String>>>,
) {
    use std::io::Write as _;
    let (mut lines, mut ready) = (log_of.lines(), Some(ready));
    while let Ok(Some(line)) = lines.next_line().await {
        let _ = writeln!(log, "{line}");
        let Ok(said) = serde_json::from_str::<serde_json::Value>(&line) else {
            troubles.borrow_mut().push(format!("{name}: {line}"));
            continue;
        };
        let field = |name: &str| {
            said["fields"][name]
                .as_str()
                .unwrap_or_default()
                .to_string()
        };
        match field("message").as_str() {
            "listening" => {
                let both = (field("listen").parse(), field("admin").parse());
                if let ((Ok(listen), Ok(admin)), Some(ready)) = (both, ready.take()) {
                    let _ = ready.send((listen, admin));
                }
            }
            "vote" => *votes.borrow_mut().entry(field("voice")).or_default() += 1,
            _ => {}
        }
    }
}
