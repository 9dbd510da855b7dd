//! Subscribes to service discovery and passes its notifications to the engine.

use crate::shell::Shell;
use havenplank_line_protocol::client::{subscribe, Handler, Service};
use havenplank_line_protocol::endpoint_list::{
    ListedEndpoint, Notification, NotificationParser, Subscriber, PROTOCOL,
};
use havenplank_line_protocol::ProtocolError;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Subscribes to service discovery and sends it the lines from `lines`. Never returns.
pub async fn run(shell: Rc<Shell>, seed: u64, lines: mpsc::Receiver<String>) {
    let settings = &shell.site.discovery;
    let service = Service {
        protocol: PROTOCOL,
        address: settings.address,
        max_line_bytes: settings.max_line_bytes,
    };
    let mut subscription = Subscription(shell.clone());
    let name = &shell.site.name;
    subscribe::<NotificationParser>(service, name, seed, lines, &mut subscription).await;
}

struct Subscription(Rc<Shell>);

impl Subscription {
    fn watch_failed(&self) {
        self.0.call(|engine, now| engine.endpoint_watch_failed(now));
    }
}

impl Handler<Notification> for Subscription {
    fn connected(&mut self) {
        tracing::info!("service discovery connected");
    }

    fn received(&mut self, notification: Notification) {
        notification(self);
    }

    /// The last endpoint list stays in force.
    fn disconnected(&mut self, reason: &ProtocolError) {
        tracing::warn!(reason = %reason, "service discovery disconnected");
        self.watch_failed();
    }

    fn unsent(&mut self, _line: String) {
        self.watch_failed();
    }
}

impl Subscriber for Subscription {
    fn update_endpoints(&mut self, complete: bool, pods: Vec<ListedEndpoint>) {
        tracing::debug!(complete, pods = pods.len(), "endpoint list received");
        self.0
            .call(|engine, now| engine.update_endpoints(now, complete, pods));
        self.0.endpoints_changed.notify_one();
    }

    fn poll_failed(&mut self, reason: &str) {
        tracing::warn!(reason, "service discovery could not send the endpoint list");
        self.watch_failed();
    }
}
