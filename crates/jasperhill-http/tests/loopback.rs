//! The server and the client over the loopback interface: invalid, slow or oversized requests get an
//! error response, and the number of connections is bounded.

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

/// Creates a client with default limits whose connections are of the class of commands to workers.
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

/// Runs `test` against a server that responds with the request's target and the length of its body.
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

/// Sends raw bytes on a new connection and returns everything that the server sends until it closes the
/// connection.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received).await;
    String::from_utf8_lossy(&received).into_owned()
}

#[test]
fn sequential_requests_get_their_responses() {
    with_server(1_000, ServerLimits::default(), |address| async move {
        let client = client();
        for n in 0..3 {
            let request = Request::new(Method::Post, format!("/x/{n}"), vec![b'a'; 1_000 * n]);
            let response = client
                .call(address, &request, Duration::from_secs(5))
                .await
                .unwrap();
            assert_eq!(response.status, 200);
            assert_eq!(response.body, format!("/x/{n} {}", 1_000 * n).into_bytes());
        }
    });
}

#[test]
fn too_long_body_gets_400_without_being_read() {
    with_server(1_000, ServerLimits::default(), |address| async move {
        let mut bytes = b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n".to_vec();
        bytes.resize(bytes.len() + 100_000, b'x');
        let response = send_raw(address, &bytes).await;
        assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
        assert!(response.contains("Connection: close"));
        let mut chunked = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for _ in 0..20 {
            chunked.extend_from_slice(b"1000\r\n");
            chunked.resize(chunked.len() + 0x1000, b'y');
            chunked.extend_from_slice(b"\r\n");
        }
        assert!(
            send_raw(address, &chunked)
                .await
                .starts_with("HTTP/1.1 400 ")
        );
    });
}

#[test]
fn chunked_body_is_read_and_malformed_or_too_long_head_is_refused() {
    with_server(1_000, ServerLimits::default(), |address| async move {
        let good = b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n\
            3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        assert!(send_raw(address, good).await.ends_with("/c 5"));
        assert!(
            send_raw(address, b"no http at all\r\n\r\n")
                .await
                .starts_with("HTTP/1.1 400 ")
        );
        let mut endless = b"GET / HTTP/1.1\r\nX: ".to_vec();
        endless.resize(20_000, b'a');
        assert!(
            send_raw(address, &endless)
                .await
                .starts_with("HTTP/1.1 431 ")
        );
    });
}

#[test]
fn slow_request_gets_408_and_excess_connections_are_closed() {
    let limits = ServerLimits {
        request_timeout: Duration::from_millis(100),
        ..ServerLimits::default()
    };
    with_server(20, limits, |address| async move {
        let response = send_raw(address, b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab").await;
        assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
        // More connections than the budget admits: the server closes the excess connections at once,
        // without a response.
        let mut streams = Vec::new();
        for _ in 0..40 {
            streams.push(TcpStream::connect(address).await.unwrap());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut open_count = 0;
        for stream in &mut streams {
            let read_result = stream.try_read(&mut [0; 8]);
            open_count +=
                usize::from(read_result.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock));
        }
        assert!((1..=15).contains(&open_count), "{open_count} are open");
        drop(streams);
    });
}

/// A response body beyond the limit is not read and gives [`ClientError::TooLong`]. If it were reported
/// as a missing response, a watch that is this far behind would be requested again forever.
#[test]
fn too_long_response_is_reported_as_too_long() {
    with_server(1_000, ServerLimits::default(), |address| async move {
        let limits = ClientLimits {
            body_max_bytes: 5,
            ..ClientLimits::default()
        };
        let client = Client::new(limits, connection_tracker(1_000), |_| Class::State);
        let get_request = |path: &str| Request::new(Method::Get, path, Vec::new());
        let timeout = Duration::from_secs(5);
        let allowed = client.call(address, &get_request("/ab"), timeout).await;
        assert_eq!(allowed.unwrap().body, b"/ab 0");
        let too_long = client.call(address, &get_request("/abc"), timeout).await;
        assert_eq!(too_long.unwrap_err(), ClientError::TooLong);
    });
}

/// A request for which the connection budget has no capacity is not sent and gives
/// [`ClientError::NoSocket`]. Used-up capacity does not block connections to the state service.
#[test]
fn exhausted_budget_gives_no_socket_except_for_state_service() {
    with_server(1_000, ServerLimits::default(), |address| async move {
        let connections = connection_tracker(20);
        let permits: Vec<_> = (0..20)
            .map_while(|_| connections.open(Class::Commands))
            .collect();
        assert!(!permits.is_empty());
        let client =
            |class| Client::new(ClientLimits::default(), connections.clone(), move |_| class);
        let request = Request::new(Method::Get, "/", Vec::new());
        let timeout = Duration::from_secs(5);
        let command_result = client(Class::Commands)
            .call(address, &request, timeout)
            .await;
        assert_eq!(command_result.unwrap_err(), ClientError::NoSocket);
        assert!(ClientError::NoSocket.is_unsent() && !ClientError::NoAnswer.is_unsent());
        let state_result = client(Class::State).call(address, &request, timeout).await;
        assert_eq!(state_result.unwrap().status, 200);
        assert_eq!(
            connections.recently_refused(Duration::from_secs(5)),
            [Class::Commands]
        );
    });
}

/// Idle connections of users are given up for connections of workers. While there is no capacity, a user
/// still gets a response, which announces the end of the connection with `Connection: close`.
#[test]
fn worker_connections_are_kept_open_when_users_fill_the_budget() {
    with_server(40, ServerLimits::default(), |address| async move {
        let get_request = |path: &str| format!("GET {path} HTTP/1.1\r\n\r\n").into_bytes();
        let mut users = Vec::new();
        let mut kept_open_count = 0;
        for _ in 0..60 {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream
                .write_all(&get_request("/v1/jobs/job-1"))
                .await
                .unwrap();
            let mut buffer = vec![0; 512];
            let length = stream.read(&mut buffer).await.unwrap();
            let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
            assert!(text.starts_with("HTTP/1.1 200"), "{text}");
            kept_open_count += usize::from(!text.contains("Connection: close"));
            users.push(stream);
        }
        assert!(
            (10..=30).contains(&kept_open_count),
            "{kept_open_count} of 60 were kept open"
        );
        let mut workers = Vec::new();
        for _ in 0..4 {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(&get_request("/hello")).await.unwrap();
            let mut buffer = vec![0; 512];
            let length = stream.read(&mut buffer).await.unwrap();
            let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
            assert!(text.starts_with("HTTP/1.1 200"), "{text}");
            assert!(!text.contains("Connection: close"), "{text}");
            workers.push(stream);
        }
    });
}

#[test]
fn missing_response_gives_no_answer_and_refused_connection_gives_not_sent() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let client = client();
        let request = Request::new(Method::Get, "/", Vec::new());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        // The operating system accepts the connection, but no server responds.
        let unanswered = client
            .call(address, &request, Duration::from_millis(100))
            .await;
        assert_eq!(unanswered.unwrap_err(), ClientError::NoAnswer);
        drop(listener);
        let refused = client
            .call(address, &request, Duration::from_millis(500))
            .await;
        assert_eq!(refused.unwrap_err(), ClientError::NotSent);
    });
}
