//! The emulated discovery service: sends endpoint lists with a delay, and may be stale or unavailable.

use crate::fleet::Fleet;
use crate::ledger_writer::LedgerWriter;
use futures_util::{SinkExt, StreamExt};
use havenplank::interface::{Nanos, PodState};
use havenplank_invariants::ledger::{state_name, LedgerEvent};
use havenplank_line_protocol::codec::{greeting, LineCodec};
use havenplank_line_protocol::endpoint_list::{self, ListedEndpoint};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::codec::Framed;

/// The emulated discovery service.
pub struct EndpointListService {
    ledger: LedgerWriter,
    fleet: Rc<Fleet>,
    /// How long after a change of the fleet sidecars are notified, in nanoseconds.
    delay: Nanos,
    /// How often a connection looks for changes, in nanoseconds.
    interval: Nanos,
    /// Whether the service is unavailable: nothing listens at its address.
    pub is_unavailable: Cell<bool>,
    /// Further delay of changes while the list is stale, in nanoseconds.
    pub extra_delay: Cell<Nanos>,
    /// By sidecar, the announced incarnation of each pod; a pod that a complete list leaves out is recorded as gone.
    announced: RefCell<HashMap<String, HashMap<String, u64>>>,
}

impl EndpointListService {
    /// A service that announces the changes of this fleet; `delay` and `interval` are in nanoseconds.
    pub fn new(
        ledger: LedgerWriter,
        fleet: Rc<Fleet>,
        delay: Nanos,
        interval: Nanos,
    ) -> Rc<EndpointListService> {
        let (is_unavailable, extra_delay, announced) =
            (Cell::new(false), Cell::new(0), RefCell::default());
        Rc::new(EndpointListService {
            ledger,
            fleet,
            delay,
            interval,
            is_unavailable,
            extra_delay,
            announced,
        })
    }

    /// Serves until dropped: first on the listener, and after each time of being unavailable on a new one at its
    /// address.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let Ok(address) = listener.local_addr() else {
            return;
        };
        let mut first = Some(listener);
        loop {
            while self.is_unavailable.get() {
                first = None;
                sleep(Duration::from_millis(20)).await;
            }
            let listener = match first.take() {
                Some(listener) => Ok(listener),
                None => TcpListener::bind(address).await,
            };
            let Ok(listener) = listener else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let mut connections = JoinSet::new();
            while !self.is_unavailable.get() {
                tokio::select! {
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        let service = self.clone();
                        connections.spawn_local(async move { service.serve_sidecar(stream).await });
                    },
                    Some(_) = connections.join_next() => {}
                    () = sleep(Duration::from_millis(20)) => {}
                }
            }
        }
    }

    /// Number of the fleet's changes that are old enough to be announced.
    fn visible_changes(&self) -> usize {
        self.fleet.change_count_at(
            self.ledger
                .now()
                .saturating_sub(self.delay + self.extra_delay.get()),
        )
    }

    /// Records in the ledger that a list was sent to a sidecar.
    fn record_announcements(&self, sidecar: &str, complete: bool, pods: &[ListedEndpoint]) {
        let mut all = self.announced.borrow_mut();
        let announced = all.entry(sidecar.to_string()).or_default();
        let write = |pod: &str, incarnation, state| {
            let (sidecar, pod) = (sidecar.to_string(), pod.to_string());
            self.ledger.write(LedgerEvent::EndpointAnnounced {
                sidecar,
                pod,
                incarnation,
                state: state_name(state),
            });
        };
        if complete {
            let named = |pod: &String| pods.iter().any(|listed| listed.name == *pod);
            let dropped: Vec<(String, u64)> = announced
                .iter()
                .filter(|(pod, _)| !named(pod))
                .map(|(pod, incarnation)| (pod.clone(), *incarnation))
                .collect();
            for (pod, incarnation) in dropped {
                write(&pod, incarnation, PodState::Gone);
                announced.remove(&pod);
            }
        }
        for pod in pods {
            write(&pod.name, pod.incarnation, pod.state);
            if pod.state == PodState::Gone {
                announced.remove(&pod.name);
            } else {
                announced.insert(pod.name.clone(), pod.incarnation);
            }
        }
    }

    /// Serves one sidecar until it disconnects.
    async fn serve_sidecar(&self, stream: TcpStream) {
        struct Inbox {
            name: Option<String>,
            wants_complete_list: bool,
        }
        impl endpoint_list::Service for Inbox {
            fn greeted(&mut self, name: String) {
                (self.name, self.wants_complete_list) = (Some(name), true);
            }
            fn poll(&mut self) {
                self.wants_complete_list = true;
            }
            fn watch(&mut self, on: bool) {
                self.wants_complete_list |= on;
            }
        }
        let _ = stream.set_nodelay(true);
        let mut framed = Framed::new(
            stream,
            LineCodec::new(endpoint_list::RequestParser::default(), 1024),
        );
        if framed
            .send(greeting(endpoint_list::PROTOCOL, None))
            .await
            .is_err()
        {
            return;
        }
        let mut inbox = Inbox {
            name: None,
            wants_complete_list: false,
        };
        let (mut announced, mut seq) = (0, 0);
        loop {
            tokio::select! {
                received = framed.next() => match received {
                    Some(Ok(call)) => call(&mut inbox),
                    _ => return,
                },
                () = sleep(Duration::from_nanos(self.interval)) => {}
            }
            let Some(name) = inbox.name.clone() else {
                continue;
            };
            // Changes that were announced stay announced, also when the list becomes stale afterwards.
            let now = self.visible_changes().max(announced);
            let complete = std::mem::take(&mut inbox.wants_complete_list);
            if !complete && now == announced {
                continue;
            }
            let pods = if complete {
                self.fleet.complete_list(now)
            } else {
                self.fleet.changes_between(announced, now)
            };
            (announced, seq) = (now, seq + 1);
            let mut out = String::new();
            endpoint_list::write_list(&mut out, seq, complete, &pods);
            self.record_announcements(&name, complete, &pods);
            if framed.send(out).await.is_err() {
                return;
            }
        }
    }
}
