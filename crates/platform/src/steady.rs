//! A connection that is made again whenever it ends, and moved to another address without a gap.

use oorandom::Rand64;
use std::cell::RefCell;
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

/// Handed to a session, which says with it that the service speaks.
#[derive(Clone)]
pub struct Up {
    before: Rc<RefCell<Option<Task<String>>>>,
    spoke: Rc<RefCell<bool>>,
    linger: Duration,
}

impl Up {
    /// The service said something: the session at the earlier address is no longer needed.
    pub fn now(&self) {
        *self.spoke.borrow_mut() = true;
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
    let mut chance = Rand64::new(seed as u128);
    let mut wait = FIRST_WAIT;
    let up = Up { before: Rc::default(), spoke: Rc::default(), linger };
    loop {
        let address = *at.borrow_and_update();
        *up.spoke.borrow_mut() = false;
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
        if moved {
            tracing::info!(what, from = %address, to = %*at.borrow(), "address changed");
            if !now.0.is_finished() && *up.spoke.borrow() {
                *up.before.borrow_mut() = Some(now);
            }
            wait = FIRST_WAIT;
            continue;
        }
        wait = if *up.spoke.borrow() { FIRST_WAIT } else { (wait * 2).min(LONGEST_WAIT) };
        let scattered = wait.mul_f64(0.5 + 0.5 * chance.rand_float());
        tokio::select! {
            () = sleep(scattered) => {}
            changed = at.changed() => if changed.is_err() { return },
        }
    }
}
