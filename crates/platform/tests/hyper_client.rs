//! Why connections to pods do not use `hyper`'s client: it takes unread bytes for the response to the next request.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::io::{Read, Write};
use std::mem::MaybeUninit;

const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n";

#[test]
fn hyper_takes_a_duplicate_response_for_the_response_to_the_next_request() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let work = async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let mut pod = listener.accept().unwrap().0;
        let (peek_socket, mut received) = (stream.try_clone().unwrap(), [0; 512]);
        stream.set_nonblocking(true).unwrap();
        let stream = tokio::net::TcpStream::from_std(stream).unwrap();
        let (mut sender, connection) = http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream))
            .await
            .unwrap();
        tokio::task::spawn_local(connection);
        let get = || Request::get("/").body(Empty::<Bytes>::new()).unwrap();
        pod.write_all(&[OK, b"1a"].concat()).unwrap();
        let first = sender
            .send_request(get())
            .await
            .unwrap()
            .into_body()
            .collect()
            .await
            .unwrap();
        assert_eq!(&first.to_bytes()[..], b"1a");
        assert!(pod.read(&mut received).unwrap() > 0);
        sender.ready().await.unwrap();
        // The duplicate arrives before the next request is sent; a peek at the socket would show it.
        pod.write_all(&[OK, b"1a"].concat()).unwrap();
        let peek_socket = socket2::SockRef::from(&peek_socket);
        while peek_socket.peek(&mut [MaybeUninit::uninit()]).is_err() {
            std::thread::yield_now();
        }
        let second = sender.send_request(get()).await;
        let second = second
            .expect("hyper reports no error")
            .into_body()
            .collect()
            .await
            .unwrap();
        assert_eq!(&second.to_bytes()[..], b"1a");
    };
    runtime.block_on(tokio::task::LocalSet::new().run_until(work));
}
