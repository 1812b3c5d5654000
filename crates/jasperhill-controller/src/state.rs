//! All that changes in a controller, by concern. Each concern's state is defined beside it, where its
//! invariants are; here they are only put together. Lives in the one cell of `Shared`.

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

/// All that changes in a controller.
pub(crate) struct State {
    /// Whether this controller may act on its roles.
    pub authority: Authority,
    /// The replica of the store.
    pub cache: WatchCache,
    /// What the client of the store keeps.
    pub store: StoreState,
    /// What is known of the other members.
    pub membership: MembershipState,
    /// Whether this controller is cut off from the store.
    pub isolation: IsolationState,
    /// The partitions and what the scheduler needs for them.
    pub scheduling: SchedulingState,
    /// Heartbeats of workers.
    pub heartbeats: HeartbeatState,
    /// Commands to workers.
    pub commands: CommandState,
    /// Results that are being written.
    pub results: ResultState,
    /// Heartbeats and commands that go by way of other controllers.
    pub relay: RelayState,
    /// Leases of hosts that are delegated to other controllers.
    pub delegation: DelegationState,
    /// Jobs handed over to their owners through the store.
    pub proposals: ProposalState,
    /// Updates of host records.
    pub host_registry: HostRegistry,
    /// Task counts of jobs that other controllers run.
    pub task_counts: TaskCountCache,
    /// Machines that are rented and returned.
    pub provisioning: ProvisioningState,
    /// Whether this process has stalled.
    pub stalls: StallDetector,
    /// The tasks that run for as long as the controller lives.
    pub tasks: JoinSet<()>,
}

impl State {
    /// That of a process that has just started.
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
            stalls: StallDetector::new(now),
            tasks: JoinSet::new(),
        }
    }
}
