//! All that changes in a controller, by concern. Each concern's state is defined beside it, where its
//! invariants are; here they are only put together.

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
    task_counts::TaskCountCache,
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
    pub store: StoreState,
    pub membership: MembershipState,
    pub isolation: IsolationState,
    pub scheduling: SchedulingState,
    pub heartbeats: HeartbeatState,
    pub commands: CommandState,
    pub results: ResultState,
    pub relay: RelayState,
    pub delegation: DelegationState,
    pub proposals: ProposalState,
    pub host_registry: HostRegistry,
    pub task_counts: TaskCountCache,
    pub provisioning: ProvisioningState,
    pub stalls: StallDetector,
    /// What runs for as long as the controller lives.
    pub tasks: JoinSet<()>,
}

impl State {
    /// That of a process that has just started.
    pub fn new(settings: &Settings, clock: &Clock, transport: &dyn Transport) -> Self {
        let now = clock.now();
        let commands = transport.connection_tracker().report(Class::Commands);
        Self {
            authority: Authority::new(settings.session(), settings.cache_age_max()),
            cache: WatchCache::default(),
            store: StoreState::new(settings, now),
            membership: MembershipState::new(settings, now, clock.wall()),
            isolation: IsolationState::default(),
            scheduling: SchedulingState::default(),
            heartbeats: HeartbeatState::default(),
            commands: CommandState::new(commands.guaranteed),
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
