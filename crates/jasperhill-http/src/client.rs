//! The HTTP client: pooled keep-alive connections by address, and errors that say whether the request
//! can have been executed.

use crate::{
    connections::{ConnectionPermit, ConnectionTracker},
    head::{Framing, HeadError, Request, Response, parse_response},
    server::read_chunked,
};
use jasperhill_connections::{Class, ConnectionId};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, timeout_at},
};

/// The most bytes of the body of a response; longer ones are not read. Guards against a watch that
/// is far behind and would take many times its length in memory at once.
pub const RESPONSE_BODY_MAX: usize = 3 * 1024 * 1024;

/// Responses with a lower status code are interim.
const FINAL_STATUS_MIN: u16 = 200;
/// How often idle connections are checked for expiry.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// The time to establish a connection.
    pub connect: Duration,
    /// The time after which an idle connection is not used again.
    pub idle: Duration,
    /// The most idle connections to one address.
    pub idle_per_address: usize,
    /// The most bytes of the body of a response.
    pub body: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(1_500),
            idle: Duration::from_secs(20),
            idle_per_address: 4,
            body: RESPONSE_BODY_MAX,
        }
    }
}

/// Why a request has no response; says whether it can have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// No connection was established: the request has not been executed and will not be.
    #[error("not connected")]
    NotSent,
    /// The connection budget refused a connection: the request was not sent, and nothing is known
    /// about the peer.
    #[error("no socket free")]
    NoSocket,
    /// The request may have been executed, or may still be.
    #[error("no answer")]
    NoAnswer,
    /// The request was executed, and the response is longer than [`ClientLimits::body`].
    #[error("an answer that is too long")]
    TooLong,
}

impl ClientError {
    /// Whether the request has certainly not been executed and will not be.
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::NotSent | Self::NoSocket)
    }
}

/// An idle connection.
struct IdleConnection {
    stream: TcpStream,
    permit: ConnectionPermit,
    since: Instant,
}

/// The idle connections of a client, by address.
#[derive(Default)]
struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    last_sweep: Cell<Option<Instant>>,
}

impl Pool {
    /// Closes an idle connection that the budget evicts.
    fn close(&self, address: SocketAddr, id: ConnectionId) {
        let closed = {
            let mut idle = self.idle.borrow_mut();
            let Some(list) = idle.get_mut(&address) else {
                return;
            };
            let position = list.iter().position(|idle| idle.permit.id() == id);
            let closed = position.map(|index| list.swap_remove(index));
            if list.is_empty() {
                idle.remove(&address);
            }
            closed
        };
        // Dropping the permit changes the budget, which must not happen while the pool is borrowed.
        drop(closed);
    }

    /// Closes connections that have been idle for too long, at most once in
    /// [`EXPIRY_CHECK_INTERVAL`]. Guards against connections to hosts that receive no requests any
    /// more.
    fn close_expired(&self, limits: &ClientLimits) {
        let now = Instant::now();
        let is_recent = |t: Instant| now - t < EXPIRY_CHECK_INTERVAL;
        if self.last_sweep.get().is_some_and(is_recent) {
            return;
        }
        self.last_sweep.set(Some(now));
        let mut expired = Vec::new();
        self.idle.borrow_mut().retain(|_, list| {
            for n in (0..list.len()).rev() {
                if now - list[n].since >= limits.idle {
                    expired.push(list.swap_remove(n));
                }
            }
            !list.is_empty()
        });
    }
}

/// An HTTP client with a pool of idle connections. The controller has one for all its peers.
pub struct Client {
    limits: ClientLimits,
    connections: ConnectionTracker,
    class_of: Rc<dyn Fn(SocketAddr) -> Class>,
    pool: Rc<Pool>,
}

impl Client {
    /// Creates a client. `class_of` gives the class of connections to an address.
    pub fn new(
        limits: ClientLimits,
        connections: ConnectionTracker,
        class_of: impl Fn(SocketAddr) -> Class + 'static,
    ) -> Self {
        Self {
            limits,
            connections,
            class_of: Rc::new(class_of),
            pool: Rc::new(Pool::default()),
        }
    }

    /// Takes a usable idle connection from the pool.
    fn take_idle(
        &self,
        address: SocketAddr,
        class: Class,
    ) -> Option<(TcpStream, ConnectionPermit)> {
        let mut probe = [0u8; 1];
        loop {
            let found = {
                let mut idle = self.pool.idle.borrow_mut();
                let list = idle.get_mut(&address)?;
                let found = list.pop();
                if list.is_empty() {
                    idle.remove(&address);
                }
                found?
            };
            // A connection that the peer closed, or on which it sent unsolicited bytes, is not used
            // again. Guards against requests to an earlier incarnation of a process.
            let is_usable = match found.stream.try_read(&mut probe) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                    found.since.elapsed() < self.limits.idle
                }
                _ => false,
            };
            if is_usable && found.permit.start_request(class) {
                return Some((found.stream, found.permit));
            }
        }
    }

    /// Returns a connection to the pool, unless the pool of the address is full or the budget
    /// wants it closed.
    fn keep(&self, address: SocketAddr, stream: TcpStream, permit: ConnectionPermit) {
        let open = |pool: &Pool| pool.idle.borrow().get(&address).map_or(0, Vec::len);
        if open(&self.pool) >= self.limits.idle_per_address {
            return;
        }
        let (pool, id) = (Rc::downgrade(&self.pool), permit.id());
        let close = move || {
            if let Some(pool) = pool.upgrade() {
                pool.close(address, id);
            }
        };
        if permit.finish_request(close) {
            let since = Instant::now();
            let connection = IdleConnection {
                stream,
                permit,
                since,
            };
            let mut all = self.pool.idle.borrow_mut();
            all.entry(address).or_default().push(connection);
        }
    }

    /// Sends one request and waits for its response, at most `limit` in total.
    ///
    /// # Errors
    ///
    /// [`ClientError`], which says whether the request can have been executed.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<Response, ClientError> {
        let deadline = Instant::now() + limit;
        self.pool.close_expired(&self.limits);
        let class = (self.class_of)(address);
        let (mut stream, permit) = match self.take_idle(address, class) {
            Some(found) => found,
            None => {
                let Some(permit) = self.connections.open(class) else {
                    return Err(ClientError::NoSocket);
                };
                let connect_deadline = deadline.min(Instant::now() + self.limits.connect);
                match timeout_at(connect_deadline, TcpStream::connect(address)).await {
                    Ok(Ok(stream)) => {
                        let _ = stream.set_nodelay(true);
                        (stream, permit)
                    }
                    _ => return Err(ClientError::NotSent),
                }
            }
        };
        match timeout_at(deadline, self.exchange(&mut stream, address, request)).await {
            Ok(Ok((response, keep))) => {
                if keep {
                    self.keep(address, stream, permit);
                }
                Ok(response)
            }
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::FileTooLarge => {
                Err(ClientError::TooLong)
            }
            _ => Err(ClientError::NoAnswer),
        }
    }

    /// Sends a request on a connection and reads the response; true with it if the connection can
    /// be kept alive.
    async fn exchange(
        &self,
        stream: &mut TcpStream,
        address: SocketAddr,
        request: &Request,
    ) -> std::io::Result<(Response, bool)> {
        let mut out = format!(
            "{} {} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            request.method.as_str(),
            request.target,
            request.body.len()
        )
        .into_bytes();
        out.extend_from_slice(&request.body);
        stream.write_all(&out).await?;
        let mut buffer = Vec::with_capacity(1024);
        let bad = |_: HeadError| std::io::Error::from(std::io::ErrorKind::InvalidData);
        let (head, used) = loop {
            if stream.read_buf(&mut buffer).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            match parse_response(&buffer).map_err(bad)? {
                // An interim response precedes the final one.
                Some((head, used)) if head.status < FINAL_STATUS_MIN => {
                    buffer.drain(..used);
                    if let Some(found) = parse_response(&buffer).map_err(bad)? {
                        break found;
                    }
                }
                Some(found) => break found,
                None => {}
            }
        };
        buffer.drain(..used);
        let too_long = || std::io::Error::from(std::io::ErrorKind::FileTooLarge);
        let body = match head.framing {
            Framing::Length(n) if n > self.limits.body => return Err(too_long()),
            Framing::Length(n) => {
                while buffer.len() < n {
                    if stream.read_buf(&mut buffer).await? == 0 {
                        return Err(std::io::ErrorKind::UnexpectedEof.into());
                    }
                }
                buffer.truncate(n);
                buffer
            }
            Framing::Chunked => read_chunked(stream, &mut buffer, self.limits.body)
                .await?
                .map_err(|_| too_long())?,
            Framing::UntilClose => {
                while stream.read_buf(&mut buffer).await? != 0 {
                    if buffer.len() > self.limits.body {
                        return Err(too_long());
                    }
                }
                buffer
            }
        };
        Ok((Response::new(head.status, body), head.keep_alive))
    }
}
