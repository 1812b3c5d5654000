//! The entry point of a controller: starts the loops and dispatches incoming requests. Used by the
//! daemon and by the simulated cluster of the testkit.

use crate::{
    clock::Clock,
    settings::Settings,
    shared::{Shared, Wakeups},
    state::State,
    transport::Transport,
};
use jasperhill_http::{Request, Response};
use jasperhill_scheduler::sharding::split;
use std::{cell::RefCell, future::Future, rc::Rc};

/// A running controller. Dropping the value aborts all its tasks.
pub struct Controller(pub(crate) Rc<Shared>);

impl Drop for Controller {
    fn drop(&mut self) {
        self.0.state.borrow_mut().tasks.abort_all();
    }
}

impl Controller {
    /// Starts the controller's loops. Must be called within a `LocalSet`.
    pub fn start(settings: Settings, clock: Clock, transport: Rc<dyn Transport>) -> Self {
        let shared = Rc::new(Shared {
            scheduler_config: Rc::new(settings.scheduler_config()),
            partition_by_team: split(&settings.teams, settings.partition_count),
            members: settings.members(),
            state: RefCell::new(State::new(&settings, &clock, transport.as_ref())),
            settings,
            clock,
            transport,
            wakeups: Wakeups::default(),
        });
        spawn_loops(&shared);
        Self(shared)
    }

    /// Handles a request from a user, a worker or a health check.
    pub fn handle(&self, request: Request) -> impl Future<Output = Response> + use<> {
        let shared = self.0.clone();
        async move { shared.serve(request).await }
    }

    /// Handles a mesh request from another controller.
    pub fn handle_mesh(&self, request: Request) -> impl Future<Output = Response> + use<> {
        let shared = self.0.clone();
        async move { shared.serve_mesh(request).await }
    }
}

/// Spawns the loops that run for as long as the controller runs. They are first polled in this order.
fn spawn_loops(shared: &Rc<Shared>) {
    shared.clone().spawn(shared.clone().watch_loop());
    shared.clone().spawn(shared.clone().read_index_loop());
    shared.clone().spawn(shared.clone().commit_loop());
    shared.clone().spawn(shared.clone().session_loop());
    shared.clone().spawn(shared.clone().roles_loop());
    shared.clone().spawn(shared.clone().pass_loop());
    shared.clone().spawn(shared.clone().provisioner_loop());
    shared.clone().spawn(shared.clone().legacy_isolation_loop());
    shared
        .clone()
        .spawn(shared.clone().delegation_request_loop());
    shared.clone().spawn(shared.clone().delegation_grant_loop());
    shared.clone().spawn(shared.clone().reachability_loop());
    shared
        .clone()
        .spawn(shared.clone().connection_budget_loop());
}
