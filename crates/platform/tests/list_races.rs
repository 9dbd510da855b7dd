//! Races of endpoint list updates with requests, reloads and silence, each reproduced by scripted peers on loopback.

mod common;

use common::{get, let_sidecar_run, parse_config, run_test, Rig, OK_CLOSE};
use havenplank_emulator::scripted::{
    chunk, configuration, entry, list, Connection, ScriptedServer, WATCH,
};
use havenplank_platform::Command;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const MS: Duration = Duration::from_millis(1);
/// The most pods of one list in service.
const MAX_PODS: usize = 3200;

/// Accepts the watch and makes it active by an update without entries to version `version`.
async fn open_watch(rig: &Rig, version: u64) -> Connection {
    let mut watch = rig.discovery.accept().await.unwrap();
    watch.message().await.unwrap();
    watch
        .send(WATCH.to_string() + &chunk(&list(version, false, &[])))
        .await
        .unwrap();
    let_sidecar_run(rig).await;
    watch
}

/// Asserts that a request now goes to this pod, which answers it.
async fn assert_request_reaches(rig: &Rig, pod: &ScriptedServer, id: &str) {
    let mut client = rig.client().await;
    client.send(get(id)).await.unwrap();
    let mut pod = pod
        .accept()
        .await
        .unwrap_or_else(|error| panic!("{id}: {error}"));
    pod.message().await.unwrap();
    // Closes the connection, so that the next request must connect again.
    pod.send(OK_CLOSE).await.unwrap();
    assert_eq!(client.answer().await.unwrap().0, 200, "{id}");
}

#[test]
fn an_indented_update_is_one_message_in_whatever_pieces_it_arrives() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let mut watch = open_watch(&rig, 4).await;
        let other = ScriptedServer::new().await.unwrap();
        let moved = entry("p", other.address().unwrap(), 7, "active");
        let update = json!({"seq": 5, "whole": false, "hosts": [moved]});
        let update = format!("\t {}\n\n", serde_json::to_string_pretty(&update).unwrap());
        assert!(update.matches('\n').count() > 10);
        for byte in update.chars() {
            watch.send(chunk(&byte.to_string())).await.unwrap();
        }
        // Once a message after the update is processed, so is the update.
        watch.send(chunk("\n")).await.unwrap();
        let_sidecar_run(&rig).await;
        assert_request_reaches(&rig, &other, "i1").await;
        // Two updates on one line are both applied and the watch stays open.
        let back = entry("p", rig.pod.address().unwrap(), 7, "active");
        let updates = list(6, false, &[]).trim().to_string() + &list(7, false, &[back]);
        watch.send(chunk(&updates)).await.unwrap();
        let_sidecar_run(&rig).await;
        assert_request_reaches(&rig, &rig.pod, "i2").await;
        assert!(
            rig.discovery.has_no_pending_connection().await,
            "no new watch was needed"
        );
    });
}

/// A list that is longer than the sidecar reads at a time, and over 1 MiB by its indentation, was never read: each watch
/// ended before its first message, and the sidecar went on sending to pods that drained.
#[test]
fn a_long_indented_list_of_many_pods_is_applied() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let mut watch = open_watch(&rig, 4).await;
        let unused = ScriptedServer::new().await.unwrap().address().unwrap();
        let draining = |n: usize| entry(&format!("{n:0>200}"), unused, 7, "leaving");
        let mut hosts: Vec<Value> = (0..MAX_PODS - 1).map(draining).collect();
        let other = ScriptedServer::new().await.unwrap();
        hosts.push(entry("other", other.address().unwrap(), 7, "active"));
        let update = json!({"seq": 5, "whole": true, "hosts": hosts});
        let update = serde_json::to_string_pretty(&update).unwrap();
        let update = update.replace('\n', "\n        ") + "\n";
        assert!(update.len() > 1 << 20, "{}", update.len());
        watch.send(chunk(&update)).await.unwrap();
        watch.send(chunk("\n")).await.unwrap();
        let_sidecar_run(&rig).await;
        assert_request_reaches(&rig, &other, "i1").await;
        assert!(
            rig.discovery.has_no_pending_connection().await,
            "no new watch was needed"
        );
    });
}

/// The worst case of the 6 s within which a silent watch must be replaced: the watch falls silent right after its last
/// message, except for an incomplete one that arrives byte by byte, and the next watch is silent, too.
#[test]
fn a_silent_watch_is_replaced_within_six_seconds() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let mut old = open_watch(&rig, 4).await;
        let silent = Instant::now();
        let next = async {
            let mut next = rig.discovery.accept().await.unwrap();
            next.message().await.unwrap();
            // This watch gets no response; the one after it does.
            let mut last = rig.discovery.accept().await.unwrap();
            assert!(last.message().await.unwrap().0.contains("since=4 "));
            drop(next);
            last
        };
        let send_slowly = async {
            // White space and the start of an object are not a message, however often they arrive.
            old.send(chunk("{")).await.unwrap();
            loop {
                sleep(200 * MS).await;
                if old.send(chunk(" ")).await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        let mut last = tokio::select! { last = next => last, () = send_slowly => unreachable!() };
        let other = ScriptedServer::new().await.unwrap();
        let moved = entry("p", other.address().unwrap(), 7, "active");
        last.send(WATCH.to_string() + &chunk(&list(5, false, &[moved])))
            .await
            .unwrap();
        let_sidecar_run(&rig).await;
        assert!(
            silent.elapsed() < Duration::from_secs(6),
            "{:?}",
            silent.elapsed()
        );
        assert_request_reaches(&rig, &other, "i1").await;
    });
}

/// A watch that is only late is kept while the candidate opened next to it delivers nothing.
#[test]
fn an_overdue_watch_stays_active_until_its_candidate_delivers_a_message() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let mut old = open_watch(&rig, 4).await;
        let mut next = rig.discovery.accept().await.unwrap();
        next.message().await.unwrap();
        let other = ScriptedServer::new().await.unwrap();
        let moved = entry("p", other.address().unwrap(), 7, "active");
        old.send(chunk(&list(6, false, &[moved]))).await.unwrap();
        let_sidecar_run(&rig).await;
        assert_request_reaches(&rig, &other, "i1").await;
        // The candidate delivers older changes: they are ignored, and it becomes the active watch.
        let back = entry("p", rig.pod.address().unwrap(), 7, "active");
        next.send(WATCH.to_string() + &chunk(&list(5, false, std::slice::from_ref(&back))))
            .await
            .unwrap();
        assert!(old.closes_in_time().await);
        assert_request_reaches(&rig, &other, "i2").await;
        next.send(chunk(&list(7, false, &[back]))).await.unwrap();
        let_sidecar_run(&rig).await;
        assert_request_reaches(&rig, &rig.pod, "i3").await;
    });
}

/// Reload while a watch is active: once the new watch delivers a message, the previous one is ignored, and a complete
/// list may return to an earlier version.
#[test]
fn after_a_reload_the_previous_watch_is_ignored_and_a_complete_list_may_return_to_an_earlier_version(
) {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let mut old = open_watch(&rig, 8).await;
        let (discovery, control_plane) = (
            ScriptedServer::new().await.unwrap(),
            ScriptedServer::new().await.unwrap(),
        );
        let here = entry("p", rig.pod.address().unwrap(), 7, "active");
        let config = configuration(
            discovery.address().unwrap(),
            control_plane.address().unwrap(),
            std::slice::from_ref(&here),
        );
        // Twice: the candidate of the second reload replaces that of the first, which has not delivered a message.
        for _ in 0..2 {
            rig.commands
                .send(Command::Reload(Box::new(parse_config(&config))))
                .await
                .ok()
                .unwrap();
        }
        let mut new = discovery.accept().await.unwrap();
        assert!(new.message().await.unwrap().0.contains("since=8 "));
        let [one, two] =
            [ScriptedServer::new().await, ScriptedServer::new().await].map(Result::unwrap);
        let entry_at = |peer: &ScriptedServer| entry("p", peer.address().unwrap(), 7, "active");
        // The new watch becomes active, and the old one delivers a message after that.
        new.send(WATCH.to_string() + &chunk(&list(3, true, &[entry_at(&one)])))
            .await
            .unwrap();
        let_sidecar_run(&rig).await;
        let late = old.send(chunk(&list(9, false, &[entry_at(&two)]))).await;
        let_sidecar_run(&rig).await;
        assert_request_reaches(&rig, &one, "i1").await;
        assert!(late.is_err() || old.closes_in_time().await);
        // Its next changes apply to the earlier version that it returned to.
        new.send(chunk(&list(4, false, &[entry_at(&two)])))
            .await
            .unwrap();
        let_sidecar_run(&rig).await;
        assert_request_reaches(&rig, &two, "i2").await;
        // A reload, then a stop immediately after it.
        rig.commands
            .try_send(Command::Reload(Box::new(parse_config(&config))))
            .ok()
            .unwrap();
        rig.commands.try_send(Command::Stop).ok().unwrap();
        rig.ended.await.unwrap();
    });
}

/// While the new address is unreachable the watch at the previous address continues, and connecting is retried.
#[test]
fn a_reload_to_an_unreachable_address_is_retried_while_the_previous_watch_is_active() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let mut old = open_watch(&rig, 4).await;
        // The port is bound so that no other test gets it, but not listened on: connections are refused.
        let closed = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        closed
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        let address = closed.local_addr().unwrap().as_socket().unwrap();
        let control_plane = ScriptedServer::new().await.unwrap();
        let config = configuration(address, control_plane.address().unwrap(), &[]);
        rig.commands
            .send(Command::Reload(Box::new(parse_config(&config))))
            .await
            .ok()
            .unwrap();
        sleep(100 * MS).await;
        let other = ScriptedServer::new().await.unwrap();
        let moved = entry("p", other.address().unwrap(), 7, "active");
        old.send(chunk(&list(5, false, &[moved]))).await.unwrap();
        let_sidecar_run(&rig).await;
        assert_request_reaches(&rig, &other, "i1").await;
        closed.listen(1).unwrap();
        closed.set_nonblocking(true).unwrap();
        let opened = tokio::net::TcpListener::from_std(closed.into()).unwrap();
        tokio::time::timeout(Duration::from_secs(2), opened.accept())
            .await
            .expect("the new address is tried again")
            .unwrap();
    });
}
