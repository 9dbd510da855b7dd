//! What all tasks of one sidecar share, and what its engine asks of the world: the door, the pods, the line protocols.

use crate::configuration::Configuration;
use crate::dispatcher::{Dispatcher, Transport};
use crate::exactly_once::Final;
use crate::membership::Fellowship;
use crate::proxy::{self, Body, PreparedRequest};
use crate::responses;
use crate::routes::RouteTable;
use crate::takeover_service::Guard;
use crate::upstream::Links;
use havenplank::interface::*;
use havenplank_line_protocol::{control_plane, endpoint_list};
use havenplank_settings::Site;
use hyper::header::{HeaderName, HeaderValue};
use hyper::Response;
use std::cell::{Cell, OnceCell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The line protocols around the engine, and what all tasks of one sidecar share.
pub struct Lines {
    pub site: Site,
    /// The routes in force; swapped whole.
    pub routes: RefCell<Rc<RouteTable>>,
    /// What brings them while the process runs; unset where they are those of the settings.
    pub configuration: OnceCell<Rc<Configuration>>,
    pub links: Links,
    pub via: HeaderValue,
    pub timeout_header: HeaderName,
    /// `None` where no sidecar knows of another.
    pub fellowship: Option<Rc<Fellowship>>,
    /// `None` where no sidecar guards another's work.
    pub guard: Option<Rc<Guard>>,
    pub keep: Notify,
    pub nodes_asks: mpsc::Sender<String>,
    pub desk_asks: mpsc::Sender<String>,
    pub desk_up: Cell<bool>,
    pub stopping: Cell<bool>,
}

pub type Shell = Dispatcher<Lines>;

impl Transport for Lines {
    type Request = PreparedRequest;
    type Response = Response<Body>;

    fn send_attempt(
        hub: Rc<Shell>,
        ask: Rc<PreparedRequest>,
        nth: (RequestId, u32),
        pod: PodId,
        time_out: Nanos,
    ) -> impl Future<Output = ()> + 'static {
        proxy::forward(hub, ask, nth, pod, time_out)
    }

    fn rejected(&self, retry_after: Nanos) -> Response<Body> {
        let mut answer = proxy::rejected(retry_after);
        if self.guard.is_some() {
            answer.extensions_mut().insert(Final::Bounced);
        }
        answer
    }

    fn failed(&self, late: bool) -> Response<Body> {
        let mut answer = responses::failed(late);
        if self.guard.is_some() {
            answer.extensions_mut().insert(Final::Errored);
        }
        answer
    }

    /// Sends a vote and sees to it that it is answered: not sent is refused, no answer in time is unknown.
    fn cast_vote(hub: &Rc<Shell>, vote: u64, build: Build, stage: usize, voice: Vote) {
        let line = control_plane::vote_line(vote, build, stage, voice);
        let sent = hub.desk_up.get() && hub.desk_asks.try_send(line).is_ok();
        let (hub, wait) = (
            hub.clone(),
            Duration::from_nanos(hub.site.votes.call_timeout),
        );
        spawn_local(async move {
            if sent {
                sleep(wait).await;
            }
            let heard = if sent {
                VoteReceipt::Unknown
            } else {
                VoteReceipt::Rejected
            };
            hub.call(|engine, now| {
                engine.vote_answered(
                    now,
                    vote,
                    VoteReply {
                        receipt: heard,
                        stage: None,
                    },
                )
            });
        });
    }

    fn health_check(hub: &Rc<Shell>, probe: u64, pod: PodId) {
        let hub = hub.clone();
        spawn_local(async move {
            let end = proxy::probe(&hub, pod).await;
            hub.call(|engine, now| engine.health_check_ended(now, probe, end));
        });
    }

    fn poll_endpoints(hub: &Rc<Shell>) {
        ask_nodes(hub, endpoint_list::poll_line());
    }

    fn watch_endpoints(hub: &Rc<Shell>, on: bool) {
        ask_nodes(hub, endpoint_list::watch_line(on));
    }
}

fn ask_nodes(hub: &Rc<Shell>, line: String) {
    if hub.nodes_asks.try_send(line).is_err() {
        // In a task of its own, as the engine may be in the middle of what asked for it.
        let hub = hub.clone();
        spawn_local(async move { hub.call(|engine, now| engine.endpoint_watch_failed(now)) });
    }
}

impl Shell {
    /// Whether the door holds as many hits as it may, or stops. Clients that ask and leave at once count until
    /// their forwards have ended, else they could pile up forwards past the bound.
    pub fn is_full(&self) -> bool {
        let guarded = self.guard.as_ref().map_or(0, |guard| guard.hits());
        self.stopping.get() || self.engine().requests_held().max(guarded) >= self.site.door.hits
    }

    /// The routes in force now; whoever holds them goes on by them.
    pub fn routes(&self) -> Rc<RouteTable> {
        self.routes.borrow().clone()
    }

    pub fn pod_name(&self, pod: PodId) -> Option<HeaderValue> {
        HeaderValue::from_str(self.engine().pod_name(pod)?).ok()
    }
}
