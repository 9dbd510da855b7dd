//! A connection that is made again whenever it ends, and moved to another address without a gap.

use havenplank_line_protocol::backoff::Backoff;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

const FIRST_WAIT: Duration = Duration::from_millis(40);
const LONGEST_WAIT: Duration = Duration::from_millis(800);

/// Ends its task when it is dropped.
pub struct Task<T>(pub JoinHandle<T>);

impl<T> Drop for Task<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Handed to one session, which says with it that the service speaks.
#[derive(Clone)]
pub struct Up {
    /// The session at the earlier address.
    before: Rc<RefCell<Option<Task<String>>>>,
    spoke: Rc<Cell<bool>>,
    linger: Duration,
}

impl Up {
    fn new(before: Option<Task<String>>, linger: Duration) -> Up {
        Up {
            before: Rc::new(RefCell::new(before)),
            spoke: Rc::default(),
            linger,
        }
    }

    /// The service said something: the session at the earlier address is no longer needed.
    pub fn now(&self) {
        self.spoke.set(true);
        if let Some(before) = self.before.borrow_mut().take() {
            let linger = self.linger;
            spawn_local(async move {
                sleep(linger).await;
                drop(before);
            });
        }
    }
}

/// Keeps one session up for as long as it is polled. A session ends with the reason why. Waits between tries
/// are scattered and grow, and start short again once the service spoke. When the address changes, the old
/// session goes on until the new one speaks and `linger` after that.
pub async fn keep<F: Future<Output = String> + 'static>(
    what: &'static str,
    mut at: watch::Receiver<SocketAddr>,
    seed: u64,
    linger: Duration,
    session: impl Fn(SocketAddr, Up) -> F,
) {
    let mut waits = Backoff::new(seed, FIRST_WAIT, LONGEST_WAIT);
    let mut before = None;
    loop {
        let address = *at.borrow_and_update();
        // One for each session: what the old one hears must not count as the new one's word.
        let up = Up::new(before.take(), linger);
        let mut now = Task(spawn_local(session(address, up.clone())));
        let moved = tokio::select! {
            ended = &mut now.0 => {
                let why = ended.unwrap_or_else(|error| error.to_string());
                tracing::warn!(what, %address, why, "connection ended");
                false
            }
            changed = at.changed() => {
                if changed.is_err() {
                    return;
                }
                true
            }
        };
        before = up.before.borrow_mut().take();
        if moved {
            tracing::info!(what, from = %address, to = %*at.borrow(), "address changed");
            if up.spoke.get() {
                before = Some(now);
            }
            waits.reset();
            continue;
        }
        if up.spoke.get() {
            waits.reset();
        }
        tokio::select! {
            () = sleep(waits.next_delay()) => {}
            changed = at.changed() => if changed.is_err() { return },
        }
    }
}
