//! The server and client over loopback: bad input is bounded and answered.

use jasperhill_connections::{Class, PlanInputs};
use jasperhill_http::{
    Client, ClientError, ClientLimits, ConnectionTracker, Endpoint, Method, Request, Response,
    ServerLimits, serve,
};
use std::{future::Future, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{LocalSet, spawn_local},
};

fn connection_tracker(max_connections: usize) -> ConnectionTracker {
    let inputs = PlanInputs {
        max_connections,
        peers: 2,
        machines: 4,
    };
    ConnectionTracker::new(inputs, Duration::from_secs(15))
}

fn client() -> Client {
    Client::new(ClientLimits::default(), connection_tracker(1_000), |_| {
        Class::Commands
    })
}

fn class_of(request: &Request) -> Class {
    match request.path() {
        "/hello" => Class::Heartbeats,
        "/ready" => Class::Health,
        _ => Class::Users,
    }
}

fn with_server<F: Future<Output = ()>>(
    max_connections: usize,
    limits: ServerLimits,
    test: impl FnOnce(SocketAddr) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let endpoint = Endpoint {
            connections: connection_tracker(max_connections),
            class_of,
            initial_class: Class::Accepted,
        };
        spawn_local(serve(
            listener,
            endpoint,
            limits,
            |request: Request| async move {
                Response::new(
                    200,
                    format!("{} {}", request.target, request.body.len()).into_bytes(),
                )
            },
        ));
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
    with_server(1_000, ServerLimits::default(), |address| async move {
        let client = client();
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
    with_server(1_000, ServerLimits::default(), |address| async move {
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
    with_server(1_000, ServerLimits::default(), |address| async move {
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
        request: Duration::from_millis(100),
        ..ServerLimits::default()
    };
    with_server(20, limits, |address| async move {
        let answer = raw(address, b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab").await;
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
        // More than there is room for: those beyond are closed at once, without an answer.
        let mut held = Vec::new();
        for _ in 0..40 {
            held.push(TcpStream::connect(address).await.unwrap());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut open = 0;
        for stream in &mut held {
            let read = stream.try_read(&mut [0; 8]);
            open += usize::from(read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock));
        }
        assert!((1..=15).contains(&open), "{open} are open");
        drop(held);
    });
}

/// An answer beyond the bound is not read, and said to be such: a watch that has fallen behind by so
/// much would else be asked for again for ever.
#[test]
fn an_answer_that_is_too_long_is_told_from_none() {
    with_server(1_000, ServerLimits::default(), |address| async move {
        let limits = ClientLimits {
            body: 5,
            ..ClientLimits::default()
        };
        let client = Client::new(limits, connection_tracker(1_000), |_| Class::State);
        let ask = |path: &str| Request::new(Method::Get, path, Vec::new());
        let limit = Duration::from_secs(5);
        let fits = client.call(address, &ask("/ab"), limit).await;
        assert_eq!(fits.unwrap().body, b"/ab 0");
        let long = client.call(address, &ask("/abc"), limit).await;
        assert_eq!(long.unwrap_err(), ClientError::TooLong);
    });
}

/// What finds no socket is not sent, and takes none from the state service.
#[test]
fn no_socket_is_told_from_no_connection() {
    with_server(1_000, ServerLimits::default(), |address| async move {
        let own = connection_tracker(20);
        let held: Vec<_> = (0..20).map_while(|_| own.open(Class::Commands)).collect();
        assert!(!held.is_empty());
        let client = |class| Client::new(ClientLimits::default(), own.clone(), move |_| class);
        let request = Request::new(Method::Get, "/", Vec::new());
        let limit = Duration::from_secs(5);
        let commands = client(Class::Commands).call(address, &request, limit).await;
        assert_eq!(commands.unwrap_err(), ClientError::NoSocket);
        assert!(ClientError::NoSocket.is_unsent() && !ClientError::NoAnswer.is_unsent());
        let state = client(Class::State).call(address, &request, limit).await;
        assert_eq!(state.unwrap().status, 200);
        assert_eq!(
            own.recently_refused(Duration::from_secs(5)),
            [Class::Commands]
        );
    });
}

/// Idle users make way for workers, and are told so with an answer while there is no room.
#[test]
fn users_make_way_for_workers() {
    with_server(40, ServerLimits::default(), |address| async move {
        let ask = |path: &str| format!("GET {path} HTTP/1.1\r\n\r\n").into_bytes();
        let mut users = Vec::new();
        let mut kept = 0;
        for _ in 0..60 {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(&ask("/v1/jobs/job-1")).await.unwrap();
            let mut buffer = vec![0; 512];
            let n = stream.read(&mut buffer).await.unwrap();
            let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
            assert!(text.starts_with("HTTP/1.1 200"), "{text}");
            kept += usize::from(!text.contains("Connection: close"));
            users.push(stream);
        }
        assert!((10..=30).contains(&kept), "{kept} of 60 were kept open");
        let mut workers = Vec::new();
        for _ in 0..4 {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(&ask("/hello")).await.unwrap();
            let mut buffer = vec![0; 512];
            let n = stream.read(&mut buffer).await.unwrap();
            let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
            assert!(text.starts_with("HTTP/1.1 200"), "{text}");
            assert!(!text.contains("Connection: close"), "{text}");
            workers.push(stream);
        }
    });
}

#[test]
fn the_client_tells_what_was_not_sent_from_what_may_have_been() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let client = client();
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
