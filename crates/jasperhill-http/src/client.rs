//! The client: keep-alive connections by address, and errors that say whether the request
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

/// Answers are never longer: beyond, they are not read. A watch that has fallen far behind would
/// else take many times its length in memory at once.
pub const ANSWER_MAX: usize = 3 * 1024 * 1024;

#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    pub connect: Duration,
    /// Idle connections are not used again after this long.
    pub idle: Duration,
    pub idle_per_address: usize,
    pub body: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(1_500),
            idle: Duration::from_secs(20),
            idle_per_address: 4,
            body: ANSWER_MAX,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// No connection came about, so the request cannot have been executed, now or later.
    #[error("not connected")]
    NotSent,
    /// No socket was free for it: it was not sent, and says nothing of whom it was for.
    #[error("no socket free")]
    NoSocket,
    /// The request may have been executed, or may still be.
    #[error("no answer")]
    NoAnswer,
    /// It was executed, and the answer is longer than may be.
    #[error("an answer that is too long")]
    TooLong,
}

impl ClientError {
    /// It was surely not executed, and will not be.
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::NotSent | Self::NoSocket)
    }
}

struct Idle {
    stream: TcpStream,
    ticket: ConnectionPermit,
    since: Instant,
}

/// Open connections that nothing goes on on.
#[derive(Default)]
struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    swept: Cell<Option<Instant>>,
}

impl Pool {
    fn close(&self, address: SocketAddr, key: ConnectionId) {
        let closed = {
            let mut idle = self.idle.borrow_mut();
            let Some(list) = idle.get_mut(&address) else {
                return;
            };
            let place = list.iter().position(|i| i.ticket.key() == key);
            let closed = place.map(|n| list.swap_remove(n));
            if list.is_empty() {
                idle.remove(&address);
            }
            closed
        };
        // Its place in the account is given back only after the pool is whole again.
        drop(closed);
    }

    /// Closes what has been idle for too long, once a second. Guards against connections to hosts
    /// that nothing is sent to any more.
    fn sweep(&self, limits: &ClientLimits) {
        let now = Instant::now();
        let lately = |t: Instant| now - t < Duration::from_secs(1);
        if self.swept.get().is_some_and(lately) {
            return;
        }
        self.swept.set(Some(now));
        let mut gone = Vec::new();
        self.idle.borrow_mut().retain(|_, list| {
            for n in (0..list.len()).rev() {
                if now - list[n].since >= limits.idle {
                    gone.push(list.swap_remove(n));
                }
            }
            !list.is_empty()
        });
    }
}

pub struct Client {
    limits: ClientLimits,
    sockets: ConnectionTracker,
    class_of: Rc<dyn Fn(SocketAddr) -> Class>,
    pool: Rc<Pool>,
}

impl Client {
    /// `class_of`: what connections to an address are for.
    pub fn new(
        limits: ClientLimits,
        sockets: ConnectionTracker,
        class_of: impl Fn(SocketAddr) -> Class + 'static,
    ) -> Self {
        Self {
            limits,
            sockets,
            class_of: Rc::new(class_of),
            pool: Rc::new(Pool::default()),
        }
    }

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
            // A peer that has closed, or sent what nobody asked for, is not used again. Guards
            // against requests on connections to a former life of a process.
            let fresh = match found.stream.try_read(&mut probe) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                    found.since.elapsed() < self.limits.idle
                }
                _ => false,
            };
            if fresh && found.ticket.begins(class) {
                return Some((found.stream, found.ticket));
            }
        }
    }

    fn keep(&self, address: SocketAddr, stream: TcpStream, ticket: ConnectionPermit) {
        let open = |pool: &Pool| pool.idle.borrow().get(&address).map_or(0, Vec::len);
        if open(&self.pool) >= self.limits.idle_per_address {
            return;
        }
        let (pool, key) = (Rc::downgrade(&self.pool), ticket.key());
        let close = move || {
            if let Some(pool) = pool.upgrade() {
                pool.close(address, key);
            }
        };
        if ticket.ends(close) {
            let since = Instant::now();
            let idle = Idle {
                stream,
                ticket,
                since,
            };
            let mut all = self.pool.idle.borrow_mut();
            all.entry(address).or_default().push(idle);
        }
    }

    /// Sends one request and waits for its answer, `limit` in all.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<Response, ClientError> {
        let by = Instant::now() + limit;
        self.pool.sweep(&self.limits);
        let class = (self.class_of)(address);
        let (mut stream, ticket) = match self.take_idle(address, class) {
            Some(found) => found,
            None => {
                let Some(ticket) = self.sockets.open(class) else {
                    return Err(ClientError::NoSocket);
                };
                let connect_by = by.min(Instant::now() + self.limits.connect);
                match timeout_at(connect_by, TcpStream::connect(address)).await {
                    Ok(Ok(stream)) => {
                        let _ = stream.set_nodelay(true);
                        (stream, ticket)
                    }
                    _ => return Err(ClientError::NotSent),
                }
            }
        };
        match timeout_at(by, self.exchange(&mut stream, address, request)).await {
            Ok(Ok((response, keep))) => {
                if keep {
                    self.keep(address, stream, ticket);
                }
                Ok(response)
            }
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::FileTooLarge => {
                Err(ClientError::TooLong)
            }
            _ => Err(ClientError::NoAnswer),
        }
    }

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
                // An interim answer precedes the real one.
                Some((head, used)) if head.status < 200 => {
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
