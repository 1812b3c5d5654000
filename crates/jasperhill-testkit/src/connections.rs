//! Connections of the simulated controllers, counted twice.
//!
//! The platform limits the sockets of a process with a [`SocketLimit`]: every open connection, idle
//! or not, holds one [`Socket`], and beyond the limit no new connection can be opened. The
//! process's own [`ConnectionTracker`] is called the way the real server and client call it.
//! [`InboundConnection`] and [`OutboundConnections`] hold a socket and a permit of the tracker for
//! every open connection.

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

/// The platform's limit on the sockets of one process, from its start to its end.
pub struct SocketLimit {
    limit: usize,
    /// Sockets that are open now.
    open: Cell<usize>,
    /// Most sockets that were open at the same time.
    pub peak: Cell<usize>,
    /// Number of sockets refused because of the limit.
    pub refused: Cell<usize>,
}

/// Open socket, closed on drop.
pub struct Socket(Rc<SocketLimit>);

impl SocketLimit {
    /// Returns a limit with no open sockets.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit,
            open: Cell::new(0),
            peak: Cell::new(0),
            refused: Cell::new(0),
        })
    }

    /// Opens a socket; `None` if the limit is reached.
    fn open_socket(self: &Rc<Self>) -> Option<Socket> {
        let open = self.open.get() + 1;
        if open > self.limit {
            self.refused.set(self.refused.get() + 1);
            return None;
        }
        self.open.set(open);
        self.peak.set(self.peak.get().max(open));
        Some(Socket(self.clone()))
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Open connection: the platform's socket and the permit of the process's own tracker.
type OpenConnection = (Socket, ConnectionPermit);
/// Idle connections by address, each with the time at which it became idle.
type IdleConnections = HashMap<SocketAddr, Vec<(OpenConnection, Instant)>>;

/// Connection of a user, worker or the balancer to a controller. It is closed when the controller's
/// tracker closes it or its last holder drops it.
pub struct InboundConnection {
    /// Index of the controller that the connection leads to.
    pub node: usize,
    /// Generation of the controller's process; the connection ends with the process.
    pub life: u64,
    /// `None` once closed.
    open: RefCell<Option<OpenConnection>>,
}

impl InboundConnection {
    /// Opens a connection; `None` if the platform has no socket left or the process's own tracker
    /// gives no permit.
    pub fn open(
        node: usize,
        life: u64,
        platform: &Rc<SocketLimit>,
        tracker: &ConnectionTracker,
    ) -> Option<Rc<Self>> {
        let socket = platform.open_socket()?;
        let permit = tracker.open(Class::Accepted)?;
        let open = RefCell::new(Some((socket, permit)));
        let connection = Rc::new(Self { node, life, open });
        connection.rests().then_some(connection)
    }

    /// Returns whether the connection is open.
    pub fn is_open(&self) -> bool {
        self.open.borrow().is_some()
    }

    /// Tells the tracker that a request has arrived. Returns false if its class has no capacity
    /// left, and the request must be refused.
    pub fn begins(&self, request: &Request) -> bool {
        let class = class_of(request);
        let open = self.open.borrow();
        open.as_ref()
            .is_none_or(|(_, permit)| permit.start_request(class))
    }

    /// Tells the tracker that the response has been sent, and the connection is idle. Returns false
    /// if the connection is closed as a result. The tracker may also close it later, while it is
    /// idle.
    pub fn rests(self: &Rc<Self>) -> bool {
        let connection = Rc::downgrade(self);
        let close = move || {
            if let Some(connection) = connection.upgrade() {
                connection.close();
            }
        };
        let stays_open = self
            .open
            .borrow()
            .as_ref()
            .is_some_and(|(_, permit)| permit.finish_request(close));
        if !stays_open {
            self.close();
        }
        stays_open
    }

    fn close(&self) {
        let open = self.open.borrow_mut().take();
        drop(open);
    }
}

/// Pool of a controller's connections to other services, which keeps idle ones for reuse.
pub struct OutboundConnections {
    platform: Rc<SocketLimit>,
    /// Tracker with which the process itself limits its connections.
    pub own: ConnectionTracker,
    idle: Rc<RefCell<IdleConnections>>,
}

/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Most idle connections kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 4;

/// Reason why no connection could be opened.
pub enum NoConnection {
    /// The process's own tracker gave no permit.
    Own,
    /// The platform's limit on sockets was reached.
    Platform,
}

impl OutboundConnections {
    /// Returns an empty pool.
    pub fn new(platform: Rc<SocketLimit>, own: ConnectionTracker) -> Self {
        Self {
            platform,
            own,
            idle: Rc::default(),
        }
    }

    /// Takes an idle connection to an address, or opens a new one. Returns an error that says what
    /// refused the new connection: the tracker, which is asked first, or the platform.
    pub fn take(&self, to: SocketAddr, class: Class) -> Result<OpenConnection, NoConnection> {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|(_, idle_since)| idle_since.elapsed() < IDLE_TIMEOUT);
            !connections.is_empty()
        });
        let idle = self.idle.borrow_mut().get_mut(&to).and_then(Vec::pop);
        if let Some((connection, _)) = idle
            && connection.1.start_request(class)
        {
            return Ok(connection);
        }
        let permit = self.own.open(class).ok_or(NoConnection::Own)?;
        let socket = self.platform.open_socket().ok_or(NoConnection::Platform)?;
        Ok((socket, permit))
    }

    /// Returns a connection to the pool after a response. Closes it if the pool holds enough
    /// connections to this address, or the tracker does not let it stay open.
    pub fn keep(&self, to: SocketAddr, connection: OpenConnection) {
        let (idle, id) = (Rc::downgrade(&self.idle), connection.1.id());
        let close = move || {
            if let Some(idle) = idle.upgrade() {
                let closed = idle.borrow_mut().get_mut(&to).and_then(|connections| {
                    let n = connections
                        .iter()
                        .position(|((_, permit), _)| permit.id() == id)?;
                    Some(connections.swap_remove(n))
                });
                drop(closed);
            }
        };
        let idle_count = self.idle.borrow().get(&to).map_or(0, Vec::len);
        if idle_count < MAX_IDLE_PER_ADDRESS && connection.1.finish_request(close) {
            let mut idle = self.idle.borrow_mut();
            idle.entry(to)
                .or_default()
                .push((connection, Instant::now()));
        }
    }
}
