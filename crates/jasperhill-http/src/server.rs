//! The server: bounded connections, heads, bodies and times.

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

#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// From the first byte of a request to its last.
    pub request: Duration,
    /// Before the first request, and between requests.
    pub speechless: Duration,
    pub idle: Duration,
    /// The same for workers, who report at least so often.
    pub idle_worker: Duration,
    /// For writing a response.
    pub write: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            request: Duration::from_secs(5),
            speechless: Duration::from_secs(10),
            idle: Duration::from_secs(60),
            idle_worker: Duration::from_secs(60),
            write: Duration::from_secs(5),
        }
    }
}

/// Where connections come in, and what for.
#[derive(Clone)]
pub struct Door {
    pub sockets: ConnectionTracker,
    /// What a connection is for by its first request, and by each one after.
    pub class_of: fn(&Request) -> Class,
    /// What it counts as before.
    pub entry: Class,
}

/// Accepts connections for as long as it is polled. Needs a `LocalSet`.
pub async fn serve<H, F>(listener: TcpListener, door: Door, limits: ServerLimits, handler: H)
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response> + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Out of sockets, mostly: a pause lets others finish, without spinning.
                tracing::debug!(%error, "accept failed");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        // Closed at once where there is no room: whoever it was tries another controller.
        let Some(ticket) = door.sockets.open(door.entry) else {
            continue;
        };
        let (class_of, handler) = (door.class_of, handler.clone());
        tokio::task::spawn_local(async move {
            let _ = connection(stream, ticket, class_of, limits, handler).await;
        });
    }
}

fn error(status: u16, reason: &str) -> Response {
    Response::new(status, format!("{{\"error\":\"{reason}\"}}").into_bytes()).close()
}

enum Incoming {
    Request(Request, bool),
    Refused(Response),
    Closed,
}

/// Marks a connection idle; false if it is to be closed.
fn rests(ticket: &ConnectionPermit, leave: &Rc<Notify>) -> bool {
    let leave = leave.clone();
    ticket.ends(move || leave.notify_one())
}

async fn connection<H, F>(
    mut stream: TcpStream,
    ticket: ConnectionPermit,
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
    let leave = Rc::new(Notify::new());
    let mut wait = limits.speechless;
    if !rests(&ticket, &leave) {
        return Ok(());
    }
    loop {
        match read_request(&mut stream, &mut buffer, &leave, wait, limits).await? {
            Incoming::Closed => return Ok(()),
            Incoming::Refused(response) => {
                let _ = timeout(limits.write, stream.write_all(&response.encode(false))).await;
                linger(&mut stream).await;
                return Ok(());
            }
            Incoming::Request(request, keep_alive) => {
                let class = class_of(&request);
                wait = match class {
                    Class::Heartbeats => limits.idle_worker,
                    _ => limits.idle,
                };
                let response = if ticket.begins(class) {
                    handler(request).await
                } else {
                    // Guards against users who are kept waiting, or wait for nothing, where there
                    // is no room: they are told at once.
                    error(503, "no room").retry_after(1)
                };
                // What has to make way does so with an answer that says it, where it can.
                let keep_alive = keep_alive && !response.close && rests(&ticket, &leave);
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
    let _ = timeout(Duration::from_millis(500), async {
        while left > 0 {
            match stream.read(&mut sink).await {
                Ok(n) if n > 0 => left = left.saturating_sub(n),
                _ => return,
            }
        }
    })
    .await;
}

async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    leave: &Notify,
    wait: Duration,
    limits: ServerLimits,
) -> std::io::Result<Incoming> {
    let mut by = None;
    if buffer.is_empty() {
        tokio::select! {
            read = timeout(wait, stream.read_buf(buffer)) => match read {
                Ok(Ok(n)) if n > 0 => by = Some(Instant::now() + limits.request),
                _ => return Ok(Incoming::Closed),
            },
            () = leave.notified() => return Ok(Incoming::Closed),
        }
    }
    let by = by.unwrap_or_else(|| Instant::now() + limits.request);
    match timeout_at(by, read_rest(stream, buffer)).await {
        Ok(result) => result,
        Err(_) => Ok(Incoming::Refused(error(408, "too slow"))),
    }
}

async fn read_rest(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Incoming> {
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

pub(crate) enum ChunkError {
    TooLong,
    Malformed,
}

/// Reads a chunked body to its end, trailers included.
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
                Ok(httparse::Status::Partial) if buffer.len() < 256 => {}
                _ => return Ok(Err(ChunkError::Malformed)),
            }
            more(stream, buffer).await?;
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
                    more(stream, buffer).await?;
                }
            }
        }
        let Some(size) = usize::try_from(size).ok().filter(|s| body.len() + s <= max) else {
            return Ok(Err(ChunkError::TooLong));
        };
        while buffer.len() < size + 2 {
            more(stream, buffer).await?;
        }
        body.extend(buffer.drain(..size));
        buffer.drain(..2);
    }
}

async fn more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<()> {
    if stream.read_buf(buffer).await? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}
