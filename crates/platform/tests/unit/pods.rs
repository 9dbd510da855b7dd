//! Tests of `src/pods.rs`.

use super::*;

#[test]
fn a_place_that_comes_free_goes_to_who_waits_for_it() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let mut peers = Vec::new();
        for _ in 0..2 {
            peers.push(tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let [one, two] = [0, 1].map(|n| peers[n].local_addr().unwrap());
        let [connect_time, idle] = [5, 30].map(Duration::from_secs);
        let pods = Pods::new(
            config::Links { connect_time, idle },
            Vec::new(),
            1,
            64_000_000,
        );
        let connection = pods.take(one, false).await.ok().unwrap();
        let began = Instant::now();
        let (other, ()) = tokio::join!(pods.take(two, false), async {
            pods.give_back(one, connection)
        });
        assert!(other.is_ok() && began.elapsed() < connect_time);
        assert_eq!((pods.count(), pods.waiting.get()), ((1, 0), 0));
        // With nobody waiting it is kept.
        pods.give_back(two, other.ok().unwrap());
        assert_eq!(pods.count(), (1, 1));
    });
}
