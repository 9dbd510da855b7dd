//! Plays a scenario: emulated services in this process, sidecars as child processes, and scripted faults.

use crate::book::Book;
use crate::clients::{Clients, Fared, Target};
use crate::desk::{Desk, Terms};
use crate::faults::FaultInjector;
use crate::fleet::Fleet;
use crate::nodes::Nodes;
use crate::notation::{part, Day};
use crate::pod::Served;
use crate::sidecars::{ServiceAddresses, Sidecars};
use havenplank::interface::{Idempotency, Nanos, ReleaseControl};
use havenplank_invariants::ledger::{Entry, Exposure, Figures, Group, Seen};
use havenplank_settings::{RouteClassSettings, Site};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, Instant};

pub use crate::sidecars::{given, DayError, Launch};

/// How long after its time is up a final answer still counts.
const ANSWER_SLACK: Nanos = 20_000_000;
/// How late the other side may see something.
const TRANSIT: Nanos = 50_000_000;
/// How often the fleet removes dead pods and updates how much pods slow each other.
const FLEET_UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// How often progress is told.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// The result of a scenario.
pub struct Played {
    /// The ledger.
    pub entries: Vec<Entry>,
    /// Entries that the ledger had no space for.
    pub lost: u64,
    /// Outcomes by route class.
    pub fared: Vec<Fared>,
    /// Requests sent to sidecars, retries of clients counted.
    pub tries: u64,
    /// What happened to builds, a line each.
    pub story: Vec<String>,
    /// Votes that sidecars logged, by vote.
    pub votes: BTreeMap<String, u64>,
    /// Faults of the sidecar processes, a line each.
    pub troubles: Vec<String>,
}

/// The figures that the invariants are checked by, from the settings that sidecars get.
pub fn figures(site: &Site) -> Figures {
    let group = |group: &RouteClassSettings| {
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

/// Plays a scenario to its end. `tell` is called once a second with the time and a line for a terminal.
///
/// # Errors
/// No sockets to be had, or a sidecar that does not start.
pub async fn play(
    day: Day,
    site: Site,
    launch: Launch,
    seed: u64,
    tell: impl FnMut(Nanos, String),
) -> Result<Played, DayError> {
    let mut running = Running::start(&day, Rc::new(site), launch, seed).await?;
    let began = Instant::now();
    running.schedule_faults(&day, began);
    running.run_clients(began, tell).await;
    Ok(running.finish().await)
}

/// A scenario that runs.
struct Running {
    book: Book,
    parts: FaultInjector,
    /// The emulated services and the faults; ended when dropped.
    tasks: JoinSet<()>,
}

impl Running {
    /// Starts the pods, the services and the sidecars.
    async fn start(
        day: &Day,
        site: Rc<Site>,
        launch: Launch,
        seed: u64,
    ) -> Result<Running, DayError> {
        let book = Book::new();
        book.write(Seen::Figures(figures(&site)));
        let fleet = start_fleet(day, &site, seed ^ 1, book.clone()).await?;
        let nodes = Nodes::new(book.clone(), fleet.clone(), day.notice, day.period);
        let desk = control_plane(day, &site, book.clone(), fleet.clone());
        let nodes_listener = loopback_listener().await?;
        let desk_listener = loopback_listener().await?;
        let services = ServiceAddresses {
            endpoint_list: nodes_listener.local_addr()?,
            control_plane: desk_listener.local_addr()?,
        };
        let targets: Vec<Rc<Target>> = (0..day.sidecars)
            .map(|n| Target::new(&format!("sidecar-{n}")))
            .collect();
        let clients = Clients::new(book.clone(), site, day, targets.clone(), seed ^ 2);
        let mut tasks = JoinSet::new();
        tasks.spawn_local(nodes.clone().serve(nodes_listener));
        tasks.spawn_local(desk.clone().serve(desk_listener));
        tasks.spawn_local(update_fleet(fleet.clone()));
        let sidecars = Sidecars::new(
            book.clone(),
            launch,
            day.clone(),
            services,
            targets,
            seed ^ 3,
        );
        for instance in 0..day.sidecars {
            sidecars.start(instance).await?;
        }
        tasks.spawn_local(desk.clone().run());
        let parts = FaultInjector {
            sidecars,
            fleet,
            endpoint_list: nodes,
            control_plane: desk,
            clients,
        };
        Ok(Running { book, parts, tasks })
    }

    /// Injects each fault of the scenario at its time.
    fn schedule_faults(&mut self, day: &Day, began: Instant) {
        for event in day.events.clone() {
            let injector = self.parts.clone();
            self.tasks.spawn_local(async move {
                sleep_until(began + Duration::from_nanos(event.at)).await;
                let lasts = Duration::from_nanos(event.lasts);
                injector.inject(event.what, lasts).await;
            });
        }
    }

    /// Runs the clients to their end, and tells of progress meanwhile.
    async fn run_clients(&self, began: Instant, mut tell: impl FnMut(Nanos, String)) {
        let clients = self.parts.clients.clone();
        let mut run = spawn_local(async move { clients.run().await });
        loop {
            tokio::select! {
                _ = &mut run => return,
                () = sleep(PROGRESS_INTERVAL) => {
                    tell(began.elapsed().as_nanos() as Nanos, self.progress());
                }
            }
        }
    }

    fn progress(&self) -> String {
        let fared = self.parts.clients.fared.borrow();
        let sum = |of: fn(&Fared) -> u64| fared.iter().map(of).sum::<u64>();
        format!(
            "{} pods, {} asked, {} in time, {} bounced, {} errored",
            self.parts.fleet.running().len(),
            sum(|f| f.asked),
            sum(|f| f.in_time),
            sum(|f| f.bounced),
            sum(|f| f.errored),
        )
    }

    /// Ends everything and collects the result.
    async fn finish(mut self) -> Played {
        let FaultInjector {
            sidecars,
            control_plane,
            clients,
            ..
        } = &self.parts;
        sidecars.close();
        self.tasks.abort_all();
        sidecars.kill_all().await;
        let (entries, lost) = self.book.close();
        let observed = sidecars.take_observed();
        Played {
            entries,
            lost,
            fared: clients.fared.borrow().clone(),
            tries: clients.tries.get(),
            story: control_plane.story.borrow().clone(),
            votes: observed.votes,
            troubles: observed.troubles,
        }
    }
}

/// Starts the scenario's pods.
async fn start_fleet(day: &Day, site: &Site, seed: u64, book: Book) -> Result<Rc<Fleet>, DayError> {
    let served = |group: &RouteClassSettings| Served {
        scope: group.rules.dedup_scope,
        tagged: group.rules.idempotency == Idempotency::Keyed,
        dedup_window: group.rules.dedup_window,
    };
    let machine = site.machines.first().map_or("machine", String::as_str);
    let overload = (site.pods.overload_multiple, site.pods.overload_window);
    let classes = site.route_classes.iter().map(served).collect();
    let fleet = Fleet::new(day, classes, machine, overload, seed, book);
    fleet.begin(day.pods).await?;
    Ok(fleet)
}

/// The emulated control plane, with the terms of the sidecars' settings.
fn control_plane(day: &Day, site: &Site, book: Book, fleet: Rc<Fleet>) -> Rc<Desk> {
    let advance_quorum = match site.votes.control {
        ReleaseControl::AnyVote => 1,
        _ => part(day.advance_quorum, day.sidecars),
    };
    let terms = Terms {
        control: site.votes.control,
        advance_quorum,
        rollback_quorum: site.votes.rollback_quorum,
        life: site.votes.ttl,
        step: site.votes.stage_duration,
        calls_per_second: site.votes.calls_per_second,
        caps: site.exposure.caps.clone(),
        shares: day.stages.clone(),
        places: day.pods,
    };
    let names = site.route_classes.iter().map(|class| class.name.clone());
    Desk::new(book, fleet, terms, day.offers.clone(), names.collect())
}

/// Removes dead pods and updates the shared slowdown until dropped.
async fn update_fleet(fleet: Rc<Fleet>) {
    loop {
        sleep(FLEET_UPDATE_INTERVAL).await;
        fleet.look();
    }
}

/// A listener at a port that the system chooses. It is kept until it is served on: a port that is let go may be taken.
async fn loopback_listener() -> std::io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").await
}
