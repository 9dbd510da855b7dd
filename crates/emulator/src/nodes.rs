//! The node list's stand-in: tells each follower late, and may be stale or out of reach.

use crate::book::Book;
use crate::fleet::Fleet;
use futures_util::{SinkExt, StreamExt};
use havenplank::interface::{Nanos, PodState};
use havenplank_invariants::ledger::{state_name, Seen};
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

pub struct Nodes {
    book: Book,
    fleet: Rc<Fleet>,
    notice: Nanos,
    period: Nanos,
    pub away: Cell<bool>,
    pub stale: Cell<Nanos>,
    /// By sidecar the lives it was told of, so that one left out of a whole list is told gone.
    told: RefCell<HashMap<String, HashMap<String, u64>>>,
}

impl Nodes {
    pub fn new(book: Book, fleet: Rc<Fleet>, notice: Nanos, period: Nanos) -> Rc<Nodes> {
        let (away, stale, told) = (Cell::new(false), Cell::new(0), RefCell::default());
        Rc::new(Nodes {
            book,
            fleet,
            notice,
            period,
            away,
            stale,
            told,
        })
    }

    /// Serves on a listener, and later on its address, until dropped; while away, nothing listens there.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let Ok(address) = listener.local_addr() else {
            return;
        };
        let mut first = Some(listener);
        loop {
            while self.away.get() {
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
            let mut followers = JoinSet::new();
            while !self.away.get() {
                tokio::select! {
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        let nodes = self.clone();
                        followers.spawn_local(async move { nodes.follower(stream).await });
                    },
                    Some(_) = followers.join_next() => {}
                    () = sleep(Duration::from_millis(20)) => {}
                }
            }
        }
    }

    fn seen(&self) -> usize {
        self.fleet.until(
            self.book
                .now()
                .saturating_sub(self.notice + self.stale.get()),
        )
    }

    fn tell(&self, sidecar: &str, whole: bool, pods: &[ListedEndpoint]) {
        let mut all = self.told.borrow_mut();
        let told = all.entry(sidecar.to_string()).or_default();
        let write = |pod: &str, life, state| {
            let (sidecar, pod) = (sidecar.to_string(), pod.to_string());
            self.book.write(Seen::Told {
                sidecar,
                pod,
                life,
                state: state_name(state),
            });
        };
        if whole {
            let named = |pod: &String| pods.iter().any(|listed| listed.name == *pod);
            let dropped: Vec<(String, u64)> = told
                .iter()
                .filter(|(pod, _)| !named(pod))
                .map(|(pod, life)| (pod.clone(), *life))
                .collect();
            for (pod, life) in dropped {
                write(&pod, life, PodState::Gone);
                told.remove(&pod);
            }
        }
        for pod in pods {
            write(&pod.name, pod.incarnation, pod.state);
            if pod.state == PodState::Gone {
                told.remove(&pod.name);
            } else {
                told.insert(pod.name.clone(), pod.incarnation);
            }
        }
    }

    async fn follower(&self, stream: TcpStream) {
        struct Asks {
            name: Option<String>,
            whole: bool,
        }
        impl endpoint_list::Service for Asks {
            fn greeted(&mut self, name: String) {
                (self.name, self.whole) = (Some(name), true);
            }
            fn poll(&mut self) {
                self.whole = true;
            }
            fn watch(&mut self, on: bool) {
                self.whole |= on;
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
        let mut asks = Asks {
            name: None,
            whole: false,
        };
        let (mut at, mut seq) = (0, 0);
        loop {
            tokio::select! {
                said = framed.next() => match said {
                    Some(Ok(call)) => call(&mut asks),
                    _ => return,
                },
                () = sleep(Duration::from_nanos(self.period)) => {}
            }
            let Some(name) = asks.name.clone() else {
                continue;
            };
            // What it once told it does not take back, however stale it turns.
            let now = self.seen().max(at);
            let whole = std::mem::take(&mut asks.whole);
            if !whole && now == at {
                continue;
            }
            let pods = if whole {
                self.fleet.whole(now)
            } else {
                self.fleet.changes(at, now)
            };
            (at, seq) = (now, seq + 1);
            let mut out = String::new();
            endpoint_list::write_list(&mut out, seq, whole, &pods);
            self.tell(&name, whole, &pods);
            if framed.send(out).await.is_err() {
                return;
            }
        }
    }
}
