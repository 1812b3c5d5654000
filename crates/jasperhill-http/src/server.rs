//! The HTTP server: connections, heads, bodies and times are bounded.

use crate::{
    BODY_MAX,
    connections::{ConnectionPermit, ConnectionTracker},
    head::{Framing, HEAD_MAX, HeadError, Method, Request, RequestHead, Response, parse_request},
};
use jasperhill_connections::Class;
use std::{future::Future, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::{Instant, timeout, timeout_at},
};

/// The pause after a failed `accept`, short beside the time of a request.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How long a refused client may go on sending before its connection is closed.
const LINGER_MAX: Duration = Duration::from_millis(500);
/// The most bytes of the line that starts a chunk.
const CHUNK_LINE_MAX: usize = 256;

/// Time limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// From the first byte of a request to its last.
    pub request: Duration,
    /// From the start of a connection to its first request.
    pub first_request: Duration,
    /// Between requests, except on connections of workers.
    pub idle: Duration,
    /// Between requests of a worker, which sends heartbeats more often than this.
    pub idle_worker: Duration,
    /// For writing a response.
    pub write: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            request: Duration::from_secs(5),
            first_request: Duration::from_secs(10),
            idle: Duration::from_secs(60),
            idle_worker: Duration::from_secs(60),
            write: Duration::from_secs(5),
        }
    }
}

/// What a listener serves, for the connection budget.
#[derive(Clone)]
pub struct Endpoint {
    /// The connections of the process.
    pub connections: ConnectionTracker,
    /// The class of a connection by its latest request.
    pub class_of: fn(&Request) -> Class,
    /// The class of a connection before its first request.
    pub initial_class: Class,
}

/// Accepts connections for as long as it is polled, and answers their requests by `handler`. Must
/// run in a `LocalSet`: each connection is a local task.
pub async fn serve<H, F>(
    listener: TcpListener,
    endpoint: Endpoint,
    limits: ServerLimits,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response> + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Usually out of file descriptors: the pause lets others finish without spinning.
                tracing::debug!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        // Closed at once without capacity: the client tries another controller.
        let Some(permit) = endpoint.connections.open(endpoint.initial_class) else {
            continue;
        };
        let (class_of, handler) = (endpoint.class_of, handler.clone());
        tokio::task::spawn_local(async move {
            let _ = serve_connection(stream, permit, class_of, limits, handler).await;
        });
    }
}

/// A response with an error, which closes the connection.
fn error(status: u16, reason: &str) -> Response {
    Response::new(status, format!("{{\"error\":\"{reason}\"}}").into_bytes()).close()
}

/// The outcome of waiting for a request.
enum Incoming {
    /// A request; true if the connection can be kept alive after it.
    Request(Request, bool),
    /// Not a valid request: the response to send before closing.
    Refused(Response),
    /// The connection ended, was idle for too long, or was evicted.
    Closed,
}

/// Marks a connection as idle; false if it must be closed.
fn mark_idle(permit: &ConnectionPermit, evicted: &Rc<Notify>) -> bool {
    let evicted = evicted.clone();
    permit.finish_request(move || evicted.notify_one())
}

/// Serves one connection until it is closed.
async fn serve_connection<H, F>(
    mut stream: TcpStream,
    permit: ConnectionPermit,
    class_of: fn(&Request) -> Class,
    limits: ServerLimits,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    let evicted = Rc::new(Notify::new());
    let mut idle_timeout = limits.first_request;
    if !mark_idle(&permit, &evicted) {
        return Ok(());
    }
    loop {
        match read_request(&mut stream, &mut buffer, &evicted, idle_timeout, limits).await? {
            Incoming::Closed => return Ok(()),
            Incoming::Refused(response) => {
                let _ = timeout(limits.write, stream.write_all(&response.encode(false))).await;
                linger(&mut stream).await;
                return Ok(());
            }
            Incoming::Request(request, keep_alive) => {
                let class = class_of(&request);
                idle_timeout = match class {
                    Class::Heartbeats => limits.idle_worker,
                    _ => limits.idle,
                };
                let response = if permit.start_request(class) {
                    handler(request).await
                } else {
                    // Guards against users that wait in vain without capacity: they are refused at
                    // once.
                    error(503, "no room").retry_after(1)
                };
                // Where possible, a connection is closed with a response that announces it.
                let keep_alive = keep_alive && !response.close && mark_idle(&permit, &evicted);
                let bytes = response.encode(keep_alive);
                match timeout(limits.write, stream.write_all(&bytes)).await {
                    Ok(done) => done?,
                    Err(_) => return Ok(()),
                }
                if !keep_alive {
                    let _ = stream.shutdown().await;
                    return Ok(());
                }
                if buffer.capacity() > 4 * HEAD_MAX && buffer.is_empty() {
                    buffer = Vec::new();
                }
            }
        }
    }
}

/// Lets the refusal reach a client that is still sending: closing with unread bytes would
/// reset the connection. Bounded in bytes and time.
async fn linger(stream: &mut TcpStream) {
    let _ = stream.shutdown().await;
    let mut left = 4 * BODY_MAX;
    let mut sink = [0u8; 4096];
    let _ = timeout(LINGER_MAX, async {
        while left > 0 {
            match stream.read(&mut sink).await {
                Ok(n) if n > 0 => left = left.saturating_sub(n),
                _ => return,
            }
        }
    })
    .await;
}

/// Waits for the next request and reads it.
async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    evicted: &Notify,
    idle_timeout: Duration,
    limits: ServerLimits,
) -> std::io::Result<Incoming> {
    let mut deadline = None;
    if buffer.is_empty() {
        tokio::select! {
            read = timeout(idle_timeout, stream.read_buf(buffer)) => match read {
                Ok(Ok(n)) if n > 0 => deadline = Some(Instant::now() + limits.request),
                _ => return Ok(Incoming::Closed),
            },
            () = evicted.notified() => return Ok(Incoming::Closed),
        }
    }
    let deadline = deadline.unwrap_or_else(|| Instant::now() + limits.request);
    match timeout_at(deadline, receive_request(stream, buffer)).await {
        Ok(result) => result,
        Err(_) => Ok(Incoming::Refused(error(408, "too slow"))),
    }
}

/// Reads a request, of which some bytes may be in the buffer.
async fn receive_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Incoming> {
    let (head, used) = loop {
        match parse_request(buffer) {
            Ok(Some(found)) => break found,
            Ok(None) => {}
            Err(HeadError::Malformed) => {
                return Ok(Incoming::Refused(error(400, "malformed head")));
            }
            Err(HeadError::TooLong) => return Ok(Incoming::Refused(error(431, "head too long"))),
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(Incoming::Closed);
        }
    };
    buffer.drain(..used);
    let RequestHead {
        method,
        target,
        framing,
        keep_alive,
        expects_continue,
    } = head;
    if matches!(framing, Framing::Length(n) if n > BODY_MAX) {
        return Ok(Incoming::Refused(error(400, "body: longer than 64 KiB")));
    }
    if expects_continue && framing != Framing::Length(0) {
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let body = match framing {
        Framing::Length(n) => {
            while buffer.len() < n {
                if stream.read_buf(buffer).await? == 0 {
                    return Ok(Incoming::Closed);
                }
            }
            buffer.drain(..n).collect()
        }
        Framing::Chunked => match read_chunked(stream, buffer, BODY_MAX).await? {
            Ok(body) => body,
            Err(ChunkError::TooLong) => {
                return Ok(Incoming::Refused(error(400, "body: longer than 64 KiB")));
            }
            Err(ChunkError::Malformed) => {
                return Ok(Incoming::Refused(error(400, "body: malformed chunk")));
            }
        },
        Framing::UntilClose => Vec::new(),
    };
    let keep_alive = keep_alive && method != Method::Other;
    Ok(Incoming::Request(
        Request {
            method,
            target,
            body,
        },
        keep_alive,
    ))
}

/// Why a chunked body is refused.
pub(crate) enum ChunkError {
    /// It is longer than allowed.
    TooLong,
    /// A chunk is malformed.
    Malformed,
}

/// Reads a chunked body of at most `max` bytes to its end, trailers included.
///
/// # Errors
///
/// The outer error is that of the connection, the inner one that of the body.
pub(crate) async fn read_chunked(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    max: usize,
) -> std::io::Result<Result<Vec<u8>, ChunkError>> {
    let mut body = Vec::new();
    loop {
        let (skip, size) = loop {
            match httparse::parse_chunk_size(buffer) {
                Ok(httparse::Status::Complete(found)) => break found,
                Ok(httparse::Status::Partial) if buffer.len() < CHUNK_LINE_MAX => {}
                _ => return Ok(Err(ChunkError::Malformed)),
            }
            read_more(stream, buffer).await?;
        };
        buffer.drain(..skip);
        if size == 0 {
            loop {
                if let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") {
                    buffer.drain(..end + 2);
                    if end == 0 {
                        return Ok(Ok(body));
                    }
                } else if buffer.len() > HEAD_MAX {
                    return Ok(Err(ChunkError::Malformed));
                } else {
                    read_more(stream, buffer).await?;
                }
            }
        }
        let Some(size) = usize::try_from(size).ok().filter(|s| body.len() + s <= max) else {
            return Ok(Err(ChunkError::TooLong));
        };
        while buffer.len() < size + 2 {
            read_more(stream, buffer).await?;
        }
        body.extend(buffer.drain(..size));
        buffer.drain(..2);
    }
}

/// Reads more bytes into the buffer; the end of the connection is an error.
async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<()> {
    if stream.read_buf(buffer).await? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}
