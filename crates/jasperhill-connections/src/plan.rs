//! The division of a process's connections among their classes: how many each class is guaranteed
//! and how many may be open in total.
//!
//! A [`BudgetPlan`] is a pure function of the platform's connection limit, the number of peers and
//! the number of known machines. It holds no state; the owner of a plan replaces it when one of
//! these inputs changes.

use enum_map::{Enum, EnumMap, enum_map};

/// The lowest connection limit that a plan assumes, so that each class gets at least one
/// connection.
pub const MAX_CONNECTIONS_FLOOR: usize = 16;
/// The lowest [`BudgetPlan::limit`]: three quarters of [`MAX_CONNECTIONS_FLOOR`].
const LIMIT_FLOOR: usize = 12;
/// The number of peers up to which the guarantees of [`Class::Peers`] and [`Class::Mesh`] grow: the
/// largest supported control plane.
const PLANNED_PEERS_MAX: usize = 8;

/// The purpose of a connection. The budget guarantees a number of connections to each class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enum)]
pub enum Class {
    /// Outbound connections to the key-value store.
    State,
    /// Outbound connections to the cloud provider.
    Cloud,
    /// Outbound connections to other controllers.
    Peers,
    /// Outbound connections to workers (commands).
    Commands,
    /// Inbound connections whose purpose is unknown because no request has arrived yet.
    Accepted,
    /// Inbound connections from readiness and health probes.
    Health,
    /// Inbound connections from other controllers.
    Mesh,
    /// Inbound connections from workers (heartbeats).
    Heartbeats,
    /// Inbound connections from users of the API.
    Users,
}

impl Class {
    /// All classes, in order of declaration.
    pub const ALL: [Self; 9] = [
        Self::State,
        Self::Cloud,
        Self::Peers,
        Self::Commands,
        Self::Accepted,
        Self::Health,
        Self::Mesh,
        Self::Heartbeats,
        Self::Users,
    ];

    /// Returns the name of the class in log lines and in the response of `/ready`. These strings
    /// are part of the API and must not change.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::State => "state",
            Self::Cloud => "cloud",
            Self::Peers => "peers",
            Self::Commands => "orders",
            Self::Accepted => "door",
            Self::Health => "health",
            Self::Mesh => "mesh",
            Self::Heartbeats => "reports",
            Self::Users => "users",
        }
    }
}

/// The inputs of [`BudgetPlan::new`], all counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanInputs {
    /// The connections that the platform allows the process, according to the settings. Values
    /// below [`MAX_CONNECTIONS_FLOOR`] are raised to it.
    pub max_connections: usize,
    /// The number of other controllers of the cluster.
    pub peers: usize,
    /// The number of known machines. Each machine may hold a heartbeat connection to this process.
    pub machines: usize,
}

/// Limits on the connections of one process, all counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetPlan {
    /// The connections that the platform allows the process.
    pub max_connections: usize,
    /// The most connections that the budget grants; the rest of `max_connections` is headroom.
    pub limit: usize,
    /// Above this many open connections, connections without a guarantee are closed after their
    /// response instead of being kept alive.
    pub keep_alive_limit: usize,
    /// The connections that each class may hold regardless of the usage of other classes.
    pub guaranteed: EnumMap<Class, usize>,
}

impl BudgetPlan {
    /// Derives the plan from its inputs. A quarter of the platform's limit is headroom, for
    /// connections that the kernel is still closing and connections that the budget does not track.
    pub fn new(inputs: PlanInputs) -> Self {
        let max_connections = inputs.max_connections.max(MAX_CONNECTIONS_FLOOR);
        let limit = (max_connections * 3 / 4).max(LIMIT_FLOOR);
        // Guarantees are fractions of the limit, so that small and large limits are divided in the
        // same proportions.
        let fraction = |divisor: usize, min: usize, max: usize| (limit / divisor).clamp(min, max);
        let mut guaranteed = enum_map! {
            Class::State => fraction(100, 3, 12),
            Class::Cloud => fraction(400, 1, 4),
            Class::Peers | Class::Mesh => fraction(60, 1, 16) * inputs.peers.clamp(1, PLANNED_PEERS_MAX),
            Class::Commands => fraction(20, 1, 128),
            Class::Accepted => fraction(30, 1, 64),
            Class::Health => fraction(300, 1, 8),
            Class::Users => fraction(12, 1, 4_096),
            Class::Heartbeats => 0,
        };
        // One connection per machine and 5 % more for replacement machines, as far as the
        // guarantees of other classes leave capacity.
        let other_classes: usize = guaranteed.values().sum();
        let heartbeat_connections = inputs.machines + inputs.machines / 20 + 1;
        guaranteed[Class::Heartbeats] = heartbeat_connections
            .min(limit.saturating_sub(other_classes))
            .max(1);
        // The minimum guarantees may exceed a limit of a few dozen connections: the largest
        // guarantees shrink first.
        while guaranteed.values().sum::<usize>() > limit {
            let largest = Class::ALL
                .into_iter()
                .max_by_key(|class| guaranteed[*class]);
            match largest.filter(|class| guaranteed[*class] > 1) {
                Some(class) => guaranteed[class] -= 1,
                None => break,
            }
        }
        Self {
            max_connections,
            limit,
            keep_alive_limit: limit * 23 / 25,
            guaranteed,
        }
    }
}
