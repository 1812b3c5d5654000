//! The mutable state of a controller. Each module defines its part of the state next to its
//! invariants; this module only combines the parts. `Shared` holds the state in a `RefCell`.

use crate::{
    clock::Clock,
    commands::CommandState,
    delegation::state::DelegationState,
    heartbeats::state::HeartbeatState,
    host_registry::HostRegistry,
    membership::{IsolationState, MembershipState},
    proposals::state::ProposalState,
    provisioner::state::ProvisioningState,
    relay::state::RelayState,
    results::ResultState,
    scheduling::state::SchedulingState,
    settings::Settings,
    stall_detector::StallDetector,
    store::state::StoreState,
    task_counts::cache::TaskCountCache,
    transport::Transport,
    watch_cache::WatchCache,
};
use jasperhill_connections::Class;
use jasperhill_membership::Authority;
use tokio::task::JoinSet;

/// The mutable state of a controller, by module.
pub(crate) struct State {
    /// Whether this controller may act on its roles.
    pub authority: Authority,
    /// The replica of the store.
    pub cache: WatchCache,
    /// State of the client of the state service: session, write queue and watch.
    pub store: StoreState,
    /// Roles, links, restarts and feature levels of the members.
    pub membership: MembershipState,
    /// Whether this controller is isolated from the store.
    pub isolation: IsolationState,
    /// The owned partitions and the scheduler's data about them.
    pub scheduling: SchedulingState,
    /// State of the handling of workers' heartbeats.
    pub heartbeats: HeartbeatState,
    /// Queued and running commands to workers.
    pub commands: CommandState,
    /// Task results that are being written to the store.
    pub results: ResultState,
    /// Heartbeats and commands that are relayed through other controllers.
    pub relay: RelayState,
    /// Delegations of host leases between controllers.
    pub delegation: DelegationState,
    /// Jobs that are proposed to their partitions' owners through the store.
    pub proposals: ProposalState,
    /// Pending updates of host records.
    pub host_registry: HostRegistry,
    /// Cached task counts of jobs that other controllers run.
    pub task_counts: TaskCountCache,
    /// State of renting and returning machines.
    pub provisioning: ProvisioningState,
    /// Detector of stalls of this process.
    pub stall_detector: StallDetector,
    /// The spawned tasks, which are aborted when the controller is dropped.
    pub tasks: JoinSet<()>,
}

impl State {
    /// Creates the state of a process that has just started.
    pub fn new(settings: &Settings, clock: &Clock, transport: &dyn Transport) -> Self {
        let now = clock.now();
        let command_connections = transport.connection_tracker().usage(Class::Commands);
        Self {
            authority: Authority::new(settings.session(), settings.cache_age_max()),
            cache: WatchCache::default(),
            store: StoreState::new(settings, now),
            membership: MembershipState::new(settings, now, clock.wall()),
            isolation: IsolationState::default(),
            scheduling: SchedulingState::default(),
            heartbeats: HeartbeatState::default(),
            commands: CommandState::new(command_connections.guaranteed),
            results: ResultState::default(),
            relay: RelayState::default(),
            delegation: DelegationState::default(),
            proposals: ProposalState::default(),
            host_registry: HostRegistry::default(),
            task_counts: TaskCountCache::default(),
            provisioning: ProvisioningState::new(settings, now),
            stall_detector: StallDetector::new(now),
            tasks: JoinSet::new(),
        }
    }
}
