//! The server and client over loopback: bad input is bounded and answered.

use jasperhill_http::{
    Client, ClientError, ClientLimits, Method, Request, Response, ServerLimits, serve,
};
use std::{future::Future, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{LocalSet, spawn_local},
};

fn with_server<F: Future<Output = ()>>(limits: ServerLimits, test: impl FnOnce(SocketAddr) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(serve(listener, limits, |request: Request| async move {
            Response::new(
                200,
                format!("{} {}", request.target, request.body.len()).into_bytes(),
            )
        }));
        test(address).await;
    });
}

async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let mut out = Vec::new();
    let _ = stream.read_to_end(&mut out).await;
    String::from_utf8_lossy(&out).into_owned()
}

#[test]
fn requests_are_answered_and_connections_kept() {
    with_server(ServerLimits::default(), |address| async move {
        let client = Client::new(ClientLimits::default());
        for n in 0..3 {
            let request = Request::new(Method::Post, format!("/x/{n}"), vec![b'a'; 1_000 * n]);
            let answer = client
                .call(address, &request, Duration::from_secs(5))
                .await
                .unwrap();
            assert_eq!(answer.status, 200);
            assert_eq!(answer.body, format!("/x/{n} {}", 1_000 * n).into_bytes());
        }
    });
}

#[test]
fn a_body_that_is_too_long_gets_400_without_being_read() {
    with_server(ServerLimits::default(), |address| async move {
        let mut bytes = b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n".to_vec();
        bytes.resize(bytes.len() + 100_000, b'x');
        let answer = raw(address, &bytes).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
        assert!(answer.contains("Connection: close"));
        let mut chunked = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for _ in 0..20 {
            chunked.extend_from_slice(b"1000\r\n");
            chunked.resize(chunked.len() + 0x1000, b'y');
            chunked.extend_from_slice(b"\r\n");
        }
        assert!(raw(address, &chunked).await.starts_with("HTTP/1.1 400 "));
    });
}

#[test]
fn chunked_bodies_are_read_and_bad_heads_refused() {
    with_server(ServerLimits::default(), |address| async move {
        let good = b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n\
            3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        assert!(raw(address, good).await.ends_with("/c 5"));
        assert!(
            raw(address, b"no http at all\r\n\r\n")
                .await
                .starts_with("HTTP/1.1 400 ")
        );
        let mut endless = b"GET / HTTP/1.1\r\nX: ".to_vec();
        endless.resize(20_000, b'a');
        assert!(raw(address, &endless).await.starts_with("HTTP/1.1 431 "));
    });
}

#[test]
fn slow_senders_and_floods_of_connections_are_bounded() {
    let limits = ServerLimits {
        connections: 2,
        request: Duration::from_millis(100),
        ..ServerLimits::default()
    };
    with_server(limits, |address| async move {
        let answer = raw(address, b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab").await;
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
        let held: Vec<TcpStream> = vec![
            TcpStream::connect(address).await.unwrap(),
            TcpStream::connect(address).await.unwrap(),
        ];
        let mut third = TcpStream::connect(address).await.unwrap();
        // Closed at once, without an answer.
        assert_eq!(third.read(&mut [0; 8]).await.unwrap_or(0), 0);
        drop(held);
    });
}

#[test]
fn the_client_tells_what_was_not_sent_from_what_may_have_been() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let client = Client::new(ClientLimits::default());
        let request = Request::new(Method::Get, "/", Vec::new());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        // Accepted by the system, answered by nobody.
        let silent = client
            .call(address, &request, Duration::from_millis(100))
            .await;
        assert_eq!(silent.unwrap_err(), ClientError::NoAnswer);
        drop(listener);
        let refused = client
            .call(address, &request, Duration::from_millis(500))
            .await;
        assert_eq!(refused.unwrap_err(), ClientError::NotSent);
    });
}
