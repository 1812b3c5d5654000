//! The context that every part of a controller shares: settings, clocks, transport, the state, and how
//! one part wakes another. The state lives in one cell that is never borrowed across an await; each
//! concern of it is changed only by its own module.

use crate::{clock::Clock, settings::Settings, stall_detector, state::State, transport::Transport};
use jasperhill_http::{ClientError, Request, Response};
use jasperhill_membership::link::Observation;
use jasperhill_scheduler::SchedulerConfig;
use jasperhill_wire::{Member, Micros, Name};
use std::{cell::RefCell, collections::BTreeMap, future::Future, net::SocketAddr, rc::Rc};
use tokio::sync::Notify;

pub(crate) use crate::clock::to_duration;

/// What an answer of the only counterpart of a link, or its absence, shows of the link.
pub(crate) fn observation_of(answered: bool) -> Observation {
    if answered {
        Observation::Success
    } else {
        Observation::Failure { by: 0, of: 1 }
    }
}

/// Wakes the loops of a controller, and requests that wait for something.
#[derive(Default)]
pub(crate) struct Wakeups {
    /// Something has changed that a scheduling pass could make use of.
    pub scheduler: Notify,
    /// A write has been queued.
    pub commit_queue: Notify,
    /// Somebody waits for a linearizable read.
    pub read_index: Notify,
    /// Who holds a role, or who could, has changed.
    pub roles: Notify,
    /// A host waits for a delegate's answer.
    pub delegation_requests: Notify,
    /// Another controller asks to answer for hosts of this one, or proposes a job.
    pub delegation_grants: Notify,
    /// An owner has granted, or taken back, a delegation.
    pub grants_changed: Notify,
    /// Task counts of another controller's jobs have come.
    pub task_counts: Notify,
    /// A link has changed.
    pub reachability: Notify,
    /// A partition has come here, or went elsewhere.
    pub ownership_changed: Notify,
    /// A host's record has changed.
    pub hosts_changed: Notify,
    /// A job that this controller has proposed to its owner may have been decided on.
    pub proposals: Notify,
}

/// The context that every part of a controller shares.
pub(crate) struct Shared {
    /// As the controller was started.
    pub settings: Settings,
    /// What of the settings the scheduler needs.
    pub scheduler_config: Rc<SchedulerConfig>,
    /// The partition of each team.
    pub partition_by_team: BTreeMap<Name, u32>,
    /// All controllers, in the order that all agree on.
    pub members: Vec<Member>,
    /// The steady clock and the time of day.
    pub clock: Clock,
    /// How requests leave the process.
    pub transport: Rc<dyn Transport>,
    /// All that changes.
    pub state: RefCell<State>,
    /// How loops and waiting requests are woken.
    pub wake: Wakeups,
}

impl Shared {
    /// The time by the steady clock.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Runs a task for as long as the controller lives.
    pub fn spawn(self: Rc<Self>, task: impl Future<Output = ()> + 'static) {
        let mut state = self.state.borrow_mut();
        while state.tasks.try_join_next().is_some() {}
        state.tasks.spawn_local(task);
    }

    /// Tells the stall detector that the process runs. Whether a request that is taken up now has waited
    /// through a stall, and is not to be served.
    pub fn note_activity(&self) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if let Some(gap) = state.stalls.apply(stall_detector::Input::Activity, now) {
            tracing::warn!(for_s = gap.as_secs_f64(), "process stalled");
        }
        state.stalls.is_stale(now)
    }

    /// Sends a request and waits for the response until `limit` has passed.
    ///
    /// # Errors
    /// Those of the transport; they say whether the request can have been executed.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: Request,
        limit: Micros,
    ) -> Result<Response, ClientError> {
        self.transport.call(to, request, to_duration(limit)).await
    }

    /// Whether this controller may act on its roles now.
    pub fn has_authority(&self) -> bool {
        let now = self.now();
        self.state.borrow().authority.holds(now)
    }

    /// The partition of a team; `None` for a team that the settings do not name.
    pub fn partition_of(&self, team: &Name) -> Option<u32> {
        self.partition_by_team.get(team).copied()
    }

    /// Where another controller is reached by mesh.
    pub fn address_of(&self, member: &Member) -> Option<SocketAddr> {
        let peer = self.settings.peers.iter().find(|p| &p.member == member);
        peer.map(|p| p.address)
    }
}
