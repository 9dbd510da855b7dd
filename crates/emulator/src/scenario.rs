//! Runs a scenario: emulated services in this process, sidecars as child processes, and injected faults.

use crate::clients::{ClassOutcomes, Clients, Target};
use crate::control_plane::{ControlPlane, ReleaseRules};
use crate::endpoint_list::EndpointListService;
use crate::faults::FaultInjector;
use crate::fleet::Fleet;
use crate::ledger_writer::LedgerWriter;
use crate::pod::ServedClass;
use crate::scenario_file::{share_of, Scenario};
use crate::sidecars::{ServiceAddresses, Sidecars};
use havenplank::interface::{Idempotency, Nanos, ReleaseControl};
use havenplank_invariants::ledger::{ClassRules, Entry, Exposure, LedgerEvent, RuleParameters};
use havenplank_settings::{RouteClassSettings, Site};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, Instant};

pub use crate::sidecars::{settings_values, Launch, ScenarioError};

/// How long after the client's timeout a final answer is still accepted, in nanoseconds.
const ANSWER_SLACK: Nanos = 20_000_000;
/// Longest delay between sending something and its receipt by the other side, in nanoseconds.
const TRANSIT: Nanos = 50_000_000;
/// How often the fleet removes dead pods and updates the shared slowdown.
const FLEET_UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// How often progress is reported.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// The result of a scenario.
pub struct ScenarioOutcome {
    /// The ledger.
    pub entries: Vec<Entry>,
    /// Entries that the ledger had no space for.
    pub lost: u64,
    /// Outcomes by route class.
    pub outcomes: Vec<ClassOutcomes>,
    /// Requests sent to sidecars, including retries of clients.
    pub attempts: u64,
    /// The history of the builds, one line per event.
    pub release_log: Vec<String>,
    /// Number of votes that sidecars logged, by vote.
    pub votes: BTreeMap<String, u64>,
    /// Faults of the sidecar processes that the scenario did not inject, one line each.
    pub unexpected_faults: Vec<String>,
}

/// The parameters of the invariants, from the settings of the sidecars.
pub fn rule_parameters(site: &Site) -> RuleParameters {
    let class_rules = |class: &RouteClassSettings| {
        ClassRules::new(
            &class.name,
            class.rules.idempotency,
            class.rules.dedup_scope,
            class.rules.dedup_window,
        )
    };
    RuleParameters {
        classes: site.route_classes.iter().map(class_rules).collect(),
        drain_grace: site.pods.drain_grace,
        overload_multiple: site.pods.overload_multiple,
        overload_window: site.pods.overload_window,
        exposure: Exposure::from(&site.exposure),
        answer_slack: ANSWER_SLACK,
        transit: TRANSIT,
    }
}

/// Runs a scenario to its end. `on_progress` is called once a second with the time and a line for a terminal.
///
/// # Errors
/// A socket cannot be bound, or a sidecar does not start.
pub async fn run(
    scenario: Scenario,
    site: Site,
    launch: Launch,
    seed: u64,
    on_progress: impl FnMut(Nanos, String),
) -> Result<ScenarioOutcome, ScenarioError> {
    let mut running = Running::start(&scenario, Rc::new(site), launch, seed).await?;
    let began = Instant::now();
    running.schedule_faults(&scenario, began);
    running.run_clients(began, on_progress).await;
    Ok(running.finish().await)
}

/// A running scenario.
struct Running {
    ledger: LedgerWriter,
    injector: FaultInjector,
    /// The emulated services and the faults; aborted when dropped.
    tasks: JoinSet<()>,
}

impl Running {
    /// Starts the pods, the services and the sidecars.
    async fn start(
        scenario: &Scenario,
        site: Rc<Site>,
        launch: Launch,
        seed: u64,
    ) -> Result<Running, ScenarioError> {
        let ledger = LedgerWriter::new();
        ledger.write(LedgerEvent::Parameters(rule_parameters(&site)));
        let fleet = start_fleet(scenario, &site, seed ^ 1, ledger.clone()).await?;
        let endpoint_list = EndpointListService::new(
            ledger.clone(),
            fleet.clone(),
            scenario.endpoint_list_delay,
            scenario.endpoint_list_interval,
        );
        let control_plane = control_plane(scenario, &site, ledger.clone(), fleet.clone());
        let endpoint_list_listener = loopback_listener().await?;
        let control_plane_listener = loopback_listener().await?;
        let services = ServiceAddresses {
            endpoint_list: endpoint_list_listener.local_addr()?,
            control_plane: control_plane_listener.local_addr()?,
        };
        let targets: Vec<Rc<Target>> = (0..scenario.sidecars)
            .map(|n| Target::new(&format!("sidecar-{n}")))
            .collect();
        let clients = Clients::new(ledger.clone(), site, scenario, targets.clone(), seed ^ 2);
        let mut tasks = JoinSet::new();
        tasks.spawn_local(endpoint_list.clone().serve(endpoint_list_listener));
        tasks.spawn_local(control_plane.clone().serve(control_plane_listener));
        tasks.spawn_local(update_fleet(fleet.clone()));
        let sidecars = Sidecars::new(
            ledger.clone(),
            launch,
            scenario.clone(),
            services,
            targets,
            seed ^ 3,
        );
        for instance in 0..scenario.sidecars {
            sidecars.start(instance).await?;
        }
        tasks.spawn_local(control_plane.clone().run());
        let injector = FaultInjector {
            sidecars,
            fleet,
            endpoint_list,
            control_plane,
            clients,
        };
        Ok(Running {
            ledger,
            injector,
            tasks,
        })
    }

    /// Injects each fault of the scenario at its time.
    fn schedule_faults(&mut self, scenario: &Scenario, began: Instant) {
        for fault in scenario.faults.clone() {
            let injector = self.injector.clone();
            self.tasks.spawn_local(async move {
                sleep_until(began + Duration::from_nanos(fault.at)).await;
                let duration = Duration::from_nanos(fault.duration);
                injector.inject(fault.kind, duration).await;
            });
        }
    }

    /// Runs the clients to their end, and reports progress meanwhile.
    async fn run_clients(&self, began: Instant, mut on_progress: impl FnMut(Nanos, String)) {
        let clients = self.injector.clients.clone();
        let mut run = spawn_local(async move { clients.run().await });
        loop {
            tokio::select! {
                _ = &mut run => return,
                () = sleep(PROGRESS_INTERVAL) => {
                    on_progress(began.elapsed().as_nanos() as Nanos, self.progress());
                }
            }
        }
    }

    fn progress(&self) -> String {
        let outcomes = self.injector.clients.outcomes.borrow();
        let sum = |of: fn(&ClassOutcomes) -> u64| outcomes.iter().map(of).sum::<u64>();
        format!(
            "{} pods, {} requests, {} in time, {} rejected, {} failed",
            self.injector.fleet.running().len(),
            sum(|f| f.requests),
            sum(|f| f.in_time),
            sum(|f| f.rejected),
            sum(|f| f.failed),
        )
    }

    /// Ends everything and collects the result.
    async fn finish(mut self) -> ScenarioOutcome {
        let FaultInjector {
            sidecars,
            control_plane,
            clients,
            ..
        } = &self.injector;
        sidecars.close();
        self.tasks.abort_all();
        sidecars.kill_all().await;
        let (entries, lost) = self.ledger.take();
        let observed = sidecars.take_observed();
        ScenarioOutcome {
            entries,
            lost,
            outcomes: clients.outcomes.borrow().clone(),
            attempts: clients.attempts.get(),
            release_log: control_plane.release_log.borrow().clone(),
            votes: observed.votes,
            unexpected_faults: observed.unexpected_faults,
        }
    }
}

/// Starts the scenario's pods.
async fn start_fleet(
    scenario: &Scenario,
    site: &Site,
    seed: u64,
    ledger: LedgerWriter,
) -> Result<Rc<Fleet>, ScenarioError> {
    let served_class = |class: &RouteClassSettings| ServedClass {
        scope: class.rules.dedup_scope,
        keyed: class.rules.idempotency == Idempotency::Keyed,
        dedup_window: class.rules.dedup_window,
    };
    let machine = site.machines.first().map_or("machine", String::as_str);
    let overload = (site.pods.overload_multiple, site.pods.overload_window);
    let classes = site.route_classes.iter().map(served_class).collect();
    let fleet = Fleet::new(scenario, classes, machine, overload, seed, ledger);
    fleet.start_initial_pods(scenario.pods).await?;
    Ok(fleet)
}

/// The emulated control plane, with the release rules of the sidecars' settings.
fn control_plane(
    scenario: &Scenario,
    site: &Site,
    ledger: LedgerWriter,
    fleet: Rc<Fleet>,
) -> Rc<ControlPlane> {
    let advance_quorum = match site.votes.control {
        ReleaseControl::AnyVote => 1,
        _ => share_of(scenario.advance_quorum, scenario.sidecars),
    };
    let rules = ReleaseRules {
        control: site.votes.control,
        advance_quorum,
        rollback_quorum: site.votes.rollback_quorum,
        vote_ttl: site.votes.ttl,
        stage_duration: site.votes.stage_duration,
        calls_per_second: site.votes.calls_per_second,
        caps: site.exposure.caps.clone(),
        shares: scenario.stages.clone(),
        total_pods: scenario.pods,
    };
    let names = site.route_classes.iter().map(|class| class.name.clone());
    ControlPlane::new(
        ledger,
        fleet,
        rules,
        scenario.offers.clone(),
        names.collect(),
    )
}

/// Removes dead pods and updates the shared slowdown until dropped.
async fn update_fleet(fleet: Rc<Fleet>) {
    loop {
        sleep(FLEET_UPDATE_INTERVAL).await;
        fleet.update();
    }
}

/// Binds a port that the system chooses. The listener is kept until it is served: another process could take a port
/// that is released meanwhile.
async fn loopback_listener() -> std::io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").await
}
