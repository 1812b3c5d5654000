//! The context that all modules of a controller share: settings, clocks, transport, mutable state
//! and wakeups. The state is in one `RefCell` that is never borrowed across an await. Each part of
//! the state is modified only by its own module.

use crate::{clock::Clock, settings::Settings, stall_detector, state::State, transport::Transport};
use jasperhill_http::{ClientError, Request, Response};
use jasperhill_membership::link::Observation;
use jasperhill_scheduler::SchedulerConfig;
use jasperhill_wire::{Member, Micros, Name};
use std::{cell::RefCell, collections::BTreeMap, future::Future, net::SocketAddr, rc::Rc};
use tokio::sync::Notify;

pub(crate) use crate::clock::to_duration;

/// Converts the outcome of one request over a link with a single remote end into an observation of the
/// link.
pub(crate) fn link_observation(answered: bool) -> Observation {
    if answered {
        Observation::Success
    } else {
        Observation::Failure {
            counterpart: 0,
            counterpart_count: 1,
        }
    }
}

/// Notifications that wake the controller's loops and waiting requests.
#[derive(Default)]
pub(crate) struct Wakeups {
    /// A change that could affect a scheduling pass.
    pub scheduler: Notify,
    /// A write was queued for the store.
    pub commit_queue: Notify,
    /// A request waits for a linearizable read.
    pub read_index: Notify,
    /// The holder of a role, or the set of possible holders, has changed.
    pub roles: Notify,
    /// A host waits for a delegate's response.
    pub delegation_requests: Notify,
    /// Another controller requests a delegation of hosts of this controller, or proposes a job to it.
    pub delegation_grants: Notify,
    /// An owner has granted or revoked a delegation.
    pub grants_changed: Notify,
    /// Task counts of jobs that another controller owns have arrived.
    pub task_counts: Notify,
    /// The state of a link has changed.
    pub reachability: Notify,
    /// This controller has acquired a partition, or a partition's owner has changed.
    pub ownership_changed: Notify,
    /// A host's record has changed.
    pub hosts_changed: Notify,
    /// The owner may have decided on a job that this controller proposed.
    pub proposals: Notify,
}

/// The context that all modules of a controller share.
pub(crate) struct Shared {
    /// The settings with which the controller was started.
    pub settings: Settings,
    /// The part of the settings that the scheduler uses.
    pub scheduler_config: Rc<SchedulerConfig>,
    /// The number of each team's partition.
    pub partition_by_team: BTreeMap<Name, u32>,
    /// All controllers, in an order that is the same on every controller.
    pub members: Vec<Member>,
    /// The steady clock and the time of day.
    pub clock: Clock,
    /// Sends requests to other processes.
    pub transport: Rc<dyn Transport>,
    /// The mutable state.
    pub state: RefCell<State>,
    /// Notifications for loops and waiting requests.
    pub wakeups: Wakeups,
}

impl Shared {
    /// Returns the current steady time.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Spawns a task that is aborted when the controller is dropped.
    pub fn spawn(self: Rc<Self>, task: impl Future<Output = ()> + 'static) {
        let mut state = self.state.borrow_mut();
        while state.tasks.try_join_next().is_some() {}
        state.tasks.spawn_local(task);
    }

    /// Reports activity to the stall detector. Returns whether a request that is taken up now has been
    /// queued during a stall and must not be served.
    pub fn note_activity(&self) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if let Some(stall) = state
            .stall_detector
            .apply(stall_detector::Input::Activity, now)
        {
            tracing::warn!(for_s = stall.as_secs_f64(), "process stalled");
        }
        state.stall_detector.is_request_stale(now)
    }

    /// Sends a request and waits for the response until `timeout` has passed.
    ///
    /// # Errors
    /// The transport's [`ClientError`], which tells whether the request may have been executed.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: Request,
        timeout: Micros,
    ) -> Result<Response, ClientError> {
        self.transport.call(to, request, to_duration(timeout)).await
    }

    /// Returns whether this controller may currently act on its roles.
    pub fn has_authority(&self) -> bool {
        let now = self.now();
        self.state.borrow().authority.is_valid_at(now)
    }

    /// Returns the number of a team's partition; `None` if the settings do not name the team.
    pub fn partition_of(&self, team: &Name) -> Option<u32> {
        self.partition_by_team.get(team).copied()
    }

    /// Returns the mesh address of another controller; `None` if the settings do not name the
    /// controller.
    pub fn address_of(&self, member: &Member) -> Option<SocketAddr> {
        let peer = self
            .settings
            .peers
            .iter()
            .find(|peer| &peer.member == member);
        peer.map(|peer| peer.address)
    }
}
