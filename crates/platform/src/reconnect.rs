//! Keeps a connection to a service: reconnects whenever it ends, and moves it to a new address without a gap.

use crate::limits::{FIRST_RECONNECT_DELAY, MAX_RECONNECT_DELAY};
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

/// Returns the backoff between connection attempts to discovery or the control plane.
pub(crate) fn backoff(seed: u64) -> Backoff {
    Backoff::new(seed, FIRST_RECONNECT_DELAY, MAX_RECONNECT_DELAY)
}

/// Handle by which a session confirms that its service responds.
#[derive(Clone)]
pub(crate) struct Liveness {
    /// The session at the previous address, if it still runs.
    previous: Rc<RefCell<Option<AbortOnDrop>>>,
    /// Whether this session confirmed.
    confirmed: Rc<Cell<bool>>,
    /// How long the previous session runs on after that.
    linger: Duration,
}

impl Liveness {
    fn new(previous: Option<AbortOnDrop>, linger: Duration) -> Liveness {
        Liveness {
            previous: Rc::new(RefCell::new(previous)),
            confirmed: Rc::default(),
            linger,
        }
    }

    /// Records that the service sent something, and ends the session at the previous address after `linger`.
    pub(crate) fn confirm(&self) {
        self.confirmed.set(true);
        let Some(previous) = self.take_previous() else {
            return;
        };
        let linger = self.linger;
        spawn_local(async move {
            sleep(linger).await;
            drop(previous);
        });
    }

    fn take_previous(&self) -> Option<AbortOnDrop> {
        self.previous.borrow_mut().take()
    }
}

/// What ended the wait for a session.
enum Interruption<E> {
    Ended(Result<E, JoinError>),
    AddressChanged,
    Stopped,
}

/// Keeps one session running until this future is dropped or the sender of `address` is.
///
/// `session` resolves to the reason why the session ended. Delays between attempts grow, with jitter drawn from `seed`,
/// and are reset once a session has confirmed. When the address changes, the previous session runs on until the new one
/// confirms, and for `linger` after that.
pub(crate) async fn maintain<E: Display + 'static, F: Future<Output = E> + 'static>(
    service: &'static str,
    mut address: watch::Receiver<SocketAddr>,
    seed: u64,
    linger: Duration,
    session: impl Fn(SocketAddr, Liveness) -> F,
) {
    let mut backoff = backoff(seed);
    let mut previous = None;
    loop {
        let current = *address.borrow_and_update();
        // Each session has its own handle: what the previous one receives must not confirm the new one.
        let liveness = Liveness::new(previous.take(), linger);
        let mut task = spawn_local(session(current, liveness.clone()));
        let guard = AbortOnDrop(task.abort_handle());
        let interruption = next_interruption(&mut task, &mut address).await;
        previous = liveness.take_previous();
        let confirmed = liveness.confirmed.get();
        match interruption {
            Interruption::Stopped => return,
            Interruption::AddressChanged => {
                let to = *address.borrow();
                tracing::info!(service, from = %current, %to, "address changed");
                if confirmed {
                    previous = Some(guard);
                }
                backoff.reset();
                continue;
            }
            Interruption::Ended(Ok(reason)) => log_end(service, current, &reason),
            Interruption::Ended(Err(reason)) => log_end(service, current, &reason),
        }
        if confirmed {
            backoff.reset();
        }
        tokio::select! {
            () = sleep(backoff.next_delay()) => {}
            changed = address.changed() => if changed.is_err() { return },
        }
    }
}

async fn next_interruption<E>(
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
