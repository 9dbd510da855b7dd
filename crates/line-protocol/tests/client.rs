//! Checks that a client reconnects after the connection of a subscription fails.

mod common;

use common::Recorder;
use havenplank_line_protocol::client::{subscribe, Handler, Service};
use havenplank_line_protocol::endpoint_list::{
    watch_line, Notification, NotificationParser, PROTOCOL,
};
use havenplank_line_protocol::ProtocolError;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

#[derive(Default)]
struct Events {
    received: Recorder,
    log: Vec<String>,
}

impl Handler<Notification> for Events {
    fn connected(&mut self) {
        self.log.push("connected".to_string());
    }
    fn received(&mut self, notification: Notification) {
        notification(&mut self.received);
        self.log.push("received".to_string());
    }
    fn disconnected(&mut self, reason: &ProtocolError) {
        self.log.push(reason.to_string());
    }
    fn unsent(&mut self, line: String) {
        self.log.push(format!("unsent {line}"));
    }
}

/// Accepts three connections and sends one text on each. On the last, lets the client send a watch request and then
/// closes the request channel, which ends the client.
async fn serve(listener: TcpListener, requests: mpsc::Sender<String>) {
    let mut requests = Some(requests);
    let texts = [
        "whole 1 1\nnonsense\n",
        "whole 1 0\nchanges 3 0\n",
        "whole 1 0\n",
    ];
    for (n, text) in texts.iter().enumerate() {
        let (stream, _) = listener.accept().await.expect("accept the client");
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        stream
            .read_line(&mut line)
            .await
            .expect("read the greeting");
        assert_eq!(line, "hello nodes 1 s-1\n");
        let answer = format!("hello nodes 1\n{text}");
        stream
            .write_all(answer.as_bytes())
            .await
            .expect("send the answer");
        line.clear();
        if n == 2 {
            let requests = requests.take().expect("the sender is taken once");
            requests
                .send(watch_line(true))
                .await
                .expect("queue the request");
            stream.read_line(&mut line).await.expect("read the request");
            assert_eq!(line, "watch on\n");
        }
        let bytes_read = stream.read_line(&mut line).await.unwrap_or(0);
        assert_eq!(bytes_read, 0, "expected the client to close the connection");
    }
}

#[tokio::test]
async fn reconnects_after_a_malformed_line_and_after_a_lost_message() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let service = Service {
        protocol: PROTOCOL,
        address: listener.local_addr().expect("the bound address"),
        max_line_bytes: 256,
    };
    let (sender, requests) = mpsc::channel(4);
    let mut events = Events::default();
    tokio::join!(
        serve(listener, sender),
        subscribe::<NotificationParser>(service, "s-1", 1, requests, &mut events)
    );
    let log = events.log.join("; ");
    assert!(log.starts_with("connected; line 3: column 1"), "{log}");
    let out_of_sequence = "connected; received; line 3: number 3, expected 2";
    assert!(log.contains(out_of_sequence), "{log}");
    assert!(log.ends_with("connected; received"), "{log}");
    assert_eq!(events.received.0.len(), 2, "{log}");
}
