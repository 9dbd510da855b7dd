//! Crossings of the list with requests, reloads and silence, each held open by scripted peers on loopback.

mod common;

use common::{config, get, test, turns, Rig, OK_CLOSE};
use havenplank_emulator::scripted::{chunk, configuration, entry, list, Peer, Talk, WATCH};
use havenplank_platform::Command;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const MS: Duration = Duration::from_millis(1);

/// A watch that is in force, its first message received.
async fn watching(rig: &Rig, seq: u64) -> Talk {
    let mut watch = rig.discovery.accept().await.unwrap();
    watch.message().await.unwrap();
    watch
        .say(WATCH.to_string() + &chunk(&list(seq, false, &[])))
        .await
        .unwrap();
    turns(rig).await;
    watch
}

/// Whether a request goes to that pod now, which answers it.
async fn reaches(rig: &Rig, pod: &Peer, id: &str) {
    let mut client = rig.client().await;
    client.say(get(id)).await.unwrap();
    let mut pod = pod
        .accept()
        .await
        .unwrap_or_else(|error| panic!("{id}: {error}"));
    pod.message().await.unwrap();
    // Not kept, so that the next one shows where it goes.
    pod.say(OK_CLOSE).await.unwrap();
    assert_eq!(client.answer().await.unwrap().0, 200, "{id}");
}

#[test]
fn an_indented_list_is_one_message_wherever_it_is_cut() {
    test(async {
        let rig = Rig::new(|_| {}).await;
        let mut watch = watching(&rig, 4).await;
        let other = Peer::new().await.unwrap();
        let moved = entry("p", other.at().unwrap(), 7, "active");
        let update = json!({"seq": 5, "whole": false, "hosts": [moved]});
        let update = format!("\t {}\n\n", serde_json::to_string_pretty(&update).unwrap());
        assert!(update.matches('\n').count() > 10);
        for byte in update.chars() {
            watch.say(chunk(&byte.to_string())).await.unwrap();
        }
        // Taken in by the time that a message after it is.
        watch.say(chunk("\n")).await.unwrap();
        turns(&rig).await;
        reaches(&rig, &other, "i1").await;
        // Two on one line, and the watch still stands.
        let back = entry("p", rig.pod.at().unwrap(), 7, "active");
        let updates = list(6, false, &[]).trim().to_string() + &list(7, false, &[back]);
        watch.say(chunk(&updates)).await.unwrap();
        turns(&rig).await;
        reaches(&rig, &rig.pod, "i2").await;
        assert!(rig.discovery.is_alone().await, "no new watch was needed");
    });
}

/// The silent watch's 6 s, in the worst way: silent right after its last word, but for half a word that dribbles,
/// and the next watch silent, too.
#[test]
fn a_silent_watch_is_replaced_within_its_six_seconds() {
    test(async {
        let rig = Rig::new(|_| {}).await;
        let mut old = watching(&rig, 4).await;
        let silent = Instant::now();
        let next = async {
            let mut next = rig.discovery.accept().await.unwrap();
            next.message().await.unwrap();
            // Answers nothing. The one after it does.
            let mut last = rig.discovery.accept().await.unwrap();
            assert!(last.message().await.unwrap().0.contains("since=4 "));
            drop(next);
            last
        };
        let dribble = async {
            // Stray white space and the start of an object are no word, however often they come.
            old.say(chunk("{")).await.unwrap();
            loop {
                sleep(200 * MS).await;
                if old.say(chunk(" ")).await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        let mut last = tokio::select! { last = next => last, () = dribble => unreachable!() };
        let other = Peer::new().await.unwrap();
        let moved = entry("p", other.at().unwrap(), 7, "active");
        last.say(WATCH.to_string() + &chunk(&list(5, false, &[moved])))
            .await
            .unwrap();
        turns(&rig).await;
        assert!(
            silent.elapsed() < Duration::from_secs(6),
            "{:?}",
            silent.elapsed()
        );
        reaches(&rig, &other, "i1").await;
    });
}

/// A watch that is only late is not given up while the one that was opened in doubt says nothing.
#[test]
fn a_late_watch_stays_active_beside_its_candidate() {
    test(async {
        let rig = Rig::new(|_| {}).await;
        let mut old = watching(&rig, 4).await;
        let mut next = rig.discovery.accept().await.unwrap();
        next.message().await.unwrap();
        let other = Peer::new().await.unwrap();
        let moved = entry("p", other.at().unwrap(), 7, "active");
        old.say(chunk(&list(6, false, &[moved]))).await.unwrap();
        turns(&rig).await;
        reaches(&rig, &other, "i1").await;
        // The second speaks of what lies before that: it sets nothing back, and is in force from then on.
        let back = entry("p", rig.pod.at().unwrap(), 7, "active");
        next.say(WATCH.to_string() + &chunk(&list(5, false, std::slice::from_ref(&back))))
            .await
            .unwrap();
        assert!(old.ends().await);
        reaches(&rig, &other, "i2").await;
        next.say(chunk(&list(7, false, &[back]))).await.unwrap();
        turns(&rig).await;
        reaches(&rig, &rig.pod, "i3").await;
    });
}

/// SIGHUP against two list sessions: only the one in force is heard, and a whole list may go back.
#[test]
fn after_a_reload_the_former_watch_is_ignored_and_a_complete_list_may_go_back() {
    test(async {
        let rig = Rig::new(|_| {}).await;
        let mut old = watching(&rig, 8).await;
        let (discovery, control_plane) = (Peer::new().await.unwrap(), Peer::new().await.unwrap());
        let here = entry("p", rig.pod.at().unwrap(), 7, "active");
        let whole = configuration(
            discovery.at().unwrap(),
            control_plane.at().unwrap(),
            std::slice::from_ref(&here),
        );
        // Twice: the second takes the place of the first, which has not spoken.
        for _ in 0..2 {
            rig.commands
                .send(Command::Reload(Box::new(config(&whole))))
                .await
                .ok()
                .unwrap();
        }
        let mut new = discovery.accept().await.unwrap();
        assert!(new.message().await.unwrap().0.contains("since=8 "));
        let [one, two] = [Peer::new().await, Peer::new().await].map(Result::unwrap);
        let at = |peer: &Peer| entry("p", peer.at().unwrap(), 7, "active");
        // The new one's word is in force, and the old one speaks after it.
        new.say(WATCH.to_string() + &chunk(&list(3, true, &[at(&one)])))
            .await
            .unwrap();
        turns(&rig).await;
        let late = old.say(chunk(&list(9, false, &[at(&two)]))).await;
        turns(&rig).await;
        reaches(&rig, &one, "i1").await;
        assert!(late.is_err() || old.ends().await);
        // Its next changes count from where it went back to.
        new.say(chunk(&list(4, false, &[at(&two)]))).await.unwrap();
        turns(&rig).await;
        reaches(&rig, &two, "i2").await;
        // SIGHUP, then SIGTERM at once.
        rig.commands
            .try_send(Command::Reload(Box::new(config(&whole))))
            .ok()
            .unwrap();
        rig.commands.try_send(Command::Stop).ok().unwrap();
        rig.ended.await.unwrap();
    });
}

/// A list session at the old address that speaks on while the new one is out of reach: the new one is tried on.
#[test]
fn a_reload_to_an_address_out_of_reach_is_retried_while_the_former_watch_is_active() {
    test(async {
        let rig = Rig::new(|_| {}).await;
        let mut old = watching(&rig, 4).await;
        // Held, so that no other test is given it, and not listened on: connects are refused.
        let closed = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        closed
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        let at = closed.local_addr().unwrap().as_socket().unwrap();
        let control_plane = Peer::new().await.unwrap();
        let whole = configuration(at, control_plane.at().unwrap(), &[]);
        rig.commands
            .send(Command::Reload(Box::new(config(&whole))))
            .await
            .ok()
            .unwrap();
        sleep(100 * MS).await;
        let other = Peer::new().await.unwrap();
        let moved = entry("p", other.at().unwrap(), 7, "active");
        old.say(chunk(&list(5, false, &[moved]))).await.unwrap();
        turns(&rig).await;
        reaches(&rig, &other, "i1").await;
        closed.listen(1).unwrap();
        closed.set_nonblocking(true).unwrap();
        let opened = tokio::net::TcpListener::from_std(closed.into()).unwrap();
        tokio::time::timeout(Duration::from_secs(2), opened.accept())
            .await
            .expect("tried again")
            .unwrap();
    });
}
