//! The sidecar processes of a scenario: starts, stops, kills and restarts them, and reads their logs.

use crate::clients::Target;
use crate::ledger_writer::LedgerWriter;
use crate::scenario_file::{share_of, Scenario};
use havenplank_invariants::ledger::LedgerEvent;
use oorandom::Rand64;
use rustix::process::{kill_process, Pid, Signal};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, timeout};

/// How long a sidecar may take from its start until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a sidecar may take to end after it was asked to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// How sidecars are started.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The program that runs a sidecar.
    pub program: PathBuf,
    /// The settings script of all sidecars.
    pub settings: PathBuf,
    /// The folder of each sidecar's last endpoint list and log.
    pub folder: PathBuf,
    /// The folder that the sidecars record traces in, if they record.
    pub trace: Option<PathBuf>,
}

/// Why a scenario could not run.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A socket, a file or a process failed.
    #[error("emulated services and sidecars: {0}")]
    Io(#[from] std::io::Error),
    /// A sidecar did not log its address in time.
    #[error(
        "{0} did not listen within {START_TIMEOUT:?}; its log is in the folder of its endpoint list"
    )]
    NotListening(String),
}

/// The values that a scenario passes to the settings script, except names and addresses.
pub fn settings_values(scenario: &Scenario) -> Vec<(String, String)> {
    let advance = share_of(scenario.advance_quorum, scenario.sidecars);
    let rollback = share_of(scenario.rollback_quorum, scenario.sidecars);
    let advance = if scenario.control == "count" {
        advance
    } else {
        0
    };
    let rollback = if scenario.control == "any" {
        1
    } else {
        rollback
    };
    [
        ("instances", scenario.sidecars.to_string()),
        ("control", scenario.control.clone()),
        ("on_needs", advance.to_string()),
        ("back_needs", rollback.to_string()),
        ("zone", scenario.zones[0].clone()),
    ]
    .map(|(name, value)| (name.to_string(), value))
    .to_vec()
}

/// How a process or a pod ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shutdown {
    Graceful,
    Kill,
}

/// Where the services that sidecars connect to listen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceAddresses {
    pub(crate) endpoint_list: SocketAddr,
    pub(crate) control_plane: SocketAddr,
}

/// Where a sidecar listens.
#[derive(Clone, Copy, Debug)]
struct SidecarAddresses {
    listen: SocketAddr,
    admin: SocketAddr,
}

/// What was read from the logs of all sidecars.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    /// Number of votes cast, by vote.
    pub(crate) votes: BTreeMap<String, u64>,
    /// Faults of the sidecar processes that the scenario did not inject, one line each.
    pub(crate) unexpected_faults: Vec<String>,
}

/// All sidecar processes of a scenario.
pub(crate) struct Sidecars {
    ledger: LedgerWriter,
    launch: Launch,
    scenario: Scenario,
    services: ServiceAddresses,
    targets: Vec<Rc<Target>>,
    children: RefCell<Vec<Option<Child>>>,
    random: RefCell<Rand64>,
    observed: Rc<RefCell<Observed>>,
    /// Set at the end of the scenario, after which no sidecar is restarted.
    is_closed: Cell<bool>,
}

impl Sidecars {
    pub(crate) fn new(
        ledger: LedgerWriter,
        launch: Launch,
        scenario: Scenario,
        services: ServiceAddresses,
        targets: Vec<Rc<Target>>,
        seed: u64,
    ) -> Rc<Sidecars> {
        Rc::new(Sidecars {
            ledger,
            launch,
            services,
            children: RefCell::new((0..scenario.sidecars).map(|_| None).collect()),
            scenario,
            targets,
            random: RefCell::new(Rand64::new(seed as u128)),
            observed: Rc::default(),
            is_closed: Cell::new(false),
        })
    }

    pub(crate) fn count(&self) -> usize {
        self.targets.len()
    }

    /// Starts a sidecar and waits until it listens.
    pub(crate) async fn start(&self, instance: usize) -> Result<(), ScenarioError> {
        let target = self.targets[instance].clone();
        let name = target.name.clone();
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.launch.folder.join(format!("{name}.log")))?;
        let mut child = self.command(instance).spawn()?;
        let (ready, listens) = oneshot::channel();
        if let Some(stderr) = child.stderr.take() {
            let reader = LogReader {
                sidecar: name.clone(),
                copy: log,
                ready: Some(ready),
                observed: self.observed.clone(),
            };
            spawn_local(reader.run(BufReader::new(stderr)));
        }
        let addresses = timeout(START_TIMEOUT, listens)
            .await
            .ok()
            .and_then(Result::ok);
        let addresses = addresses.ok_or(ScenarioError::NotListening(name.clone()))?;
        self.ledger
            .write(LedgerEvent::SidecarStarted { sidecar: name });
        self.children.borrow_mut()[instance] = Some(child);
        target.mark_up(addresses.listen, addresses.admin);
        Ok(())
    }

    fn command(&self, instance: usize) -> Command {
        let seed = self.random.borrow_mut().rand_u64() >> 1;
        let mut command = Command::new(&self.launch.program);
        command
            .args(["--log-format", "json", "serve"])
            .arg(&self.launch.settings)
            .args(["--seed", &seed.to_string()]);
        for (name, value) in self.values(instance) {
            command.args(["--given", &format!("{name}={value}")]);
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        command
    }

    /// The values that are passed to the settings script of this sidecar.
    fn values(&self, instance: usize) -> Vec<(String, String)> {
        let name = &self.targets[instance].name;
        let cached_list = self.launch.folder.join(format!("{name}.list"));
        let zones = &self.scenario.zones;
        let own_values = [
            ("name", name.clone()),
            ("rank", instance.to_string()),
            ("listen", "127.0.0.1:0".to_string()),
            ("admin", "127.0.0.1:0".to_string()),
            ("nodes", self.services.endpoint_list.to_string()),
            ("desk", self.services.control_plane.to_string()),
            ("keep", cached_list.display().to_string()),
            ("zone", zones[instance % zones.len()].clone()),
        ];
        let mut values = settings_values(&self.scenario);
        if let Some(folder) = &self.launch.trace {
            values.push(("trace".to_string(), folder.display().to_string()));
        }
        values.extend(own_values.map(|(name, value)| (name.to_string(), value)));
        values
    }

    /// Restarts these sidecars concurrently; each stays down for `down`.
    pub(crate) async fn restart_all(
        self: &Rc<Self>,
        instances: &[usize],
        down: Duration,
        shutdown: Shutdown,
    ) {
        let mut restarts = JoinSet::new();
        for instance in instances.iter().copied() {
            let sidecars = self.clone();
            restarts.spawn_local(async move { sidecars.restart(instance, down, shutdown).await });
        }
        while restarts.join_next().await.is_some() {}
    }

    async fn restart(&self, instance: usize, down: Duration, shutdown: Shutdown) {
        let Some(mut child) = self.children.borrow_mut()[instance].take() else {
            return;
        };
        match shutdown {
            Shutdown::Graceful => self.stop(instance, &mut child).await,
            Shutdown::Kill => self.kill(instance, &mut child).await,
        }
        sleep(down).await;
        if self.is_closed.get() {
            return;
        }
        if let Err(error) = self.start(instance).await {
            self.report(error.to_string());
        }
    }

    async fn stop(&self, instance: usize, child: &mut Child) {
        let target = &self.targets[instance];
        let sidecar = target.name.clone();
        self.ledger
            .write(LedgerEvent::SidecarStopRequested { sidecar });
        target.mark_down();
        if let Some(pid) = child.id().and_then(|pid| Pid::from_raw(pid as i32)) {
            let _ = kill_process(pid, Signal::TERM);
        }
        let ended = timeout(STOP_TIMEOUT, child.wait()).await;
        if !matches!(ended, Ok(Ok(status)) if status.success()) {
            self.report(format!(
                "{} did not stop within {STOP_TIMEOUT:?} with exit status 0: {ended:?}",
                target.name
            ));
        }
    }

    async fn kill(&self, instance: usize, child: &mut Child) {
        let target = &self.targets[instance];
        let sidecar = target.name.clone();
        self.ledger.write(LedgerEvent::SidecarKilled { sidecar });
        target.mark_down();
        let _ = child.kill().await;
    }

    /// Prevents further restarts.
    pub(crate) fn close(&self) {
        self.is_closed.set(true);
    }

    /// Kills all sidecars, and reports those that had already ended.
    pub(crate) async fn kill_all(&self) {
        let children: Vec<Option<Child>> = self.children.borrow_mut().drain(..).collect();
        for (target, child) in self.targets.iter().zip(children) {
            let Some(mut child) = child else { continue };
            if let Ok(Some(status)) = child.try_wait() {
                self.report(format!(
                    "{} ended although nothing stopped it: {status}",
                    target.name
                ));
            }
            let _ = child.kill().await;
        }
    }

    /// Takes what was read from the logs.
    pub(crate) fn take_observed(&self) -> Observed {
        self.observed.take()
    }

    fn report(&self, fault: String) {
        self.observed.borrow_mut().unexpected_faults.push(fault);
    }

    /// Draws `count` different sidecars at random, or all if there are fewer.
    pub(crate) fn draw(&self, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.targets.len()).collect();
        let mut drawn = Vec::new();
        while drawn.len() < count && !all.is_empty() {
            let at = self.random.borrow_mut().rand_range(0..all.len() as u64) as usize;
            drawn.push(all.swap_remove(at));
        }
        drawn
    }
}

/// Copies a sidecar's log to a file, and reads its addresses and votes from it.
struct LogReader {
    sidecar: String,
    copy: std::fs::File,
    ready: Option<oneshot::Sender<SidecarAddresses>>,
    observed: Rc<RefCell<Observed>>,
}

impl LogReader {
    async fn run(mut self, log: impl AsyncBufRead + Unpin) {
        let mut lines = log.lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let _ = writeln!(self.copy, "{line}");
            self.read(&line);
        }
    }

    fn read(&mut self, line: &str) {
        let Ok(logged) = serde_json::from_str::<serde_json::Value>(line) else {
            let fault = format!("{}: {line}", self.sidecar);
            self.observed.borrow_mut().unexpected_faults.push(fault);
            return;
        };
        let field = |name: &str| logged["fields"][name].as_str().unwrap_or_default();
        match field("message") {
            "listening" => self.listens(field("listen"), field("admin")),
            "vote" => {
                let vote = field("vote").to_string();
                *self.observed.borrow_mut().votes.entry(vote).or_default() += 1;
            }
            _ => {}
        }
    }

    fn listens(&mut self, listen: &str, admin: &str) {
        let (Ok(listen), Ok(admin)) = (listen.parse(), admin.parse()) else {
            self.ready = None;
            return;
        };
        if let Some(ready) = self.ready.take() {
            let _ = ready.send(SidecarAddresses { listen, admin });
        }
    }
}
