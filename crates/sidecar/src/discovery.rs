//! What service discovery says on its line protocol, handed to the engine.

use crate::shell::Shell;
use havenplank_line_protocol::follow::{follow, Link};
use havenplank_line_protocol::nodes::{self, Listed};
use havenplank_line_protocol::FeedError;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Follows service discovery, sending it the lines that come; never ends.
pub async fn run(shell: Rc<Shell>, seed: u64, lines: mpsc::Receiver<String>) {
    let (server, name) = (&shell.site.nodes, &shell.site.name);
    let feed = (nodes::FEED, server.address, server.line_bytes);
    let mut link = DiscoveryLink(shell.clone());
    follow::<nodes::Telling>(feed, name, seed, lines, &mut link).await;
}

struct DiscoveryLink(Rc<Shell>);

impl DiscoveryLink {
    fn watch_failed(&self) {
        self.0.call(|engine, now| engine.endpoint_watch_failed(now));
    }
}

impl Link<nodes::Call> for DiscoveryLink {
    fn up(&mut self) {
        tracing::info!("node list connected");
    }

    fn said(&mut self, call: nodes::Call) {
        call(self);
    }

    /// The last list stays in force.
    fn down(&mut self, why: &FeedError) {
        tracing::warn!(%why, "node list lost");
        self.watch_failed();
    }

    fn unsent(&mut self, _line: String) {
        self.watch_failed();
    }
}

impl nodes::Hears for DiscoveryLink {
    fn list(&mut self, complete: bool, pods: Vec<Listed>) {
        tracing::debug!(complete, pods = pods.len(), "node list");
        self.0
            .call(|engine, now| engine.update_endpoints(now, complete, pods));
        self.0.endpoints_changed.notify_one();
    }

    fn failed(&mut self, why: &str) {
        tracing::warn!(why, "node list failed");
        self.watch_failed();
    }
}
