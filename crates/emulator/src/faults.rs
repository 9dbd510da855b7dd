//! Injects the faults of a scenario, each for its duration; then the normal state is restored.

use crate::clients::Clients;
use crate::control_plane::ControlPlane;
use crate::endpoint_list::EndpointListService;
use crate::fleet::Fleet;
use crate::pod::{Faults, Pod};
use crate::scenario_file::FaultKind;
use crate::sidecars::{Shutdown, Sidecars};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// Log target of injected faults: log filters and readers know it by this name.
const LOG_TARGET: &str = "havenplank_emulator::day";

/// Everything that a fault may be injected into.
#[derive(Clone)]
pub(crate) struct FaultInjector {
    pub(crate) sidecars: Rc<Sidecars>,
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) endpoint_list: Rc<EndpointListService>,
    pub(crate) control_plane: Rc<ControlPlane>,
    pub(crate) clients: Rc<Clients>,
}

impl FaultInjector {
    /// Injects one fault and returns when it is over.
    pub(crate) async fn inject(self, fault: FaultKind, duration: Duration) {
        tracing::info!(target: LOG_TARGET, what = ?fault, "trouble");
        match fault {
            FaultKind::Pods(count, faults) => self.degrade_pods(count, faults, duration).await,
            FaultKind::ZoneLost(zone) => self.lose_zone(&zone, duration).await,
            FaultKind::NodesAway => {
                set_for(&self.endpoint_list.is_unavailable, true, false, duration).await
            }
            FaultKind::NodesStale(by) => {
                set_for(&self.endpoint_list.extra_delay, by, 0, duration).await
            }
            FaultKind::DeskAway => {
                set_for(&self.control_plane.is_unavailable, true, false, duration).await
            }
            FaultKind::DeskLate(by) => {
                set_for(&self.control_plane.extra_announce_delay, by, 0, duration).await
            }
            FaultKind::DeskMute => {
                set_for(
                    &self.control_plane.withholds_vote_replies,
                    true,
                    false,
                    duration,
                )
                .await
            }
            FaultKind::Rate(factor) => {
                set_for(&self.clients.rate_factor, factor, 1.0, duration).await
            }
            FaultKind::Kill(count, down) => {
                let down = Duration::from_nanos(down);
                self.restart_some(count, down, Shutdown::Kill).await;
            }
            FaultKind::Stop(count, down) => {
                let down = Duration::from_nanos(down);
                self.restart_some(count, down, Shutdown::Graceful).await;
            }
            FaultKind::Roll(batch, down) => {
                let down = Duration::from_nanos(down);
                self.rolling_restart(batch, down, duration).await;
            }
            FaultKind::Drain(count) => self.replace_pods(count, Shutdown::Graceful).await,
            FaultKind::Die(count) => self.replace_pods(count, Shutdown::Kill).await,
        }
    }

    async fn degrade_pods(&self, count: usize, faults: Faults, duration: Duration) {
        let pods = self.fleet.draw_pods(count);
        for pod in &pods {
            *pod.faults.borrow_mut() = faults.clone();
        }
        sleep(duration).await;
        for pod in &pods {
            *pod.faults.borrow_mut() = Faults::default();
        }
    }

    /// Kills all pods of a zone, and replaces them in that zone when the fault is over.
    async fn lose_zone(&self, zone: &str, duration: Duration) {
        let running = self.fleet.running().into_iter();
        let lost: Vec<Rc<Pod>> = running.filter(|pod| pod.identity.zone == zone).collect();
        for pod in &lost {
            self.fleet.kill(pod);
        }
        sleep(duration).await;
        for pod in lost {
            let _ = self
                .fleet
                .start(pod.identity.build, Some(zone), false)
                .await;
        }
    }

    async fn restart_some(&self, count: usize, down: Duration, shutdown: Shutdown) {
        let instances = self.sidecars.draw(count);
        self.sidecars.restart_all(&instances, down, shutdown).await;
    }

    /// Kills and restarts all sidecars in batches, spread over the fault's duration.
    async fn rolling_restart(&self, batch: usize, down: Duration, duration: Duration) {
        let order = self.sidecars.draw(self.sidecars.count());
        let batches: Vec<&[usize]> = order.chunks(batch.max(1)).collect();
        let pause = duration / batches.len().max(1) as u32;
        for batch in batches {
            let next = Instant::now() + pause;
            self.sidecars.restart_all(batch, down, Shutdown::Kill).await;
            sleep_until(next).await;
        }
    }

    async fn replace_pods(&self, count: usize, shutdown: Shutdown) {
        for pod in self.fleet.draw_pods(count) {
            match shutdown {
                Shutdown::Graceful => self.fleet.drain(&pod),
                Shutdown::Kill => self.fleet.kill(&pod),
            }
            let zone = Some(pod.identity.zone.as_str());
            let _ = self.fleet.start(pod.identity.build, zone, false).await;
        }
    }
}

/// Sets a value for a duration, then restores the normal one.
async fn set_for<T>(cell: &Cell<T>, value: T, normal: T, duration: Duration) {
    cell.set(value);
    sleep(duration).await;
    cell.set(normal);
}
