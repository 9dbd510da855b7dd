//! Tests of `src/pod_pool.rs`.

use super::*;
use tokio::net::TcpListener;

async fn peer() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

#[test]
fn a_released_permit_goes_to_a_waiting_attempt() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let (_one, first_address) = peer().await;
        let (_two, second_address) = peer().await;
        let settings = PodConnectionSettings {
            connect_timeout: Duration::from_secs(5),
            idle_limit: Duration::from_secs(30),
        };
        let pool = PodPool::new(settings, 1);
        let first = pool
            .acquire(first_address, ConnectionSource::IdleOrNew)
            .await;
        let first = first.ok().unwrap();
        let began = Instant::now();
        let (second, ()) = tokio::join!(
            pool.acquire(second_address, ConnectionSource::IdleOrNew),
            async { pool.release(first_address, first) }
        );
        assert!(second.is_ok() && began.elapsed() < settings.connect_timeout);
        assert_eq!(pool.counts(), ConnectionCounts { open: 1, idle: 0 });
        assert_eq!(pool.waiting.get(), 0);
        // While no attempt waits, the released connection is kept.
        pool.release(second_address, second.ok().unwrap());
        assert_eq!(pool.counts(), ConnectionCounts { open: 1, idle: 1 });
    });
}
