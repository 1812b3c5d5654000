//! Connections as the platform counts them: each that a controller's process has open is a socket
//! of it, idle or not, and beyond the limit no new one comes about. A process's own account of them
//! is asked as its server and client ask it.

use jasperhill_connections::Class;
use jasperhill_controller::transport::class_of;
use jasperhill_http::{ConnectionPermit, ConnectionTracker, Request};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::time::Instant;

/// What the platform sees of one life of a process.
pub struct SocketLimit {
    limit: usize,
    open: Cell<usize>,
    pub peak: Cell<usize>,
    pub refused: Cell<usize>,
}

/// One open socket.
pub struct Socket(Rc<SocketLimit>);

impl SocketLimit {
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit,
            open: Cell::new(0),
            peak: Cell::new(0),
            refused: Cell::new(0),
        })
    }

    fn socket(self: &Rc<Self>) -> Option<Socket> {
        let n = self.open.get() + 1;
        if n > self.limit {
            self.refused.set(self.refused.get() + 1);
            return None;
        }
        self.open.set(n);
        self.peak.set(self.peak.get().max(n));
        Some(Socket(self.clone()))
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

type Ends = (Socket, ConnectionPermit);
/// Idle ones by address, and since when.
type Idle = HashMap<SocketAddr, Vec<(Ends, Instant)>>;

/// A connection of a user or worker into a controller. Open as long as both sides hold it.
pub struct InboundConnection {
    pub node: usize,
    pub life: u64,
    ends: RefCell<Option<Ends>>,
}

impl InboundConnection {
    /// Accepted, if there is room by the platform's and by the process's own account.
    pub fn open(
        node: usize,
        life: u64,
        platform: &Rc<SocketLimit>,
        own: &ConnectionTracker,
    ) -> Option<Rc<Self>> {
        let socket = platform.socket()?;
        let ticket = own.open(Class::Accepted)?;
        let ends = RefCell::new(Some((socket, ticket)));
        let line = Rc::new(Self { node, life, ends });
        line.rests().then_some(line)
    }

    pub fn is_open(&self) -> bool {
        self.ends.borrow().is_some()
    }

    /// A request has come; false if there is no room to carry it out.
    pub fn begins(&self, request: &Request) -> bool {
        let class = class_of(request);
        let ends = self.ends.borrow();
        ends.as_ref()
            .is_none_or(|(_, ticket)| ticket.start_request(class))
    }

    /// Its answer has gone; false if the connection closes with it.
    pub fn rests(self: &Rc<Self>) -> bool {
        let line = Rc::downgrade(self);
        let close = move || {
            if let Some(line) = line.upgrade() {
                line.close();
            }
        };
        let stays = self
            .ends
            .borrow()
            .as_ref()
            .is_some_and(|(_, t)| t.finish_request(close));
        if !stays {
            self.close();
        }
        stays
    }

    fn close(&self) {
        let ends = self.ends.borrow_mut().take();
        drop(ends);
    }
}

/// Connections of a controller to others, kept for a while.
pub struct OutboundConnections {
    platform: Rc<SocketLimit>,
    pub own: ConnectionTracker,
    idle: Rc<RefCell<Idle>>,
}

const IDLE: Duration = Duration::from_secs(20);
const IDLE_PER_ADDRESS: usize = 4;

/// Why there is no connection.
pub enum NoConnection {
    /// By the process's own account.
    Own,
    /// The platform gave none.
    Platform,
}

impl OutboundConnections {
    pub fn new(platform: Rc<SocketLimit>, own: ConnectionTracker) -> Self {
        Self {
            platform,
            own,
            idle: Rc::default(),
        }
    }

    pub fn take(&self, to: SocketAddr, class: Class) -> Result<Ends, NoConnection> {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|(_, since)| since.elapsed() < IDLE);
            !list.is_empty()
        });
        let found = self.idle.borrow_mut().get_mut(&to).and_then(Vec::pop);
        if let Some((ends, _)) = found
            && ends.1.start_request(class)
        {
            return Ok(ends);
        }
        let ticket = self.own.open(class).ok_or(NoConnection::Own)?;
        let socket = self.platform.socket().ok_or(NoConnection::Platform)?;
        Ok((socket, ticket))
    }

    pub fn keep(&self, to: SocketAddr, ends: Ends) {
        let (idle, key) = (Rc::downgrade(&self.idle), ends.1.id());
        let close = move || {
            if let Some(idle) = idle.upgrade() {
                let gone = idle.borrow_mut().get_mut(&to).and_then(|list| {
                    let n = list.iter().position(|((_, t), _)| t.id() == key)?;
                    Some(list.swap_remove(n))
                });
                drop(gone);
            }
        };
        let held = self.idle.borrow().get(&to).map_or(0, Vec::len);
        if held < IDLE_PER_ADDRESS && ends.1.finish_request(close) {
            let mut idle = self.idle.borrow_mut();
            idle.entry(to).or_default().push((ends, Instant::now()));
        }
    }
}
