//! The `serve` subcommand: runs one controller on a single-threaded runtime.
//!
//! One listener accepts users and workers, a second one accepts other controllers. Both share the
//! connection budget of the process.

use crate::listen::listen;
use jasperhill_connections::Class;
use jasperhill_controller::{Clock, Controller, HttpTransport, Settings, transport};
use jasperhill_http::{Endpoint, ServerLimits, serve};
use std::{rc::Rc, time::Duration};
use tokio::task::LocalSet;

/// The platform's connection limit is divided by this number to get the backlog of a listener.
const BACKLOG_DIVISOR: usize = 17;
/// The minimum backlog of the listener for users and workers, in connections.
const BACKLOG_MIN: usize = 16;
/// The maximum backlog of a listener, in connections.
const BACKLOG_MAX: usize = 256;
/// The backlog of the listener for other controllers is smaller by this factor, because there are few
/// controllers.
const PEER_BACKLOG_DIVISOR: u32 = 4;
/// The number of heartbeat intervals without a request after which a worker's connection is closed.
const WORKER_IDLE_HEARTBEAT_INTERVALS: f64 = 2.5;

/// Runs a controller until the process is terminated.
///
/// # Errors
///
/// Returns an error if the runtime cannot start or an address cannot be bound.
pub fn run(settings: Settings) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(LocalSet::new().run_until(async move {
        // The backlog is bounded in case the process stalls while all workers connect: connections that
        // wait to be accepted count against the platform's connection limit, but not in the connection
        // budget.
        let backlog = (settings.max_connections / BACKLOG_DIVISOR).clamp(BACKLOG_MIN, BACKLOG_MAX);
        let backlog = backlog as u32;
        let user_listener = listen(settings.bind, backlog).await?;
        let peer_listener = listen(settings.mesh, backlog / PEER_BACKLOG_DIVISOR).await?;
        tracing::info!(member = %settings.member, bind = %settings.bind, "jasperhill serves");
        let connections = transport::new_connection_tracker(&settings);
        // A worker sends its next heartbeat within 1.25 heartbeat intervals. After twice that time the
        // worker has moved to another controller, and a network partition may hide that the worker
        // closed the connection.
        let limits = ServerLimits {
            worker_idle_timeout: Duration::from_micros(
                settings
                    .heartbeat_interval
                    .scale(WORKER_IDLE_HEARTBEAT_INTERVALS)
                    .0,
            ),
            ..ServerLimits::default()
        };
        let user_endpoint = Endpoint {
            connections: connections.clone(),
            class_of: transport::class_of,
            initial_class: Class::Accepted,
        };
        let peer_endpoint = Endpoint {
            connections: connections.clone(),
            class_of: |_| Class::Mesh,
            initial_class: Class::Mesh,
        };
        let transport_client = Rc::new(HttpTransport::new(&settings, connections));
        let controller = Rc::new(Controller::start(
            settings,
            Clock::system(),
            transport_client,
        ));
        let peer_controller = controller.clone();
        tokio::join!(
            serve(user_listener, user_endpoint, limits, move |request| {
                controller.handle(request)
            }),
            serve(peer_listener, peer_endpoint, limits, move |request| {
                peer_controller.handle_mesh(request)
            }),
        );
        Ok(())
    }))
}
