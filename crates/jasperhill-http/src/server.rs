//! The HTTP server: accepts connections, reads requests and writes the handler's responses.
//!
//! [`serve`] runs one listener; [`Endpoint`] classifies its connections for the connection budget. The
//! number of connections, the length of heads and bodies, and the times to read a request and to write a
//! response are bounded.

use crate::{
    REQUEST_BODY_MAX_BYTES,
    connections::{ConnectionPermit, ConnectionTracker},
    head::{
        Framing, HEAD_MAX_BYTES, HeadError, Method, Request, RequestHead, Response, parse_request,
    },
};
use jasperhill_connections::Class;
use std::{future::Future, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::{Instant, timeout, timeout_at},
};

/// The pause after a failed `accept`; short compared to the duration of a request.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How long a refused client may continue to send before its connection is closed.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum length of the line with the size of a chunk, in bytes.
const CHUNK_LINE_MAX_BYTES: usize = 256;

/// Time limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The maximum time from the first byte of a request to the last.
    pub request_timeout: Duration,
    /// The maximum time from accepting a connection to the first byte of its first request.
    pub first_request_timeout: Duration,
    /// The maximum time between two requests on a connection, except on connections of workers.
    pub idle_timeout: Duration,
    /// The maximum time between two requests on a connection of a worker. Workers send heartbeats more
    /// often than this.
    pub worker_idle_timeout: Duration,
    /// The maximum time to write a response.
    pub write_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            request_timeout: Duration::from_secs(5),
            first_request_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            worker_idle_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(5),
        }
    }
}

/// The classification of a listener's connections for the connection budget.
#[derive(Clone)]
pub struct Endpoint {
    /// The tracker that admits the connections of the process.
    pub connections: ConnectionTracker,
    /// Returns the class of a connection from its latest request.
    pub class_of: fn(&Request) -> Class,
    /// The class of a connection before its first request.
    pub initial_class: Class,
}

/// Accepts connections for as long as the future is polled, and answers their requests with `handler`.
/// Must run in a `LocalSet`: each connection is a local task.
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
                // The usual cause is a lack of file descriptors. The pause lets open connections finish
                // and avoids a busy loop.
                tracing::debug!(%error, "accept failed, retrying after a pause");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        // Without capacity the connection is closed at once: the client then tries another controller.
        let Some(permit) = endpoint.connections.open(endpoint.initial_class) else {
            continue;
        };
        let (class_of, handler) = (endpoint.class_of, handler.clone());
        tokio::task::spawn_local(async move {
            let _ = serve_connection(stream, permit, class_of, limits, handler).await;
        });
    }
}

/// Returns the response that refuses a request: a JSON body with the error `reason`, after which the
/// connection is closed.
fn refusal(status: u16, reason: &str) -> Response {
    Response::new(status, format!("{{\"error\":\"{reason}\"}}").into_bytes()).close()
}

/// The outcome of waiting for the next request on a connection.
enum Incoming {
    /// A complete request. The flag is true if the connection can be kept alive after the response.
    Request(Request, bool),
    /// An invalid or incomplete request, with the response to send before the connection is closed.
    Refused(Response),
    /// The client closed the connection, or the connection was idle for too long or was evicted.
    Closed,
}

/// Reports a connection as idle to the connection budget; returns false if the connection must be
/// closed. `evicted` is notified if the connection is evicted later.
fn mark_idle(permit: &ConnectionPermit, evicted: &Rc<Notify>) -> bool {
    let evicted = evicted.clone();
    permit.finish_request(move || evicted.notify_one())
}

/// Serves the requests of one connection until the connection is closed.
///
/// # Errors
///
/// Returns the error of the connection.
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
    let mut idle_timeout = limits.first_request_timeout;
    if !mark_idle(&permit, &evicted) {
        return Ok(());
    }
    loop {
        match read_request(&mut stream, &mut buffer, &evicted, idle_timeout, limits).await? {
            Incoming::Closed => return Ok(()),
            Incoming::Refused(response) => {
                let _ = timeout(
                    limits.write_timeout,
                    stream.write_all(&response.encode(false)),
                )
                .await;
                lingering_close(&mut stream).await;
                return Ok(());
            }
            Incoming::Request(request, keep_alive) => {
                let class = class_of(&request);
                idle_timeout = match class {
                    Class::Heartbeats => limits.worker_idle_timeout,
                    _ => limits.idle_timeout,
                };
                let response = if permit.start_request(class) {
                    handler(request).await
                } else {
                    // Without capacity a request is refused at once, so that the user does not wait in
                    // vain.
                    refusal(503, "no room").retry_after(1)
                };
                // Where possible, the last response on a connection announces that the connection is
                // closed.
                let keep_alive = keep_alive && !response.close && mark_idle(&permit, &evicted);
                let bytes = response.encode(keep_alive);
                match timeout(limits.write_timeout, stream.write_all(&bytes)).await {
                    Ok(result) => result?,
                    Err(_) => return Ok(()),
                }
                if !keep_alive {
                    let _ = stream.shutdown().await;
                    return Ok(());
                }
                if buffer.capacity() > 4 * HEAD_MAX_BYTES && buffer.is_empty() {
                    buffer = Vec::new();
                }
            }
        }
    }
}

/// Discards what a refused client is still sending before its connection is closed, so that the
/// response reaches the client: closing a socket with unread bytes would reset the connection. Limited
/// to 4 times [`REQUEST_BODY_MAX_BYTES`] and [`LINGERING_CLOSE_TIMEOUT`].
async fn lingering_close(stream: &mut TcpStream) {
    let _ = stream.shutdown().await;
    let mut remaining_bytes = 4 * REQUEST_BODY_MAX_BYTES;
    let mut discarded = [0u8; 4096];
    let _ = timeout(LINGERING_CLOSE_TIMEOUT, async {
        while remaining_bytes > 0 {
            match stream.read(&mut discarded).await {
                Ok(n) if n > 0 => remaining_bytes = remaining_bytes.saturating_sub(n),
                _ => return,
            }
        }
    })
    .await;
}

/// Waits for the next request and reads it. Gives up if the first byte does not arrive within
/// `idle_timeout`, if the connection is evicted, or if the request takes longer than
/// [`ServerLimits::request_timeout`].
///
/// # Errors
///
/// Returns the error of the connection.
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
                Ok(Ok(n)) if n > 0 => deadline = Some(Instant::now() + limits.request_timeout),
                _ => return Ok(Incoming::Closed),
            },
            () = evicted.notified() => return Ok(Incoming::Closed),
        }
    }
    let deadline = deadline.unwrap_or_else(|| Instant::now() + limits.request_timeout);
    match timeout_at(deadline, receive_request(stream, buffer)).await {
        Ok(result) => result,
        Err(_) => Ok(Incoming::Refused(refusal(408, "too slow"))),
    }
}

/// Reads a request. `buffer` may already contain the first bytes of the request, and holds the bytes
/// that follow it on return.
///
/// # Errors
///
/// Returns the error of the connection.
async fn receive_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Incoming> {
    let (head, head_length) = loop {
        match parse_request(buffer) {
            Ok(Some(parsed)) => break parsed,
            Ok(None) => {}
            Err(HeadError::Malformed) => {
                return Ok(Incoming::Refused(refusal(400, "malformed head")));
            }
            Err(HeadError::TooLong) => {
                return Ok(Incoming::Refused(refusal(431, "head too long")));
            }
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(Incoming::Closed);
        }
    };
    buffer.drain(..head_length);
    let RequestHead {
        method,
        target,
        framing,
        keep_alive,
        expects_continue,
    } = head;
    if matches!(framing, Framing::Length(length) if length > REQUEST_BODY_MAX_BYTES) {
        return Ok(Incoming::Refused(refusal(400, "body: longer than 64 KiB")));
    }
    if expects_continue && framing != Framing::Length(0) {
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let body = match framing {
        Framing::Length(length) => {
            while buffer.len() < length {
                if stream.read_buf(buffer).await? == 0 {
                    return Ok(Incoming::Closed);
                }
            }
            buffer.drain(..length).collect()
        }
        Framing::Chunked => match read_chunked(stream, buffer, REQUEST_BODY_MAX_BYTES).await? {
            Ok(body) => body,
            Err(ChunkError::TooLong) => {
                return Ok(Incoming::Refused(refusal(400, "body: longer than 64 KiB")));
            }
            Err(ChunkError::Malformed) => {
                return Ok(Incoming::Refused(refusal(400, "body: malformed chunk")));
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

/// The reason why a chunked body is refused.
pub(crate) enum ChunkError {
    /// The body is longer than the limit.
    TooLong,
    /// A chunk size line or the trailer section is malformed or too long.
    Malformed,
}

/// Reads a chunked body of at most `max_bytes` bytes, and discards its trailers. `buffer` may already
/// contain the first bytes of the body, and holds the bytes that follow it on return.
///
/// # Errors
///
/// The outer error is an error of the connection, the inner error an invalid body.
pub(crate) async fn read_chunked(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    max_bytes: usize,
) -> std::io::Result<Result<Vec<u8>, ChunkError>> {
    let mut body = Vec::new();
    loop {
        let (line_length, chunk_size) = loop {
            match httparse::parse_chunk_size(buffer) {
                Ok(httparse::Status::Complete(parsed)) => break parsed,
                Ok(httparse::Status::Partial) if buffer.len() < CHUNK_LINE_MAX_BYTES => {}
                _ => return Ok(Err(ChunkError::Malformed)),
            }
            read_more(stream, buffer).await?;
        };
        buffer.drain(..line_length);
        if chunk_size == 0 {
            loop {
                if let Some(line_length) = buffer.windows(2).position(|pair| pair == b"\r\n") {
                    buffer.drain(..line_length + 2);
                    if line_length == 0 {
                        return Ok(Ok(body));
                    }
                } else if buffer.len() > HEAD_MAX_BYTES {
                    return Ok(Err(ChunkError::Malformed));
                } else {
                    read_more(stream, buffer).await?;
                }
            }
        }
        let Some(chunk_size) = usize::try_from(chunk_size)
            .ok()
            .filter(|size| body.len() + size <= max_bytes)
        else {
            return Ok(Err(ChunkError::TooLong));
        };
        while buffer.len() < chunk_size + 2 {
            read_more(stream, buffer).await?;
        }
        body.extend(buffer.drain(..chunk_size));
        buffer.drain(..2);
    }
}

/// Appends bytes from the connection to `buffer`.
///
/// # Errors
///
/// Returns `UnexpectedEof` at the end of the connection, or the error of the connection.
async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<()> {
    if stream.read_buf(buffer).await? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}
