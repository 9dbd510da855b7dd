//! Injects the faults of a scenario: each for its span, then the state before is restored.

use crate::clients::Clients;
use crate::desk::Desk;
use crate::fleet::Fleet;
use crate::nodes::Nodes;
use crate::notation::What;
use crate::pod::{Faults, Pod};
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
    pub(crate) endpoint_list: Rc<Nodes>,
    pub(crate) control_plane: Rc<Desk>,
    pub(crate) clients: Rc<Clients>,
}

impl FaultInjector {
    /// Injects one fault and returns when it is over.
    pub(crate) async fn inject(self, fault: What, lasts: Duration) {
        tracing::info!(target: LOG_TARGET, what = ?fault, "trouble");
        match fault {
            What::Pods(count, faults) => self.degrade_pods(count, faults, lasts).await,
            What::ZoneLost(zone) => self.lose_zone(&zone, lasts).await,
            What::NodesAway => hold(&self.endpoint_list.away, true, false, lasts).await,
            What::NodesStale(by) => hold(&self.endpoint_list.stale, by, 0, lasts).await,
            What::DeskAway => hold(&self.control_plane.away, true, false, lasts).await,
            What::DeskLate(by) => hold(&self.control_plane.late, by, 0, lasts).await,
            What::DeskMute => hold(&self.control_plane.mute, true, false, lasts).await,
            What::Rate(surge) => hold(&self.clients.surge, surge, 1.0, lasts).await,
            What::Kill(count, down) => {
                let down = Duration::from_nanos(down);
                self.restart_some(count, down, Shutdown::Kill).await;
            }
            What::Stop(count, down) => {
                let down = Duration::from_nanos(down);
                self.restart_some(count, down, Shutdown::Graceful).await;
            }
            What::Roll(batch, down) => {
                let down = Duration::from_nanos(down);
                self.rolling_restart(batch, down, lasts).await;
            }
            What::Drain(count) => self.replace_pods(count, Shutdown::Graceful).await,
            What::Die(count) => self.replace_pods(count, Shutdown::Kill).await,
        }
    }

    async fn degrade_pods(&self, count: usize, faults: Faults, lasts: Duration) {
        let pods = self.fleet.some(count);
        for pod in &pods {
            *pod.faults.borrow_mut() = faults.clone();
        }
        sleep(lasts).await;
        for pod in &pods {
            *pod.faults.borrow_mut() = Faults::default();
        }
    }

    /// Kills all pods of a zone, and replaces them there when the fault is over.
    async fn lose_zone(&self, zone: &str, lasts: Duration) {
        let running = self.fleet.running().into_iter();
        let lost: Vec<Rc<Pod>> = running.filter(|pod| pod.who.zone == zone).collect();
        for pod in &lost {
            self.fleet.kill(pod);
        }
        sleep(lasts).await;
        for pod in lost {
            let _ = self.fleet.start(pod.who.build, Some(zone), false).await;
        }
    }

    async fn restart_some(&self, count: usize, down: Duration, shutdown: Shutdown) {
        let instances = self.sidecars.draw(count);
        self.sidecars.restart_all(&instances, down, shutdown).await;
    }

    /// Kills and restarts all sidecars in batches, spread over the fault's span.
    async fn rolling_restart(&self, batch: usize, down: Duration, lasts: Duration) {
        let order = self.sidecars.draw(self.sidecars.count());
        let batches: Vec<&[usize]> = order.chunks(batch.max(1)).collect();
        let pause = lasts / batches.len().max(1) as u32;
        for batch in batches {
            let next = Instant::now() + pause;
            self.sidecars.restart_all(batch, down, Shutdown::Kill).await;
            sleep_until(next).await;
        }
    }

    async fn replace_pods(&self, count: usize, shutdown: Shutdown) {
        for pod in self.fleet.some(count) {
            match shutdown {
                Shutdown::Graceful => self.fleet.drain(&pod),
                Shutdown::Kill => self.fleet.kill(&pod),
            }
            let zone = Some(pod.who.zone.as_str());
            let _ = self.fleet.start(pod.who.build, zone, false).await;
        }
    }
}

/// Sets a value for a while, then back to its normal one.
async fn hold<T>(cell: &Cell<T>, value: T, normal: T, lasts: Duration) {
    cell.set(value);
    sleep(lasts).await;
    cell.set(normal);
}
