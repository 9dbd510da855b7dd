//! A connection that is made again whenever it ends, and moved to another address without a gap.

use crate::limits::{FIRST_RECONNECT_DELAY, LONGEST_RECONNECT_DELAY};
use havenplank_line_protocol::backoff::Backoff;
use std::cell::{Cell, RefCell};
use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle, JoinError, JoinHandle};
use tokio::time::sleep;

/// Aborts a task when this is dropped.
pub(crate) struct AbortOnDrop(pub(crate) AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Returns the backoff between connections to discovery or control plane.
pub(crate) fn backoff(seed: u64) -> Backoff {
    Backoff::new(seed, FIRST_RECONNECT_DELAY, LONGEST_RECONNECT_DELAY)
}

/// Handed to one session, which reports by it that the service speaks.
#[derive(Clone)]
pub(crate) struct Liveness {
    /// The session at the former address.
    former: Rc<RefCell<Option<AbortOnDrop>>>,
    spoke: Rc<Cell<bool>>,
    linger: Duration,
}

impl Liveness {
    fn new(former: Option<AbortOnDrop>, linger: Duration) -> Liveness {
        Liveness {
            former: Rc::new(RefCell::new(former)),
            spoke: Rc::default(),
            linger,
        }
    }

    /// Reports that the service said something: the session at the former address is no longer needed.
    pub(crate) fn confirm(&self) {
        self.spoke.set(true);
        let Some(former) = self.take_former() else {
            return;
        };
        let linger = self.linger;
        spawn_local(async move {
            sleep(linger).await;
            drop(former);
        });
    }

    fn take_former(&self) -> Option<AbortOnDrop> {
        self.former.borrow_mut().take()
    }
}

/// What ended the wait for a session.
enum Interruption<E> {
    Ended(Result<E, JoinError>),
    AddressChanged,
    Stopped,
}

/// Keeps one session up for as long as it is polled, or until the sender of `address` is dropped. A session returns why
/// it ended. Delays between attempts grow with jitter drawn from `seed`, and start short again once the service
/// spoke. When the address changes, the former session goes on until the new one speaks and `linger` after that.
pub(crate) async fn maintain<E: Display + 'static, F: Future<Output = E> + 'static>(
    service: &'static str,
    mut address: watch::Receiver<SocketAddr>,
    seed: u64,
    linger: Duration,
    session: impl Fn(SocketAddr, Liveness) -> F,
) {
    let mut backoff = backoff(seed);
    let mut former = None;
    loop {
        let current = *address.borrow_and_update();
        // One for each session: what the former one receives must not count as the new one's word.
        let liveness = Liveness::new(former.take(), linger);
        let mut task = spawn_local(session(current, liveness.clone()));
        let guard = AbortOnDrop(task.abort_handle());
        let interruption = interrupted(&mut task, &mut address).await;
        former = liveness.take_former();
        let spoke = liveness.spoke.get();
        match interruption {
            Interruption::Stopped => return,
            Interruption::AddressChanged => {
                let to = *address.borrow();
                tracing::info!(service, from = %current, %to, "address changed");
                if spoke {
                    former = Some(guard);
                }
                backoff.reset();
                continue;
            }
            Interruption::Ended(Ok(reason)) => log_end(service, current, &reason),
            Interruption::Ended(Err(reason)) => log_end(service, current, &reason),
        }
        if spoke {
            backoff.reset();
        }
        tokio::select! {
            () = sleep(backoff.next_delay()) => {}
            changed = address.changed() => if changed.is_err() { return },
        }
    }
}

async fn interrupted<E>(
    task: &mut JoinHandle<E>,
    address: &mut watch::Receiver<SocketAddr>,
) -> Interruption<E> {
    tokio::select! {
        ended = task => Interruption::Ended(ended),
        changed = address.changed() => match changed {
            Ok(()) => Interruption::AddressChanged,
            Err(_) => Interruption::Stopped,
        },
    }
}

fn log_end(service: &str, address: SocketAddr, reason: &dyn Display) {
    tracing::warn!(service, %address, %reason, "connection ended");
}
