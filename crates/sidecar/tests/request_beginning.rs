//! When a request on a kept connection begins: with its own first byte, whatever the requests before it sent.

mod common;

use common::{get, read_message, read_response, with_sidecar, OK};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

const HEAD: &[u8] = b"POST /write HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\n";

/// A body in a read of its own counted as the beginning of a further request, so a stop did not look for a request in
/// the socket, and closed the connection without an answer to it.
#[test]
fn a_request_in_the_socket_is_answered_at_a_stop_after_a_body_in_a_later_segment() {
    with_sidecar(8, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        let mut client = sidecar.connect().await;
        for part in [HEAD, b"bo", b"dy"] {
            client.write_all(part).await.expect("written");
            sleep(Duration::from_millis(20)).await;
        }
        let mut attempt = pod.accept().await;
        read_message(&mut attempt).await.expect("an attempt");
        attempt.write_all(OK).await.expect("answered");
        assert_eq!(read_response(&mut client).await.0, 200);
        // Written without a poll of the runtime: the sidecar learns of the stop first.
        let request = get("/read", "");
        assert_eq!(client.try_write(&request).expect("written"), request.len());
        sidecar.stop();
        assert_eq!(read_response(&mut client).await.0, 503, "not closed unread");
        sidecar.wait_for_end().await;
    });
}
